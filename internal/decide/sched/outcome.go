package sched

import (
	"errors"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// placedTask returns the task whose current or superseded attempt is placed on
// the given worker.
func (sc *Scheduler) placedTask(id hoist.WorkerID, run hoist.TaskRun) (*Task, bool) {
	if t, ok := sc.superseded[run]; ok && t.Worker.entry.Worker == id {
		return t, true
	}
	t, ok := sc.task(run.Task)
	if !ok || !t.IsPlaced() || t.Worker == nil || t.Worker.entry.Worker != id || t.Attempt != run.Attempt {
		return nil, false
	}
	return t, true
}

// RecordStart records the outcome of a start. If the outcome is unknown but a
// report has already listed the attempt, the attempt continues. If this is the
// first start of its plan, RecordStart returns the plan's queue, else an empty
// name.
func (sc *Scheduler) RecordStart(id hoist.WorkerID, run hoist.TaskRun, err error, now time.Time) hoist.QueueName {
	t, ok := sc.placedTask(id, run)
	if !ok {
		return ""
	}
	j, w := t.StepTasks.Job, t.Worker
	sc.Handling = j.Plan.ID
	isConfirmed := t.Phase == Running && errors.Is(err, hoist.ErrOutcomeUnknown)
	switch {
	case err == nil || isConfirmed:
		t.isStartInDoubt = false
		if err == nil {
			t.recordRun(now)
		}
		t.setConfirmed(w.isOpen)
		t.setArriving(false)
		if t.Phase == Starting {
			t.Phase = Running
			sc.endReservation(t)
			t.phaseSince = now
		}
		if j.Phase == hoist.PlanQueued {
			j.Phase = hoist.PlanRunning
			j.markChanged()
			return j.Plan.Queue.Name
		}
		return ""
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		sc.endAttempt(t, now)
		sc.stopIncompleteGang(t.StepTasks, now)
		return ""
	case errors.Is(err, hoist.ErrTicket):
		delete(t.StepTasks.advice.tickets, id)
	case errors.Is(err, hoist.ErrStaleTerm):
		// The worker has answered a request of a later session before it got the start.
	case errors.Is(err, hoist.ErrReplaced):
		w.isConfirmed = false
	case errors.Is(err, hoist.ErrInvalid):
		t.notBefore = now.Add(time.Second)
	default:
		w.health.recordRefusal(now)
	}
	sc.requeue(t, now)
	sc.stopIncompleteGang(t.StepTasks, now)
	return ""
}

// RecordStop records the outcome of a stop. The first answer counts: the worker refuses
// the attempt from then on.
func (sc *Scheduler) RecordStop(id hoist.WorkerID, run hoist.TaskRun, err error, now time.Time) {
	if w, ok := sc.workers[id]; ok {
		w.doubts.recordStop(run, err == nil || errors.Is(err, hoist.ErrReplaced))
	}
	t, ok := sc.placedTask(id, run)
	if !ok {
		return
	}
	isStale := t.stop.isStale
	t.stop.isInFlight, t.stop.isStale = false, false
	if err == nil && !isStale && t.stop.answeredAt.IsZero() {
		t.stop.answeredAt = now
	}
}

// stopIncompleteGang stops all tasks of a gang if any of them does not run or
// is being stopped.
func (sc *Scheduler) stopIncompleteGang(s *StepTasks, now time.Time) {
	if !s.Step.IsGang || s.IsDone() {
		return
	}
	isIncomplete := slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Phase == Waiting || t.Phase == Stopping })
	if !isIncomplete {
		return
	}
	for _, t := range s.Tasks {
		sc.endAttempt(t, now)
	}
}

// RecordReport records what a worker runs and which attempts have ended there, as it answered
// to a poll. It reports false, and records nothing, if the worker is
// unknown, the report is a late one of an earlier incarnation, or it names no incarnation
// although the worker has named one.
func (sc *Scheduler) RecordReport(id hoist.WorkerID, report hoist.RunnerReport, poll Poll, now time.Time) bool {
	w, ok := sc.workers[id]
	if !ok {
		return false
	}
	polledAt := poll.SentAt
	absence, ok := sc.recordIncarnation(w, report.Incarnation, polledAt, now)
	if !ok {
		return false
	}
	w.isConfirmed = true
	if sc.isFirstAnswer(w, poll) || sc.endsStrayLeases(w, poll) {
		sc.beginSession(w, now)
	}
	w.reading = clockReading{report.Clock, now}
	if polledAt.After(w.lastPolledAt) {
		w.lastPolledAt, w.listedEnds = polledAt, len(report.Ends)
	}
	for _, e := range report.Ends {
		if e.No > w.ends.lastProcessed {
			sc.recordEnd(w, e, now)
		}
	}
	found := sc.reconcile(w, report.Running, polledAt, now)
	if len(report.Ends) < sc.MaxReportedEnds {
		sc.recordAbsences(w, found, absence, polledAt, now)
	}
	// Otherwise attempts that the report leaves out may be among the ends that it leaves out.
	return true
}

// recordIncarnation records which incarnation of a worker has reported, and returns what the
// absence of an attempt means in the report. It reports false if the report does not count.
func (sc *Scheduler) recordIncarnation(w *Worker, reported hoist.Incarnation, polledAt, now time.Time) (EndReason, bool) {
	isFirst := w.incarnationPolledAt.IsZero()
	if reported == w.incarnation && !isFirst {
		return NotReported, true
	}
	if reported == 0 && w.incarnation != 0 || polledAt.Before(w.incarnationPolledAt) {
		return "", false
	}
	earlier := w.incarnation
	w.incarnation, w.incarnationPolledAt = reported, polledAt
	if isFirst {
		isKnown := reported != 0 && reported == w.recordedIncarnation
		if isKnown {
			sc.lowerLease(w, now)
		} else if now.Before(w.unconfirmedUntil) {
			// The worker may hold a lease of an earlier owner on the clock of another incarnation.
			sc.countLongestLease(w, now)
		}
		return NotReported, true
	}
	sc.recordRestart(w, now)
	sc.addRestart(w, NewIncarnation, earlier, reported, now)
	return WorkerRestarted, true
}

// recordAbsences handles the attempts on a worker that a complete report does not list.
func (sc *Scheduler) recordAbsences(w *Worker, found map[*Task]bool, absence EndReason, polledAt, now time.Time) {
	for t := range w.tasks {
		switch {
		case found[t] || !t.isAbsenceConclusive(polledAt):
		case t.Phase == Running && absence == NotReported:
			sc.stopMissing(t, now)
		default:
			sc.presumeEnded(t, absence, now)
		}
	}
}

// isAbsenceConclusive reports whether a report that does not list the task was made up
// after its start, or after its stop was answered.
func (t *Task) isAbsenceConclusive(polledAt time.Time) bool {
	switch t.Phase {
	case Running, Recovered:
		return polledAt.After(t.phaseSince)
	case Stopping:
		return !t.stop.answeredAt.IsZero() && polledAt.After(t.stop.answeredAt)
	default:
		return false
	}
}

// recordRestart handles a new incarnation of a worker. The report that showed it need
// not list what was started in the new incarnation after its poll was sent, so the rules
// for absent attempts apply as to any other report. A start that is in flight may still
// reach the new incarnation, so attempts must be stopped there again. The new incarnation
// may have received a lease on the clock of the earlier one, which is then as long as
// leases can be, and may receive another one until it has answered a poll of the next session.
func (sc *Scheduler) recordRestart(w *Worker, now time.Time) {
	if w.isSessionUsed {
		sc.suspectStrayLease(w, now)
	} else {
		w.restartShownAt, w.mayHoldStrayLease = now, true
		sc.countLongestLease(w, now)
	}
	w.ends = endLog{}
	sc.setOrphans(w, nil)
	w.doubts.revive()
	for t := range w.tasks {
		if t.Phase == Stopping {
			t.stop = t.stop.afterRestart()
		}
	}
}

// reconcile compares the attempts that a worker reports with the tasks placed
// there and returns the tasks that were found. Attempts without a task become
// orphans, which are stopped.
func (sc *Scheduler) reconcile(w *Worker, statuses []hoist.RunStatus, polledAt, now time.Time) map[*Task]bool {
	found := make(map[*Task]bool, len(statuses))
	var orphans map[hoist.TaskRun]time.Time
	for _, status := range statuses {
		t, ok := sc.placedTask(w.entry.Worker, status.Run)
		if !ok {
			if known, ok := sc.task(status.Run.Task); !ok || polledAt.After(known.phaseSince) {
				sc.recordLateRun(w, status.Run, known, now)
				if orphans == nil {
					orphans = make(map[hoist.TaskRun]time.Time)
				}
				orphans[status.Run] = w.orphans[status.Run]
			}
			continue
		}
		found[t] = true
		t.recordRun(polledAt)
		t.isStartInDoubt = false
		t.setConfirmed(w.isOpen || w.isInherited())
		t.setArriving(false)
		t.measurement = status.Measurement
		t.keepCheckpoint(status.Saved)
		if t.Phase == Recovered || t.Phase == Starting {
			t.Phase = Running
			t.phaseSince = now
			sc.endReservation(t)
		}
	}
	sc.setOrphans(w, orphans)
	return found
}

// hasOrphan reports whether an earlier attempt at a task may run on a worker that has listed it:
// a start that counted as without effect was carried out late. It is stopped first.
func (sc *Scheduler) hasOrphan(t *Task, now time.Time) bool {
	for _, w := range sc.orphaned {
		if !now.Before(w.leaseExpiresAt) {
			continue
		}
		for run := range w.orphans {
			if run.Task == t.Ref() {
				return true
			}
		}
	}
	return false
}

// hasOrphanOf reports the same of the tasks of a step.
func (sc *Scheduler) hasOrphanOf(s *StepTasks, now time.Time) bool {
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return sc.hasOrphan(t, now) })
}

// setOrphans sets the attempts that run on a worker without a task that expects them.
func (sc *Scheduler) setOrphans(w *Worker, orphans map[hoist.TaskRun]time.Time) {
	w.orphans = orphans
	sc.chargeOrphans(w)
	if len(orphans) > 0 {
		sc.orphaned[w.entry.Worker] = w
	} else {
		delete(sc.orphaned, w.entry.Worker)
	}
}

// recordEnd records an end that a worker lists.
func (sc *Scheduler) recordEnd(w *Worker, e hoist.RunEnd, now time.Time) {
	w.ends.lastProcessed = e.No
	sc.Handling = e.Run.Task.Job
	t, ok := sc.task(e.Run.Task)
	sc.recordLateEnd(w, e, t, now)
	placedTask, isPlaced := sc.placedTask(w.entry.Worker, e.Run)
	if !ok {
		if isPlaced {
			// The attempt was superseded, and the occurrence of its task has ended since.
			sc.requeue(placedTask, now)
		}
		if j, ok := sc.jobs[e.Run.Task.Job]; ok {
			// What ended the occurrence may not be recorded yet.
			w.ends.unrecorded = append(w.ends.unrecorded, unrecordedEnd{e.No, j, j.change})
		}
		return
	}
	s, j := t.StepTasks, t.StepTasks.Job
	if isPlaced {
		t.keepCheckpoint(e.Saved)
		if e.Kind == hoist.EndDone {
			sc.recordRunTime(t, now)
		}
		sc.requeue(placedTask, now)
	}
	switch e.Kind {
	case hoist.EndDone:
		w.health.recordSuccess()
		sc.recordSuccess(t, e.Run.Attempt, now)
	case hoist.EndFailed:
		sc.recordFailure(w, t, e.Run.Attempt, now)
	default:
	}
	sc.stopIncompleteGang(s, now)
	j.markChanged()
	w.ends.unrecorded = append(w.ends.unrecorded, unrecordedEnd{e.No, j, j.change})
}

// recordSuccess completes a task, or all tasks of its gang.
func (sc *Scheduler) recordSuccess(t *Task, attempt hoist.AttemptNo, now time.Time) {
	if t.StepTasks.Job.Phase.IsFinal() || t.StepTasks.Step.IsLongRunning {
		return
	}
	if !t.StepTasks.Step.IsGang {
		sc.complete(t, attempt, now)
		return
	}
	for _, member := range t.StepTasks.Tasks {
		sc.complete(member, attempt, now)
	}
}

// recordFailure counts a failed attempt. The job fails once the queue allows
// no more.
func (sc *Scheduler) recordFailure(w *Worker, t *Task, attempt hoist.AttemptNo, now time.Time) {
	if !t.isDespiteBackoff {
		// Otherwise a long-running task that fails all the time would prolong the backoff.
		w.health.recordFailure(t.StepTasks.Job.Plan.ID, now)
	}
	if t.isFailureKnown(attempt) {
		return
	}
	t.addFailedWorker(w.entry.Worker)
	t.notBefore = now.Add(failureRetryDelay)
	if t.StepTasks.Step.IsLongRunning {
		// Nothing bounds such failures, so they must not accumulate.
		return
	}
	t.addFailed(attempt)
	t.foldFailures()
	j := t.StepTasks.Job
	if j.Phase.IsFinal() || t.Phase == Done {
		return
	}
	if t.StepTasks.failedAttempts(t) >= max(1, j.Plan.Queue.MaxAttempts) {
		sc.finish(j, hoist.PlanFailed, now)
	}
}

// Tick applies the passing of time: expired leases end what runs under them,
// and occurrences that are due begin.
func (sc *Scheduler) Tick(now time.Time) {
	if now.Sub(sc.leasesCheckedAt) >= leaseCheckInterval {
		sc.leasesCheckedAt = now
		sc.expireLeases(now)
		sc.expireDoubts(now)
	}
	sc.removeWithdrawn()
	sc.beginDue(now)
}

// leaseCheckInterval is the shortest time between two checks of all leases.
const leaseCheckInterval = 25 * time.Millisecond

// expireLeases ends what runs under leases that have expired.
func (sc *Scheduler) expireLeases(now time.Time) {
	for _, w := range sc.workers {
		if !w.isOccupied() || now.Before(w.leaseExpiresAt) {
			continue
		}
		w.refundOrphans()
		if !w.isListed {
			// No report will tell that the orphans have ended.
			sc.setOrphans(w, nil)
		}
		if len(w.tasks) > 0 {
			sc.releaseAll(w, now)
		}
	}
}

// IsNewEnd reports whether an end that a worker lists has not been recorded by
// RecordReport yet.
func (sc *Scheduler) IsNewEnd(id hoist.WorkerID, no hoist.EndNo) bool {
	w, ok := sc.workers[id]
	return ok && no > w.ends.lastProcessed
}
