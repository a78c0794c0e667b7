package sched_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// newUnreportedCell returns a cell with listed workers that have not reported
// yet.
func newUnreportedCell(t *testing.T, n int) *cell {
	c := newCell(t)
	for i := range n {
		id := hoist.WorkerID(fmt.Sprintf("w%02d", i))
		c.entries = append(c.entries, hoist.WorkerEntry{Worker: id, Service: "lids", Addr: string(id), Capacity: size, Class: "a"})
	}
	c.scheduler = sched.NewScheduler(1, start)
	c.scheduler.SetWorkers(c.entries, c.now)
	return c
}

// TestPlacementWaitsForReports guards against a new owner that crowds the
// tasks on the few workers that answered first, and requests advice about no
// others.
func TestPlacementWaitsForReports(t *testing.T) {
	t.Run("few workers reported", func(t *testing.T) {
		c := newUnreportedCell(t, 20)
		c.submit("p", advised, step(4))
		c.report("w00", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 0)
		c.is.Equal(len(c.requests), 0)
	})
	t.Run("most workers reported", func(t *testing.T) {
		c := newUnreportedCell(t, 20)
		c.submit("p", queue, step(4))
		for _, e := range c.entries[:18] {
			c.report(e.Worker, hoist.RunnerReport{Incarnation: 1})
		}
		c.wantStarts(c.pass(), 4)
	})
	t.Run("workers that do not answer", func(t *testing.T) {
		c := newUnreportedCell(t, 20)
		c.submit("p", queue, step(4))
		c.now = c.now.Add(500 * time.Millisecond)
		c.report("w00", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 4)
	})
}

// TestAdviceRequestSize guards against steps that need a second request for
// advice because other steps took the few workers named in the first one.
func TestAdviceRequestSize(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms hoist.AdviserConfig
		want  int
	}{
		// 2.5 places are wanted for the task, and 0.4 of the workers are assumed
		// to be good.
		{"each worker adds much to the answer time", hoist.AdviserConfig{Base: 5 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: time.Second}, 7},
		// The extra workers may take a fifth of the fixed answer time.
		{"each worker adds little to the answer time", hoist.AdviserConfig{Base: 100 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: time.Second}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newUnreportedCell(t, 40)
			for _, e := range cell.entries {
				cell.report(e.Worker, hoist.RunnerReport{Incarnation: 1})
			}
			q := queue
			q.Advice = c.terms
			cell.submit("p", q, step(1))
			cell.pass()
			cell.is.Equal(len(cell.requests), 1)
			cell.is.Equal(len(cell.requests[0].Workers), c.want)
		})
	}
}

// TestRecoveredRunTimesAreIgnored guards against a new owner that learns from
// attempts whose start it did not see: they seem to take no time, so that it
// would prefer the workers on which they ran.
func TestRecoveredRunTimesAreIgnored(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.changeEntry("w2", func(e *hoist.WorkerEntry) { e.Class = "b" })
	state := hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{}}}
	var report hoist.RunnerReport
	for i := range 8 {
		state.Steps[0].Placed = append(state.Steps[0].Placed, hoist.PlacedRun{Index: i, Attempt: 1, Worker: "w2"})
		run := hoist.TaskRun{Task: hoist.TaskRef{StepRef: hoist.StepRef{Job: "old"}, Index: i}, Attempt: 1}
		report.Ends = append(report.Ends, hoist.RunEnd{No: hoist.EndNo(i + 1), Run: run, Kind: hoist.EndDone})
	}
	report.Incarnation = 1
	c.scheduler.Restore(hoist.Plan{ID: "old", Queue: queue, Steps: []hoist.Step{step(8)}, Accepted: c.now}, state, 1, c.now)
	c.report("w2", report)
	c.submit("p", queue, step(1))
	starts := c.run()
	c.wantStarts(starts, 1)
	c.is.Equal(starts[0].Worker, hoist.WorkerID("w1"))
}

// TestLongLeaseOfEarlierOwner guards against a task that runs twice because its worker got the
// longest lease from a poll of an earlier owner: it was a time on the clock of an earlier
// incarnation. The next owner knows of neither.
func TestLongLeaseOfEarlierOwner(t *testing.T) {
	c := newCell(t)
	c.scheduler = sched.NewScheduler(2, start.Add(time.Second))
	c.addWorkers("w1")
	firstReport := c.now
	c.submit("p", queue, step(1))
	c.wantStarts(c.run(), 1)
	for _, wait := range []struct {
		after time.Duration
		want  int
	}{{6200 * time.Millisecond, 0}, {10 * time.Second, 0}, {10800 * time.Millisecond, 1}} {
		c.now = firstReport.Add(wait.after)
		c.addWorkers("w2")
		c.wantStarts(c.pass(), wait.want)
	}
}
