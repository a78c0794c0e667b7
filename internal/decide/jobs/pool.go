package jobs

import (
	"math/rand/v2"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// WorkerPool is a snapshot of the workers for one placement pass. Each choice
// reduces the free capacity in the snapshot, so that the choices of one pass do
// not overcommit a worker together.
type WorkerPool struct {
	policy  hoist.PlacementPolicy
	rng     *rand.Rand
	workers []hoist.Candidate
	index   map[hoist.WorkerID]int
}

// NewWorkerPool returns a pool of the given workers. It takes ownership of the
// slice and modifies it.
func NewWorkerPool(workers []hoist.Candidate, policy hoist.PlacementPolicy, rng *rand.Rand) *WorkerPool {
	p := &WorkerPool{policy: policy, rng: rng, workers: workers, index: make(map[hoist.WorkerID]int, len(workers))}
	for i, w := range workers {
		p.index[w.Worker] = i
	}
	return p
}

// Choice is the worker chosen for a task.
type Choice struct {
	Worker hoist.WorkerID
	// Preempt is set if tasks of lower priority must be stopped first.
	Preempt bool
}

// PlacementQueryOf returns the placement query for one task of a job. size is
// the learned size of the job's tasks.
func PlacementQueryOf(spec hoist.JobSpec, size hoist.Resources) hoist.PlacementQuery {
	return hoist.PlacementQuery{
		Need: spec.Need, Size: size, DataCentre: spec.DataCentre, Spread: spec.Kind == hoist.ServiceJob,
	}
}

// CountReplicas sets how many replicas of a service each worker runs. It is
// called before workers are chosen for further replicas.
func (p *WorkerPool) CountReplicas(placed map[hoist.WorkerID]int) {
	place.CountReplicas(p.workers, placed)
}

// Choose picks a worker for a task of a job and subtracts the task's need from
// the worker's free capacity. For an urgent job that fits nowhere it picks a
// worker on which stopping tasks of lower priority frees enough. It reports
// false if there is no such worker either.
func (p *WorkerPool) Choose(spec hoist.JobSpec, query hoist.PlacementQuery) (Choice, bool) {
	preempts := false
	i := p.policy.Choose(query, p.workers, p.rng)
	if i < 0 && spec.Urgent {
		i, preempts = p.choosePreemption(spec, query), true
	}
	if i < 0 {
		return Choice{}, false
	}
	if preempts {
		p.preempt(i, spec)
	}
	c := &p.workers[i]
	c.Free = c.Free.Sub(spec.Need)
	if query.Spread {
		place.AddReplica(p.workers, i)
	}
	return Choice{c.Worker, preempts}, true
}

// Release adds the capacity that a choice took back to the pool.
func (p *WorkerPool) Release(c Choice, spec hoist.JobSpec) {
	if i, ok := p.index[c.Worker]; ok {
		p.workers[i].Free = p.workers[i].Free.Add(spec.Need)
	}
}

// Explain reports whether the given number of tasks of a job fit on the workers
// at once and, if not, why.
func (p *WorkerPool) Explain(query hoist.PlacementQuery, tasks int) place.Verdict {
	return place.Explain(query, tasks, p.workers)
}

// choosePreemption picks the worker with the most free CPU among those on which
// a task fits once all tasks of lower priority are stopped. It returns -1 if
// there is none.
func (p *WorkerPool) choosePreemption(spec hoist.JobSpec, query hoist.PlacementQuery) int {
	best := -1
	for i, c := range p.workers {
		c.Free = c.Free.Add(lowerPriorityUse(c, spec.Priority))
		if place.Fits(query, &c) && (best < 0 || p.workers[i].Free.CPU > p.workers[best].Free.CPU) {
			best = i
		}
	}
	return best
}

// lowerPriorityUse returns the resources held on a worker by tasks of a lower
// priority.
func lowerPriorityUse(c hoist.Candidate, priority hoist.Priority) hoist.Resources {
	var sum hoist.Resources
	for _, u := range c.UsedByPriority {
		if u.Priority < priority {
			sum = sum.Add(u.Used)
		}
	}
	return sum
}

// preempt moves resources held by lower priorities to the free capacity of a
// worker, lowest priority first, until the need of a task fits.
func (p *WorkerPool) preempt(i int, spec hoist.JobSpec) {
	c := &p.workers[i]
	c.UsedByPriority = slices.Clone(c.UsedByPriority)
	slices.SortFunc(c.UsedByPriority, func(a, b hoist.PriorityUse) int { return int(a.Priority - b.Priority) })
	for len(c.UsedByPriority) > 0 && c.UsedByPriority[0].Priority < spec.Priority && !spec.Need.Fits(c.Free) {
		c.Free = c.Free.Add(c.UsedByPriority[0].Used)
		c.UsedByPriority = c.UsedByPriority[1:]
	}
}

// ChooseReservations picks workers on which up to n tasks of a gang reserve capacity,
// whether it is free now or not. Workers with the most free CPU come first. The
// choice does not reduce the free capacity in the pool.
func (p *WorkerPool) ChooseReservations(query hoist.PlacementQuery, n int) []hoist.WorkerID {
	indices := make([]int, 0, len(p.workers))
	for i, c := range p.workers {
		c.Free = c.Capacity
		if place.Fits(query, &c) {
			indices = append(indices, i)
		}
	}
	p.rng.Shuffle(len(indices), func(a, b int) { indices[a], indices[b] = indices[b], indices[a] })
	slices.SortStableFunc(indices, func(a, b int) int { return int(p.workers[b].Free.CPU - p.workers[a].Free.CPU) })
	var out []hoist.WorkerID
	for _, i := range indices {
		for range place.FitCount(query.Need, p.workers[i].Capacity) {
			if len(out) == n {
				return out
			}
			out = append(out, p.workers[i].Worker)
		}
	}
	return out
}
