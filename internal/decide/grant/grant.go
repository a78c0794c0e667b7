// Package grant keeps the account of one worker: what its owner has granted,
// reserved and promised on it. The sum never passes what the worker holds.
//
// # Usage
//
//	a := grant.NewAccount(report)
//	err := a.Reserve(g, now)                      // holds capacity for a while
//	err = a.Commit(g.Task, g.Attempt, now)        // the task is being started
//	a.AnsweredAttempt(g.Task, g.Attempt, now)     // the start was answered
//	a.ReleaseAttempt(g.Task, g.Attempt)           // it certainly does not run
//	missing := a.Reconcile(report, asked)         // the worker's own list
//	// ask the worker to refuse each missing attempt, then ReleaseAttempt
//
// A new owner opens the account from the worker's own list, so that tasks of an
// earlier owner are counted before anything new is granted. A worker whose list
// exceeds what it holds is granted nothing until enough of its tasks have
// ended. The type is not safe for concurrent use and reads no clock.
package grant

import (
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// HoldTime is how long a reservation lasts without being committed.
const HoldTime = 3 * time.Second

// Account is the account of one worker.
type Account struct {
	worker   hoist.WorkerID
	capacity hoist.Resources
	used     hoist.Resources
	leaving  bool
	entries  map[hoist.TaskID]*entry
	// firstEnd is no later than the end of any reservation; it is zero if
	// there is none. Until then no call looks for expired ones.
	firstEnd time.Time
	// asked is when the last report was asked for that was reconciled.
	asked time.Time
}

// entry is one grant on the worker.
type entry struct {
	// held is when a reservation ends; it is zero for a committed grant.
	held time.Time
	// answered is when the start was answered; the worker lists the task from
	// then on. It is zero while the start is under way.
	answered time.Time
	grant    hoist.Grant
}

func (e *entry) isReservation() bool {
	return !e.held.IsZero()
}

// NewAccount opens an account from a worker's report.
func NewAccount(r hoist.WorkerReport) *Account {
	a := &Account{worker: r.Worker, capacity: r.Capacity, leaving: r.Leaving, entries: make(map[hoist.TaskID]*entry)}
	for _, t := range r.Running {
		a.adopt(t, listed)
	}
	return a
}

// listed is the time of answer of the tasks that the worker listed at the
// adoption. It is before any report, as the worker's clock may be ahead of the
// owner's.
var listed = time.Unix(0, 0)

// adopt counts a task that the worker runs, even above its capacity.
func (a *Account) adopt(t hoist.TaskStatus, answered time.Time) {
	need := notNegative(t.Need)
	a.put(&entry{answered: answered, grant: hoist.Grant{
		Task: t.Task, Job: t.Job, Team: t.Team, Attempt: t.Attempt, Need: need, Priority: t.Priority,
	}})
}

// put adds an entry in place of one of the same task.
func (a *Account) put(e *entry) {
	a.Release(e.grant.Task)
	a.entries[e.grant.Task] = e
	a.used = a.used.Add(e.grant.Need)
}

func notNegative(r hoist.Resources) hoist.Resources {
	return hoist.Resources{CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accel: max(r.Accel, 0)}
}

// Free returns what can be granted now. No part is negative. A worker that is
// leaving, or whose tasks exceed what it holds, has nothing free. Reservations
// that ended count until the next call that takes the time.
func (a *Account) Free() hoist.Resources {
	if a.leaving || a.IsOver() {
		return hoist.Resources{}
	}
	return a.capacity.Sub(a.used)
}

// FreeAt is Free without the reservations that ended before now.
func (a *Account) FreeAt(now time.Time) hoist.Resources {
	a.expire(now)
	return a.Free()
}

// IsOver reports whether the tasks on the worker exceed what it holds. This
// comes from the worker's own list, never from grants.
func (a *Account) IsOver() bool {
	return !a.used.Fits(a.capacity)
}

// SetLeaving records whether the worker takes no new work.
func (a *Account) SetLeaving(leaving bool) {
	a.leaving = leaving
}

// Reserve holds capacity for a task. Reserving the same attempt again renews
// the hold. It returns hoist.ErrNoCapacity with what is missing,
// hoist.ErrLeaving, hoist.ErrInvalid for a need that is negative or zero, or
// hoist.ErrConflict if another attempt of the task is on the worker.
func (a *Account) Reserve(g hoist.Grant, now time.Time) error {
	a.expire(now)
	if a.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", a.worker))
	}
	if !g.Need.IsValid() {
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("task %s needs %v", g.Task, g.Need))
	}
	if e, ok := a.entries[g.Task]; ok {
		return a.renewHold(e, g, now)
	}
	if a.IsOver() || !g.Need.Fits(a.Free()) {
		return merry.Wrap(hoist.ErrNoCapacity,
			merry.PrependMessagef("worker %s has %v free, task %s needs %v", a.worker, a.Free(), g.Task, g.Need))
	}
	e := &entry{grant: g}
	a.put(e)
	a.hold(e, now)
	return nil
}

// renewHold answers a repeated reservation. The need must be the same, as it is
// what was checked against the capacity.
func (a *Account) renewHold(e *entry, g hoist.Grant, now time.Time) error {
	if e.grant.Attempt != g.Attempt || e.grant.Need != g.Need {
		return merry.Wrap(hoist.ErrConflict,
			merry.PrependMessagef("worker %s has attempt %d of task %s with %v", a.worker, e.grant.Attempt, g.Task, e.grant.Need))
	}
	if e.isReservation() {
		a.hold(e, now)
	}
	return nil
}

func (a *Account) hold(e *entry, now time.Time) {
	e.held = now.Add(HoldTime)
	if a.firstEnd.IsZero() || e.held.Before(a.firstEnd) {
		a.firstEnd = e.held
	}
}

// Commit turns a reservation into a grant, after which the start is sent once.
// It returns hoist.ErrNotFound if the reservation has ended, hoist.ErrLeaving if
// the worker began to leave after it was made, or hoist.ErrOutcomeUnknown if
// the attempt was committed before: a second start could arrive after the end
// of the first and run the task again.
func (a *Account) Commit(task hoist.TaskID, attempt hoist.AttemptNo, now time.Time) error {
	a.expire(now)
	e, ok := a.entries[task]
	if !ok || e.grant.Attempt != attempt {
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("worker %s has no reservation for task %s", a.worker, task))
	}
	if !e.isReservation() {
		return merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("worker %s: attempt %d of task %s is started already", a.worker, attempt, task))
	}
	if a.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", a.worker))
	}
	e.held = time.Time{}
	return nil
}

// Answered is AnsweredAttempt for whichever attempt of the task is here.
func (a *Account) Answered(task hoist.TaskID, now time.Time) {
	if e, ok := a.entries[task]; ok {
		a.AnsweredAttempt(task, e.grant.Attempt, now)
	}
}

// AnsweredAttempt records that the start of an attempt was answered, or its
// answer lost, at the time now. It has no effect on a reservation.
func (a *Account) AnsweredAttempt(task hoist.TaskID, attempt hoist.AttemptNo, now time.Time) {
	if e, ok := a.entries[task]; ok && e.grant.Attempt == attempt && !e.isReservation() {
		e.answered = now
	}
}

// Reconcile compares the account with a report that was asked for at the time
// asked. It counts tasks that the worker runs without being in the account,
// takes over a changed capacity, and releases the tasks that the worker lists as
// ended. It returns those that the worker lists neither as running nor as ended:
// their starts did not arrive, but may be on their way. They keep their capacity
// until the worker has refused them and ReleaseAttempt is called; a start that
// came after its report was one too many on the worker otherwise. A report that
// was not asked for after the last one is ignored.
func (a *Account) Reconcile(r hoist.WorkerReport, asked time.Time) []hoist.Grant {
	if !asked.After(a.asked) {
		return nil
	}
	a.asked = asked
	a.leaving = r.Leaving
	a.capacity = r.Capacity
	running := attemptsOf(r.Running)
	ended := attemptsOf(r.Ended)
	var missing []hoist.Grant
	for task, e := range a.entries {
		key := attemptKey{task, e.grant.Attempt}
		isSettled := !e.answered.IsZero() && e.answered.Before(asked)
		if !isSettled || running[key] {
			continue
		}
		if !ended[key] {
			missing = append(missing, e.grant)
			continue
		}
		a.Release(task)
	}
	a.adoptUnknown(r.Running, asked)
	return missing
}

// adoptUnknown counts tasks that run without being in the account: a start that
// was taken for lost arrived late. A report from before a task was stopped can
// list it too; the next report corrects that.
func (a *Account) adoptUnknown(running []hoist.TaskStatus, asked time.Time) {
	for _, t := range running {
		if e, ok := a.entries[t.Task]; !ok || e.isReservation() {
			a.adopt(t, asked)
		}
	}
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    hoist.TaskID
	attempt hoist.AttemptNo
}

func attemptsOf(tasks []hoist.TaskStatus) map[attemptKey]bool {
	out := make(map[attemptKey]bool, len(tasks))
	for _, t := range tasks {
		out[attemptKey{t.Task, t.Attempt}] = true
	}
	return out
}

// Release gives the capacity of a task back, whichever attempt of it is here.
func (a *Account) Release(task hoist.TaskID) {
	if e, ok := a.entries[task]; ok {
		a.used = a.used.Sub(e.grant.Need)
		delete(a.entries, task)
	}
}

// ReleaseAttempt gives the capacity of an attempt back. It is for an attempt
// that certainly does not run.
func (a *Account) ReleaseAttempt(task hoist.TaskID, attempt hoist.AttemptNo) {
	if e, ok := a.entries[task]; ok && e.grant.Attempt == attempt {
		a.Release(task)
	}
}

// Unreserve gives a reservation back. It has no effect once the attempt was
// committed, as it may run by then.
func (a *Account) Unreserve(task hoist.TaskID, attempt hoist.AttemptNo) {
	if e, ok := a.entries[task]; ok && e.isReservation() {
		a.ReleaseAttempt(task, attempt)
	}
}

// Grants returns what is granted or reserved.
func (a *Account) Grants() []hoist.Grant {
	return a.grants(func(*entry) bool { return true })
}

// Committed returns what is granted without the reservations, which may end
// without a start.
func (a *Account) Committed() []hoist.Grant {
	return a.grants(func(e *entry) bool { return !e.isReservation() })
}

func (a *Account) grants(isWanted func(*entry) bool) []hoist.Grant {
	out := make([]hoist.Grant, 0, len(a.entries))
	for _, e := range a.entries {
		if isWanted(e) {
			out = append(out, e.grant)
		}
	}
	return out
}

// expire drops the reservations that were not committed in time. It looks for
// them only when one may have ended.
func (a *Account) expire(now time.Time) {
	if a.firstEnd.IsZero() || !now.After(a.firstEnd) {
		return
	}
	a.firstEnd = time.Time{}
	for task, e := range a.entries {
		switch {
		case !e.isReservation():
		case now.After(e.held):
			a.Release(task)
		case a.firstEnd.IsZero() || e.held.Before(a.firstEnd):
			a.firstEnd = e.held
		}
	}
}
