package sched

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// stopRetryDelay is the minimum time between two stops of the same attempt.
	stopRetryDelay = 400 * time.Millisecond
	// failureRetryDelay is how long a task waits after a failure.
	failureRetryDelay = 50 * time.Millisecond
	// otherWorkerWait is how long a task waits for a worker that it has not
	// failed on.
	otherWorkerWait = time.Second
	// prefetchMargin is added to the expected answer time to decide how long
	// before the expected end of a step advice about the next step is requested.
	prefetchMargin = 100 * time.Millisecond
	// minReportedShare is the share of the listed workers that must have
	// reported to a new owner before it places anything.
	minReportedShare = 0.9
	// maxReportWait is how long a new owner waits for these reports at most.
	maxReportWait = 400 * time.Millisecond
)

// Stop asks for an attempt to be stopped on a worker.
type Stop struct {
	Worker hoist.WorkerID
	Run    hoist.TaskRun
}

// Decisions holds the requests for advice and the stops that a pass found to
// be due. The chosen starts are in the states of the jobs, which must be
// recorded before the starts are sent.
type Decisions struct {
	AdviceRequests []AdviceRequest
	Stops          []Stop
}

// Reserve finds a host that is free to send a request for advice and reserves
// the given answer time on it. It reports false if no host is free.
type Reserve func(need time.Duration, now time.Time) (hoist.HostID, bool)

// Pass chooses workers for the waiting tasks. Requests for advice that no host
// is free to send are left to a later pass.
func (sc *Scheduler) Pass(now time.Time, reserve Reserve) Decisions {
	var d Decisions
	d.Stops = sc.dueStops(now)
	if !sc.hasEnoughReports(now) {
		return d
	}
	sc.findUsableWorkers(now)
	reserve = sc.limitReserve(reserve)
	within, beyond := sc.inOrder(now, (*Job).hasWaiting)
	d.AdviceRequests = sc.placeReruns(within, reserve, now)
	d.AdviceRequests = append(d.AdviceRequests, sc.overdueRequests(within, reserve, now)...)
	for j := range sc.inFairOrder(within, beyond) {
		sc.Handling = j.Plan.ID
		for _, s := range j.readySteps() {
			if !sc.fitsQuota(s) {
				sc.reserveQuota(j)
				continue
			}
			sc.placeTasks(s, now)
			sc.usesBackedOff = len(sc.backedOff) > 0 && s.mayIgnoreBackoff(now)
			if sc.usesBackedOff {
				sc.placeTasks(s, now)
			}
			if s.waiting > 0 && j.Plan.Queue.Advice.IsUsed() {
				if adviceRequest, ok := sc.adviceRequest(s, false, reserve, now); ok {
					d.AdviceRequests = append(d.AdviceRequests, adviceRequest)
				}
			}
			sc.usesBackedOff = false
		}
		d.AdviceRequests = append(d.AdviceRequests, sc.prefetchAdvice(j, reserve, now)...)
	}
	return d
}

// hasEnoughReports reports whether most workers have reported to a new owner,
// or the wait for the others is over. Placing tasks earlier would crowd them
// on the few workers that answered first, and requests for advice would name
// no others.
func (sc *Scheduler) hasEnoughReports(now time.Time) bool {
	if sc.isPlacementEnabled {
		return true
	}
	listed, reported := 0, 0
	for _, w := range sc.workers {
		if w.isListed {
			listed++
		}
		if w.isListed && w.isConfirmed {
			reported++
		}
	}
	haveMostReported := listed > 0 && float64(reported) >= minReportedShare*float64(listed)
	sc.isPlacementEnabled = haveMostReported || (!sc.registryReadAt.IsZero() && now.Sub(sc.registryReadAt) >= maxReportWait)
	return sc.isPlacementEnabled
}

// findUsableWorkers lists the workers that may take tasks in this pass, and those that may
// not because they are backed off. It computes the most of each resource that any of the
// former has free.
func (sc *Scheduler) findUsableWorkers(now time.Time) {
	sc.usable, sc.backedOff, sc.maxFree = sc.usable[:0], sc.backedOff[:0], hoist.Resources{}
	sc.passNo++
	sc.passAt = now
	for _, w := range sc.workers {
		if !w.isReady(now) {
			continue
		}
		if w.isBackedOff(now) {
			sc.backedOff = append(sc.backedOff, w)
			w.backedOffInPass = sc.passNo
			continue
		}
		sc.usable = append(sc.usable, w)
		w.usableInPass = sc.passNo
		free := w.free()
		sc.maxFree.CPU = max(sc.maxFree.CPU, free.CPU)
		sc.maxFree.Memory = max(sc.maxFree.Memory, free.Memory)
		sc.maxFree.Accel = max(sc.maxFree.Accel, free.Accel)
	}
}

// isUsableNow reports whether a worker may take tasks of the present step in this pass.
func (sc *Scheduler) isUsableNow(w *Worker) bool {
	return w.usableInPass == sc.passNo || sc.usesBackedOff && w.backedOffInPass == sc.passNo
}

// maxBackoffWait is how long a long-running task waits for a worker that is not backed off: the
// longest backoff is longer than the task may stay without a run.
const maxBackoffWait = time.Second

// mayIgnoreBackoff reports whether the task is long-running and has waited for maxBackoffWait, so
// that it may also start on a worker that is backed off.
func (t *Task) mayIgnoreBackoff(now time.Time) bool {
	s := t.StepTasks
	return s.Step.IsLongRunning && t.Phase == Waiting && now.Sub(latest(t.phaseSince, s.Job.Plan.Accepted)) >= maxBackoffWait
}

// mayIgnoreBackoff reports the same of any task of a step.
func (s *StepTasks) mayIgnoreBackoff(now time.Time) bool {
	return s.Step.IsLongRunning && slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.mayIgnoreBackoff(now) })
}

// limitReserve wraps reserve for one pass: once no host was free for a
// request, requests that take as long or longer are refused without asking
// again.
func (sc *Scheduler) limitReserve(reserve Reserve) Reserve {
	sc.shortestRefused = maxDuration
	return func(need time.Duration, now time.Time) (hoist.HostID, bool) {
		if need >= sc.shortestRefused {
			return "", false
		}
		host, ok := reserve(need, now)
		if !ok {
			sc.shortestRefused = need
		}
		return host, ok
	}
}

// maxDuration is longer than any answer takes.
const maxDuration = time.Duration(1<<63 - 1)

// hasWaiting reports whether any task of the job waits, of steps that are not ready
// included.
func (j *Job) hasWaiting() bool {
	for _, s := range j.steps {
		if s.waiting > 0 {
			return true
		}
	}
	return false
}

// inOrder returns the jobs that are not in a final phase and fulfil a condition, in
// scheduling order: those within the rate of their team, and then those beyond it. Those
// within are sorted by priority, then jobs that can meet their objective before late ones,
// then by the time of the objective.
func (sc *Scheduler) inOrder(now time.Time, condition func(*Job) bool) (within, beyond []*Job) {
	sc.settleRates(now)
	for _, j := range sc.jobs {
		if j.Phase.IsFinal() || !condition(j) {
			continue
		}
		j.awaitsLongRunning = j.hasWaitingLongRunning(now)
		if j.rate != nil && j.rate.IsBeyond {
			beyond = append(beyond, j)
		} else {
			within = append(within, j)
		}
	}
	compare := func(x, y *Job) int {
		return cmp.Or(
			-cmp.Compare(x.Plan.Queue.Priority, y.Plan.Queue.Priority),
			cmp.Compare(x.lateness(now), y.lateness(now)),
			x.due.Compare(y.due),
			cmp.Compare(x.Plan.ID, y.Plan.ID),
		)
	}
	slices.SortFunc(within, compare)
	sortByExcess(beyond, now, compare)
	return within, beyond
}

// hasWaitingLongRunning reports whether a long-running task of the job waits that has not failed just now.
// It has to run within seconds, and is of use however long after its objective. One that fails
// all the time does not go before other jobs.
func (j *Job) hasWaitingLongRunning(now time.Time) bool {
	if !j.hasLongRunning {
		return false
	}
	for _, s := range j.steps {
		if !s.Step.IsLongRunning || s.waiting == 0 {
			continue
		}
		if slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Phase == Waiting && now.Sub(t.notBefore) >= maxBackoffWait }) {
			return true
		}
	}
	return false
}

// lateness returns 0 before the objective of the job and while it awaits a long-running task,
// 1 while it is late, and 2 when it is so late that finishing it is of no more use.
func (j *Job) lateness(now time.Time) int {
	switch {
	case j.awaitsLongRunning || now.Before(j.due):
		return 0
	case now.Before(j.deprioritiseAt):
		return 1
	default:
		return 2
	}
}

// readySteps returns the steps that have waiting tasks and whose earlier steps
// are done.
func (j *Job) readySteps() []*StepTasks {
	var out []*StepTasks
	for _, s := range j.steps {
		if s.waiting > 0 && j.isReady(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y *StepTasks) int {
		return cmp.Or(cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.No, y.No))
	})
	return out
}

// isReady reports whether all earlier steps are done.
func (j *Job) isReady(s *StepTasks) bool {
	for _, earlier := range s.Step.After {
		if !j.steps[stepKey{s.Occurrence, earlier}].IsDone() {
			return false
		}
	}
	return true
}

// prefetchAdvice requests advice about steps whose earlier steps are expected
// to end soon.
func (sc *Scheduler) prefetchAdvice(j *Job, reserve Reserve, now time.Time) []AdviceRequest {
	adviser := j.Plan.Queue.Advice
	if !adviser.IsUsed() || len(j.Plan.Steps) == 1 {
		return nil
	}
	var out []AdviceRequest
	for _, s := range j.steps {
		if s.waiting == 0 || len(s.advice.isGood) > 0 || j.isReady(s) {
			continue
		}
		leadTime := adviceTime(adviser) + prefetchMargin
		if sc.remainingTime(j, s, now) > leadTime {
			continue
		}
		if adviceRequest, ok := sc.adviceRequest(s, true, reserve, now); ok {
			out = append(out, adviceRequest)
		}
	}
	return out
}

// remainingTime estimates the time until the earlier steps are done.
func (sc *Scheduler) remainingTime(j *Job, s *StepTasks, now time.Time) time.Duration {
	var longest time.Duration
	for _, no := range s.Step.After {
		earlier := j.steps[stepKey{s.Occurrence, no}]
		if earlier.IsDone() {
			continue
		}
		if earlier.waiting > 0 || !j.isReady(earlier) {
			return time.Hour
		}
		for _, t := range earlier.Tasks {
			if t.IsPlaced() && t.Worker != nil {
				longest = max(longest, sc.expectedRunTime(earlier, t.Worker)-now.Sub(t.phaseSince))
			}
		}
	}
	return longest
}

// dueStops returns the stops to send now, for tasks that must be stopped, for
// orphans, and for starts that may still arrive.
func (sc *Scheduler) dueStops(now time.Time) []Stop {
	var out []Stop
	for t := range sc.stopping {
		if t.stop.isInFlight || now.Sub(t.stop.sentAt) < stopRetryDelay {
			continue
		}
		t.stop.sentAt = now
		t.stop.isInFlight = true
		out = append(out, Stop{t.Worker.entry.Worker, t.Run()})
	}
	// The next report tells whether the orphans have ended.
	for id, w := range sc.orphaned {
		for run, sentAt := range w.orphans {
			if now.Sub(sentAt) >= stopRetryDelay {
				w.orphans[run] = now
				out = append(out, Stop{id, run})
			}
		}
	}
	out = append(out, sc.doubtStops(now)...)
	slices.SortFunc(out, func(x, y Stop) int {
		return cmp.Or(cmp.Compare(x.Worker, y.Worker), compareRuns(x.Run, y.Run))
	})
	return out
}

// compareRuns orders attempts by task.
func compareRuns(x, y hoist.TaskRun) int {
	a, b := x.Task, y.Task
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(x.Attempt, y.Attempt),
	)
}

// Start is a recorded start that may be sent.
type Start struct {
	Worker  hoist.WorkerID
	Run     hoist.TaskRun
	Token   hoist.FencingToken
	Payload string
	Saved   hoist.Checkpoint
	Ticket  hoist.Ticket
}

// MarkRecorded marks the state of a job up to the given change as written to the
// store, in a row of the given version. It returns the starts that may be sent
// now.
func (sc *Scheduler) MarkRecorded(id hoist.JobID, change uint64, version hoist.RowVersion, now time.Time) []Start {
	j, ok := sc.jobs[id]
	if !ok {
		return nil
	}
	sc.Handling = id
	j.Version = version
	j.recordedChange = max(j.recordedChange, change)
	if j.recordedChange == j.change {
		delete(j.changed, id)
	} else if j.changed[id] != nil {
		j.takeTurn()
	}
	var out []Start
	for _, s := range j.sortedSteps() {
		for _, t := range s.Tasks {
			if t.Phase != Recording || t.change > j.recordedChange {
				continue
			}
			if start, ok := sc.prepareStart(t, now); ok {
				out = append(out, start)
			}
		}
	}
	return out
}

// maySendStart reports whether a start may be sent now that it is recorded: its worker may have
// left or restarted meanwhile, and its ticket may have expired.
func (sc *Scheduler) maySendStart(t *Task, now time.Time) bool {
	w := t.Worker
	switch {
	case w.entry.IsLeaving || !w.isListed || !w.isConfirmed:
		return false
	case !w.isOpen || w.awaitsReport || w.isDoubted():
		return false
	case t.StepTasks.Step.IsLongRunning && w.mayHoldLongLease(now):
		return false
	case t.ticket.value != "" && !now.Before(t.ticket.validUntil):
		return false
	default:
		return !sc.hasOrphan(t, now) && t.mayBeSent()
	}
}

// prepareStart returns the start of a recorded task, unless the worker or the
// ticket may no longer be used. In that case the task waits again.
func (sc *Scheduler) prepareStart(t *Task, now time.Time) (Start, bool) {
	w := t.Worker
	if !sc.maySendStart(t, now) {
		step := t.StepTasks
		sc.requeue(t, now)
		sc.stopIncompleteGang(step, now)
		return Start{}, false
	}
	t.Phase = Starting
	t.phaseSince = now
	t.isStartInDoubt = true
	w.isSessionUsed = true
	return Start{
		Worker: w.entry.Worker, Run: t.Run(), Token: sc.tokenOf(w.session), Payload: t.StepTasks.Job.Plan.Payload, Saved: t.Saved, Ticket: t.ticket.value,
	}, true
}
