package sched_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// quotaOfA returns the configuration of team a with a quota of CPU.
func quotaOfA(cpu hoist.MilliCPU) hoist.TeamConfig {
	return hoist.TeamConfig{Team: "a", Weight: 1, Quota: hoist.Resources{CPU: cpu}}
}

// submitAs adds a plan of a team.
func (c *cell) submitAs(team hoist.TeamID, id hoist.JobID, steps ...hoist.Step) {
	c.scheduler.Add(hoist.Plan{ID: id, Team: team, Queue: queue, Steps: steps, Accepted: c.now}, 1, c.now)
}

// wantUsed fails unless team a has the given CPU charged.
func (c *cell) wantUsed(cpu hoist.MilliCPU) {
	c.t.Helper()
	if got := c.scheduler.TeamUsage("a").Used.CPU; got != cpu {
		c.t.Fatalf("the team is charged %d mCPU, expected %d", got, cpu)
	}
}

func bestEffort(s *hoist.Step) { s.IsBestEffort = true }

func needs(cpu hoist.MilliCPU) func(*hoist.Step) {
	return func(s *hoist.Step) { s.Need.CPU = cpu }
}

// TestQuotaLimitsStarts guards against starts beyond the quota of a team, and against jobs
// that wait although the quota has room for them.
func TestQuotaLimitsStarts(t *testing.T) {
	cases := []struct {
		name   string
		quota  hoist.Resources
		step   hoist.Step
		starts int
	}{
		{"tasks that fit", hoist.Resources{CPU: 3000}, step(5), 3},
		{"no limit", hoist.Resources{}, step(5), 5},
		{"memory", hoist.Resources{CPU: 9000, Memory: 2999}, step(5), 2},
		{"negative quota is no limit", hoist.Resources{CPU: -1}, step(5), 5},
		{"task larger than the quota", hoist.Resources{CPU: 500}, step(5), 1},
		{"gang that fits", hoist.Resources{CPU: 4000}, step(4, gang), 4},
		{"gang that does not fit", hoist.Resources{CPU: 4000}, step(5, gang), 0},
		{"gang of one larger than the quota", hoist.Resources{CPU: 500}, step(1, gang), 1},
		{"best-effort tasks", hoist.Resources{CPU: 3000}, step(5, bestEffort), 3},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1", "w2")
			c.scheduler.SetTeams([]hoist.TeamConfig{{Team: "a", Weight: 1, Quota: k.quota}})
			c.submitAs("a", "p", k.step)
			c.wantStarts(c.run(), k.starts)
			c.wantStarts(c.run(), 0)
			c.wantUsed(hoist.MilliCPU(k.starts) * 1000)
		})
	}
}

// TestQuotaBlocksOneTeamOnly guards against a job that waits for the quota of its team
// and holds up jobs of other teams behind it, or smaller ones of its own.
func TestQuotaBlocksOneTeamOnly(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(1500)})
	c.submitAs("a", "p1", step(3))
	c.submitAs("a", "p2", step(2, needs(250)))
	c.submitAs("b", "p3", step(1))
	c.submit("p4", queue, step(1))
	c.wantStarts(c.run(), 5)
	c.wantUsed(1500)
}

// TestNoStartsBeforeConfiguration guards against starts beyond a quota that the owner has
// not read yet, and against jobs without a team that wait for it.
func TestNoStartsBeforeConfiguration(t *testing.T) {
	c := newCell(t, "w1")
	c.submitAs("a", "p1", step(2))
	c.submit("p2", queue, step(1))
	c.wantStarts(c.run(), 1)
	c.scheduler.SetTeams(nil)
	c.wantStarts(c.run(), 2) // a team that was never configured has no quota
}

// TestQuotaChanges guards against stops because of a lowered quota, starts above it, a
// raised quota without effect, and a team that loses its quota with its configuration.
func TestQuotaChanges(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(4000)})
	c.submitAs("a", "p", step(12))
	starts := c.run()
	c.wantStarts(starts, 4)
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(2000)})
	c.wantStarts(c.run(), 0)
	c.is.Equal(len(c.stops), 0)
	ends := make(map[hoist.WorkerID]hoist.EndNo)
	for i, s := range starts {
		ends[s.Worker]++
		c.reportEnd(ends[s.Worker], s, hoist.EndDone, starts[i+1:]...)
		if i < 2 {
			c.wantStarts(c.run(), 0) // no less than the quota runs
		}
	}
	c.wantStarts(c.run(), 2)
	c.scheduler.SetTeams(nil)
	c.wantStarts(c.run(), 0) // the last known quota counts
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(5000)})
	c.wantStarts(c.run(), 3)
}

// TestQuotaLoweredBeforeStart guards against sending starts that were chosen before the
// quota was lowered.
func TestQuotaLoweredBeforeStart(t *testing.T) {
	c := newCell(t, "w1")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(4000)})
	c.submitAs("a", "p", step(4))
	c.now = c.now.Add(time.Millisecond)
	c.scheduler.Pass(c.now, nil)
	c.wantUsed(4000)
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(1000)})
	c.wantStarts(c.record(), 1)
	c.wantUsed(1000)
}

// TestQuotaCountsWhatMayRun guards against attempts that may run and are not charged, and
// against charges that remain after their end.
func TestQuotaCountsWhatMayRun(t *testing.T) {
	cases := []struct {
		name string
		// prepare returns what is charged and what makes the charge end.
		prepare func(c *cell, s sched.Start) (charged hoist.MilliCPU, end func())
	}{
		{"unknown outcome", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.scheduler.RecordStart(s.Worker, s.Run, hoist.ErrOutcomeUnknown, c.now)
			return 1000, func() {
				c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
				c.report(s.Worker, hoist.RunnerReport{Incarnation: 1})
			}
		}},
		{"cancelled", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.scheduler.RecordStart(s.Worker, s.Run, nil, c.now)
			c.scheduler.Cancel("p", c.now)
			return 1000, func() { c.reportEnd(1, s, hoist.EndStopped) }
		}},
		{"silent worker", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.scheduler.RecordStart(s.Worker, s.Run, nil, c.now)
			return 1000, func() {
				c.now = c.now.Add(time.Minute)
				c.scheduler.Tick(c.now)
			}
		}},
		{"refused", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.scheduler.RecordStart(s.Worker, s.Run, hoist.ErrUnavailable, c.now)
			return 0, func() {}
		}},
		{"attempt that nothing expects", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.reportEnd(1, s, hoist.EndDone)
			c.wantUsed(0)
			c.report("w2", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
			return 1000, func() { c.report("w2", hoist.RunnerReport{Incarnation: 1}) }
		}},
		{"attempt that nothing expects on a silent worker", func(c *cell, s sched.Start) (hoist.MilliCPU, func()) {
			c.reportEnd(1, s, hoist.EndDone)
			c.report("w2", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
			return 1000, func() {
				c.now = c.now.Add(time.Minute)
				c.scheduler.Tick(c.now)
			}
		}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1", "w2")
			c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(1000)})
			c.submitAs("a", "p", step(1))
			starts := c.pass()
			c.wantStarts(starts, 1)
			c.wantUsed(1000)
			charged, end := k.prepare(c, starts[0])
			c.wantUsed(charged)
			end()
			c.wantUsed(0)
		})
	}
}

// TestRestoredAttemptsAreCharged guards against a new owner that starts tasks beyond the
// quota, as it does not count what earlier owners started.
func TestRestoredAttemptsAreCharged(t *testing.T) {
	c := newCell(t)
	c.scheduler = sched.NewScheduler(2, start.Add(20*time.Second))
	c.addWorkers("w1", "w2")
	p := hoist.Plan{ID: "p", Team: "a", Queue: queue, Steps: []hoist.Step{step(5)}, Accepted: c.now}
	state := hoist.PlanState{Queue: queue.Name, Team: "a", Phase: hoist.PlanRunning, Steps: []hoist.StepState{{}}}
	for i := range 2 {
		state.Steps[0].Placed = append(state.Steps[0].Placed, hoist.PlacedRun{Index: i, Attempt: 1, Worker: hoist.WorkerID(fmt.Sprint("gone", i))})
	}
	c.scheduler.Restore(p, state, 2, c.now)
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(3000)})
	c.wantUsed(2000)
	c.wantStarts(c.run(), 1)
}
