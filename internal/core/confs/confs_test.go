package confs_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/confs"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/decide/owner"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// host is one entry host of the test cell.
type host struct {
	id            hoist.HostID
	cell          *cell
	manager       *confs.Manager
	stop          context.CancelFunc
	isPartitioned bool
}

// ownership is a host's view of the other hosts.
type ownership struct {
	hoist.Ownership
	host *host
}

func (o ownership) Self() hoist.HostID { return o.host.id }

func (o ownership) Peer(id hoist.HostID) (hoist.Peer, bool) {
	for _, other := range o.host.cell.hosts {
		if other.id == id && !other.isPartitioned && !o.host.isPartitioned {
			return peer{host: other}, true
		}
	}
	return nil, false
}

// peer is the connection to another host.
type peer struct {
	hoist.Peer
	host *host
}

func (p peer) Config(_ context.Context, v hoist.ConfigVersion) ([]byte, error) {
	text, err := p.host.manager.Config(v)
	p.host.cell.mu.Lock()
	defer p.host.cell.mu.Unlock()
	p.host.cell.fetches++
	p.host.cell.bytes += len(text)
	return text, err
}

// cell is a set of hosts with one table. Its time is that of the synctest bubble.
type cell struct {
	platform   plat.Platform
	mu         sync.Mutex
	hosts      []*host
	inForce    map[hoist.ConfigVersion]string
	violations []string
	fetches    int
	bytes      int
	// targets has the hosts that each host sends heartbeats to.
	targets map[hoist.HostID]map[hoist.HostID]bool
}

func newCell(n int) *cell {
	c := &cell{inForce: make(map[hoist.ConfigVersion]string)}
	for i := range n {
		c.hosts = append(c.hosts, &host{id: hoist.HostID(fmt.Sprintf("h%03d", i)), cell: c})
		c.start(i)
	}
	c.targets = heartbeatTargets(n)
	return c
}

// heartbeatTargets returns the targets of heartbeats in a cell with 8 hosts in
// each data centre.
func heartbeatTargets(n int) map[hoist.HostID]map[hoist.HostID]bool {
	var members []hoist.Member
	for i := range n {
		members = append(members, hoist.Member{
			Host: hoist.HostID(fmt.Sprintf("h%03d", i)), DataCentre: hoist.DataCentreID(fmt.Sprint(i / 8)), State: hoist.MemberLive,
		})
	}
	out := make(map[hoist.HostID]map[hoist.HostID]bool)
	for _, m := range members {
		out[m.Host] = owner.HeartbeatTargets(m, members)
	}
	return out
}

func (c *cell) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	synctest.Wait()
}

// start starts host i, or replaces it by a new process without any state.
func (c *cell) start(i int) {
	h := c.hosts[i]
	if h.stop != nil {
		h.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	var last hoist.ConfigVersion
	m := &confs.Manager{Ownership: ownership{host: h}, Table: &c.platform, Clock: clock{}}
	m.OnChange = func(d config.Document) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if d.Version <= last {
			c.violations = append(c.violations, fmt.Sprintf("%s went from version %d to %d", h.id, last, d.Version))
		}
		last = d.Version
		c.recordInForce(d.Version, config.Encode(d))
	}
	h.manager = m
	go m.Run(ctx)
	synctest.Wait()
}

// recordInForce records the document of a version and checks that the version is
// the same document on all hosts.
func (c *cell) recordInForce(v hoist.ConfigVersion, text string) {
	if known, ok := c.inForce[v]; ok && known != text {
		c.violations = append(c.violations, fmt.Sprintf("version %d has different documents on different hosts", v))
	}
	c.inForce[v] = text
}

// exchangeHeartbeats waits for half a second and exchanges heartbeats between the
// hosts that are not partitioned. Both sides of an exchange receive one.
func (c *cell) exchangeHeartbeats() {
	time.Sleep(500 * time.Millisecond)
	for _, to := range c.hosts {
		for _, from := range c.hosts {
			isExchanged := c.targets[from.id][to.id] || c.targets[to.id][from.id]
			if isExchanged && !from.isPartitioned && !to.isPartitioned {
				to.manager.HandleHeartbeat(hoist.Heartbeat{Host: from.id, Config: from.manager.Current().Version})
			}
		}
	}
	synctest.Wait()
}

func document(base hoist.ConfigVersion, change string) string {
	doc := config.Default()
	doc.Version = base + 1
	doc.ChangeID = hoist.ChangeID(change)
	doc.Customers = []config.Customer{{Name: hoist.CustomerID(change), Weight: 1}}
	return config.Encode(doc)
}

// highest returns the highest version in force on any host.
func (c *cell) highest() hoist.ConfigVersion {
	var v hoist.ConfigVersion
	for _, h := range c.hosts {
		v = max(v, h.manager.Current().Version)
	}
	return v
}

// step is one operation or fault in the cell.
type step struct {
	Kind string
	Host int
	Base int
}

func (c *cell) perform(n int, s step) {
	h := c.hosts[s.Host%len(c.hosts)]
	switch s.Kind {
	case "apply":
		_, _ = h.manager.Apply(context.Background(), document(h.manager.Current().Version, fmt.Sprintf("change-%d", n)))
	case "race":
		c.race(n)
	case "lose":
		c.platform.SetTableFault(plat.Fault{LoseAnswers: 2})
	case "down":
		c.platform.SetTableFault(plat.Fault{Down: true})
	case "up":
		c.platform.SetTableFault(plat.Fault{})
	case "cut":
		h.isPartitioned = !h.isPartitioned
	case "restart":
		c.start(s.Host % len(c.hosts))
	case "beat":
		c.exchangeHeartbeats()
	}
	synctest.Wait()
}

// race applies a different change at each host at the same time.
func (c *cell) race(n int) {
	c.platform.SetTableFault(plat.Fault{Delay: 50 * time.Millisecond})
	for i, h := range c.hosts {
		text := document(h.manager.Current().Version, fmt.Sprintf("change-%d-%d", n, i))
		go func() { _, _ = h.manager.Apply(context.Background(), text) }()
	}
	time.Sleep(time.Second)
	c.platform.SetTableFault(plat.Fault{})
}

// TestConfigurationNeverReverts guards against two documents under one version,
// hosts that return to an earlier version, and accepted changes that do not reach
// every host after the faults end. The faults are concurrent changes, outages of the
// table, lost answers, partitions and restarts.
func TestConfigurationNeverReverts(t *testing.T) {
	kinds := []string{"apply", "apply", "race", "race", "lose", "down", "up", "cut", "restart", "beat", "beat"}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Host: rapid.IntRange(0, 3).Draw(t, "host")}
		}), 1, 40).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newCell(4)
			defer c.close()
			for n, s := range steps {
				c.perform(n, s)
			}
			c.heal()
			violations = c.violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// heal ends all faults and checks that the accepted version is in force on all
// hosts within the promised 14 s.
func (c *cell) heal() {
	c.platform.SetTableFault(plat.Fault{})
	for _, h := range c.hosts {
		h.isPartitioned = false
	}
	for range 28 {
		c.exchangeHeartbeats()
	}
	accepted := c.highest()
	for _, h := range c.hosts {
		if v := h.manager.Current().Version; v != accepted {
			c.violations = append(c.violations, fmt.Sprintf("%s has version %d, but version %d is accepted", h.id, v, accepted))
		}
	}
}

// TestApplyConflictsAndRetries guards against changes that silently overwrite
// others, changes that are accepted twice, and unknown outcomes after lost answers.
func TestApplyConflictsAndRetries(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name  string
		fault plat.Fault
		text  string
		check func(is *is.I, err error)
	}{
		{"document with the next version", plat.Fault{}, document(1, "b"), func(is *is.I, err error) { is.NoErr(err) }},
		{"same change again", plat.Fault{}, document(0, "a"), func(is *is.I, err error) { is.NoErr(err) }},
		{"answer lost", plat.Fault{LoseAnswers: 1}, document(1, "b"), func(is *is.I, err error) { is.NoErr(err) }},
		{"another change was accepted first", plat.Fault{}, document(0, "b"), func(is *is.I, err error) {
			var conflict *confs.ConflictError
			is.True(errors.As(err, &conflict))                         // the error is a conflict
			is.Equal(conflict.Current.ChangeID, hoist.ChangeID("a"))   // the error has the accepted document
			is.Equal(conflict.Changes[0].Old, `customers: name = "a"`) // the error names the difference
			is.True(errors.Is(err, hoist.ErrConflict))                 // callers can test for hoist.ErrConflict
		}},
		{"document skips a version", plat.Fault{}, document(4, "b"), func(is *is.I, err error) { is.True(errors.Is(err, hoist.ErrConflict)) }},
		{"table down", plat.Fault{Down: true}, document(1, "b"), func(is *is.I, err error) { is.True(errors.Is(err, hoist.ErrUnavailable)) }},
		{"invalid document", plat.Fault{}, "version = 2", func(is *is.I, err error) { is.True(errors.Is(err, config.ErrDocument)) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(2)
				defer c.close()
				_, err := c.hosts[0].manager.Apply(ctx, document(0, "a"))
				is.NoErr(err)
				c.exchangeHeartbeats()
				c.platform.SetTableFault(tc.fault)
				_, err = c.hosts[1].manager.Apply(ctx, tc.text)
				tc.check(is, err)
			})
		})
	}
}

// TestHostStartsWithoutTable guards against a new host that serves without a
// configuration, or with an outdated one, while the table is unavailable.
func TestHostStartsWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(3)
		defer c.close()
		_, err := c.hosts[0].manager.Apply(context.Background(), document(0, "a"))
		is.NoErr(err)
		c.exchangeHeartbeats()
		c.platform.SetTableFault(plat.Fault{Down: true})
		c.start(2)
		is.True(!c.hosts[2].manager.IsKnown()) // it has no configuration yet
		c.exchangeHeartbeats()
		is.True(c.hosts[2].manager.IsKnown())
		is.Equal(c.hosts[2].manager.Current().Version, hoist.ConfigVersion(1))
	})
}

// BenchmarkTimeToSpreadChange reports how long a change takes to be in force on all
// hosts, in the time of the cell, and how many fetches, bytes and table reads it
// needs.
func BenchmarkTimeToSpreadChange(b *testing.B) {
	for _, n := range []int{8, 120} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var took time.Duration
			var fetches, bytes, reads int
			for range b.N {
				synctest.Test(&testing.T{}, func(*testing.T) {
					c := newCell(n)
					defer c.close()
					before, _ := c.platform.Counts()
					start := time.Now()
					_, _ = c.hosts[0].manager.Apply(context.Background(), document(0, "a"))
					for !c.isInForceEverywhere(1) {
						c.exchangeHeartbeats()
					}
					took += time.Since(start)
					after, _ := c.platform.Counts()
					reads += after - before
					fetches += c.fetches
					bytes += c.bytes
				})
			}
			perOp := func(v float64) float64 { return v / float64(b.N) }
			b.ReportMetric(perOp(took.Seconds()), "cell-s/change")
			b.ReportMetric(perOp(float64(fetches)), "fetches/change")
			b.ReportMetric(perOp(float64(bytes)), "B/change")
			b.ReportMetric(perOp(float64(reads)), "table-reads/change")
		})
	}
}

func (c *cell) isInForceEverywhere(v hoist.ConfigVersion) bool {
	for _, h := range c.hosts {
		if h.manager.Current().Version < v {
			return false
		}
	}
	return true
}
