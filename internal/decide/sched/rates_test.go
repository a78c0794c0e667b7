package sched_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
)

// startOrder makes room for one task after the other on w1, and returns the jobs in the
// order of their starts. Each job has one task.
func (c *cell) startOrder(jobs int) []hoist.JobID {
	c.t.Helper()
	var out []hoist.JobID
	for no := range jobs {
		starts := c.run()
		c.wantStarts(starts, 1)
		out = append(out, starts[0].Run.Task.Job)
		c.reportEnd(hoist.EndNo(no+1), starts[0], hoist.EndDone)
	}
	return out
}

// wholeWorker makes a task need a whole worker.
func wholeWorker(s *hoist.Step) { s.Need = size }

// TestJobsBeyondRateComeLast guards against a team whose burst delays the jobs of others,
// and against jobs beyond the rate that do not start although there is free capacity.
func TestJobsBeyondRateComeLast(t *testing.T) {
	c := newCell(t, "w1")
	urgent := queue
	urgent.Priority = 5
	c.scheduler.SetTeams([]hoist.TeamConfig{{Team: "a", Weight: 0.1}, {Team: "b", Weight: 0.1}})
	add := func(team hoist.TeamID, id hoist.JobID, q hoist.Queue, at time.Duration) {
		p := hoist.Plan{ID: id, Team: team, Queue: q, Steps: []hoist.Step{step(1, wholeWorker)}, Accepted: start.Add(at * time.Millisecond)}
		c.scheduler.Add(p, 1, c.now)
	}
	add("a", "a1", urgent, 1)
	add("a", "a2", urgent, 2)
	add("a", "a3", urgent, 3)
	add("b", "b1", queue, 4)
	add("b", "b2", urgent, 5)
	add("", "none", queue, 6)
	got := fmt.Sprint(c.startOrder(6))
	c.is.Equal(got, "[a1 b1 none a2 b2 a3]")
}

// TestNewOwnerKeepsOrder guards against a new owner that serves the waiting jobs in
// another order, as it reads them in another order than they were accepted in.
func TestNewOwnerKeepsOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plans []hoist.Plan
		for i := range rapid.IntRange(2, 25).Draw(rt, "jobs") {
			plans = append(plans, hoist.Plan{
				ID: hoist.JobID(fmt.Sprint("p", i)), Queue: queue, Steps: []hoist.Step{step(1, wholeWorker)},
				Team:     rapid.SampledFrom([]hoist.TeamID{"", "a", "b", "c"}).Draw(rt, "team"),
				Accepted: start.Add(time.Duration(rapid.IntRange(-3000, 3000).Draw(rt, "at")) * time.Millisecond),
			})
		}
		order := func(plans []hoist.Plan, isNewOwner bool) string {
			c := newCell(t)
			c.scheduler.SetTeams([]hoist.TeamConfig{{Team: "a", Weight: 0.2}, {Team: "b", Weight: 0.4}})
			for _, p := range plans {
				if isNewOwner {
					c.scheduler.Restore(p, hoist.PlanState{Queue: queue.Name, Team: p.Team, Phase: hoist.PlanQueued, Next: 1, Steps: []hoist.StepState{{}}}, 1, c.now)
					continue
				}
				c.scheduler.Add(p, 1, c.now)
				c.wantStarts(c.pass(), 0)
			}
			c.now = start.Add(time.Second)
			c.addWorkers("w1")
			return fmt.Sprint(c.startOrder(len(plans)))
		}
		want := order(plans, false)
		if got := order(rapid.Permutation(plans).Draw(rt, "order"), true); got != want {
			rt.Fatalf("a new owner starts %v, the one before %v", got, want)
		}
	})
}
