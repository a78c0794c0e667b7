package jobs

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// GangStartWindow is the longest time for which an all-at-once job may run
	// in part. It covers the takeover of a job's owner (5 s), the wait for a
	// worker that cannot be looked at (12.1 s), and the stops.
	GangStartWindow = 20 * time.Second
	// gangPatience is how long the starts of a gang may take before those that
	// succeeded are stopped again.
	gangPatience = 5 * time.Second
	// failBackoff is the wait after the first failure of a task; it doubles
	// with each further one up to maxBackoff.
	failBackoff = time.Second
	maxBackoff  = time.Minute
	// GangTrialTime is how long a task of a gang runs without the word that all
	// of them run. The owner of a job that cannot reach the owner of a worker
	// cannot stop its tasks; they are stopped after this time.
	GangTrialTime = GangStartWindow - 5*time.Second
)

// NewAttempt returns the number of a further attempt at a task of the job. It
// is higher than those of all earlier owners of the job.
func (j *Job) NewAttempt() hoist.AttemptNo {
	j.lastAttempt = max(j.lastAttempt, hoist.AttemptNo(j.term)<<attemptBits) + 1
	return j.lastAttempt
}

// MayBegin reports whether a task may be started now.
func (b *Tracker) MayBegin(t *Task) bool {
	return t.Phase == Waiting && !t.Job.IsCancelled && !t.isRetired && b.tasks[t.ID] == t
}

// Begin records that a start of a task that may begin is being sent to a
// worker.
func (b *Tracker) Begin(t *Task, worker hoist.WorkerID, attempt hoist.AttemptNo, now time.Time) {
	j := t.Job
	t.Attempt = attempt
	b.setPhase(t, Starting, now)
	b.put(t, worker)
	b.setOpen(t, true)
	if j.firstStart.IsZero() {
		j.firstStart = now
	}
	if j.gangSince.IsZero() {
		j.gangSince = now
	}
}

// Confirm records that the start of an attempt succeeded.
func (b *Tracker) Confirm(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	t, ok := b.current(id, attempt)
	if !ok {
		return
	}
	b.setOpen(t, false)
	if t.Phase == Starting {
		b.setPhase(t, Running, now)
	}
}

// NotStarted records that an attempt was certainly not started and never will
// be.
func (b *Tracker) NotStarted(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if t, ok := b.current(id, attempt); ok {
		b.toWaiting(t, now)
		b.settleGang(t.Job, now)
	}
}

// current returns the task if the attempt is its latest and is placed.
func (b *Tracker) current(id hoist.TaskID, attempt hoist.AttemptNo) (*Task, bool) {
	t, ok := b.tasks[id]
	if !ok || !t.IsPlaced() || t.Attempt != attempt {
		return nil, false
	}
	return t, true
}

// toWaiting makes a placed task wait, or drops a replica that is retired.
func (b *Tracker) toWaiting(t *Task, now time.Time) {
	b.setPhase(t, Waiting, now)
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
	b.forget(t)
}

// Adopt records a task that a worker was found to run, for a new owner of the
// job. It returns false for one that must be stopped: its job is unknown, or
// the task is done or placed elsewhere.
func (b *Tracker) Adopt(w hoist.WorkerTask, now time.Time) bool {
	j, ok := b.jobs[w.Status.Job]
	if !ok {
		return false
	}
	t, ok := b.tasks[w.Status.Task]
	if !ok {
		no, isOurs := j.taskNo(w.Status.Task)
		if !isOurs || j.Spec.Kind != hoist.ServiceJob {
			return false
		}
		// An earlier owner started a replacement under a higher number.
		t = b.addTask(j, no)
	}
	if t.Phase != Waiting {
		return t.IsPlaced() && t.Worker == w.Worker && t.Attempt == w.Status.Attempt
	}
	t.Attempt = w.Status.Attempt
	j.lastAttempt = max(j.lastAttempt, t.Attempt)
	b.setPhase(t, Running, now)
	b.put(t, w.Worker)
	if !w.Status.Started.IsZero() {
		t.Since = w.Status.Started
	}
	if j.firstStart.IsZero() {
		j.firstStart = t.Since
	}
	if j.IsCancelled {
		b.setPhase(t, Stopping, now)
	}
	return true
}

// Ended records the end of a task's attempt. It returns the job if the end
// changed what the table must record.
func (b *Tracker) Ended(e hoist.WorkerTask, now time.Time) *Job {
	t, ok := b.current(e.Status.Task, e.Status.Attempt)
	if !ok || t.Worker != e.Worker {
		return nil
	}
	return b.end(t, e.Status.State, now)
}

func (b *Tracker) end(t *Task, state hoist.TaskState, now time.Time) *Job {
	j := t.Job
	if state == hoist.TaskSucceeded && j.Spec.Kind != hoist.ServiceJob {
		b.setPhase(t, Done, now)
		b.finish(j, now)
		return j
	}
	if state != hoist.TaskStopped {
		t.NotBefore = now.Add(min(failBackoff<<min(t.failures, 6), maxBackoff))
		t.failures++
	}
	b.toWaiting(t, now)
	b.settleGang(j, now)
	if b.finish(j, now) {
		return j
	}
	return nil
}

// finish records the end of a job that is over.
func (b *Tracker) finish(j *Job, now time.Time) bool {
	if !j.IsEnded() || !j.Ended.IsZero() {
		return false
	}
	j.Ended = now
	delete(b.active, j.Spec.ID)
	return true
}

// MarkDone records a task as done on the word of the table or of a worker's
// list of ends.
func (b *Tracker) MarkDone(j *Job, no int, now time.Time) {
	if no < 0 || no >= len(j.Tasks) || j.Tasks[no].Phase == Done || j.Spec.Kind == hoist.ServiceJob {
		return
	}
	b.setPhase(j.Tasks[no], Done, now)
	b.finish(j, now)
}

// StopAll stops the tasks of a job.
func (b *Tracker) StopAll(j *Job, now time.Time) {
	for _, t := range j.Tasks {
		b.stop(t, now)
	}
	b.finish(j, now)
}

// StopUnresolved makes a task one that must be stopped, when its start was refused
// after an earlier try of it may have succeeded.
func (b *Tracker) StopUnresolved(id hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if t, ok := b.current(id, attempt); ok {
		b.stop(t, now)
	}
}

// stop makes a placed task one that must be stopped.
func (b *Tracker) stop(t *Task, now time.Time) {
	if t.Phase == Starting || t.Phase == Running {
		b.setPhase(t, Stopping, now)
	}
}

// ToStop returns the tasks that must be stopped.
func (b *Tracker) ToStop() []*Task {
	out := make([]*Task, 0, len(b.stopping))
	for _, t := range b.stopping {
		out = append(out, t)
	}
	return out
}

// Lost records that nothing runs on a worker any more of what was placed there
// before a time.
func (b *Tracker) Lost(worker hoist.WorkerID, before, now time.Time) []*Job {
	var changed []*Job
	for _, t := range b.OnWorker(worker) {
		if !t.Since.Before(before) {
			continue
		}
		if j := b.end(t, hoist.TaskStopped, now); j != nil {
			changed = append(changed, j)
		}
	}
	return changed
}

// settleGang stops the rest of a gang of which a task does not run.
func (b *Tracker) settleGang(j *Job, now time.Time) {
	if j.Spec.Kind != hoist.GangJob {
		return
	}
	if j.counts[Waiting]+j.counts[Stopping] > 0 {
		for _, t := range j.Tasks {
			b.stop(t, now)
		}
	}
	if j.counts[Starting]+j.counts[Stopping] == 0 {
		j.gangSince = time.Time{}
	}
}

// CheckRecovered checks a recovered job: a gang that runs in part is stopped.
func (b *Tracker) CheckRecovered(j *Job, now time.Time) {
	if j.counts[Running] > 0 {
		b.settleGang(j, now)
	}
	b.finish(j, now)
}
