package queue

import (
	"math"
	"time"
)

const (
	// busyTimeConstant is the time constant with which the rate decays while
	// there is a backlog.
	busyTimeConstant = 500 * time.Millisecond
	// idleTimeConstant is the time constant with which the rate decays while there
	// is no backlog.
	idleTimeConstant = 5 * time.Second
	// minServed is how many requests must have been served from a backlog before
	// a wait is predicted, unless the backlog has lasted for minBusy: a host
	// without slots serves none.
	minServed = 8
	minBusy   = 250 * time.Millisecond
)

// serviceRate estimates the rate at which a backlog is served. The rate includes
// all effects on it: the slots of other hosts, their requests, and other classes.
type serviceRate struct {
	updatedAt time.Time
	// busy is the time with a backlog in seconds, served the number of requests
	// served from it. Both decay exponentially.
	busy, served float64
}

// advance accounts for the time since the last call, during which there was a
// backlog if isBusy is set.
func (r *serviceRate) advance(now time.Time, isBusy bool) {
	passed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || passed < 0 {
		passed = 0
	}
	r.updatedAt = now
	timeConstant := idleTimeConstant
	if isBusy {
		timeConstant = busyTimeConstant
	}
	decay := math.Exp(-passed.Seconds() / timeConstant.Seconds())
	r.busy *= decay
	r.served *= decay
	if isBusy {
		r.busy += passed.Seconds()
	}
}

// suspend excludes the time until the next call of advance, as it is not known
// when in that time the backlog ended.
func (r *serviceRate) suspend() {
	r.updatedAt = time.Time{}
}

// isKnown reports whether enough requests were served to predict a wait.
func (r *serviceRate) isKnown() bool {
	return r.served >= minServed || r.busy >= minBusy.Seconds()
}

// estimate returns how long a number of requests takes to leave the backlog, or 0
// if too little is known.
func (r *serviceRate) estimate(requests int) time.Duration {
	if !r.isKnown() {
		return 0
	}
	// The next request may leave at any moment, so it counts as served.
	return time.Duration(float64(requests) * r.busy / (r.served + 1) * float64(time.Second))
}
