package member

import (
	"context"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// readShards refreshes the shard map if it changed in the table. It reports
// whether the map is as current as the table.
func (m *Manager) readShards(ctx context.Context) bool {
	rows, err := m.scan(ctx, generationKey)
	if err != nil {
		return false
	}
	if len(rows) == 0 {
		return true // no shard has been claimed yet
	}
	generation := rows[0].Version
	m.mu.Lock()
	isCurrent := generation == m.shardGen
	m.mu.Unlock()
	if isCurrent {
		return true
	}
	rows, err = m.scan(ctx, shardPrefix)
	if err != nil {
		return false
	}
	m.recordReadShards(ctx, rows)
	m.mu.Lock()
	m.shardGen = generation
	m.mu.Unlock()
	return true
}

// recordReadShards records shard rows and stops acting for the shards that were
// claimed in a later term.
func (m *Manager) recordReadShards(ctx context.Context, rows []hoist.Row) {
	m.holdersMu.Lock()
	defer m.holdersMu.Unlock()
	var lost []hoist.ShardID
	m.mu.Lock()
	for _, row := range rows {
		shard, state, err := decodeShard(row)
		if err != nil {
			events.RowUnreadable.Log(ctx, m.Log, "error", err)
			continue
		}
		if !m.shards.Set(shard, state) {
			continue
		}
		if m.recordTerm(shard, state.Owner, state.Term) {
			lost = append(lost, shard)
		}
	}
	m.mu.Unlock()
	m.releaseShards(ctx, lost)
}

// recordTerm records that host owns shard in term. It reports whether this host
// acted for the shard in an earlier term and no longer does.
func (m *Manager) recordTerm(shard hoist.ShardID, host hoist.HostID, term hoist.Term) bool {
	m.seenTerms[shard] = max(m.seenTerms[shard], term)
	if term >= m.routes[shard].term {
		m.routes[shard] = route{host, term}
	}
	h := &m.held[shard]
	if h.term == 0 || h.term >= term {
		return false
	}
	h.term = 0
	return true
}

// releaseShards notifies the holders of lost shards. The caller holds holdersMu.
func (m *Manager) releaseShards(ctx context.Context, lost []hoist.ShardID) {
	if len(lost) == 0 {
		return
	}
	events.ShardsLost.Log(ctx, m.Log, "shards", len(lost))
	for _, h := range m.Holders {
		h.Release(lost)
	}
}

// endEpoch ends the epoch of this host: the host revokes its lease and stops
// acting for every shard.
func (m *Manager) endEpoch() {
	m.holdersMu.Lock()
	defer m.holdersMu.Unlock()
	m.mu.Lock()
	m.lease.Revoke()
	m.hasJoined = false
	var held []hoist.ShardID
	for i := range m.held {
		if m.held[i].term != 0 {
			held = append(held, hoist.ShardID(i))
		}
		m.held[i] = heldShard{}
	}
	m.mu.Unlock()
	for _, h := range m.Holders {
		h.Release(held)
	}
}

// claim claims the shards that no host can act for and that this host ranks
// first for. It begins no transaction after end.
func (m *Manager) claim(ctx context.Context, end time.Time) {
	m.mu.Lock()
	now := m.Clock.Now()
	if m.isLeaving || now.Sub(m.joinedAt) < m.JoinDelay {
		m.mu.Unlock()
		return
	}
	claimable := append(m.shards.Claimable(m.Member.Host, m.members), m.idleShards(now)...)
	m.mu.Unlock()
	for batch := range slices.Chunk(claimable, shardsPerTxn) {
		if m.Clock.Now().After(end) {
			return
		}
		m.claimBatch(ctx, batch)
	}
}

// idleShards returns the shards that this host owns in the table without acting
// for them, because a handover was lost or the outcome of a write was unknown.
// They are claimed in a new term after a grace period, as the handover may still
// arrive.
func (m *Manager) idleShards(now time.Time) []hoist.ShardID {
	const idleGrace = 2 * owner.RenewEvery
	var out []hoist.ShardID
	for i := range m.held {
		h := &m.held[i]
		s := m.shards.Get(hoist.ShardID(i))
		if h.term != 0 || s.Owner != m.Member.Host || s.Epoch != m.epoch {
			h.idleSince = time.Time{}
			continue
		}
		if h.idleSince.IsZero() {
			h.idleSince = now
		}
		if now.Sub(h.idleSince) >= idleGrace {
			out = append(out, hoist.ShardID(i))
		}
	}
	return out
}

func (m *Manager) claimBatch(ctx context.Context, shards []hoist.ShardID) {
	txn := hoist.Txn{ID: m.txnID(), Puts: []hoist.Put{{Key: generationKey, Value: []byte("{}")}}}
	states := make([]owner.ShardState, len(shards))
	claim := hoist.Claim{Host: m.Member.Host}
	m.mu.Lock()
	for i, shard := range shards {
		old := m.shards.Get(shard)
		states[i] = owner.ShardState{
			Owner:   m.Member.Host,
			Epoch:   m.epoch,
			Term:    max(old.Term, m.seenTerms[shard]) + 1,
			Version: old.Version + 1,
		}
		m.held[shard].isClaiming = true
		txn.Checks = append(txn.Checks, hoist.Check{Key: shardKey(shard), Version: old.Version})
		txn.Puts = append(txn.Puts, shardPut(shard, states[i]))
		claim.Shards = append(claim.Shards, hoist.ShardTerm{Shard: shard, Term: states[i].Term})
	}
	m.mu.Unlock()
	err := m.commit(ctx, txn)
	if err != nil {
		events.ClaimFailed.Log(ctx, m.Log, "shards", len(shards), "error", err)
	} else {
		m.announce(ctx, claim)
		m.recordWrittenShards(claim.Shards, states)
		horizon := m.Clock.Now().Add(dedup.ClockSkew)
		m.startActing(states[0].Epoch, hoist.Handover{Shards: claim.Shards, Horizon: horizon}, true)
		events.ShardsClaimed.Log(ctx, m.Log, "shards", len(shards))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range shards {
		m.held[shard].isClaiming = false
	}
}

// recordWrittenShards records shard rows that this host wrote.
func (m *Manager) recordWrittenShards(shards []hoist.ShardTerm, states []owner.ShardState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range shards {
		m.shards.Set(s.Shard, states[i])
		m.recordTerm(s.Shard, states[i].Owner, s.Term)
	}
}

// startActing starts to act for shards in the terms that the table has for this
// host in the given epoch. It skips shards that the host already acts for, that
// were claimed in a later term, or that another goroutine is claiming.
func (m *Manager) startActing(epoch hoist.Epoch, h hoist.Handover, isClaim bool) {
	m.holdersMu.Lock()
	defer m.holdersMu.Unlock()
	var started []hoist.ShardTerm
	isStarted := make(map[hoist.ShardID]bool)
	m.mu.Lock()
	isCurrent := m.hasJoined && epoch == m.epoch
	for _, s := range h.Shards {
		held := m.held[s.Shard]
		if !isCurrent || held.term != 0 || held.isClaiming != isClaim || s.Term < m.seenTerms[s.Shard] {
			continue
		}
		m.held[s.Shard] = heldShard{term: s.Term, horizon: h.Horizon}
		started = append(started, s)
		isStarted[s.Shard] = true
	}
	m.mu.Unlock()
	if len(started) == 0 {
		return
	}
	keys := slices.DeleteFunc(slices.Clone(h.Keys), func(k hoist.KeyRecord) bool {
		return !isStarted[hoist.ShardOf(hoist.KindRequest, string(k.Key))]
	})
	for _, holder := range m.Holders {
		holder.Acquire(started, keys, h.Horizon)
	}
}

// announce sends a claim to the other members and waits for their answers, for
// peerTimeout at most. A member that misses it reads the shard map from the table.
func (m *Manager) announce(ctx context.Context, claim hoist.Claim) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := m.Peers()
	done := make(chan struct{}, len(peers))
	for _, peer := range peers {
		m.goroutines.Go(func() {
			// The error is ignored, as the member also reads the table.
			_ = peer.Claim(ctx, claim)
			done <- struct{}{}
		})
	}
	for range peers {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// Claim records the terms of another host's claim, so that stale messages about
// these shards are refused from now on. The shard map keeps what was read from
// the table, since only the table decides which shards may be claimed. A claim
// without shards requests a round at the table.
func (m *Manager) Claim(ctx context.Context, c hoist.Claim) {
	if len(c.Shards) == 0 {
		m.requestRound()
		return
	}
	m.holdersMu.Lock()
	defer m.holdersMu.Unlock()
	var lost []hoist.ShardID
	m.mu.Lock()
	for _, s := range c.Shards {
		if m.recordTerm(s.Shard, c.Host, s.Term) {
			lost = append(lost, s.Shard)
		}
	}
	m.mu.Unlock()
	m.releaseShards(ctx, lost)
}
