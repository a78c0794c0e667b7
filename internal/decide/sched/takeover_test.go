package sched_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// listed returns a cell whose workers are listed and were not looked at.
func listed(t *testing.T, n int) *cell {
	c := newCell(t)
	for i := range n {
		id := hoist.WorkerID(fmt.Sprintf("w%02d", i))
		c.known = append(c.known, hoist.WorkerEntry{Worker: id, Service: "lids", Addr: string(id), Capacity: size, Class: "a"})
	}
	c.book = sched.NewScheduler(1, start)
	c.book.SetWorkers(c.known, c.now)
	return c
}

// TestSurvey guards against a new owner that crowds the tasks on the few workers
// that answered first, and asks advisers about no others.
func TestSurvey(t *testing.T) {
	t.Run("few workers seen", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", advised, step(4))
		c.view("w00", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 0)
		c.is.Equal(len(c.asks), 0)
	})
	t.Run("most workers seen", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", queue, step(4))
		for _, e := range c.known[:18] {
			c.view(e.Worker, hoist.RunnerReport{Incarnation: 1})
		}
		c.wantStarts(c.pass(), 4)
	})
	t.Run("workers that do not answer", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", queue, step(4))
		c.now = c.now.Add(500 * time.Millisecond)
		c.view("w00", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 4)
	})
}

// TestQuestionSize guards against steps that need a second question because others
// took the few workers of the first one.
func TestQuestionSize(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms hoist.AdviceTerms
		want  int
	}{
		// 2.5 places for the task, at 0.4 of the workers.
		{"workers are dear", hoist.AdviceTerms{Base: 5 * time.Millisecond, PerWorker: time.Millisecond, Valid: time.Second}, 7},
		// A fifth of the fixed time.
		{"workers are cheap", hoist.AdviceTerms{Base: 100 * time.Millisecond, PerWorker: time.Millisecond, Valid: time.Second}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := listed(t, 40)
			for _, e := range cell.known {
				cell.view(e.Worker, hoist.RunnerReport{Incarnation: 1})
			}
			q := queue
			q.Advice = c.terms
			cell.submit("p", q, step(1))
			cell.pass()
			cell.is.Equal(len(cell.asks), 1)
			cell.is.Equal(len(cell.asks[0].Workers), c.want)
		})
	}
}

// TestInheritedSpeed guards against a new owner that learns from attempts whose
// start it did not see: they seem to take no time, so that it prefers the
// workers on which they ran.
func TestInheritedSpeed(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.entry("w2", func(e *hoist.WorkerEntry) { e.Class = "b" })
	state := hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{}}}
	var view hoist.RunnerReport
	for i := range 8 {
		state.Steps[0].Placed = append(state.Steps[0].Placed, hoist.PlacedRun{Index: i, Attempt: 1, Worker: "w2"})
		run := hoist.TaskRun{Task: hoist.TaskRef{StepRef: hoist.StepRef{Job: "old"}, Index: i}, Attempt: 1}
		view.Ends = append(view.Ends, hoist.RunEnd{No: hoist.EndNo(i + 1), Run: run, Kind: hoist.EndDone})
	}
	view.Incarnation = 1
	c.book.Restore(hoist.Plan{ID: "old", Queue: queue, Steps: []hoist.Step{step(8)}, Accepted: c.now}, state, 1, c.now)
	c.view("w2", view)
	c.submit("p", queue, step(1))
	starts := c.run()
	c.wantStarts(starts, 1)
	c.is.Equal(starts[0].Worker, hoist.WorkerID("w1"))
}
