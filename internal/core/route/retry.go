package route

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/retry"
)

// countRequest adds a request to the retry budget.
func (r *Router) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.CountRequest(r.Clock.Now())
}

// mayRetry reports whether an attempt that failed with err is retried, and returns
// when the retry is due. If the retry budget is used up, the call waits for it until
// its deadline: under peak load a slot that another host reported as free is often
// taken, which is no reason to refuse the request.
func (r *Router) mayRetry(ctx context.Context, c *call, no hoist.AttemptNo, err error) bool {
	if !retry.IsAllowed(err, retry.Attempt{Idempotent: c.request.Idempotent}) {
		return false
	}
	r.setPhase(c, phaseIdle)
	for retries := int(no) - 1; sleep(ctx, r.retryDelay(retries)); retries++ {
		now := r.Clock.Now()
		if !now.Before(c.request.Deadline) {
			return false
		}
		if r.takeRetry(c, now) {
			return true
		}
	}
	return false
}

func (r *Router) retryDelay(retries int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Delay(retries, r.rng)
}

// takeRetry takes a retry from the budget. A call whose shard has moved needs none:
// it fails when it is queued again, and is not run here.
func (r *Router) takeRetry(c *call, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terms[c.shard] != c.term || r.retries.Take(now)
}

// notRunAnswer returns the answer to a request that was not run because of err, with
// the retry hint of the queue if err has one.
func notRunAnswer(key hoist.RequestKey, err error) hoist.Answer {
	answer := failureAnswer(key, hoist.NotRun, err.Error())
	if hint := queue.RetryAfter(err); hint > 0 {
		answer.RetryAfter = hint
	}
	return answer
}
