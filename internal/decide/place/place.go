// Package place holds the placement policies: given what a task needs and the
// free capacity of the workers, each chooses a worker. The choice is advice;
// the account of the worker's owner decides.
//
// # Usage
//
//	i := place.Aligned{Samples: 8}.Pick(need, candidates, rng)
//	if i < 0 {
//		// no candidate fits
//	}
package place

import (
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

// FirstFit picks the first candidate that fits. It is a baseline.
type FirstFit struct{}

// Pick implements hoist.PlacementPolicy.
func (FirstFit) Pick(need hoist.Resources, candidates []hoist.Candidate, _ *rand.Rand) int {
	for i, c := range candidates {
		if need.Fits(c.Free) {
			return i
		}
	}
	return -1
}

// RandomFit picks any candidate that fits. It is a baseline.
type RandomFit struct{}

// Pick implements hoist.PlacementPolicy.
func (RandomFit) Pick(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	offset := rng.IntN(n)
	for i := range n {
		if j := (offset + i) % n; need.Fits(candidates[j].Free) {
			return j
		}
	}
	return -1
}
