package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// lateSignMemory is how long an attempt that counts as ended is remembered. Workers
	// that are cut off longer are rare, and a sign of such an attempt only lacks its
	// reason.
	lateSignMemory = 2 * time.Minute
	// maxRememberedEnds bounds the attempts that are remembered.
	maxRememberedEnds = 10_000
	// UnknownReason means that this owner has not concluded the end of an attempt: an
	// earlier owner has, or it was forgotten.
	UnknownReason EndReason = "unknown"
)

// LateSign tells that a worker lists an attempt that counted as ended although no worker
// had listed its end. The attempt may have run beside, or before, another one at its task.
type LateSign struct {
	Run    hoist.TaskRun
	Worker hoist.WorkerID
	// Reason tells what the end was concluded from, and After how long ago; After is 0 if
	// the reason is unknown.
	Reason EndReason
	After  time.Duration
	// Kind is how the attempt ended; it is empty if the attempt still runs.
	Kind hoist.EndKind
	// Other and OtherWorker are the attempt that holds the task now. They are empty if
	// there is none.
	Other       hoist.AttemptNo
	OtherWorker hoist.WorkerID
}

// lateSigns holds the attempts that count as ended, and what workers have listed of them
// since.
type lateSigns struct {
	remembered map[hoist.TaskRun]presumedAt
	// order holds the remembered attempts, the oldest one first.
	order []hoist.TaskRun
	signs []LateSign
}

// presumedAt is what is remembered of an attempt that counts as ended.
type presumedAt struct {
	reason EndReason
	at     time.Time
	// isRunningReported is set once a sign has told that the attempt runs.
	isRunningReported bool
}

// remember remembers an attempt that counts as ended, and forgets old ones.
func (l *lateSigns) remember(e PresumedEnd, now time.Time) {
	if l.remembered == nil {
		l.remembered = make(map[hoist.TaskRun]presumedAt)
	}
	for len(l.order) > 0 && (len(l.order) >= maxRememberedEnds || now.Sub(l.remembered[l.order[0]].at) > lateSignMemory) {
		delete(l.remembered, l.order[0])
		l.order = l.order[1:]
	}
	l.remembered[e.Run] = presumedAt{reason: e.Reason, at: now}
	l.order = append(l.order, e.Run)
}

// TakeLateSigns returns the late signs since the last call.
func (sc *Scheduler) TakeLateSigns() []LateSign {
	out := sc.lateSigns.signs
	sc.lateSigns.signs = nil
	return out
}

// recordLateRun records that a worker runs an attempt that does not hold its task. t is
// nil if the task is not known. Attempts that this owner stops for another reason, or of
// tasks that wait, give no sign.
func (sc *Scheduler) recordLateRun(w *Worker, run hoist.TaskRun, t *Task, now time.Time) {
	l := &sc.lateSigns
	known, ok := l.remembered[run]
	if known.isRunningReported || !ok && (t == nil || !t.IsPlaced() || isOrphan(w, run)) {
		return
	}
	sign := newLateSign(w, run, t)
	if ok {
		sign.Reason, sign.After = known.reason, now.Sub(known.at)
		known.isRunningReported = true
		l.remembered[run] = known
	}
	l.signs = append(l.signs, sign)
}

// recordLateEnd records that a worker lists the end of an attempt that counts as ended.
func (sc *Scheduler) recordLateEnd(w *Worker, e hoist.RunEnd, t *Task, now time.Time) {
	l := &sc.lateSigns
	known, ok := l.remembered[e.Run]
	if !ok {
		return
	}
	sign := newLateSign(w, e.Run, t)
	sign.Kind, sign.Reason, sign.After = e.Kind, known.reason, now.Sub(known.at)
	l.signs = append(l.signs, sign)
}

// isOrphan reports whether the last report of a worker listed the attempt as well.
func isOrphan(w *Worker, run hoist.TaskRun) bool {
	_, ok := w.orphans[run]
	return ok
}

func newLateSign(w *Worker, run hoist.TaskRun, t *Task) LateSign {
	sign := LateSign{Run: run, Worker: w.entry.Worker, Reason: UnknownReason}
	if t != nil && t.IsPlaced() && t.Worker != nil {
		sign.Other, sign.OtherWorker = t.Attempt, t.Worker.entry.Worker
	}
	return sign
}
