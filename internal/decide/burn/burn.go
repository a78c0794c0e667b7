// Package burn counts good and bad requests for a service-level objective and
// computes the burn rate of its error budget. At a burn rate of 1 the budget is
// used up exactly at the end of the objective's period, at higher rates earlier.
//
// # Usage
//
//	var c burn.Counter
//	c.Add(isGood, now)
//	w := c.Window(time.Hour, now)
//	rate := w.Burn(99.9)
//
// A Counter is not safe for concurrent use. It does not read the clock; callers
// pass the current time. Plus adds up the windows of several hosts.
package burn

import "time"

const (
	// resolution is the period of one bucket of counts.
	resolution = time.Minute
	// MaxWindow is the longest supported window.
	MaxWindow = 6 * time.Hour
	// numBuckets covers the longest window and the current, incomplete minute.
	numBuckets = int(MaxWindow/resolution) + 1
)

// Window holds the numbers of good and of all requests in a period.
type Window struct {
	Good  uint64
	Total uint64
}

// Plus returns the sum of the counts of both windows.
func (w Window) Plus(other Window) Window {
	return Window{w.Good + other.Good, w.Total + other.Total}
}

// GoodPercent returns the percentage of good requests, or 100 if there are no
// requests.
func (w Window) GoodPercent() float64 {
	if w.Total == 0 {
		return 100
	}
	return 100 * float64(w.Good) / float64(w.Total)
}

// Burn returns the burn rate of the error budget of an objective. It returns 0 for
// an objective without an error budget, that is of 100 percent or more.
func (w Window) Burn(objectivePercent float64) float64 {
	budget := 100 - objectivePercent
	if budget <= 0 {
		return 0
	}
	return (100 - w.GoodPercent()) / budget
}

// BudgetLeft returns the percentage of the error budget that is left after the
// requests of the window. It is negative if they exceed the budget.
func (w Window) BudgetLeft(objectivePercent float64) float64 {
	return 100 * (1 - w.Burn(objectivePercent))
}

// Counter counts requests by minute, for windows up to MaxWindow. The zero value is
// ready to use.
type Counter struct {
	buckets [numBuckets]Window
	// lastMinute is the current bucket's minute, counted since the Unix epoch.
	lastMinute int64
}

// Add counts a request that was answered at the time now.
func (c *Counter) Add(isGood bool, now time.Time) {
	i := c.advance(now)
	c.buckets[i].Total++
	if isGood {
		c.buckets[i].Good++
	}
}

// Window returns the counts of the last d, in whole minutes that include the
// current one. A d above MaxWindow counts as MaxWindow.
func (c *Counter) Window(d time.Duration, now time.Time) Window {
	c.advance(now)
	var sum Window
	minutes := int64(min(d, MaxWindow) / resolution)
	for n := c.lastMinute - minutes + 1; n <= c.lastMinute; n++ {
		if n >= 0 {
			sum = sum.Plus(c.buckets[n%int64(numBuckets)])
		}
	}
	return sum
}

// advance clears the buckets of the minutes that have begun since the last call and
// returns the index of the current one. If the clock goes back, the bucket of the
// latest minute stays the current one.
func (c *Counter) advance(now time.Time) int {
	minute := now.UnixNano() / int64(resolution)
	if minute > c.lastMinute {
		first := max(c.lastMinute+1, minute-int64(numBuckets)+1)
		for n := first; n <= minute; n++ {
			c.buckets[n%int64(numBuckets)] = Window{}
		}
		c.lastMinute = minute
	}
	return int(c.lastMinute % int64(numBuckets))
}
