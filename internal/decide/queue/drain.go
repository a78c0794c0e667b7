package queue

import (
	"math"
	"time"
)

const (
	// drainMemory is how much time with a backlog the rate is taken over.
	drainMemory = 500 * time.Millisecond
	// idleMemory is how long a rate is kept without a backlog.
	idleMemory = 5 * time.Second
	// leastServed is how many requests must have been served from a backlog
	// before a wait is predicted from them, unless the backlog has lasted for
	// leastBusy: a host without slots serves none.
	leastServed = 8
	leastBusy   = 250 * time.Millisecond
)

// drain learns how fast a backlog is served. The rate includes all that has an
// effect on it: the slots of other hosts, their requests, and other classes.
type drain struct {
	at time.Time
	// busy is the time with a backlog in seconds, served the number of requests
	// that left it; both fade.
	busy, served float64
}

// advance counts the time since the last call, with a backlog or without.
func (d *drain) advance(now time.Time, isBusy bool) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || passed < 0 {
		passed = 0
	}
	d.at = now
	memory := idleMemory
	if isBusy {
		memory = drainMemory
	}
	keep := math.Exp(-passed.Seconds() / memory.Seconds())
	d.busy *= keep
	d.served *= keep
	if isBusy {
		d.busy += passed.Seconds()
	}
}

// pause drops the time until the next call of advance: when the backlog ended
// in it is not known.
func (d *drain) pause() {
	d.at = time.Time{}
}

// isKnown reports whether enough requests were served to predict a wait.
func (d *drain) isKnown() bool {
	return d.served >= leastServed || d.busy >= leastBusy.Seconds()
}

// wait returns how long a number of requests takes to leave the backlog; 0
// means that too little is known.
func (d *drain) wait(requests int) time.Duration {
	if !d.isKnown() {
		return 0
	}
	// One more than was served: the next request may leave at any moment.
	return time.Duration(float64(requests) * d.busy / (d.served + 1) * float64(time.Second))
}
