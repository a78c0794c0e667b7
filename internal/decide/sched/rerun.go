package sched

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// A long-running task has to run again soon after its worker was lost. When the lease of that worker
// ends is known before. Until then, the task asks its adviser and reserves room, so that it can start
// at once; see backfill.go.

const (
	// adviseBefore is how long before the end of a lease the adviser is asked about the tasks on
	// its worker. A request may get lost with its host, and be repeated, in that time.
	adviseBefore = 3 * time.Second
	// renewMargin is how long before a ticket is needed its renewal should be answered.
	renewMargin = 100 * time.Millisecond
	// spareGoodWorkers is how many good workers should be known beyond one for each task, as most
	// of them are busy with tasks that do not end.
	spareGoodWorkers = 2
)

// rerun is a long-running task that has to run again.
type rerun struct {
	task *Task
	// at is when it may start: now, or once its last attempt has certainly ended.
	at time.Time
}

// attemptEnd returns when the attempt at a placed task has certainly ended unless its worker
// answers again. It reports false while the worker answers polls.
func (sc *Scheduler) attemptEnd(t *Task, now time.Time) (time.Time, bool) {
	w := t.Worker
	if t.Phase == Recording || !w.awaitsReport && now.Sub(w.lastPolledAt) <= maxReportAge {
		return time.Time{}, false
	}
	switch {
	case t.isStartInDoubt:
		return latest(w.leaseExpiresAt, sc.unseenUntil(w)), true
	case t.isRecovered && !t.isConfirmed:
		return latest(w.leaseExpiresAt, w.unconfirmedUntil), true
	default:
		return w.leaseExpiresAt, true
	}
}

// canPrepare reports whether the tasks of a step get ready before they may start. Gangs do not.
func (s *StepTasks) canPrepare() bool {
	return s.Step.IsLongRunning && !s.Step.IsGang
}

// mustRerun reports whether a waiting task has run before, or has waited for some time, and has
// not failed just now. First starts of teams keep their place, by the share of the team.
func (t *Task) mustRerun(now time.Time) bool {
	if t.Phase != Waiting || now.Sub(t.notBefore) < maxBackoffWait {
		return false
	}
	if t.hasRun || t.StepTasks.Job.team != nil {
		return t.hasRun
	}
	return now.Sub(latest(t.phaseSince, t.StepTasks.Job.Plan.Accepted)) >= maxBackoffWait
}

// findReruns returns the long-running tasks of the jobs that have to run again, by steps, those
// first that have waited for longest.
func (sc *Scheduler) findReruns(jobs []*Job, now time.Time) [][]rerun {
	byStep := make(map[*StepTasks][]rerun)
	for _, j := range jobs {
		if !j.hasLongRunning {
			continue
		}
		for _, s := range j.steps {
			if s.waiting == 0 || !s.canPrepare() || !j.isReady(s) {
				continue
			}
			for _, t := range s.Tasks {
				if t.mustRerun(now) {
					byStep[s] = append(byStep[s], rerun{t, t.phaseSince})
				}
			}
		}
	}
	for _, w := range sc.workers {
		if w.isReady(now) || w.leaseExpiresAt.Sub(now) > adviseBefore {
			continue
		}
		for t := range w.tasks {
			s := t.StepTasks
			if !s.canPrepare() || s.Job.Phase.IsFinal() || t.isSuperseded {
				continue
			}
			if at, ok := sc.attemptEnd(t, now); ok && at.Sub(now) <= adviseBefore {
				byStep[s] = append(byStep[s], rerun{t, at})
			}
		}
	}
	out := make([][]rerun, 0, len(byStep))
	for _, rs := range byStep {
		slices.SortFunc(rs, func(x, y rerun) int { return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.task.Index, y.task.Index)) })
		out = append(out, rs)
	}
	slices.SortFunc(out, func(x, y []rerun) int {
		return cmp.Or(x[0].at.Compare(y[0].at), compareRuns(x[0].task.Run(), y[0].task.Run()))
	})
	return out
}

// placeReruns starts the long-running tasks that have to run again, as far as there is room, and
// reserves room for the others. It returns the requests for advice about them, which come before
// those of all other jobs.
func (sc *Scheduler) placeReruns(jobs []*Job, reserve Reserve, now time.Time) []AdviceRequest {
	steps := sc.findReruns(jobs, now)
	sc.dropReservations(steps)
	if len(steps) == 0 {
		return nil
	}
	var out []AdviceRequest
	left := sc.reservable()
	for _, rs := range steps {
		s := rs[0].task.StepTasks
		sc.Handling = s.Job.Plan.ID
		sc.usesBackedOff = len(sc.backedOff) > 0 && s.mayIgnoreBackoff(now)
		rs = sc.placeRerunsOf(s, rs, now)
		if request, ok := sc.rerunRequest(s, rs, reserve, now); ok {
			out = append(out, request)
		}
		for _, r := range rs {
			sc.reserveRoom(r, left[s.Job.Plan.Queue.Service], now)
		}
		sc.usesBackedOff = false
	}
	return out
}

// placeRerunsOf starts tasks of a step, in the room that they have reserved or elsewhere, and
// returns those that wait on. The latter have no reservation then.
func (sc *Scheduler) placeRerunsOf(s *StepTasks, rs []rerun, now time.Time) []rerun {
	for _, r := range rs {
		sc.release(r.task)
	}
	switch {
	case sc.isBlocked(s.Job) || !sc.fitsQuota(s):
		// The quota has room for a task only if its last attempt is still charged.
		return slices.DeleteFunc(rs, func(r rerun) bool { return r.task.Phase == Waiting })
	case s.waiting > 0:
		sc.placesReruns = true
		sc.placeTasks(s, now)
		sc.placesReruns = false
	}
	return slices.DeleteFunc(rs, func(r rerun) bool { return r.task.Phase == Recording })
}

// rerunRequest composes a request for advice about long-running tasks of a step that have to run
// again, so that there are tickets once they may start and there is room: about good workers whose
// ticket expires, and about workers that no request has named, unless enough are known to be good.
func (sc *Scheduler) rerunRequest(s *StepTasks, rs []rerun, reserve Reserve, now time.Time) (AdviceRequest, bool) {
	adviser := s.Job.Plan.Queue.Advice
	if len(rs) == 0 || !adviser.IsUsed() || s.advice.isPending(now) || now.Before(s.advice.notBefore) {
		return AdviceRequest{}, false
	}
	good := sc.goodWorkers(s, now)
	named := good
	if !sc.isRenewalDue(s, rs, good, now) {
		named = nil
	}
	if missing := len(rs) + spareGoodWorkers - len(good); missing > 0 {
		named = append(named, sc.unknownWorkers(s, missing, workersWithin(adviser, longRunningExtraShare)-len(named))...)
	}
	if len(named) == 0 {
		return AdviceRequest{}, false
	}
	answerTime := answerTime(adviser, len(named))
	host, ok := reserve(answerTime, now)
	if !ok {
		return AdviceRequest{}, false
	}
	return s.newAdviceRequest(named, host, answerTime, now), true
}

// goodWorkers returns the workers that are known to be good for a step and have room for a task of
// it once their short tasks have ended, best first.
func (sc *Scheduler) goodWorkers(s *StepTasks, now time.Time) []hoist.WorkerID {
	var out []hoist.WorkerID
	for w := range sc.ranked(s) {
		if id := w.entry.Worker; s.advice.isGood[id] && len(out) < maxAdvisedWorkers {
			if _, ok := sc.timeUntilRoom(w, demand(s.Step), now); ok {
				out = append(out, id)
			}
		}
	}
	return out
}

// isRenewalDue reports whether the tickets for the good workers have to be renewed now: the answer to
// a later request would come after the first task may start, and the ticket for the worker that it
// has reserved, or for all of them, will have expired.
func (sc *Scheduler) isRenewalDue(s *StepTasks, rs []rerun, good []hoist.WorkerID, now time.Time) bool {
	answeredAt := now.Add(answerTime(s.Job.Plan.Queue.Advice, len(good)) + renewMargin)
	first := rs[0]
	if first.at.After(answeredAt) {
		return false
	}
	reserved := first.task.reservation.worker
	hasRoom := false
	for _, id := range good {
		w := sc.workers[id]
		if s.isAllowedOn(w, latest(answeredAt, first.at)) && (reserved == nil || reserved == w) {
			return false
		}
		hasRoom = hasRoom || demand(s.Step).Fits(w.free())
	}
	// The load on the adviser is bounded in a cell that stays full.
	return len(good) > 0 && (hasRoom || first.at.After(now.Add(-maxBusyRenewal)))
}

// unknownWorkers returns workers that no request for a step has named and that are expected to
// take a number of tasks of it, best first, at most limit.
func (sc *Scheduler) unknownWorkers(s *StepTasks, wanted, limit int) []hoist.WorkerID {
	share, places := sc.speeds.goodShare(s.Job.Plan.Queue.Name), float64(wanted)
	least := cheapWorkerCount(s.Job.Plan.Queue.Advice)
	var out []hoist.WorkerID
	for w := range sc.ranked(s) {
		if len(out) >= limit || places <= 0 && len(out) >= least {
			break
		}
		id := w.entry.Worker
		if _, isKnown := s.advice.isGood[id]; isKnown {
			continue
		}
		if _, ok := sc.timeUntilRoom(w, demand(s.Step), sc.passAt); ok {
			out = append(out, id)
			places -= share
		}
	}
	return out
}

// timeUntilRoom estimates when a worker has room for a need, by the expected ends of its tasks. It
// reports false if it is not expected to have room.
func (sc *Scheduler) timeUntilRoom(w *Worker, need hoist.Resources, now time.Time) (time.Duration, bool) {
	free := w.free()
	if need.Fits(free) {
		return 0, true
	}
	var ends []release
	for t := range w.tasks {
		if after, ok := sc.remainingRunTime(t, now); ok {
			ends = append(ends, release{after: after, need: demand(t.StepTasks.Step)})
		}
	}
	slices.SortFunc(ends, func(x, y release) int { return cmp.Compare(x.after, y.after) })
	for _, e := range ends {
		if free = free.Add(e.need); need.Fits(free) {
			return e.after, true
		}
	}
	return 0, false
}
