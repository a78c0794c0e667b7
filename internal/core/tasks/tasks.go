// Package tasks accepts jobs, places their tasks on workers and tracks the tasks
// until they end. The owner of a team's shard manages the jobs of the team. The
// owner of a worker's shard accounts for the worker's capacity and is the only
// host that calls the worker.
//
// # Usage
//
//	m := &tasks.Manager{Ownership: members, HostList: list, Table: t, DialWorker: dial, Clock: clock, Log: logger}
//	go m.Run(ctx)
//	err := m.Submit(ctx, spec)
//
// # Concurrency
//
// One goroutine reads the host list, one surveys the workers, one writes jobs to
// the table and one places tasks. Each owned worker has two: one that adopts it
// and renews its leases, and one that reports ended tasks, so that a slow table
// never delays a renewal. Each call with placements to another host has a
// goroutine until it is answered. One mutex protects the state of the decision
// packages (such as grant and jobs). It is not held during a call to another
// process or while workers are chosen.
package tasks

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/decide/health"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/learn"
	"fuchsiahoist.example/hoist/internal/decide/place"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

const (
	// TaskLease is how long a task runs after the last renewal of its lease.
	TaskLease = 10 * time.Second
	// TaskLeaseDrift is the assumed bound on clock drift during a TaskLease: 1%.
	TaskLeaseDrift = TaskLease / 100
	// leaseExpiryDelay is the time after which a lease has certainly expired,
	// counted from the last call that may have renewed it. That call may have
	// been in flight for callTimeout.
	leaseExpiryDelay = TaskLease + TaskLeaseDrift + callTimeout
	// renewInterval is the interval between lease renewals on a worker.
	renewInterval = time.Second
	// termInterval is the interval of setting the term on a worker again, in place of a
	// renewal. A new process of a worker has no term and takes calls of replaced owners,
	// and its reports do not show that it is new. The reply is a full report, 5.7 KB with
	// 20 tasks, so that it takes about 1.1 KB/s of the 4 KB/s for control of a node.
	termInterval = 5 * time.Second
	// maxReportAge is the age above which a worker's report is too old for
	// starting tasks there. A leaving worker thus gets no new task after 2 s.
	maxReportAge = 1900 * time.Millisecond
	// maxPassInterval is the longest time between two placement passes.
	maxPassInterval = 500 * time.Millisecond
	// minPassInterval is the shortest time between two placement passes. The
	// changes in between are handled by one pass.
	minPassInterval = 10 * time.Millisecond
	// callTimeout bounds a call to a worker, the table or another host.
	callTimeout = 2 * time.Second
	// workerCallTimeout bounds a start or stop call to a worker. It is less than
	// half of callTimeout, so that the worker's owner can preempt tasks and start
	// another one within one call of the job's owner.
	workerCallTimeout = 900 * time.Millisecond
	// maxForwardTries bounds how often a call is repeated while the owner of its
	// shard changes.
	maxForwardTries = 20
	// forwardRetryDelay is the delay before such a repetition.
	forwardRetryDelay = 50 * time.Millisecond
)

// Manager manages the jobs and workers whose shards one host owns. Set the
// exported fields before Run.
type Manager struct {
	Ownership hoist.Ownership
	HostList  hoist.HostList
	Table     hoist.Table
	// DialWorker returns a client for a worker of the host list.
	DialWorker func(hoist.HostEntry) hoist.Worker
	Clock      hoist.Clock
	Log        *slog.Logger
	// Policy chooses workers; nil means place.Default.
	Policy hoist.PlacementPolicy

	once          sync.Once
	mu            sync.Mutex
	rng           *rand.Rand
	jobTracker    *jobs.Tracker
	quotaTracker  *quota.Tracker
	estimator     *learn.Estimator
	healthTracker *health.Tracker
	shards        map[hoist.ShardID]*teamShard
	// workers holds the workers that this host owns, listedWorkers all workers
	// of the host list.
	workers       map[hoist.WorkerID]*workerHandle
	listedWorkers map[hoist.WorkerID]hoist.HostEntry
	// heartbeats holds the last heartbeat of each other host, recentPlacements
	// the placements that a heartbeat may not include yet.
	heartbeats       map[hoist.HostID]lastHeartbeat
	recentPlacements map[hoist.WorkerID][]recentPlacement
	// refusedAt is when the owner of a worker last refused a placement on it.
	refusedAt map[hoist.WorkerID]time.Time
	calls     *calls
	gangs     map[hoist.JobID]*gangPlacement
	rows      *rowWriter
	unadopted map[hoist.WorkerID]unadoptedWorker
	audit     audit
	// passDue triggers a placement pass, listDue a read of the host list.
	passDue chan struct{}
	listDue chan struct{}
	// stragglers are the tasks that were logged as stragglers.
	stragglers map[hoist.TaskID]bool
}

// teamShard is a shard of teams whose jobs this host manages.
type teamShard struct {
	term hoist.Term
	// isReady is set when the jobs and their running tasks have been recovered.
	isReady bool
	// wasRead is set when the rows have been read, which may be before the
	// shard is ready.
	wasRead bool
}

var _ hoist.ShardHolder = (*Manager)(nil)

func (m *Manager) init() {
	m.once.Do(func() {
		if m.Policy == nil {
			m.Policy = place.Default
		}
		m.rng = rand.New(rand.NewPCG(uint64(m.Clock.Now().UnixNano()), 1))
		m.jobTracker = jobs.NewTracker()
		m.quotaTracker = quota.NewTracker()
		m.estimator = learn.NewEstimator()
		m.healthTracker = health.NewTracker()
		m.jobTracker.Estimate = func(s hoist.JobSpec) time.Duration {
			return m.estimator.RunTime(learn.KeyOf(s), s.RunTime)
		}
		m.jobTracker.OnRelease = func(a hoist.TaskAttempt) { m.quotaTracker.Release(a.Task, a.Attempt) }
		m.shards = make(map[hoist.ShardID]*teamShard)
		m.workers = make(map[hoist.WorkerID]*workerHandle)
		m.listedWorkers = make(map[hoist.WorkerID]hoist.HostEntry)
		m.heartbeats = make(map[hoist.HostID]lastHeartbeat)
		m.recentPlacements = make(map[hoist.WorkerID][]recentPlacement)
		m.refusedAt = make(map[hoist.WorkerID]time.Time)
		m.calls = newCalls()
		m.gangs = make(map[hoist.JobID]*gangPlacement)
		m.rows = newRowWriter()
		m.unadopted = make(map[hoist.WorkerID]unadoptedWorker)
		m.audit.owners = make(map[hoist.WorkerID]hoist.HostID)
		m.passDue = make(chan struct{}, 1)
		m.listDue = make(chan struct{}, 1)
		m.stragglers = make(map[hoist.TaskID]bool)
	})
}

// Run places tasks, writes jobs and serves the owned workers until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.init()
	var wg sync.WaitGroup
	wg.Go(func() { m.listLoop(ctx) })
	wg.Go(func() { m.surveyLoop(ctx) })
	wg.Go(func() { m.writeLoop(ctx) })
	wg.Go(func() { m.placeLoop(ctx) })
	wg.Wait()
	m.calls.running.Wait()
}

// SetQuotas replaces the quotas of the teams. A team without an entry in limits
// gets fallback.
func (m *Manager) SetQuotas(limits map[hoist.TeamID]hoist.Resources, fallback hoist.Resources) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotaTracker.SetLimits(limits, fallback)
	m.requestPass()
}

// requestPass triggers a placement pass, which begins after minPassInterval.
func (m *Manager) requestPass() {
	clock.Signal(m.passDue)
}

// Acquire implements hoist.ShardHolder. Tasks of a shard are placed only after
// its jobs have been recovered from the table and from the workers.
func (m *Manager) Acquire(shards []hoist.ShardTerm, _ []hoist.KeyRecord, _ time.Time) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shards {
		m.dropShard(s.Shard)
		m.shards[s.Shard] = &teamShard{term: s.Term}
	}
	m.audit.request()
	m.audit.surveys = 0
	clock.Signal(m.listDue)
}

// Release implements hoist.ShardHolder.
func (m *Manager) Release(shards []hoist.ShardID) []hoist.KeyRecord {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range shards {
		m.dropShard(shard)
	}
	return nil
}

// dropShard removes a shard and its jobs. The mutex is held.
func (m *Manager) dropShard(shard hoist.ShardID) {
	if _, ok := m.shards[shard]; !ok {
		return
	}
	delete(m.shards, shard)
	for _, j := range m.jobTracker.All() {
		if teamShardOf(j.Spec.Team) == shard {
			m.quotaTracker.Drop(j.Spec.Team)
			m.rows.drop(j.Spec.ID)
			m.calls.closeWaiters(j.Spec.ID)
			delete(m.gangs, j.Spec.ID)
			m.jobTracker.Remove(j.Spec.ID)
		}
	}
}

// readyShard returns the shard of a team if this host owns it and has recovered
// its jobs. The mutex is held.
func (m *Manager) readyShard(team hoist.TeamID) (*teamShard, bool) {
	s, ok := m.shards[teamShardOf(team)]
	return s, ok && s.isReady
}

// owns reports whether this host is now the owner of a shard in the given term.
func (m *Manager) owns(shard hoist.ShardID, term hoist.Term) bool {
	current, ok := m.Ownership.Owns(shard)
	return ok && current == term
}

func teamShardOf(team hoist.TeamID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindTeam, string(team))
}

func workerShardOf(worker hoist.WorkerID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindWorker, string(worker))
}
