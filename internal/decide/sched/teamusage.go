package sched

import (
	"cmp"
	"math"
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

// Teams returns what the scheduler knows of the teams that have waiting jobs or anything
// running, sorted by name, and nil if it knows no team. The shares are of the capacity in the
// last pass.
func (sc *Scheduler) Teams() []hoist.TeamUsage {
	if len(sc.teams.byID) == 0 {
		return nil
	}
	byTeam := make(map[*team]*hoist.TeamUsage, len(sc.teams.byID))
	for id, t := range sc.teams.byID {
		u := t.account.Usage()
		byTeam[t] = &hoist.TeamUsage{Team: id, Used: u.Used, Quota: configuredQuota(u.Limit)}
	}
	for _, j := range sc.jobs {
		if j.team != nil && !j.Phase.IsFinal() && j.hasWaiting() {
			sc.countWaiting(byTeam[j.team], j)
		}
	}
	sc.measureCapacity()
	out := []hoist.TeamUsage{}
	var held, weights float64
	for t, u := range byTeam {
		u.Share = sc.fair.share(u.Used)
		if u.Waiting > 0 || u.Used != (hoist.Resources{}) {
			held += u.Share
			weights += t.weight
		}
	}
	for t, u := range byTeam {
		if u.Waiting > 0 || u.Used != (hoist.Resources{}) {
			u.FairShare = held * t.weight / weights
			out = append(out, *u)
		}
	}
	slices.SortFunc(out, func(x, y hoist.TeamUsage) int { return cmp.Compare(x.Team, y.Team) })
	return out
}

// countWaiting counts a job with waiting tasks.
func (sc *Scheduler) countWaiting(u *hoist.TeamUsage, j *Job) {
	u.Waiting++
	if j.rate.IsBeyond {
		u.BeyondRate++
	}
	isReady, fits, isTooLarge := false, false, false
	for _, s := range j.steps {
		if s.waiting == 0 || !j.isReady(s) {
			continue
		}
		isReady = true
		fits = fits || sc.fitsQuota(s)
		isTooLarge = isTooLarge || j.team.isTooLarge(s)
	}
	if isReady && !fits {
		u.AtQuota++
	}
	if isTooLarge {
		u.TooLarge++
	}
}

// isTooLarge reports whether a gang needs more than the whole quota of the team. A gang of
// one task may exceed it.
func (t *team) isTooLarge(s *StepTasks) bool {
	n := int64(len(s.Tasks))
	if !s.Step.IsGang || n < 2 {
		return false
	}
	need, limit := s.Step.Need, t.account.Usage().Limit
	total := hoist.Resources{CPU: need.CPU * hoist.MilliCPU(n), Memory: need.Memory * hoist.MiB(n), Accel: need.Accel * hoist.Accelerators(n)}
	return !total.Fits(limit)
}

// AreTeamsUnknown reports whether a job waits because SetTeams was not called yet.
func (sc *Scheduler) AreTeamsUnknown() bool {
	return !sc.teams.isConfigured && len(sc.teams.byID) > 0
}

// configuredQuota returns a quota as it is configured: 0 where there is no limit.
func configuredQuota(limit hoist.Resources) hoist.Resources {
	if limit.CPU == math.MaxInt64 {
		limit.CPU = 0
	}
	if limit.Memory == math.MaxInt64 {
		limit.Memory = 0
	}
	if limit.Accel == math.MaxInt64 {
		limit.Accel = 0
	}
	return limit
}
