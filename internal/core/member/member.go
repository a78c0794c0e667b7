// Package member keeps a host in the cell: it registers the host in the table,
// renews its lease, watches the other members, takes over from those whose
// lease lapsed, and claims and hands over shards. The rules are in
// internal/decide/owner; this package carries them out.
//
// # Usage
//
//	m := &member.Manager{Member: self, Table: t, Dial: dial, Clock: clock, Log: logger}
//	m.Holders = []hoist.ShardHolder{router, tasks}
//	m.Beat = daemon
//	err := m.Run(ctx) // until ctx ends; then the host has left the cell
//
// Manager implements hoist.Ownership for the parts of the daemon that act as
// owners, and the votes, claims and heartbeats of hoist.Peer.
//
// # Concurrency
//
// One goroutine talks to the table, and one to each other host. All state is
// behind one mutex, which is never held during a call to another process.
package member

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

const (
	// tableTimeout bounds each call to the table, so that two calls fit in
	// one renewal period.
	tableTimeout = 600 * time.Millisecond
	// peerTimeout bounds each vote, claim and heartbeat.
	peerTimeout = 500 * time.Millisecond
	// heartbeatEvery is the period of heartbeats to each member.
	heartbeatEvery = 500 * time.Millisecond
	// shardsPerTxn keeps claim transactions small.
	shardsPerTxn = 64
)

// Beater composes and receives heartbeats.
type Beater interface {
	// Beat fills in what this host tells the others.
	Beat(h *hoist.Heartbeat)
	// Heard receives what another host told.
	Heard(h hoist.Heartbeat)
}

// Manager keeps one host in the cell. Set the exported fields before Run.
type Manager struct {
	// Member is this host; Epoch, State, Renewals and Electorate are filled in.
	Member hoist.Member
	Table  hoist.Table
	// Dial returns a client for the host at an address. It does not connect.
	Dial    func(addr string) hoist.Peer
	Clock   hoist.Clock
	Log     *slog.Logger
	Holders []hoist.ShardHolder
	Beat    Beater
	// Settle is how long a host waits after joining before it claims shards,
	// so that hosts that start together share them at once.
	Settle time.Duration

	mu         sync.Mutex
	lease      owner.Lease
	observer   owner.Observer
	voter      *owner.Voter
	shards     owner.Map
	seenTerms  [hoist.NumShards]hoist.Term
	active     [hoist.NumShards]bool
	idleRounds [hoist.NumShards]int
	members    []hoist.Member
	row        hoist.RowVersion
	joinedAt   time.Time
	uncertain  [][]hoist.HostID
	shardGen   hoist.RowVersion
	tableOK    time.Time
	isLeaving  bool
	peers      map[hoist.HostID]*link
	isLapsed   bool
	txnCounter int
	isKilled   atomic.Bool
}

var _ hoist.Ownership = (*Manager)(nil)

// Run joins the cell and keeps the host in it until ctx ends. It then hands
// over all shards, leaves, and returns.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.voter = owner.NewVoter(m.Clock.Now())
	m.peers = make(map[hoist.HostID]*link)
	m.mu.Unlock()
	for {
		if !m.join(ctx) {
			return nil
		}
		m.serve(ctx)
		if m.isKilled.Load() {
			m.dropAll()
			return nil
		}
		if ctx.Err() != nil {
			m.leave(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// Kill makes Run return without leaving the cell, as if the process had died.
// The end of Run's context must follow.
func (m *Manager) Kill() {
	m.isKilled.Store(true)
}

// Close breaks the connections to other hosts. Call it after Run has returned
// and nothing in flight needs them.
func (m *Manager) Close() {
	m.closePeers()
}

// serve renews and claims until ctx ends or the host is fenced.
func (m *Manager) serve(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.tick(ctx) {
			events.Fenced.Log(ctx, m.Log, "host", m.Member.Host)
			return
		}
		sleep(ctx, owner.RenewEvery)
	}
}

// tick does one round at the table. It reports false if the host was fenced.
func (m *Manager) tick(ctx context.Context) bool {
	if !m.readMembers(ctx) {
		m.extendByPromises(ctx)
		return true
	}
	if m.wasFenced() {
		m.dropAll()
		return false
	}
	if !m.renew(ctx) {
		m.extendByPromises(ctx)
		return true
	}
	m.readShards(ctx)
	m.fenceLapsed(ctx)
	m.claim(ctx)
	m.giveSurplus(ctx)
	return true
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
	if !m.active[shard] || !m.lease.IsValid(m.Clock.Now()) {
		return 0, false
	}
	s := m.shards.Get(shard)
	return s.Term, s.Owner == m.Member.Host && s.Epoch == m.Member.Epoch && s.Term >= m.seenTerms[shard]
}

// OwnerOf implements hoist.Ownership.
func (m *Manager) OwnerOf(shard hoist.ShardID) (hoist.HostID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := m.shards.Get(shard).Owner
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
	for _, active := range m.active {
		if active {
			n++
		}
	}
	return n
}
