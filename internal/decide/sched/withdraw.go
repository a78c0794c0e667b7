package sched

import (
	"math"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Withdraw ends the handling of a job that has been quarantined: nothing of it starts or is
// recorded any more, what may run of it is stopped and holds its capacity until it has
// certainly ended, and its ends may be acknowledged. The quarantine must be recorded before, so
// that no later owner handles the job.
func (sc *Scheduler) Withdraw(id hoist.JobID, now time.Time) {
	j, ok := sc.jobs[id]
	if !ok || j.isWithdrawn {
		return
	}
	if !j.Phase.IsFinal() {
		sc.finish(j, hoist.PlanCancelled, now)
	}
	j.isWithdrawn = true
	j.recordedChange = math.MaxUint64
	delete(j.changed, id)
	sc.withdrawn[id] = j
}

// removeWithdrawn removes the withdrawn jobs of which nothing may run any more.
func (sc *Scheduler) removeWithdrawn() {
	for id, j := range sc.withdrawn {
		if j.placed == 0 {
			sc.Remove(id)
			delete(sc.withdrawn, id)
		}
	}
}
