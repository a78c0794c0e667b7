package tasks

import (
	"context"
	"slices"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
)

const (
	// tasksPerPass bounds the tasks that one pass places, so that ends and
	// urgent work are seen in between.
	tasksPerPass = 4000
	// tickEvery is the period of the checks of all jobs against the time.
	tickEvery = time.Second
	// stragglerFactor is how many times longer than expected a task runs
	// before it is reported. Declared run times are off by up to 10 times.
	stragglerFactor = 10
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
	gang    hoist.GangTurn
}

// taken is capacity that was asked for after the last heartbeat of its owner.
type taken struct {
	at   time.Time
	need hoist.Resources
}

// Heard records the free capacity that another host reports. What was placed
// since the report was composed is subtracted from it in each pass.
func (m *Manager) Heard(h hoist.Heartbeat) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	leaving := make(map[hoist.WorkerID]bool)
	m.heard[h.Host] = heard{now, h.Workers, leaving, h.Gang}
	for _, c := range h.Workers {
		if c.Leaving {
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

// Turn returns the all-at-once job of this host that has waited longest.
func (m *Manager) Turn() hoist.GangTurn {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.OldestGang(m.mayHold)
}

// placeLoop places waiting tasks whenever something changed.
func (m *Manager) placeLoop(ctx context.Context) {
	var ticked time.Time
	for pauseOr(ctx, passEvery, m.kick) && pause(ctx, passGap) {
		if now := m.Clock.Now(); now.Sub(ticked) >= tickEvery {
			ticked = now
			m.tick(ctx, now)
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
	for _, t := range m.book.Stragglers(stragglerFactor, now) {
		if !m.told[t.ID] {
			m.told[t.ID] = true
			events.TaskSlow.Log(ctx, m.Log, "task", t.ID, "worker", t.Worker, "since", t.Since)
		}
	}
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
	tasks  []wantedTask
	placed []hoist.WorkerID
	term   hoist.Term
	// kept are places that an all-at-once job holds from earlier passes.
	kept   map[hoist.TaskID]keptPlace
	isTurn bool
}

type wantedTask struct {
	task     *jobs.Task
	failedOn hoist.WorkerID
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
	fleet := jobs.NewFleet(m.candidates(), m.Policy, m.rng)
	m.mu.Unlock()
	reasons := make(map[*jobs.Job]string)
	var singles []chosen
	for _, w := range wants {
		if reason := fleet.Obstacle(w.job.Spec); reason != "" {
			reasons[w.job] = stuckPrefix + reason
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
		w := wanted{job: j, term: s.term, isTurn: turn == j.Spec.ID}
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
			w.tasks = append(w.tasks, wantedTask{t, t.FailedOn})
		}
		if j.Spec.Kind == hoist.ServiceJob {
			w.placed = placedOn(j)
		}
		if len(w.tasks) > 0 {
			out = append(out, w)
			n += len(w.tasks)
		}
	}
	return out
}

func placedOn(j *jobs.Job) []hoist.WorkerID {
	var out []hoist.WorkerID
	for _, t := range j.Tasks {
		if t.IsPlaced() {
			out = append(out, t.Worker)
		}
	}
	return out
}

// chooseEach chooses a worker for each task that fits, and tells why the others
// wait.
func chooseEach(fleet *jobs.Fleet, w wanted) ([]chosen, string) {
	var spread *jobs.Spread
	if w.job.Spec.Kind == hoist.ServiceJob {
		spread = fleet.NewSpread(w.placed)
	}
	var out []chosen
	for _, t := range w.tasks {
		choice, ok := fleet.Choose(w.job.Spec, spread, t.failedOn)
		if !ok {
			return out, fleet.Shortage(w.job.Spec)
		}
		out = append(out, chosen{t.task, choice, w.term})
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

// stuckPrefix begins the reason of a job that does not fit into the cell.
const stuckPrefix = "can never run: "

func isStuck(reason string) bool {
	return strings.HasPrefix(reason, stuckPrefix)
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
		m.beginOne(c.task, p, now)
		ps = append(ps, p)
	}
	m.mu.Unlock()
	m.send(ctx, ps, callStart)
}

// beginOne records that a start is being sent. The mutex is held.
func (m *Manager) beginOne(t *jobs.Task, p hoist.Placement, now time.Time) {
	m.book.Begin(t, p.Worker, p.Grant.Attempt, now)
	m.calls.busy[t.ID] = true
	if _, ok := m.workers[p.Worker]; !ok {
		m.taken[p.Worker] = append(m.taken[p.Worker], taken{now, p.Grant.Need})
	}
}
