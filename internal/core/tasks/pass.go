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
	// maxTasksPerPass bounds the tasks that one pass places, so that ended tasks
	// and urgent jobs are taken into account in between.
	maxTasksPerPass = 4000
	// tickInterval is the interval of the time-based checks of all jobs.
	tickInterval = time.Second
	// refusalBackoff is how long no task is placed on a worker whose owner
	// refused one. The owner's next heartbeat arrives within this time.
	refusalBackoff = 500 * time.Millisecond
	// maxHeartbeatDelay is the longest time for which a heartbeat is in flight.
	// Placements sent less than this before a heartbeat arrived may be missing
	// from it.
	maxHeartbeatDelay = 50 * time.Millisecond
)

// lastHeartbeat is the content of another host's last heartbeat.
type lastHeartbeat struct {
	receivedAt time.Time
	workers    []hoist.Candidate
	leaving    map[hoist.WorkerID]bool
	gang       hoist.WaitingGang
}

// recentPlacement is a placement on a worker of another host that may be missing
// in that host's last heartbeat.
type recentPlacement struct {
	sentAt time.Time
	need   hoist.Resources
}

// HandleHeartbeat records the free capacity that another host reports. Each pass
// subtracts from it what was placed after the heartbeat was composed.
func (m *Manager) HandleHeartbeat(h hoist.Heartbeat) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	leaving := make(map[hoist.WorkerID]bool)
	m.heartbeats[h.Host] = lastHeartbeat{now, h.Workers, leaving, h.Gang}
	for _, c := range h.Workers {
		if c.State == hoist.WorkerLeaving {
			leaving[c.Worker] = true
		}
		recent := slices.DeleteFunc(m.recentPlacements[c.Worker], func(t recentPlacement) bool { return now.Sub(t.sentAt) > maxHeartbeatDelay })
		if len(recent) == 0 {
			delete(m.recentPlacements, c.Worker)
			continue
		}
		m.recentPlacements[c.Worker] = recent
	}
}

// OldestGang returns the gang that has waited longest among those of this host
// that may reserve capacity.
func (m *Manager) OldestGang() hoist.WaitingGang {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jobTracker.OldestGang(m.mayReserve)
}

// placeLoop runs a pass after each change and at least every maxPassInterval: it
// sends the stops and starts that are due.
func (m *Manager) placeLoop(ctx context.Context) {
	var lastTick time.Time
	for clock.SleepOr(ctx, maxPassInterval, m.passDue) && clock.Sleep(ctx, minPassInterval) {
		if now := m.Clock.Now(); now.Sub(lastTick) >= tickInterval {
			lastTick = now
			m.tick(ctx, now)
			m.confirmGangs(ctx)
		}
		m.sendStops(ctx)
		m.retryUnknownStarts(ctx)
		m.place(ctx)
	}
}

// tick does the time-based checks of all jobs: deadlines, tasks on leaving
// workers, rows to delete and stragglers.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobTracker.Tick(now) {
		events.JobLate.Log(ctx, m.Log, "job", j.Spec.ID, "deadline", j.Spec.Deadline, "waiting", j.Count(jobs.Waiting))
	}
	m.jobTracker.MoveOffLeaving(m.isLeaving, now)
	m.markExpiredRows(now)
	m.jobTracker.EachRunningTask(func(t *jobs.Task) {
		if !m.stragglers[t.ID] && m.estimator.IsStraggler(learn.KeyOf(t.Job.Spec), now.Sub(t.Since)) {
			m.stragglers[t.ID] = true
			events.TaskSlow.Log(ctx, m.Log, "task", t.ID, "worker", t.Worker, "since", t.Since)
		}
	})
}

// isLeaving reports whether a worker takes no new tasks according to the host
// list or to its own report. The mutex is held.
func (m *Manager) isLeaving(id hoist.WorkerID) bool {
	if h, ok := m.workers[id]; ok {
		return h.isLeaving()
	}
	if m.listedWorkers[id].Leaving {
		return true
	}
	host, _ := m.Ownership.OwnerOf(workerShardOf(id))
	return m.heartbeats[host].leaving[id]
}

// pendingJob is a job with tasks to place in a pass. The pass does not hold the
// mutex, so it reads only those parts of the job that do not change.
type pendingJob struct {
	job      *jobs.Job
	query    hoist.PlacementQuery
	tasks    []*jobs.Task
	replicas map[hoist.WorkerID]int
	term     hoist.Term
	// places are the placements that a gang kept from earlier passes.
	places     map[hoist.TaskID]gangPlace
	mayReserve bool
}

// chosenTask is a task with the worker chosen for it.
type chosenTask struct {
	task   *jobs.Task
	choice jobs.Choice
	term   hoist.Term
}

// place chooses workers for the waiting tasks and sends the starts.
func (m *Manager) place(ctx context.Context) {
	m.mu.Lock()
	pending := m.pendingJobs()
	if len(pending) == 0 {
		m.mu.Unlock()
		return
	}
	pool := jobs.NewWorkerPool(m.candidates(), m.Policy, m.rng)
	m.mu.Unlock()
	reasons := make(map[*jobs.Job]string)
	var singles []chosenTask
	for _, pj := range pending {
		if v := pool.Explain(pj.query, pj.tasksAtOnce()); v.IsImpossible() {
			reasons[pj.job] = v.String()
			continue
		}
		if pj.job.Spec.Kind == hoist.GangJob {
			reasons[pj.job] = m.placeGang(ctx, pool, pj)
			continue
		}
		var out []chosenTask
		out, reasons[pj.job] = chooseWorkers(pool, pj)
		singles = append(singles, out...)
	}
	m.recordReasons(ctx, reasons)
	m.startTasks(ctx, singles)
}

// pendingJobs returns the jobs with tasks to place, most urgent first. The mutex
// is held.
func (m *Manager) pendingJobs() []pendingJob {
	var out []pendingJob
	now := m.Clock.Now()
	reserving := m.reservingGang()
	n := 0
	for _, j := range m.jobTracker.Due(now) {
		s, ok := m.readyShard(j.Spec.Team)
		if !ok || n >= maxTasksPerPass {
			continue
		}
		size := m.estimator.Size(learn.KeyOf(j.Spec), j.Spec.Need)
		pj := pendingJob{job: j, query: jobs.PlacementQueryOf(j.Spec, size), term: s.term, mayReserve: reserving == j.Spec.ID}
		if gang, ok := m.gangs[j.Spec.ID]; ok {
			if gang.isInFlight {
				continue
			}
			pj.places = gang.places
		}
		for _, t := range m.jobTracker.Ready(j, now) {
			if j.Spec.Kind != hoist.GangJob && len(pj.tasks) == maxTasksPerPass {
				break
			}
			pj.tasks = append(pj.tasks, t)
		}
		if j.Spec.Kind == hoist.ServiceJob {
			pj.replicas = replicasByWorker(j)
		}
		if m.limitToQuota(&pj); len(pj.tasks) > 0 {
			out = append(out, pj)
			n += len(pj.tasks)
		}
	}
	return out
}

// tasksAtOnce returns how many tasks of the job must fit at the same time.
func (pj pendingJob) tasksAtOnce() int {
	if pj.job.Spec.Kind == hoist.GangJob {
		return len(pj.tasks)
	}
	return 1
}

// limitToQuota removes the tasks that exceed the team's quota. The mutex is held.
func (m *Manager) limitToQuota(pj *pendingJob) {
	spec := pj.job.Spec
	usage := m.quotaTracker.Usage(spec.Team)
	maxTasks := place.FitCount(spec.Need, usage.Limit.Sub(usage.Used))
	if maxTasks >= len(pj.tasks) {
		return
	}
	pj.job.Reason = fmt.Sprintf("%s%s uses %v of %v", quotaReasonPrefix, spec.Team, usage.Used, usage.Limit)
	if spec.Kind == hoist.GangJob {
		maxTasks = 0
	}
	pj.tasks = pj.tasks[:max(0, maxTasks)]
}

// quotaReasonPrefix begins the reason of a job that waits for its team's quota.
const quotaReasonPrefix = "quota: team "

func replicasByWorker(j *jobs.Job) map[hoist.WorkerID]int {
	out := make(map[hoist.WorkerID]int)
	for _, t := range j.Tasks {
		if t.IsPlaced() {
			out[t.Worker]++
		}
	}
	return out
}

// chooseWorkers chooses a worker for each task that fits, and returns why the
// others wait.
func chooseWorkers(pool *jobs.WorkerPool, pj pendingJob) ([]chosenTask, string) {
	if pj.query.Spread {
		pool.CountReplicas(pj.replicas)
	}
	var out []chosenTask
	for _, t := range pj.tasks {
		choice, ok := pool.Choose(pj.job.Spec, pj.query)
		if !ok {
			return out, pool.Explain(pj.query, 1).String()
		}
		out = append(out, chosenTask{t, choice, pj.term})
	}
	return out, ""
}

// candidates returns the known workers of all hosts. Recent placements are
// subtracted from their free capacity. Workers whose owner refused a placement
// within refusalBackoff, and workers of hosts with too many unanswered calls,
// have no free capacity. The mutex is held.
func (m *Manager) candidates() []hoist.Candidate {
	now := m.Clock.Now()
	out := m.localCandidates()
	if m.calls.isAtLimit(m.Ownership.Self()) {
		clearFree(out)
	}
	for host, h := range m.heartbeats {
		if _, ok := m.Ownership.Peer(host); !ok {
			continue
		}
		first := len(out)
		for _, c := range h.workers {
			for _, t := range m.recentPlacements[c.Worker] {
				c.Free = c.Free.Sub(t.need)
			}
			out = append(out, c)
		}
		if m.calls.isAtLimit(host) {
			clearFree(out[first:])
		}
	}
	for i, c := range out {
		if now.Sub(m.refusedAt[c.Worker]) < refusalBackoff {
			clearFree(out[i : i+1])
		}
	}
	return out
}

// clearFree sets the free capacity of workers to zero.
func clearFree(workers []hoist.Candidate) {
	for i := range workers {
		workers[i].Free = hoist.Resources{}
		workers[i].UsedByPriority = nil
	}
}

// isImpossible reports whether a reason says that a job cannot run on the present
// workers of the cell, even if they were empty.
func isImpossible(reason string) bool {
	return strings.HasPrefix(reason, "can never run")
}

// recordReasons records why jobs wait and logs those that cannot run at all.
func (m *Manager) recordReasons(ctx context.Context, reasons map[*jobs.Job]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for j, reason := range reasons {
		if isImpossible(reason) && reason != j.Reason {
			events.JobUnplaceable.Log(ctx, m.Log, "job", j.Spec.ID, "reason", reason)
		}
		j.Reason = reason
	}
}

// placementOf returns the placement of an attempt of a task on the chosen worker.
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

// runTime returns how long a worker runs a task; 0 for services, which run until
// they are stopped.
func runTime(s hoist.JobSpec) time.Duration {
	if s.Kind == hoist.ServiceJob {
		return 0
	}
	return s.RunTime
}

// startTasks records the starts of tasks that are not part of a gang, and sends
// them.
func (m *Manager) startTasks(ctx context.Context, chosenTasks []chosenTask) {
	m.mu.Lock()
	now := m.Clock.Now()
	ps := make([]hoist.Placement, 0, len(chosenTasks))
	for _, c := range chosenTasks {
		if !m.jobTracker.MayBegin(c.task) {
			continue
		}
		p := placementOf(c.task, c.choice, c.task.Job.NewAttempt(), c.term)
		if err := m.quotaTracker.Admit(chargeOf(p)); err != nil {
			c.task.Job.Reason = quotaReasonPrefix + err.Error()
			continue
		}
		m.recordStart(c.task, p, now)
		ps = append(ps, p)
	}
	m.mu.Unlock()
	m.send(ctx, ps, callStart)
}

func chargeOf(p hoist.Placement) quota.Charge {
	g := p.Grant
	return quota.Charge{Team: g.Team, Task: g.Task, Attempt: g.Attempt, Need: g.Need}
}

// recordStart records that a start is being sent. The mutex is held.
func (m *Manager) recordStart(t *jobs.Task, p hoist.Placement, now time.Time) {
	m.jobTracker.Begin(t, p.Worker, p.Grant.Attempt, now)
	m.calls.inFlight[t.ID] = true
	if _, ok := m.workers[p.Worker]; !ok {
		m.recentPlacements[p.Worker] = append(m.recentPlacements[p.Worker], recentPlacement{now, p.Grant.Need})
	}
}
