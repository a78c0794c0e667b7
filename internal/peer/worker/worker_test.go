package worker_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/work"
	"fuchsiahoist.example/hoist/internal/peer/worker"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// TestRenewReportsAllChanges guards against a report that counts as unchanged
// although a task started, ended or was acknowledged, and against a caller that
// modifies the lists of a later report.
func TestRenewReportsAllChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := &work.Worker{ID: "w", Capacity: hoist.Resources{CPU: 1000, Memory: 1000}}
	url, err := w.Start()
	is.NoErr(err)
	defer w.Close()
	c := &worker.Client{REST: &rest.Client{BaseURL: url}, ID: "w"}
	renew := func(acked ...hoist.TaskAttempt) hoist.WorkerReport {
		report, err := c.Renew(ctx, 1, time.Minute, acked)
		is.NoErr(err)
		return report
	}
	is.Equal(len(renew().Running), 0)
	a := hoist.TaskAttempt{Task: "j/0", Attempt: 1}
	is.NoErr(c.Start(ctx, hoist.Grant{Task: a.Task, Attempt: a.Attempt, Term: 1, Need: hoist.Resources{CPU: 1}, Lease: time.Minute}))
	first := renew()
	is.Equal(len(first.Running), 1)
	first.Running[0].Task = "changed by the caller"
	is.Equal(renew().Running[0].Task, a.Task) // an unchanged report lists all tasks
	is.NoErr(c.Stop(ctx, 1, a, hoist.StopNow))
	is.Equal(len(renew().Ended), 1)
	is.Equal(len(renew(a).Ended), 0) // an acknowledged end is no longer listed
}
