package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/quota"
	"fuchsiahoist.example/hoist/internal/decide/rate"
)

// team is what the scheduler knows of a team.
type team struct {
	// account holds every attempt that may run: it is charged where a task gets a worker
	// and refunded where the capacity on the worker is freed.
	account quota.Account
	// bucket judges which jobs are within the rate of the team.
	bucket rate.Bucket
	// weight is the weight of the team among those that compete for capacity.
	weight      float64
	competition competition
	reservation reservation
	// heldSince is when starts were first held back for a task that exceeds the quota. It is
	// zero again once no start is on its way.
	heldSince time.Time
}

// defaultWeight is the weight of a team without a valid one.
const defaultWeight = 1

// teams holds the teams of the configuration and those of the jobs.
type teams struct {
	byID map[hoist.TeamID]*team
	// isConfigured is set once the configuration was read, and configured is the last one.
	isConfigured bool
	configured   []hoist.TeamConfig
	// unsettled holds the teams whose bucket has to be settled.
	unsettled map[*team]bool
}

// SetTeams sets the quotas and rates of the teams. Until it was called, no job that has a
// team is started. A team that is no longer configured keeps its last ones, and one that
// never was has none. The caller must not modify configured afterwards.
func (sc *Scheduler) SetTeams(configured []hoist.TeamConfig) {
	ts := &sc.teams
	if ts.isConfigured && isSameSlice(ts.configured, configured) {
		return
	}
	ts.isConfigured, ts.configured = true, configured
	for _, c := range configured {
		t := sc.team(c.Team)
		t.account.SetLimit(quota.LimitOf(c.Quota))
		t.bucket.SetRate(c.Weight)
		t.weight = defaultWeight
		if c.Weight > 0 && !math.IsInf(c.Weight, 1) {
			t.weight = c.Weight
		}
		if !t.bucket.IsSettled() {
			ts.unsettled[t] = true
		}
	}
}

// isSameSlice reports whether x and y are the same slice in memory. A new configuration has
// a new slice, so that an unchanged one need not be compared in each pass.
func isSameSlice[T any](x, y []T) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// team returns a team and adds it, without a quota, if it is not known.
func (sc *Scheduler) team(id hoist.TeamID) *team {
	t, ok := sc.teams.byID[id]
	if !ok {
		t = &team{weight: defaultWeight}
		t.account.SetLimit(quota.Unlimited)
		sc.teams.byID[id] = t
	}
	return t
}

// addToTeam adds a new job to its team, if it has one.
func (sc *Scheduler) addToTeam(j *Job) {
	if j.Plan.Team == "" {
		return
	}
	j.team = sc.team(j.Plan.Team)
	j.rate = j.team.bucket.Add(j.Plan.Accepted, j.Plan.ID)
	sc.teams.unsettled[j.team] = true
	for i := range j.Plan.Steps {
		need := j.Plan.Steps[i].Need
		if i == 0 {
			j.leastNeed = need
		}
		j.leastNeed.CPU = min(j.leastNeed.CPU, need.CPU)
		j.leastNeed.Memory = min(j.leastNeed.Memory, need.Memory)
		j.leastNeed.Accel = min(j.leastNeed.Accel, need.Accel)
	}
}

// isBlocked reports whether no task of a job may start whatever the workers have free, as
// the configuration is not known or the quota of its team has no room for any of them. It
// saves looking at the steps of jobs that wait for a quota.
func (sc *Scheduler) isBlocked(j *Job) bool {
	return j.team != nil && (!sc.teams.isConfigured || !j.team.account.CanStart(j.leastNeed, 1))
}

// settleRates judges which jobs are within the rate of their team.
func (sc *Scheduler) settleRates(now time.Time) {
	for t := range sc.teams.unsettled {
		t.bucket.Settle(now)
	}
	clear(sc.teams.unsettled)
}

// TeamUsage returns what a team has running, and its quota.
func (sc *Scheduler) TeamUsage(id hoist.TeamID) quota.Usage {
	if t, ok := sc.teams.byID[id]; ok {
		return t.account.Usage()
	}
	return quota.Usage{Limit: quota.Unlimited}
}

func (t *team) charge(need hoist.Resources) {
	t.account.Charge(need)
	t.competition.isMeasured = false
}

func (t *team) refund(need hoist.Resources) {
	t.account.Refund(need)
	t.competition.isMeasured = false
}

// charge charges an attempt at a task of a step to the team of its job. A best-effort
// task counts the CPU that it declares: it can use that much.
func (s *StepTasks) charge() {
	if s.Job.team != nil {
		s.Job.team.charge(s.Step.Need)
	}
}

// refund undoes charge.
func (s *StepTasks) refund() {
	if s.Job.team != nil {
		s.Job.team.refund(s.Step.Need)
	}
}

// startable returns how many tasks of a step the quota of its team, and its share while
// teams may only reach theirs, allow to start.
func (sc *Scheduler) startable(s *StepTasks) int {
	t := s.Job.team
	if t == nil {
		return len(s.Tasks)
	}
	return sc.withinShare(s, t.account.Startable(s.Step.Need))
}

// fitsQuota reports whether the quota of its team allows a task of a step to start, or
// all tasks of a gang.
func (sc *Scheduler) fitsQuota(s *StepTasks) bool {
	t := s.Job.team
	if t == nil {
		return true
	}
	required := 1
	if s.Step.IsGang {
		required = len(s.Tasks)
	}
	return t.account.CanStart(s.Step.Need, required) && !sc.isReserved(s)
}

// sortByExcess sorts jobs by how far they are beyond the rate of their team, and equal ones
// by a given order.
func sortByExcess(jobs []*Job, now time.Time, compare func(x, y *Job) int) {
	type keyed struct {
		*Job
		excess time.Duration
	}
	keys := make([]keyed, len(jobs))
	for i, j := range jobs {
		keys[i] = keyed{j, j.rate.Excess(now)}
	}
	slices.SortFunc(keys, func(x, y keyed) int {
		if x.excess != y.excess {
			return cmp.Compare(x.excess, y.excess)
		}
		return compare(x.Job, y.Job)
	})
	for i, k := range keys {
		jobs[i] = k.Job
	}
}

// mayBeSent reports whether the quota of its team allows the start of a recorded task to be
// sent.
func (t *Task) mayBeSent() bool {
	s := t.StepTasks
	return s.Job.team == nil || s.Job.team.account.MaySend(s.Step.Need)
}

// setArriving records whether the start of the current attempt at a task may still arrive.
func (t *Task) setArriving(isArriving bool) {
	if t.isArriving == isArriving {
		return
	}
	t.isArriving = isArriving
	switch tm := t.StepTasks.Job.team; {
	case tm == nil:
	case isArriving:
		tm.account.ExpectStart()
	default:
		tm.account.SettleStart()
		if !tm.account.HasArriving() {
			tm.heldSince = time.Time{}
		}
	}
}

// orphanCharge is the charge of an attempt that runs without a task that expects it.
type orphanCharge struct {
	team *team
	need hoist.Resources
}

// chargeOrphans charges the orphans of a worker to the teams of their jobs, in place of
// those charged before. A superseded attempt is such an orphan after a takeover, as it is
// in no row. One that was charged before stays so if its job has been removed since.
func (sc *Scheduler) chargeOrphans(w *Worker) {
	before := w.orphanCharges
	w.refundOrphans()
	for run := range w.orphans {
		c, ok := before[run]
		if !ok {
			c, ok = sc.orphanCharge(run)
		}
		if !ok {
			continue
		}
		c.team.charge(c.need)
		if w.orphanCharges == nil {
			w.orphanCharges = make(map[hoist.TaskRun]orphanCharge)
		}
		w.orphanCharges[run] = c
	}
}

// orphanCharge returns the charge of an attempt whose job is known and has a team.
func (sc *Scheduler) orphanCharge(run hoist.TaskRun) (orphanCharge, bool) {
	j, ok := sc.jobs[run.Task.Job]
	if !ok || j.team == nil || int(run.Task.Step) >= len(j.Plan.Steps) || run.Task.Step < 0 {
		return orphanCharge{}, false
	}
	return orphanCharge{j.team, j.Plan.Steps[run.Task.Step].Need}, true
}

// refundOrphans undoes chargeOrphans.
func (w *Worker) refundOrphans() {
	for _, c := range w.orphanCharges {
		c.team.refund(c.need)
	}
	w.orphanCharges = nil
}
