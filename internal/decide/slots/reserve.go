package slots

import (
	"math"
	"time"
)

const (
	// riseTimeConstant smooths a rising demand. It is short, as the first requests
	// of a burst wait otherwise.
	riseTimeConstant = 200 * time.Millisecond
	// fallTimeConstant smooths a falling demand. It is long, so that the reserve
	// shrinks slowly.
	fallTimeConstant = 3 * time.Second
	// reserveFactor is the reserve as a multiple of the smoothed demand. At 1.25,
	// patient work waited seven times longer beside little quick work; at 1, quick
	// work waited twice as long.
	reserveFactor = 1.1
	// shrinkThreshold is the fraction of the reserve below which the wanted size
	// must stay for shrinkDelay before the reserve shrinks, so that it does not flap.
	shrinkThreshold = 0.75
	shrinkDelay     = time.Second
	// initialDivisor sets the reserve before any demand is known: one slot in
	// initialDivisor.
	initialDivisor = 4
	// unreservedDivisor sets the slots that are never reserved, one in
	// unreservedDivisor, so that patient work proceeds at every level of quick work.
	unreservedDivisor = 8
)

// reserve decides how many slots are reserved for quick work.
type reserve struct {
	demand    float64
	size      int
	updatedAt time.Time
	lowSince  time.Time
	changes   int
}

// observe records how many quick attempts are in flight now.
func (r *reserve) observe(quick, slots int, now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt, r.size = now, r.sizeFor(slots)
		return
	}
	passed := now.Sub(r.updatedAt)
	if passed <= 0 {
		return
	}
	r.updatedAt = now
	smoothing := fallTimeConstant
	if float64(quick) > r.demand {
		smoothing = riseTimeConstant
	}
	r.demand += (float64(quick) - r.demand) * -math.Expm1(-passed.Seconds()/smoothing.Seconds())
	r.resize(int(math.Ceil(r.demand*reserveFactor))+1, now)
}

func (r *reserve) resize(wanted int, now time.Time) {
	switch {
	case wanted > r.size:
		r.lowSince = time.Time{}
		r.setSize(wanted)
	case float64(wanted) >= shrinkThreshold*float64(r.size):
		r.lowSince = time.Time{}
	case r.lowSince.IsZero():
		r.lowSince = now
	case now.Sub(r.lowSince) >= shrinkDelay:
		r.lowSince = time.Time{}
		r.setSize(wanted)
	}
}

func (r *reserve) setSize(size int) {
	r.size = size
	r.changes++
}

// sizeFor returns the number of reserved slots out of a number of slots.
func (r *reserve) sizeFor(slots int) int {
	size := r.size
	if r.updatedAt.IsZero() {
		size = max(1, slots/initialDivisor)
	}
	return max(min(size, slots-max(1, slots/unreservedDivisor)), 0)
}
