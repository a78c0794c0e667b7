package route_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/relay"
	"fuchsiahoist.example/hoist/internal/fake/simnet"
	"fuchsiahoist.example/hoist/internal/peer/exec"
)

// solo owns every shard.
type solo struct{ hoist.Ownership }

func (solo) Self() hoist.HostID                         { return "h" }
func (solo) Owns(hoist.ShardID) (hoist.Term, bool)      { return 1, true }
func (solo) OwnerOf(hoist.ShardID) (hoist.HostID, bool) { return "h", true }
func (solo) Accepts(hoist.ShardID, hoist.Term) bool     { return true }

// farm is a router with executors behind relays.
type farm struct {
	router *route.Router
	execs  []*execd.Executor
	relays []*relay.Relay
	listed []hoist.HostEntry
}

// List implements hoist.HostList.
func (f *farm) List(context.Context) ([]hoist.HostEntry, error) { return f.listed, nil }

func newFarm(t *testing.T, executors int) *farm {
	f := &farm{}
	for i := range executors {
		e := &execd.Executor{
			ID: hoist.ExecutorID(fmt.Sprintf("e%d", i)), Slots: 8,
			ServiceTime: func(hoist.RequestKey) time.Duration { return 100 * time.Millisecond },
		}
		url, err := e.Start()
		is.New(t).NoErr(err)
		r := &relay.Relay{Target: strings.TrimPrefix(url, "http://")}
		addr, err := r.Start()
		is.New(t).NoErr(err)
		t.Cleanup(func() { r.Close(); e.Close() })
		f.execs, f.relays = append(f.execs, e), append(f.relays, r)
		f.listed = append(f.listed, hoist.HostEntry{Kind: hoist.HostKindExecutor, ID: string(e.ID), Addr: "http://" + addr, Service: "s"})
	}
	f.router = &route.Router{Own: solo{}, HostList: f, Clock: simnet.Clock{}, DialExecutor: func(l hoist.HostEntry) hoist.Executor {
		return exec.New(l.Addr, hoist.ExecutorID(l.ID))
	}}
	var all []hoist.ShardTerm
	for s := range hoist.NumShards {
		all = append(all, hoist.ShardTerm{Shard: hoist.ShardID(s), Term: 1})
	}
	f.router.Acquire(all, nil, time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.router.Run(ctx)
	waitFor(t, func() bool { return f.free() == 8*executors })
	return f
}

func (f *farm) free() int {
	free := 0
	for _, s := range f.router.Slots() {
		free += s.Quick
	}
	return free
}

// waitFor waits for a condition with a generous bound.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range 3000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition does not hold after 30 s")
}

// submit sends n requests at the same time and returns what it broke.
func (f *farm) submit(t *testing.T, name string, n int) {
	t.Helper()
	answers := make(chan hoist.Answer, n)
	for i := range n {
		req := hoist.Request{
			Key: hoist.RequestKey(fmt.Sprintf("%s-%d", name, i)), Customer: "c", Service: "s", Class: hoist.Quick,
			FirstTry: true, IssuedAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		}
		go func() {
			answer, _ := f.router.Submit(context.Background(), req)
			answers <- answer
		}()
	}
	for range n {
		a := <-answers
		runs := 0
		for _, e := range f.execs {
			runs += e.Runs()[a.Key]
		}
		if a.Outcome != hoist.Done || runs != 1 {
			t.Errorf("%s: outcome %s (%s) after %d runs", a.Key, a.Outcome, a.Reason, runs)
		}
	}
}

// TestHalfOpenExecutors guards against requests and slots that are lost when
// established connections to executors swallow bytes: those in flight, those
// sent on idle connections, and those that follow.
func TestHalfOpenExecutors(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault relay.Fault
		which int
	}{
		{"one, discarding", relay.Discard, 1},
		{"one, stalled", relay.Stall, 1},
		{"all, discarding", relay.Discard, 3},
		{"all, stalled", relay.Stall, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFarm(t, 3)
			f.submit(t, "before", 12)
			done := make(chan struct{})
			go func() { defer close(done); f.submit(t, "during", 12) }()
			time.Sleep(20 * time.Millisecond)
			for _, r := range f.relays[:c.which] {
				r.MakeHalfOpen(c.fault)
			}
			f.submit(t, "after", 12)
			<-done
			waitFor(t, func() bool { return f.free() == 24 })
		})
	}
}
