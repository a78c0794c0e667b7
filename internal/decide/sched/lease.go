package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// clockDriftBound is the fraction by which the clock of a worker may run slow.
	clockDriftBound = 0.02
	// clockResolution bounds how far a reading is below the time of the clock: workers
	// tell whole milliseconds.
	clockResolution = time.Millisecond
	// longestCall is how long a request of this owner may be on its way; after that its
	// outcome counts as unknown.
	longestCall = 500 * time.Millisecond
)

// clockReading is what the clock of a worker showed in a report that arrived at a time.
type clockReading struct {
	clock hoist.WorkerClock
	at    time.Time
}

// Lease is a lease that may be granted to a worker.
type Lease struct {
	// Until is when it expires, on the clock of the worker. It is 0 if there is none.
	Until hoist.WorkerClock
	// earliest is what that clock shows at least when the request reaches the worker, unless
	// the worker has restarted since the reading that Until was computed from.
	earliest hoist.WorkerClock
	// session is that of the request.
	session session
}

// GrantLease returns a lease of the given length for a worker, and records that the
// worker may receive it from now on. It returns the zero value if there can be none: the
// clock of the worker is not known, or the worker may have restarted since it was read.
func (sc *Scheduler) GrantLease(id hoist.WorkerID, length time.Duration, now time.Time) Lease {
	w, ok := sc.workers[id]
	if !ok || length <= 0 || !sc.mayGrant(w) {
		return Lease{}
	}
	elapsed := now.Sub(w.reading.at)
	w.extendLease(w.reading.at, elapsed+length)
	w.isSessionUsed = true
	return Lease{Until: w.reading.clock + hoist.WorkerClock(elapsed+length), earliest: w.earliestClock(now), session: w.session}
}

// earliestClock returns what the clock of a worker shows at least, unless the worker has
// restarted since it was read.
func (w *Worker) earliestClock(now time.Time) hoist.WorkerClock {
	if w.reading.at.IsZero() {
		return 0
	}
	elapsed := float64(now.Sub(w.reading.at)) * (1 - clockDriftBound)
	return w.reading.clock + hoist.WorkerClock(elapsed) - hoist.WorkerClock(clockResolution)
}

// mayGrant reports whether a worker may get a lease: the account lists it as open, its clock is
// known, it has not restarted since that was read as far as is known, and no start may still
// arrive that it must not carry out.
func (sc *Scheduler) mayGrant(w *Worker) bool {
	return w.isOpen && !w.awaitsReport && !w.reading.at.IsZero() && !w.isDoubted()
}

// extendLease records that the attempts on a worker may run until a time has passed on
// its clock since a moment.
func (w *Worker) extendLease(since time.Time, length time.Duration) {
	w.leaseExpiresAt = latest(w.leaseExpiresAt, since.Add(onSlowClock(length)))
}

// onSlowClock returns the time in which a clock that runs slow advances by d.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDriftBound))
}

// RecordAnswer records what the clock of a worker showed in the answer to a request with a lease;
// hoist.UnknownClock if the answer did not tell. A clock that was set back shows that the worker
// has restarted: on its new clock the lease is as long as leases can be.
func (sc *Scheduler) RecordAnswer(id hoist.WorkerID, lease Lease, clock hoist.WorkerClock, now time.Time) {
	w, ok := sc.workers[id]
	if !ok || clock == hoist.UnknownClock || clock >= lease.earliest {
		return
	}
	if lease.session != w.session {
		// The session has ended since.
		sc.countLongestLease(w, now)
		return
	}
	sc.suspectStrayLease(w, now)
	sc.addRestart(w, ClockSetBack, w.incarnation, 0, now)
}

// RecordSilence records that a poll got no answer, or that the connection to the worker was
// closed. As the worker may have restarted, it gets no starts and no leases until it reports.
// lease is that of the poll, unless the poll had certainly no effect. A new incarnation of the
// worker may take it for the longest lease.
func (sc *Scheduler) RecordSilence(id hoist.WorkerID, lease Lease, now time.Time) {
	w, ok := sc.workers[id]
	if !ok {
		return
	}
	sc.loseLease(w, lease, now)
	sc.endSession(w, now)
}

// loseLease records that a request with a lease got no answer.
func (sc *Scheduler) loseLease(w *Worker, lease Lease, now time.Time) {
	if lease.Until == 0 {
		return
	}
	w.lostRequestAt = now
	if w.mayHoldStrayLease {
		sc.countLongestLease(w, now)
	}
}

// RecordLostStart records that a start got no answer. If the worker has restarted, the new
// incarnation may run the attempt under the longest lease.
func (sc *Scheduler) RecordLostStart(id hoist.WorkerID, lease Lease, now time.Time) {
	w, ok := sc.workers[id]
	if !ok {
		return
	}
	sc.loseLease(w, lease, now)
	if lease.session == w.session {
		sc.endSession(w, now)
	}
}

// AwaitsReport reports whether a worker gets neither starts nor leases until it answers a poll.
func (sc *Scheduler) AwaitsReport(id hoist.WorkerID) bool {
	w, ok := sc.workers[id]
	return ok && w.awaitsReport
}
