// Package health tracks the workers on which tasks fail. A worker on which every
// task fails at once looks idle and would attract all waiting tasks. It therefore
// gets no tasks during a backoff that doubles with each relapse, then one task as
// a probe, and normal work again once the probe has succeeded or has run for long
// enough.
//
// # Usage
//
//	tr := health.NewTracker()
//	if tr.Allows(run.Worker, now) { // right before each start, under one lock
//		tr.RecordStart(run, now)
//	}
//	tr.RecordFailure(run, now)      // the task failed by itself
//	tr.RecordSuccess(run, now)      // it succeeded
//	tr.RecordStop(run)              // it was stopped or never started
//	s := tr.Status(worker, now)     // for operators
//
// A group of tasks that fails on several healthy workers and succeeds on none is
// itself at fault. Its failures do not count against workers, and those that
// were counted before are reverted.
//
// A Tracker is not safe for concurrent use. It does not read the clock; callers
// pass the current time.
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
	// maxFailures is the number of consecutive failures, without a success in
	// between, after which a worker is backed off. With fewer, one faulty job
	// with two tasks would back off a worker.
	maxFailures = 3
	// initialBackoff is the first backoff of a worker. It is longer than a task
	// start and shorter than the 9.4 s within which urgent work must start.
	initialBackoff = 5 * time.Second
	// maxBackoff is the longest backoff. It bounds how long a repaired worker
	// stays idle.
	maxBackoff = 10 * time.Minute
	// probeTime is how long a probe must run to count as a success. The tasks of
	// services do not end, and on a failing worker tasks fail at once.
	probeTime = time.Minute
	// relapseTime is the time after a recovery within which a further backoff
	// counts as a relapse and lasts longer than the last one.
	relapseTime = 30 * time.Minute
	// faultyGroupWorkers is the number of healthy workers on which a group must
	// fail to be at fault itself. Two workers can fail because of one event, such
	// as a broken switch.
	faultyGroupWorkers = 3
	// groupRetention is the time after the last failure of a group after which its
	// failures are no longer counted.
	groupRetention = 10 * time.Minute
	// maxGroups bounds the number of failing groups, and their memory to about
	// 1 MB.
	maxGroups = 4096
)

// State is the state of a worker's health.
type State string

// The states of a worker's health.
const (
	Healthy State = "healthy"
	// BackedOff workers get no tasks.
	BackedOff State = "backed off"
	// Probing workers run one task as a probe and get no further ones.
	Probing State = "probing"
)

// Status describes the health of a worker to operators.
type Status struct {
	Worker hoist.WorkerID
	State  State
	// Reason is empty for a healthy worker.
	Reason string
	// Until is the earliest time of the next probe.
	Until time.Time
}

// Run is one attempt at a task on a worker.
type Run struct {
	Worker  hoist.WorkerID
	Task    hoist.TaskID
	Attempt hoist.AttemptNo
	// Group identifies the tasks that are expected to fail or succeed alike.
	Group learn.Key
}

// Tracker holds the health of workers. It uses no memory for workers on which no
// task fails.
type Tracker struct {
	workers map[hoist.WorkerID]*record
	groups  map[learn.Key]*group
}

// record holds the failures and the backoff of one worker.
type record struct {
	// failures lists the failures since the last success that count towards the
	// backoff.
	failures []Run
	// failureCount counts the failures since the last success, including those
	// of probes.
	failureCount int
	// backoffLevel counts the backoffs since the last recovery that lasted for
	// relapseTime.
	backoffLevel int
	// backedOffUntil is zero unless the worker is backed off or being probed.
	backedOffUntil time.Time
	// probe is the run that probes the worker, and probeStart when it started.
	// probe is the zero Run if there is none.
	probe      Run
	probeStart time.Time
	// recoveredAt is when the worker's last backoff ended.
	recoveredAt time.Time
}

// group holds the healthy workers on which one group of tasks failed.
type group struct {
	workers     map[hoist.WorkerID]bool
	lastFailure time.Time
}

// NewTracker returns a Tracker in which all workers are healthy.
func NewTracker() *Tracker {
	return &Tracker{workers: make(map[hoist.WorkerID]*record), groups: make(map[learn.Key]*group)}
}

// Allows reports whether a task may start on the worker now.
func (tr *Tracker) Allows(worker hoist.WorkerID, now time.Time) bool {
	r, ok := tr.workers[worker]
	if !ok {
		return true
	}
	r.confirmProbe(now)
	return r.backedOffUntil.IsZero() || !r.isProbing() && !now.Before(r.backedOffUntil)
}

// RecordStart records the start of a task. On a worker that is backed off the task
// becomes the probe.
func (tr *Tracker) RecordStart(run Run, now time.Time) {
	r, ok := tr.workers[run.Worker]
	if !ok || r.backedOffUntil.IsZero() || r.isProbing() {
		return
	}
	r.probe, r.probeStart = run, now
}

// RecordStop records that a task ended without failing or succeeding. If it was the
// probe, another task can become the probe.
func (tr *Tracker) RecordStop(run Run) {
	if r, ok := tr.workers[run.Worker]; ok && r.probe == run {
		r.probe = Run{}
	}
}

// RecordSuccess records that a task succeeded. Its group is not at fault, the failures
// of a healthy worker are cleared, and a worker that the task probed recovers. A
// task that started before the backoff does not end it.
func (tr *Tracker) RecordSuccess(run Run, now time.Time) {
	delete(tr.groups, run.Group)
	r, ok := tr.workers[run.Worker]
	if !ok {
		return
	}
	switch {
	case r.backedOffUntil.IsZero():
		r.failures, r.failureCount = nil, 0
	case r.probe == run:
		r.recover(now)
	}
	tr.removeIfClean(run.Worker, r, now)
}

// RecordFailure records that a task failed by itself, and was not stopped. Recording the
// same attempt again has no effect.
func (tr *Tracker) RecordFailure(run Run, now time.Time) {
	r, ok := tr.workers[run.Worker]
	if !ok {
		r = &record{}
		tr.workers[run.Worker] = r
	}
	r.confirmProbe(now)
	isProbe := r.probe == run
	if tr.isGroupAtFault(run, r, now) {
		tr.RecordStop(run)
		tr.removeIfClean(run.Worker, r, now)
		return
	}
	switch {
	case isProbe:
		r.failureCount++
		r.startBackoff(now)
	case r.backedOffUntil.IsZero():
		r.addFailure(run, now)
	}
}

// addFailure records a failure and starts a backoff once there are maxFailures.
func (r *record) addFailure(run Run, now time.Time) {
	if slices.Contains(r.failures, run) {
		return
	}
	r.failures = append(r.failures, run)
	r.failureCount++
	if len(r.failures) < maxFailures {
		return
	}
	if now.Sub(r.recoveredAt) > relapseTime {
		r.backoffLevel = 0
	}
	r.startBackoff(now)
}

func (r *record) isProbing() bool {
	return r.probe != Run{}
}

// startBackoff starts a backoff of initialBackoff, doubled for each backoffLevel, up
// to maxBackoff.
func (r *record) startBackoff(now time.Time) {
	wait := min(initialBackoff<<min(r.backoffLevel, 16), maxBackoff)
	r.backoffLevel++
	r.backedOffUntil = now.Add(wait)
	r.probe = Run{}
}

func (r *record) recover(now time.Time) {
	r.failures, r.failureCount = nil, 0
	r.backedOffUntil = time.Time{}
	r.probe = Run{}
	r.recoveredAt = now
}

// confirmProbe ends the backoff if the probe has run for probeTime.
func (r *record) confirmProbe(now time.Time) {
	if r.isProbing() && now.Sub(r.probeStart) >= probeTime {
		r.recover(now)
	}
}

// isGroupAtFault counts the failure against the group and reports whether the
// group is at fault. Failures on workers that are backed off do not count
// against the group.
func (tr *Tracker) isGroupAtFault(run Run, r *record, now time.Time) bool {
	g, ok := tr.groups[run.Group]
	if !ok || now.Sub(g.lastFailure) > groupRetention {
		tr.evictGroups(now)
		g = &group{workers: make(map[hoist.WorkerID]bool, faultyGroupWorkers)}
		tr.groups[run.Group] = g
	}
	g.lastFailure = now
	if len(g.workers) >= faultyGroupWorkers {
		return true
	}
	if !r.backedOffUntil.IsZero() {
		return false
	}
	g.workers[run.Worker] = true
	if len(g.workers) < faultyGroupWorkers {
		return false
	}
	tr.revertFailures(run.Group, now)
	return true
}

// revertFailures removes the failures of a group from all workers and ends the
// backoffs that they caused.
func (tr *Tracker) revertFailures(key learn.Key, now time.Time) {
	for worker, r := range tr.workers {
		before := len(r.failures)
		r.failures = slices.DeleteFunc(r.failures, func(f Run) bool { return f.Group == key })
		if len(r.failures) < before && len(r.failures) < maxFailures && !r.backedOffUntil.IsZero() {
			r.backedOffUntil, r.probe = time.Time{}, Run{}
			r.backoffLevel = max(r.backoffLevel-1, 0)
			r.failureCount = len(r.failures)
		}
		tr.removeIfClean(worker, r, now)
	}
}

// removeIfClean deletes the record of a worker without failures, backoff or recent
// recovery.
func (tr *Tracker) removeIfClean(worker hoist.WorkerID, r *record, now time.Time) {
	isRelapse := !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) <= relapseTime
	if len(r.failures) == 0 && r.backedOffUntil.IsZero() && !isRelapse {
		delete(tr.workers, worker)
	}
}

// evictGroups makes space for a group if there are maxGroups. It deletes the groups
// that have not failed for groupRetention, or all groups if that deletes none.
func (tr *Tracker) evictGroups(now time.Time) {
	if len(tr.groups) < maxGroups {
		return
	}
	for key, g := range tr.groups {
		if now.Sub(g.lastFailure) > groupRetention {
			delete(tr.groups, key)
		}
	}
	if len(tr.groups) >= maxGroups {
		clear(tr.groups)
	}
}

// Remove deletes the record of a worker that is gone or has another owner.
func (tr *Tracker) Remove(worker hoist.WorkerID) {
	delete(tr.workers, worker)
}

// IsGroupAtFault reports whether a group is at fault: it has failed on
// faultyGroupWorkers healthy workers without a success, and last failed within
// groupRetention.
func (tr *Tracker) IsGroupAtFault(key learn.Key, now time.Time) bool {
	g, ok := tr.groups[key]
	return ok && len(g.workers) >= faultyGroupWorkers && now.Sub(g.lastFailure) <= groupRetention
}

// Status returns the health of a worker.
func (tr *Tracker) Status(worker hoist.WorkerID, now time.Time) Status {
	s := Status{Worker: worker, State: Healthy}
	r, ok := tr.workers[worker]
	if !ok {
		return s
	}
	r.confirmProbe(now)
	if r.backedOffUntil.IsZero() {
		return s
	}
	s.Until = r.backedOffUntil
	if r.isProbing() {
		s.State = Probing
		s.Reason = fmt.Sprintf("failed %d tasks in a row; task %s is the probe", r.failureCount, r.probe.Task)
		return s
	}
	s.State = BackedOff
	s.Reason = fmt.Sprintf("failed %d tasks in a row; backoff %d, next probe in %v",
		r.failureCount, r.backoffLevel, max(r.backedOffUntil.Sub(now), 0).Round(time.Second))
	return s
}

// Failing returns the status of all workers that are backed off or being probed,
// sorted by id.
func (tr *Tracker) Failing(now time.Time) []Status {
	var out []Status
	for worker := range tr.workers {
		if s := tr.Status(worker, now); s.State != Healthy {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Worker, y.Worker) })
	return out
}
