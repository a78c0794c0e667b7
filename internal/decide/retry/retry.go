// Package retry decides whether and when a failed attempt at a request is made
// again. There is no hedging: an attempt is made again only after the last one
// has certainly ended.
//
// # Usage
//
//	var budget retry.Budget
//	budget.Request(now)
//	...
//	if retry.IsAllowed(err, retry.Attempt{Idempotent: true}) && budget.Take(now) {
//		wait := retry.Pause(retries, rng)
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
	// Idempotent tells that running the request twice does no harm.
	Idempotent bool
	// Stopped tells that the attempt certainly no longer runs.
	Stopped bool
}

// notRun are the errors after which an attempt certainly did not run and another
// one may find a slot elsewhere.
var notRun = []error{
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
	for _, e := range notRun {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

const (
	// retryCost is the credit that a retry takes. Credit also grows with time,
	// so this allows one retry a second without requests, on hosts that have
	// few of them.
	retryCost = time.Second
	// defaultPercent allows one retry for ten requests.
	defaultPercent = 10
	// maxCredit bounds what is saved up to 20 retries, about what one executor
	// with all its slots in use and a short queue needs when it fails.
	maxCredit = 20 * retryCost
)

// Budget bounds retries to a part of the requests, so that they cannot multiply
// the load while a part of the system fails. The zero value allows no retry
// until requests or time have passed.
type Budget struct {
	credit time.Duration
	at     time.Time
	// percent is set if isSet.
	percent int
	isSet   bool
}

// SetPercent changes how many retries 100 requests allow; before the first call
// it is 10.
func (b *Budget) SetPercent(percent int) {
	b.percent, b.isSet = percent, true
}

// Request counts a request, not a retry.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	percent := defaultPercent
	if b.isSet {
		percent = b.percent
	}
	b.credit = min(b.credit+retryCost*time.Duration(percent)/100, maxCredit)
}

// Take takes one retry out of the budget. It reports false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

func (b *Budget) advance(now time.Time) {
	passed := now.Sub(b.at)
	switch {
	case b.at.IsZero():
	case passed <= 0:
		// The clock was set back; time counts again from its last value.
		return
	default:
		b.credit = min(b.credit+passed, maxCredit)
	}
	b.at = now
}

const (
	// firstPause is the longest pause before the first retry: a few round trips
	// between data centres, after which another host may have a free slot.
	firstPause = 5 * time.Millisecond
	// maxPause bounds all pauses.
	maxPause = 500 * time.Millisecond
)

// Pause returns the pause before a retry; retries counts those made before. It
// is drawn from the upper half of a bound that doubles each time, so that
// requests that failed together do not come back together.
func Pause(retries int, rng *rand.Rand) time.Duration {
	bound := min(float64(firstPause)*math.Exp2(float64(max(retries, 0))), float64(maxPause))
	return time.Duration(bound * (1 + rng.Float64()) / 2)
}
