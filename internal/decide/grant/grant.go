// Package grant implements the account of one worker: the capacity that the
// worker's owner has granted or reserved on it. Grants never add up to more than
// the worker's capacity.
//
// # Usage
//
//	a := grant.NewAccount(report)
//	err := a.Reserve(g, now)                      // reserves capacity for ReservationTime
//	err = a.Commit(g.Task, g.Attempt, now)        // before the start is sent
//	a.RecordAttemptAnswer(g.Task, g.Attempt, now) // the start was answered
//	a.ReleaseAttempt(g.Task, g.Attempt)           // the attempt certainly does not run
//	missing := a.Reconcile(report, requestedAt)   // compares with the worker's own list
//	// tell the worker to refuse each missing attempt, then call ReleaseAttempt
//
// A new owner creates the account from the worker's report, so that tasks granted
// by an earlier owner are counted before anything new is granted. A worker whose
// tasks exceed its capacity gets no grants until enough of them have ended.
//
// An Account is not safe for concurrent use. It does not read the clock; callers
// pass the current time.
package grant

import (
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ReservationTime is how long a reservation lasts unless it is committed or renewed.
const ReservationTime = 3 * time.Second

// Account tracks the grants and reservations on one worker.
type Account struct {
	worker   hoist.WorkerID
	capacity hoist.Resources
	used     hoist.Resources
	leaving  bool
	entries  map[hoist.TaskID]*entry
	// firstExpiry is a lower bound of the expiry of all reservations, so that
	// expired ones are searched for only after it. It is zero if there are no
	// reservations.
	firstExpiry time.Time
	// requestedAt is when the last reconciled report was requested.
	requestedAt time.Time
}

// entry is one grant or reservation on the worker.
type entry struct {
	// reservedUntil is when a reservation expires. It is zero for a committed
	// grant.
	reservedUntil time.Time
	// answeredAt is when the start was answered. Reports requested later list
	// the task. It is zero while the start is in flight.
	answeredAt time.Time
	grant      hoist.Grant
}

func (e *entry) isReservation() bool {
	return !e.reservedUntil.IsZero()
}

// NewAccount returns an account that counts the running tasks of a worker's
// report.
func NewAccount(r hoist.WorkerReport) *Account {
	a := &Account{worker: r.Worker, capacity: r.Capacity, leaving: r.Leaving, entries: make(map[hoist.TaskID]*entry)}
	for _, t := range r.Running {
		a.adopt(t, adoptedAnswerTime)
	}
	return a
}

// adoptedAnswerTime is the answer time of tasks that the worker listed when it was
// adopted. It is earlier than any report. The start time of the task is not used,
// as the worker's clock may be ahead of the owner's.
var adoptedAnswerTime = time.Unix(0, 0)

// adopt counts a task that the worker runs, even if it exceeds the capacity.
func (a *Account) adopt(t hoist.TaskStatus, answeredAt time.Time) {
	need := clampNegative(t.Need)
	a.put(&entry{answeredAt: answeredAt, grant: hoist.Grant{
		Task: t.Task, Job: t.Job, Team: t.Team, Attempt: t.Attempt, Need: need, Priority: t.Priority,
	}})
}

// put adds an entry and replaces an existing one of the same task.
func (a *Account) put(e *entry) {
	a.Release(e.grant.Task)
	a.entries[e.grant.Task] = e
	a.used = a.used.Add(e.grant.Need)
}

func clampNegative(r hoist.Resources) hoist.Resources {
	return hoist.Resources{CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accel: max(r.Accel, 0)}
}

// Free returns the capacity that can be granted now. No amount is negative. A
// worker that is leaving or whose tasks exceed its capacity has nothing free.
// Expired reservations count until the next call with a time argument.
func (a *Account) Free() hoist.Resources {
	if a.leaving || a.IsOvercommitted() {
		return hoist.Resources{}
	}
	return a.capacity.Sub(a.used)
}

// FreeAt is like Free, but drops the reservations that expired before now first.
func (a *Account) FreeAt(now time.Time) hoist.Resources {
	a.expire(now)
	return a.Free()
}

// IsOvercommitted reports whether the tasks on the worker exceed its capacity. Only tasks
// and capacities that the worker reports can cause this, never grants.
func (a *Account) IsOvercommitted() bool {
	return !a.used.Fits(a.capacity)
}

// SetLeaving sets whether the worker is leaving and gets no new grants.
func (a *Account) SetLeaving(leaving bool) {
	a.leaving = leaving
}

// Reserve reserves capacity for an attempt at a task until ReservationTime has passed.
// Reserving the same attempt again renews the reservation. It returns
// hoist.ErrNoCapacity with the free capacity and the need, hoist.ErrLeaving,
// hoist.ErrInvalid for a need that is negative or zero, or hoist.ErrConflict if
// the account has another attempt or another need for the task.
func (a *Account) Reserve(g hoist.Grant, now time.Time) error {
	a.expire(now)
	if a.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", a.worker))
	}
	if !g.Need.IsValid() {
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("task %s needs %v, expected no negative and at least one positive amount", g.Task, g.Need))
	}
	if e, ok := a.entries[g.Task]; ok {
		return a.renewReservation(e, g, now)
	}
	if a.IsOvercommitted() || !g.Need.Fits(a.Free()) {
		return merry.Wrap(hoist.ErrNoCapacity,
			merry.PrependMessagef("worker %s has %v free, task %s needs %v", a.worker, a.Free(), g.Task, g.Need))
	}
	e := &entry{grant: g}
	a.put(e)
	a.extendReservation(e, now)
	return nil
}

// renewReservation handles a repeated reservation. The need must be unchanged, as
// it is what was checked against the capacity.
func (a *Account) renewReservation(e *entry, g hoist.Grant, now time.Time) error {
	if e.grant.Attempt != g.Attempt || e.grant.Need != g.Need {
		return merry.Wrap(hoist.ErrConflict,
			merry.PrependMessagef("worker %s has attempt %d of task %s with %v", a.worker, e.grant.Attempt, g.Task, e.grant.Need))
	}
	if e.isReservation() {
		a.extendReservation(e, now)
	}
	return nil
}

func (a *Account) extendReservation(e *entry, now time.Time) {
	e.reservedUntil = now.Add(ReservationTime)
	if a.firstExpiry.IsZero() || e.reservedUntil.Before(a.firstExpiry) {
		a.firstExpiry = e.reservedUntil
	}
}

// Commit turns a reservation into a grant. The caller sends the start once after
// that. Commit returns hoist.ErrNotFound if the reservation has expired,
// hoist.ErrLeaving if the worker began to leave after the reservation, or
// hoist.ErrOutcomeUnknown if the attempt was committed before: a second start
// could arrive after the first run has ended and run the task again.
func (a *Account) Commit(task hoist.TaskID, attempt hoist.AttemptNo, now time.Time) error {
	a.expire(now)
	e, ok := a.entries[task]
	if !ok || e.grant.Attempt != attempt {
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("worker %s has no reservation for task %s", a.worker, task))
	}
	if !e.isReservation() {
		return merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("worker %s: attempt %d of task %s was committed before", a.worker, attempt, task))
	}
	if a.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", a.worker))
	}
	e.reservedUntil = time.Time{}
	return nil
}

// RecordAnswer is like RecordAttemptAnswer, for the attempt of the task that the account
// has.
func (a *Account) RecordAnswer(task hoist.TaskID, now time.Time) {
	if e, ok := a.entries[task]; ok {
		a.RecordAttemptAnswer(task, e.grant.Attempt, now)
	}
}

// RecordAttemptAnswer records that at the time now the start of an attempt was
// answered or its answer was lost. It has no effect on a reservation.
func (a *Account) RecordAttemptAnswer(task hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if e, ok := a.entries[task]; ok && e.grant.Attempt == attempt && !e.isReservation() {
		e.answeredAt = now
	}
}

// Reconcile updates the account from a report that was requested at requestedAt.
// It counts running tasks that are not in the account, applies a changed capacity,
// and releases the tasks that the worker lists as ended. It returns the grants
// that the worker lists neither as running nor as ended: their starts have not
// arrived, but may be in flight. They keep their capacity until the worker has
// been told to refuse them and ReleaseAttempt is called. Otherwise a start that
// arrives after the report would overcommit the worker. Reconcile ignores a report
// that was not requested after the last one, and returns nil.
func (a *Account) Reconcile(r hoist.WorkerReport, requestedAt time.Time) []hoist.Grant {
	if !requestedAt.After(a.requestedAt) {
		return nil
	}
	a.requestedAt = requestedAt
	a.leaving = r.Leaving
	a.capacity = r.Capacity
	running := attemptSet(r.Running)
	ended := attemptSet(r.Ended)
	var missing []hoist.Grant
	for task, e := range a.entries {
		key := attemptKey{task, e.grant.Attempt}
		isAnswered := !e.answeredAt.IsZero() && e.answeredAt.Before(requestedAt)
		if !isAnswered || running[key] {
			continue
		}
		if !ended[key] {
			missing = append(missing, e.grant)
			continue
		}
		a.Release(task)
	}
	a.adoptUnknown(r.Running, requestedAt)
	return missing
}

// adoptUnknown counts running tasks that are not in the account. This happens when
// a start that was taken for lost arrives late. A report from before a task was
// stopped can list it too; the next report corrects that.
func (a *Account) adoptUnknown(running []hoist.TaskStatus, requestedAt time.Time) {
	for _, t := range running {
		if e, ok := a.entries[t.Task]; !ok || e.isReservation() {
			a.adopt(t, requestedAt)
		}
	}
}

// attemptKey identifies one attempt at a task.
type attemptKey struct {
	task    hoist.TaskID
	attempt hoist.AttemptNo
}

func attemptSet(tasks []hoist.TaskStatus) map[attemptKey]bool {
	out := make(map[attemptKey]bool, len(tasks))
	for _, t := range tasks {
		out[attemptKey{t.Task, t.Attempt}] = true
	}
	return out
}

// Release frees the capacity of a task, whichever attempt the account has.
func (a *Account) Release(task hoist.TaskID) {
	if e, ok := a.entries[task]; ok {
		a.used = a.used.Sub(e.grant.Need)
		delete(a.entries, task)
	}
}

// ReleaseAttempt frees the capacity of an attempt that certainly does not run. It
// has no effect if the account has another attempt of the task.
func (a *Account) ReleaseAttempt(task hoist.TaskID, attempt hoist.AttemptNo) {
	if e, ok := a.entries[task]; ok && e.grant.Attempt == attempt {
		a.Release(task)
	}
}

// Unreserve cancels a reservation. It has no effect once the attempt is committed,
// as the task may run by then.
func (a *Account) Unreserve(task hoist.TaskID, attempt hoist.AttemptNo) {
	if e, ok := a.entries[task]; ok && e.isReservation() {
		a.ReleaseAttempt(task, attempt)
	}
}

// Grants returns all grants and reservations, in unspecified order.
func (a *Account) Grants() []hoist.Grant {
	return a.grants(func(*entry) bool { return true })
}

// Committed returns the grants without the reservations, which can expire without
// a start. The order is unspecified.
func (a *Account) Committed() []hoist.Grant {
	return a.grants(func(e *entry) bool { return !e.isReservation() })
}

func (a *Account) grants(include func(*entry) bool) []hoist.Grant {
	out := make([]hoist.Grant, 0, len(a.entries))
	for _, e := range a.entries {
		if include(e) {
			out = append(out, e.grant)
		}
	}
	return out
}

// expire drops the reservations that have expired. It searches for them only if
// one can have expired.
func (a *Account) expire(now time.Time) {
	if a.firstExpiry.IsZero() || !now.After(a.firstExpiry) {
		return
	}
	a.firstExpiry = time.Time{}
	for task, e := range a.entries {
		switch {
		case !e.isReservation():
		case now.After(e.reservedUntil):
			a.Release(task)
		case a.firstExpiry.IsZero() || e.reservedUntil.Before(a.firstExpiry):
			a.firstExpiry = e.reservedUntil
		}
	}
}
