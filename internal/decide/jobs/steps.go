package jobs

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// GangStartWindow is the longest time for which only some tasks of a gang may
	// run. It covers a takeover of the job by another owner (5 s), the wait for a
	// worker that cannot be polled (12.1 s), and the stops.
	GangStartWindow = 20 * time.Second
	// gangStartTimeout is how long the starts of a gang may take before the tasks
	// that did start are stopped again.
	gangStartTimeout = 5 * time.Second
	// initialBackoff is the delay of the next start after the first failure of a
	// task. It doubles with each further failure, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = time.Minute
	// UnconfirmedGangTimeout is how long a task of a gang may run before the owner
	// of its worker stops it, unless that owner has been told that all tasks of the
	// gang run. An owner of the job that cannot reach the owner of the worker could not
	// stop the task.
	UnconfirmedGangTimeout = GangStartWindow - 5*time.Second
)

// NewAttempt allocates the number of a further attempt at a task of the job. It
// is higher than all numbers allocated by earlier owners of the job.
func (j *Job) NewAttempt() hoist.AttemptNo {
	j.lastAttempt = max(j.lastAttempt, hoist.AttemptNo(j.term)<<attemptBits) + 1
	return j.lastAttempt
}

// MayBegin reports whether a task may be started: it waits, is not retired, and
// its job is not cancelled.
func (tr *Tracker) MayBegin(t *Task) bool {
	return t.Phase == Waiting && !t.Job.IsCancelled && !t.isRetired && tr.tasks[t.ID] == t
}

// Begin records that a start of the task is being sent to a worker. MayBegin must
// hold for the task.
func (tr *Tracker) Begin(t *Task, worker hoist.WorkerID, attempt hoist.AttemptNo, now time.Time) {
	j := t.Job
	t.Attempt = attempt
	tr.setPhase(t, Starting, now)
	tr.assign(t, worker)
	tr.setUnknownStart(t, true)
	if j.firstStart.IsZero() {
		j.firstStart = now
	}
	if j.gangStartedAt.IsZero() {
		j.gangStartedAt = now
	}
}

// RecordStart records that the start of an attempt succeeded. It has no effect on an
// attempt that is not the task's current one.
func (tr *Tracker) RecordStart(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	t, ok := tr.currentAttempt(id, attempt)
	if !ok {
		return
	}
	tr.setUnknownStart(t, false)
	if t.Phase == Starting {
		tr.setPhase(t, Running, now)
	}
}

// RecordNotStarted records that an attempt was certainly not started and never will
// be. The task waits again.
func (tr *Tracker) RecordNotStarted(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if t, ok := tr.currentAttempt(id, attempt); ok {
		tr.toWaiting(t, now)
		tr.stopPartialGang(t.Job, now)
	}
}

// currentAttempt returns the task if it is placed and the attempt is its latest
// one.
func (tr *Tracker) currentAttempt(id hoist.TaskID, attempt hoist.AttemptNo) (*Task, bool) {
	t, ok := tr.tasks[id]
	if !ok || !t.IsPlaced() || t.Attempt != attempt {
		return nil, false
	}
	return t, true
}

// toWaiting moves a task to Waiting, or removes it if it is a retired replica.
func (tr *Tracker) toWaiting(t *Task, now time.Time) {
	tr.setPhase(t, Waiting, now)
	if !t.isRetired {
		return
	}
	j := t.Job
	j.counts[Waiting]--
	for i, other := range j.Tasks {
		if other == t {
			j.Tasks = append(j.Tasks[:i], j.Tasks[i+1:]...)
			break
		}
	}
	tr.removeTask(t)
}

// Adopt records a task that a worker was found to run, after this host became the
// owner of its job. It returns false if the task must be stopped: its job is
// unknown, or the task is done or placed elsewhere.
func (tr *Tracker) Adopt(w hoist.WorkerTask, now time.Time) bool {
	j, ok := tr.jobs[w.Status.Job]
	if !ok {
		return false
	}
	t, ok := tr.tasks[w.Status.Task]
	if !ok {
		no, isOfJob := j.taskNo(w.Status.Task)
		if !isOfJob || j.Spec.Kind != hoist.ServiceJob {
			return false
		}
		// An earlier owner started a replacement replica with a higher number.
		t = tr.addTask(j, no)
	}
	if t.Phase != Waiting {
		return t.IsPlaced() && t.Worker == w.Worker && t.Attempt == w.Status.Attempt
	}
	t.Attempt = w.Status.Attempt
	j.lastAttempt = max(j.lastAttempt, t.Attempt)
	tr.setPhase(t, Running, now)
	tr.assign(t, w.Worker)
	if !w.Status.Started.IsZero() {
		t.Since = w.Status.Started
	}
	if j.firstStart.IsZero() {
		j.firstStart = t.Since
	}
	if j.IsCancelled {
		tr.setPhase(t, Stopping, now)
	}
	return true
}

// RecordEnd records the end of an attempt at a task. It returns the job if its row in
// the table must be updated, and nil otherwise.
func (tr *Tracker) RecordEnd(e hoist.WorkerTask, now time.Time) *Job {
	t, ok := tr.currentAttempt(e.Status.Task, e.Status.Attempt)
	if !ok || t.Worker != e.Worker {
		return nil
	}
	return tr.end(t, e.Status.State, now)
}

func (tr *Tracker) end(t *Task, state hoist.TaskState, now time.Time) *Job {
	j := t.Job
	if state == hoist.TaskSucceeded && j.Spec.Kind != hoist.ServiceJob {
		tr.setPhase(t, Done, now)
		tr.finishIfEnded(j, now)
		return j
	}
	if state != hoist.TaskStopped {
		t.NotBefore = now.Add(min(initialBackoff<<min(t.failures, 6), maxBackoff))
		t.failures++
	}
	tr.toWaiting(t, now)
	tr.stopPartialGang(j, now)
	if tr.finishIfEnded(j, now) {
		return j
	}
	return nil
}

// finishIfEnded records the end of a job that has ended. It reports whether the
// end was not recorded before.
func (tr *Tracker) finishIfEnded(j *Job, now time.Time) bool {
	if !j.HasEnded() || !j.Ended.IsZero() {
		return false
	}
	j.Ended = now
	delete(tr.active, j.Spec.ID)
	return true
}

// MarkDone records a task as done, as reported by the job's row in the table or
// by a worker's list of ended tasks.
func (tr *Tracker) MarkDone(j *Job, no int, now time.Time) {
	if no < 0 || no >= len(j.Tasks) || j.Tasks[no].Phase == Done || j.Spec.Kind == hoist.ServiceJob {
		return
	}
	tr.setPhase(j.Tasks[no], Done, now)
	tr.finishIfEnded(j, now)
}

// StopAll moves the starting and running tasks of a job to Stopping.
func (tr *Tracker) StopAll(j *Job, now time.Time) {
	for _, t := range j.Tasks {
		tr.stop(t, now)
	}
	tr.finishIfEnded(j, now)
}

// StopUnresolved moves a task to Stopping. It is for a start that was refused when
// it was repeated, as the first try of it may have succeeded.
func (tr *Tracker) StopUnresolved(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if t, ok := tr.currentAttempt(id, attempt); ok {
		tr.stop(t, now)
	}
}

// stop moves a starting or running task to Stopping.
func (tr *Tracker) stop(t *Task, now time.Time) {
	if t.Phase == Starting || t.Phase == Running {
		tr.setPhase(t, Stopping, now)
	}
}

// ToStop returns the tasks that must be stopped, in unspecified order.
func (tr *Tracker) ToStop() []*Task {
	out := make([]*Task, 0, len(tr.stopping))
	for _, t := range tr.stopping {
		out = append(out, t)
	}
	return out
}

// RecordWorkerLost records that none of the tasks placed on a worker before the given
// time run there any more. It returns the jobs whose rows must be updated.
func (tr *Tracker) RecordWorkerLost(worker hoist.WorkerID, before, now time.Time) []*Job {
	var changed []*Job
	for _, t := range tr.OnWorker(worker) {
		if !t.Since.Before(before) {
			continue
		}
		if j := tr.end(t, hoist.TaskStopped, now); j != nil {
			changed = append(changed, j)
		}
	}
	return changed
}

// stopPartialGang stops the other tasks of a gang when one of them waits or is
// being stopped. It resets gangStartedAt when no task of the gang is starting or
// stopping.
func (tr *Tracker) stopPartialGang(j *Job, now time.Time) {
	if j.Spec.Kind != hoist.GangJob {
		return
	}
	if j.counts[Waiting]+j.counts[Stopping] > 0 {
		for _, t := range j.Tasks {
			tr.stop(t, now)
		}
	}
	if j.counts[Starting]+j.counts[Stopping] == 0 {
		j.gangStartedAt = time.Time{}
	}
}

// CheckRecovered completes the recovery of a job: it stops a gang of which only
// some tasks run, and records the end of a job that has ended.
func (tr *Tracker) CheckRecovered(j *Job, now time.Time) {
	if j.counts[Running] > 0 {
		tr.stopPartialGang(j, now)
	}
	tr.finishIfEnded(j, now)
}
