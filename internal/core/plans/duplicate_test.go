package plans

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/memory"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// emptyRegistry is a registry without entries.
type emptyRegistry struct{}

// Workers implements hoist.Registry.
func (emptyRegistry) Workers(ctx context.Context, _ hoist.RowVersion, wait time.Duration) (hoist.WorkerChanges, error) {
	clock.Sleep(ctx, wait)
	return hoist.WorkerChanges{IsAll: true, Next: 1}, nil
}

// duplicatePlan is a plan with the first two parts in which it can be accepted.
type duplicatePlan struct {
	t           *testing.T
	store       *memory.Store
	home, spare hoist.PartName
}

const duplicateID = hoist.JobID("5c0e7a21d94b36f8")

func newDuplicatePlan(t *testing.T) *duplicatePlan {
	parts := keys.PartsOf(duplicateID)
	return &duplicatePlan{t, &memory.Store{}, parts[0], parts[1]}
}

func (p *duplicatePlan) commit(txn hoist.Transaction) {
	p.t.Helper()
	commit(p.t, p.store, txn)
}

// accept records the plan in a part, as a host does that accepts it.
func (p *duplicatePlan) accept(part hoist.PartName) {
	p.t.Helper()
	accept(p.t, p.store, part, hoist.Plan{ID: duplicateID, Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}}})
}

// setState records a state of the plan, as an owner does.
func (p *duplicatePlan) setState(part hoist.PartName, s hoist.PlanState) {
	p.t.Helper()
	s.Queue = "q"
	p.commit(hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.State(part, duplicateID), Value: codec.EncodePlanState(s)}}})
}

// end records that the plan has ended and removes its row.
func (p *duplicatePlan) end(part hoist.PartName) {
	p.t.Helper()
	p.setState(part, hoist.PlanState{Phase: hoist.PlanDone, Next: 1, Ended: time.Now()})
	p.commit(hoist.Transaction{Remove: []hoist.RowRef{keys.Plan(part, duplicateID)}})
}

// runOwner runs a driver for 6 s, and calls during after the first second.
func (p *duplicatePlan) runOwner(during func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &Driver{
		Claim: claim.NewOwnership(1, writeFences(p.t, p.store), time.Now(), time.Now(), cancel),
		Store: p.store, Registry: emptyRegistry{}, Advisers: &AdviserPool{}, Clock: clock.System{}, StateRetention: time.Minute,
		Queue: func(hoist.QueueName) (hoist.Queue, bool) { return hoist.Queue{}, false },
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(ctx)
	}()
	time.Sleep(time.Second)
	during()
	time.Sleep(5 * time.Second)
	cancel()
	<-ended
}

// wantOnly fails the test unless the plan has a state in part and none in other.
func (p *duplicatePlan) wantOnly(part, other hoist.PartName) {
	p.t.Helper()
	for _, at := range []hoist.PartName{part, other} {
		row, err := p.store.Get(context.Background(), keys.State(at, duplicateID))
		is.New(p.t).NoErr(err)
		if (row.Version > 0) != (at == part) {
			p.t.Errorf("part %s has a state of the plan: %t, expected the opposite", at, row.Version > 0)
		}
	}
}

// TestDuplicatePlanIsRemoved guards against a plan that runs twice because it was
// accepted in two parts of the store, and against removing the copy that has
// started.
func TestDuplicatePlanIsRemoved(t *testing.T) {
	started := hoist.PlanState{Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{
		Placed: []hoist.PlacedRun{{Index: 0, Attempt: 1, Worker: "w"}},
	}}}
	for _, c := range []struct {
		name   string
		before func(p *duplicatePlan)
		during func(p *duplicatePlan)
		isHome bool
	}{
		{"accepted in the spare part first", func(p *duplicatePlan) { p.accept(p.spare) }, func(p *duplicatePlan) { p.accept(p.home) }, false},
		{"accepted in the home part first", func(p *duplicatePlan) { p.accept(p.home) }, func(p *duplicatePlan) { p.accept(p.spare) }, true},
		{"started in the spare part", func(p *duplicatePlan) {
			p.accept(p.home)
			p.accept(p.spare)
			p.setState(p.spare, started)
		}, func(*duplicatePlan) {}, false},
		{"started in the home part", func(p *duplicatePlan) {
			p.accept(p.spare)
			p.accept(p.home)
			p.setState(p.home, started)
		}, func(*duplicatePlan) {}, true},
		{"ended in the spare part", func(p *duplicatePlan) {
			p.accept(p.spare)
			p.end(p.spare)
		}, func(p *duplicatePlan) { p.accept(p.home) }, false},
		{"ended in the spare part before the takeover", func(p *duplicatePlan) {
			p.accept(p.spare)
			p.end(p.spare)
			p.accept(p.home)
		}, func(*duplicatePlan) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newDuplicatePlan(t)
				c.before(p)
				p.runOwner(func() { c.during(p) })
				if c.isHome {
					p.wantOnly(p.home, p.spare)
				} else {
					p.wantOnly(p.spare, p.home)
				}
			})
		})
	}
}
