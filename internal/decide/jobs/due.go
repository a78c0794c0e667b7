package jobs

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Due returns the jobs with waiting tasks, most urgent first: urgent ones, then
// by priority, then by slack, then by time of acceptance.
func (b *Tracker) Due(now time.Time) []*Job {
	type keyed struct {
		job   *Job
		slack time.Duration
	}
	var due []keyed
	for _, j := range b.active {
		if j.counts[Waiting] > 0 && !j.IsCancelled && j.Version > 0 {
			due = append(due, keyed{j, b.slack(j, now)})
		}
	}
	slices.SortFunc(due, func(x, y keyed) int {
		return cmp.Or(
			-compareBool(x.job.Spec.Urgent, y.job.Spec.Urgent),
			-cmp.Compare(x.job.Spec.Priority, y.job.Spec.Priority),
			cmp.Compare(x.slack, y.slack),
			x.job.Accepted.Compare(y.job.Accepted),
			cmp.Compare(x.job.Spec.ID, y.job.Spec.ID),
		)
	})
	out := make([]*Job, len(due))
	for i, d := range due {
		out[i] = d.job
	}
	return out
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// slack is the time by which the job can wait and still meet its deadline.
func (b *Tracker) slack(j *Job, now time.Time) time.Duration {
	const none = 1000 * time.Hour
	if j.Spec.Deadline.IsZero() {
		return none
	}
	return j.Spec.Deadline.Sub(now) - b.remaining(j, now)
}

// remaining estimates the time until the end of a job that gets workers now:
// one run time, or what the rate of ends so far gives for the rest.
func (b *Tracker) remaining(j *Job, now time.Time) time.Duration {
	estimate := j.Spec.RunTime
	if b.Estimate != nil {
		estimate = b.Estimate(j.Spec)
	}
	if j.counts[Waiting] == 0 {
		estimate = max(0, estimate-now.Sub(j.lastSince()))
	}
	done := j.counts[Done]
	if done == 0 || j.firstStart.IsZero() {
		return estimate
	}
	perTask := now.Sub(j.firstStart) / time.Duration(done)
	return max(estimate, perTask*time.Duration(j.counts[Waiting]))
}

// lastSince is when the task that was placed last began to run.
func (j *Job) lastSince() time.Time {
	var last time.Time
	for _, t := range j.Tasks {
		if t.IsPlaced() && t.Since.After(last) {
			last = t.Since
		}
	}
	return last
}

// Ready returns the tasks of a job to place now. For a gang it is all tasks
// that are not done, or none.
func (b *Tracker) Ready(j *Job, now time.Time) []*Task {
	isGang := j.Spec.Kind == hoist.GangJob
	if isGang && j.counts[Waiting]+j.counts[Done] != len(j.Tasks) {
		return nil
	}
	out := make([]*Task, 0, j.counts[Waiting])
	for _, t := range j.Tasks {
		if t.Phase != Waiting {
			continue
		}
		if now.Before(t.NotBefore) {
			if isGang {
				return nil
			}
			continue
		}
		out = append(out, t)
	}
	return out
}

// Tick brings the book up to date with the time. It returns the jobs that were
// found to miss their deadline.
func (b *Tracker) Tick(now time.Time) []*Job {
	var late []*Job
	for _, j := range b.active {
		if j.Spec.Kind == hoist.GangJob && j.counts[Starting] > 0 && now.Sub(j.gangSince) > gangPatience {
			for _, t := range j.Tasks {
				b.stop(t, now)
			}
		}
		if !j.IsLate && !j.Spec.Deadline.IsZero() && b.slack(j, now) < 0 {
			j.IsLate = true
			late = append(late, j)
		}
	}
	return late
}

// Each calls fn for each running task that is not a replica of a service.
func (b *Tracker) Each(fn func(*Task)) {
	for _, j := range b.active {
		if j.Spec.Kind == hoist.ServiceJob || j.counts[Running] == 0 {
			continue
		}
		for _, t := range j.Tasks {
			if t.Phase == Running {
				fn(t)
			}
		}
	}
}

// Unconfirmed returns the gangs whose tasks all run and are still on trial.
func (b *Tracker) Unconfirmed() []*Job {
	var out []*Job
	for _, j := range b.active {
		isStarted := j.counts[Running] > 0 && j.counts[Running]+j.counts[Done] == len(j.Tasks)
		if j.Spec.Kind == hoist.GangJob && isStarted && !j.IsWhole {
			out = append(out, j)
		}
	}
	return out
}

// OldestGang returns the gang that has waited longest among those that ready
// accepts.
func (b *Tracker) OldestGang(ready func(*Job) bool) hoist.WaitingGang {
	var oldest hoist.WaitingGang
	for _, j := range b.active {
		if j.Spec.Kind != hoist.GangJob || j.IsCancelled || j.counts[Waiting]+j.counts[Done] != len(j.Tasks) || !ready(j) {
			continue
		}
		turn := hoist.WaitingGang{Job: j.Spec.ID, Since: j.Accepted}
		if oldest.Job == "" || IsBefore(turn, oldest) {
			oldest = turn
		}
	}
	return oldest
}

// IsBefore reports whether x has its turn before y.
func IsBefore(x, y hoist.WaitingGang) bool {
	return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Job, y.Job)) < 0
}

// Replace keeps the replicas of the services apart from leaving workers. For
// each replica on such a worker a further one is added; when enough replicas
// run elsewhere, those on leaving workers are stopped for good.
func (b *Tracker) Replace(isLeaving func(hoist.WorkerID) bool, now time.Time) {
	for _, j := range b.active {
		if j.Spec.Kind == hoist.ServiceJob && !j.IsCancelled && j.Version > 0 {
			b.replace(j, isLeaving, now)
		}
	}
}

func (b *Tracker) replace(j *Job, isLeaving func(hoist.WorkerID) bool, now time.Time) {
	var leaving, staying []*Task
	running := 0
	for _, t := range j.Tasks {
		switch {
		case t.isRetired:
		case t.IsPlaced() && isLeaving(t.Worker):
			leaving = append(leaving, t)
		default:
			staying = append(staying, t)
			if t.Phase == Running {
				running++
			}
		}
	}
	for no := 0; len(staying) < j.Spec.Tasks; no++ {
		if _, ok := b.tasks[taskID(j, no)]; !ok {
			staying = append(staying, b.addTask(j, no))
		}
	}
	for _, t := range leaving {
		if running >= j.Spec.Tasks {
			b.retire(t, now)
		}
	}
	b.dropSurplus(staying, len(staying)-j.Spec.Tasks, now)
}

// dropSurplus retires n replicas above the declared number, which exist when a
// worker that was leaving stays after all. Waiting ones go first.
func (b *Tracker) dropSurplus(staying []*Task, n int, now time.Time) {
	for _, phase := range []Phase{Waiting, Running} {
		for _, t := range slices.Backward(staying) {
			if n > 0 && t.Phase == phase && !t.isRetired {
				b.retire(t, now)
				n--
			}
		}
	}
}

// retire stops a replica for good.
func (b *Tracker) retire(t *Task, now time.Time) {
	t.isRetired = true
	if t.Phase == Waiting {
		b.toWaiting(t, now)
		return
	}
	b.stop(t, now)
}
