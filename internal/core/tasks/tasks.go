// Package tasks accepts jobs, places their tasks on workers and follows them to
// their end. The owner of a team's shard keeps the team's jobs; the owner of a
// worker's shard keeps the worker's account and talks to it.
//
// # Usage
//
//	m := &tasks.Manager{Own: members, HostList: list, Table: t, DialWorker: dial, Clock: clock, Log: logger}
//	go m.Run(ctx)
//	err := m.Submit(ctx, spec)
//
// # Concurrency
//
// One goroutine places tasks, one writes jobs to the table, and each owned
// worker has two: one that adopts it and renews its leases, and one that
// reports its ends, so that a slow table never delays a renewal. A call with
// placements to another host has a goroutine until it is answered. The
// decisions (grant, jobs) are behind one mutex, which is not held during a call
// to another process or while workers are chosen.
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
	// TaskLease is how long a task runs without a renewal.
	TaskLease = 10 * time.Second
	// TaskLeaseDrift is 1% of TaskLease, the assumed bound on clock drift.
	TaskLeaseDrift = TaskLease / 100
	// lapseTime is the time after the last call that may have renewed a lease
	// until the lease has certainly lapsed. The call itself may be on its way
	// for callTimeout.
	lapseTime = TaskLease + TaskLeaseDrift + callTimeout
	// renewEvery is the period of renewing the leases on a worker.
	renewEvery = time.Second
	// freshTime is the largest age of a worker's report with which anything is
	// started there, so that a worker that is leaving gets nothing after 2 s.
	freshTime = 1900 * time.Millisecond
	// passEvery is the longest time between two placement passes.
	passEvery = 500 * time.Millisecond
	// passGap is the shortest time between two placement passes; what happens
	// in between is taken together.
	passGap = 10 * time.Millisecond
	// callTimeout bounds a call to a worker, the table or another host.
	callTimeout = 2 * time.Second
	// workerTimeout bounds a start or stop at a worker, so that the owner can
	// stop tasks of lower priority and start one within a call of the job's
	// owner.
	workerTimeout = 900 * time.Millisecond
	// forwardTries bounds how often a call follows a moving shard.
	forwardTries = 20
	// forwardPause is the wait before a call follows a moving shard.
	forwardPause = 50 * time.Millisecond
)

// Manager keeps the jobs and workers of one host. Set the exported fields
// before Run.
type Manager struct {
	Own      hoist.Ownership
	HostList hoist.HostList
	Table    hoist.Table
	// DialWorker returns a client for a listed worker.
	DialWorker func(hoist.HostEntry) hoist.Worker
	Clock      hoist.Clock
	Log        *slog.Logger
	// Policy chooses workers; nil means place.Default.
	Policy hoist.PlacementPolicy

	once    sync.Once
	mu      sync.Mutex
	rng     *rand.Rand
	book    *jobs.Tracker
	quotas  *quota.Tracker
	learned *learn.Estimator
	health  *health.Tracker
	shards  map[hoist.ShardID]*teamShard
	// workers are those that this host owns, listed all of the host list.
	workers map[hoist.WorkerID]*handle
	listed  map[hoist.WorkerID]hoist.HostEntry
	// heard is what the other hosts reported, taken what was placed since.
	heard map[hoist.HostID]heard
	taken map[hoist.WorkerID][]taken
	// refused is when an owner last refused a placement on a worker.
	refused map[hoist.WorkerID]time.Time
	calls   *calls
	gangs   map[hoist.JobID]*gangTry
	rows    *rowWriter
	absent  map[hoist.WorkerID]absence
	audit   audit
	// kick asks for a placement pass, listDue for reading the host list.
	kick    chan struct{}
	listDue chan struct{}
	// stragglers are the tasks that were reported as such.
	stragglers map[hoist.TaskID]bool
}

// teamShard is a shard whose jobs this host keeps.
type teamShard struct {
	term hoist.Term
	// isReady is set when the jobs and their running tasks are known.
	isReady bool
	// wasRead is set when the rows were read without the shard being ready.
	wasRead bool
}

var _ hoist.ShardHolder = (*Manager)(nil)

func (m *Manager) init() {
	m.once.Do(func() {
		if m.Policy == nil {
			m.Policy = place.Default
		}
		m.rng = rand.New(rand.NewPCG(uint64(m.Clock.Now().UnixNano()), 1))
		m.book = jobs.NewTracker()
		m.quotas = quota.NewTracker()
		m.learned = learn.NewEstimator()
		m.health = health.NewTracker()
		m.book.Estimate = func(s hoist.JobSpec) time.Duration {
			return m.learned.RunTime(learn.KeyOf(s), s.RunTime)
		}
		m.book.Freed = func(a hoist.TaskAttempt) { m.quotas.Release(a.Task, a.Attempt) }
		m.shards = make(map[hoist.ShardID]*teamShard)
		m.workers = make(map[hoist.WorkerID]*handle)
		m.listed = make(map[hoist.WorkerID]hoist.HostEntry)
		m.heard = make(map[hoist.HostID]heard)
		m.taken = make(map[hoist.WorkerID][]taken)
		m.refused = make(map[hoist.WorkerID]time.Time)
		m.calls = newCalls()
		m.gangs = make(map[hoist.JobID]*gangTry)
		m.rows = newRowWriter()
		m.absent = make(map[hoist.WorkerID]absence)
		m.audit.owners = make(map[hoist.WorkerID]hoist.HostID)
		m.kick = make(chan struct{}, 1)
		m.listDue = make(chan struct{}, 1)
		m.stragglers = make(map[hoist.TaskID]bool)
	})
}

// Run works until ctx ends.
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

// SetQuotas replaces the quotas of the teams. Teams that limits does not name
// get fallback.
func (m *Manager) SetQuotas(limits map[hoist.TeamID]hoist.Resources, fallback hoist.Resources) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotas.SetLimits(limits, fallback)
	m.wake()
}

// wake starts a placement pass soon.
func (m *Manager) wake() {
	clock.Signal(m.kick)
}

// Acquire implements hoist.ShardHolder. The jobs of the shards are recovered
// from the table and from the workers before anything is placed for them.
func (m *Manager) Acquire(shards []hoist.ShardTerm, _ []hoist.KeyRecord, _ time.Time) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shards {
		m.dropShard(s.Shard)
		m.shards[s.Shard] = &teamShard{term: s.Term}
	}
	m.audit.ask()
	m.audit.rounds = 0
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

// dropShard forgets a shard and its jobs. The mutex is held.
func (m *Manager) dropShard(shard hoist.ShardID) {
	if _, ok := m.shards[shard]; !ok {
		return
	}
	delete(m.shards, shard)
	for _, j := range m.book.All() {
		if teamShardOf(j.Spec.Team) == shard {
			m.quotas.Drop(j.Spec.Team)
			m.rows.drop(j.Spec.ID)
			m.calls.settle(j.Spec.ID)
			delete(m.gangs, j.Spec.ID)
			m.book.Remove(j.Spec.ID)
		}
	}
}

// shardOf returns the shard of a job's team if this host keeps its jobs and
// they are known. The mutex is held.
func (m *Manager) shardOf(team hoist.TeamID) (*teamShard, bool) {
	s, ok := m.shards[teamShardOf(team)]
	return s, ok && s.isReady
}

// owns reports whether this host may act for a shard in a term right now.
func (m *Manager) owns(shard hoist.ShardID, term hoist.Term) bool {
	current, ok := m.Own.Owns(shard)
	return ok && current == term
}

func teamShardOf(team hoist.TeamID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindTeam, string(team))
}

func workerShardOf(worker hoist.WorkerID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindWorker, string(worker))
}
