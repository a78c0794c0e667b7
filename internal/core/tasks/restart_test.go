package tasks_test

import (
	"context"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
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
				shard := hoist.ShardOf(hoist.KindWorker, string(w.ID))
				c.assignShard(shard, c.hosts[(int(shard)+1)%2])
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
