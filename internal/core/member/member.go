// Package member manages the membership of a host in the cell: it registers the
// host in the table, renews its lease, observes the other members, takes over
// from those whose lease expired, and claims and hands over shards. The rules
// are in internal/decide/owner; this package applies them.
//
// # Usage
//
//	m := &member.Manager{Member: self, Table: t, Dial: dial, Clock: clock, Log: logger}
//	m.Holders = []hoist.ShardHolder{router, tasks}
//	m.Heartbeats = daemon
//	err := m.Run(ctx) // until ctx ends; then the host has left the cell
//
// Manager implements hoist.Ownership for the parts of the daemon that act as
// owners, and handles the votes, claims, handovers and heartbeats of hoist.Peer.
//
// # Concurrency
//
// One goroutine calls the table, and one calls each other host. One mutex guards
// the state; it is never held during a call to another process. A second mutex
// makes the notifications of the shard holders follow the order of the ownership
// changes.
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
	// read that resolves its outcome then leave time to ask for promises before
	// a lease that was renewed one round earlier expires.
	tableTimeout = 500 * time.Millisecond
	// peerTimeout bounds each vote, claim and heartbeat call.
	peerTimeout = 500 * time.Millisecond
	// handoverTimeout includes the table read of the host that receives a handover.
	handoverTimeout = tableTimeout + 200*time.Millisecond
	// postRenewalTimeout bounds the work of a round after its renewal, so that
	// there is time to ask for promises before the lease expires.
	postRenewalTimeout = 700 * time.Millisecond
	// minRoundDelay is the minimum delay before the next round when a slow table
	// has used up the renewal interval.
	minRoundDelay = 100 * time.Millisecond
	// heartbeatEvery is the interval between heartbeats to a member.
	heartbeatEvery = time.Second
	// nonTargetPeriods is the number of heartbeat intervals between heartbeats to
	// members that are not among owner.HeartbeatTargets. These heartbeats only
	// detect half-open connections.
	nonTargetPeriods = 10
	// leftLinkRetention is how long the link to a host that left stays open:
	// twice the default drain time.
	leftLinkRetention = time.Minute
	// shardsPerTxn bounds the shards of one claim or handover, to keep the
	// transactions small.
	shardsPerTxn = 64
)

// Manager manages the membership of one host. Set the exported fields before Run.
type Manager struct {
	// Member describes this host; its Epoch, State, Renewals and Electorate are
	// not used.
	Member hoist.Member
	Table  hoist.Table
	// Dial returns a client for the host at an address. It does not connect.
	Dial  func(addr string) hoist.Peer
	Clock hoist.Clock
	// LeaseClock is the clock of this host's lease, which counts the time in which the
	// machine was suspended; see clock.Lease. If it is nil, Clock is used.
	LeaseClock hoist.Clock
	Log        *slog.Logger
	Holders    []hoist.ShardHolder
	Heartbeats hoist.HeartbeatHandler
	// JoinDelay is how long a host waits after joining before it claims shards,
	// so that hosts that start together divide the shards from the beginning.
	JoinDelay time.Duration

	// holdersMu is held while the ownership of shards changes and the holders
	// are notified. It is locked before mu.
	holdersMu sync.Mutex

	mu        sync.Mutex
	epoch     hoist.Epoch
	hasJoined bool
	row       owner.OwnRow
	// electorates holds the electorates of the member rows last read.
	electorates     map[digest][]hoist.VoterID
	lease           owner.Lease
	observer        owner.Observer
	voter           *owner.Voter
	shards          owner.Map
	routes          [hoist.NumShards]route
	seenTerms       [hoist.NumShards]hoist.Term
	held            [hoist.NumShards]heldShard
	members         []hoist.Member
	joinedAt        time.Time
	shardGen        hoist.RowVersion
	tableAnsweredAt time.Time
	isLeaving       bool
	peers           map[hoist.HostID]*link
	workers         map[hoist.HostID]*remoteWorkers
	leftLinks       []*link
	targets         map[hoist.HostID]bool
	processNonce    uint64
	txnCount        int
	joinTxn         hoist.TxnID
	logged          logged

	isKilled       atomic.Bool
	heartbeatCount atomic.Uint64
	kill           context.CancelFunc
	wake           chan struct{}
	goroutines     sync.WaitGroup
}

// route is the latest owner of a shard that this host knows of, and its term.
type route struct {
	host hoist.HostID
	term hoist.Term
}

// heldShard is the state of one shard on this host.
type heldShard struct {
	// term is the term in which this host acts for the shard, or 0 if it does
	// not act for it.
	term hoist.Term
	// horizon is the cut-off of issue times that the shard was acquired with.
	horizon time.Time
	// idleSince is when the table was first seen to name this host as the
	// owner of the shard while it does not act for it.
	idleSince time.Time
	// isClaiming is set while this host claims the shard in a later term, so
	// that a late handover does not start it.
	isClaiming bool
}

// logged holds the states that were logged, so that a state that persists
// is logged once.
type logged struct {
	isExpired     bool
	isPromised    bool
	joinAwaits    hoist.Epoch
	expiredLeases map[hoist.HostID]hoist.LeaseRef
}

var _ hoist.Ownership = (*Manager)(nil)

// Run joins the cell and keeps the host in it until ctx ends. It then hands
// over all shards, leaves, and returns.
func (m *Manager) Run(ctx context.Context) error {
	// A round is completed even when ctx ends, since a cancelled write has an
	// unknown outcome.
	roundCtx, kill := context.WithCancel(context.WithoutCancel(ctx))
	defer kill()
	m.start(kill)
	for m.join(ctx, roundCtx) {
		m.runRounds(ctx, roundCtx)
		if m.isKilled.Load() {
			m.endEpoch()
			return nil
		}
		if ctx.Err() != nil {
			m.leave(roundCtx)
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
	m.workers = make(map[hoist.HostID]*remoteWorkers)
	m.processNonce = rand.Uint64()
	m.wake = make(chan struct{}, 1)
	m.logged.expiredLeases = make(map[hoist.HostID]hoist.LeaseRef)
}

// Kill makes Run return without leaving the cell, as if the process had died.
// The caller must then cancel Run's context.
func (m *Manager) Kill() {
	m.isKilled.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kill != nil {
		m.kill()
	}
}

// Close closes the connections to other hosts and waits for the goroutines
// that use them. Call it after Run has returned, when no request in flight needs
// the connections.
func (m *Manager) Close() {
	m.closePeers()
	m.goroutines.Wait()
}

// runRounds runs rounds at the table until ctx ends or the host is fenced.
func (m *Manager) runRounds(ctx, roundCtx context.Context) {
	for ctx.Err() == nil && !m.isKilled.Load() {
		start := m.Clock.Now()
		if !m.runRound(roundCtx) {
			events.Fenced.Log(ctx, m.Log, "host", m.Member.Host)
			return
		}
		m.waitForRound(ctx, start)
	}
}

// runRound runs one round: it reads the members, renews the lease, fences members
// whose lease expired, and claims and hands over shards. It reports false if this
// host was fenced.
func (m *Manager) runRound(ctx context.Context) bool {
	rows, ok := m.readMembers(ctx)
	if !ok {
		m.extendByPromises(ctx)
		return true
	}
	if m.wasFenced() {
		m.endEpoch()
		return false
	}
	if !m.renew(ctx) {
		m.extendByPromises(ctx)
		return true
	}
	end := m.Clock.Now().Add(postRenewalTimeout)
	if !m.readShards(ctx) {
		return true
	}
	m.fenceExpired(ctx, rows)
	m.claim(ctx, end)
	m.handOverSurplus(ctx, end)
	return true
}

// waitForRound waits until the next round: one renewal interval after start, or
// earlier if the lease of a member expires before then or another host requests
// a round.
func (m *Manager) waitForRound(ctx context.Context, start time.Time) {
	m.mu.Lock()
	now := m.Clock.Now()
	next := start.Add(owner.RenewEvery)
	if expiry, ok := m.observer.NextExpiry(m.members, now); ok && expiry.Before(next) {
		next = expiry
	}
	m.mu.Unlock()
	timer := time.NewTimer(max(next.Sub(now), minRoundDelay))
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
	if term == 0 || term < m.seenTerms[shard] || !m.lease.IsValid(m.leaseNow()) {
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

// leaseNow returns the time on the clock of the lease.
func (m *Manager) leaseNow() time.Time {
	if m.LeaseClock != nil {
		return m.LeaseClock.Now()
	}
	return m.Clock.Now()
}

// IsReady reports whether the host holds a valid lease and is not leaving, for
// health checks.
func (m *Manager) IsReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.IsValid(m.leaseNow()) && !m.isLeaving
}

// TableAge returns the time since the last answer of the table.
func (m *Manager) TableAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Sub(m.tableAnsweredAt)
}

// HeartbeatCount returns the number of heartbeats sent and received so far.
func (m *Manager) HeartbeatCount() uint64 {
	return m.heartbeatCount.Load()
}

// Members returns the members as last read from the table.
func (m *Manager) Members() []hoist.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]hoist.Member(nil), m.members...)
}

// OwnedShards returns the number of shards that this host acts for.
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
