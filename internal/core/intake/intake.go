// Package intake accepts plans on any host, by writing them to the platform's
// store, and tells what became of them. The owner of the cell follows the store
// and runs them.
//
// # Usage
//
//	s := &intake.Service{Store: store, Find: follower.Find, Clock: clock, Log: logger}
//	err := s.Submit(ctx, plan)
//
// # Certainty
//
// A transaction without an answer is sent again until its outcome is known: it
// expects that the plan does not exist, so it takes effect once. A plan is
// refused as not accepted only if every transaction was certainly without
// effect.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 1100 * time.Millisecond
	// retryPause is the wait before a call is repeated.
	retryPause = 60 * time.Millisecond
	// countAge is how old the numbers of waiting plans may be.
	countAge = 400 * time.Millisecond
)

// Service implements hoist.PlanService. Set the exported fields before use.
type Service struct {
	Store hoist.Store
	// Find returns the queue of a submission.
	Find  func(hostName, path string) (hoist.QueueEntry, error)
	Clock hoist.Clock
	Log   *slog.Logger

	mu     sync.Mutex
	counts map[hoist.QueueName]int
	read   time.Time
}

var _ hoist.PlanService = (*Service)(nil)

// Queue implements hoist.PlanService.
func (s *Service) Queue(hostName, path string) (hoist.QueueEntry, error) {
	return s.Find(hostName, path)
}

// Submit implements hoist.PlanService.
func (s *Service) Submit(ctx context.Context, p hoist.Plan) error {
	state := hoist.PlanState{Queue: p.Queue.Name, Phase: hoist.PlanQueued}
	txn := hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.State(p.ID)}},
		Writes: []hoist.Write{
			{RowRef: keys.Plan(p.ID), Value: codec.EncodePlan(p)},
			{RowRef: keys.State(p.ID), Value: codec.EncodePlanState(state)},
		},
	}
	began := s.Clock.Now()
	version, tries, err := s.commit(ctx, txn)
	attrs := []any{"plan", p.ID, "queue", p.Queue.Name, "tries", tries, "took", s.Clock.Now().Sub(began)}
	switch {
	case err == nil:
		events.PlanAccepted.Log(ctx, s.Log, append(attrs, "version", version)...)
		return nil
	case errors.Is(err, hoist.ErrConflict):
		// The plan exists: an earlier try was accepted.
		events.PlanAccepted.Log(ctx, s.Log, append(attrs, "again", true)...)
		return nil
	case errors.Is(err, hoist.ErrUnavailable):
		events.PlanRefused.Log(ctx, s.Log, append(attrs, "error", err)...)
	default:
		events.PlanUnsettled.Log(ctx, s.Log, append(attrs, "error", err)...)
	}
	return err
}

// commit sends a transaction until its outcome is known or ctx ends. A refusal of
// the store is passed on at once, so that the client can try another host, unless
// an earlier try may have taken effect. It returns the number of tries.
func (s *Service) commit(ctx context.Context, txn hoist.Transaction) (hoist.RowVersion, int, error) {
	var unknown error
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		version, err := s.Store.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil || errors.Is(err, hoist.ErrConflict):
			return version, tries, err
		case !errors.Is(err, hoist.ErrUnavailable):
			unknown = err
		case unknown == nil:
			return 0, tries, err
		}
		if ctx.Err() != nil {
			return 0, tries, hoist.Turn(hoist.ErrOutcomeUnknown, unknown)
		}
		clock.Pause(ctx, retryPause)
	}
}

// Phase implements hoist.PlanService.
func (s *Service) Phase(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanPhase, error) {
	state, err := s.state(ctx, queue, id)
	if err != nil && !errors.Is(err, hoist.ErrNotFound) {
		events.PlanQuestion.Log(ctx, s.Log, "plan", id, "error", err)
	}
	return state.Phase, err
}

func (s *Service) state(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanState, error) {
	row, err := s.get(ctx, keys.State(id))
	if err != nil {
		return hoist.PlanState{}, err
	}
	if row.Version == 0 {
		return hoist.PlanState{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s", id))
	}
	state, err := codec.DecodePlanState(row.Value)
	if err != nil {
		return hoist.PlanState{}, merry.Prependf(err, "state of plan %s", id)
	}
	if state.Queue != queue {
		return hoist.PlanState{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s in queue %s", id, queue))
	}
	return state, nil
}

// get reads a row.
func (s *Service) get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.Get(ctx, ref)
}

// Cancel implements hoist.PlanService.
func (s *Service) Cancel(ctx context.Context, queue hoist.QueueName, id hoist.JobID) error {
	state, err := s.state(ctx, queue, id)
	if err != nil || state.Phase.IsFinal() {
		return err
	}
	txn := hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.Cancel(id), Value: []byte("{}")}}}
	version, tries, err := s.commit(ctx, txn)
	if err != nil {
		events.PlanQuestion.Log(ctx, s.Log, "plan", id, "cancel", true, "tries", tries, "error", err)
		return err
	}
	events.PlanCancelAsked.Log(ctx, s.Log, "plan", id, "phase", state.Phase, "version", version, "tries", tries)
	return nil
}

// Waiting implements hoist.PlanService.
func (s *Service) Waiting(ctx context.Context, queue hoist.QueueName) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts != nil && s.Clock.Now().Sub(s.read) < countAge {
		return s.counts[queue], nil
	}
	asked := s.Clock.Now()
	row, err := s.get(ctx, keys.Beat)
	if err != nil {
		return 0, err
	}
	beat, err := codec.DecodeRow[rows.Beat](row.Value)
	if err != nil {
		return 0, merry.Prepend(err, "numbers of waiting plans")
	}
	s.counts = make(map[hoist.QueueName]int)
	for name, n := range beat.Waiting {
		s.counts[hoist.QueueName(name)] = n
	}
	s.read = asked
	return s.counts[queue], nil
}
