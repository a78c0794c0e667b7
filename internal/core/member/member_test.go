package member_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/cell"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

// step is one event in the life of a cell; then a time passes.
type step struct {
	do   action
	a, b int
	then time.Duration
}

type action string

const (
	pause     action = "pause"
	resume    action = "resume"
	kill      action = "kill"
	restart   action = "restart"
	twin      action = "twin"
	leave     action = "leave"
	join      action = "join"
	tableDown action = "table-down"
	tableSlow action = "table-slow"
	tableOK   action = "table-ok"
	lose      action = "lose-answers"
	cut       action = "cut"
	cutTable  action = "cut-table"
	healNet   action = "heal"
	handovers action = "handovers"
	wait      action = "wait"
)

var actions = []action{
	pause, resume, kill, restart, twin, leave, join, tableDown, tableSlow, tableOK, lose, cut, cutTable, healNet,
	handovers, wait,
}

// life applies steps to a world. ended are the processes that may start again.
type life struct {
	*world
	hosts int
	ended []hoist.Member
}

func (l *life) apply(s step) {
	p, q := l.process(s.a), l.process(s.b)
	switch s.do {
	case pause:
		p.Pause()
	case resume:
		p.Resume()
	case kill, leave:
		l.stop(s.do, p)
	case restart:
		if len(l.ended) > 0 {
			l.Start(l.ended[0])
			l.ended = l.ended[1:]
		}
	case twin, join:
		l.add(s.do, p)
	case tableDown:
		l.setTable(plat.Fault{Down: true})
	case tableSlow:
		l.setTable(plat.Fault{Delay: time.Duration(1+s.a%12) * 200 * time.Millisecond})
	case tableOK:
		l.setTable(plat.Fault{})
	case lose:
		l.setTable(plat.Fault{LoseAnswers: s.a, LoseWrites: s.b})
	case cut:
		l.Cut(p.Member.Addr, q.Member.Addr)
	case cutTable:
		l.Cut(p.Member.Addr, cell.TableAddr)
	case healNet:
		l.Heal()
		l.setTable(plat.Fault{})
	case handovers:
		l.SetHandoverFault(cell.HandoverFault{Lose: s.a % 4, Delay: time.Duration(s.b) * 400 * time.Millisecond})
	case wait:
	}
	l.run(s.then)
}

// stop ends a process unless it is the last one.
func (l *life) stop(how action, p *cell.Process) {
	if len(l.Processes()) == 1 {
		return
	}
	l.ended = append(l.ended, p.Member)
	if how == kill {
		p.Kill()
		return
	}
	p.Resume()
	p.Leave()
}

// add starts a new host, or a second process of the host of p.
func (l *life) add(how action, p *cell.Process) {
	if len(l.Processes()) > 6 {
		return
	}
	m := hostAt(l.hosts, 1)
	if how == twin {
		m = p.Member
		m.Addr = fmt.Sprintf("%s:%d", m.Host, 2+l.hosts)
	}
	l.hosts++
	l.Start(m)
}

// live runs the steps in a cell of the given size, lets it recover, with the
// operator's help if mayFence is set, and returns the first violation of a
// property, "" if there was none.
func live(t *testing.T, hosts int, steps []step, mayFence bool) string {
	var l *life
	synctest.Test(t, func(*testing.T) {
		l = &life{world: newWorld(hosts), hosts: hosts}
		defer l.Close()
		l.run(6 * time.Second)
		for _, s := range steps {
			l.apply(s)
		}
		l.heal(l.ended, mayFence)
	})
	return l.violation
}

// TestFailures guards against two owners of a shard, a fenced lease holder, a
// takeover without the table, falling terms, and shards that stay without an
// owner, after each failure that the design names and some pairs of them.
func TestFailures(t *testing.T) {
	const short, long = 2 * time.Second, 12 * time.Second
	cases := []struct {
		name  string
		steps []step
	}{
		{"death", []step{{kill, 1, 0, long}}},
		{"pause past the lease", []step{{pause, 1, 0, long}, {resume, 1, 0, long}}},
		{"restart at the same address", []step{{kill, 1, 0, 0}, {restart, 0, 0, long}}},
		{"second process, first one runs", []step{{twin, 1, 0, long}}},
		{"second process, first one paused", []step{{pause, 1, 0, 0}, {twin, 1, 0, long}, {resume, 1, 0, long}}},
		{"second process, first one cut from the table", []step{{cutTable, 1, 0, short}, {twin, 1, 0, 2 * long}, {healNet, 0, 0, long}}},
		{"table down for an hour", []step{{tableDown, 0, 0, time.Hour}, {tableOK, 0, 0, long}}},
		{"death while the table is down", []step{{tableDown, 0, 0, short}, {kill, 1, 0, time.Minute}, {tableOK, 0, 0, long}}},
		{"join and leave while the table is down", []step{{tableDown, 0, 0, short}, {join, 0, 0, short}, {leave, 1, 0, long}}},
		{"table slow", []step{{tableSlow, 1, 0, long}, {kill, 1, 0, long}}},
		{"table too slow", []step{{tableSlow, 7, 0, long}, {tableOK, 0, 0, long}}},
		{"lost answers of joins and handovers", []step{{join, 0, 0, 0}, {lose, 2, 0, short}, {lose, 3, 0, long}}},
		{"lost writes of joins and handovers", []step{{join, 0, 0, 0}, {lose, 0, 3, short}, {lose, 2, 5, long}}},
		{"lost writes of a takeover", []step{{kill, 1, 0, 4 * time.Second}, {lose, 2, 9, long}}},
		{"lost answers of a takeover", []step{{kill, 1, 0, 4 * time.Second}, {lose, 8, 0, long}}},
		{"claimant dies between its writes", []step{{kill, 1, 0, 5500 * time.Millisecond}, {kill, 1, 0, long}}},
		{"handover lost", []step{{handovers, 2, 0, 0}, {join, 0, 0, long}}},
		{"handover late", []step{{handovers, 0, 9, 0}, {join, 0, 0, long}, {leave, 0, 0, long}}},
		{"cut off from table and peers", []step{{cutTable, 0, 0, 0}, {cut, 0, 1, 0}, {cut, 0, 2, long}, {healNet, 0, 0, long}}},
		{"leave during a pause of another", []step{{pause, 1, 0, short}, {leave, 0, 0, long}, {resume, 0, 0, long}}},
	}
	for _, c := range cases {
		for _, hosts := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s/%d hosts", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				if v := live(t, hosts, c.steps, false); v != "" {
					t.Error(v)
				}
			})
		}
	}
}

// TestRandomFailures guards against the same in random sequences of failures.
func TestRandomFailures(t *testing.T) {
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
		if v := live(t, hosts, steps.Draw(rt, "steps"), true); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestHalfLost guards against a cell that stays without owners after half of
// its members were lost at once: the others must take over without help.
func TestHalfLost(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(4)
		defer w.Close()
		w.run(8 * time.Second)
		w.process(3).Kill()
		w.process(2).Kill()
		if !w.recovers() || w.violation != "" {
			t.Errorf("%d shards have an owner; %s", w.Owned(), w.violation)
		}
	})
}

// TestMostLost guards against a takeover by fewer than half of the members,
// against a cell that then stays without owners although the operator fences
// the lost ones, and against fencing a member that renews its lease.
func TestMostLost(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(5)
		defer w.Close()
		w.run(8 * time.Second)
		for lost := 4; lost >= 2; lost-- {
			w.process(lost).Kill()
		}
		w.run(20 * time.Second)
		if n := w.Owned(); n == hoist.NumShards {
			t.Errorf("two of five members took over %d shards", n)
		}
		err := w.process(0).Manager.FenceMember(context.Background(), "h1")
		if !errors.Is(err, hoist.ErrConflict) {
			t.Errorf("fencing a live member gave %v", err)
		}
		w.fenceByOperator()
		if !w.recovers() || w.violation != "" {
			t.Errorf("%d shards have an owner; %s", w.Owned(), w.violation)
		}
	})
}
