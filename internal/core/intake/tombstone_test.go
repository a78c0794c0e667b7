package intake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/intake"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/memory"
)

// lateStore holds transactions back and commits them when told to.
type lateStore struct {
	*memory.Link
	isLate bool
	held   []hoist.Transaction
}

// Commit implements hoist.Store.
func (s *lateStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	if s.isLate {
		s.held = append(s.held, t)
		<-ctx.Done()
		return 0, hoist.ErrOutcomeUnknown
	}
	return s.Link.Commit(ctx, t)
}

// TestCancelOvertakesSubmission guards against a job that runs although its cancellation was
// answered with "no such job", because the transaction of its submission took effect later.
func TestCancelOvertakesSubmission(t *testing.T) {
	ctx := context.Background()
	// overtake lets a client give its submission up and cancel it.
	overtake := func(t *testing.T) (*lateStore, *testService) {
		s := newTestService(t)
		store := &lateStore{Link: s.link, isLate: true}
		s.Service = &intake.Service{Store: store, Clock: s.Clock}
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		is.New(t).True(errors.Is(s.Submit(short, plan), hoist.ErrOutcomeUnknown))
		store.isLate = false
		is.New(t).True(errors.Is(s.Cancel(ctx, "checks", plan.ID), hoist.ErrNotFound))
		return store, s
	}
	wantNoPlan := func(t *testing.T, s *testService) {
		t.Helper()
		for _, part := range planParts {
			row, err := s.link.Get(ctx, keys.Plan(part, plan.ID))
			is.New(t).NoErr(err)
			is.New(t).Equal(row.Version, hoist.RowVersion(0))
		}
	}
	t.Run("late transaction has no effect", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store, s := overtake(t)
			is.New(t).True(len(store.held) > 0)
			for _, txn := range store.held {
				_, err := s.link.Commit(ctx, txn)
				is.New(t).True(errors.Is(err, hoist.ErrConflict))
			}
			wantNoPlan(t, s)
		})
	})
	t.Run("later submission is refused as not accepted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, s := overtake(t)
			is.New(t).True(errors.Is(s.submit(), hoist.ErrUnavailable))
			wantNoPlan(t, s)
		})
	})
	t.Run("plan is not known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, s := overtake(t)
			_, err := s.Phase(ctx, "checks", plan.ID)
			is.New(t).True(errors.Is(err, hoist.ErrNotFound))
			is.New(t).True(errors.Is(s.Cancel(ctx, "checks", plan.ID), hoist.ErrNotFound))
		})
	})
	t.Run("no answer while a part may still accept it", func(t *testing.T) {
		s := newTestService(t)
		s.link.SetPartError(planParts[2], hoist.ErrUnavailable)
		is.New(t).True(errors.Is(s.Cancel(ctx, "checks", plan.ID), hoist.ErrUnavailable))
		s.link.SetPartError(planParts[2], nil)
		is.New(t).NoErr(s.submit()) // into the part without a tombstone
		is.New(t).NoErr(s.Cancel(ctx, "checks", plan.ID))
	})
}
