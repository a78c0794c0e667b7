package hostd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/plans"
)

// TestDelayStopWhileStoreIsSlow guards against a takeover while the store is slow,
// when it takes seconds, and against an owner that does not stop in time.
func TestDelayStopWhileStoreIsSlow(t *testing.T) {
	for _, c := range []struct {
		name string
		term hoist.Term
		// slowFor is how long the store stays slow.
		slowFor time.Duration
		want    time.Duration
	}{
		{"host does not own the cell", 0, time.Hour, 0},
		{"fast store", 1, 0, 0},
		{"store that becomes fast", 1, 1150 * time.Millisecond, 1200 * time.Millisecond},
		{"store that stays slow", 1, time.Hour, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &Host{Clock: clock.System{}, MaxStopDelay: 3 * time.Second}
				h.init()
				if c.term > 0 {
					h.setDriver(&plans.Driver{Claim: &claim.Ownership{Term: c.term}})
				}
				h.monitored.recordOutcome(nil)
				setCommitTook := func(commitTook time.Duration) {
					h.monitored.mu.Lock()
					defer h.monitored.mu.Unlock()
					h.monitored.commitTook = commitTook
				}
				if c.slowFor > 0 {
					setCommitTook(time.Second)
				}
				timer := time.AfterFunc(c.slowFor, func() { setCommitTook(time.Millisecond) })
				defer timer.Stop()
				began := time.Now()
				h.delayStop()
				is.New(t).Equal(time.Since(began).Round(stopCheckInterval), c.want)
			})
		})
	}
}
