// Package clock provides the system clock, and waits that a context can end.
//
// # Usage
//
//	for clock.SleepOr(ctx, time.Second, due) {
//		// due was set, or a second has passed
//	}
package clock

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// System is the clock of the operating system.
type System struct{}

var _ hoist.Clock = System{}

// Now implements hoist.Clock.
func (System) Now() time.Time {
	return time.Now()
}

// Lease is the clock for leases that this host holds or grants. The time between two of
// its readings includes the time in which the machine was suspended, which other hosts
// have measured and time.Now does not count. Its readings are not to be compared with
// those of System or with a time of day.
type Lease struct {
	// startedSinceBoot and startedAt are readings at the same moment. isBootKnown is set
	// if the kernel told the first.
	startedSinceBoot time.Duration
	startedAt        time.Time
	isBootKnown      bool
	// sinceBoot returns the time since the machine was started.
	sinceBoot func() (time.Duration, bool)
}

var _ hoist.Clock = (*Lease)(nil)

// NewLease returns a clock that starts now.
func NewLease() *Lease {
	return newLease(sinceBoot)
}

func newLease(sinceBoot func() (time.Duration, bool)) *Lease {
	l := &Lease{sinceBoot: sinceBoot}
	l.startedSinceBoot, l.isBootKnown = sinceBoot()
	l.startedAt = time.Now()
	return l
}

// Now implements hoist.Clock.
func (l *Lease) Now() time.Time {
	now := time.Now()
	total, ok := l.sinceBoot()
	if !ok || !l.isBootKnown {
		return now
	}
	suspended := total - l.startedSinceBoot - now.Sub(l.startedAt)
	return now.Add(max(0, suspended))
}

// Signal sets a flag that a goroutine waits for with SleepOr. A flag is a channel with a
// buffer of one element. Signal does nothing if the flag is set already.
func Signal(flag chan struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// Sleep waits for d. It reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	return SleepOr(ctx, d, nil)
}

// SleepOr waits for d or until the flag is set, and clears the flag in the latter case. It
// reports false if ctx ended first.
func SleepOr(ctx context.Context, d time.Duration, flag <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-flag:
		return true
	case <-timer.C:
		return true
	}
}
