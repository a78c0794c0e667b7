package sched_test

import (
	"testing"

	hoist "fuchsiahoist.example/hoist"
)

func noCPU(s *hoist.Step) { s.Need = hoist.Resources{Memory: 1} }

// TestQuotaIsReserved guards against a gang or a large task that waits forever for the quota
// of its team, as smaller jobs take what becomes free, and against jobs that wait for one
// that needs more than half of the quota or another resource.
func TestQuotaIsReserved(t *testing.T) {
	cases := []struct {
		name  string
		large hoist.Step
		small hoist.Step
		// startsAfter is the number of ends after which the large step starts, or 0 if it
		// does not.
		startsAfter int
		// smallStarts is how many of the 30 small jobs start at once.
		smallStarts int
	}{
		{"gang", step(4, gang), step(1), 4, 0},
		{"large task", step(1, needs(3000)), step(1), 3, 0},
		{"gang of more than half of the quota", step(5, gang), step(1), 0, 0},
		{"jobs that need another resource", step(4, gang), step(1, noCPU), 4, 30},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1", "w2")
			c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(8000)})
			c.submitMany("a", "0", 8, step(1))
			running := c.run()
			c.wantStarts(running, 8)
			c.submitAs("a", "large", k.large)
			c.submitMany("a", "small", 30, k.small)
			c.wantStarts(c.run(), k.smallStarts)
			ends := make(map[hoist.WorkerID]hoist.EndNo)
			for i, s := range running {
				ends[s.Worker]++
				c.reportEnd(ends[s.Worker], s, hoist.EndDone, running[i+1:]...)
				startsLarge := false
				for _, s := range c.pass() {
					startsLarge = startsLarge || s.Run.Task.Job == "large"
				}
				if want := k.startsAfter == i+1; startsLarge != want {
					t.Fatalf("the large step starts after %d ends: %t, expected %t", i+1, startsLarge, want)
				}
				if startsLarge {
					return
				}
			}
		})
	}
}
