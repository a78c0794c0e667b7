package route

import (
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
// another one, and after which pause.
func (r *Router) mayRetry(c *call, no hoist.AttemptNo, err error) (time.Duration, bool) {
	if !retry.IsAllowed(err, retry.Attempt{Idempotent: c.request.Idempotent}) {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retries.Take(r.Clock.Now()) {
		return 0, false
	}
	return retry.Pause(int(no)-1, r.rng), true
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
