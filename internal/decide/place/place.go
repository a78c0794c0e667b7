// Package place implements the placement policies. A policy chooses a worker for
// a task from what the task needs and the free capacity of the workers. The
// choice is not binding: the worker's owner grants or refuses the capacity.
//
// # Usage
//
//	place.CountReplicas(candidates, running) // for services
//	i := place.Default.Choose(query, candidates, rng)
//	if i < 0 {
//		verdict := place.Explain(query, tasks, candidates)
//	}
//
// All policies choose only among ready workers in the requested data centre that
// have the declared size of the task free. Among these they prefer, in this
// order: workers that the learned size does not overload; workers without
// accelerators, for tasks that need none; for replicas, the data centre, rack
// and worker with the fewest replicas. The policies differ in how they break
// ties.
package place

import (
	"cmp"
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Default is the policy of a cell that does not configure another one. 16 samples
// pack workloads with large tasks 1% better than 8; 32 are no better than 16.
var Default hoist.PlacementPolicy = Aligned{Samples: 16}

// FirstFit picks the first candidate that fits. It is a baseline for comparisons.
type FirstFit struct{}

// Choose implements hoist.PlacementPolicy.
func (FirstFit) Choose(query hoist.PlacementQuery, candidates []hoist.Candidate, _ *rand.Rand) int {
	return choose(query, candidates, walk{step: 1}, 1, equalScore)
}

// ChooseByDeclaredSize implements hoist.PlacementPolicy.
func (p FirstFit) ChooseByDeclaredSize(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// RandomFit picks a random candidate that fits. It is a baseline for comparisons.
type RandomFit struct{}

// Choose implements hoist.PlacementPolicy.
func (RandomFit) Choose(query hoist.PlacementQuery, candidates []hoist.Candidate, rng *rand.Rand) int {
	return choose(query, candidates, walkFor(query, len(candidates), rng), 1, equalScore)
}

// ChooseByDeclaredSize implements hoist.PlacementPolicy.
func (p RandomFit) ChooseByDeclaredSize(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// BestFit picks the candidate that has the smallest sum of free shares of its
// resources once the task is placed. It examines all candidates.
type BestFit struct{}

// Choose implements hoist.PlacementPolicy.
func (BestFit) Choose(query hoist.PlacementQuery, candidates []hoist.Candidate, _ *rand.Rand) int {
	return choose(query, candidates, walk{step: 1}, len(candidates), freeShares)
}

// ChooseByDeclaredSize implements hoist.PlacementPolicy.
func (p BestFit) ChooseByDeclaredSize(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// Aligned samples candidates that fit and picks the one that wastes the least: on
// it little stays free, in similar shares of CPU and memory.
type Aligned struct {
	// Samples is the number of fitting candidates to compare. Values below 1
	// count as 1.
	Samples int
}

// Choose implements hoist.PlacementPolicy.
func (p Aligned) Choose(query hoist.PlacementQuery, candidates []hoist.Candidate, rng *rand.Rand) int {
	return choose(query, candidates, walkFor(query, len(candidates), rng), max(p.Samples, 1), wasteScore)
}

// ChooseByDeclaredSize implements hoist.PlacementPolicy.
func (p Aligned) ChooseByDeclaredSize(need hoist.Resources, candidates []hoist.Candidate, rng *rand.Rand) int {
	return p.Choose(hoist.PlacementQuery{Need: need}, candidates, rng)
}

// walk is an order in which candidates are examined.
type walk struct {
	start, step int
}

// randomWalk returns a walk with a random start and a random step. The step has
// no common divisor with n, so the walk visits each candidate once.
func randomWalk(n int, rng *rand.Rand) walk {
	if n < 2 {
		return walk{step: 1}
	}
	w := walk{start: rng.IntN(n), step: 1 + rng.IntN(n-1)}
	for gcd(w.step, n) != 1 {
		w.step = w.step%(n-1) + 1
	}
	return w
}

// walkFor returns a random walk. For replicas, for which all candidates are
// examined, the step is 1, because sequential memory access is faster.
func walkFor(query hoist.PlacementQuery, n int, rng *rand.Rand) walk {
	w := randomWalk(n, rng)
	if query.Spread {
		w.step = 1
	}
	return w
}

// gcd returns the greatest common divisor of a and b.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// rank orders the candidates that fit. The one with the smallest rank is chosen.
type rank struct {
	overloads   bool
	wastesAccel bool
	dataCentre  int
	rack        int
	worker      int
	score       float64
}

// isBest reports whether, apart from the score and the numbers of replicas, no
// candidate can rank before r.
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

// choose examines the candidates in the order of w and returns the index of the
// one with the smallest rank, or -1 if none fits. It stops after the given number
// of samples for which isBest holds. For replicas it examines all candidates, as
// the smallest number of replicas is known only at the end.
func choose(query hoist.PlacementQuery, candidates []hoist.Candidate, w walk, samples int, score func(need hoist.Resources, c *hoist.Candidate) float64) int {
	chosen, sampled := -1, 0
	var best rank
	i := w.start
	for range candidates {
		c := &candidates[i]
		if Fits(query, c) {
			r := rankOf(query, c)
			r.score = score(query.Need, c)
			if chosen < 0 || r.isBefore(&best) {
				chosen, best = i, r
			}
			if r.isBest() && !query.Spread {
				sampled++
			}
		}
		if sampled >= samples {
			break
		}
		if i += w.step; i >= len(candidates) {
			i -= len(candidates)
		}
	}
	return chosen
}

// Fits reports whether the task can be placed on the worker now: the worker is
// ready, in the requested data centre, and has enough free capacity.
func Fits(query hoist.PlacementQuery, c *hoist.Candidate) bool {
	return query.Need.Fits(c.Free) && c.State == hoist.WorkerReady && isInDataCentre(query, c)
}

func isInDataCentre(query hoist.PlacementQuery, c *hoist.Candidate) bool {
	return query.DataCentre == "" || query.DataCentre == c.DataCentre
}

func rankOf(query hoist.PlacementQuery, c *hoist.Candidate) rank {
	r := rank{
		overloads:   !query.Size.Add(c.Usage).Fits(c.Capacity),
		wastesAccel: query.Need.Accel == 0 && c.Capacity.Accel > 0,
	}
	if query.Spread {
		r.dataCentre, r.rack, r.worker = c.DataCentreReplicas, c.Replicas, c.WorkerReplicas
	}
	return r
}
