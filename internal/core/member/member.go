// Package member keeps a host in the cell: it registers the host in the table,
// renews its lease, watches the other members, takes over from those whose
// lease lapsed, and claims and hands over shards. The rules are in
// internal/decide/owner; this package carries them out.
//
// # Usage
//
//	m := &member.Manager{Member: self, Table: t, Dial: dial, Clock: clock, Log: logger}
//	m.Holders = []hoist.ShardHolder{router, tasks}
//	m.Heartbeats = daemon
//	err := m.Run(ctx) // until ctx ends; then the host has left the cell
//
// Manager implements hoist.Ownership for the parts of the daemon that act as
// owners, and the votes, claims and heartbeats of hoist.Peer.
//
// # Concurrency
//
// One goroutine talks to the table, and one to each other host. All state is
// behind one mutex, which is never held during a call to another process. A
// second mutex keeps the notices to the shard holders in the order of the
// changes that they report.
package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

const (
	// tableTimeout bounds each call to the table. A read, a renewal and the
	// read that settles it then leave time to ask for promises before a lease
	// that was renewed one round earlier ends.
	tableTimeout = 500 * time.Millisecond
	// peerTimeout bounds each vote, claim and heartbeat.
	peerTimeout = 500 * time.Millisecond
	// handoverTimeout fits the read that the receiver of a handover makes.
	handoverTimeout = tableTimeout + 200*time.Millisecond
	// workTime bounds what a round does after its renewal, for the same reason.
	workTime = 700 * time.Millisecond
	// minPause keeps rounds apart when the table is slow.
	minPause = 100 * time.Millisecond
	// heartbeatEvery is the period of heartbeats to each member.
	heartbeatEvery = time.Second
	// farBeatEvery is the number of periods between heartbeats to members that
	// are not among owner.HeartbeatTargets, which only find half-open connections.
	farBeatEvery = 10
	// keepLeftFor is twice the default drain time of a host that left.
	keepLeftFor = time.Minute
	// shardsPerTxn keeps claim transactions small.
	shardsPerTxn = 64
)

// Manager keeps one host in the cell. Set the exported fields before Run.
type Manager struct {
	// Member is this host; Epoch, State, Renewals and Electorate are not used.
	Member hoist.Member
	Table  hoist.Table
	// Dial returns a client for the host at an address. It does not connect.
	Dial       func(addr string) hoist.Peer
	Clock      hoist.Clock
	Log        *slog.Logger
	Holders    []hoist.ShardHolder
	Heartbeats hoist.HeartbeatHandler
	// JoinDelay is how long a host waits after joining before it claims shards,
	// so that hosts that start together share them at once.
	JoinDelay time.Duration

	// notices is held while shards change hands and the holders are told. It
	// is locked before mu.
	notices sync.Mutex

	mu        sync.Mutex
	epoch     hoist.Epoch
	hasJoined bool
	row       owner.OwnRow
	// electorates are those of the member rows last read.
	electorates map[digest][]hoist.VoterID
	lease       owner.Lease
	observer    owner.Observer
	voter       *owner.Voter
	shards      owner.Map
	routes      [hoist.NumShards]route
	seenTerms   [hoist.NumShards]hoist.Term
	held        [hoist.NumShards]holding
	members     []hoist.Member
	joinedAt    time.Time
	shardGen    hoist.RowVersion
	tableOK     time.Time
	isLeaving   bool
	peers       map[hoist.HostID]*link
	workers     map[hoist.HostID]*heardWorkers
	leftLinks   []*link
	targets     map[hoist.HostID]bool
	process     uint64
	txnCount    int
	joinTxn     hoist.TxnID
	reported    reported

	isKilled atomic.Bool
	messages atomic.Uint64
	kill     context.CancelFunc
	wake     chan struct{}
	links    sync.WaitGroup
}

// route is the owner of a shard as far as this host has heard.
type route struct {
	host hoist.HostID
	term hoist.Term
}

// holding is what this host does with one shard.
type holding struct {
	// term is the term in which this host acts for the shard, 0 if it does
	// not.
	term hoist.Term
	// horizon is the one that the shard was acquired with.
	horizon time.Time
	// idleSince is when the table was first seen to name this host as the
	// owner of the shard while it does not act for it.
	idleSince time.Time
	// isClaiming keeps a late handover from starting a shard that is being
	// claimed in a later term.
	isClaiming bool
}

// reported holds what was logged, so that a lasting state is logged once.
type reported struct {
	isLapsed   bool
	isPromised bool
	waitsFor   hoist.Epoch
	lapsed     map[hoist.HostID]hoist.LeaseRef
}

var _ hoist.Ownership = (*Manager)(nil)

// Run joins the cell and keeps the host in it until ctx ends. It then hands
// over all shards, leaves, and returns.
func (m *Manager) Run(ctx context.Context) error {
	// A round at the table is finished even when ctx ends, since a write that
	// is broken off has an unknown outcome.
	round, kill := context.WithCancel(context.WithoutCancel(ctx))
	defer kill()
	m.start(kill)
	for m.join(ctx, round) {
		m.serve(ctx, round)
		if m.isKilled.Load() {
			m.drop()
			return nil
		}
		if ctx.Err() != nil {
			m.leave(round)
			return nil
		}
	}
	return nil
}

func (m *Manager) start(kill context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kill = kill
	m.voter = owner.NewVoter(m.Clock.Now())
	m.peers = make(map[hoist.HostID]*link)
	m.workers = make(map[hoist.HostID]*heardWorkers)
	m.process = rand.Uint64()
	m.wake = make(chan struct{}, 1)
	m.reported.lapsed = make(map[hoist.HostID]hoist.LeaseRef)
}

// Kill makes Run return without leaving the cell, as if the process had died.
// The end of Run's context must follow.
func (m *Manager) Kill() {
	m.isKilled.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kill != nil {
		m.kill()
	}
}

// Close breaks the connections to other hosts and waits for the goroutines
// that use them. Call it after Run has returned and nothing in flight needs
// them.
func (m *Manager) Close() {
	m.closePeers()
	m.links.Wait()
}

// serve renews and claims until ctx ends or the host is fenced.
func (m *Manager) serve(ctx, round context.Context) {
	for ctx.Err() == nil && !m.isKilled.Load() {
		start := m.Clock.Now()
		if !m.tick(round) {
			events.Fenced.Log(ctx, m.Log, "host", m.Member.Host)
			return
		}
		m.pause(ctx, start)
	}
}

// tick does one round at the table. It reports false if the host was fenced.
func (m *Manager) tick(ctx context.Context) bool {
	rows, ok := m.readMembers(ctx)
	if !ok {
		m.extendByPromises(ctx)
		return true
	}
	if m.wasFenced() {
		m.drop()
		return false
	}
	if !m.renew(ctx) {
		m.extendByPromises(ctx)
		return true
	}
	end := m.Clock.Now().Add(workTime)
	if !m.readShards(ctx) {
		return true
	}
	m.fenceLapsed(ctx, rows)
	m.claim(ctx, end)
	m.giveSurplus(ctx, end)
	return true
}

// pause waits until the next round: one renewal period after start, or earlier
// if the lease of a member lapses before or another host asks for a look at
// the table.
func (m *Manager) pause(ctx context.Context, start time.Time) {
	m.mu.Lock()
	now := m.Clock.Now()
	next := start.Add(owner.RenewEvery)
	if lapse, ok := m.observer.NextExpiry(m.members, now); ok && lapse.Before(next) {
		next = lapse
	}
	m.mu.Unlock()
	timer := time.NewTimer(max(next.Sub(now), minPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.wake:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Self implements hoist.Ownership.
func (m *Manager) Self() hoist.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Member.Host
}

// Owns implements hoist.Ownership.
func (m *Manager) Owns(shard hoist.ShardID) (hoist.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	term := m.held[shard].term
	if term == 0 || term < m.seenTerms[shard] || !m.lease.IsValid(m.Clock.Now()) {
		return 0, false
	}
	return term, true
}

// OwnerOf implements hoist.Ownership.
func (m *Manager) OwnerOf(shard hoist.ShardID) (hoist.HostID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := m.routes[shard].host
	return host, host != ""
}

// Accepts implements hoist.Ownership.
func (m *Manager) Accepts(shard hoist.ShardID, term hoist.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.seenTerms[shard] {
		return false
	}
	m.seenTerms[shard] = term
	return true
}

// IsReady reports whether the host holds a valid lease, for health checks.
func (m *Manager) IsReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.IsValid(m.Clock.Now()) && !m.isLeaving
}

// TableAge returns the time since the last answer of the table.
func (m *Manager) TableAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Sub(m.tableOK)
}

// Messages returns the number of heartbeats sent and received so far.
func (m *Manager) Messages() uint64 {
	return m.messages.Load()
}

// Members returns the members as the table last said.
func (m *Manager) Members() []hoist.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]hoist.Member(nil), m.members...)
}

// OwnedShards returns how many shards this host acts for.
func (m *Manager) OwnedShards() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.held {
		if h.term != 0 {
			n++
		}
	}
	return n
}
