// Package intake accepts plans on any host, by writing them to the platform's
// store, and returns their state. The owner of the cell follows the store and runs
// the plans.
//
// # Usage
//
//	s := &intake.Service{Store: store, Find: follower.Find, Clock: clock, Log: logger}
//	err := s.Submit(ctx, plan)
//
// # Certainty
//
// A transaction without an answer is sent again: it expects that the plan does
// not exist, so it takes effect at most once in a part. While a plan's home part
// cannot be written, the plan is written to a spare part; the owner of the cell
// ensures that a plan which is in several parts runs once. A plan is refused as not
// accepted only if every transaction certainly had no effect.
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
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// storeTimeout bounds one call to the store. While the store is slow, a transaction
	// gets up to maxStoreTimeout: sending it again, or to another part, would triple the
	// load where there is least room.
	storeTimeout    = 1100 * time.Millisecond
	maxStoreTimeout = 2800 * time.Millisecond
	// retryDelay is the delay before a call is retried.
	retryDelay = 60 * time.Millisecond
	// maxCountAge is how old the cached numbers of waiting plans may be.
	maxCountAge = 400 * time.Millisecond
	// hedgeFactor is how many times as long as the last call a part may take before
	// the next part is tried concurrently.
	hedgeFactor = 6
	// minHedgeDelay is the shortest such time.
	minHedgeDelay = 450 * time.Millisecond
	// partBackoff is how long a part that could not be written is tried last.
	partBackoff = time.Second
)

// workSubmit names the acceptance of a plan in logs and metrics.
const workSubmit guard.Work = "submit"

// Service implements hoist.PlanService. Set the exported fields before use.
type Service struct {
	Store hoist.Store
	// Find returns the queue for a submission to a host name and path.
	Find func(hostName, path string) (hoist.QueueEntry, error)
	// Identify returns on whose behalf a call to a queue is made. It returns an error like
	// Authorize. nil means that no call needs a key.
	Identify func(queue hoist.QueueEntry, key hoist.KeyHash) (hoist.PlanCaller, error)
	// Refused is called for each call that is refused because of its key, with the cause;
	// it may be nil.
	Refused func(Cause)
	// Limits are what a plan must keep to be accepted. The zero value leaves
	// limit.DefaultPlans.
	Limits limit.Plans
	// Guard recovers from panics; it may be nil.
	Guard *guard.Guard
	Clock hoist.Clock
	Log   *slog.Logger

	// countMu guards counts and countedAt. It is held while the numbers of waiting
	// plans are read from the store, which must not block submissions.
	countMu   sync.Mutex
	counts    map[hoist.QueueName]int
	countedAt time.Time

	mu sync.Mutex
	// took is how long the last transaction took that was answered. It is valid once
	// hasAnswered is set.
	took        time.Duration
	hasAnswered bool
	// backoffUntil is, for each part that could not be written, the time until which it
	// is tried last.
	backoffUntil map[hoist.PartName]time.Time
}

var _ hoist.PlanService = (*Service)(nil)

// Queue implements hoist.PlanService.
func (s *Service) Queue(hostName, path string) (hoist.QueueEntry, error) {
	return s.Find(hostName, path)
}

// Submit implements hoist.PlanCalls for a caller that may reach all plans.
func (s *Service) Submit(ctx context.Context, p hoist.Plan) error {
	return s.submit(ctx, hoist.PlanCaller{}, p)
}

// submit records a plan for a caller.
func (s *Service) submit(ctx context.Context, caller hoist.PlanCaller, p hoist.Plan) error {
	began := s.Clock.Now()
	if err := s.check(p); err != nil {
		events.PlanRefused.Log(ctx, s.Log, "plan", p.ID, "queue", p.Queue.Name, "error", err)
		return err
	}
	part, version, tries, err := s.record(ctx, p)
	if errors.Is(err, hoist.ErrConflict) {
		err = s.checkExisting(ctx, caller, part, p.ID)
	}
	attrs := []any{"plan", p.ID, "queue", p.Queue.Name, "part", part, "tries", tries, "took", s.Clock.Now().Sub(began)}
	switch {
	case err == nil:
		events.PlanAccepted.Log(ctx, s.Log, append(attrs, "version", version)...)
		return nil
	case errors.Is(err, hoist.ErrConflict):
		// The plan exists: an earlier try was accepted.
		events.PlanAccepted.Log(ctx, s.Log, append(attrs, "again", true)...)
		return nil
	case errors.Is(err, hoist.ErrUnavailable), errors.Is(err, hoist.ErrInvalid), errors.Is(err, hoist.ErrOtherTeam):
		events.PlanRefused.Log(ctx, s.Log, append(attrs, "error", err)...)
	default:
		events.PlanOutcomeUnknown.Log(ctx, s.Log, append(attrs, "error", err)...)
	}
	return err
}

// maxPlanBytes bounds the encoding of a plan. A row of the store holds 64 KiB.
const maxPlanBytes = 60 << 10

// check returns a *limit.Violation if a plan is not acceptable.
func (s *Service) check(p hoist.Plan) error {
	limits := s.Limits
	if limits == (limit.Plans{}) {
		limits = limit.DefaultPlans
	}
	if err := limits.Check(p); err != nil {
		return err
	}
	return limit.CheckSize(len(codec.EncodePlan(p)), maxPlanBytes)
}

// record writes a plan to its home part, or to its spare parts if the home part
// refuses it or takes long. A try that takes long is not cancelled, as the store may
// only be slow. Once all parts have certainly refused the plan, record returns
// hoist.ErrUnavailable, so that the client can try another host. It returns the
// part that has the plan, the version that the transaction wrote and the number of
// tries.
func (s *Service) record(ctx context.Context, p hoist.Plan) (hoist.PartName, hoist.RowVersion, int, error) {
	parts := s.orderParts(keys.PartsOf(p.ID))
	results := make(chan commitResult, len(parts))
	sent, answered := 0, 0
	send := func() {
		part := parts[sent]
		sent++
		limit := s.tryLimit()
		go func() {
			r := commitResult{part: part, err: hoist.ErrOutcomeUnknown}
			_ = s.Guard.Do(ctx, workSubmit, func() { r = s.tryAccept(ctx, part, p, limit) })
			results <- r
		}()
	}
	send()
	var unknown error
	hedgeDelay := time.NewTimer(s.hedgeDelay())
	defer hedgeDelay.Stop()
	for answered < len(parts) {
		select {
		case r := <-results:
			answered++
			if r.isKnown() {
				return r.part, r.version, sent, r.err
			}
			if !r.hadNoEffect() {
				unknown = r.err
			}
			if answered == len(parts) && unknown == nil {
				return r.part, 0, sent, r.err
			}
		case <-hedgeDelay.C:
			hedgeDelay.Reset(s.hedgeDelay())
		}
		if sent < len(parts) {
			send()
		}
	}
	return s.resolve(ctx, p, parts, unknown)
}

// orderParts sorts the parts into the order in which they are tried: those that could
// not be written within the last partBackoff come last.
func (s *Service) orderParts(parts []hoist.PartName) []hoist.PartName {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	slices.SortStableFunc(parts, func(x, y hoist.PartName) int {
		return cmp.Compare(s.backoffRank(x, now), s.backoffRank(y, now))
	})
	return parts
}

// backoffRank returns 1 for a part that is to be tried last, else 0. s.mu must be held.
func (s *Service) backoffRank(part hoist.PartName, now time.Time) int {
	if now.Before(s.backoffUntil[part]) {
		return 1
	}
	return 0
}

// resolve tries the parts in turn until one of them answers whether a plan that may be
// recorded was accepted. If ctx ends first, it returns hoist.ErrOutcomeUnknown.
func (s *Service) resolve(
	ctx context.Context, p hoist.Plan, parts []hoist.PartName, unknown error,
) (hoist.PartName, hoist.RowVersion, int, error) {
	for tries := len(parts); ; tries++ {
		part := parts[tries%len(parts)]
		if !clock.Sleep(ctx, retryDelay) {
			return part, 0, tries, hoist.ConvertError(hoist.ErrOutcomeUnknown, unknown)
		}
		if r := s.tryAccept(ctx, part, p, storeTimeout); r.isKnown() {
			return part, r.version, tries + 1, r.err
		}
	}
}

// commitResult is the outcome of a transaction on one part.
type commitResult struct {
	part    hoist.PartName
	version hoist.RowVersion
	err     error
}

// isKnown reports whether the store has answered.
func (r commitResult) isKnown() bool {
	return r.err == nil || errors.Is(r.err, hoist.ErrConflict)
}

// hadNoEffect reports whether the transaction certainly had no effect.
func (r commitResult) hadNoEffect() bool {
	return errors.Is(r.err, hoist.ErrUnavailable) || errors.Is(r.err, hoist.ErrInvalid)
}

// acceptTransaction returns the transaction that accepts a plan in a part.
func acceptTransaction(part hoist.PartName, p hoist.Plan) hoist.Transaction {
	state := hoist.PlanState{Queue: p.Queue.Name, Team: p.Team, Phase: hoist.PlanQueued}
	return hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.State(part, p.ID)}},
		Writes: []hoist.Write{
			{RowRef: keys.Plan(part, p.ID), Value: codec.EncodePlan(p)},
			{RowRef: keys.State(part, p.ID), Value: codec.EncodePlanState(state)},
		},
	}
}

// hedgeDelay returns how long to wait for a part before the next one is tried
// concurrently.
func (s *Service) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasAnswered {
		return storeTimeout
	}
	return min(maxStoreTimeout, max(minHedgeDelay, hedgeFactor*s.took))
}

// tryLimit returns how long a transaction may take: longer than usual while the store
// is slow.
func (s *Service) tryLimit() time.Duration {
	return max(storeTimeout, s.hedgeDelay())
}

// try sends a transaction to a part once, and updates the back-off of the part.
func (s *Service) try(ctx context.Context, part hoist.PartName, txn hoist.Transaction, limit time.Duration) commitResult {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := s.Clock.Now()
	version, err := s.Store.Commit(callCtx, txn)
	r := commitResult{part, version, err}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.isKnown() {
		s.took, s.hasAnswered = now.Sub(began), true
		delete(s.backoffUntil, part)
		return r
	}
	if s.backoffUntil == nil {
		s.backoffUntil = make(map[hoist.PartName]time.Time)
	}
	s.backoffUntil[part] = now.Add(partBackoff)
	return r
}

// commit sends a transaction to a part until its outcome is known or ctx ends. It
// returns hoist.ErrUnavailable at once, so that the client can try another host,
// unless an earlier try may have taken effect. It returns the number of tries.
func (s *Service) commit(ctx context.Context, part hoist.PartName, txn hoist.Transaction) (hoist.RowVersion, int, error) {
	var unknown error
	for tries := 1; ; tries++ {
		r := s.try(ctx, part, txn, storeTimeout)
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
		clock.Sleep(ctx, retryDelay)
	}
}

// Phase implements hoist.PlanCalls for a caller that may reach all plans.
func (s *Service) Phase(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanPhase, error) {
	return s.phase(ctx, hoist.PlanCaller{}, queue, id)
}

// phase returns the phase of a plan for a caller.
func (s *Service) phase(ctx context.Context, caller hoist.PlanCaller, queue hoist.QueueName, id hoist.JobID) (hoist.PlanPhase, error) {
	state, _, err := s.state(ctx, caller, queue, id)
	if err != nil && !errors.Is(err, hoist.ErrNotFound) && !errors.Is(err, hoist.ErrOtherTeam) {
		events.PlanQueryFailed.Log(ctx, s.Log, "plan", id, "error", err)
	}
	return state.Phase, err
}

// state returns the state of a plan and the part that has it. It returns
// hoist.ErrNotFound if the plan belongs to another queue, or if all parts answered and
// none of them has the plan, and hoist.ErrOtherTeam if the caller may not reach the plan.
func (s *Service) state(
	ctx context.Context, caller hoist.PlanCaller, queue hoist.QueueName, id hoist.JobID,
) (hoist.PlanState, hoist.PartName, error) {
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
			return hoist.PlanState{}, part, merry.Prependf(err, "decode the state of plan %s", id)
		}
		if state.IsTombstone {
			continue
		}
		if state.Queue != queue {
			return hoist.PlanState{}, part, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s in queue %s", id, queue))
		}
		if err := s.checkTeam(caller, id, state.Team); err != nil {
			return hoist.PlanState{}, part, err
		}
		return state, part, nil
	}
	if failed != nil {
		return hoist.PlanState{}, "", failed
	}
	return hoist.PlanState{}, "", merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("plan %s", id))
}

// get reads a row with a time-out.
func (s *Service) get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.Store.Get(ctx, ref)
}

// Cancel implements hoist.PlanCalls for a caller that may reach all plans.
func (s *Service) Cancel(ctx context.Context, queue hoist.QueueName, id hoist.JobID) error {
	return s.cancel(ctx, hoist.PlanCaller{}, queue, id)
}

// cancel cancels a plan for a caller.
func (s *Service) cancel(ctx context.Context, caller hoist.PlanCaller, queue hoist.QueueName, id hoist.JobID) error {
	state, part, err := s.state(ctx, caller, queue, id)
	if errors.Is(err, hoist.ErrNotFound) && part == "" {
		// Its submission may still be on its way.
		if failed := s.writeTombstones(ctx, caller.Team, queue, id); !errors.Is(failed, hoist.ErrConflict) {
			return cmp.Or(failed, err)
		}
		state, part, err = s.state(ctx, caller, queue, id)
	}
	if err != nil || state.Phase.IsFinal() {
		return err
	}
	txn := hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.Cancel(part, id), Value: []byte("{}")}}}
	version, tries, err := s.commit(ctx, part, txn)
	if err != nil {
		events.PlanQueryFailed.Log(ctx, s.Log, "plan", id, "cancel", true, "tries", tries, "error", err)
		return err
	}
	events.PlanCancelRecorded.Log(ctx, s.Log, "plan", id, "phase", state.Phase, "version", version, "tries", tries)
	return nil
}

// Waiting implements hoist.PlanCalls.
func (s *Service) Waiting(ctx context.Context, queue hoist.QueueName) (int, error) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	if s.counts != nil && s.Clock.Now().Sub(s.countedAt) < maxCountAge {
		return s.counts[queue], nil
	}
	sentAt := s.Clock.Now()
	row, err := s.get(ctx, keys.Renewal)
	if err != nil {
		return 0, err
	}
	renewal, err := codec.DecodeStoreRow[rows.Beat](row.Value)
	if err != nil {
		return 0, merry.Prepend(err, "decode the numbers of waiting plans")
	}
	s.counts = make(map[hoist.QueueName]int)
	for name, n := range renewal.Waiting {
		s.counts[hoist.QueueName(name)] = n
	}
	s.countedAt = sentAt
	return s.counts[queue], nil
}
