package jobs

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Due returns the recorded, uncancelled jobs that have waiting tasks, in
// scheduling order: urgent jobs first, then by descending priority, ascending
// slack and time of acceptance.
func (tr *Tracker) Due(now time.Time) []*Job {
	type dueJob struct {
		job   *Job
		slack time.Duration
	}
	var due []dueJob
	for _, j := range tr.active {
		if j.counts[Waiting] > 0 && !j.IsCancelled && j.Version > 0 {
			due = append(due, dueJob{j, tr.slack(j, now)})
		}
	}
	slices.SortFunc(due, func(x, y dueJob) int {
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

// slack returns how long the job can still wait and meet its deadline. It is
// negative if the job is expected to miss it.
func (tr *Tracker) slack(j *Job, now time.Time) time.Duration {
	const noDeadline = 1000 * time.Hour
	if j.Spec.Deadline.IsZero() {
		return noDeadline
	}
	return j.Spec.Deadline.Sub(now) - tr.remaining(j, now)
}

// remaining estimates the time until a job ends if its tasks are placed now: the
// run time of one task or, if that is longer, the time for the waiting tasks at
// the rate at which tasks have finished so far.
func (tr *Tracker) remaining(j *Job, now time.Time) time.Duration {
	estimate := j.Spec.RunTime
	if tr.Estimate != nil {
		estimate = tr.Estimate(j.Spec)
	}
	if j.counts[Waiting] == 0 {
		estimate = max(0, estimate-now.Sub(j.lastStart()))
	}
	done := j.counts[Done]
	if done == 0 || j.firstStart.IsZero() {
		return estimate
	}
	perTask := now.Sub(j.firstStart) / time.Duration(done)
	return max(estimate, perTask*time.Duration(j.counts[Waiting]))
}

// lastStart returns the latest time at which a placed task entered its phase.
func (j *Job) lastStart() time.Time {
	var last time.Time
	for _, t := range j.Tasks {
		if t.IsPlaced() && t.Since.After(last) {
			last = t.Since
		}
	}
	return last
}

// Ready returns the tasks of a job that can be placed now, which excludes tasks
// in their backoff after a failure. For a gang it returns all tasks that are not
// done, or none.
func (tr *Tracker) Ready(j *Job, now time.Time) []*Task {
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

// Tick applies the time limits of the active jobs: it stops gangs whose starts
// take longer than gangStartTimeout. It returns the jobs that are newly expected
// to miss their deadline, and marks them as late.
func (tr *Tracker) Tick(now time.Time) []*Job {
	var late []*Job
	for _, j := range tr.active {
		if j.Spec.Kind == hoist.GangJob && j.counts[Starting] > 0 && now.Sub(j.gangStartedAt) > gangStartTimeout {
			for _, t := range j.Tasks {
				tr.stop(t, now)
			}
		}
		if !j.IsLate && !j.Spec.Deadline.IsZero() && tr.slack(j, now) < 0 {
			j.IsLate = true
			late = append(late, j)
		}
	}
	return late
}

// EachRunningTask calls fn for each running task, except for the replicas of services.
func (tr *Tracker) EachRunningTask(fn func(*Task)) {
	for _, j := range tr.active {
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

// UnconfirmedGangs returns the gangs of which every task runs or is done and
// IsGangConfirmed is not set: the owners of their workers must still be told.
func (tr *Tracker) UnconfirmedGangs() []*Job {
	var out []*Job
	for _, j := range tr.active {
		isStarted := j.counts[Running] > 0 && j.counts[Running]+j.counts[Done] == len(j.Tasks)
		if j.Spec.Kind == hoist.GangJob && isStarted && !j.IsGangConfirmed {
			out = append(out, j)
		}
	}
	return out
}

// OldestGang returns the gang that has waited longest among those that have no
// placed task and that ready accepts. It returns the zero value if there is none.
func (tr *Tracker) OldestGang(ready func(*Job) bool) hoist.WaitingGang {
	var oldest hoist.WaitingGang
	for _, j := range tr.active {
		if j.Spec.Kind != hoist.GangJob || j.IsCancelled || j.counts[Waiting]+j.counts[Done] != len(j.Tasks) || !ready(j) {
			continue
		}
		gang := hoist.WaitingGang{Job: j.Spec.ID, Since: j.Accepted}
		if oldest.Job == "" || IsBefore(gang, oldest) {
			oldest = gang
		}
	}
	return oldest
}

// IsBefore reports whether x has waited longer than y. Ties are broken by job id.
func IsBefore(x, y hoist.WaitingGang) bool {
	return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Job, y.Job)) < 0
}

// MoveOffLeaving moves the replicas of services away from leaving workers. It adds one
// replica for each one on such a worker, and once enough replicas run elsewhere
// it retires those on the leaving workers.
func (tr *Tracker) MoveOffLeaving(isLeaving func(hoist.WorkerID) bool, now time.Time) {
	for _, j := range tr.active {
		if j.Spec.Kind == hoist.ServiceJob && !j.IsCancelled && j.Version > 0 {
			tr.replace(j, isLeaving, now)
		}
	}
}

func (tr *Tracker) replace(j *Job, isLeaving func(hoist.WorkerID) bool, now time.Time) {
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
		if _, ok := tr.tasks[taskID(j, no)]; !ok {
			staying = append(staying, tr.addTask(j, no))
		}
	}
	for _, t := range leaving {
		if running >= j.Spec.Tasks {
			tr.retire(t, now)
		}
	}
	tr.retireSurplus(staying, len(staying)-j.Spec.Tasks, now)
}

// retireSurplus retires n replicas above the declared number. A surplus arises
// when a leaving worker becomes available again. Waiting replicas are retired
// before running ones.
func (tr *Tracker) retireSurplus(staying []*Task, n int, now time.Time) {
	for _, phase := range []Phase{Waiting, Running} {
		for _, t := range slices.Backward(staying) {
			if n > 0 && t.Phase == phase && !t.isRetired {
				tr.retire(t, now)
				n--
			}
		}
	}
}

// retire stops a replica permanently: it does not wait for another start.
func (tr *Tracker) retire(t *Task, now time.Time) {
	t.isRetired = true
	if t.Phase == Waiting {
		tr.toWaiting(t, now)
		return
	}
	tr.stop(t, now)
}
