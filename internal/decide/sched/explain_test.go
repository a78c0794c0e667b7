package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// drawStep draws a step of any shape that Explain handles in another way.
func drawStep(t *rapid.T) hoist.Step {
	s := step(rapid.IntRange(1, 12).Draw(t, "count"))
	s.Need.CPU *= hoist.MilliCPU(rapid.IntRange(1, 4).Draw(t, "cores"))
	s.IsGang = rapid.Bool().Draw(t, "gang")
	s.PrefersSameRack = rapid.Bool().Draw(t, "same rack")
	s.PreferredRack = rapid.SampledFrom([]hoist.RackID{"", "r0", "r1"}).Draw(t, "rack")
	s.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "spread")
	s.Estimate = time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond
	return s
}

// TestExplainChangesNothing guards against an explanation that has an effect on the jobs:
// one of two equal cells is asked, and both must go on alike.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		asked, other := newCell(t, "w1", "w2", "w3", "w4"), newCell(t, "w1", "w2", "w3", "w4")
		is := is.NewRelaxed(rt)
		teams := []hoist.TeamConfig{{Team: "a", Weight: 0.5, Quota: hoist.Resources{CPU: 3000}}, {Team: "b", Weight: 2}}
		asked.scheduler.SetTeams(teams)
		other.scheduler.SetTeams(teams)
		for i := range rapid.IntRange(1, 8).Draw(rt, "plans") {
			id, s := hoist.JobID(fmt.Sprint("p", i)), drawStep(rt)
			team := rapid.SampledFrom([]hoist.TeamID{"", "a", "b"}).Draw(rt, "team")
			q := rapid.SampledFrom([]hoist.Queue{queue, advised}).Draw(rt, "queue")
			p := hoist.Plan{Queue: queue, Team: "a", Steps: []hoist.Step{drawStep(rt), step(1, after)}}
			asked.scheduler.Explain(p, 100, asked.now)
			for _, c := range []*cell{asked, other} {
				if team == "" {
					c.submit(id, q, s, step(1, after))
				} else {
					c.submitAs(team, id, s, step(1, after))
				}
			}
			is.Equal(asked.run(), other.run()) // the same starts
			is.Equal(asked.requests, other.requests)
			asked.advance(100 * time.Millisecond)
			other.advance(100 * time.Millisecond)
		}
		asked.scheduler.Explain(hoist.Plan{Queue: queue, Steps: []hoist.Step{drawStep(rt)}}, 100, asked.now)
		is.Equal(asked.scheduler.Unrecorded("", true, 100, asked.now), other.scheduler.Unrecorded("", true, 100, other.now))
		is.Equal(asked.scheduler.Backlog(), other.scheduler.Backlog())
		is.Equal(asked.scheduler.Teams(), other.scheduler.Teams())
		is.Equal(asked.scheduler.NumJobs(), other.scheduler.NumJobs())
		is.Equal(asked.scheduler.TakeNearWaits(), other.scheduler.TakeNearWaits())
	})
}

// TestExplainPredictsStarts guards against an explanation that names other workers than
// the scheduler then chooses.
func TestExplainPredictsStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(t, "w1", "w2", "w3", "w4")
		is := is.NewRelaxed(rt)
		for i := range rapid.IntRange(0, 3).Draw(rt, "plans") {
			c.submit(hoist.JobID(fmt.Sprint("p", i)), queue, drawStep(rt))
		}
		c.run()
		c.advance(500 * time.Millisecond)
		c.run()
		s := drawStep(rt)
		now := c.now.Add(time.Millisecond)
		e := c.scheduler.Explain(hoist.Plan{Queue: queue, Steps: []hoist.Step{s}}, 100, now).Steps[0]
		want := make(map[hoist.WorkerID]int)
		for _, w := range e.Candidates {
			if w.Placed > 0 {
				want[w.Worker] = w.Placed
			}
		}
		c.scheduler.TakeNearWaits()
		c.submit("new", queue, s)
		got := make(map[hoist.WorkerID]int)
		for _, st := range c.run() {
			if st.Run.Task.Job == "new" {
				got[st.Worker]++
			}
		}
		is.Equal(got, want)
		is.True(e.WaitsFor == "" || c.scheduler.TakeNearWaits().Begun > 0)
	})
}

// TestExplainCauses guards against wrong reasons for workers that take no task.
func TestExplainCauses(t *testing.T) {
	cases := []struct {
		name   string
		step   hoist.Step
		change func(*cell)
		want   string
	}{
		{"room", step(1), nil, ""},
		{"task larger than a worker", step(1, func(s *hoist.Step) { s.Need.CPU = 9000 }), nil, string(place.TooFewCores)},
		{"too little memory on any worker", step(1, func(s *hoist.Step) { s.Need.Memory = 9000 }), nil, string(place.TooLittleMemory)},
		{"no accelerators", step(1, func(s *hoist.Step) { s.Need.Accel = 1 }), nil, string(place.TooFewAccelerators)},
		{"full worker", step(1), func(c *cell) { c.submit("full", queue, step(8)); c.run() }, string(place.NoCoresFree)},
		{"no memory left", step(1), func(c *cell) {
			c.submit("full", queue, step(1, func(s *hoist.Step) { s.Need.Memory = 8000 }))
			c.run()
		}, string(place.NoMemoryFree)},
		{"missing label", step(1, func(s *hoist.Step) { s.Requires = "b" }), nil, "without the required label"},
		{"leaving", step(1), func(c *cell) { c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.IsLeaving = true }) }, string(place.Leaving)},
		{"other service", step(1), func(c *cell) { c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.Service = "x" }) }, "of another service"},
		{"old report", step(1), func(c *cell) { c.now = c.now.Add(3 * time.Second) }, "without a recent report"},
		{"orphan", step(1), func(c *cell) {
			c.report("w1", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: hoist.TaskRun{Attempt: 3}}}})
		}, "with attempts that may still run although no task expects them"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t, "w1")
			if tc.change != nil {
				tc.change(c)
			}
			e := c.scheduler.Explain(hoist.Plan{Queue: queue, Steps: []hoist.Step{tc.step}}, 10, c.now).Steps[0]
			is.Equal(len(e.Candidates), 1)
			is.Equal(string(e.Candidates[0].Cause), tc.want)
			is.Equal(e.Placed == 1, tc.want == "")
			is.Equal(len(e.Refusals) == 0, tc.want == "")
		})
	}
}

// TestExplainPosition guards against a wrong place in the order, and against an expected
// start that leaves out the jobs before.
func TestExplainPosition(t *testing.T) {
	is := is.New(t)
	c := newCell(t, "w1", "w2")
	urgent := queue
	urgent.Priority = 1
	c.submit("running", queue, step(16, taking(time.Second)))
	c.submit("urgent", urgent, step(8))
	c.submit("later", other, step(4))
	c.run()
	p := hoist.Plan{Queue: queue, Steps: []hoist.Step{step(2), step(1, after)}}
	e := c.scheduler.Explain(p, 1, c.now)
	is.Equal(e.Ahead, 1)
	is.Equal(e.Waiting, 2)
	is.Equal(len(e.Steps[0].Candidates), 1)
	is.Equal(e.Steps[0].Placed, 0)
	first := e.Steps[0].StartsIn
	is.True(e.Steps[0].IsStartKnown && first > 500*time.Millisecond && first < 1500*time.Millisecond)
	is.True(e.Steps[1].IsStartKnown && e.Steps[1].StartsIn >= first+900*time.Millisecond)
	p.Queue = urgent
	is.True(c.scheduler.Explain(p, 1, c.now.Add(-time.Second)).Steps[0].StartsIn > 0)
	p.Steps = []hoist.Step{step(1, func(s *hoist.Step) { s.Need.CPU = 9000 })}
	is.True(!c.scheduler.Explain(p, 1, c.now).Steps[0].IsStartKnown)
}

// TestExplainTeam guards against an explanation without the usage of the team, or one that
// does not tell that the plan would be beyond the team's rate.
func TestExplainTeam(t *testing.T) {
	is := is.New(t)
	c := newCell(t, "w1")
	c.scheduler.SetTeams([]hoist.TeamConfig{{Team: "a", Weight: 0.1, Quota: hoist.Resources{CPU: 3000}}})
	c.submitAs("a", "first", step(2))
	c.run()
	got := c.scheduler.Explain(hoist.Plan{Queue: queue, Team: "a", Steps: []hoist.Step{step(1)}}, 1, c.now).Team
	is.Equal(got.Team, hoist.TeamID("a"))
	is.Equal(got.Used.CPU, hoist.MilliCPU(2000))
	is.Equal(got.Quota.CPU, hoist.MilliCPU(3000))
	is.True(got.IsBeyondRate) // a tenth of a plan a second does not cover a second plan
	is.Equal(c.scheduler.Explain(hoist.Plan{Queue: queue, Steps: []hoist.Step{step(1)}}, 1, c.now).Team, hoist.TeamStanding{})
}
