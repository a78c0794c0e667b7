package member

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/clock"
)

// suspendedClock is the clock of a machine that was suspended for some time.
type suspendedClock struct {
	suspended time.Duration
}

// Now implements hoist.Clock.
func (c *suspendedClock) Now() time.Time {
	return time.Now().Add(c.suspended)
}

// TestSuspendedHostHoldsNoLease guards against a host that goes on as an owner after its
// machine was suspended for longer than its lease.
func TestSuspendedHostHoldsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := &suspendedClock{}
		m := &Manager{Clock: clock.System{}, LeaseClock: machine}
		m.lease.Extend(m.leaseNow())
		m.held[1] = heldShard{term: 2}
		_, isOwner := m.Owns(1)
		is.True(m.IsReady() && isOwner)
		machine.suspended = 5 * time.Second
		_, isOwner = m.Owns(1)
		is.True(!m.IsReady() && !isOwner)
	})
}
