package intake_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/intake"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/shelf"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// desk is a service with its store.
type desk struct {
	t    *testing.T
	link *shelf.Link
	*intake.Service
}

func newDesk(t *testing.T) *desk {
	link := &shelf.Link{Store: &shelf.Store{}}
	return &desk{t, link, &intake.Service{Store: link, Clock: clock.System{}}}
}

var plan = hoist.Plan{
	ID: "5c0e7a21d94b36f8", Queue: hoist.Queue{Name: "checks", Service: "lids"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}},
}

func (d *desk) submit() error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.Submit(ctx, plan)
}

func (d *desk) wantPhase(want hoist.PlanPhase) {
	d.t.Helper()
	got, err := d.Phase(context.Background(), "checks", plan.ID)
	if err != nil || got != want {
		d.t.Fatalf("plan is %q (%v), expected %q", got, err, want)
	}
}

// setState writes what an owner of the cell records.
func (d *desk) setState(phase hoist.PlanPhase) {
	d.t.Helper()
	_, err := d.link.Commit(context.Background(), hoist.Transaction{Writes: []hoist.Write{{
		RowRef: keys.State(home, plan.ID), Value: codec.EncodePlanState(hoist.PlanState{Queue: "checks", Phase: phase}),
	}}})
	is.New(d.t).NoErr(err)
}

// TestSubmit guards against plans that are refused although they were accepted,
// and accepted although they are not recorded.
func TestSubmit(t *testing.T) {
	t.Run("accepted once", func(t *testing.T) {
		d := newDesk(t)
		is.New(t).NoErr(d.submit())
		d.wantPhase(hoist.PlanQueued)
		d.setState(hoist.PlanRunning)
		is.New(t).NoErr(d.submit()) // the same plan again
		d.wantPhase(hoist.PlanRunning)
	})
	t.Run("refused at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDesk(t)
			d.link.SetError(hoist.ErrUnavailable)
			began := time.Now()
			err := d.submit()
			is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
			is.New(t).Equal(time.Since(began), time.Duration(0))
		})
	})
	t.Run("answer lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDesk(t)
			d.link.LoseAnswers(1)
			is.New(t).NoErr(d.submit())
			d.wantPhase(hoist.PlanQueued)
		})
	})
	t.Run("no answer in time is no refusal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDesk(t)
			d.link.LoseAnswers(100)
			err := d.submit()
			is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
		})
	})
	t.Run("refused after a lost answer is no refusal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDesk(t)
			d.link.LoseAnswers(1)
			time.AfterFunc(500*time.Millisecond, func() { d.link.SetError(hoist.ErrUnavailable) })
			err := d.submit()
			is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
		})
	})
}

// The parts that the plan can be recorded in.
var (
	planParts = keys.PartsOf(plan.ID)
	home      = planParts[0]
	spare     = planParts[1]
)

// TestSpare guards against plans that are refused because one part of the store is
// away, and against answers that a plan does not exist although it may.
func TestSpare(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		home error
		// limit bounds the time until the plan is accepted.
		limit time.Duration
	}{
		{"home refuses", hoist.ErrUnavailable, time.Millisecond},
		{"home does not answer", hoist.ErrOutcomeUnknown, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDesk(t)
				is.NoErr(d.Submit(ctx, hoist.Plan{ID: "0000000000000000", Queue: plan.Queue})) // the store is quick
				d.link.SetPartError(home, c.home)
				began := time.Now()
				is.NoErr(d.submit())
				is.True(time.Since(began) <= c.limit)
				d.wantPhase(hoist.PlanQueued)
				is.NoErr(d.submit()) // again, while the home is away
				is.NoErr(d.Cancel(ctx, "checks", plan.ID))
				row, err := d.link.Get(ctx, keys.Cancel(spare, plan.ID))
				is.NoErr(err)
				is.True(row.Version > 0)
				d.link.SetPartError(home, nil)
				d.wantPhase(hoist.PlanQueued) // found in the spare part
			})
		})
	}
	t.Run("store turns slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(t)
			is.NoErr(d.Submit(ctx, hoist.Plan{ID: "0000000000000000", Queue: plan.Queue})) // the store is quick
			const slow = 800 * time.Millisecond
			d.link.SetDelay(slow)
			began := time.Now()
			is.NoErr(d.submit())
			is.Equal(time.Since(began), slow) // the first try is not given up
		})
	})
	t.Run("question about the queue without an answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(t)
			d.link.SetPartError(keys.Renewal.Part, hoist.ErrOutcomeUnknown)
			var asking sync.WaitGroup
			defer asking.Wait()
			asking.Go(func() { _, _ = d.Waiting(ctx, "checks") })
			synctest.Wait()
			began := time.Now()
			is.NoErr(d.submit())
			is.Equal(time.Since(began), time.Duration(0)) // it does not wait for the question
		})
	})
	t.Run("all but the last refuse", func(t *testing.T) {
		d := newDesk(t)
		for _, part := range planParts[:len(planParts)-1] {
			d.link.SetPartError(part, hoist.ErrUnavailable)
		}
		is.New(t).NoErr(d.submit())
		d.wantPhase(hoist.PlanQueued)
	})
	t.Run("all refuse", func(t *testing.T) {
		d := newDesk(t)
		for _, part := range planParts {
			d.link.SetPartError(part, hoist.ErrUnavailable)
		}
		is.New(t).True(errors.Is(d.submit(), hoist.ErrUnavailable))
	})
	t.Run("home without an answer and spare parts that refuse", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDesk(t)
			d.link.SetPartError(home, hoist.ErrOutcomeUnknown)
			for _, part := range planParts[1:] {
				d.link.SetPartError(part, hoist.ErrUnavailable)
			}
			is.New(t).True(errors.Is(d.submit(), hoist.ErrOutcomeUnknown))
		})
	})
	t.Run("question while a part is away", func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		for _, part := range planParts {
			d.link.SetPartError(part, hoist.ErrUnavailable)
			_, err := d.Phase(ctx, "checks", plan.ID)
			is.True(errors.Is(err, hoist.ErrUnavailable))
			d.link.SetPartError(part, nil)
		}
		_, err := d.Phase(ctx, "checks", plan.ID)
		is.True(errors.Is(err, hoist.ErrNotFound))
	})
}

// TestCancel guards against cancellations that are lost, or of plans of others.
func TestCancel(t *testing.T) {
	ctx := context.Background()
	t.Run("recorded", func(t *testing.T) {
		d := newDesk(t)
		is.New(t).NoErr(d.submit())
		is.New(t).NoErr(d.Cancel(ctx, "checks", plan.ID))
		row, err := d.link.Get(ctx, keys.Cancel(home, plan.ID))
		is.New(t).NoErr(err)
		is.New(t).True(row.Version > 0)
	})
	t.Run("no such plan", func(t *testing.T) {
		d := newDesk(t)
		is.New(t).True(errors.Is(d.Cancel(ctx, "checks", plan.ID), hoist.ErrNotFound))
	})
	t.Run("another queue", func(t *testing.T) {
		d := newDesk(t)
		is.New(t).NoErr(d.submit())
		is.New(t).True(errors.Is(d.Cancel(ctx, "audits", plan.ID), hoist.ErrNotFound))
	})
	t.Run("over already", func(t *testing.T) {
		d := newDesk(t)
		is.New(t).NoErr(d.submit())
		d.setState(hoist.PlanDone)
		is.New(t).NoErr(d.Cancel(ctx, "checks", plan.ID))
		row, err := d.link.Get(ctx, keys.Cancel(home, plan.ID))
		is.New(t).NoErr(err)
		is.New(t).Equal(row.Version, hoist.RowVersion(0))
	})
}
