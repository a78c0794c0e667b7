package hoist

import (
	"fmt"
	"math"
	"time"
)

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Accelerators is a number of whole accelerators.
type Accelerators int64

// Resources is an amount of each resource, for instance what a task needs or a
// worker has.
type Resources struct {
	CPU    MilliCPU
	Memory MiB
	Accel  Accelerators
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.CPU + s.CPU, r.Memory + s.Memory, r.Accel + s.Accel}
}

// Sub returns r - s. Components of the result may be negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.CPU - s.CPU, r.Memory - s.Memory, r.Accel - s.Accel}
}

// Fits reports whether r can be taken from free without any component becoming
// negative.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accel <= free.Accel
}

// IsValid reports whether no component is negative and at least one is
// positive.
func (r Resources) IsValid() bool {
	if r.CPU < 0 || r.Memory < 0 || r.Accel < 0 {
		return false
	}
	return r != Resources{}
}

// String formats r for people to read.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MiB, %d accelerators", float64(r.CPU)/1000, r.Memory, r.Accel)
}

// DurationOf converts a number of units to a duration. A result that is out of range
// becomes the nearest duration, and NaN becomes 0: the language leaves a conversion
// that overflows to the architecture.
func DurationOf(n float64, unit time.Duration) time.Duration {
	return time.Duration(Int64Of(n * float64(unit)))
}

// Int64Of converts x to an integer, with the limits of DurationOf.
func Int64Of(x float64) int64 {
	switch {
	case math.IsNaN(x):
		return 0
	case x >= math.MaxInt64:
		return math.MaxInt64
	case x <= math.MinInt64:
		return math.MinInt64
	default:
		return int64(x)
	}
}

// AddDuration returns x + y, or the nearest duration if the sum is out of range.
func AddDuration(x, y time.Duration) time.Duration {
	sum := x + y
	switch {
	case x > 0 && y > 0 && sum < 0:
		return math.MaxInt64
	case x < 0 && y < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}
