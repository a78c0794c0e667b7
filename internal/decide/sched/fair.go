package sched

import (
	"iter"
	"math"
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

// fairness is the state of dividing the capacity among the teams during a pass.
type fairness struct {
	// total is the capacity of the listed workers, and freeShare the smallest share of a
	// resource that the usable ones have free. Both are of the pass with number passNo.
	total     hoist.Resources
	freeShare float64
	passNo    uint64
	// group numbers the groups of jobs among which capacity is divided.
	group uint64
	// isBounded is set while teams may only reach their shares, and wasBounded once this
	// has kept a task from starting.
	isBounded, wasBounded bool
	// later holds the jobs of the group that come after the others.
	later []*Job
}

// competition is the state of a team in the division of capacity within a group of jobs.
type competition struct {
	// group is the last group in which the team had a task that could start.
	group uint64
	// bound is the dominant share from which on the team comes after the others.
	bound float64
	// share is the dominant share that the team holds, if isMeasured is set.
	share      float64
	isMeasured bool
}

// sharesTolerance is how much a share may exceed another by rounding.
const sharesTolerance = 1e-9

// inFairOrder divides the capacity among the teams within a priority. It yields the jobs
// that are within the rate of their team in the given order, but within each priority those
// of teams that hold more than their weighted share after the others; then those beyond the
// rate. Shares are compared as tasks are placed, while the jobs are taken from the sequence.
// A job that may place more once the others had their turn comes twice, and one whose team
// can start none of its tasks not at all.
func (sc *Scheduler) inFairOrder(within, beyond []*Job) iter.Seq[*Job] {
	if len(sc.teams.byID) == 0 {
		// Without teams there are no rates, so beyond is empty.
		return slices.Values(within)
	}
	return func(yieldAny func(*Job) bool) {
		yield := func(j *Job) bool {
			if sc.isBlocked(j) {
				sc.reserveQuota(j)
				return true
			}
			return yieldAny(j)
		}
		defer func() { sc.fair.isBounded = false }()
		for len(within) > 0 {
			n := 1
			for n < len(within) && within[n].Plan.Queue.Priority == within[0].Plan.Queue.Priority {
				n++
			}
			if !sc.yieldFairly(within[:n], yield) {
				return
			}
			within = within[n:]
		}
		yieldAll(beyond, yield)
	}
}

// yieldAll passes jobs on in their order. It reports whether more may follow.
func yieldAll(jobs []*Job, yield func(*Job) bool) bool {
	for _, j := range jobs {
		if !yield(j) {
			return false
		}
	}
	return true
}

// yieldFairly passes the jobs of one priority on: those of teams below their share first.
// It reports whether more may follow.
func (sc *Scheduler) yieldFairly(jobs []*Job, yield func(*Job) bool) bool {
	f := &sc.fair
	if !sc.setBounds(jobs) {
		return yieldAll(jobs, yield)
	}
	f.later = f.later[:0]
	f.isBounded = true
	for _, j := range jobs {
		if f.isAboveShare(j.team) {
			f.later = append(f.later, j)
			continue
		}
		f.wasBounded = false
		placed := j.placed
		if !yield(j) {
			return false
		}
		if f.wasBounded && j.placed > placed {
			f.later = append(f.later, j)
		}
	}
	f.isBounded = false
	return yieldAll(f.later, yield)
}

// setBounds computes the shares of the teams that compete for capacity in a group of jobs:
// those with a task that could start. It reports whether there are several.
func (sc *Scheduler) setBounds(jobs []*Job) bool {
	f := &sc.fair
	f.group++
	var competing []*team
	for _, j := range jobs {
		if j.team != nil && j.team.competition.group != f.group && sc.canStartTask(j) {
			j.team.competition.group = f.group
			competing = append(competing, j.team)
		}
	}
	if len(competing) < 2 {
		return false
	}
	sc.measureCapacity()
	var held, weights float64
	for _, t := range competing {
		t.competition.isMeasured = false
		held += f.held(t)
		weights += t.weight
	}
	for _, t := range competing {
		// What is free may be lent to a team up to its share of it, unless the team has
		// more than its share of what is in use.
		part := t.weight / weights
		t.competition.bound = part * (held + f.freeShare)
		if f.held(t) > part*held*(1+sharesTolerance) {
			t.competition.bound = 0
		}
	}
	return true
}

// canStartTask reports whether a job has a waiting task that is ready and fits into the
// quota of its team.
func (sc *Scheduler) canStartTask(j *Job) bool {
	if sc.isBlocked(j) {
		return false
	}
	for _, s := range j.steps {
		if s.waiting > 0 && sc.fitsQuota(s) && j.isReady(s) {
			return true
		}
	}
	return false
}

// measureCapacity computes the total capacity and the free share, once in a pass.
func (sc *Scheduler) measureCapacity() {
	f := &sc.fair
	if f.passNo == sc.passNo {
		return
	}
	f.passNo, f.total = sc.passNo, hoist.Resources{}
	for _, w := range sc.workers {
		if w.isListed {
			f.total = f.total.Add(w.entry.Capacity)
		}
	}
	var free hoist.Resources
	for _, w := range sc.usable {
		free = free.Add(w.free())
	}
	f.freeShare = 1
	for _, r := range ratios(free, f.total) {
		f.freeShare = max(0, min(f.freeShare, r))
	}
}

// share returns the dominant share: the largest share of any resource.
func (f *fairness) share(used hoist.Resources) float64 {
	most := 0.0
	for _, r := range ratios(used, f.total) {
		if !math.IsInf(r, 1) {
			most = max(most, r)
		}
	}
	return most
}

// ratios returns part as a share of total for each resource. The share of a resource of
// which total has none is infinite.
func ratios(part, total hoist.Resources) [3]float64 {
	ratio := func(part, total int64) float64 {
		if total <= 0 {
			return math.Inf(1)
		}
		return float64(part) / float64(total)
	}
	return [...]float64{
		ratio(int64(part.CPU), int64(total.CPU)), ratio(int64(part.Memory), int64(total.Memory)), ratio(int64(part.Accel), int64(total.Accel)),
	}
}

// held returns the dominant share that a team holds.
func (f *fairness) held(t *team) float64 {
	c := &t.competition
	if !c.isMeasured {
		c.share, c.isMeasured = f.share(t.account.Usage().Used), true
	}
	return c.share
}

// isAboveShare reports whether a team comes after others of the group: it competes and
// has reached its bound.
func (f *fairness) isAboveShare(t *team) bool {
	if t == nil || t.competition.group != f.group {
		return false
	}
	return f.held(t) >= t.competition.bound*(1-sharesTolerance)
}

// withinShare returns how many of n tasks of a step may start before the team has reached
// its share: at least one, so that the share can be reached, and all tasks of a gang.
func (sc *Scheduler) withinShare(s *StepTasks, n int) int {
	f, t := &sc.fair, s.Job.team
	if !f.isBounded || t.competition.group != f.group || s.Step.IsGang || n <= 1 {
		return n
	}
	one := f.share(s.Step.Need)
	if one <= 0 {
		return n
	}
	left := (t.competition.bound - f.held(t)) / one
	allowed := max(1, int(math.Ceil(min(left, math.MaxInt32))))
	if allowed < min(n, s.waiting) {
		f.wasBounded = true
		return allowed
	}
	return n
}
