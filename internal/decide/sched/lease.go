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
	// minHeldLease is how much of its lease a worker must have left for a start that brings
	// none. A poll renews the lease at least once in 1.6 s.
	minHeldLease = 2 * time.Second
	// strayPollTime is how long after a restart was shown the polls that were sent before may
	// fail. Their time-out is 1.6 s; the rest is for hosts that are late.
	strayPollTime = 5 * time.Second
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
	// earliest is what that clock shows at least when the lease reaches the worker, unless
	// the worker has restarted since the reading that Until was computed from.
	earliest hoist.WorkerClock
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
	return Lease{Until: w.reading.clock + hoist.WorkerClock(elapsed+length), earliest: w.earliestClock(now)}
}

// LeaseStart returns the lease that a start brings to a worker, and whether the start may be
// sent. If the worker has confirmed a lease that lasts, the start brings none. If the worker
// has restarted unnoticed, it then refuses the start, as it holds no lease; a lease that was
// granted on its earlier clock would last on its new one as long as leases can.
func (sc *Scheduler) LeaseStart(id hoist.WorkerID, length time.Duration, now time.Time) (Lease, bool) {
	w, ok := sc.workers[id]
	if !ok || length <= 0 || !sc.mayGrant(w) {
		return Lease{}, false
	}
	if w.holdsLease(now) {
		return Lease{earliest: w.earliestClock(now)}, true
	}
	lease := sc.GrantLease(id, length, now)
	return lease, lease.Until > 0
}

// HasConfirmedLease reports whether a worker has confirmed a lease since it was last silent.
func (sc *Scheduler) HasConfirmedLease(id hoist.WorkerID) bool {
	w, ok := sc.workers[id]
	return ok && w.heldUntil > 0
}

// holdsLease reports whether the worker has confirmed a lease that lasts for some time, and does
// not want one with each start.
func (w *Worker) holdsLease(now time.Time) bool {
	latest := w.reading.clock + hoist.WorkerClock(now.Sub(w.reading.at))
	return !w.needsLeases && w.heldUntil >= latest+hoist.WorkerClock(minHeldLease)
}

// earliestClock returns what the clock of a worker shows at least, unless the worker has
// restarted since it was read.
func (w *Worker) earliestClock(now time.Time) hoist.WorkerClock {
	elapsed := float64(now.Sub(w.reading.at)) * (1 - clockDriftBound)
	return w.reading.clock + hoist.WorkerClock(elapsed) - hoist.WorkerClock(clockResolution)
}

// mayGrant reports whether a worker may get a lease: its clock is known, it has not restarted
// since that was read as far as is known, and no start may still arrive that it must not carry
// out.
func (sc *Scheduler) mayGrant(w *Worker) bool {
	return !w.awaitsReport && !w.reading.at.IsZero() && !w.isDoubted()
}

// extendLease records that the attempts on a worker may run until a time has passed on
// its clock since a moment.
func (w *Worker) extendLease(since time.Time, length time.Duration) {
	expiresAt := since.Add(time.Duration(float64(length) / (1 - clockDriftBound)))
	if expiresAt.After(w.leaseExpiresAt) {
		w.leaseExpiresAt = expiresAt
	}
}

// RecordAnswer records what the clock of a worker showed in the answer to a request
// that may have carried a lease; hoist.UnknownClock if the answer did not tell. A clock that
// was set back shows that the worker has restarted: on its new clock the lease is as long as
// leases can be, and the worker gets neither starts nor leases until it answers a poll that was
// not sent before since.
func (sc *Scheduler) RecordAnswer(id hoist.WorkerID, lease Lease, clock hoist.WorkerClock, since, now time.Time) {
	w, ok := sc.workers[id]
	switch {
	case !ok || clock == hoist.UnknownClock:
	case clock >= lease.earliest:
		w.heldUntil = max(w.heldUntil, lease.Until)
	default:
		w.extendLease(now, sc.MaxLease+longestCall)
		w.restartShownAt = now
		w.awaitReport(since)
		sc.addRestart(w, ClockSetBack, w.incarnation, 0, now)
	}
}

// RecordLostStart records that a start got no answer. If it brought a lease, a new incarnation
// of the worker may have taken that for the longest one.
func (sc *Scheduler) RecordLostStart(id hoist.WorkerID, lease Lease, now time.Time) {
	if w, ok := sc.workers[id]; ok && lease.Until > 0 {
		w.extendLease(now, sc.MaxLease+longestCall)
	}
}

// RecordSilence records that a worker did not answer a poll that may have carried a lease, or
// that the connection to it was closed. As it may have restarted, it gets no starts and no
// leases until it reports. If a restart was shown shortly before, the new incarnation may have
// carried out the poll, with a lease on the earlier clock.
func (sc *Scheduler) RecordSilence(id hoist.WorkerID, now time.Time) {
	w, ok := sc.workers[id]
	if !ok {
		return
	}
	if !w.restartShownAt.IsZero() && now.Sub(w.restartShownAt) <= strayPollTime {
		w.extendLease(now, sc.MaxLease+longestCall)
	}
	w.awaitReport(now)
}

// RecordUnreadClock is RecordSilence for a poll that carried no lease.
func (sc *Scheduler) RecordUnreadClock(id hoist.WorkerID, now time.Time) {
	if w, ok := sc.workers[id]; ok {
		w.awaitReport(now)
	}
}

// awaitReport makes the worker get neither starts nor leases until it answers a poll that was
// not sent before since.
func (w *Worker) awaitReport(since time.Time) {
	w.awaitsReport, w.silentAt = true, since
	w.heldUntil = 0
}
