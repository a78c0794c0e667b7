package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// endsPerReport is how many ends a fake worker lists in one report.
	endsPerReport = 6
	// stopTime is how long an attempt runs on after its stop was answered.
	stopTime = 400 * time.Millisecond
)

// success is an end of a task as done that a worker lists.
type success struct {
	worker      *fakeWorker
	incarnation hoist.Incarnation
	no          hoist.EndNo
}

// fakeWorker is a worker that keeps its contract. Its clock begins anew with each
// incarnation and may run slow.
type fakeWorker struct {
	entry       hoist.WorkerEntry
	incarnation hoist.Incarnation
	startedAt   time.Time
	clockRate   float64
	token       hoist.FencingToken
	lease       hoist.WorkerClock
	running     map[hoist.TaskRef]hoist.AttemptNo
	// stopping holds when the attempts that were stopped end.
	stopping map[hoist.TaskRef]time.Time
	refused  map[hoist.TaskRef]hoist.AttemptNo
	ends     []hoist.RunEnd
	lastEnd  hoist.EndNo
	// lapsedEnd is the last end at the time when the lease last expired.
	lapsedEnd hoist.EndNo
	// isUnlisted is set while the registry has no entry of the worker.
	isUnlisted bool
	// lostAt is when the worker was lost for good; it is zero for all others.
	lostAt time.Time
	// newSeenAt is when it last answered an owner in an incarnation that the owner had not
	// known of.
	newSeenAt time.Time
}

func (f *fakeWorker) isLost() bool {
	return !f.lostAt.IsZero()
}

// clock returns what the clock of the worker shows.
func (f *fakeWorker) clock(now time.Time) hoist.WorkerClock {
	return hoist.WorkerClock(float64(now.Sub(f.startedAt)) * f.clockRate)
}

// receive checks the token of a request and takes its lease.
func (f *fakeWorker) receive(fx *fixture, req *fakeRequest) error {
	if req.token < f.token {
		return hoist.ErrStaleTerm
	}
	f.token = req.token
	if req.lease.Until == 0 {
		return nil
	}
	longest := f.clock(fx.now) + hoist.WorkerClock(hoist.MaxLease)
	f.lease = max(f.lease, min(req.lease.Until, longest))
	return nil
}

// handle carries out a start or a stop.
func (f *fakeWorker) handle(fx *fixture, req *fakeRequest) error {
	if err := f.receive(fx, req); err != nil {
		return err
	}
	task := req.run.Task
	isRunning := f.running[task] == req.run.Attempt
	switch {
	case req.kind == stopRequest:
		if isRunning && f.stopping[task].IsZero() {
			f.stopping[task] = fx.now.Add(stopTime)
		}
		f.refused[task] = max(f.refused[task], req.run.Attempt)
		return nil
	case isRunning:
		return nil
	case req.run.Attempt <= f.refused[task]:
		return hoist.ErrConflict
	case f.clock(fx.now) >= min(f.lease, req.lease.Until):
		return hoist.ErrLeaseExpired
	}
	fx.checkStart(f, req)
	f.running[task] = req.run.Attempt
	return nil
}

// acknowledge forgets the ends up to a number.
func (f *fakeWorker) acknowledge(fx *fixture, acked hoist.EndNo) {
	for len(f.ends) > 0 && f.ends[0].No <= acked {
		fx.recordAcknowledged(f, f.ends[0])
		f.ends = f.ends[1:]
	}
}

func (f *fakeWorker) end(task hoist.TaskRef, kind hoist.EndKind) {
	attempt := f.running[task]
	delete(f.running, task)
	delete(f.stopping, task)
	f.refused[task] = max(f.refused[task], attempt)
	f.lastEnd++
	f.ends = append(f.ends, hoist.RunEnd{No: f.lastEnd, Run: hoist.TaskRun{Task: task, Attempt: attempt}, Kind: kind})
}

// passTime ends the attempts that were stopped, and all of them if the lease has expired.
func (f *fakeWorker) passTime(now time.Time) {
	hasExpired := f.clock(now) >= f.lease
	for _, task := range f.tasks() {
		switch stopped, ok := f.stopping[task]; {
		case hasExpired:
			f.end(task, hoist.EndLeaseExpired)
		case ok && !now.Before(stopped):
			f.end(task, hoist.EndStopped)
		}
	}
	if hasExpired {
		f.lapsedEnd = f.lastEnd
	}
}

func (f *fakeWorker) used(fx *fixture) int64 {
	var sum int64
	for task := range f.running {
		sum += int64(fx.store[task.Job].plan.Steps[task.Step].Need.CPU)
	}
	return sum
}

// report returns what the worker runs and which ends it lists.
func (f *fakeWorker) report(now time.Time) hoist.RunnerReport {
	clock := time.Duration(f.clock(now)).Truncate(time.Millisecond)
	report := hoist.RunnerReport{Clock: hoist.WorkerClock(clock), Incarnation: f.incarnation}
	report.Ends = slices.Clone(f.ends[:min(len(f.ends), endsPerReport)])
	for _, task := range f.tasks() {
		attempt := f.running[task]
		report.Running = append(report.Running, hoist.RunStatus{Run: hoist.TaskRun{Task: task, Attempt: attempt}})
	}
	return report
}

// tasks returns the running tasks in a fixed order, so that a seed reproduces
// a run.
func (f *fakeWorker) tasks() []hoist.TaskRef {
	return slices.SortedFunc(maps.Keys(f.running), func(x, y hoist.TaskRef) int {
		return strings.Compare(fmt.Sprint(x), fmt.Sprint(y))
	})
}

// restart begins a new incarnation of a worker without any of its state.
func (f *fakeWorker) restart(now time.Time) {
	f.incarnation++
	f.startedAt = now
	f.token, f.lease, f.lastEnd, f.lapsedEnd = 0, 0, 0, 0
	f.running, f.refused = make(map[hoist.TaskRef]hoist.AttemptNo), make(map[hoist.TaskRef]hoist.AttemptNo)
	f.stopping = make(map[hoist.TaskRef]time.Time)
	f.ends = nil
}
