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
	"fuchsiahoist.example/hoist/internal/fake/memory"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// testService is a service with its store.
type testService struct {
	t    *testing.T
	link *memory.Link
	*intake.Service
}

func newTestService(t *testing.T) *testService {
	link := &memory.Link{Store: &memory.Store{}}
	return &testService{t, link, &intake.Service{Store: link, Clock: clock.System{}}}
}

var plan = hoist.Plan{
	ID: "5c0e7a21d94b36f8", Queue: hoist.Queue{Name: "checks", Service: "lids"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}},
}

func (s *testService) submit() error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.Submit(ctx, plan)
}

func (s *testService) wantPhase(want hoist.PlanPhase) {
	s.t.Helper()
	got, err := s.Phase(context.Background(), "checks", plan.ID)
	if err != nil || got != want {
		s.t.Fatalf("plan phase is %q (error %v), expected %q", got, err, want)
	}
}

// setState records a phase of the plan, as the owner of the cell does.
func (s *testService) setState(phase hoist.PlanPhase) {
	s.t.Helper()
	_, err := s.link.Commit(context.Background(), hoist.Transaction{Writes: []hoist.Write{{
		RowRef: keys.State(home, plan.ID), Value: codec.EncodePlanState(hoist.PlanState{Queue: "checks", Phase: phase}),
	}}})
	is.New(s.t).NoErr(err)
}

// TestSubmitMatchesRecordedState guards against plans that are refused although they
// were accepted, and plans that are accepted although they are not recorded.
func TestSubmitMatchesRecordedState(t *testing.T) {
	t.Run("plan submitted twice is accepted once", func(t *testing.T) {
		s := newTestService(t)
		is.New(t).NoErr(s.submit())
		s.wantPhase(hoist.PlanQueued)
		s.setState(hoist.PlanRunning)
		is.New(t).NoErr(s.submit()) // the same plan again
		s.wantPhase(hoist.PlanRunning)
	})
	t.Run("refusal of the store is returned at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService(t)
			s.link.SetError(hoist.ErrUnavailable)
			began := time.Now()
			err := s.submit()
			is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
			is.New(t).Equal(time.Since(began), time.Duration(0))
		})
	})
	t.Run("lost answer is retried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService(t)
			s.link.LoseAnswers(1)
			is.New(t).NoErr(s.submit())
			s.wantPhase(hoist.PlanQueued)
		})
	})
	t.Run("outcome is unknown without any answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService(t)
			s.link.LoseAnswers(100)
			err := s.submit()
			is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
		})
	})
	t.Run("outcome is unknown after a lost answer and refusals", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService(t)
			s.link.LoseAnswers(1)
			time.AfterFunc(500*time.Millisecond, func() { s.link.SetError(hoist.ErrUnavailable) })
			err := s.submit()
			is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
		})
	})
}

// The parts in which the plan can be recorded.
var (
	planParts = keys.PartsOf(plan.ID)
	home      = planParts[0]
	spare     = planParts[1]
)

// TestSubmitToSpareParts guards against plans that are refused because one part of
// the store is unavailable, and against hoist.ErrNotFound for a plan that may exist.
func TestSubmitToSpareParts(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		home error
		// limit bounds the time until the plan is accepted.
		limit time.Duration
	}{
		{"home part refuses", hoist.ErrUnavailable, time.Millisecond},
		{"home part does not answer", hoist.ErrOutcomeUnknown, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestService(t)
				is.NoErr(s.Submit(ctx, hoist.Plan{ID: "0000000000000000", Queue: plan.Queue, Steps: plan.Steps})) // the store is fast
				s.link.SetPartError(home, c.home)
				began := time.Now()
				is.NoErr(s.submit())
				is.True(time.Since(began) <= c.limit)
				s.wantPhase(hoist.PlanQueued)
				is.NoErr(s.submit()) // the same plan again, while the home part is unavailable
				is.NoErr(s.Cancel(ctx, "checks", plan.ID))
				row, err := s.link.Get(ctx, keys.Cancel(spare, plan.ID))
				is.NoErr(err)
				is.True(row.Version > 0)
				s.link.SetPartError(home, nil)
				s.wantPhase(hoist.PlanQueued) // found in the spare part
			})
		})
	}
	t.Run("store becomes slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestService(t)
			is.NoErr(s.Submit(ctx, hoist.Plan{ID: "0000000000000000", Queue: plan.Queue, Steps: plan.Steps})) // the store is fast
			const slow = 800 * time.Millisecond
			s.link.SetDelay(slow)
			began := time.Now()
			is.NoErr(s.submit())
			is.Equal(time.Since(began), slow) // the first try is not cancelled
		})
	})
	t.Run("store stays slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestService(t)
			s.link.SetDelay(400 * time.Millisecond)
			is.NoErr(s.Submit(ctx, hoist.Plan{ID: "0000000000000000", Queue: plan.Queue, Steps: plan.Steps}))
			// A part that has transactions of others in its queue takes longer than usual.
			s.link.SetDelay(1800 * time.Millisecond)
			began := time.Now()
			is.NoErr(s.submit())
			is.Equal(time.Since(began), 1800*time.Millisecond)
			row, err := s.link.Get(ctx, keys.Plan(spare, plan.ID))
			is.NoErr(err)
			is.Equal(row.Version, hoist.RowVersion(0)) // no other part got the plan as well
		})
	})
	t.Run("submission does not wait for the numbers of waiting plans", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestService(t)
			s.link.SetPartError(keys.Renewal.Part, hoist.ErrOutcomeUnknown)
			var counting sync.WaitGroup
			defer counting.Wait()
			counting.Go(func() { _, _ = s.Waiting(ctx, "checks") })
			synctest.Wait()
			began := time.Now()
			is.NoErr(s.submit())
			is.Equal(time.Since(began), time.Duration(0)) // Submit does not wait for Waiting
		})
	})
	t.Run("all parts but the last refuse", func(t *testing.T) {
		s := newTestService(t)
		for _, part := range planParts[:len(planParts)-1] {
			s.link.SetPartError(part, hoist.ErrUnavailable)
		}
		is.New(t).NoErr(s.submit())
		s.wantPhase(hoist.PlanQueued)
	})
	t.Run("all parts refuse", func(t *testing.T) {
		s := newTestService(t)
		for _, part := range planParts {
			s.link.SetPartError(part, hoist.ErrUnavailable)
		}
		is.New(t).True(errors.Is(s.submit(), hoist.ErrUnavailable))
	})
	t.Run("home part does not answer and spare parts refuse", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService(t)
			s.link.SetPartError(home, hoist.ErrOutcomeUnknown)
			for _, part := range planParts[1:] {
				s.link.SetPartError(part, hoist.ErrUnavailable)
			}
			is.New(t).True(errors.Is(s.submit(), hoist.ErrOutcomeUnknown))
		})
	})
	t.Run("phase while a part is unavailable", func(t *testing.T) {
		is := is.New(t)
		s := newTestService(t)
		for _, part := range planParts {
			s.link.SetPartError(part, hoist.ErrUnavailable)
			_, err := s.Phase(ctx, "checks", plan.ID)
			is.True(errors.Is(err, hoist.ErrUnavailable))
			s.link.SetPartError(part, nil)
		}
		_, err := s.Phase(ctx, "checks", plan.ID)
		is.True(errors.Is(err, hoist.ErrNotFound))
	})
}

// TestCancelIsRecorded guards against cancellations that are lost, and against
// cancellations of plans of another queue.
func TestCancelIsRecorded(t *testing.T) {
	ctx := context.Background()
	t.Run("cancellation is recorded", func(t *testing.T) {
		s := newTestService(t)
		is.New(t).NoErr(s.submit())
		is.New(t).NoErr(s.Cancel(ctx, "checks", plan.ID))
		row, err := s.link.Get(ctx, keys.Cancel(home, plan.ID))
		is.New(t).NoErr(err)
		is.New(t).True(row.Version > 0)
	})
	t.Run("plan does not exist", func(t *testing.T) {
		s := newTestService(t)
		is.New(t).True(errors.Is(s.Cancel(ctx, "checks", plan.ID), hoist.ErrNotFound))
	})
	t.Run("plan of another queue", func(t *testing.T) {
		s := newTestService(t)
		is.New(t).NoErr(s.submit())
		is.New(t).True(errors.Is(s.Cancel(ctx, "audits", plan.ID), hoist.ErrNotFound))
	})
	t.Run("plan has ended", func(t *testing.T) {
		s := newTestService(t)
		is.New(t).NoErr(s.submit())
		s.setState(hoist.PlanDone)
		is.New(t).NoErr(s.Cancel(ctx, "checks", plan.ID))
		row, err := s.link.Get(ctx, keys.Cancel(home, plan.ID))
		is.New(t).NoErr(err)
		is.New(t).Equal(row.Version, hoist.RowVersion(0))
	})
}
