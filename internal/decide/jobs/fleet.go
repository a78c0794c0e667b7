package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

// Fleet is a view of the workers for one placement pass. What is chosen is
// taken from the view, so that the choices of a pass fit together.
type Fleet struct {
	policy  hoist.PlacementPolicy
	rng     *rand.Rand
	workers []hoist.Candidate
	index   map[hoist.WorkerID]int
	avoid   map[hoist.WorkerID]bool
}

// NewFleet returns a view of the workers. It keeps and changes the slice.
func NewFleet(workers []hoist.Candidate, policy hoist.PlacementPolicy, rng *rand.Rand) *Fleet {
	f := &Fleet{policy: policy, rng: rng, workers: workers, index: make(map[hoist.WorkerID]int, len(workers))}
	for i, w := range workers {
		f.index[w.Worker] = i
	}
	return f
}

// Avoid makes the fleet not choose a worker.
func (f *Fleet) Avoid(id hoist.WorkerID) {
	if f.avoid == nil {
		f.avoid = make(map[hoist.WorkerID]bool)
	}
	f.avoid[id] = true
}

// Spread counts the replicas of a service by place.
type Spread struct {
	centres map[hoist.DataCentreID]int
	racks   map[hoist.RackID]int
}

// NewSpread counts replicas on the given workers, as far as the fleet knows
// them.
func (f *Fleet) NewSpread(on []hoist.WorkerID) *Spread {
	s := &Spread{centres: make(map[hoist.DataCentreID]int), racks: make(map[hoist.RackID]int)}
	for _, id := range on {
		if i, ok := f.index[id]; ok {
			s.add(f.workers[i])
		}
	}
	return s
}

func (s *Spread) add(c hoist.Candidate) {
	s.centres[c.DataCentre]++
	s.racks[c.Rack]++
}

// Choice is a worker that was chosen for a task.
type Choice struct {
	Worker hoist.WorkerID
	// Preempt is set if tasks of lower priority must make room.
	Preempt bool
}

// Choose picks a worker for a task of a job and takes its need from the view.
// A nil spread means that the place does not matter.
func (f *Fleet) Choose(spec hoist.JobSpec, spread *Spread, failedOn hoist.WorkerID) (Choice, bool) {
	if i, ok := f.pick(spec, spread, failedOn); ok {
		f.take(i, spec, spread)
		return Choice{Worker: f.workers[i].Worker}, true
	}
	if !spec.Urgent {
		return Choice{}, false
	}
	i, ok := f.pickYielding(spec)
	if !ok {
		return Choice{}, false
	}
	f.yield(i, spec)
	f.take(i, spec, spread)
	return Choice{f.workers[i].Worker, true}, true
}

func (f *Fleet) take(i int, spec hoist.JobSpec, spread *Spread) {
	f.workers[i].Free = f.workers[i].Free.Sub(spec.Need)
	if spread != nil {
		spread.add(f.workers[i])
	}
}

// Give returns what a choice took.
func (f *Fleet) Give(c Choice, spec hoist.JobSpec) {
	if i, ok := f.index[c.Worker]; ok {
		f.workers[i].Free = f.workers[i].Free.Add(spec.Need)
	}
}

func (f *Fleet) mayUse(c hoist.Candidate, spec hoist.JobSpec) bool {
	return !c.Leaving && (spec.DataCentre == "" || c.DataCentre == spec.DataCentre) && !f.avoid[c.Worker]
}

// pick lets the policy choose among the workers of the least used data centre
// and rack that fit.
func (f *Fleet) pick(spec hoist.JobSpec, spread *Spread, failedOn hoist.WorkerID) (int, bool) {
	if spec.DataCentre == "" && spread == nil && failedOn == "" && len(f.avoid) == 0 {
		i := f.policy.Pick(spec.Need, f.workers, f.rng)
		return i, i >= 0
	}
	var fits []int
	for i, c := range f.workers {
		if f.mayUse(c, spec) && spec.Need.Fits(c.Free) {
			fits = append(fits, i)
		}
	}
	if elsewhere := slices.DeleteFunc(slices.Clone(fits), func(i int) bool { return f.workers[i].Worker == failedOn }); len(elsewhere) > 0 {
		fits = elsewhere
	}
	if spread != nil {
		fits = least(fits, func(i int) int { return spread.centres[f.workers[i].DataCentre] })
		fits = least(fits, func(i int) int { return spread.racks[f.workers[i].Rack] })
	}
	view := make([]hoist.Candidate, len(fits))
	for n, i := range fits {
		view[n] = f.workers[i]
		if spread != nil {
			view[n].Replicas = spread.racks[view[n].Rack]
		}
	}
	n := f.policy.Pick(spec.Need, view, f.rng)
	if n < 0 {
		return 0, false
	}
	return fits[n], true
}

// least keeps the elements with the smallest count.
func least(in []int, count func(int) int) []int {
	var out []int
	smallest := 0
	for _, i := range in {
		n := count(i)
		if len(out) == 0 || n < smallest {
			out, smallest = out[:0], n
		}
		if n == smallest {
			out = append(out, i)
		}
	}
	return out
}

// pickYielding picks the worker on which tasks of lower priority hold enough
// and the least processor is short.
func (f *Fleet) pickYielding(spec hoist.JobSpec) (int, bool) {
	best, isFound := 0, false
	for i, c := range f.workers {
		if !f.mayUse(c, spec) || !spec.Need.Fits(c.Free.Add(lower(c, spec.Priority))) {
			continue
		}
		if !isFound || c.Free.CPU > f.workers[best].Free.CPU {
			best, isFound = i, true
		}
	}
	return best, isFound
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
func (f *Fleet) yield(i int, spec hoist.JobSpec) {
	c := &f.workers[i]
	c.Lower = slices.Clone(c.Lower)
	slices.SortFunc(c.Lower, func(a, b hoist.PriorityUse) int { return int(a.Priority - b.Priority) })
	for len(c.Lower) > 0 && c.Lower[0].Priority < spec.Priority && !spec.Need.Fits(c.Free) {
		c.Free = c.Free.Add(c.Lower[0].Used)
		c.Lower = c.Lower[1:]
	}
}

// Obstacle tells why a job can never run even on empty workers, or returns "".
func (f *Fleet) Obstacle(spec hoist.JobSpec) string {
	places, inCentre := 0, 0
	var largest hoist.Resources
	for _, c := range f.workers {
		if c.Leaving || (spec.DataCentre != "" && c.DataCentre != spec.DataCentre) {
			continue
		}
		inCentre++
		largest = hoist.Resources{
			CPU:    max(largest.CPU, c.Capacity.CPU),
			Memory: max(largest.Memory, c.Capacity.Memory),
			Accel:  max(largest.Accel, c.Capacity.Accel),
		}
		places += fitting(spec.Need, c.Capacity)
	}
	switch {
	case len(f.workers) == 0:
		return ""
	case inCentre == 0:
		return fmt.Sprintf("there is no worker in data centre %q", spec.DataCentre)
	case places == 0:
		return fmt.Sprintf("a task needs %v; no empty worker holds that (the largest amounts are %v)", spec.Need, largest)
	case spec.Kind == hoist.GangJob && places < spec.Tasks:
		return fmt.Sprintf("%d tasks must start together; all workers, empty, have places for %d", spec.Tasks, places)
	}
	return ""
}

// Shortage tells why a job has to wait now.
func (f *Fleet) Shortage(spec hoist.JobSpec) string {
	free := 0
	var largest hoist.MilliCPU
	for _, c := range f.workers {
		if f.mayUse(c, spec) && !c.Leaving {
			free++
			largest = max(largest, c.Free.CPU)
		}
	}
	return fmt.Sprintf("a task needs %v; none of %d workers has that free (at most %.1f cores)",
		spec.Need, free, float64(largest)/1000)
}

// fitting returns how often need fits into capacity.
func fitting(need, capacity hoist.Resources) int {
	n := 1 << 30
	if need.CPU > 0 {
		n = min(n, int(capacity.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int(capacity.Memory/need.Memory))
	}
	if need.Accel > 0 {
		n = min(n, int(capacity.Accel/need.Accel))
	}
	return n
}

// ChooseHolds picks workers for n tasks of a gang, whether they have room now
// or not: those with the most free processor first. The places are not taken
// from the view.
func (f *Fleet) ChooseHolds(spec hoist.JobSpec, n int) []hoist.WorkerID {
	order := make([]int, 0, len(f.workers))
	for i, c := range f.workers {
		if f.mayUse(c, spec) && spec.Need.Fits(c.Capacity) {
			order = append(order, i)
		}
	}
	f.rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	slices.SortStableFunc(order, func(a, b int) int { return int(f.workers[b].Free.CPU - f.workers[a].Free.CPU) })
	var out []hoist.WorkerID
	for _, i := range order {
		for range fitting(spec.Need, f.workers[i].Capacity) {
			if len(out) == n {
				return out
			}
			out = append(out, f.workers[i].Worker)
		}
	}
	return out
}
