package sched_test

import (
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// hasStart reports whether the starts have one of a job.
func hasStart(starts []sched.Start, id hoist.JobID) bool {
	for _, s := range starts {
		if s.Run.Task.Job == id {
			return true
		}
	}
	return false
}

// TestLargeTaskBelowHalfOfQuota guards against a task that waits for the quota although its
// team uses less than half of it, and against more than one such task at a time.
func TestLargeTaskBelowHalfOfQuota(t *testing.T) {
	cases := []struct {
		name    string
		running int
		want    int
	}{
		{"below half", 1, 1},
		{"at half", 2, 0},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1", "w2")
			c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(4000)})
			c.submitAs("a", "p0", step(k.running))
			c.wantStarts(c.run(), k.running)
			c.submitAs("a", "p1", step(3, needs(3500)))
			c.wantStarts(c.run(), k.want)
			c.wantStarts(c.run(), 0)
		})
	}
}

// TestLargeTaskWaitsForArrivals guards against a task that exceeds the quota and starts before
// another start of its team has arrived, which would exceed the quota by both; and against
// small jobs that keep it from starting for good.
func TestLargeTaskWaitsForArrivals(t *testing.T) {
	c := newCell(t, "w1", "w2", "w3")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(6000)})
	c.submitAs("a", "p0", step(1))
	sent := c.pass()
	c.wantStarts(sent, 1)
	c.submitAs("a", "p1", step(1, needs(7000)))
	c.submitMany("a", "small", 2, step(1, needs(100)))
	c.wantStarts(c.pass(), 0) // p1 waits, and small jobs behind it
	c.scheduler.RecordStart(sent[0].Worker, sent[0].Run, nil, c.now)
	starts := c.run()
	c.wantStarts(starts, 1)
	c.is.True(hasStart(starts, "p1"))
}

// TestSmallJobsGoOnBesideOpenOutcome guards against a start of unknown outcome that keeps all
// jobs of its team waiting because a large task waits for it.
func TestSmallJobsGoOnBesideOpenOutcome(t *testing.T) {
	c := newCell(t, "w1", "w2", "w3")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(6000)})
	c.submitAs("a", "p0", step(1))
	sent := c.pass()
	c.scheduler.RecordStart(sent[0].Worker, sent[0].Run, hoist.ErrOutcomeUnknown, c.now)
	c.submitAs("a", "p1", step(1, needs(7000)))
	c.submitMany("a", "small", 2, step(1, needs(100)))
	c.wantStarts(c.run(), 0)
	c.now = c.now.Add(1100 * time.Millisecond)
	starts := c.run()
	c.wantStarts(starts, 2)
	c.is.True(!hasStart(starts, "p1"))
}

// TestEarlierStartIsSentBeforeLargeTask guards against an earlier job whose start is withdrawn
// for a task that exceeds the quota.
func TestEarlierStartIsSentBeforeLargeTask(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(4000)})
	c.submitAs("a", "p0", step(1))
	c.submitAs("a", "p1", step(1, needs(5000)))
	starts := c.run()
	c.wantStarts(starts, 1)
	c.is.True(hasStart(starts, "p0"))
	c.wantStarts(c.run(), 1)
}
