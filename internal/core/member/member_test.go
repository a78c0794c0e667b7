package member_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/cell"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

// step is one action on a cell, followed by a wait.
type step struct {
	do   action
	a, b int
	then time.Duration
}

type action string

const (
	pause           action = "pause"
	resume          action = "resume"
	kill            action = "kill"
	restart         action = "restart"
	secondProcess   action = "twin"
	leave           action = "leave"
	join            action = "join"
	tableDown       action = "table-down"
	tableSlow       action = "table-slow"
	tableOK         action = "table-ok"
	loseAnswers     action = "lose-answers"
	cut             action = "cut"
	cutTable        action = "cut-table"
	healNetwork     action = "heal"
	faultyHandovers action = "handovers"
	wait            action = "wait"
)

var actions = []action{
	pause, resume, kill, restart, secondProcess, leave, join, tableDown, tableSlow, tableOK, loseAnswers, cut, cutTable, healNetwork,
	faultyHandovers, wait,
}

// scenario applies steps to a cell. ended holds the processes that a restart step
// may start again.
type scenario struct {
	*checkedCell
	hosts int
	ended []hoist.Member
}

func (sc *scenario) apply(s step) {
	p, q := sc.process(s.a), sc.process(s.b)
	switch s.do {
	case pause:
		p.Pause()
	case resume:
		p.Resume()
	case kill, leave:
		sc.stop(s.do, p)
	case restart:
		if len(sc.ended) > 0 {
			sc.Start(sc.ended[0])
			sc.ended = sc.ended[1:]
		}
	case secondProcess, join:
		sc.add(s.do, p)
	case tableDown:
		sc.setTable(plat.Fault{Down: true})
	case tableSlow:
		sc.setTable(plat.Fault{Delay: time.Duration(1+s.a%12) * 200 * time.Millisecond})
	case tableOK:
		sc.setTable(plat.Fault{})
	case loseAnswers:
		sc.setTable(plat.Fault{LoseAnswers: s.a, LoseWrites: s.b})
	case cut:
		sc.Partition(p.Member.Addr, q.Member.Addr)
	case cutTable:
		sc.Partition(p.Member.Addr, cell.TableAddr)
	case healNetwork:
		sc.Heal()
		sc.setTable(plat.Fault{})
	case faultyHandovers:
		sc.SetHandoverFault(cell.HandoverFault{Lose: s.a % 4, Delay: time.Duration(s.b) * 400 * time.Millisecond})
	case wait:
	}
	sc.run(s.then)
}

// stop ends a process unless it is the last one.
func (sc *scenario) stop(how action, p *cell.Process) {
	if len(sc.Processes()) == 1 {
		return
	}
	sc.ended = append(sc.ended, p.Member)
	if how == kill {
		p.Kill()
		return
	}
	p.Resume()
	p.Leave()
}

// add starts a new host, or a second process of the host of p.
func (sc *scenario) add(how action, p *cell.Process) {
	if len(sc.Processes()) > 6 {
		return
	}
	m := hostAt(sc.hosts, 1)
	if how == secondProcess {
		m = p.Member
		m.Addr = fmt.Sprintf("%s:%d", m.Host, 2+sc.hosts)
	}
	sc.hosts++
	sc.Start(m)
}

// runSteps runs the steps in a cell of the given size and lets it recover; if
// mayOperatorFence is set, the operator may fence members for that. It returns
// the first violation of an invariant, or "" if there was none.
func runSteps(t *testing.T, hosts int, steps []step, mayOperatorFence bool) string {
	var sc *scenario
	synctest.Test(t, func(*testing.T) {
		sc = &scenario{checkedCell: newCheckedCell(hosts), hosts: hosts}
		defer sc.Close()
		sc.run(6 * time.Second)
		for _, s := range steps {
			sc.apply(s)
		}
		sc.assertRecovery(sc.ended, mayOperatorFence)
	})
	return sc.violation
}

// TestInvariantsUnderFailures guards against two owners of a shard, fencing of a
// host whose lease is valid, a takeover without the table, decreasing terms, and
// shards that stay without an owner, after each failure that the design names and
// some pairs of them.
func TestInvariantsUnderFailures(t *testing.T) {
	const short, long = 2 * time.Second, 12 * time.Second
	cases := []struct {
		name  string
		steps []step
	}{
		{"death of a host", []step{{kill, 1, 0, long}}},
		{"pause until the lease has expired", []step{{pause, 1, 0, long}, {resume, 1, 0, long}}},
		{"restart at the same address", []step{{kill, 1, 0, 0}, {restart, 0, 0, long}}},
		{"second process while the first runs", []step{{secondProcess, 1, 0, long}}},
		{"second process while the first is paused", []step{{pause, 1, 0, 0}, {secondProcess, 1, 0, long}, {resume, 1, 0, long}}},
		{"second process while the first is cut off from the table", []step{{cutTable, 1, 0, short}, {secondProcess, 1, 0, 2 * long}, {healNetwork, 0, 0, long}}},
		{"table down for an hour", []step{{tableDown, 0, 0, time.Hour}, {tableOK, 0, 0, long}}},
		{"death while the table is down", []step{{tableDown, 0, 0, short}, {kill, 1, 0, time.Minute}, {tableOK, 0, 0, long}}},
		{"join and leave while the table is down", []step{{tableDown, 0, 0, short}, {join, 0, 0, short}, {leave, 1, 0, long}}},
		{"table slow", []step{{tableSlow, 1, 0, long}, {kill, 1, 0, long}}},
		{"table too slow", []step{{tableSlow, 7, 0, long}, {tableOK, 0, 0, long}}},
		{"lost answers of joins and handovers", []step{{join, 0, 0, 0}, {loseAnswers, 2, 0, short}, {loseAnswers, 3, 0, long}}},
		{"lost writes of joins and handovers", []step{{join, 0, 0, 0}, {loseAnswers, 0, 3, short}, {loseAnswers, 2, 5, long}}},
		{"lost writes of a takeover", []step{{kill, 1, 0, 4 * time.Second}, {loseAnswers, 2, 9, long}}},
		{"lost answers of a takeover", []step{{kill, 1, 0, 4 * time.Second}, {loseAnswers, 8, 0, long}}},
		{"claiming host dies between its writes", []step{{kill, 1, 0, 5500 * time.Millisecond}, {kill, 1, 0, long}}},
		{"handover lost", []step{{faultyHandovers, 2, 0, 0}, {join, 0, 0, long}}},
		{"handover late", []step{{faultyHandovers, 0, 9, 0}, {join, 0, 0, long}, {leave, 0, 0, long}}},
		{"cut off from table and peers", []step{{cutTable, 0, 0, 0}, {cut, 0, 1, 0}, {cut, 0, 2, long}, {healNetwork, 0, 0, long}}},
		{"leave while another host is paused", []step{{pause, 1, 0, short}, {leave, 0, 0, long}, {resume, 0, 0, long}}},
	}
	for _, c := range cases {
		for _, hosts := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s/%d hosts", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				if v := runSteps(t, hosts, c.steps, false); v != "" {
					t.Error(v)
				}
			})
		}
	}
}

// TestInvariantsUnderRandomFailures guards against the violations that
// TestInvariantsUnderFailures names, after random sequences of failures.
func TestInvariantsUnderRandomFailures(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			do:   rapid.SampledFrom(actions).Draw(t, "do"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 11).Draw(t, "b"),
			then: time.Duration(rapid.IntRange(0, 60).Draw(t, "then")) * 100 * time.Millisecond,
		}
	}), 1, 10)
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(rt, "hosts")
		if v := runSteps(t, hosts, steps.Draw(rt, "steps"), true); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestTakeoverAfterLossOfHalf guards against a cell that stays without owners after
// half of its members were lost at once: the others must take over without the
// operator.
func TestTakeoverAfterLossOfHalf(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		checked := newCheckedCell(4)
		defer checked.Close()
		checked.run(8 * time.Second)
		checked.process(3).Kill()
		checked.process(2).Kill()
		if !checked.recovers() || checked.violation != "" {
			t.Errorf("%d shards have an owner after the recovery; violation: %s", checked.Owned(), checked.violation)
		}
	})
}

// TestFencingAfterLossOfMajority guards against a takeover by fewer than half of the
// members, against a cell that stays without owners although the operator fences the
// lost members, and against fencing a member that renews its lease.
func TestFencingAfterLossOfMajority(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		checked := newCheckedCell(5)
		defer checked.Close()
		checked.run(8 * time.Second)
		for lost := 4; lost >= 2; lost-- {
			checked.process(lost).Kill()
		}
		checked.run(20 * time.Second)
		if n := checked.Owned(); n == hoist.NumShards {
			t.Errorf("two of five members took over %d shards", n)
		}
		err := checked.process(0).Manager.FenceMember(context.Background(), "h1")
		if !errors.Is(err, hoist.ErrConflict) {
			t.Errorf("fencing a live member returned the error %v, expected ErrConflict", err)
		}
		checked.fenceByOperator()
		if !checked.recovers() || checked.violation != "" {
			t.Errorf("%d shards have an owner after the recovery; violation: %s", checked.Owned(), checked.violation)
		}
	})
}

// TestLinksToEndedHosts guards against closing the connection to a host that has
// left and still answers requests in flight, and against keeping one to a host that
// died.
func TestLinksToEndedHosts(t *testing.T) {
	cases := []struct {
		name        string
		end         func(*cell.Process)
		soon, later bool
	}{
		{"host has left", (*cell.Process).Leave, true, false},
		{"host has died", (*cell.Process).Kill, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checked := newCheckedCell(3)
				defer checked.Close()
				checked.run(8 * time.Second)
				c.end(checked.process(1))
				is := is.New(t)
				checked.run(30 * time.Second)
				is.Equal(checked.IsLinked("h0:1", "h1:1"), c.soon) // within the drain time
				checked.run(40 * time.Second)
				is.Equal(checked.IsLinked("h0:1", "h1:1"), c.later) // long after the drain time
			})
		})
	}
}
