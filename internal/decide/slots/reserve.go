package slots

import (
	"math"
	"time"
)

const (
	// riseTime and fallTime smooth the demand. It rises fast, as the first
	// requests of a swing wait otherwise, and falls slowly.
	riseTime = 200 * time.Millisecond
	fallTime = 3 * time.Second
	// headroom is the reserve as a multiple of the smoothed demand. With a
	// quarter on top, patient work waited seven times longer beside little
	// quick work; with nothing on top, quick work waited twice as long.
	headroom = 1.1
	// shrinkBelow is the part of the reserve below which the wanted size must
	// fall for shrinkAfter before the reserve shrinks, so that it does not flap.
	shrinkBelow = 0.75
	shrinkAfter = time.Second
	// unknownPart is the reserved part of the slots before any demand is known.
	unknownPart = 4
	// patientPart is the part of the slots that is never reserved, so that
	// patient work goes on at every level of quick work.
	patientPart = 8
)

// reserve sizes the slots that are kept for quick work.
type reserve struct {
	demand  float64
	size    int
	at      time.Time
	lowFrom time.Time
	changes int
}

// observe records how many quick attempts are in flight now.
func (r *reserve) observe(quick, slots int, now time.Time) {
	if r.at.IsZero() {
		r.at, r.size = now, r.of(slots)
		return
	}
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	r.at = now
	smoothing := fallTime
	if float64(quick) > r.demand {
		smoothing = riseTime
	}
	r.demand += (float64(quick) - r.demand) * -math.Expm1(-passed.Seconds()/smoothing.Seconds())
	r.resize(int(math.Ceil(r.demand*headroom))+1, now)
}

func (r *reserve) resize(want int, now time.Time) {
	switch {
	case want > r.size:
		r.lowFrom = time.Time{}
		r.set(want)
	case float64(want) >= shrinkBelow*float64(r.size):
		r.lowFrom = time.Time{}
	case r.lowFrom.IsZero():
		r.lowFrom = now
	case now.Sub(r.lowFrom) >= shrinkAfter:
		r.lowFrom = time.Time{}
		r.set(want)
	}
}

func (r *reserve) set(size int) {
	r.size = size
	r.changes++
}

// of returns the reserved slots out of a number of slots.
func (r *reserve) of(slots int) int {
	size := r.size
	if r.at.IsZero() {
		size = max(1, slots/unknownPart)
	}
	return max(min(size, slots-max(1, slots/patientPart)), 0)
}
