package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// RestartSign tells what showed that a worker has restarted under its id.
type RestartSign string

// The signs.
const (
	// ClockSetBack means that the answer to a request showed a clock that was set back.
	ClockSetBack RestartSign = "clock"
	// NewIncarnation means that a report named another incarnation than the one before.
	NewIncarnation RestartSign = "report"
)

// Restart tells that a worker has restarted under its id.
type Restart struct {
	Worker hoist.WorkerID
	Sign   RestartSign
	// Earlier is the incarnation of before, and Incarnation the new one; that is 0 if the
	// sign does not tell it.
	Earlier, Incarnation hoist.Incarnation
	// LeaseLeft is how long attempts on the worker may run without another lease.
	LeaseLeft time.Duration
}

// TakeRestarts returns the restarts that were shown since the last call.
func (sc *Scheduler) TakeRestarts() []Restart {
	out := sc.restarts
	sc.restarts = nil
	return out
}

// addRestart records a sign of a restart for TakeRestarts.
func (sc *Scheduler) addRestart(w *Worker, sign RestartSign, earlier, incarnation hoist.Incarnation, now time.Time) {
	sc.restarts = append(sc.restarts, Restart{
		Worker: w.entry.Worker, Sign: sign, Earlier: earlier, Incarnation: incarnation, LeaseLeft: w.leaseExpiresAt.Sub(now),
	})
}
