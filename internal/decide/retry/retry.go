// Package retry decides whether and when a request whose attempt failed is tried
// again. There is no hedging: a new attempt starts only after the last one has
// certainly ended.
//
// # Usage
//
//	var budget retry.Budget
//	budget.CountRequest(now)
//	...
//	if retry.IsAllowed(err, retry.Attempt{Idempotent: true}) && budget.Take(now) {
//		wait := retry.Delay(retries, rng)
//	}
//
// The types are not safe for concurrent use and read no clock.
package retry

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Attempt is what is known about a failed attempt.
type Attempt struct {
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool
	// Stopped is set if the attempt certainly no longer runs.
	Stopped bool
}

// notRunErrors are the errors after which an attempt certainly did not run and
// another one may find a slot elsewhere.
var notRunErrors = []error{
	hoist.ErrUnavailable, hoist.ErrStaleTerm, hoist.ErrNoSlot, hoist.ErrLeaving, hoist.ErrNotOwner, hoist.ErrConflict,
}

// IsAllowed reports whether a request whose attempt failed with err may be tried
// again: if the attempt certainly did not run, or if the request is idempotent
// and the attempt has certainly stopped. Errors that another attempt would meet
// again, such as hoist.ErrInvalid and hoist.ErrOverLimit, are not retried.
func IsAllowed(err error, a Attempt) bool {
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		return a.Idempotent && a.Stopped
	}
	for _, e := range notRunErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

const (
	// retryCost is the credit that a retry takes. As credit also grows with time,
	// hosts with few requests may make one retry a second.
	retryCost = time.Second
	// defaultPercent allows one retry for ten requests.
	defaultPercent = 10
	// maxCredit bounds the saved credit to 20 retries, about as many as are needed
	// when an executor with all its slots in use and a short queue fails.
	maxCredit = 20 * retryCost
)

// Budget bounds retries to a fraction of the requests, so that they cannot
// multiply the load while a part of the system fails. The zero value allows no
// retry until it has counted requests or time has passed.
type Budget struct {
	credit    time.Duration
	updatedAt time.Time
	// percent is valid only if isSet.
	percent int
	isSet   bool
}

// SetPercent sets how many retries 100 requests allow. The default is 10.
func (b *Budget) SetPercent(percent int) {
	b.percent, b.isSet = percent, true
}

// CountRequest counts a request. It must not be called for retries.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	percent := defaultPercent
	if b.isSet {
		percent = b.percent
	}
	b.credit = min(b.credit+retryCost*time.Duration(percent)/100, maxCredit)
}

// Take takes one retry from the budget. It reports false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

func (b *Budget) advance(now time.Time) {
	passed := now.Sub(b.updatedAt)
	switch {
	case b.updatedAt.IsZero():
	case passed <= 0:
		// The clock was set back; time counts again from its last value.
		return
	default:
		b.credit = min(b.credit+passed, maxCredit)
	}
	b.updatedAt = now
}

const (
	// firstMaxDelay is the longest delay before the first retry: a few round trips
	// between data centres, after which another host may have a free slot.
	firstMaxDelay = 5 * time.Millisecond
	// maxDelay bounds the delay before every retry.
	maxDelay = 500 * time.Millisecond
)

// Delay returns the delay before a retry; retries is the number of earlier ones.
// The delay is drawn from the upper half of a bound that doubles with each retry.
// This jitter prevents requests that failed together from being retried together.
func Delay(retries int, rng *rand.Rand) time.Duration {
	bound := min(float64(firstMaxDelay)*math.Exp2(float64(max(retries, 0))), float64(maxDelay))
	return time.Duration(bound * (1 + rng.Float64()) / 2)
}
