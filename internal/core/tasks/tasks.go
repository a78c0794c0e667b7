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
// One goroutine places tasks, one writes progress to the table, and each owned
// worker has one that adopts it, renews its leases and reports its ends. The
// decisions (grant, jobs, place) are behind one mutex, which is never held
// during a call to another process.
package tasks

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

const (
	// TaskLease is how long a task runs without a renewal.
	TaskLease = 10 * time.Second
	// TaskLeaseDrift is 1% of TaskLease, the assumed bound on clock drift.
	TaskLeaseDrift = TaskLease / 100
	// renewEvery is the period of renewing the leases on a worker.
	renewEvery = time.Second
	// passEvery is the longest time between two placement passes.
	passEvery = 500 * time.Millisecond
	// callTimeout bounds a call to a worker, the table or another host.
	callTimeout = 2 * time.Second
	// forwardTries bounds how often a job follows a moving shard.
	forwardTries = 20
	// forwardPause is the wait before a job follows a moving shard.
	forwardPause = 50 * time.Millisecond
)

// Manager keeps the jobs and workers of one host. Set the exported fields
// before Run.
type Manager struct {
	Own      hoist.Ownership
	HostList hoist.HostList
	Table    hoist.Table
	// DialWorker returns a client for a listed worker.
	DialWorker func(hoist.Listed) hoist.Worker
	Clock      hoist.Clock
	Log        *slog.Logger
	// Policy chooses workers; nil means place.FirstFit.
	Policy hoist.PlacementPolicy

	once     sync.Once
	mu       sync.Mutex
	rng      *rand.Rand
	book     *jobs.Book
	shards   map[hoist.ShardID]*teamShard
	workers  map[hoist.WorkerID]*handle
	listed   []hoist.Listed
	remote   map[hoist.HostID][]hoist.Candidate
	kick     chan struct{}
	progress chan progress
}

// teamShard is a shard whose jobs this host keeps.
type teamShard struct {
	term     hoist.Term
	acquired time.Time
	// isReady is set when the jobs and their running tasks are known.
	isReady bool
}

var _ hoist.ShardHolder = (*Manager)(nil)

func (m *Manager) init() {
	m.once.Do(func() {
		if m.Policy == nil {
			m.Policy = place.FirstFit{}
		}
		m.rng = rand.New(rand.NewPCG(uint64(m.Clock.Now().UnixNano()), 1))
		m.book = jobs.NewBook()
		m.shards = make(map[hoist.ShardID]*teamShard)
		m.workers = make(map[hoist.WorkerID]*handle)
		m.remote = make(map[hoist.HostID][]hoist.Candidate)
		m.kick = make(chan struct{}, 1)
		m.progress = make(chan progress)
	})
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.init()
	var wg sync.WaitGroup
	wg.Go(func() { m.listLoop(ctx) })
	wg.Go(func() { m.progressLoop(ctx) })
	wg.Go(func() { m.placeLoop(ctx) })
	wg.Wait()
}

// wake starts a placement pass soon.
func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Acquire implements hoist.ShardHolder. The jobs of the shards are recovered
// from the table and from the workers before anything is placed for them.
func (m *Manager) Acquire(shards []hoist.ShardTerm, _ []hoist.KeyRecord, _ time.Time) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shards {
		m.shards[s.Shard] = &teamShard{term: s.Term, acquired: m.Clock.Now()}
	}
	m.wake()
}

// Release implements hoist.ShardHolder.
func (m *Manager) Release(shards []hoist.ShardID) []hoist.KeyRecord {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	released := make(map[hoist.ShardID]bool, len(shards))
	for _, shard := range shards {
		released[shard] = true
		delete(m.shards, shard)
	}
	for _, j := range m.book.Jobs(m.Clock.Now()) {
		if released[teamShardOf(j.Spec.Team)] {
			m.book.Remove(j.Spec.ID)
		}
	}
	return nil
}

func teamShardOf(team hoist.TeamID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindTeam, string(team))
}

func workerShardOf(worker hoist.WorkerID) hoist.ShardID {
	return hoist.ShardOf(hoist.KindWorker, string(worker))
}

// Submit takes a job to the owner of its team's shard. When it returns nil, the
// job is recorded in the table. hoist.ErrOutcomeUnknown means that it may be;
// submitting the same id again is safe.
func (m *Manager) Submit(ctx context.Context, spec hoist.JobSpec) error {
	m.init()
	if err := jobs.CheckSpec(spec); err != nil {
		return err
	}
	shard := teamShardOf(spec.Team)
	var err error
	for range forwardTries {
		err = m.forward(ctx, shard, spec)
		if !errors.Is(err, hoist.ErrNotOwner) {
			return err
		}
		if !pause(ctx, forwardPause) {
			break
		}
	}
	return hoist.Turn(hoist.ErrUnavailable, err)
}

func (m *Manager) forward(ctx context.Context, shard hoist.ShardID, spec hoist.JobSpec) error {
	host, ok := m.Own.OwnerOf(shard)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d has no owner", shard))
	}
	if host == m.Own.Self() {
		return m.Accept(ctx, spec)
	}
	peer, ok := m.Own.Peer(host)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("no connection to host %s", host))
	}
	return peer.SubmitJob(ctx, spec)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Heard records the free capacity that another host reports.
func (m *Manager) Heard(h hoist.Heartbeat) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote[h.Host] = h.Workers
}

// Workers returns the free capacity of the workers that this host owns.
func (m *Manager) Workers() []hoist.Candidate {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.localCandidates()
}

// JobState is what operators see of a job.
type JobState struct {
	Spec    hoist.JobSpec
	Running int
	Done    int
	Reason  string
}

// Jobs returns the jobs that this host keeps.
func (m *Manager) Jobs() []JobState {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []JobState
	for _, j := range m.book.Jobs(m.Clock.Now()) {
		s := JobState{Spec: j.Spec, Done: j.Done, Reason: j.Reason}
		for _, t := range j.Tasks {
			if t.Worker != "" && !t.IsDone {
				s.Running++
			}
		}
		out = append(out, s)
	}
	return out
}
