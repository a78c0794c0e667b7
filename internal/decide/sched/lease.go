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
	// earliest is what that clock shows at least when the lease reaches the worker, unless
	// the worker has restarted since the reading that Until was computed from.
	earliest hoist.WorkerClock
}

// GrantLease returns a lease of the given length for a worker, and records that the
// worker may receive it from now on. It returns the zero value if there can be none: the
// clock of the worker is not known, or the worker may have restarted since it was read.
func (sc *Scheduler) GrantLease(id hoist.WorkerID, length time.Duration, now time.Time) Lease {
	w, ok := sc.workers[id]
	if !ok || length <= 0 || w.awaitsReport || w.reading.at.IsZero() || !sc.MayGrantLease(id) {
		return Lease{}
	}
	elapsed := now.Sub(w.reading.at)
	w.extendLease(w.reading.at, elapsed+length)
	return Lease{
		Until:    w.reading.clock + hoist.WorkerClock(elapsed+length),
		earliest: w.reading.clock + hoist.WorkerClock(float64(elapsed)*(1-clockDriftBound)) - hoist.WorkerClock(clockResolution),
	}
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
// that carried a lease; hoist.UnknownClock if the answer did not tell. A clock that was set back shows that the
// worker has restarted: on its new clock the lease is as long as leases can be, and the worker
// gets neither starts nor leases until it answers a poll that was not sent before since.
func (sc *Scheduler) RecordAnswer(id hoist.WorkerID, lease Lease, clock hoist.WorkerClock, since, now time.Time) {
	w, ok := sc.workers[id]
	if !ok || clock == hoist.UnknownClock || clock >= lease.earliest {
		return
	}
	w.extendLease(now, sc.MaxLease+longestCall)
	w.awaitsReport, w.silentAt = true, since
}

// RecordSilence records that a worker did not answer a poll, or that the connection to it
// was closed. As it may have restarted, it gets no starts and no leases until it reports.
func (sc *Scheduler) RecordSilence(id hoist.WorkerID, now time.Time) {
	if w, ok := sc.workers[id]; ok {
		w.awaitsReport, w.silentAt = true, now
	}
}
