package jobs

import (
	"math/rand/v2"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// WorkerPool is a view of the workers for one placement pass. What is chosen is
// taken from the view, so that the choices of a pass fit together.
type WorkerPool struct {
	policy  hoist.PlacementPolicy
	rng     *rand.Rand
	workers []hoist.Candidate
	index   map[hoist.WorkerID]int
}

// NewWorkerPool returns a view of the workers. It keeps and changes the slice.
func NewWorkerPool(workers []hoist.Candidate, policy hoist.PlacementPolicy, rng *rand.Rand) *WorkerPool {
	f := &WorkerPool{policy: policy, rng: rng, workers: workers, index: make(map[hoist.WorkerID]int, len(workers))}
	for i, w := range workers {
		f.index[w.Worker] = i
	}
	return f
}

// Choice is a worker that was chosen for a task.
type Choice struct {
	Worker hoist.WorkerID
	// Preempt is set if tasks of lower priority must make room.
	Preempt bool
}

// PlacementQueryOf returns what a policy is told about the tasks of a job, with their
// learned size.
func PlacementQueryOf(spec hoist.JobSpec, size hoist.Resources) hoist.PlacementQuery {
	return hoist.PlacementQuery{
		Need: spec.Need, Size: size, DataCentre: spec.DataCentre, Spread: spec.Kind == hoist.ServiceJob,
	}
}

// CountReplicas tells how many replicas of a service each worker has, before
// workers are chosen for further ones.
func (f *WorkerPool) CountReplicas(placed map[hoist.WorkerID]int) {
	place.CountReplicas(f.workers, placed)
}

// Choose picks a worker for a task of a job and takes its need from the view.
func (f *WorkerPool) Choose(spec hoist.JobSpec, ask hoist.PlacementQuery) (Choice, bool) {
	isYielding := false
	i := f.policy.Choose(ask, f.workers, f.rng)
	if i < 0 && spec.Urgent {
		i, isYielding = f.pickYielding(spec, ask), true
	}
	if i < 0 {
		return Choice{}, false
	}
	if isYielding {
		f.yield(i, spec)
	}
	c := &f.workers[i]
	c.Free = c.Free.Sub(spec.Need)
	if ask.Spread {
		place.AddReplica(f.workers, i)
	}
	return Choice{c.Worker, isYielding}, true
}

// Give returns what a choice took.
func (f *WorkerPool) Give(c Choice, spec hoist.JobSpec) {
	if i, ok := f.index[c.Worker]; ok {
		f.workers[i].Free = f.workers[i].Free.Add(spec.Need)
	}
}

// Explain tells whether tasks of a job fit into the view, and why not.
func (f *WorkerPool) Explain(ask hoist.PlacementQuery, tasks int) place.Verdict {
	return place.Explain(ask, tasks, f.workers)
}

// pickYielding picks the worker on which tasks of lower priority hold enough
// and the least processor is short. It returns -1 if there is none.
func (f *WorkerPool) pickYielding(spec hoist.JobSpec, ask hoist.PlacementQuery) int {
	best := -1
	for i, c := range f.workers {
		c.Free = c.Free.Add(lower(c, spec.Priority))
		if place.Fits(ask, &c) && (best < 0 || f.workers[i].Free.CPU > f.workers[best].Free.CPU) {
			best = i
		}
	}
	return best
}

// lower is what tasks of a lower priority hold on a worker.
func lower(c hoist.Candidate, p hoist.Priority) hoist.Resources {
	var sum hoist.Resources
	for _, u := range c.Lower {
		if u.Priority < p {
			sum = sum.Add(u.Used)
		}
	}
	return sum
}

// yield moves what lower priorities hold on a worker to its free capacity, the
// lowest first, until the need fits.
func (f *WorkerPool) yield(i int, spec hoist.JobSpec) {
	c := &f.workers[i]
	c.Lower = slices.Clone(c.Lower)
	slices.SortFunc(c.Lower, func(a, b hoist.PriorityUse) int { return int(a.Priority - b.Priority) })
	for len(c.Lower) > 0 && c.Lower[0].Priority < spec.Priority && !spec.Need.Fits(c.Free) {
		c.Free = c.Free.Add(c.Lower[0].Used)
		c.Lower = c.Lower[1:]
	}
}

// ChooseHolds picks workers for n tasks of a gang, whether they have room now
// or not: those with the most free processor first. The places are not taken
// from the view.
func (f *WorkerPool) ChooseHolds(ask hoist.PlacementQuery, n int) []hoist.WorkerID {
	order := make([]int, 0, len(f.workers))
	for i, c := range f.workers {
		c.Free = c.Capacity
		if place.Fits(ask, &c) {
			order = append(order, i)
		}
	}
	f.rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	slices.SortStableFunc(order, func(a, b int) int { return int(f.workers[b].Free.CPU - f.workers[a].Free.CPU) })
	var out []hoist.WorkerID
	for _, i := range order {
		for range place.Copies(ask.Need, f.workers[i].Capacity) {
			if len(out) == n {
				return out
			}
			out = append(out, f.workers[i].Worker)
		}
	}
	return out
}
