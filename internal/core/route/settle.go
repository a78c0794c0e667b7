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
	// lateAfter is how long an attempt runs before the executor is asked about
	// it over another connection, as its own may be half-open. It is a multiple
	// of quick service times, so that few attempts cost a second call.
	lateAfter = 400 * time.Millisecond
	// settleEvery is the first period of asking; it doubles up to
	// maxSettleEvery, so that watches cost little.
	settleEvery    = 200 * time.Millisecond
	maxSettleEvery = 2 * time.Second
	// settleTimeout bounds one call, which may meet a half-open connection.
	settleTimeout = time.Second
	// settleTime bounds the asking after the deadline of the request.
	settleTime = 5 * time.Second
	// rememberTime is how long the word of an executor that an attempt is not
	// known means that it did not run. Executors keep answers for 60 s; the
	// rest allows for clock drift and the time of the call.
	rememberTime = 50 * time.Second
)

// sentAttempts holds the attempts that this host sent to executors and whose
// end it does not know.
type sentAttempts map[hoist.ExecutorID]map[hoist.RequestKey]*sentAttempt

// sentAttempt is one attempt on its way or running.
type sentAttempt struct {
	no   hoist.AttemptNo
	term hoist.Term
	// isOrphan tells that nobody waits for its answer any more.
	isOrphan bool
}

func (s sentAttempts) open(id hoist.ExecutorID, a hoist.Attempt, h *handle) {
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

// sending is when an attempt was sent, and to which adoption of the executor.
type sending struct {
	at       time.Time
	adoption int
}

// result is what became of an attempt. An error other than
// hoist.ErrOutcomeUnknown means that it did not run.
type result struct {
	answer hoist.Answer
	err    error
	// isFenced tells that the executor no longer answers this owner. The
	// answer may still come over the connection of the attempt.
	isFenced bool
}

// send runs an attempt and returns its result. An attempt that is late, or whose
// connection failed, is settled over other connections.
func (r *Router) send(ctx context.Context, h *handle, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	sent := sending{at: r.Clock.Now(), adoption: r.adoptionOf(h)}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	settled := make(chan result, 1)
	probe := time.AfterFunc(lateAfter, func() {
		out := r.settle(runCtx, h, term, a, sent)
		settled <- out
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
		settled <- r.settle(ctx, h, term, a, sent)
	}
	out := <-settled
	return out.answer, out.err
}

// settle asks an executor what became of an attempt until it has ended, cannot
// be settled any more, or ctx ends.
func (r *Router) settle(ctx context.Context, h *handle, term hoist.Term, a hoist.Attempt, sent sending) result {
	wasSeen := false
	for wait := settleEvery; ; wait = min(2*wait, maxSettleEvery) {
		answer, err := r.askOnce(ctx, h, term, a.Request.Key, a.No)
		switch {
		case errors.Is(err, hoist.ErrStaleTerm):
			// Another owner adopted the executor, or its process is new.
			return result{err: hoist.ConvertError(hoist.ErrOutcomeUnknown, err), isFenced: true}
		case err != nil:
		case answer.Outcome == hoist.Done:
			return result{answer: answer}
		case answer.Outcome == hoist.Unknown:
			wasSeen = true
		case wasSeen || r.adoptionOf(h) != sent.adoption || r.Clock.Now().Sub(sent.at) > rememberTime:
			return result{err: merry.Prepend(hoist.ErrOutcomeUnknown, "the executor no longer knows the attempt")}
		default:
			return result{err: merry.Prepend(hoist.ErrUnavailable, "the attempt did not arrive at the executor")}
		}
		if !pause(ctx, wait) {
			return result{err: hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())}
		}
	}
}

// askOnce makes one settle call. An answer that belongs to another attempt is an
// error.
func (r *Router) askOnce(
	ctx context.Context, h *handle, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo,
) (hoist.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	answer, err := h.executor.ResolveOutcome(ctx, term, key, no)
	if err == nil && (answer.Key != key || answer.Attempt != no) {
		err = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("answer is for attempt %d of %q", answer.Attempt, answer.Key))
	}
	return answer, err
}

func (r *Router) adoptionOf(h *handle) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.adoption
}

// settleOrphans asks an executor about the attempts whose answer nobody waits
// for any more, and frees the slots of those that have ended.
func (r *Router) settleOrphans(ctx context.Context, id hoist.ExecutorID, h *handle) {
	for key, no := range r.orphansOf(id) {
		answer, err := r.askOnce(ctx, h, h.term, key, no)
		if err != nil {
			return
		}
		if answer.Outcome != hoist.Unknown {
			events.AttemptResolved.Log(ctx, r.Log, "executor", id, "key", key, "outcome", answer.Outcome)
			r.give(id, key, 0)
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
