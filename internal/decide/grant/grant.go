// Package grant keeps the account of one worker: what its owner has granted,
// reserved and promised on it. The sum never passes what the worker holds.
//
// # Usage
//
//	a := grant.NewAccount(report)
//	err := a.Reserve(g, now)          // holds capacity for a while
//	err = a.Commit(g.Task, g.Attempt) // the task is being started
//	a.Release(g.Task)                 // the task ended, or was not started
//
// A new owner opens the account from the worker's own list, so that tasks of an
// earlier owner are counted before anything new is granted. The type is not
// safe for concurrent use and reads no clock.
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
}

// entry is one grant on the worker.
type entry struct {
	need    hoist.Resources
	attempt hoist.AttemptNo
	// held is when a reservation ends; it is zero for a committed grant.
	held time.Time
	// answered is when the start was answered; the worker lists the task from
	// then on. It is zero while the start is under way.
	answered time.Time
	grant    hoist.Grant
}

// NewAccount opens an account from a worker's report.
func NewAccount(r hoist.WorkerReport) *Account {
	a := &Account{worker: r.Worker, capacity: r.Capacity, leaving: r.Leaving, entries: make(map[hoist.TaskID]*entry)}
	for _, t := range r.Running {
		a.entries[t.Task] = &entry{need: t.Need, attempt: t.Attempt, answered: t.Started, grant: hoist.Grant{
			Task: t.Task, Job: t.Job, Team: t.Team, Attempt: t.Attempt, Need: t.Need, Priority: t.Priority,
		}}
		a.used = a.used.Add(t.Need)
	}
	return a
}

// Free returns what can be granted now.
func (a *Account) Free() hoist.Resources {
	if a.leaving {
		return hoist.Resources{}
	}
	return a.capacity.Sub(a.used)
}

// SetLeaving records whether the worker takes no new work.
func (a *Account) SetLeaving(leaving bool) {
	a.leaving = leaving
}

// Reserve holds capacity for a task. Reserving the same attempt again renews
// the hold. It returns hoist.ErrNoCapacity with what is missing,
// hoist.ErrLeaving, or hoist.ErrConflict if another attempt of the task is on
// the worker.
func (a *Account) Reserve(g hoist.Grant, now time.Time) error {
	a.expire(now)
	if a.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", a.worker))
	}
	if e, ok := a.entries[g.Task]; ok {
		return a.renewHold(e, g, now)
	}
	if !g.Need.Fits(a.Free()) {
		return merry.Wrap(hoist.ErrNoCapacity,
			merry.PrependMessagef("worker %s has %v free, task %s needs %v", a.worker, a.Free(), g.Task, g.Need))
	}
	a.entries[g.Task] = &entry{need: g.Need, attempt: g.Attempt, held: now.Add(HoldTime), grant: g}
	a.used = a.used.Add(g.Need)
	return nil
}

func (a *Account) renewHold(e *entry, g hoist.Grant, now time.Time) error {
	if e.attempt != g.Attempt {
		return merry.Wrap(hoist.ErrConflict,
			merry.PrependMessagef("worker %s has attempt %d of task %s", a.worker, e.attempt, g.Task))
	}
	if !e.held.IsZero() {
		e.held = now.Add(HoldTime)
	}
	return nil
}

// Commit turns a reservation into a grant. It returns hoist.ErrNotFound if the
// reservation has ended.
func (a *Account) Commit(task hoist.TaskID, attempt hoist.AttemptNo, now time.Time) error {
	a.expire(now)
	e, ok := a.entries[task]
	if !ok || e.attempt != attempt {
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("worker %s has no reservation for task %s", a.worker, task))
	}
	e.held = time.Time{}
	return nil
}

// Answered records that the start of a task was answered, or its answer lost,
// at the time now.
func (a *Account) Answered(task hoist.TaskID, now time.Time) {
	if e, ok := a.entries[task]; ok {
		e.answered = now
	}
}

// Reconcile compares the account with a report that was asked for at the time
// asked. It releases the tasks that the worker no longer runs and returns
// those that it did not list as ended either: their starts never arrived.
func (a *Account) Reconcile(r hoist.WorkerReport, asked time.Time) []hoist.Grant {
	a.leaving = r.Leaving
	running := make(map[hoist.TaskID]bool, len(r.Running))
	for _, t := range r.Running {
		running[t.Task] = true
	}
	ended := make(map[hoist.TaskID]bool, len(r.Ended))
	for _, t := range r.Ended {
		ended[t.Task] = true
	}
	var missing []hoist.Grant
	for task, e := range a.entries {
		isSettled := !e.answered.IsZero() && e.answered.Before(asked)
		if !isSettled || running[task] {
			continue
		}
		if !ended[task] {
			missing = append(missing, e.grant)
		}
		a.Release(task)
	}
	return missing
}

// Release gives the capacity of a task back.
func (a *Account) Release(task hoist.TaskID) {
	if e, ok := a.entries[task]; ok {
		a.used = a.used.Sub(e.need)
		delete(a.entries, task)
	}
}

// Grants returns what is granted or reserved.
func (a *Account) Grants() []hoist.Grant {
	out := make([]hoist.Grant, 0, len(a.entries))
	for _, e := range a.entries {
		out = append(out, e.grant)
	}
	return out
}

// expire drops the reservations that were not committed in time.
func (a *Account) expire(now time.Time) {
	for task, e := range a.entries {
		if !e.held.IsZero() && now.After(e.held) {
			a.Release(task)
		}
	}
}
