package member_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/cell"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

// world is a cell whose properties are checked all the time.
type world struct {
	*cell.Cell
	began time.Time

	mu        sync.Mutex
	violation string
	terms     [hoist.NumShards]hoist.Term
	downSince time.Time
}

func newWorld(hosts int) *world {
	w := &world{Cell: &cell.Cell{Table: &plat.Platform{}, Latency: time.Millisecond}, began: time.Now()}
	w.OnAcquire = w.acquired
	w.OnWrite = func() { w.assertSoleOwners(); w.assertFencedHaveNoLease() }
	for i := range hosts {
		w.Start(hostAt(i, 1))
	}
	return w
}

// hostAt describes host i at its first or another address.
func hostAt(i, port int) hoist.Member {
	host := hoist.HostID(fmt.Sprintf("h%d", i))
	return hoist.Member{Host: host, Addr: fmt.Sprintf("%s:%d", host, port), Weight: 4 + 4*(i%2)}
}

func (w *world) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.violation == "" {
		w.violation = fmt.Sprintf("after %v: ", time.Since(w.began)) + fmt.Sprintf(format, args...)
	}
}

// assertSoleOwners: at no instant do two hosts both pass Owns for one shard. A
// paused process counts, as it acts when it resumes.
func (w *world) assertSoleOwners() {
	var owners [hoist.NumShards]*cell.Process
	for _, p := range w.Processes() {
		for shard := range owners {
			if _, ok := p.Manager.Owns(hoist.ShardID(shard)); !ok {
				continue
			}
			if other := owners[shard]; other != nil {
				w.failf("%s and %s both own shard %d", other.Member.Addr, p.Member.Addr, shard)
			}
			owners[shard] = p
		}
	}
}

// assertFencedHaveNoLease: no host is fenced, or replaced by a process at
// another address, while its lease is valid.
func (w *world) assertFencedHaveNoLease() {
	var ready []*cell.Process
	for _, p := range w.Processes() {
		if p.Manager.IsReady() {
			ready = append(ready, p)
		}
	}
	rows := w.Members()
	for _, p := range ready {
		if !p.Manager.IsReady() {
			continue // the lease ended before the rows were read
		}
		m := rows[p.Member.Host]
		if m.State == hoist.MemberFenced || m.Addr != p.Member.Addr {
			w.failf("%s has a lease and the row %+v", p.Member.Addr, m)
		}
	}
}

// acquired asserts that terms only grow and that nobody takes over while the
// table is down; what was written before may still be acted on for a moment.
func (w *world) acquired(p *cell.Process, shards []hoist.ShardTerm) {
	w.assertSoleOwners()
	w.mu.Lock()
	isDown := !w.downSince.IsZero() && time.Since(w.downSince) > time.Second
	old := w.terms
	for _, s := range shards {
		w.terms[s.Shard] = max(w.terms[s.Shard], s.Term)
	}
	w.mu.Unlock()
	if isDown {
		w.failf("%s acquired %d shards while the table was down", p.Member.Addr, len(shards))
	}
	for _, s := range shards {
		if s.Term < old[s.Shard] {
			w.failf("%s acquired shard %d in term %d after term %d", p.Member.Addr, s.Shard, s.Term, old[s.Shard])
		}
	}
}

// run lets d pass and checks the properties on the way.
func (w *world) run(d time.Duration) {
	step := max(100*time.Millisecond, d/1000)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(step, time.Until(end)))
		w.assertSoleOwners()
		w.assertFencedHaveNoLease()
	}
}

func (w *world) setTable(f plat.Fault) {
	w.mu.Lock()
	w.downSince = time.Time{}
	if f.Down {
		w.downSince = time.Now()
	}
	w.mu.Unlock()
	w.Table.SetTableFault(f)
}

// process returns the i-th process that runs, counted round and round.
func (w *world) process(i int) *cell.Process {
	running := w.Processes()
	return running[i%len(running)]
}

// heal ends all faults, starts the processes that ended again, so that every
// elector votes, and asserts that the cell recovers. If hosts that moved or left
// have cost it a majority, the operator fences the members without a lease.
func (w *world) heal(ended []hoist.Member, mayFence bool) {
	w.Heal()
	w.setTable(plat.Fault{})
	for _, m := range ended {
		w.Start(m)
	}
	if w.recovers() {
		return
	}
	if mayFence {
		w.fenceByOperator()
	}
	if !mayFence || !w.recovers() {
		w.failf("%d shards have an owner long after the faults ended", w.Owned())
	}
}

// recovers waits until every shard has an owner.
func (w *world) recovers() bool {
	const period, tries = 2 * time.Second, 20
	for range tries {
		w.run(period)
		if w.Owned() == hoist.NumShards {
			return true
		}
	}
	return false
}

func (w *world) fenceByOperator() {
	ready := make(map[hoist.HostID]bool)
	for _, p := range w.Processes() {
		ready[p.Member.Host] = ready[p.Member.Host] || p.Manager.IsReady()
	}
	for host := range w.Members() {
		if ready[host] {
			continue
		}
		if err := w.process(0).Manager.FenceMember(context.Background(), host); err != nil {
			w.failf("operator: %v", err)
		}
	}
}
