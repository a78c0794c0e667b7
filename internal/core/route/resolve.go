package route

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// probeDelay is how long an attempt runs before the executor is asked for its
	// outcome over another connection, as its own connection may be half-open. It is
	// a multiple of quick service times, so that few attempts cost a second call.
	probeDelay = 400 * time.Millisecond
	// resolveEvery is the first interval between calls that ask for an outcome. It
	// doubles up to maxResolveEvery, so that watches cost little.
	resolveEvery    = 200 * time.Millisecond
	maxResolveEvery = 2 * time.Second
	// resolveTimeout limits one call, which may meet a half-open connection.
	resolveTimeout = time.Second
	// resolveGrace limits how long after the deadline of the request its outcome is
	// resolved.
	resolveGrace = 5 * time.Second
	// executorMemory is how long after the send an attempt that the executor does
	// not know certainly did not run. Executors keep answers for 60 s; the
	// difference allows for clock drift and the time of the call.
	executorMemory = 50 * time.Second
)

// sentAttempts holds the open attempts: those that this host sent to executors and
// whose end it does not know.
type sentAttempts map[hoist.ExecutorID]map[hoist.RequestKey]*sentAttempt

// sentAttempt is one open attempt.
type sentAttempt struct {
	no   hoist.AttemptNo
	term hoist.Term
	// isOrphan is set when no call waits for the answer any more.
	isOrphan bool
}

func (s sentAttempts) open(id hoist.ExecutorID, a hoist.Attempt, h *executorHandle) {
	if s[id] == nil {
		s[id] = make(map[hoist.RequestKey]*sentAttempt)
	}
	s[id][a.Request.Key] = &sentAttempt{no: a.No, term: h.term}
}

func (s sentAttempts) close(id hoist.ExecutorID, key hoist.RequestKey) {
	delete(s[id], key)
	if len(s[id]) == 0 {
		delete(s, id)
	}
}

func (s sentAttempts) has(key hoist.RequestKey) bool {
	for _, attempts := range s {
		if _, ok := attempts[key]; ok {
			return true
		}
	}
	return false
}

// sendRecord holds when an attempt was sent, and how often the executor had been
// adopted by then.
type sendRecord struct {
	sentAt    time.Time
	adoptions int
}

// attemptResult is the outcome of an attempt. An error other than
// hoist.ErrOutcomeUnknown means that the attempt did not run.
type attemptResult struct {
	answer hoist.Answer
	err    error
	// isFenced is set when the executor no longer answers this owner. The answer
	// may still arrive over the connection of the attempt.
	isFenced bool
}

// send runs an attempt and returns its result. If the attempt takes longer than
// probeDelay or its connection fails, its outcome is resolved over other
// connections.
func (r *Router) send(ctx context.Context, h *executorHandle, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	sent := sendRecord{sentAt: r.Clock.Now(), adoptions: r.adoptionsOf(h)}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	resolved := make(chan attemptResult, 1)
	probe := time.AfterFunc(probeDelay, func() {
		out := r.resolve(runCtx, h, term, a, sent)
		resolved <- out
		if !out.isFenced {
			stop()
		}
	})
	answer, err := h.executor.Run(runCtx, term, a)
	if !errors.Is(err, hoist.ErrOutcomeUnknown) {
		probe.Stop()
		return answer, err
	}
	if probe.Stop() {
		resolved <- r.resolve(ctx, h, term, a, sent)
	}
	out := <-resolved
	return out.answer, out.err
}

// resolve asks an executor for the outcome of an attempt until the attempt has ended,
// its outcome can no longer be determined, or ctx ends.
func (r *Router) resolve(ctx context.Context, h *executorHandle, term hoist.Term, a hoist.Attempt, sent sendRecord) attemptResult {
	wasRunning := false
	for wait := resolveEvery; ; wait = min(2*wait, maxResolveEvery) {
		answer, err := r.resolveOnce(ctx, h, term, a.Request.Key, a.No)
		switch {
		case errors.Is(err, hoist.ErrStaleTerm):
			// Another owner adopted the executor, or its process is new.
			return attemptResult{err: hoist.ConvertError(hoist.ErrOutcomeUnknown, err), isFenced: true}
		case err != nil:
		case answer.Outcome == hoist.Done:
			return attemptResult{answer: answer}
		case answer.Outcome == hoist.Unknown:
			wasRunning = true
		case wasRunning || r.adoptionsOf(h) != sent.adoptions || r.Clock.Now().Sub(sent.sentAt) > executorMemory:
			return attemptResult{err: merry.Prepend(hoist.ErrOutcomeUnknown, "the executor no longer knows the attempt")}
		default:
			return attemptResult{err: merry.Prepend(hoist.ErrUnavailable, "the attempt did not arrive at the executor")}
		}
		if !sleep(ctx, wait) {
			return attemptResult{err: hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())}
		}
	}
}

// resolveOnce makes one call for the outcome of an attempt. An answer that belongs to
// another attempt is an error.
func (r *Router) resolveOnce(
	ctx context.Context, h *executorHandle, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo,
) (hoist.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	answer, err := h.executor.ResolveOutcome(ctx, term, key, no)
	if err == nil && (answer.Key != key || answer.Attempt != no) {
		err = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("answer is for attempt %d of %q", answer.Attempt, answer.Key))
	}
	return answer, err
}

func (r *Router) adoptionsOf(h *executorHandle) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.adoptions
}

// resolveOrphans asks an executor for the outcomes of attempts whose answer no call
// waits for any more, and frees the slots of those that have ended.
func (r *Router) resolveOrphans(ctx context.Context, id hoist.ExecutorID, h *executorHandle) {
	for key, no := range r.orphansOf(id) {
		answer, err := r.resolveOnce(ctx, h, h.term, key, no)
		if err != nil {
			return
		}
		if answer.Outcome != hoist.Unknown {
			events.AttemptResolved.Log(ctx, r.Log, "executor", id, "key", key, "outcome", answer.Outcome)
			r.closeAttempt(id, key, 0)
		}
	}
}

func (r *Router) orphansOf(id hoist.ExecutorID) map[hoist.RequestKey]hoist.AttemptNo {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[hoist.RequestKey]hoist.AttemptNo)
	for key, s := range r.sent[id] {
		if s.isOrphan {
			out[key] = s.no
		}
	}
	return out
}
