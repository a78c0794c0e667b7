package plans

import (
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestLateStartAfterExpiredLease guards against a task that runs twice because its first
// start arrives after the lease of its worker had expired and was granted anew.
func TestLateStartAfterExpiredLease(t *testing.T) {
	const taskID = hoist.JobID("00000000000000b1")
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("first", false)
		time.Sleep(time.Second)
		first, second := c.worker("first"), c.worker("second")
		first.set(func() { first.isCutOff = true })
		c.accept(taskID)
		c.list("second", false)
		time.Sleep(8 * time.Second)
		is.Equal(second.numStarts(), 0) // a start without an answer may have reached a restarted worker
		time.Sleep(4 * time.Second)
		is.Equal(second.numStarts(), 1) // each lease has expired
		first.set(func() { first.isCutOff = false })
		time.Sleep(3 * time.Second)
		first.set(func() {
			is.Equal(len(first.heldStarts), 1)
			is.True(time.Now().Before(first.leaseUntil)) // the worker may take tasks again
			first.deliverStarts()
		})
		is.Equal(first.numStarts(), 0)
	})
}
