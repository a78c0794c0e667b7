package drive

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
	"fuchsiahoist.example/hoist/internal/fake/shelf"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// noWorkers is a registry without entries.
type noWorkers struct{}

// Workers implements hoist.Registry.
func (noWorkers) Workers(ctx context.Context, _ hoist.RowVersion, wait time.Duration) (hoist.WorkerChanges, error) {
	clock.Pause(ctx, wait)
	return hoist.WorkerChanges{IsAll: true, Next: 1}, nil
}

// twice is a plan, and the parts that it can be accepted in.
type twice struct {
	t           *testing.T
	store       *shelf.Store
	home, spare hoist.PartName
}

const twiceID = hoist.JobID("5c0e7a21d94b36f8")

func newTwice(t *testing.T) *twice {
	parts := keys.PartsOf(twiceID)
	return &twice{t, &shelf.Store{}, parts[0], parts[1]}
}

func (w *twice) commit(txn hoist.Transaction) {
	w.t.Helper()
	_, err := w.store.Commit(context.Background(), txn)
	is.New(w.t).NoErr(err)
}

// accept records the plan in a part.
func (w *twice) accept(part hoist.PartName) {
	w.t.Helper()
	plan := hoist.Plan{ID: twiceID, Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}}}
	w.commit(hoist.Transaction{Writes: []hoist.Write{
		{RowRef: keys.Plan(part, twiceID), Value: codec.EncodePlan(plan)},
		{RowRef: keys.State(part, twiceID), Value: codec.EncodePlanState(hoist.PlanState{Queue: "q", Phase: hoist.PlanQueued})},
	}})
}

// setState records what an owner would.
func (w *twice) setState(part hoist.PartName, s hoist.PlanState) {
	w.t.Helper()
	s.Queue = "q"
	w.commit(hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.State(part, twiceID), Value: codec.EncodePlanState(s)}}})
}

// end removes the row of a plan that has ended.
func (w *twice) end(part hoist.PartName) {
	w.t.Helper()
	w.setState(part, hoist.PlanState{Phase: hoist.PlanDone, Next: 1, Ended: time.Now()})
	w.commit(hoist.Transaction{Remove: []hoist.RowRef{keys.Plan(part, twiceID)}})
}

// own lets an owner act for a while; during is called in the middle of it.
func (w *twice) own(during func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var fences hoist.Transaction
	for _, part := range keys.Parts() {
		fences.Writes = append(fences.Writes, hoist.Write{RowRef: keys.Fence(part)})
	}
	version, err := w.store.Commit(ctx, fences)
	is.New(w.t).NoErr(err)
	d := &Driver{
		Own:   claim.NewOwnership(1, version, time.Now(), time.Now(), cancel),
		Store: w.store, Registry: noWorkers{}, Advisers: &AdviserPool{}, Clock: clock.System{}, StateRetention: time.Minute,
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

// wantOnly fails unless the plan's state is in one part and not in the other.
func (w *twice) wantOnly(part, other hoist.PartName) {
	w.t.Helper()
	for _, at := range []hoist.PartName{part, other} {
		row, err := w.store.Get(context.Background(), keys.State(at, twiceID))
		is.New(w.t).NoErr(err)
		if (row.Version > 0) != (at == part) {
			w.t.Errorf("part %s has a state: %t", at, row.Version > 0)
		}
	}
}

// TestDuplicate guards against a plan that runs twice because it was accepted in
// two parts of the store, and against dropping the one that has begun.
func TestDuplicate(t *testing.T) {
	begun := hoist.PlanState{Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{
		Placed: []hoist.PlacedRun{{Index: 0, Attempt: 1, Worker: "w"}},
	}}}
	for _, c := range []struct {
		name   string
		before func(w *twice)
		during func(w *twice)
		isHome bool
	}{
		{"spare first", func(w *twice) { w.accept(w.spare) }, func(w *twice) { w.accept(w.home) }, false},
		{"home first", func(w *twice) { w.accept(w.home) }, func(w *twice) { w.accept(w.spare) }, true},
		{"spare has begun", func(w *twice) {
			w.accept(w.home)
			w.accept(w.spare)
			w.setState(w.spare, begun)
		}, func(*twice) {}, false},
		{"home has begun", func(w *twice) {
			w.accept(w.spare)
			w.accept(w.home)
			w.setState(w.home, begun)
		}, func(*twice) {}, true},
		{"spare has ended", func(w *twice) {
			w.accept(w.spare)
			w.end(w.spare)
		}, func(w *twice) { w.accept(w.home) }, false},
		{"spare had ended before the owner", func(w *twice) {
			w.accept(w.spare)
			w.end(w.spare)
			w.accept(w.home)
		}, func(*twice) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTwice(t)
				c.before(w)
				w.own(func() { c.during(w) })
				if c.isHome {
					w.wantOnly(w.home, w.spare)
				} else {
					w.wantOnly(w.spare, w.home)
				}
			})
		})
	}
}
