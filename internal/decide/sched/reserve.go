package sched

import hoist "fuchsiahoist.example/hoist"

// reservation keeps the rest of a team's quota for a step that does not fit into it, during
// the pass with number passNo. Without it, smaller jobs of the team that come later in the
// order would take whatever becomes free, and a gang or a large task would wait forever.
type reservation struct {
	passNo uint64
	// isShort tells of each resource whether the step lacks it.
	isShort [3]bool
}

// amounts returns the amounts of the resources.
func amounts(r hoist.Resources) [3]int64 {
	return [...]int64{int64(r.CPU), int64(r.Memory), int64(r.Accel)}
}

// reserveQuota reserves the rest of the quota for the first ready step of a job that does
// not fit into it.
func (sc *Scheduler) reserveQuota(j *Job) {
	if !sc.teams.isConfigured || sc.hasReservation(j.team) {
		return
	}
	for _, s := range j.readySteps() {
		if !sc.fitsQuota(s) && sc.reserve(s) {
			return
		}
	}
}

// hasReservation reports whether the rest of the quota of a team is reserved in this pass.
func (sc *Scheduler) hasReservation(t *team) bool {
	return t.reservation.passNo == sc.passNo && t.reservation != reservation{}
}

// maxHold bounds how long the other starts of a team are held back at a time until a task may
// start that exceeds the quota. A start is on its way for at most longestCall, unless a fault
// leaves its outcome open for longer; the team's other jobs then go on for as long.
const maxHold = 2 * longestCall

// holdStarts reserves the whole quota of a team for a step that does not fit into the rest and
// may start as soon as no start is on its way. It reports false if there is no such reason to
// wait, no worker has room for the step, or the wait has taken too long for now.
func (sc *Scheduler) holdStarts(s *StepTasks) bool {
	t := s.Job.team
	isSingle := !s.Step.IsGang || len(s.Tasks) == 1
	if !isSingle || !t.account.AwaitsArrivals() || !sc.mayFit(s, demand(s.Step)) {
		return false
	}
	if t.heldSince.IsZero() {
		t.heldSince = sc.passAt
	}
	if sc.passAt.Sub(t.heldSince)%(2*maxHold) > maxHold {
		return false
	}
	t.reservation = reservation{passNo: sc.passNo, isShort: [3]bool{true, true, true}}
	return true
}

// reserve reserves the rest of the quota of a team for a step. It reports false if the step
// needs more than half of the quota: jobs must not wait for such a step while their team
// uses less than half of its quota. For others, the team uses more than half of it.
func (sc *Scheduler) reserve(s *StepTasks) bool {
	if sc.holdStarts(s) {
		return true
	}
	t, n := s.Job.team, int64(1)
	if s.Step.IsGang {
		n = int64(len(s.Tasks))
	}
	u := t.account.Usage()
	need, used, limit := amounts(s.Step.Need), amounts(u.Used), amounts(u.Limit)
	r := reservation{passNo: sc.passNo}
	for i := range need {
		if n*need[i] > limit[i]/2 {
			return false
		}
		r.isShort[i] = need[i] > 0 && n*need[i] > limit[i]-used[i]
	}
	t.reservation = r
	return true
}

// isReserved reports whether a resource that a step needs is reserved for an earlier one of
// its team. Long-running tasks are not held back: what other long-running tasks of the team use
// does not become free, so that the earlier step may wait forever.
func (sc *Scheduler) isReserved(s *StepTasks) bool {
	t := s.Job.team
	if s.Step.IsLongRunning || !sc.hasReservation(t) {
		return false
	}
	for i, need := range amounts(s.Step.Need) {
		if need > 0 && t.reservation.isShort[i] {
			return true
		}
	}
	return false
}
