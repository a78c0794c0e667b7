package sched

import (
	"errors"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// current returns the task of an attempt that is placed on a worker.
func (b *Scheduler) current(id hoist.WorkerID, run hoist.TaskRun) (*Task, bool) {
	if t, ok := b.superseded[run]; ok && t.Worker.entry.Worker == id {
		return t, true
	}
	t, ok := b.task(run.Task)
	if !ok || !t.IsPlaced() || t.Worker == nil || t.Worker.entry.Worker != id || t.Attempt != run.Attempt {
		return nil, false
	}
	return t, true
}

// RecordStart notes the outcome of a start. An attempt without an answer that a view
// has shown to run goes on. If the start is the first one of its plan, RecordStart
// returns the plan's queue, else an empty name.
func (b *Scheduler) RecordStart(id hoist.WorkerID, run hoist.TaskRun, err error, now time.Time) hoist.QueueName {
	t, ok := b.current(id, run)
	if !ok {
		return ""
	}
	j, w := t.Set.Job, t.Worker
	isSeen := t.Phase == Running && errors.Is(err, hoist.ErrOutcomeUnknown)
	switch {
	case err == nil || isSeen:
		if t.Phase == Sending {
			t.Phase = Running
			t.since = now
		}
		if j.Phase == hoist.PlanQueued {
			j.Phase = hoist.PlanRunning
			j.touch()
			return j.Plan.Queue.Name
		}
		return ""
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		b.drop(t, now)
		b.settleGang(t.Set, now)
		return ""
	case errors.Is(err, hoist.ErrTicket):
		delete(t.Set.advice.tickets, id)
	case errors.Is(err, hoist.ErrReplaced):
		w.isSeen = false
	case errors.Is(err, hoist.ErrInvalid):
		t.notBefore = now.Add(time.Second)
	default:
		w.health.refused(now)
	}
	b.release(t, now)
	b.settleGang(t.Set, now)
	return ""
}

// RecordStop notes the outcome of a stop.
func (b *Scheduler) RecordStop(id hoist.WorkerID, run hoist.TaskRun, err error, now time.Time) {
	t, ok := b.current(id, run)
	if !ok {
		return
	}
	t.stop.isBusy = false
	if err == nil {
		t.stop.answered = now
	}
}

// settleGang stops the other tasks of a gang of which one does not run.
func (b *Scheduler) settleGang(s *StepTasks, now time.Time) {
	if !s.Step.IsGang || s.IsDone() {
		return
	}
	isBroken := slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Phase == Waiting || t.Phase == Stopping })
	if !isBroken {
		return
	}
	for _, t := range s.Tasks {
		b.drop(t, now)
	}
}

// RecordReport takes over what a worker runs. asked is when the look was sent.
func (b *Scheduler) RecordReport(id hoist.WorkerID, v hoist.RunnerReport, asked, now time.Time) {
	w, ok := b.workers[id]
	if !ok {
		return
	}
	if w.isSeen && v.Incarnation != w.life {
		b.reborn(w, v.Running, now)
	}
	w.isSeen = true
	w.life = v.Incarnation
	if asked.After(w.viewed) {
		w.viewed = asked
	}
	for _, e := range v.Ends {
		if e.No > w.ends.taken {
			b.ended(w, e, now)
		}
	}
	seen := b.running(w, v.Running, asked, now)
	for t := range w.tasks {
		if !seen[t] && t.isGone(asked) {
			set := t.Set
			b.release(t, now)
			b.settleGang(set, now)
		}
	}
}

// isGone reports whether a task that a view of the worker lacks does not run:
// the view was asked for after the task had started or was stopped.
func (t *Task) isGone(asked time.Time) bool {
	switch t.Phase {
	case Running, Inherited:
		return asked.After(t.since)
	case Stopping:
		return !t.stop.answered.IsZero() && asked.After(t.stop.answered)
	default:
		return false
	}
}

// reborn notes that a worker has started again and runs nothing of before. A
// start on its way may still reach the new life, or have reached it.
func (b *Scheduler) reborn(w *Worker, views []hoist.RunStatus, now time.Time) {
	w.ends = endLog{}
	clear(w.strays)
	runs := make(map[hoist.TaskRun]bool, len(views))
	for _, v := range views {
		runs[v.Run] = true
	}
	for t := range w.tasks {
		if runs[t.Run()] {
			continue
		}
		switch t.Phase {
		case Running, Inherited:
			set := t.Set
			b.release(t, now)
			b.settleGang(set, now)
		case Stopping:
			t.stop = stopState{isBusy: t.stop.isBusy}
		default:
		}
	}
}

// running compares the attempts that run on a worker with the tasks placed
// there. It returns the tasks that were found.
func (b *Scheduler) running(w *Worker, views []hoist.RunStatus, asked, now time.Time) map[*Task]bool {
	seen := make(map[*Task]bool, len(views))
	strays := make(map[hoist.TaskRun]time.Time)
	for _, v := range views {
		t, ok := b.current(w.entry.Worker, v.Run)
		if !ok {
			if known, ok := b.task(v.Run.Task); !ok || asked.After(known.since) {
				strays[v.Run] = w.strays[v.Run]
			}
			continue
		}
		seen[t] = true
		t.figure = v.Measurement
		if v.Saved != "" {
			t.Saved = v.Saved
			t.Set.saved = v.Saved
		}
		if t.Phase == Inherited || t.Phase == Sending {
			t.Phase = Running
			t.since = now
		}
	}
	w.strays = strays
	return seen
}

// ended takes note of an end that a worker lists.
func (b *Scheduler) ended(w *Worker, e hoist.RunEnd, now time.Time) {
	w.ends.taken = e.No
	t, ok := b.task(e.Run.Task)
	if !ok {
		return
	}
	s, j := t.Set, t.Set.Job
	if current, ok := b.current(w.entry.Worker, e.Run); ok {
		if e.Saved != "" {
			t.Saved = e.Saved
			s.saved = e.Saved
		}
		if e.Kind == hoist.EndDone {
			b.noteRun(t, now)
		}
		b.release(current, now)
	}
	switch e.Kind {
	case hoist.EndDone:
		w.health.succeeded()
		b.succeeded(t, e.Run.Attempt, now)
	case hoist.EndFailed:
		b.failed(w, t, e.Run.Attempt, now)
	default:
	}
	b.settleGang(s, now)
	j.touch()
	w.ends.open = append(w.ends.open, openEnd{e.No, j, j.change})
}

// succeeded completes a task in an attempt, or its whole gang.
func (b *Scheduler) succeeded(t *Task, attempt hoist.AttemptNo, now time.Time) {
	if t.Set.Job.Phase.IsFinal() || t.Set.Step.IsLongRunning {
		return
	}
	if !t.Set.Step.IsGang {
		b.complete(t, attempt, now)
		return
	}
	for _, member := range t.Set.Tasks {
		b.complete(member, attempt, now)
	}
}

// failed counts a failed attempt; at the last allowed one the job fails.
func (b *Scheduler) failed(w *Worker, t *Task, attempt hoist.AttemptNo, now time.Time) {
	w.health.failed(t.Set.Job.Plan.ID, now)
	if slices.Contains(t.Failed, attempt) {
		return
	}
	t.Failed = append(t.Failed, attempt)
	t.failedOn = append(t.failedOn, w.entry.Worker)
	t.notBefore = now.Add(failurePause)
	j := t.Set.Job
	if t.Set.Step.IsLongRunning || j.Phase.IsFinal() || t.Phase == Done {
		return
	}
	if t.Set.failures(t) >= max(1, j.Plan.Queue.MaxAttempts) {
		b.finish(j, hoist.PlanFailed, now)
	}
}

// Tick brings the book up to date with the time: leases lapse, and occurrences
// become due.
func (b *Scheduler) Tick(now time.Time) {
	for _, w := range b.workers {
		if len(w.tasks) == 0 || now.Before(w.leaseEnd) {
			continue
		}
		b.releaseAll(w, now)
	}
	for _, j := range b.jobs {
		b.beginOccurrences(j, now)
	}
}

// IsNewEnd reports whether an end that a worker lists was not taken note of yet.
func (b *Scheduler) IsNewEnd(id hoist.WorkerID, no hoist.EndNo) bool {
	w, ok := b.workers[id]
	return ok && no > w.ends.taken
}
