// Package burn counts good and bad requests against a service-level objective
// and computes how fast the error budget burns. A burn of 1 uses the budget up
// exactly at the end of the objective's period; above 1 it runs out early.
//
// # Usage
//
//	var c burn.Counter
//	c.Add(isGood, now)
//	w := c.Window(time.Hour, now)
//	rate := w.Burn(99.9)
//
// The types are not safe for concurrent use and read no clock. Windows of
// several hosts are added up with Plus.
package burn

import "time"

const (
	// step is the resolution of the counts.
	step = time.Minute
	// Longest is the longest window.
	Longest = 6 * time.Hour
	// numSteps is one more than the windows need, for the running minute.
	numSteps = int(Longest/step) + 1
)

// Window holds the counts over a span of time.
type Window struct {
	Good  uint64
	Total uint64
}

// Plus returns the counts of both windows together.
func (w Window) Plus(other Window) Window {
	return Window{w.Good + other.Good, w.Total + other.Total}
}

// GoodPercent returns the share of good requests; it is 100 without requests.
func (w Window) GoodPercent() float64 {
	if w.Total == 0 {
		return 100
	}
	return 100 * float64(w.Good) / float64(w.Total)
}

// Burn returns the rate at which the error budget of an objective is used.
func (w Window) Burn(objectivePercent float64) float64 {
	budget := 100 - objectivePercent
	if budget <= 0 {
		return 0
	}
	return (100 - w.GoodPercent()) / budget
}

// BudgetLeft returns the percentage of the error budget that the requests of
// the window have left; it is negative when they have used more.
func (w Window) BudgetLeft(objectivePercent float64) float64 {
	return 100 * (1 - w.Burn(objectivePercent))
}

// Counter counts requests by minute over the longest window. The zero value is
// ready to use.
type Counter struct {
	steps [numSteps]Window
	// last is the number of the minute that was counted last.
	last int64
}

// Add counts a request that was answered at the time now.
func (c *Counter) Add(isGood bool, now time.Time) {
	i := c.advance(now)
	c.steps[i].Total++
	if isGood {
		c.steps[i].Good++
	}
}

// Window returns the counts of the last d, to the minute, the running minute
// included. d is at most Longest.
func (c *Counter) Window(d time.Duration, now time.Time) Window {
	c.advance(now)
	var sum Window
	minutes := int64(min(d, Longest) / step)
	for n := c.last - minutes + 1; n <= c.last; n++ {
		if n >= 0 {
			sum = sum.Plus(c.steps[n%int64(numSteps)])
		}
	}
	return sum
}

// advance clears the minutes that have passed since the last count and returns
// the index of the running one. A clock that goes back counts in the last
// minute.
func (c *Counter) advance(now time.Time) int {
	minute := now.UnixNano() / int64(step)
	if minute > c.last {
		first := max(c.last+1, minute-int64(numSteps)+1)
		for n := first; n <= minute; n++ {
			c.steps[n%int64(numSteps)] = Window{}
		}
		c.last = minute
	}
	return int(c.last % int64(numSteps))
}
