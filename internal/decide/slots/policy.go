package slots

import (
	"math/rand/v2"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// FastestFree picks the executor with the lowest product of its learned service
// time and the number of attempts that would share it.
type FastestFree struct{}

// Pick implements hoist.ExecutorPolicy.
func (FastestFree) Pick(views []hoist.SlotView, _ *rand.Rand) int {
	return pickLowest(views, func(v hoist.SlotView) time.Duration {
		return v.Service * time.Duration(v.InFlight+1)
	})
}

// LeastOutstanding picks the executor with the fewest attempts in flight. It is
// a baseline for comparisons.
type LeastOutstanding struct{}

// Pick implements hoist.ExecutorPolicy.
func (LeastOutstanding) Pick(views []hoist.SlotView, _ *rand.Rand) int {
	return pickLowest(views, func(v hoist.SlotView) time.Duration { return time.Duration(v.InFlight) })
}

func pickLowest(views []hoist.SlotView, cost func(hoist.SlotView) time.Duration) int {
	best := -1
	var bestCost time.Duration
	for i, v := range views {
		if c := cost(v); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}

// RoundRobin picks the executors in turn. It is a baseline for comparisons.
type RoundRobin struct {
	next int
}

// Pick implements hoist.ExecutorPolicy.
func (r *RoundRobin) Pick(views []hoist.SlotView, _ *rand.Rand) int {
	if len(views) == 0 {
		return -1
	}
	r.next++
	return r.next % len(views)
}
