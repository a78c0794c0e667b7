// Package health keeps a record of the workers on which tasks fail. A worker
// that fails whatever it starts looks idle and would attract all work that
// waits; it is left alone for a time that doubles with each relapse, then
// probed with one task, and takes work again once a task has done well.
//
// # Usage
//
//	b := health.NewTracker()
//	if b.Allows(run.Worker, now) { // right before each start, under one lock
//		b.Started(run, now)
//	}
//	b.Failed(run, now)             // the task failed by itself
//	b.Succeeded(run, now)          // it succeeded
//	b.Stopped(run)                 // it was stopped or never started
//	s := b.Status(worker, now)     // for operators
//
// A group of tasks that fails on several healthy workers and succeeds nowhere
// is at fault itself; its failures are not held against workers, and those
// already held against them are taken back. The type is not safe for concurrent
// use and reads no clock.
package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/learn"
)

const (
	// maxFailures in a row, without a success between them, make a worker
	// failing. Fewer would put a worker aside for one faulty job with two
	// tasks.
	maxFailures = 3
	// firstBackOff is longer than a task start and shorter than the 9.4 s in
	// which urgent work must start.
	firstBackOff = 5 * time.Second
	// maxBackOff bounds the time that a repaired worker stays idle.
	maxBackOff = 10 * time.Minute
	// proofTime is how long a probe runs to count as done well: the tasks of
	// services do not end, and a worker that fails what it starts does so at
	// once.
	proofTime = time.Minute
	// forgetTime after a recovery, a new failure is no relapse.
	forgetTime = 30 * time.Minute
	// maxGroupWorkers is on how many healthy workers a group fails to be at
	// fault itself. Two workers can be broken by one event, such as a switch.
	maxGroupWorkers = 3
	// groupTime after its last failure, a group is judged anew.
	groupTime = 10 * time.Minute
	// maxGroups bounds the memory of the failing groups to about 1 MB.
	maxGroups = 4096
)

// State is the state of a worker's health.
type State string

// The states of a worker's health.
const (
	Healthy State = "healthy"
	// BackedOff workers take no new work.
	BackedOff State = "backed off"
	// Probing workers take one task.
	Probing State = "probing"
)

// Status describes the health of a worker to operators.
type Status struct {
	Worker hoist.WorkerID
	State  State
	// Reason is empty for a healthy worker.
	Reason string
	// Until is when the next probe may start.
	Until time.Time
}

// Run is one attempt at a task on a worker.
type Run struct {
	Worker  hoist.WorkerID
	Task    hoist.TaskID
	Attempt hoist.AttemptNo
	// Group are the tasks that are expected to fail or succeed alike.
	Group learn.Key
}

// Tracker holds the health of workers. Workers on which nothing fails take no
// memory.
type Tracker struct {
	workers map[hoist.WorkerID]*record
	groups  map[learn.Key]*group
}

// record is what is held against one worker.
type record struct {
	// blame lists the failures since the last success that led to a back-off.
	blame []Run
	// failed counts the failures since the last success.
	failed int
	// level counts the back-offs without a lasting recovery.
	level int
	// until is zero unless the worker is backed off or being probed.
	until time.Time
	// probe is the run that tries the worker, since probed. It is the zero Run
	// if there is none.
	probe  Run
	probed time.Time
	// recovered is when the worker last left the back-off.
	recovered time.Time
}

// group is what is held against one group.
type group struct {
	workers map[hoist.WorkerID]bool
	last    time.Time
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{workers: make(map[hoist.WorkerID]*record), groups: make(map[learn.Key]*group)}
}

// Allows reports whether a task may start on the worker now.
func (b *Tracker) Allows(worker hoist.WorkerID, now time.Time) bool {
	r, ok := b.workers[worker]
	if !ok {
		return true
	}
	r.settle(now)
	return r.until.IsZero() || !r.isProbing() && !now.Before(r.until)
}

// Started records the start of a task. On a worker that is backed off it is the
// probe.
func (b *Tracker) Started(run Run, now time.Time) {
	r, ok := b.workers[run.Worker]
	if !ok || r.until.IsZero() || r.isProbing() {
		return
	}
	r.probe, r.probed = run, now
}

// Stopped records that a task neither failed nor succeeded, so that another one
// can be the probe.
func (b *Tracker) Stopped(run Run) {
	if r, ok := b.workers[run.Worker]; ok && r.probe == run {
		r.probe = Run{}
	}
}

// Succeeded records that a task did well. The worker recovers, and the group is
// not at fault. A success of a task that started before the back-off does not
// end it.
func (b *Tracker) Succeeded(run Run, now time.Time) {
	delete(b.groups, run.Group)
	r, ok := b.workers[run.Worker]
	if !ok {
		return
	}
	switch {
	case r.until.IsZero():
		r.blame, r.failed = nil, 0
	case r.probe == run:
		r.recover(now)
	}
	b.forget(run.Worker, r, now)
}

// Failed records that a task failed by itself. Recording the same attempt again
// has no effect.
func (b *Tracker) Failed(run Run, now time.Time) {
	r, ok := b.workers[run.Worker]
	if !ok {
		r = &record{}
		b.workers[run.Worker] = r
	}
	r.settle(now)
	isProbe := r.probe == run
	if b.isGroupAtFault(run, r, now) {
		b.Stopped(run)
		b.forget(run.Worker, r, now)
		return
	}
	switch {
	case isProbe:
		r.failed++
		r.backOff(now)
	case r.until.IsZero():
		r.hold(run, now)
	}
}

// hold adds a failure, and backs off at the third.
func (r *record) hold(run Run, now time.Time) {
	if slices.Contains(r.blame, run) {
		return
	}
	r.blame = append(r.blame, run)
	r.failed++
	if len(r.blame) < maxFailures {
		return
	}
	if now.Sub(r.recovered) > forgetTime {
		r.level = 0
	}
	r.backOff(now)
}

func (r *record) isProbing() bool {
	return r.probe != Run{}
}

// backOff leaves the worker alone, twice as long as the last time.
func (r *record) backOff(now time.Time) {
	wait := min(firstBackOff<<min(r.level, 16), maxBackOff)
	r.level++
	r.until = now.Add(wait)
	r.probe = Run{}
}

func (r *record) recover(now time.Time) {
	r.blame, r.failed = nil, 0
	r.until = time.Time{}
	r.probe = Run{}
	r.recovered = now
}

// settle ends the probe that has run long enough.
func (r *record) settle(now time.Time) {
	if r.isProbing() && now.Sub(r.probed) >= proofTime {
		r.recover(now)
	}
}

// isGroupAtFault counts the failure against the group and tells whether the
// group is at fault. Failures on workers that are already failing are no
// evidence against the group.
func (b *Tracker) isGroupAtFault(run Run, r *record, now time.Time) bool {
	g, ok := b.groups[run.Group]
	if !ok || now.Sub(g.last) > groupTime {
		b.makeRoom(now)
		g = &group{workers: make(map[hoist.WorkerID]bool, maxGroupWorkers)}
		b.groups[run.Group] = g
	}
	g.last = now
	if len(g.workers) >= maxGroupWorkers {
		return true
	}
	if !r.until.IsZero() {
		return false
	}
	g.workers[run.Worker] = true
	if len(g.workers) < maxGroupWorkers {
		return false
	}
	b.pardon(run.Group, now)
	return true
}

// pardon takes back what the failures of a group caused.
func (b *Tracker) pardon(key learn.Key, now time.Time) {
	for worker, r := range b.workers {
		before := len(r.blame)
		r.blame = slices.DeleteFunc(r.blame, func(f Run) bool { return f.Group == key })
		if len(r.blame) < before && len(r.blame) < maxFailures && !r.until.IsZero() {
			r.until, r.probe = time.Time{}, Run{}
			r.level = max(r.level-1, 0)
			r.failed = len(r.blame)
		}
		b.forget(worker, r, now)
	}
}

// forget drops a record that holds nothing.
func (b *Tracker) forget(worker hoist.WorkerID, r *record, now time.Time) {
	isRelapse := !r.recovered.IsZero() && now.Sub(r.recovered) <= forgetTime
	if len(r.blame) == 0 && r.until.IsZero() && !isRelapse {
		delete(b.workers, worker)
	}
}

// makeRoom drops the groups that have not failed for a while, or all of them if
// too many are left: they are judged anew.
func (b *Tracker) makeRoom(now time.Time) {
	if len(b.groups) < maxGroups {
		return
	}
	for key, g := range b.groups {
		if now.Sub(g.last) > groupTime {
			delete(b.groups, key)
		}
	}
	if len(b.groups) >= maxGroups {
		clear(b.groups)
	}
}

// Remove forgets a worker that is gone or has another owner.
func (b *Tracker) Remove(worker hoist.WorkerID) {
	delete(b.workers, worker)
}

// IsGroupAtFault reports whether a group fails on several healthy workers.
func (b *Tracker) IsGroupAtFault(key learn.Key, now time.Time) bool {
	g, ok := b.groups[key]
	return ok && len(g.workers) >= maxGroupWorkers && now.Sub(g.last) <= groupTime
}

// Status describes a worker.
func (b *Tracker) Status(worker hoist.WorkerID, now time.Time) Status {
	s := Status{Worker: worker, State: Healthy}
	r, ok := b.workers[worker]
	if !ok {
		return s
	}
	r.settle(now)
	if r.until.IsZero() {
		return s
	}
	s.Until = r.until
	if r.isProbing() {
		s.State = Probing
		s.Reason = fmt.Sprintf("failed %d tasks in a row; task %s probes it", r.failed, r.probe.Task)
		return s
	}
	s.State = BackedOff
	s.Reason = fmt.Sprintf("failed %d tasks in a row; back-off %d, next probe in %v",
		r.failed, r.level, max(r.until.Sub(now), 0).Round(time.Second))
	return s
}

// Failing describes all workers that are backed off or probed, by id.
func (b *Tracker) Failing(now time.Time) []Status {
	var out []Status
	for worker := range b.workers {
		if s := b.Status(worker, now); s.State != Healthy {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Worker, y.Worker) })
	return out
}
