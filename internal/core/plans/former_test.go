package plans

import (
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestLatePollOfEarlierIncarnation guards against a task that runs twice because a poll that
// was meant for the earlier incarnation of its worker reaches the new one after the owner has
// learned of the restart: its lease is a time on the earlier clock, which the new incarnation
// takes for the longest lease.
func TestLatePollOfEarlierIncarnation(t *testing.T) {
	const taskID = hoist.JobID("00000000000000d1")
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		first, second := c.worker("first"), c.worker("second")
		c.list("first", false)
		time.Sleep(30 * time.Second) // its clock is ahead of that of the next incarnation
		first.set(func() { first.holdsPolls = true })
		time.Sleep(3 * time.Second) // a poll with a lease is held up
		first.set(func() {
			first.holdsPolls = false
			first.restart(true)
		})
		time.Sleep(5 * time.Second) // the owner counts the longest lease from the first report
		c.accept(taskID)
		is.Equal(first.numStarts(), 1)
		first.set(func() {
			is.True(len(first.heldPolls) > 0)
			first.deliverPolls()
			first.isCutOff = true
		})
		c.list("second", false)
		time.Sleep(12 * time.Second)
		is.Equal(second.numStarts(), 1) // after every lease of the first worker has expired
	})
}

// TestLateAcknowledgementInNewSession guards against a poll that acknowledges ends of the earlier
// incarnation of its worker with the token of a session that the new one begins: it would
// acknowledge ends of the new incarnation that the owner has not read.
func TestLateAcknowledgementInNewSession(t *testing.T) {
	// The phases cover the time between two polls.
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			runLeavingCell(t, func(c *leavingCell) {
				is := is.New(c.t)
				first := c.worker("first")
				c.list("first", false)
				c.accept("00000000000000d3")
				first.set(func() {
					is.Equal(len(first.running), 1)
					for run := range first.running {
						delete(first.running, run)
						first.ends = append(first.ends, hoist.RunEnd{No: 1, Run: run, Kind: hoist.EndDone})
					}
				})
				time.Sleep(5*time.Second + phase)
				first.set(func() {
					is.Equal(first.acked, hoist.EndNo(1))
					first.losesStarts, first.hangsPolls = true, true
				})
				c.accept("00000000000000d4")
				time.Sleep(time.Second)
				first.set(func() {
					first.losesStarts, first.hangsPolls = false, false
					first.restart(true)
				})
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					first.set(func() { first.wantNoLateAcknowledgement() })
				}
			})
		})
	}
}

// wantNoLateAcknowledgement fails the test if the worker, which runs a task, would carry out a
// poll that was held and acknowledges ends of its earlier incarnation.
func (w *leasedWorker) wantNoLateAcknowledgement() {
	w.cell.t.Helper()
	for _, r := range w.heldPolls {
		if r.Acked > 0 && r.Token >= w.token && w.token > 0 && len(w.running) > 0 {
			w.cell.t.Errorf("a poll with token %d acknowledges end %d of incarnation %d", r.Token, r.Acked, r.Incarnation)
		}
	}
}

// TestRestartedWorkerLosesItsEntry guards against a task that runs twice because the registry had
// no entry of its worker for a moment, so that the owner forgot the lease that the worker may
// hold on the clock of an earlier incarnation.
func TestRestartedWorkerLosesItsEntry(t *testing.T) {
	const taskID = hoist.JobID("00000000000000d2")
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		first, second := c.worker("first"), c.worker("second")
		c.list("first", false)
		time.Sleep(30 * time.Second)
		first.set(func() { first.holdsPolls = true })
		time.Sleep(1500 * time.Millisecond)
		first.set(func() {
			first.holdsPolls = false
			first.restart(true)
			is.True(len(first.heldPolls) > 0)
			first.deliverPolls()
		})
		time.Sleep(500 * time.Millisecond)
		c.unlist("first")
		time.Sleep(500 * time.Millisecond)
		c.list("first", false)
		c.accept(taskID)
		is.Equal(first.numStarts(), 1)
		first.set(func() { first.isCutOff = true })
		c.list("second", false)
		time.Sleep(14 * time.Second)
		is.Equal(second.numStarts(), 1)
	})
}
