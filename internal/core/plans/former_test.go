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
		time.Sleep(30 * time.Second)
		first.set(func() { first.holdsPolls = true })
		time.Sleep(3 * time.Second)
		first.set(func() {
			first.holdsPolls = false
			first.restart(true)
		})
		time.Sleep(5 * time.Second)
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
