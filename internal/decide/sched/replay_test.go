package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// replayInterval is the interval between two passes, and two reports of a worker, in a
// replay.
const replayInterval = 20 * time.Millisecond

// replay runs a load on a cell whose workers keep to the declared run times. It checks
// each start against the quotas, and that no job waits beside free capacity.
type replay struct {
	*cell
	running map[hoist.WorkerID][]replayRun
	lastEnd map[hoist.WorkerID]hoist.EndNo
	plans   map[hoist.JobID]hoist.Plan
	states  map[hoist.JobID]hoist.PlanState
	configs []hoist.TeamConfig
	// started is when the first task of a job started, and idle since when a job has had
	// no task running.
	started, idle map[hoist.JobID]time.Time
	// startedOf counts the jobs of each team that have started.
	startedOf map[hoist.TeamID]int
	// busy is the CPU time that the tasks of each team have used.
	busy map[hoist.TeamID]time.Duration
	// order holds the starts.
	order []sched.Start
	// isUnanswered lets starts be carried out without an answer.
	isUnanswered bool
	term         hoist.Term
	// account is the lease account in the store.
	account storedAccount
}

type replayRun struct {
	start  sched.Start
	endsAt time.Time
}

func newReplay(t *testing.T, workers int, configs []hoist.TeamConfig) *replay {
	r := &replay{
		cell: newCell(t), configs: configs, term: 1,
		running: make(map[hoist.WorkerID][]replayRun), lastEnd: make(map[hoist.WorkerID]hoist.EndNo),
		plans: make(map[hoist.JobID]hoist.Plan), states: make(map[hoist.JobID]hoist.PlanState),
		started: make(map[hoist.JobID]time.Time), idle: make(map[hoist.JobID]time.Time), busy: make(map[hoist.TeamID]time.Duration), startedOf: make(map[hoist.TeamID]int),
	}
	var ids []hoist.WorkerID
	for i := range workers {
		ids = append(ids, hoist.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	r.scheduler.SetAccount(hoist.LeaseAccount{}, r.now)
	r.addWorkers(ids...)
	r.setTeams(configs)
	return r
}

func (r *replay) setTeams(configs []hoist.TeamConfig) {
	r.configs = configs
	if configs != nil {
		r.scheduler.SetTeams(configs)
	}
}

// submitPlan accepts a plan now.
func (r *replay) submitPlan(team hoist.TeamID, priority hoist.Priority, steps ...hoist.Step) {
	id := hoist.JobID(fmt.Sprintf("%06d", len(r.plans)))
	p := hoist.Plan{ID: id, Team: team, Queue: queue, Steps: steps, Accepted: r.now}
	p.Queue.Priority = priority
	r.plans[id] = p
	r.states[id] = hoist.PlanState{Queue: queue.Name, Team: team, Phase: hoist.PlanQueued}
	r.idle[id] = r.now
	r.scheduler.Add(p, 1, r.now)
}

// runFor lets the cell work for some time. Before each pass it calls submit, which may be
// nil, with the time since the beginning of the replay.
func (r *replay) runFor(d time.Duration, submit func(at time.Duration)) {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(replayInterval)
		if submit != nil {
			submit(r.now.Sub(start))
		}
		for _, id := range slices.Sorted(maps.Keys(r.lastEnd)) {
			r.pollWorker(id)
		}
		for _, e := range r.entries {
			if _, ok := r.lastEnd[e.Worker]; !ok {
				r.pollWorker(e.Worker)
			}
		}
		r.recordAccount()
		r.scheduler.Tick(r.now)
		d := r.scheduler.Pass(r.now, func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false })
		if r.term == 1 && len(d.Stops) > 0 {
			r.t.Fatalf("%d tasks are stopped", len(d.Stops))
		}
		r.stop(d.Stops)
		for _, s := range r.recordStates() {
			r.startRun(s)
		}
		r.checkIdleJobs()
	}
}

// pollWorker ends the runs of a worker that are over and reports what it runs.
func (r *replay) pollWorker(id hoist.WorkerID) {
	report := hoist.RunnerReport{Incarnation: 1, Clock: hoist.WorkerClock(r.now.Sub(start))}
	var left []replayRun
	for _, run := range r.running[id] {
		if r.now.Before(run.endsAt) {
			report.Running = append(report.Running, hoist.RunStatus{Run: run.start.Run})
			left = append(left, run)
			continue
		}
		r.lastEnd[id]++
		report.Ends = append(report.Ends, hoist.RunEnd{No: r.lastEnd[id], Run: run.start.Run, Kind: hoist.EndDone})
		job := run.start.Run.Task.Job
		if r.numRunning(job) == 1 {
			r.idle[job] = r.now
		}
	}
	r.running[id] = left
	r.scheduler.RecordReport(id, report, r.scheduler.NewPoll(id, r.now), r.now)
	r.scheduler.GrantLease(id, 6*time.Second, r.now)
}

// recordAccount records the lease account if it has changed.
func (r *replay) recordAccount() {
	if a, ok := r.scheduler.TakeAccount(r.now); ok {
		r.account = newStoredAccount(a.Account, r.now)
		r.scheduler.MarkAccountRecorded(a)
	}
}

// stop carries out stops at once.
func (r *replay) stop(stops []sched.Stop) {
	for _, s := range stops {
		r.running[s.Worker] = slices.DeleteFunc(r.running[s.Worker], func(run replayRun) bool { return run.start.Run == s.Run })
		r.scheduler.RecordStop(s.Worker, s.Run, nil, r.now)
	}
}

// recordStates records the states that changed and returns the starts to send.
func (r *replay) recordStates() []sched.Start {
	var out []sched.Start
	for _, u := range r.scheduler.Unrecorded("", true, 100_000, r.now) {
		r.states[u.Job] = u.State
		out = append(out, r.scheduler.MarkRecorded(u.Job, u.Change, u.Version+1, r.now)...)
		if r.scheduler.IsEndRecorded(u.Job) {
			r.scheduler.Remove(u.Job)
			delete(r.idle, u.Job)
			delete(r.states, u.Job)
		}
	}
	return out
}

// startRun carries out a start.
func (r *replay) startRun(s sched.Start) {
	r.t.Helper()
	p := r.plans[s.Run.Task.Job]
	step := p.Steps[s.Run.Task.Step]
	r.checkQuota(p.Team, step.Need.CPU)
	r.running[s.Worker] = append(r.running[s.Worker], replayRun{s, r.now.Add(step.Estimate)})
	r.busy[p.Team] += step.Estimate * time.Duration(step.Need.CPU) / 1000
	r.order = append(r.order, s)
	if _, ok := r.started[p.ID]; !ok {
		r.started[p.ID] = r.now
		r.startedOf[p.Team]++
	}
	delete(r.idle, p.ID)
	var err error
	if r.isUnanswered {
		err = hoist.ErrOutcomeUnknown
	}
	r.scheduler.RecordStart(s.Worker, s.Run, err, r.now)
}

// numRunning returns the number of running tasks of a job.
func (r *replay) numRunning(job hoist.JobID) int {
	n := 0
	for _, runs := range r.running {
		for _, run := range runs {
			if run.start.Run.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// used returns the CPU of the running tasks of a team, and their number.
func (r *replay) used(team hoist.TeamID) (cpu hoist.MilliCPU, n int) {
	for _, runs := range r.running {
		for _, run := range runs {
			if p := r.plans[run.start.Run.Task.Job]; p.Team == team {
				cpu += p.Steps[run.start.Run.Task.Step].Need.CPU
				n++
			}
		}
	}
	return cpu, n
}

// quota returns the quota of a team, or 0 if it has none.
func (r *replay) quota(team hoist.TeamID) hoist.MilliCPU {
	for _, c := range r.configs {
		if c.Team == team {
			return c.Quota.CPU
		}
	}
	return 0
}

// checkQuota fails the test if a start exceeds the quota of its team, unless the team uses
// less than half of it.
func (r *replay) checkQuota(team hoist.TeamID, need hoist.MilliCPU) {
	r.t.Helper()
	used, n := r.used(team)
	if limit := r.quota(team); limit > 0 && n > 0 && used+need > limit && 2*used >= limit {
		r.t.Fatalf("a start brings team %s to %d mCPU, its quota is %d", team, used+need, limit)
	}
}

// checkIdleJobs fails the test if a job has had no running task for 3 s although its team
// is below half of its quota and the workers have room.
func (r *replay) checkIdleJobs() {
	r.t.Helper()
	for id, since := range r.idle {
		if r.now.Sub(since) <= 3*time.Second {
			continue
		}
		p := r.plans[id]
		used, _ := r.used(p.Team)
		limit := r.quota(p.Team)
		required := 1
		if p.Steps[0].IsGang {
			required = p.Steps[0].Count
		}
		if (limit == 0 || used < limit/2) && r.places(p.Steps[0].Need) >= required {
			r.t.Fatalf("job %s of team %s has no running task for %v, its team uses %d of %d mCPU and the workers have room",
				id, p.Team, r.now.Sub(since), used, limit)
		}
	}
}

// places returns how many tasks with the given need the workers have room for.
func (r *replay) places(need hoist.Resources) int {
	n := 0
	for _, e := range r.entries {
		free := e.Capacity
		for _, run := range r.running[e.Worker] {
			free = free.Sub(r.plans[run.start.Run.Task.Job].Steps[run.start.Run.Task.Step].Need)
		}
		for ; need.Fits(free); n++ {
			free = free.Sub(need)
		}
	}
	return n
}

// takeOver replaces the scheduler by one that has read the recorded states and the account.
func (r *replay) takeOver() {
	r.term++
	grantsEnd, longestEnd := expiry(r.now, grantTime), expiry(r.now.Add(earlierCallTime), hoist.MaxLease)
	r.scheduler = sched.NewScheduler(r.term, longestEnd)
	r.scheduler.SetAccount(r.account.inherit(r.now, grantsEnd, longestEnd), r.now)
	r.scheduler.SetWorkers(r.entries, r.now)
	for _, id := range slices.Sorted(maps.Keys(r.states)) {
		r.scheduler.Restore(r.plans[id], r.states[id], 1, r.now)
	}
	r.setTeams(r.configs)
}

// longestWait returns the longest time that a job of a team waited for its first start, those
// that still wait included.
func (r *replay) longestWait(team hoist.TeamID) time.Duration {
	var longest time.Duration
	for id, p := range r.plans {
		if p.Team != team {
			continue
		}
		at, ok := r.started[id]
		if !ok {
			at = r.now
		}
		longest = max(longest, at.Sub(p.Accepted))
	}
	return longest
}

// tick calls f for each event that a team sends at a rate by a time, and counts them.
func tick(counts map[hoist.TeamID]int, team hoist.TeamID, perSecond float64, at time.Duration, f func()) {
	for want := int(perSecond * at.Seconds()); counts[team] < want; counts[team]++ {
		f()
	}
}

func shortStep(ms int) hoist.Step {
	return step(1, func(s *hoist.Step) { s.Estimate = time.Duration(ms) * time.Millisecond })
}

// TestReplayBurstOfOneTeam guards against a team at 8 times its usual rate that delays the
// jobs of others, although they have a lower priority, or loses what it is entitled to
// itself.
func TestReplayBurstOfOneTeam(t *testing.T) {
	const teams, weight, usual = 20, 8.0, 6.0
	var configs []hoist.TeamConfig
	for i := range teams {
		configs = append(configs, hoist.TeamConfig{Team: hoist.TeamID(fmt.Sprintf("t%02d", i)), Weight: weight})
	}
	r := newReplay(t, 5, configs) // 160 jobs a second; 120 are usual, the burst brings 162
	sent := make(map[hoist.TeamID]int)
	r.runFor(25*time.Second, func(at time.Duration) {
		for i, c := range configs {
			perSecond, priority := usual, hoist.Priority(0)
			if i == 0 {
				perSecond, priority = 8*usual, 1
			}
			tick(sent, c.Team, perSecond, at, func() { r.submitPlan(c.Team, priority, shortStep(250)) })
		}
	})
	for _, c := range configs[1:] {
		if wait := r.longestWait(c.Team); wait > 500*time.Millisecond {
			t.Errorf("a job of team %s waited %v, expected at most 0.5 s", c.Team, wait)
		}
	}
	served := 0
	for id, at := range r.started {
		if p := r.plans[id]; p.Team == "t00" && at.Sub(p.Accepted) < time.Second {
			served++
		}
	}
	if entitled := int(weight * 24); served < entitled {
		t.Errorf("%d jobs of the team with the burst started within a second, expected %d", served, entitled)
	}
}

// TestReplaySkewedWeights guards against shares that do not follow the weights while all
// teams have more work than the cell can do, and against teams that get nothing.
func TestReplaySkewedWeights(t *testing.T) {
	var configs []hoist.TeamConfig
	sum := 0.0
	for i := range 20 {
		w := 1 + float64(i*i)/20
		sum += w
		configs = append(configs, hoist.TeamConfig{Team: hoist.TeamID(fmt.Sprintf("t%02d", i)), Weight: 1000 * w})
	}
	r := newReplay(t, 24, configs) // 192 tasks at a time
	sent := make(map[hoist.TeamID]int)
	const seconds = 10
	r.runFor(seconds*time.Second, func(time.Duration) {
		for i, c := range configs {
			for ; sent[c.Team] < r.startedOf[c.Team]+20; sent[c.Team]++ {
				s := shortStep(200 + 50*(i%4))
				if (sent[c.Team]+i)%10 == 0 {
					s.Count = 20
				}
				r.submitPlan(c.Team, 0, s)
			}
		}
	})
	for i, c := range configs {
		got := r.busy[c.Team].Seconds() / seconds
		fair := 192 * (1 + float64(i*i)/20) / sum
		if got < 0.9*fair-1 || got > 1.1*fair+1 {
			t.Errorf("team %s with weight %.1f had %.1f tasks running on average, expected %.1f", c.Team, c.Weight/1000, got, fair)
		}
	}
}

// TestReplayHalvedQuotas guards against starts above a quota that was halved at peak load,
// and against jobs that wait although their team has fallen below it.
func TestReplayHalvedQuotas(t *testing.T) {
	configs := func(cpu hoist.MilliCPU) []hoist.TeamConfig {
		return []hoist.TeamConfig{
			{Team: "a", Weight: 1000, Quota: hoist.Resources{CPU: cpu}}, {Team: "b", Weight: 1000, Quota: hoist.Resources{CPU: 2 * cpu}},
		}
	}
	r := newReplay(t, 8, configs(16_000)) // 64 tasks at a time
	sent := make(map[hoist.TeamID]int)
	load := func(at time.Duration) {
		for _, c := range r.configs {
			tick(sent, c.Team, 60, at, func() {
				s := shortStep(600)
				s.Count = 1 + len(r.plans)%3
				s.IsGang = len(r.plans)%5 == 0
				r.submitPlan(c.Team, hoist.Priority(len(r.plans)%2), s)
			})
		}
	}
	r.runFor(4*time.Second, load)
	r.setTeams(configs(8_000))
	r.runFor(4*time.Second, load)
	before := len(r.order)
	r.setTeams(configs(24_000))
	r.runFor(4*time.Second, load)
	if n := len(r.order) - before; n < 300 {
		t.Errorf("%d tasks started in 4 s after the quotas were raised, expected 300", n)
	}
}

// TestReplayTakeover guards against a new owner that starts tasks beyond a quota, as the
// outcome of starts of the owner before is unknown.
func TestReplayTakeover(t *testing.T) {
	configs := []hoist.TeamConfig{{Team: "a", Weight: 1000, Quota: hoist.Resources{CPU: 12_000}}, {Team: "b", Weight: 1000, Quota: hoist.Resources{CPU: 20_000}}}
	r := newReplay(t, 4, configs)
	sent := make(map[hoist.TeamID]int)
	load := func(at time.Duration) {
		for _, c := range configs {
			tick(sent, c.Team, 20, at, func() { r.submitPlan(c.Team, 0, shortStep(900)) })
		}
	}
	r.runFor(2*time.Second, load)
	for range 3 {
		r.isUnanswered = true
		r.term++ // stops are expected from now on
		r.runFor(replayInterval, load)
		r.takeOver()
		r.isUnanswered = false
		r.runFor(2*time.Second, load)
	}
	if used, _ := r.used("a"); used < 11_000 {
		t.Errorf("team a uses %d mCPU after the takeovers, expected its quota of 12000", used)
	}
	r.runFor(20*time.Second, nil)
	r.is.Equal(len(r.states), 0) // all jobs have ended
	for _, c := range configs {
		r.is.Equal(r.scheduler.TeamUsage(c.Team).Tasks, 0) // and nothing is charged any more
	}
}
