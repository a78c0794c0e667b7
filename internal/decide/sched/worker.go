package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// maxReportAge is the maximum age of a worker's last report for tasks to be
	// started there.
	maxReportAge = 2500 * time.Millisecond
	// failuresToBackOff is the number of consecutive failures, of different
	// jobs, after which a worker gets no tasks for a time.
	failuresToBackOff = 2
	// initialBackoff is the length of the first such time. It doubles with each
	// further one.
	initialBackoff = 1500 * time.Millisecond
	// maxBackoff is the maximum length of such a time.
	maxBackoff = 12 * time.Second
)

// Worker is a worker with the tasks placed on it.
type Worker struct {
	entry    hoist.WorkerEntry
	isListed bool
	// isConfirmed is set once the worker has reported to this owner in its
	// current incarnation.
	isConfirmed bool
	incarnation hoist.Incarnation
	// incarnationPolledAt is when the poll was sent that first showed the incarnation. It is
	// zero before the first report.
	incarnationPolledAt time.Time
	// lastPolledAt is when the last answered poll was sent.
	lastPolledAt time.Time
	// reading is the last reading of the worker's clock. awaitsReport is set while the
	// worker may have restarted since: until a poll of the session is answered that was sent
	// after silentAt, when the last session ended. silentSince is when awaitsReport was set.
	reading               clockReading
	awaitsReport          bool
	silentAt, silentSince time.Time
	// session is that of the requests to the worker. isSessionUsed is set once a start, a lease
	// or an acknowledgement was sent in it.
	session       session
	isSessionUsed bool
	// mayHoldStrayLease is set while the worker has restarted and may receive leases on an
	// earlier clock, which are then as long as leases can be.
	mayHoldStrayLease bool
	// lostRequestAt is when a start or a poll with a lease was last found to be without an
	// answer.
	lostRequestAt time.Time
	// restartShownAt is when the last restart was shown, by a clock that was set back or by a
	// report of a new incarnation.
	restartShownAt time.Time
	// listedEnds is how many ends the report to that poll listed.
	listedEnds int
	used       hoist.Resources
	tasks      map[*Task]bool
	// reservedFor holds the tasks that have reserved room on the worker.
	reservedFor map[*Task]bool
	// usableInPass is the last pass in which the worker could take tasks.
	usableInPass uint64
	// backedOffInPass is the last pass in which only a backoff kept it from that.
	backedOffInPass uint64
	// orphans are attempts that run on the worker without a task that expects
	// them, each with the time at which a stop was last sent.
	orphans map[hoist.TaskRun]time.Time
	// orphanCharges are the charges of the orphans to their teams.
	orphanCharges map[hoist.TaskRun]orphanCharge
	// doubts are attempts that count as ended and whose start may still arrive.
	doubts doubts
	// leaseExpiresAt is when all attempts on the worker have certainly ended
	// unless the lease is renewed.
	leaseExpiresAt time.Time
	// recordedUntil is leaseExpiresAt without the leases that the previous owner may have granted
	// since it recorded the account.
	recordedUntil time.Time
	// longestLeaseUntil is when the longest lease has expired that the worker may have taken.
	longestLeaseUntil time.Time
	// unconfirmedUntil is when attempts of earlier owners have certainly ended that the worker
	// had not confirmed, and recordedIncarnation is that of the earlier account.
	unconfirmedUntil    time.Time
	recordedIncarnation hoist.Incarnation
	// isOpen is set while the recorded account lists the worker as open, and openChange counts
	// how often that was reset.
	isOpen     bool
	openChange uint64
	ends       endLog
	health     health
}

// endLog tracks which ends of a worker may be acknowledged.
type endLog struct {
	// lastProcessed is the last end that was processed. ackable is the last end
	// that is recorded together with all ends before it.
	lastProcessed, ackable hoist.EndNo
	unrecorded             []unrecordedEnd
}

// unrecordedEnd is an end that is not in the store yet. It is recorded once
// the job's state is written up to change.
type unrecordedEnd struct {
	no     hoist.EndNo
	job    *Job
	change uint64
}

// health tracks failures, backoff and relative run times of tasks on a worker.
type health struct {
	lastFailedJob hoist.JobID
	failures      int
	// backoffs counts the backoffs since the last success, up to 4.
	backoffs     int
	backoffUntil time.Time
	// runTimeRatio is the learned run time on the worker relative to its class.
	runTimeRatio float64
}

// SetWorkers replaces the list of workers with that of the platform's
// registry. A worker that is no longer listed is kept while something may run
// there, or while it may hold a lease that a new entry would not know of.
func (sc *Scheduler) SetWorkers(entries []hoist.WorkerEntry, now time.Time) {
	if sc.registryReadAt.IsZero() {
		sc.registryReadAt = now
	}
	listed := make(map[hoist.WorkerID]bool, len(entries))
	for _, e := range entries {
		listed[e.Worker] = true
		w := sc.ensureWorker(e.Worker)
		w.entry = e
		w.isListed = true
	}
	for id, w := range sc.workers {
		if !listed[id] {
			w.isListed = false
		}
		if w.isListed && w.entry.IsLeaving {
			sc.drain(w, now)
		}
		if !w.isListed && !w.isOccupied() && len(w.doubts.byRun) == 0 && !now.Before(latest(w.leaseExpiresAt, w.unconfirmedUntil)) {
			sc.forget(w)
		}
	}
	sc.measureNames()
}

// drain stops the tasks of a leaving worker that would not end before it has
// left: long-running ones, and those that can continue elsewhere from their
// checkpoint.
func (sc *Scheduler) drain(w *Worker, now time.Time) {
	for t := range w.tasks {
		if t.Phase != Running {
			continue
		}
		remaining := sc.expectedRunTime(t.StepTasks, w) - now.Sub(t.phaseSince)
		if t.StepTasks.Step.IsLongRunning || (t.StepTasks.Step.SavesProgress && remaining > w.entry.Remaining) {
			sc.endAttempt(t, now)
			sc.stopIncompleteGang(t.StepTasks, now)
		}
	}
}

// ensureWorker returns the worker with the given id and adds one if there is
// none. The id need not be listed.
func (sc *Scheduler) ensureWorker(id hoist.WorkerID) *Worker {
	w, ok := sc.workers[id]
	if !ok {
		w = &Worker{
			entry: hoist.WorkerEntry{Worker: id},
			tasks: make(map[*Task]bool), reservedFor: make(map[*Task]bool), orphans: make(map[hoist.TaskRun]time.Time),
			session: sc.firstSession, isOpen: sc.account == nil,
		}
		if sc.account == nil || sc.account.isPartial {
			w.leaseExpiresAt, w.unconfirmedUntil = sc.earlierLeasesExpire, sc.earlierLeasesExpire
		}
		w.health.runTimeRatio = 1
		sc.workers[id] = w
	}
	return w
}

// WorkerEntry returns the registry's entry of a worker that is listed or still holds
// tasks.
func (sc *Scheduler) WorkerEntry(id hoist.WorkerID) (hoist.WorkerEntry, bool) {
	w, ok := sc.workers[id]
	if !ok {
		return hoist.WorkerEntry{}, false
	}
	return w.entry, true
}

// WorkerIDs returns the workers to poll: those that have an address, and are listed or may
// run something.
func (sc *Scheduler) WorkerIDs() []hoist.WorkerID {
	ids := make([]hoist.WorkerID, 0, len(sc.workers))
	for id, w := range sc.workers {
		if w.entry.Addr != "" && (w.isListed || w.isOccupied()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// AckableEnd returns the last end that may be acknowledged to a worker, and the incarnation
// that listed it. The poll that acknowledges it must not reach another incarnation, so it counts
// for the session like a lease.
func (sc *Scheduler) AckableEnd(id hoist.WorkerID) (hoist.EndNo, hoist.Incarnation) {
	w, ok := sc.workers[id]
	if !ok {
		return 0, 0
	}
	acked := w.ends.advance()
	w.isSessionUsed = w.isSessionUsed || acked > 0
	return acked, w.incarnation
}

// advance moves ackable past the ends that are recorded, and returns it.
func (l *endLog) advance() hoist.EndNo {
	for len(l.unrecorded) > 0 && l.unrecorded[0].change <= l.unrecorded[0].job.recordedChange {
		l.ackable = l.unrecorded[0].no
		l.unrecorded = l.unrecorded[1:]
	}
	if len(l.unrecorded) == 0 {
		l.ackable = l.lastProcessed
	}
	return l.ackable
}

// HasUnrecordedEnds reports whether a worker has ends that were processed and
// are not recorded yet.
func (sc *Scheduler) HasUnrecordedEnds(id hoist.WorkerID) bool {
	w, ok := sc.workers[id]
	return ok && w.ends.advance() < w.ends.lastProcessed
}

// releaseAll makes the tasks of a worker whose lease has expired wait again. Starts that
// are still being recorded are left alone; they are checked again before they are sent.
func (sc *Scheduler) releaseAll(w *Worker, now time.Time) {
	for t := range w.tasks {
		if t.Phase == Recording || sc.mayRunUnseen(t, now) {
			continue
		}
		sc.presumeEnded(t, LeaseExpired, now)
	}
}

// isOccupied reports whether attempts may run on the worker.
func (w *Worker) isOccupied() bool {
	return len(w.tasks) > 0 || len(w.orphans) > 0
}

// free returns the capacity of the worker that is not in use.
func (w *Worker) free() hoist.Resources {
	return w.entry.Capacity.Sub(w.used)
}

// maxTasks returns how many tasks with the given need fit into the free
// capacity, or into the whole worker if whenEmpty is set.
func (w *Worker) maxTasks(need hoist.Resources, whenEmpty bool) int {
	if whenEmpty {
		return fitCount(need, w.entry.Capacity)
	}
	return fitCount(need, w.free())
}

// fitCount returns how many tasks with the given need fit into the room.
func fitCount(need, room hoist.Resources) int {
	n := 1 << 20
	for _, part := range [...]struct{ need, room int64 }{
		{int64(need.CPU), int64(room.CPU)},
		{int64(need.Memory), int64(room.Memory)},
		{int64(need.Accel), int64(room.Accel)},
	} {
		if part.need > 0 {
			n = min(n, int(max(0, part.room)/part.need))
		}
	}
	return n
}

// isUsable reports whether tasks may start on the worker, whatever they need.
func (w *Worker) isUsable(now time.Time) bool {
	return w.isReady(now) && !w.isBackedOff(now)
}

// isBackedOff reports whether the worker gets no tasks because of failures or a refusal.
func (w *Worker) isBackedOff(now time.Time) bool {
	return now.Before(w.health.backoffUntil)
}

// isReady reports the same as isUsable, whether the worker is backed off or not.
func (w *Worker) isReady(now time.Time) bool {
	return w.isListed && w.isConfirmed && !w.awaitsReport && w.isOpen && !w.entry.IsLeaving && len(w.orphans) == 0 &&
		!w.isDoubted() && now.Sub(w.lastPolledAt) <= maxReportAge
}

// hasRoomForEnd reports whether the worker can list the end of one more attempt beside
// those that it lists and those of the attempts that it has. An attempt whose end has no
// room in the list would be in neither list of the worker's reports, and its task would
// wait until the others are acknowledged.
func (sc *Scheduler) hasRoomForEnd(w *Worker) bool {
	return w.listedEnds+len(w.tasks)+1 < sc.MaxReportedEnds
}

// isCandidate reports whether a usable worker has the service and the label
// that a step requires. Free capacity and tickets are checked elsewhere.
func (sc *Scheduler) isCandidate(s *StepTasks, w *Worker) bool {
	if w.entry.Service != s.Job.Plan.Queue.Service {
		return false
	}
	return s.Step.Requires == "" || hasLabel(w.entry.Labels, s.Step.Requires)
}

func hasLabel(labels []hoist.Label, want hoist.Label) bool {
	for _, l := range labels {
		if l == want {
			return true
		}
	}
	return false
}

// recordFailure records a failure on the worker. The tasks of one job tend to
// fail together, so consecutive failures of the same job count once.
func (h *health) recordFailure(job hoist.JobID, now time.Time) {
	if h.lastFailedJob == job {
		return
	}
	h.lastFailedJob = job
	h.failures++
	if h.failures < failuresToBackOff {
		return
	}
	h.failures = failuresToBackOff - 1
	h.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<h.backoffs))
	h.backoffs = min(h.backoffs+1, 4)
}

// recordRefusal records that the worker refused a start; it gets none for a
// short time.
func (h *health) recordRefusal(now time.Time) {
	h.backoffUntil = latest(h.backoffUntil, now.Add(initialBackoff/3))
}

func (h *health) recordSuccess() {
	h.lastFailedJob, h.failures, h.backoffs = "", 0, 0
}
