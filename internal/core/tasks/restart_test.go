package tasks_test

import (
	"context"
	"slices"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// TestTermOfRestartedWorker guards against a worker that restarts between two renewals
// and takes calls of a replaced owner from then on, as nobody tells it the term.
func TestTermOfRestartedWorker(t *testing.T) {
	// maxTermDelay is how long a new process of a worker may be without the term.
	const maxTermDelay = 6 * time.Second
	for _, isIdle := range []bool{true, false} {
		name := "with a task"
		if isIdle {
			name = "idle"
		}
		t.Run(name, func(t *testing.T) {
			runCell(t, 2, 1, func(c *cell) {
				w := c.workers[0]
				c.replaceOwners()
				time.Sleep(5 * time.Second)
				if !isIdle {
					c.submit(batch("job", 1, time.Minute))
					time.Sleep(2 * time.Second)
				}
				w.Restart()
				time.Sleep(maxTermDelay)
				late := hoist.Grant{Task: "old/0", Job: "old", Team: "t-old", Attempt: 1, Need: need(1), Term: 1, Lease: 10 * time.Second}
				if err := w.Direct().Start(context.Background(), late); err == nil {
					t.Errorf("a start of term 1 was carried out %s after a restart; the worker has term %d, its owner term 2", maxTermDelay, w.Term())
				}
			})
		})
	}
}

// replaceOwners gives each worker the next host as its owner.
func (c *cell) replaceOwners() {
	for _, w := range c.workers {
		shard := hoist.ShardOf(hoist.KindWorker, string(w.ID))
		owner := slices.Index(c.hosts, c.workerOwner(w.ID))
		c.assignShard(shard, c.hosts[(owner+1)%len(c.hosts)])
	}
}

// TestLateStartAtNewWorkerProcess guards against a task that runs twice because its first
// start arrives at a new process of the worker, which neither knows that the attempt was
// stopped nor the term.
func TestLateStartAtNewWorkerProcess(t *testing.T) {
	const lateBy = 20 * time.Second
	for _, tc := range []struct {
		name string
		// restartBefore is how long before the arrival of the start the worker restarts.
		restartBefore time.Duration
		// isReplaced gives the worker another owner meanwhile.
		isReplaced bool
	}{
		{"attempt was stopped", 10 * time.Second, false},
		{"owner was replaced", 100 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCell(t, 2, 2, func(c *cell) {
				spec := batch("late", 1, time.Minute)
				for _, w := range c.workers {
					w.SetFault(work.Fault{LateStarts: 1, LateBy: lateBy})
				}
				sent := time.Now()
				c.submit(spec)
				time.Sleep(200 * time.Millisecond)
				for _, w := range c.workers {
					w.SetFault(work.Fault{})
				}
				running := c.awaitRun(spec)
				if tc.isReplaced {
					c.replaceOwners()
				}
				time.Sleep(time.Until(sent.Add(lateBy - tc.restartBefore)))
				for _, w := range c.workers {
					if w != running {
						w.Restart()
					}
				}
				time.Sleep(2 * time.Minute)
				c.checkInvariants([]hoist.JobSpec{spec})
			})
		})
	}
}
