package sched_test

import (
	"testing"

	hoist "fuchsiahoist.example/hoist"
)

// TestTeamUsageTellsWhyJobsWait guards against metrics and log lines that name the wrong
// reason for a waiting job.
func TestTeamUsageTellsWhyJobsWait(t *testing.T) {
	c := newCell(t, "w1")
	c.is.Equal(len(c.scheduler.Teams()), 0)
	c.scheduler.SetTeams([]hoist.TeamConfig{
		{Team: "a", Weight: 3000, Quota: hoist.Resources{CPU: 2000}}, {Team: "b", Weight: 0.1}, {Team: "c", Weight: 1000},
	})
	c.submitMany("a", "a", 3, step(1))
	c.submitAs("a", "a-gang", step(3, gang))
	c.submitMany("b", "b", 2, step(10))
	c.run()
	want := map[hoist.TeamID]hoist.TeamUsage{
		"a": {
			Team: "a", Waiting: 2, AtQuota: 2, TooLarge: 1, Used: hoist.Resources{CPU: 2000, Memory: 2000}, Quota: hoist.Resources{CPU: 2000},
			Share: 0.25,
		},
		"b": {Team: "b", Waiting: 2, BeyondRate: 1, Used: hoist.Resources{CPU: 6000, Memory: 6000}, Share: 0.75},
	}
	got := c.scheduler.Teams()
	c.is.Equal(len(got), 2) // team c has no jobs
	for _, u := range got {
		c.is.True(u.FairShare > 0)
		u.FairShare = 0
		c.is.Equal(u, want[u.Team])
	}
	c.is.True(got[0].FairShare > 0.99) // 3,000 of 3,000.1
}
