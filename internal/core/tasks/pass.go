package tasks

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/learn"
	"fuchsiahoist.example/hoist/internal/decide/place"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

const (
	// tasksPerPass bounds the tasks that one pass places, so that ends and
	// urgent work are seen in between.
	tasksPerPass = 4000
	// tickEvery is the period of the checks of all jobs against the time.
	tickEvery = time.Second
	// refusedTime is how long a worker that refused a task is left alone. The
	// next heartbeat of its owner comes within this time.
	refusedTime = 500 * time.Millisecond
	// beatDelay is the longest time for which a heartbeat is on its way; what
	// was placed less than this before it arrived may be missing in it.
	beatDelay = 50 * time.Millisecond
)

// heard is what another host told last.
type heard struct {
	at      time.Time
	workers []hoist.Candidate
	leaving map[hoist.WorkerID]bool
	gang    hoist.WaitingGang
}

// taken is capacity that was asked for after the last heartbeat of its owner.
type taken struct {
	at   time.Time
	need hoist.Resources
}

// HandleHeartbeat records the free capacity that another host reports. What was placed
// since the report was composed is subtracted from it in each pass.
func (m *Manager) HandleHeartbeat(h hoist.Heartbeat) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	leaving := make(map[hoist.WorkerID]bool)
	m.heard[h.Host] = heard{now, h.Workers, leaving, h.Gang}
	for _, c := range h.Workers {
		if c.State == hoist.WorkerLeaving {
			leaving[c.Worker] = true
		}
		recent := slices.DeleteFunc(m.taken[c.Worker], func(t taken) bool { return now.Sub(t.at) > beatDelay })
		if len(recent) == 0 {
			delete(m.taken, c.Worker)
			continue
		}
		m.taken[c.Worker] = recent
	}
}

// OldestGang returns the all-at-once job of this host that has waited longest.
func (m *Manager) OldestGang() hoist.WaitingGang {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.OldestGang(m.mayHold)
}

// placeLoop places waiting tasks whenever something changed.
func (m *Manager) placeLoop(ctx context.Context) {
	var ticked time.Time
	for clock.PauseOr(ctx, passEvery, m.kick) && clock.Pause(ctx, passGap) {
		if now := m.Clock.Now(); now.Sub(ticked) >= tickEvery {
			ticked = now
			m.tick(ctx, now)
			m.confirmGangs(ctx)
		}
		m.stopDue(ctx)
		m.retryOpen(ctx)
		m.place(ctx)
	}
}

// tick compares all jobs with the time.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.book.Tick(now) {
		events.JobLate.Log(ctx, m.Log, "job", j.Spec.ID, "deadline", j.Spec.Deadline, "waiting", j.Count(jobs.Waiting))
	}
	m.book.Replace(m.isLeaving, now)
	m.sweep(now)
	m.book.Each(func(t *jobs.Task) {
		if !m.stragglers[t.ID] && m.learned.IsStraggler(learn.KeyOf(t.Job.Spec), now.Sub(t.Since)) {
			m.stragglers[t.ID] = true
			events.TaskSlow.Log(ctx, m.Log, "task", t.ID, "worker", t.Worker, "since", t.Since)
		}
	})
}

// isLeaving reports whether a worker takes no new work, by the host list or by
// its own report. The mutex is held.
func (m *Manager) isLeaving(id hoist.WorkerID) bool {
	if h, ok := m.workers[id]; ok {
		return h.isLeaving()
	}
	if m.listed[id].Leaving {
		return true
	}
	host, _ := m.Own.OwnerOf(workerShardOf(id))
	return m.heard[host].leaving[id]
}

// wanted is a job with tasks to place in a pass. The pass reads only what does
// not change, as it does not hold the mutex.
type wanted struct {
	job    *jobs.Job
	ask    hoist.PlacementQuery
	tasks  []*jobs.Task
	placed map[hoist.WorkerID]int
	term   hoist.Term
	// kept are places that an all-at-once job holds from earlier passes.
	kept   map[hoist.TaskID]keptPlace
	isTurn bool
}

// chosen is a task with its worker.
type chosen struct {
	task   *jobs.Task
	choice jobs.Choice
	term   hoist.Term
}

// place chooses workers for the waiting tasks and sends the starts.
func (m *Manager) place(ctx context.Context) {
	m.mu.Lock()
	wants := m.wanted()
	if len(wants) == 0 {
		m.mu.Unlock()
		return
	}
	fleet := jobs.NewWorkerPool(m.candidates(), m.Policy, m.rng)
	m.mu.Unlock()
	reasons := make(map[*jobs.Job]string)
	var singles []chosen
	for _, w := range wants {
		if v := fleet.Explain(w.ask, w.needed()); v.IsImpossible() {
			reasons[w.job] = v.String()
			continue
		}
		if w.job.Spec.Kind == hoist.GangJob {
			reasons[w.job] = m.placeGang(ctx, fleet, w)
			continue
		}
		var out []chosen
		out, reasons[w.job] = chooseEach(fleet, w)
		singles = append(singles, out...)
	}
	m.explain(ctx, reasons)
	m.begin(ctx, singles)
}

// wanted returns the jobs with tasks to place, most urgent first. The mutex is
// held.
func (m *Manager) wanted() []wanted {
	var out []wanted
	now := m.Clock.Now()
	turn := m.currentTurn()
	n := 0
	for _, j := range m.book.Due(now) {
		s, ok := m.shardOf(j.Spec.Team)
		if !ok || n >= tasksPerPass {
			continue
		}
		size := m.learned.Size(learn.KeyOf(j.Spec), j.Spec.Need)
		w := wanted{job: j, ask: jobs.PlacementQueryOf(j.Spec, size), term: s.term, isTurn: turn == j.Spec.ID}
		if try, ok := m.gangs[j.Spec.ID]; ok {
			if try.isBusy {
				continue
			}
			w.kept = try.kept
		}
		for _, t := range m.book.Ready(j, now) {
			if j.Spec.Kind != hoist.GangJob && len(w.tasks) == tasksPerPass {
				break
			}
			w.tasks = append(w.tasks, t)
		}
		if j.Spec.Kind == hoist.ServiceJob {
			w.placed = placedOn(j)
		}
		if m.keepToQuota(&w); len(w.tasks) > 0 {
			out = append(out, w)
			n += len(w.tasks)
		}
	}
	return out
}

// needed is how many tasks of the job must fit at once.
func (w wanted) needed() int {
	if w.job.Spec.Kind == hoist.GangJob {
		return len(w.tasks)
	}
	return 1
}

// keepToQuota leaves out the tasks for which the team has no quota left. The
// mutex is held.
func (m *Manager) keepToQuota(w *wanted) {
	spec := w.job.Spec
	u := m.quotas.Usage(spec.Team)
	room := place.Copies(spec.Need, u.Limit.Sub(u.Used))
	if room >= len(w.tasks) {
		return
	}
	w.job.Reason = fmt.Sprintf("%s%s uses %v of %v", quotaPrefix, spec.Team, u.Used, u.Limit)
	if spec.Kind == hoist.GangJob {
		room = 0
	}
	w.tasks = w.tasks[:max(0, room)]
}

// quotaPrefix begins the reason of a job that waits for its team's quota.
const quotaPrefix = "quota: team "

func placedOn(j *jobs.Job) map[hoist.WorkerID]int {
	out := make(map[hoist.WorkerID]int)
	for _, t := range j.Tasks {
		if t.IsPlaced() {
			out[t.Worker]++
		}
	}
	return out
}

// chooseEach chooses a worker for each task that fits, and tells why the others
// wait.
func chooseEach(fleet *jobs.WorkerPool, w wanted) ([]chosen, string) {
	if w.ask.Spread {
		fleet.CountReplicas(w.placed)
	}
	var out []chosen
	for _, t := range w.tasks {
		choice, ok := fleet.Choose(w.job.Spec, w.ask)
		if !ok {
			return out, fleet.Explain(w.ask, 1).String()
		}
		out = append(out, chosen{t, choice, w.term})
	}
	return out, ""
}

// candidates returns the workers of all hosts as far as known, less what was
// placed since. Nothing is free on those that refused something a moment ago
// and on those of hosts with many unanswered calls. The mutex is held.
func (m *Manager) candidates() []hoist.Candidate {
	now := m.Clock.Now()
	out := m.localCandidates()
	if m.calls.isFull(m.Own.Self()) {
		setFull(out)
	}
	for host, h := range m.heard {
		if _, ok := m.Own.Peer(host); !ok {
			continue
		}
		first := len(out)
		for _, c := range h.workers {
			for _, t := range m.taken[c.Worker] {
				c.Free = c.Free.Sub(t.need)
			}
			out = append(out, c)
		}
		if m.calls.isFull(host) {
			setFull(out[first:])
		}
	}
	for i, c := range out {
		if now.Sub(m.refused[c.Worker]) < refusedTime {
			setFull(out[i : i+1])
		}
	}
	return out
}

// setFull leaves nothing free on workers.
func setFull(workers []hoist.Candidate) {
	for i := range workers {
		workers[i].Free = hoist.Resources{}
		workers[i].Lower = nil
	}
}

// isStuck reports whether a reason tells that a job cannot run in the cell as it
// is.
func isStuck(reason string) bool {
	return strings.HasPrefix(reason, "can never run")
}

// explain records why jobs wait.
func (m *Manager) explain(ctx context.Context, reasons map[*jobs.Job]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for j, reason := range reasons {
		if isStuck(reason) && reason != j.Reason {
			events.JobStuck.Log(ctx, m.Log, "job", j.Spec.ID, "reason", reason)
		}
		j.Reason = reason
	}
}

// placementOf returns the message for a start of a task.
func placementOf(t *jobs.Task, c jobs.Choice, attempt hoist.AttemptNo, term hoist.Term) hoist.Placement {
	spec := t.Job.Spec
	return hoist.Placement{
		Worker: c.Worker,
		Grant: hoist.Grant{
			Task: t.ID, Job: spec.ID, Team: spec.Team, Attempt: attempt,
			Need: spec.Need, Priority: spec.Priority, RunTime: runTime(spec),
		},
		TeamShard: teamShardOf(spec.Team),
		TeamTerm:  term,
		Preempt:   c.Preempt,
	}
}

// runTime is how long a worker runs a task; services run until stopped.
func runTime(s hoist.JobSpec) time.Duration {
	if s.Kind == hoist.ServiceJob {
		return 0
	}
	return s.RunTime
}

// begin records the starts of single tasks and sends them.
func (m *Manager) begin(ctx context.Context, list []chosen) {
	m.mu.Lock()
	now := m.Clock.Now()
	ps := make([]hoist.Placement, 0, len(list))
	for _, c := range list {
		if !m.book.MayBegin(c.task) {
			continue
		}
		p := placementOf(c.task, c.choice, c.task.Job.NewAttempt(), c.term)
		if err := m.quotas.Admit(chargeOf(p)); err != nil {
			c.task.Job.Reason = quotaPrefix + err.Error()
			continue
		}
		m.beginOne(c.task, p, now)
		ps = append(ps, p)
	}
	m.mu.Unlock()
	m.send(ctx, ps, callStart)
}

func chargeOf(p hoist.Placement) quota.Charge {
	g := p.Grant
	return quota.Charge{Team: g.Team, Task: g.Task, Attempt: g.Attempt, Need: g.Need}
}

// beginOne records that a start is being sent. The mutex is held.
func (m *Manager) beginOne(t *jobs.Task, p hoist.Placement, now time.Time) {
	m.book.Begin(t, p.Worker, p.Grant.Attempt, now)
	m.calls.busy[t.ID] = true
	if _, ok := m.workers[p.Worker]; !ok {
		m.taken[p.Worker] = append(m.taken[p.Worker], taken{now, p.Grant.Need})
	}
}
