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
func (FastestFree) Pick(executors []hoist.ExecutorSlots, _ *rand.Rand) int {
	return pickLowest(executors, func(e hoist.ExecutorSlots) time.Duration {
		return e.Service * time.Duration(e.InFlight+1)
	})
}

// LeastOutstanding picks the executor with the fewest attempts in flight. It is
// a baseline for comparisons.
type LeastOutstanding struct{}

// Pick implements hoist.ExecutorPolicy.
func (LeastOutstanding) Pick(executors []hoist.ExecutorSlots, _ *rand.Rand) int {
	return pickLowest(executors, func(e hoist.ExecutorSlots) time.Duration { return time.Duration(e.InFlight) })
}

func pickLowest(executors []hoist.ExecutorSlots, cost func(hoist.ExecutorSlots) time.Duration) int {
	best := -1
	var bestCost time.Duration
	for i, e := range executors {
		if c := cost(e); best < 0 || c < bestCost {
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
func (r *RoundRobin) Pick(executors []hoist.ExecutorSlots, _ *rand.Rand) int {
	if len(executors) == 0 {
		return -1
	}
	r.next++
	return r.next % len(executors)
}
