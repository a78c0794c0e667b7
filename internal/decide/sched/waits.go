package sched

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// What a long-running task without a run waits for. Such a task never waits for a near
// placement, see mayWaitNear.
const (
	// WaitLease means that the task is placed on a worker that does not answer, until the
	// lease of the worker has expired.
	WaitLease hoist.WaitReason = "lease"
	// WaitStartInDoubt means that a start got no answer, until the attempt has certainly
	// ended.
	WaitStartInDoubt hoist.WaitReason = "start-in-doubt"
	// WaitStop means that an attempt is being stopped.
	WaitStop hoist.WaitReason = "stop"
	// WaitRecording means that the task has a worker, and its start is not recorded yet.
	WaitRecording hoist.WaitReason = "recording"
	// WaitReports means that this owner places nothing before most workers have reported.
	WaitReports hoist.WaitReason = "reports"
	// WaitQuota means that the quota of the team has no room or is reserved for another step,
	// or that the configuration of the teams is not known.
	WaitQuota hoist.WaitReason = "quota"
	// WaitFailureDelay means that the last attempt failed or was refused a moment ago.
	WaitFailureDelay hoist.WaitReason = "failure-delay"
	// WaitOrphan means that an earlier attempt may still run on a worker that has listed it.
	WaitOrphan hoist.WaitReason = "orphan"
	// WaitNoWorker means that no usable worker has the service and the label of the step.
	WaitNoWorker hoist.WaitReason = "no-worker"
	// WaitNoRoom means that no usable worker has room for the task, or all of them together
	// for its gang.
	WaitNoRoom hoist.WaitReason = "no-room"
	// WaitAdvice means that the adviser has not answered yet, or failed a moment ago.
	WaitAdvice hoist.WaitReason = "advice"
	// WaitAdviceHost means that no host was free to ask the adviser.
	WaitAdviceHost hoist.WaitReason = "advice-host"
	// WaitNotAllowed means that the adviser allows none of the workers with room.
	WaitNotAllowed hoist.WaitReason = "not-allowed"
	// WaitOtherWorker means that the task has failed on all workers with room and waits for
	// another one.
	WaitOtherWorker hoist.WaitReason = "other-worker"
	// WaitUnknown means that nothing of this keeps the task from starting: it waits for the
	// next pass, or the state of its plan has no room for another attempt.
	WaitUnknown hoist.WaitReason = "unknown"
)

// Wait describes a long-running task without a run.
type Wait struct {
	Task   hoist.TaskRef
	Reason hoist.WaitReason
	// Since is when the task was last known to run, this owner recovered it, or a call of
	// LongRunningWaits first found that it may start.
	Since time.Time
	// Until is when the wait for this reason ends at the latest, as far as known; it is zero
	// otherwise.
	Until time.Time
	// Worker is the worker that the task waits for, or on which it has reserved room. It is empty
	// if there is none.
	Worker hoist.WorkerID
	// AnsweredAt is when the last poll was sent that the worker has answered. It is zero if
	// the worker has answered none of this owner.
	AnsweredAt time.Time
	// Room tells which workers the last pass could use for the task. It is nil if the task
	// waits for its own worker, or for something else than a worker.
	Room *WaitRoom
}

// WaitRoom tells which workers a pass could use for a task that waits.
type WaitRoom struct {
	// Listed counts the workers of the service in the registry, Usable those of them that may
	// take tasks, and Allowed those of these that the adviser has allowed at some time. Without
	// an adviser, Allowed is Usable.
	Listed, Usable, Allowed int
	// MostFree is the capacity that is free on the allowed worker with the most free CPU.
	MostFree hoist.Resources
}

// recordRun records that the task ran at a time.
func (t *Task) recordRun(at time.Time) {
	t.ranAt = latest(t.ranAt, at)
}

// recoverWaits records that this owner has recovered the tasks of a step.
func (s *StepTasks) recoverWaits(now time.Time) {
	for _, t := range s.Tasks {
		t.ranAt = now
	}
}

// LongRunningWaits returns the long-running tasks that have been without a run for at least the
// threshold, those without a run for longest first. Tasks of jobs in a final phase and of steps
// that are not ready are left out. A task on a worker that answers polls counts as running, so
// the threshold must be longer than the time between two answers. It looks at all tasks; call it
// after a pass, as the reasons are those that kept that pass from starting them.
func (sc *Scheduler) LongRunningWaits(threshold time.Duration, now time.Time) []Wait {
	c := waitCheck{sc: sc, now: now, room: make(map[roomKey]hoist.WaitReason)}
	for _, j := range sc.jobs {
		if j.Phase.IsFinal() || !j.hasLongRunning {
			continue
		}
		sc.Handling = j.Plan.ID
		for _, s := range j.steps {
			if s.Step.IsLongRunning {
				c.addWaits(s, threshold)
			}
		}
	}
	slices.SortFunc(c.waits, func(x, y Wait) int {
		return cmp.Or(x.Since.Compare(y.Since), compareRuns(hoist.TaskRun{Task: x.Task}, hoist.TaskRun{Task: y.Task}))
	})
	return c.waits
}

// RanSince returns when a task was known to run again that was without a run since a time, and on
// which worker if it still has one. It reports false if it was not, or is not known any more.
func (sc *Scheduler) RanSince(ref hoist.TaskRef, since time.Time) (at time.Time, worker hoist.WorkerID, ok bool) {
	t, ok := sc.task(ref)
	if !ok || !t.ranAt.After(since) {
		return time.Time{}, "", false
	}
	at = t.ranAt
	if t.Worker != nil {
		worker = t.Worker.entry.Worker
	}
	if t.Phase == Running && t.phaseSince.After(since) {
		at = earlier(at, t.phaseSince)
	}
	return at, worker, true
}

// waitCheck finds out what tasks wait for.
type waitCheck struct {
	sc  *Scheduler
	now time.Time
	// room holds the results of roomReason.
	room  map[roomKey]hoist.WaitReason
	waits []Wait
}

// roomKey tells which workers have room for a step.
type roomKey struct {
	service  hoist.ServiceName
	requires hoist.Label
	need     hoist.Resources
	count    int
}

// addWaits adds the waits of the tasks of a step.
func (c *waitCheck) addWaits(s *StepTasks, threshold time.Duration) {
	if s.waiting == len(s.Tasks) && !s.Job.isReady(s) {
		for _, t := range s.Tasks {
			t.ranAt = time.Time{}
		}
		return
	}
	var reason Wait
	for _, t := range s.Tasks {
		if t.ranAt.IsZero() {
			t.ranAt = c.now
		}
		if t.Phase == Done || c.now.Sub(t.ranAt) < threshold {
			continue
		}
		w := c.wait(t, &reason)
		w.Task, w.Since = t.Ref(), t.ranAt
		c.waits = append(c.waits, w)
	}
}

// wait returns what a task waits for. ofStep holds the result of stepWait once it is needed.
func (c *waitCheck) wait(t *Task, ofStep *Wait) Wait {
	if t.IsPlaced() {
		return c.placedWait(t)
	}
	if t.StepTasks.Step.IsGang {
		for _, member := range t.StepTasks.Tasks {
			if member.IsPlaced() {
				return c.placedWait(member)
			}
		}
	}
	if c.now.Before(t.notBefore) {
		return Wait{Reason: WaitFailureDelay, Until: t.notBefore}
	}
	if w := c.sc.orphanWorker(t, c.now); w != nil {
		return Wait{Reason: WaitOrphan, Worker: w.entry.Worker, AnsweredAt: w.lastPolledAt, Until: c.leaseEnd(w)}
	}
	if ofStep.Reason == "" {
		*ofStep = c.stepWait(t.StepTasks)
	}
	out := *ofStep
	if out.Reason == WaitUnknown {
		out = c.otherWorkerWait(t)
	}
	if w := t.reservation.worker; w != nil {
		out.Worker = w.entry.Worker
	}
	return out
}

// placedWait returns what a task on a worker waits for.
func (c *waitCheck) placedWait(t *Task) Wait {
	w := t.Worker
	out := Wait{Reason: WaitLease, Worker: w.entry.Worker, AnsweredAt: w.lastPolledAt, Until: c.leaseEnd(w)}
	switch {
	case t.Phase == Recording:
		out.Reason, out.Until = WaitRecording, time.Time{}
		if until := t.StepTasks.Job.recordNotBefore; c.now.Before(until) {
			out.Until = until
		}
	case t.isStartInDoubt:
		out.Reason = WaitStartInDoubt
		if !out.Until.IsZero() {
			out.Until = latest(out.Until, c.sc.unseenUntil(w))
		}
	case t.isRecovered && !t.isConfirmed && !out.Until.IsZero() && w.unconfirmedUntil.After(out.Until):
		out.Reason, out.Until = WaitStartInDoubt, w.unconfirmedUntil
	case t.Phase == Stopping:
		out.Reason = WaitStop
	}
	return out
}

// leaseEnd returns when the lease of a worker expires, and zero while the worker answers polls,
// which extend it.
func (c *waitCheck) leaseEnd(w *Worker) time.Time {
	if !w.awaitsReport && c.now.Sub(w.lastPolledAt) <= maxReportAge {
		return time.Time{}
	}
	return w.leaseExpiresAt
}

// orphanWorker returns a worker on which an earlier attempt at a task may run, or nil. See
// hasOrphan.
func (sc *Scheduler) orphanWorker(t *Task, now time.Time) *Worker {
	if len(sc.orphaned) == 0 || !sc.hasOrphan(t, now) {
		return nil
	}
	for _, w := range sc.orphaned {
		for run := range w.orphans {
			if run.Task == t.Ref() && now.Before(w.leaseExpiresAt) {
				return w
			}
		}
	}
	return nil
}

// stepWait returns what keeps all tasks of a step from starting.
func (c *waitCheck) stepWait(s *StepTasks) Wait {
	sc := c.sc
	switch {
	case !sc.isPlacementEnabled:
		w := Wait{Reason: WaitReports}
		if !sc.registryReadAt.IsZero() {
			w.Until = sc.registryReadAt.Add(maxReportWait)
		}
		return w
	case sc.isBlocked(s.Job) || !sc.fitsQuota(s):
		return Wait{Reason: WaitQuota}
	}
	out := Wait{Reason: c.roomReason(s)}
	if out.Reason == "" && s.Job.Plan.Queue.Advice.IsUsed() {
		out = c.adviceWait(s)
	}
	out.Reason = cmp.Or(out.Reason, WaitUnknown)
	out.Room = sc.waitRoom(s)
	return out
}

// waitRoom returns which workers the last pass could use for a step.
func (sc *Scheduler) waitRoom(s *StepTasks) *WaitRoom {
	out := &WaitRoom{}
	for id, w := range sc.workers {
		if !w.isListed || !sc.isCandidate(s, w) {
			continue
		}
		out.Listed++
		if w.usableInPass != sc.passNo {
			continue
		}
		out.Usable++
		if s.Job.Plan.Queue.Advice.IsUsed() && !s.advice.isGood[id] {
			continue
		}
		out.Allowed++
		if free := w.free(); out.Allowed == 1 || free.CPU > out.MostFree.CPU {
			out.MostFree = free
		}
	}
	return out
}

// adviceWait returns what a step with room on some workers and an adviser waits for.
func (c *waitCheck) adviceWait(s *StepTasks) Wait {
	a := &s.advice
	switch {
	case len(a.tickets) > 0 && c.hasPlaces(s, func(w *Worker) bool { return s.isAllowedOn(w, c.now) }):
		return Wait{Reason: WaitUnknown}
	case a.awaitsAnswer(c.now):
		return Wait{Reason: WaitAdvice, Until: a.pendingSince.Add(adviceTimeout)}
	case c.now.Before(a.notBefore):
		return Wait{Reason: WaitAdvice, Until: a.notBefore}
	case c.hasPlaces(s, func(w *Worker) bool {
		isGood, isKnown := a.isGood[w.entry.Worker]
		return isGood || !isKnown
	}):
		return Wait{Reason: WaitAdviceHost}
	default:
		return Wait{Reason: WaitNotAllowed}
	}
}

// otherWorkerWait returns what a task waits for that has room on workers that it may use.
func (c *waitCheck) otherWorkerWait(t *Task) Wait {
	s, until := t.StepTasks, t.phaseSince.Add(otherWorkerWait)
	if s.Step.IsGang || len(t.failedWorkers) == 0 || !c.now.Before(until) {
		return Wait{Reason: WaitUnknown}
	}
	isUntried := func(w *Worker) bool {
		return s.isAllowedOn(w, c.now) && !slices.Contains(t.failedWorkers, w.entry.Worker)
	}
	if c.hasPlaces(s, isUntried) {
		return Wait{Reason: WaitUnknown}
	}
	return Wait{Reason: WaitOtherWorker, Until: until}
}

// roomReason returns why no usable worker has room for a step, or an empty reason.
func (c *waitCheck) roomReason(s *StepTasks) hoist.WaitReason {
	key := roomKey{s.Job.Plan.Queue.Service, s.Step.Requires, demand(s.Step), s.numTogether()}
	if reason, ok := c.room[key]; ok && s.Step.MaxPerWorker == 0 {
		return reason
	}
	var reason hoist.WaitReason
	switch {
	case c.hasPlaces(s, func(*Worker) bool { return true }):
	case slices.ContainsFunc(c.sc.usable, func(w *Worker) bool { return c.sc.isCandidate(s, w) }):
		reason = WaitNoRoom
	default:
		reason = WaitNoWorker
	}
	if s.Step.MaxPerWorker == 0 {
		c.room[key] = reason
	}
	return reason
}

// hasPlaces reports whether those usable workers that fulfil a condition have room for a task of
// a step, or for its whole gang.
func (c *waitCheck) hasPlaces(s *StepTasks, condition func(*Worker) bool) bool {
	missing := s.numTogether()
	for _, w := range c.sc.usable {
		if !c.sc.isCandidate(s, w) || !c.sc.fits(s, w) || !condition(w) {
			continue
		}
		if missing -= s.places(w, false); missing <= 0 {
			return true
		}
	}
	return false
}

// numTogether returns how many tasks of the step start together.
func (s *StepTasks) numTogether() int {
	if s.Step.IsGang {
		return len(s.Tasks)
	}
	return 1
}
