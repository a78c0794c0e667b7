package sched_test

import (
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// TestRestartsAreReported guards against a log that does not tell that a worker has restarted,
// or why the task of an attempt there may start again.
func TestRestartsAreReported(t *testing.T) {
	c := newCell(t, "w1")
	c.is.Equal(len(c.scheduler.TakeRestarts()), 0) // the first incarnation is no restart
	c.submit("p", queue, step(1))
	c.wantStarts(c.run(), 1)
	c.scheduler.TakePresumedEnds()
	c.now = c.now.Add(time.Second)
	c.report("w1", hoist.RunnerReport{Incarnation: 2})
	restarts := c.scheduler.TakeRestarts()
	c.is.Equal(len(restarts), 1)
	c.is.Equal(restarts[0].Sign, sched.NewIncarnation)
	c.is.Equal(restarts[0].Earlier, hoist.Incarnation(1))
	c.is.Equal(restarts[0].Incarnation, hoist.Incarnation(2))
	c.is.True(restarts[0].LeaseLeft >= hoist.MaxLease)
	ends := c.scheduler.TakePresumedEnds()
	c.is.Equal(len(ends), 1)
	c.is.Equal(ends[0].SinceRestart, time.Duration(0))
	c.is.Equal(ends[0].Incarnation, hoist.Incarnation(2))
	c.is.True(ends[0].IsConfirmed)
}
