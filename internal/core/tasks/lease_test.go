package tasks_test

import (
	"context"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/tasks"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// worker returns the worker with an id.
func (c *cell) worker(id hoist.WorkerID) *work.Worker {
	c.t.Helper()
	for _, w := range c.workers {
		if w.ID == id {
			return w
		}
	}
	c.t.Fatalf("there is no worker %q", id)
	return nil
}

// awaitRun waits until the only task of a job runs and returns its worker.
func (c *cell) awaitRun(spec hoist.JobSpec) *work.Worker {
	c.t.Helper()
	var at hoist.WorkerID
	c.waitFor("the task runs", time.Minute, func() bool {
		for _, id := range c.runningTasks(spec.ID) {
			at = id
		}
		return at != ""
	})
	return c.worker(at)
}

// TestLeaseOfUnansweredRenewal guards against a task that runs twice because the lease is
// counted from the last answered renewal, although a later one was carried out and its
// answer was lost.
func TestLeaseOfUnansweredRenewal(t *testing.T) {
	runCell(t, 2, 2, func(c *cell) {
		for _, w := range c.workers {
			w.LeaseExcess = tasks.TaskLeaseDrift
		}
		spec := batch("slow", 1, time.Minute)
		c.submit(spec)
		w := c.awaitRun(spec)
		time.Sleep(5 * time.Second)
		w.SetFault(work.Fault{Delay: 1500 * time.Millisecond, LoseRenews: 1})
		time.Sleep(2600 * time.Millisecond)
		w.SetFault(work.Fault{Unreachable: true})
		time.Sleep(time.Minute)
		c.checkInvariants([]hoist.JobSpec{spec})
	})
}

// TestLeaseOfStart guards against a task that runs twice because the lease that
// its start brought is counted from an earlier renewal. The offsets cover the time
// between two renewals.
func TestLeaseOfStart(t *testing.T) {
	const step = 50 * time.Millisecond
	for offset := time.Duration(0); offset < time.Second; offset += step {
		t.Run(offset.String(), func(t *testing.T) {
			runCell(t, 2, 1, func(c *cell) {
				w := c.workers[0]
				w.LeaseExcess = tasks.TaskLeaseDrift
				first, spec := batch("first", 1, time.Minute), batch("slow", 1, time.Minute)
				c.submit(first)
				time.Sleep(5*time.Second + offset)
				// The stop makes the owner renew at once. That renewal and all reports fail.
				w.SetFault(work.Fault{FailReports: true})
				cancelled := time.Now()
				_ = c.jobOwner(first.Team).manager.Cancel(context.Background(), hoist.JobRef{Team: first.Team, Job: first.ID})
				time.Sleep(time.Until(cancelled.Add(1800*time.Millisecond - offset)))
				w.SetFault(work.Fault{FailReports: true, Delay: 880 * time.Millisecond})
				c.submit(spec)
				c.waitFor("the task runs", time.Second, func() bool { return c.jobState(spec).Running == 1 })
				w.SetFault(work.Fault{Unreachable: true})
				c.waitFor("the worker is lost", 30*time.Second, func() bool { return c.jobState(spec).Running == 0 })
				if n := len(c.runningTasks(spec.ID)); n != 0 {
					t.Error("the task runs on the worker whose leases count as expired")
				}
			})
		})
	}
}

// TestLateRenewal guards against a task that runs twice because a renewal that had timed
// out extends the leases on a worker that cannot be reached.
func TestLateRenewal(t *testing.T) {
	const lateBy = 8 * time.Second
	runCell(t, 2, 2, func(c *cell) {
		spec := batch("cut", 1, time.Minute)
		c.submit(spec)
		w := c.awaitRun(spec)
		time.Sleep(5 * time.Second)
		w.SetFault(work.Fault{LateRenews: 1, LateBy: lateBy})
		time.Sleep(1100 * time.Millisecond)
		w.SetFault(work.Fault{Down: true})
		time.Sleep(time.Minute)
		c.checkInvariants([]hoist.JobSpec{spec})
	})
}
