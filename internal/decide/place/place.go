// Package place holds the placement policies: given what a task needs and the
// free capacity of the workers, each chooses a worker. The choice is advice;
// the account of the worker's owner decides.
//
// # Usage
//
//	place.CountReplicas(candidates, running) // for services
//	i := place.Default.Choose(ask, candidates, rng)
//	if i < 0 {
//		reason := place.Explain(ask, tasks, candidates)
//	}
//
// All policies choose only among workers that are ready, in the right data
// centre, and have the declared size of the task free. Among these they prefer,
// in this order: workers that the learned size does not overload; workers
// without accelerators for tasks that need none; for replicas, the data centre,
// rack and worker with the fewest of them. They differ in what decides between
// equals.
package place

import (
	"cmp"
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Default is the policy of a cell that does not choose another one. With 16
// samples it packs work with large tasks 1% better than with 8; 32 add nothing.
var Default hoist.PlacementPolicy = Aligned{Samples: 16}

// FirstFit picks the first candidate that fits. It is a baseline.
type FirstFit struct{}

// Choose implements hoist.PlacementPolicy.
func (FirstFit) Choose(ask hoist.PlacementQuery, candidates []hoist.Candidate, _ *rand.Rand) int {
	return choose(ask, candidates, walk{step: 1}, 1, same)
}

// Pick implements hoist.PlacementPolicy.
func (p FirstFit) Pick(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// RandomFit picks any candidate that fits. It is a baseline.
type RandomFit struct{}

// Choose implements hoist.PlacementPolicy.
func (RandomFit) Choose(ask hoist.PlacementQuery, candidates []hoist.Candidate, rng *rand.Rand) int {
	return choose(ask, candidates, sampleWalk(ask, len(candidates), rng), 1, same)
}

// Pick implements hoist.PlacementPolicy.
func (p RandomFit) Pick(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// BestFit picks the candidate that is left with the smallest shares of its
// resources. It looks at all candidates.
type BestFit struct{}

// Choose implements hoist.PlacementPolicy.
func (BestFit) Choose(ask hoist.PlacementQuery, candidates []hoist.Candidate, _ *rand.Rand) int {
	return choose(ask, candidates, walk{step: 1}, len(candidates), leftShares)
}

// Pick implements hoist.PlacementPolicy.
func (p BestFit) Pick(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// Aligned samples candidates that fit and picks the one that wastes the
// least: what stays free there is small, and even in processors and memory.
type Aligned struct {
	// Samples is how many candidates that fit are compared; at least one is.
	Samples int
}

// Choose implements hoist.PlacementPolicy.
func (p Aligned) Choose(ask hoist.PlacementQuery, candidates []hoist.Candidate, rng *rand.Rand) int {
	return choose(ask, candidates, sampleWalk(ask, len(candidates), rng), max(p.Samples, 1), waste)
}

// Pick implements hoist.PlacementPolicy.
func (p Aligned) Pick(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// walk is an order in which candidates are looked at.
type walk struct {
	start, step int
}

// randomWalk returns an order that starts anywhere and, as its step has no
// common divisor with n, meets each candidate once.
func randomWalk(n int, rng *rand.Rand) walk {
	if n < 2 {
		return walk{step: 1}
	}
	w := walk{start: rng.IntN(n), step: 1 + rng.IntN(n-1)}
	for divisor(w.step, n) != 1 {
		w.step = w.step%(n-1) + 1
	}
	return w
}

// sampleWalk is randomWalk, but for replicas, for which all candidates are
// looked at: neighbours in memory are faster to read one after the other.
func sampleWalk(ask hoist.PlacementQuery, n int, rng *rand.Rand) walk {
	w := randomWalk(n, rng)
	if ask.Spread {
		w.step = 1
	}
	return w
}

// divisor returns the greatest common divisor.
func divisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// rank orders candidates that fit; the smallest is chosen.
type rank struct {
	overloads   bool
	wastesAccel bool
	dataCentre  int
	rack        int
	worker      int
	score       float64
}

// isBest reports whether no candidate can precede r except by its score.
func (r *rank) isBest() bool {
	return !r.overloads && !r.wastesAccel
}

func (r *rank) isBefore(s *rank) bool {
	if r.overloads != s.overloads {
		return s.overloads
	}
	if r.wastesAccel != s.wastesAccel {
		return s.wastesAccel
	}
	return cmp.Or(
		cmp.Compare(r.dataCentre, s.dataCentre),
		cmp.Compare(r.rack, s.rack),
		cmp.Compare(r.worker, s.worker),
		cmp.Compare(r.score, s.score),
	) < 0
}

// choose looks at the candidates in the order of w and returns the one of the
// smallest rank. It stops after samples candidates than which none ranks
// better but by its score; the least number of replicas is known only at the
// end.
func choose(ask hoist.PlacementQuery, candidates []hoist.Candidate, w walk, samples int, score func(need hoist.Resources, c *hoist.Candidate) float64) int {
	chosen, seen := -1, 0
	var best rank
	i := w.start
	for range candidates {
		c := &candidates[i]
		if Fits(ask, c) {
			r := rankOf(ask, c)
			r.score = score(ask.Need, c)
			if chosen < 0 || r.isBefore(&best) {
				chosen, best = i, r
			}
			if r.isBest() && !ask.Spread {
				seen++
			}
		}
		if seen >= samples {
			break
		}
		if i += w.step; i >= len(candidates) {
			i -= len(candidates)
		}
	}
	return chosen
}

// Fits reports whether the task can be placed on the worker now.
func Fits(ask hoist.PlacementQuery, c *hoist.Candidate) bool {
	return ask.Need.Fits(c.Free) && c.State == hoist.WorkerReady && isInPlace(ask, c)
}

func isInPlace(ask hoist.PlacementQuery, c *hoist.Candidate) bool {
	return ask.DataCentre == "" || ask.DataCentre == c.DataCentre
}

func rankOf(ask hoist.PlacementQuery, c *hoist.Candidate) rank {
	r := rank{
		overloads:   !ask.Size.Add(c.Usage).Fits(c.Capacity),
		wastesAccel: ask.Need.Accel == 0 && c.Capacity.Accel > 0,
	}
	if ask.Spread {
		r.dataCentre, r.rack, r.worker = c.DataCentreReplicas, c.Replicas, c.WorkerReplicas
	}
	return r
}
