package route

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/retry"
)

// countRequest adds a request to the budget of retries.
func (r *Router) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.Request(r.Clock.Now())
}

// mayRetry reports whether an attempt that failed with err is followed by
// another one, and returns when that is due. A call whose retry is beyond the
// budget waits for it until its deadline: at a peak a free slot that another
// host reported is often gone, which is no reason to refuse the request.
func (r *Router) mayRetry(ctx context.Context, c *call, no hoist.AttemptNo, err error) bool {
	if !retry.IsAllowed(err, retry.Attempt{Idempotent: c.request.Idempotent}) {
		return false
	}
	r.setPhase(c, phaseIdle)
	for retries := int(no) - 1; pause(ctx, r.retryPause(retries)); retries++ {
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

func (r *Router) retryPause(retries int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Pause(retries, r.rng)
}

// takeRetry takes a retry out of the budget. A call whose shard has moved needs
// none: it finds out when it is queued, and runs nowhere here.
func (r *Router) takeRetry(c *call, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terms[c.shard] != c.term || r.retries.Take(now)
}

// refuseFor returns the answer to a request that was not run because of err,
// with the hint of the queue if err has one.
func refuseFor(key hoist.RequestKey, err error) hoist.Answer {
	answer := refuse(key, hoist.NotRun, err.Error())
	if hint := queue.RetryAfter(err); hint > 0 {
		answer.RetryAfter = hint
	}
	return answer
}
