package sched_test

import (
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// newOrphanCell returns a cell in which w2 runs an attempt of team a that no task expects, and
// which nothing else runs.
func newOrphanCell(t *testing.T) (*cell, hoist.RunnerReport) {
	c := newCell(t, "w1", "w2")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(1000)})
	c.submitAs("a", "p", step(1))
	starts := c.run()
	c.wantStarts(starts, 1)
	c.is.Equal(starts[0].Worker, hoist.WorkerID("w1"))
	stray := starts[0].Run
	stray.Attempt++
	report := hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: stray}}}
	c.report("w2", report)
	c.wantUsed(2000)
	c.reportEnd(1, starts[0], hoist.EndDone)
	c.wantUsed(1000)
	return c, report
}

// TestOrphanOfRemovedJobIsCharged guards against starts beyond a quota while an attempt runs
// that no task expects and whose job has ended, and against a charge that outlives it.
func TestOrphanOfRemovedJobIsCharged(t *testing.T) {
	c, report := newOrphanCell(t)
	c.record()
	c.is.True(c.scheduler.IsEndRecorded("p"))
	c.scheduler.Remove("p")
	c.submitAs("a", "next", step(1))
	for range 2 {
		c.report("w2", report)
		c.wantUsed(1000)
		c.wantStarts(c.run(), 0)
	}
	c.report("w2", hoist.RunnerReport{Incarnation: 1})
	c.wantUsed(0)
	c.wantStarts(c.run(), 1)
}

// TestNoStopsToRemovedWorker guards against stops without end, and memory that is never freed,
// after a worker has gone that ran an attempt that no task expects.
func TestNoStopsToRemovedWorker(t *testing.T) {
	c, _ := newOrphanCell(t)
	stopsAt := func() []sched.Stop {
		c.run()
		return c.stops
	}
	c.is.Equal(len(stopsAt()), 1)
	c.entries = c.entries[:1]
	c.scheduler.SetWorkers(c.entries, c.now)
	c.now = c.now.Add(time.Minute)
	c.run()
	c.wantUsed(0)
	c.scheduler.SetWorkers(c.entries, c.now)
	c.now = c.now.Add(time.Second)
	c.is.Equal(len(stopsAt()), 0)
	_, isKnown := c.scheduler.WorkerEntry("w2")
	c.is.True(!isKnown)
}

// TestOrphanKeepsItsTask guards against a task that starts elsewhere although a worker lists an
// earlier attempt at it as running, which was started late.
func TestOrphanKeepsItsTask(t *testing.T) {
	for _, c := range []struct {
		name string
		step hoist.Step
	}{{"task", step(1)}, {"gang", step(2, gang)}} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(t, "w1", "w2")
			cell.submit("p", queue, c.step)
			late := hoist.TaskRun{Task: hoist.TaskRef{StepRef: hoist.StepRef{Job: "p"}}, Attempt: 1}
			cell.now = cell.now.Add(time.Millisecond)
			cell.report("w1", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: late}}})
			cell.wantStarts(cell.pass(), 0)
			cell.is.Equal(cell.stops, []sched.Stop{{Worker: "w1", Run: late}})
			cell.report("w1", hoist.RunnerReport{Incarnation: 1})
			cell.wantStarts(cell.pass(), c.step.Count)
		})
	}
}
