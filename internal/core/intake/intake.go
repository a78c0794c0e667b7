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
// A transaction without an answer is sent again: it expects that the plan does
// not exist, so it takes effect once in a part. While a plan's home part cannot be
// written the plan goes to a spare part; the owner of the cell sees to it that a
// plan which is in several runs once. A plan is refused as not accepted only if every
// transaction was certainly without effect.
package intake

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
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
	// patienceFactor is how much longer than the last call a part may take before
	// the next one is tried as well, and leastPatience the least time for it.
	patienceFactor = 6
	leastPatience  = 450 * time.Millisecond
	// avoidTime is how long a part that could not be written is tried last.
	avoidTime = time.Second
)

// Service implements hoist.PlanService. Set the exported fields before use.
type Service struct {
	Store hoist.Store
	// Find returns the queue of a submission.
	Find  func(hostName, path string) (hoist.QueueEntry, error)
	Clock hoist.Clock
	Log   *slog.Logger

	// counting is held while the numbers of waiting plans are read.
	counting sync.Mutex
	counts   map[hoist.QueueName]int
	read     time.Time

	mu sync.Mutex
	// took is how long the last transaction took that was answered, if any was.
	took        time.Duration
	hasAnswered bool
	// avoid is until when the parts that could not be written are tried last.
	avoid map[hoist.PartName]time.Time
}

var _ hoist.PlanService = (*Service)(nil)

// Queue implements hoist.PlanService.
func (s *Service) Queue(hostName, path string) (hoist.QueueEntry, error) {
	return s.Find(hostName, path)
}

// Submit implements hoist.PlanService.
func (s *Service) Submit(ctx context.Context, p hoist.Plan) error {
	began := s.Clock.Now()
	part, version, tries, err := s.record(ctx, p)
	attrs := []any{"plan", p.ID, "queue", p.Queue.Name, "part", part, "tries", tries, "took", s.Clock.Now().Sub(began)}
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
		events.PlanOutcomeUnknown.Log(ctx, s.Log, append(attrs, "error", err)...)
	}
	return err
}

// record writes a plan to its home part, or to its spare parts if the home refuses
// it or takes long. A try that takes long goes on, as the store may only be slow.
// Once all parts have certainly refused the plan, record returns
// hoist.ErrUnavailable, so that the client can try another host. It returns the
// part and the number of tries.
func (s *Service) record(ctx context.Context, p hoist.Plan) (hoist.PartName, hoist.RowVersion, int, error) {
	parts := s.inTurn(keys.PartsOf(p.ID))
	results := make(chan tried, len(parts))
	sent, answered := 0, 0
	send := func() {
		part := parts[sent]
		sent++
		go func() { results <- s.try(ctx, part, accept(part, p), callTimeout) }()
	}
	send()
	var unknown error
	patience := time.NewTimer(s.patience())
	defer patience.Stop()
	for answered < len(parts) {
		select {
		case r := <-results:
			answered++
			if r.isKnown() {
				return r.part, r.version, sent, r.err
			}
			if !errors.Is(r.err, hoist.ErrUnavailable) {
				unknown = r.err
			}
			if answered == len(parts) && unknown == nil {
				return r.part, 0, sent, r.err
			}
		case <-patience.C:
			patience.Reset(s.patience())
		}
		if sent < len(parts) {
			send()
		}
	}
	return s.settle(ctx, p, parts, unknown)
}

// inTurn returns the parts in the order in which they are tried: those that could
// not be written a short time ago come last.
func (s *Service) inTurn(parts []hoist.PartName) []hoist.PartName {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	slices.SortStableFunc(parts, func(x, y hoist.PartName) int {
		return cmp.Compare(s.rank(x, now), s.rank(y, now))
	})
	return parts
}

// rank is 1 for a part that is avoided, else 0. The mutex is held.
func (s *Service) rank(part hoist.PartName, now time.Time) int {
	if now.Before(s.avoid[part]) {
		return 1
	}
	return 0
}

// settle tries the parts in turn until one of them tells what became of a plan
// that may be recorded, or until ctx ends.
func (s *Service) settle(
	ctx context.Context, p hoist.Plan, parts []hoist.PartName, unknown error,
) (hoist.PartName, hoist.RowVersion, int, error) {
	for tries := len(parts); ; tries++ {
		part := parts[tries%len(parts)]
		if !clock.Pause(ctx, retryPause) {
			return part, 0, tries, hoist.ConvertError(hoist.ErrOutcomeUnknown, unknown)
		}
		if r := s.try(ctx, part, accept(part, p), callTimeout); r.isKnown() {
			return part, r.version, tries + 1, r.err
		}
	}
}

// tried is the outcome of a transaction on one part.
type tried struct {
	part    hoist.PartName
	version hoist.RowVersion
	err     error
}

// isKnown reports whether the store has answered.
func (t tried) isKnown() bool {
	return t.err == nil || errors.Is(t.err, hoist.ErrConflict)
}

// accept is the transaction that accepts a plan in a part.
func accept(part hoist.PartName, p hoist.Plan) hoist.Transaction {
	state := hoist.PlanState{Queue: p.Queue.Name, Phase: hoist.PlanQueued}
	return hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.State(part, p.ID)}},
		Writes: []hoist.Write{
			{RowRef: keys.Plan(part, p.ID), Value: codec.EncodePlan(p)},
			{RowRef: keys.State(part, p.ID), Value: codec.EncodePlanState(state)},
		},
	}
}

// patience is how long a part is waited for before the next one is tried.
func (s *Service) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasAnswered {
		return callTimeout
	}
	return min(callTimeout, max(leastPatience, patienceFactor*s.took))
}

// try sends a transaction to a part once.
func (s *Service) try(ctx context.Context, part hoist.PartName, txn hoist.Transaction, limit time.Duration) tried {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := s.Clock.Now()
	version, err := s.Store.Commit(callCtx, txn)
	r := tried{part, version, err}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.isKnown() {
		s.took, s.hasAnswered = now.Sub(began), true
		delete(s.avoid, part)
		return r
	}
	if s.avoid == nil {
		s.avoid = make(map[hoist.PartName]time.Time)
	}
	s.avoid[part] = now.Add(avoidTime)
	return r
}

// commit sends a transaction to a part until its outcome is known or ctx ends. A
// refusal of the store is passed on at once, so that the client can try another
// host, unless an earlier try may have taken effect. It returns the number of
// tries.
func (s *Service) commit(ctx context.Context, part hoist.PartName, txn hoist.Transaction) (hoist.RowVersion, int, error) {
	var unknown error
	for tries := 1; ; tries++ {
		r := s.try(ctx, part, txn, callTimeout)
		switch {
		case r.isKnown():
			return r.version, tries, r.err
		case !errors.Is(r.err, hoist.ErrUnavailable):
			unknown = r.err
		case unknown == nil:
			return 0, tries, r.err
		}
		if ctx.Err() != nil {
			return 0, tries, hoist.ConvertError(hoist.ErrOutcomeUnknown, unknown)
		}
		clock.Pause(ctx, retryPause)
	}
}

// Phase implements hoist.PlanService.
func (s *Service) Phase(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanPhase, error) {
	state, _, err := s.state(ctx, queue, id)
	if err != nil && !errors.Is(err, hoist.ErrNotFound) {
		events.PlanQueryFailed.Log(ctx, s.Log, "plan", id, "error", err)
	}
	return state.Phase, err
}

// state returns the state of a plan and the part that has it. A plan does not
// exist if none of its parts has it.
func (s *Service) state(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanState, hoist.PartName, error) {
	var failed error
	for _, part := range keys.PartsOf(id) {
		row, err := s.get(ctx, keys.State(part, id))
		if err != nil {
			failed = err
			continue
		}
		if row.Version == 0 {
			continue
		}
		state, err := codec.DecodePlanState(row.Value)
		if err != nil {
			return hoist.PlanState{}, part, merry.Prependf(err, "state of plan %s", id)
		}
		if state.Queue != queue {
			return hoist.PlanState{}, part, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s in queue %s", id, queue))
		}
		return state, part, nil
	}
	if failed != nil {
		return hoist.PlanState{}, "", failed
	}
	return hoist.PlanState{}, "", merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s", id))
}

// get reads a row.
func (s *Service) get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.Get(ctx, ref)
}

// Cancel implements hoist.PlanService.
func (s *Service) Cancel(ctx context.Context, queue hoist.QueueName, id hoist.JobID) error {
	state, part, err := s.state(ctx, queue, id)
	if err != nil || state.Phase.IsFinal() {
		return err
	}
	txn := hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.Cancel(part, id), Value: []byte("{}")}}}
	version, tries, err := s.commit(ctx, part, txn)
	if err != nil {
		events.PlanQueryFailed.Log(ctx, s.Log, "plan", id, "cancel", true, "tries", tries, "error", err)
		return err
	}
	events.PlanCancelAsked.Log(ctx, s.Log, "plan", id, "phase", state.Phase, "version", version, "tries", tries)
	return nil
}

// Waiting implements hoist.PlanService.
func (s *Service) Waiting(ctx context.Context, queue hoist.QueueName) (int, error) {
	s.counting.Lock()
	defer s.counting.Unlock()
	if s.counts != nil && s.Clock.Now().Sub(s.read) < countAge {
		return s.counts[queue], nil
	}
	asked := s.Clock.Now()
	row, err := s.get(ctx, keys.Renewal)
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
