package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// EndReason tells why an attempt counts as ended, or is in doubt, although no worker has
// listed its end.
type EndReason string

// The reasons.
const (
	// LeaseExpired means that the lease of the worker has expired even on a clock that
	// runs slow.
	LeaseExpired EndReason = "lease-expired"
	// NotReported means that a report lists neither the attempt nor its end, and that
	// its poll was sent after the answered stop of the attempt, or by a later owner than
	// the start.
	NotReported EndReason = "not-reported"
	// Missing means the same of an attempt that the worker has confirmed to this owner. It
	// does not count as ended yet, but is stopped.
	Missing EndReason = "missing"
	// WorkerRestarted is NotReported in the first report of a new incarnation.
	WorkerRestarted EndReason = "worker-restarted"
)

// PresumedEnd is an attempt that counts as ended although no worker has listed its end,
// with what is known about the worker. Its task may start again elsewhere, so a wrong
// one makes a task run twice.
type PresumedEnd struct {
	Run    hoist.TaskRun
	Worker hoist.WorkerID
	Reason EndReason
	// SincePoll is the time since the last answered poll was sent, and SinceLease the
	// time since the lease expired; it is negative while the lease is valid.
	SincePoll, SinceLease time.Duration
	// SinceRestart is the time since a restart of the worker was last shown to this owner; it
	// is negative if none was.
	SinceRestart time.Duration
	// Incarnation is the incarnation of the worker that has reported last.
	Incarnation hoist.Incarnation
	// IsConfirmed tells that the worker has confirmed the start of the attempt to this owner.
	IsConfirmed bool
	// IsListed tells that the registry has an entry of the worker, and IsLeaving that the
	// last one said that the worker leaves.
	IsListed, IsLeaving bool
}

// TakePresumedEnds returns the presumed ends since the last call.
func (sc *Scheduler) TakePresumedEnds() []PresumedEnd {
	out := sc.presumedEnds
	sc.presumedEnds = nil
	return out
}

// presumeEnded makes the task of an attempt wait again although no worker has listed the
// end of the attempt.
func (sc *Scheduler) presumeEnded(t *Task, reason EndReason, now time.Time) {
	e := t.presumedEnd(reason, now)
	sc.presumedEnds = append(sc.presumedEnds, e)
	sc.lateSigns.remember(e, now)
	if t.isStartInDoubt {
		sc.addDoubt(t.Worker, t.Run(), reason != LeaseExpired, now)
	}
	step := t.StepTasks
	sc.requeue(t, now)
	sc.stopIncompleteGang(step, now)
}

// stopMissing stops an attempt that its worker has confirmed and no longer lists. It
// counts as ended only once the worker has answered the stop: it should have listed the
// end, so that its report alone is no proof.
func (sc *Scheduler) stopMissing(t *Task, now time.Time) {
	sc.presumedEnds = append(sc.presumedEnds, t.presumedEnd(Missing, now))
	sc.endAttempt(t, now)
	sc.stopIncompleteGang(t.StepTasks, now)
}

// presumedEnd describes the current attempt at a placed task.
func (t *Task) presumedEnd(reason EndReason, now time.Time) PresumedEnd {
	w := t.Worker
	sinceRestart := time.Duration(-1)
	if !w.restartShownAt.IsZero() {
		sinceRestart = now.Sub(w.restartShownAt)
	}
	return PresumedEnd{
		Run: t.Run(), Worker: w.entry.Worker, Reason: reason,
		SincePoll: now.Sub(w.lastPolledAt), SinceLease: now.Sub(w.leaseExpiresAt),
		SinceRestart: sinceRestart, Incarnation: w.incarnation, IsConfirmed: !t.isRecovered && !t.isStartInDoubt,
		IsListed: w.isListed, IsLeaving: w.entry.IsLeaving,
	}
}
