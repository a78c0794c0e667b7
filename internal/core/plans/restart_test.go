package plans

import (
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestStartAtRestartedWorkerKeepsItsLease guards against a task that runs twice because
// its start reached a worker that had just restarted: the lease in the start is a time on
// the clock of the earlier incarnation, which the new one takes for a much longer lease
// than the owner waits for.
func TestStartAtRestartedWorkerKeepsItsLease(t *testing.T) {
	const taskID = hoist.JobID("00000000000000c1")
	for _, c := range []struct {
		name string
		// resetsConns is set if the restart breaks the poll that waits.
		resetsConns bool
		// isCutOffAtOnce is set if the worker is cut off when it has carried the start out,
		// without an answer.
		isCutOffAtOnce bool
	}{
		{name: "poll has failed", resetsConns: true},
		{name: "poll has not failed yet"},
		{name: "poll has failed and the start gets no answer", resetsConns: true, isCutOffAtOnce: true},
		{name: "poll has not failed yet and the start gets no answer", isCutOffAtOnce: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runLeavingCell(t, func(cell *leavingCell) {
				is := is.New(cell.t)
				first, second := cell.worker("first"), cell.worker("second")
				cell.list("first", false)
				time.Sleep(30 * time.Second)
				first.set(func() {
					first.restart(c.resetsConns)
					first.losesPolls, first.isCutOffByStart = true, c.isCutOffAtOnce
				})
				time.Sleep(50 * time.Millisecond)
				cell.accept(taskID)
				first.set(func() { first.isCutOff = true })
				cell.list("second", false)
				time.Sleep(12 * time.Second)
				is.Equal(second.numStarts(), 1) // every lease of the first worker has expired
			})
		})
	}
}

// TestLeaseOnClockOfEarlierIncarnation guards against a lease that is granted by the clock
// of an earlier incarnation of a worker, lasts as long as the worker accepts, and counts as
// expired while the task still runs under it.
func TestLeaseOnClockOfEarlierIncarnation(t *testing.T) {
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("restarted", false)
		time.Sleep(20 * time.Second)
		w, other := c.worker("restarted"), c.worker("other")
		w.set(func() { w.restart(false) })
		// The start may arrive before the next answered poll shows the new clock.
		c.accept("00000000000000a1")
		is.Equal(w.numStarts(), 1)
		c.list("other", false)
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.refusesAll = true })
		time.Sleep(20 * time.Second)
		is.Equal(other.numStarts(), 1)
	})
}

// TestRestartedWorkerGetsTasksAtOnce guards against a worker that gets no tasks for the length
// of a poll after its restart, although a report has shown its new incarnation.
func TestRestartedWorkerGetsTasksAtOnce(t *testing.T) {
	runLeavingCell(t, func(c *leavingCell) {
		c.list("restarted", false)
		time.Sleep(20 * time.Second)
		w := c.worker("restarted")
		w.set(func() {
			w.restart(false)
			w.restarts-- // the poll that waits is answered by the new incarnation
			w.firstIncarnation++
			w.reports = 0
		})
		for hasReported := false; !hasReported; time.Sleep(10 * time.Millisecond) {
			w.set(func() { hasReported = w.reports > 0 })
		}
		c.submit("00000000000000a1")
		time.Sleep(pollWait / 2)
		is.New(c.t).Equal(w.numStarts(), 1)
	})
}

// TestFirstPollDoesNotWait guards against starts that wait for the length of a poll, and against a
// worker that is polled without a pause.
func TestFirstPollDoesNotWait(t *testing.T) {
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("worker", false)
		time.Sleep(200 * time.Millisecond)
		w := c.worker("worker")
		w.set(func() { is.Equal(w.reports, 1) }) // the second one waits
		time.Sleep(10 * pollWait)
		w.set(func() { is.True(w.reports <= 13) })
	})
}
