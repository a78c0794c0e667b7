package hostd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/drive"
)

// TestStay guards against a takeover in the middle of a slow store, where it takes
// seconds, and against an owner that does not leave in time.
func TestStay(t *testing.T) {
	for _, c := range []struct {
		name string
		term hoist.Term
		// slowFor is how long the store stays slow.
		slowFor time.Duration
		want    time.Duration
	}{
		{"no owner", 0, time.Hour, 0},
		{"quick store", 1, 0, 0},
		{"store that turns quick", 1, 1150 * time.Millisecond, 1200 * time.Millisecond},
		{"store that stays slow", 1, time.Hour, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &Host{Clock: clock.System{}, MaxStopDelay: 3 * time.Second}
				h.init()
				if c.term > 0 {
					h.setDriver(&drive.Driver{Claim: &claim.Ownership{Term: c.term}})
				}
				h.watched.note(nil)
				setTook := func(took time.Duration) {
					h.watched.mu.Lock()
					defer h.watched.mu.Unlock()
					h.watched.took = took
				}
				if c.slowFor > 0 {
					setTook(time.Second)
				}
				timer := time.AfterFunc(c.slowFor, func() { setTook(time.Millisecond) })
				defer timer.Stop()
				began := time.Now()
				h.stay()
				is.New(t).Equal(time.Since(began).Round(stayCheck), c.want)
			})
		})
	}
}
