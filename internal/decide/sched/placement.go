package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// placeTasks chooses workers for the waiting tasks of a step.
func (sc *Scheduler) placeTasks(s *StepTasks, now time.Time) {
	sc.placeOnCandidates(s, now)
	if rack := s.wantedRack(now); rack != "" && s.waiting > 0 {
		sc.claim(rackKey{s.Job.Plan.Queue.Service, rack}, s)
	}
}

// placeOnCandidates is placeTasks without a claim on the rack that the remaining tasks wait for.
func (sc *Scheduler) placeOnCandidates(s *StepTasks, now time.Time) {
	workers := sc.candidates(s, now)
	if len(workers) == 0 {
		return
	}
	if s.Step.IsGang {
		sc.placeGang(s, workers, now)
		return
	}
	next, left := 0, min(sc.maxPlacements(s.Job), sc.startable(s))
	isDecided, waitsNear := false, false
	for _, t := range s.Tasks {
		if left == 0 {
			return
		}
		if t.Phase != Waiting || now.Before(t.notBefore) || sc.hasOrphan(t, now) || sc.usesBackedOff && !t.mayIgnoreBackoff(now) {
			continue
		}
		if sc.placesReruns && !t.mustRerun(now) {
			continue
		}
		for next < len(workers) && !sc.fits(s, workers[next]) {
			next++
		}
		if next == len(workers) {
			return
		}
		w := workers[next]
		if slices.Contains(t.failedWorkers, w.entry.Worker) {
			other := sc.untriedWorker(t, workers[next+1:])
			if other == nil && now.Sub(t.phaseSince) < otherWorkerWait {
				continue
			}
			if other != nil {
				w = other
			}
		}
		if sc.isRemote(s, w) {
			if !isDecided {
				isDecided, waitsNear = true, sc.tasksWaitNear(s, w, min(left, s.waiting), now)
			}
			if waitsNear {
				if w = sc.nearWorker(t, workers[next+1:]); w == nil {
					continue
				}
			}
		}
		sc.assign(t, w, sc.newAttempt(s.Job), now)
		sc.recordTaken(t, now)
		sc.countNearWait(s)
		left--
	}
}

// untriedWorker returns the first worker that has enough free capacity and
// that the task has not failed on, or nil.
func (sc *Scheduler) untriedWorker(t *Task, workers []*Worker) *Worker {
	for _, w := range workers {
		if sc.fits(t.StepTasks, w) && !slices.Contains(t.failedWorkers, w.entry.Worker) {
			return w
		}
	}
	return nil
}

// nearWorker returns the first worker on the preferred rack that has enough free capacity
// and that the task has not failed on, or nil.
func (sc *Scheduler) nearWorker(t *Task, workers []*Worker) *Worker {
	s := t.StepTasks
	for _, w := range workers {
		if !sc.isRemote(s, w) && sc.fits(s, w) && !slices.Contains(t.failedWorkers, w.entry.Worker) {
			return w
		}
	}
	return nil
}

// assign places a task on a worker. The start is sent once it is recorded.
func (sc *Scheduler) assign(t *Task, w *Worker, attempt hoist.AttemptNo, now time.Time) {
	sc.release(t)
	sc.place(t, w, attempt, Recording, now)
	t.isDespiteBackoff = w.isBackedOff(now)
	t.ticket = t.StepTasks.advice.tickets[w.entry.Worker]
	j := t.StepTasks.Job
	j.markUrgent()
	t.change = j.change
}

// spareCandidates is how many workers are considered at least for the tasks of a
// step, so that a task that failed on some of them finds another.
const spareCandidates = 16

// candidates returns workers that may run tasks of a step and have free capacity for at
// least one, best first: enough of them for the waiting tasks, if there are.
func (sc *Scheduler) candidates(s *StepTasks, now time.Time) []*Worker {
	need := demand(s.Step)
	if !sc.mayFit(s, need) {
		return nil
	}
	if s.Job.Plan.Queue.Advice.IsUsed() {
		return sc.advisedCandidates(s, now)
	}
	needsAll := s.Step.IsGang && s.Step.PrefersSameRack
	var out []*Worker
	places := 0
	for w := range sc.ranked(s) {
		if !sc.fits(s, w) {
			continue
		}
		out = append(out, w)
		places += s.places(w, false)
		if places >= s.waiting && len(out) >= spareCandidates && !needsAll {
			return out
		}
	}
	if len(out) == 0 && !sc.considersNearOnly(s) && s.Step.Requires == "" && s.Step.MaxPerWorker == 0 {
		sc.order(s.Job.Plan.Queue.Service).recordNoRoom(need)
	}
	return out
}

// advisedCandidates is candidates for a step that may run only on workers with a
// ticket.
func (sc *Scheduler) advisedCandidates(s *StepTasks, now time.Time) []*Worker {
	nearOnly := sc.considersNearOnly(s)
	var out []*Worker
	for id := range s.advice.tickets {
		w, ok := sc.workers[id]
		if !ok || nearOnly && sc.isRemote(s, w) {
			continue
		}
		if sc.isUsableNow(w) && s.isAllowedOn(w, now) && sc.fits(s, w) && sc.isCandidate(s, w) {
			out = append(out, w)
		}
	}
	sc.sortRanked(s, out)
	return out
}

// mayFit reports whether some worker of the service may have enough free capacity.
func (sc *Scheduler) mayFit(s *StepTasks, need hoist.Resources) bool {
	if sc.usesBackedOff && slices.ContainsFunc(sc.backedOff, func(w *Worker) bool { return need.Fits(w.free()) }) {
		return true
	}
	return need.Fits(sc.maxFree) && !sc.order(s.Job.Plan.Queue.Service).hasNoRoom(need)
}

// fits reports whether the worker has free capacity for one more task of a
// step, and room for its end.
func (sc *Scheduler) fits(s *StepTasks, w *Worker) bool {
	if !demand(s.Step).Fits(w.free()) || !sc.hasRoomForEnd(w) {
		return false
	}
	if s.Step.IsLongRunning && w.mayHoldLongLease(sc.passAt) {
		return false
	}
	return s.Step.MaxPerWorker == 0 || s.countOn(w) < s.Step.MaxPerWorker
}

// maxLeaseOfLongRunning is the most that the longest lease of a worker that may have restarted may
// have left when it gets a long-running task. If the worker is lost then, the task runs again
// within 9 s, as it has to; until then, it waits for less than 3 s for the worker.
const maxLeaseOfLongRunning = 8 * time.Second

// mayHoldLongLease reports whether a worker that has restarted, or answers the present owner in
// an incarnation that the account does not list, may hold a lease which is too long for a
// long-running task.
func (w *Worker) mayHoldLongLease(now time.Time) bool {
	return w.longestLeaseUntil.Sub(now) > maxLeaseOfLongRunning
}

// countOn returns the number of tasks of the step on a worker.
func (s *StepTasks) countOn(w *Worker) int {
	n := 0
	for t := range w.tasks {
		if t.StepTasks == s {
			n++
		}
	}
	return n
}

// placeGang places all tasks of a gang in one attempt, or none. A gang that
// prefers a single rack is spread over racks only if it fits into no single
// one and waiting for one does not pay.
func (sc *Scheduler) placeGang(s *StepTasks, workers []*Worker, now time.Time) {
	if s.waiting != len(s.Tasks) || now.Before(s.Tasks[0].notBefore) || sc.hasOrphanOf(s, now) || len(s.Tasks) > sc.maxPlacements(s.Job) {
		return
	}
	attempt := sc.newAttempt(s.Job)
	near, others := nearGroups(s, workers)
	for _, group := range near {
		if sc.placeAllOrNone(s, group, attempt, now) {
			sc.countNearWait(s)
			return
		}
	}
	if s.hasNear() && sc.gangWaitsNear(s, workers, now) {
		return
	}
	for _, group := range others {
		if sc.placeAllOrNone(s, group, attempt, now) {
			sc.countNearWait(s)
			return
		}
	}
}

// nearGroups returns the groups of workers on which a gang may be placed: those where
// it is near, and those to fall back on, both best first. A gang without any preference
// has only the latter.
func nearGroups(s *StepTasks, workers []*Worker) (near, others [][]*Worker) {
	preferred := s.Step.PreferredRack
	if !s.hasNear() {
		return nil, [][]*Worker{workers}
	}
	for _, group := range groupByRack(workers) {
		switch {
		case preferred == "" || group[0].entry.Rack == preferred:
			near = append(near, group)
		case s.Step.PrefersSameRack:
			others = append(others, group)
		}
	}
	return near, append(others, workers)
}

// groupByRack groups workers by rack; the group of the best worker comes
// first.
func groupByRack(workers []*Worker) [][]*Worker {
	var order []hoist.RackID
	groups := make(map[hoist.RackID][]*Worker)
	for _, w := range workers {
		if _, ok := groups[w.entry.Rack]; !ok {
			order = append(order, w.entry.Rack)
		}
		groups[w.entry.Rack] = append(groups[w.entry.Rack], w)
	}
	out := make([][]*Worker, 0, len(order))
	for _, rack := range order {
		out = append(out, groups[rack])
	}
	return out
}

// placeAllOrNone places all tasks of a gang on the given workers, or none of
// them. It reports whether they fit.
func (sc *Scheduler) placeAllOrNone(s *StepTasks, workers []*Worker, attempt hoist.AttemptNo, now time.Time) bool {
	next := 0
	for i, t := range s.Tasks {
		for next < len(workers) && !sc.fits(s, workers[next]) {
			next++
		}
		if next == len(workers) {
			for _, placed := range s.Tasks[:i] {
				sc.requeue(placed, now)
			}
			return false
		}
		sc.assign(t, workers[next], attempt, now)
		t.Saved = s.saved
	}
	for _, t := range s.Tasks {
		sc.recordTaken(t, now)
	}
	return true
}
