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

// soleOwner owns every shard.
type soleOwner struct{ hoist.Ownership }

func (soleOwner) Self() hoist.HostID                         { return "h" }
func (soleOwner) Owns(hoist.ShardID) (hoist.Term, bool)      { return 1, true }
func (soleOwner) OwnerOf(hoist.ShardID) (hoist.HostID, bool) { return "h", true }
func (soleOwner) Accepts(hoist.ShardID, hoist.Term) bool     { return true }

// fixture is a router with executors that it reaches through relays.
type fixture struct {
	router *route.Router
	execs  []*execd.Executor
	relays []*relay.Relay
	listed []hoist.HostEntry
}

// List implements hoist.HostList.
func (f *fixture) List(context.Context) ([]hoist.HostEntry, error) { return f.listed, nil }

func newFixture(t *testing.T, executors int) *fixture {
	f := &fixture{}
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
	f.router = &route.Router{Ownership: soleOwner{}, HostList: f, Clock: simnet.Clock{}, DialExecutor: func(l hoist.HostEntry) hoist.Executor {
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

func (f *fixture) free() int {
	free := 0
	for _, s := range f.router.Slots() {
		free += s.Quick
	}
	return free
}

// waitFor fails the test if the condition does not hold within 30 s.
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

// assertAllDone sends n requests at the same time and checks that each is done after
// exactly one run.
func (f *fixture) assertAllDone(t *testing.T, name string, n int) {
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

// TestHalfOpenConnectionsToExecutors guards against requests and slots that are lost
// when established connections to executors become half-open: requests in flight,
// those sent on idle connections, and those that follow.
func TestHalfOpenConnectionsToExecutors(t *testing.T) {
	for _, c := range []struct {
		name        string
		fault       relay.Fault
		numHalfOpen int
	}{
		{"connections to one executor discard data", relay.Discard, 1},
		{"connections to one executor stall", relay.Stall, 1},
		{"connections to all executors discard data", relay.Discard, 3},
		{"connections to all executors stall", relay.Stall, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3)
			f.assertAllDone(t, "before", 12)
			done := make(chan struct{})
			go func() { defer close(done); f.assertAllDone(t, "during", 12) }()
			time.Sleep(20 * time.Millisecond)
			for _, r := range f.relays[:c.numHalfOpen] {
				r.MakeHalfOpen(c.fault)
			}
			f.assertAllDone(t, "after", 12)
			<-done
			waitFor(t, func() bool { return f.free() == 24 })
		})
	}
}
