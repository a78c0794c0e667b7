package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// A long-running task that has to run again competes with all short tasks for the room that becomes
// free. It needs more than most of them at once, and may run on few workers, so that it would lose
// each time while the cell is full. So it reserves room on one worker, as in EASY backfilling: others
// go on starting on all other workers, and in what the reservation leaves free.

const (
	// reserveBefore is how long before the end of a lease room is reserved for the tasks under it. Most
	// tasks on the other workers end within that time.
	reserveBefore = time.Second
	// maxReservation is how long a task waits for room on the worker that it has reserved before it
	// looks for a better one.
	maxReservation = 3 * time.Second
	// reservedDivisor bounds the room that all reservations together hold to a part of the
	// capacity of the usable workers of a service. Long-running tasks need a part of what a lost
	// worker held. A single reservation may hold more, as a small service would have none.
	reservedDivisor = 8
)

// roomReservation keeps room on a worker for one task. The zero value keeps none. The room counts
// as used on the worker.
type roomReservation struct {
	worker *Worker
	// since is when the worker was chosen, or was last found to be still the best one.
	since time.Time
	// earlier is the worker that the task gave up.
	earlier *Worker
}

// reservable is what reservations on the workers of a service may still hold.
type reservable struct {
	left hoist.Resources
	// hasAny is set once there is a reservation.
	hasAny bool
}

// fits reports whether a reservation may hold what a task needs.
func (r *reservable) fits(need hoist.Resources) bool {
	return r != nil && (!r.hasAny || need.Fits(r.left))
}

// take counts a reservation.
func (r *reservable) take(need hoist.Resources) {
	r.left, r.hasAny = r.left.Sub(need), true
}

// reservable returns what the reservations of each service may hold in all.
func (sc *Scheduler) reservable() map[hoist.ServiceName]*reservable {
	out := make(map[hoist.ServiceName]*reservable)
	for _, w := range sc.usable {
		r, ok := out[w.entry.Service]
		if !ok {
			r = &reservable{}
			out[w.entry.Service] = r
		}
		r.left = r.left.Add(w.entry.Capacity)
	}
	for _, r := range out {
		r.left = hoist.Resources{CPU: r.left.CPU / reservedDivisor, Memory: r.left.Memory / reservedDivisor, Accel: r.left.Accel / reservedDivisor}
	}
	return out
}

// dropReservations drops the reservations of tasks that are not among those that have to run again.
func (sc *Scheduler) dropReservations(steps [][]rerun) {
	if len(sc.reserved) == 0 {
		return
	}
	isKept := make(map[*Task]bool)
	for _, rs := range steps {
		for _, r := range rs {
			isKept[r.task] = true
		}
	}
	for t := range sc.reserved {
		if !isKept[t] {
			sc.endReservation(t)
		}
	}
}

// endReservation drops the reservation of a task, which does not remember it.
func (sc *Scheduler) endReservation(t *Task) {
	sc.release(t)
	t.reservation = roomReservation{}
}

// release returns the room that a task has reserved to its worker. The task remembers the
// reservation.
func (sc *Scheduler) release(t *Task) {
	if !sc.reserved[t] {
		return
	}
	delete(sc.reserved, t)
	w := t.reservation.worker
	delete(w.reservedFor, t)
	w.used = w.used.Sub(demand(t.StepTasks.Step))
	if w.usableInPass != sc.passNo {
		return
	}
	free := w.free()
	sc.maxFree.CPU = max(sc.maxFree.CPU, free.CPU)
	sc.maxFree.Memory = max(sc.maxFree.Memory, free.Memory)
	sc.maxFree.Accel = max(sc.maxFree.Accel, free.Accel)
	o := sc.order(w.entry.Service)
	o.full = o.full[:0]
}

// mayReserve reports whether a task may run on a worker, whether or not that has room now.
func (sc *Scheduler) mayReserve(t *Task, w *Worker, now time.Time) bool {
	s := t.StepTasks
	switch {
	case w == t.Worker || !sc.isUsableNow(w) || !sc.isCandidate(s, w) || !sc.hasRoomForEnd(w):
		return false
	case w.mayHoldLongLease(now):
		return false
	case s.Step.MaxPerWorker > 0 && s.countOn(w)+s.countReserved(w) >= s.Step.MaxPerWorker:
		return false
	default:
		return !s.Job.Plan.Queue.Advice.IsUsed() || s.advice.isGood[w.entry.Worker]
	}
}

// countReserved returns the number of tasks of a step that have reserved room on a worker.
func (s *StepTasks) countReserved(w *Worker) int {
	n := 0
	for t := range w.reservedFor {
		if t.StepTasks == s {
			n++
		}
	}
	return n
}

// reserveRoom reserves room for a task that may start within reserveBefore, on the same worker as
// before if that may still take the task, and has been reserved for less than maxReservation or is
// still the best one. left is what reservations may still hold.
func (sc *Scheduler) reserveRoom(r rerun, left *reservable, now time.Time) {
	t := r.task
	need := demand(t.StepTasks.Step)
	if r.at.Sub(now) > reserveBefore || !left.fits(need) {
		t.reservation = roomReservation{}
		return
	}
	res := t.reservation
	if isOverdue := now.Sub(latest(res.since, r.at)) >= maxReservation; isOverdue && sc.isBestReservation(r, now) {
		res.since = now
	} else if res.worker != nil && (isOverdue || !sc.mayReserve(t, res.worker, now)) {
		res = roomReservation{earlier: res.worker}
	}
	if res.worker == nil {
		res.worker, res.since = sc.chooseReservation(r, res.earlier, now), now
	}
	t.reservation = res
	if res.worker == nil {
		return
	}
	sc.reserved[t], res.worker.reservedFor[t] = true, true
	res.worker.used = res.worker.used.Add(need)
	left.take(need)
}

// isBestReservation reports whether the worker that a task has reserved is still expected to have
// room before all others. It reports false if there is room that the task has not taken.
func (sc *Scheduler) isBestReservation(r rerun, now time.Time) bool {
	w, need := r.task.reservation.worker, demand(r.task.StepTasks.Step)
	if w == nil || !sc.mayReserve(r.task, w, now) || need.Fits(w.free()) {
		return false
	}
	wait, ok := sc.timeUntilRoom(w, need, now)
	if !ok {
		return false
	}
	other := sc.chooseReservation(r, w, now)
	if other == nil || other == w {
		return true
	}
	otherWait, _ := sc.timeUntilRoom(other, need, now)
	return wait <= otherWait
}

// chooseReservation returns the worker on which a task may run and that is expected to have room
// for it first, or nil. earlier is chosen only if there is no other, and workers that the task has
// failed on only if there is none that it has not.
func (sc *Scheduler) chooseReservation(r rerun, earlier *Worker, now time.Time) *Worker {
	s := r.task.StepTasks
	var best *Worker
	var shortest time.Duration
	isBestFailed := false
	for w := range sc.ranked(s) {
		if w == earlier || !sc.mayReserve(r.task, w, now) {
			continue
		}
		wait, ok := sc.timeUntilRoom(w, demand(s.Step), now)
		// Room that is free before the start is of no more use than room that is free then.
		wait = max(wait, r.at.Sub(now))
		hasFailed := slices.Contains(r.task.failedWorkers, w.entry.Worker)
		isBetter := isBestFailed && !hasFailed || isBestFailed == hasFailed && wait < shortest
		if ok && (best == nil || isBetter) {
			best, shortest, isBestFailed = w, wait, hasFailed
		}
	}
	if best == nil && earlier != nil && sc.mayReserve(r.task, earlier, now) {
		return earlier
	}
	return best
}
