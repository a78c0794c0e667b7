package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLeaseCountsSuspendedTime guards against a host that acts on a lease which has
// expired while its machine was suspended.
func TestLeaseCountsSuspendedTime(t *testing.T) {
	const suspended = 7 * time.Second
	booted := time.Now()
	for _, c := range []struct {
		name      string
		suspended time.Duration
		isKnown   bool
		want      time.Duration
	}{
		{"machine was not suspended", 0, true, time.Second},
		{"machine was suspended", suspended, true, time.Second + suspended},
		{"kernel does not tell", suspended, false, time.Second},
		{"clock of the kernel is behind", -time.Millisecond, true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				offset := time.Duration(0)
				l := newLease(func() (time.Duration, bool) { return time.Since(booted) + offset, c.isKnown })
				began := l.Now()
				time.Sleep(time.Second)
				offset = c.suspended
				is.New(t).Equal(l.Now().Sub(began), c.want)
			})
		})
	}
	t.Run("kernel tells only later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sinceBoot := time.Duration(0)
			l := newLease(func() (time.Duration, bool) { return sinceBoot, sinceBoot > 0 })
			began := l.Now()
			sinceBoot = time.Hour
			is.New(t).Equal(l.Now().Sub(began), time.Duration(0))
		})
	})
	t.Run("clock of this system", func(t *testing.T) {
		l := NewLease()
		began := l.Now()
		is.New(t).True(!l.Now().Before(began))
		is.New(t).True(time.Until(l.Now()) < time.Second)
	})
}
