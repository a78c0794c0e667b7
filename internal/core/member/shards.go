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
		return true // nobody has claimed a shard yet
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
	m.setShards(ctx, rows)
	m.mu.Lock()
	m.shardGen = generation
	m.mu.Unlock()
	return true
}

// setShards records shard rows and stops acting for the shards that were
// claimed in a later term.
func (m *Manager) setShards(ctx context.Context, rows []hoist.Row) {
	m.notices.Lock()
	defer m.notices.Unlock()
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
		if m.learnTerm(shard, state.Owner, state.Term) {
			lost = append(lost, shard)
		}
	}
	m.mu.Unlock()
	m.release(ctx, lost)
}

// learnTerm records that host owns shard in term. It reports whether this host
// acted for the shard in an earlier term and no longer does.
func (m *Manager) learnTerm(shard hoist.ShardID, host hoist.HostID, term hoist.Term) bool {
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

// release tells the holders of lost shards. The caller holds notices.
func (m *Manager) release(ctx context.Context, lost []hoist.ShardID) {
	if len(lost) == 0 {
		return
	}
	events.ShardsLost.Log(ctx, m.Log, "shards", len(lost))
	for _, h := range m.Holders {
		h.Release(lost)
	}
}

// drop ends the epoch of this host: it stops acting for every shard.
func (m *Manager) drop() {
	m.notices.Lock()
	defer m.notices.Unlock()
	m.mu.Lock()
	m.lease.Revoke()
	m.hasJoined = false
	var held []hoist.ShardID
	for i := range m.held {
		if m.held[i].term != 0 {
			held = append(held, hoist.ShardID(i))
		}
		m.held[i] = holding{}
	}
	m.mu.Unlock()
	for _, h := range m.Holders {
		h.Release(held)
	}
}

// claim takes the shards that nobody can act for and that this host ranks
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
// They are claimed in a new term after a grace time, as the handover may still
// arrive.
func (m *Manager) idleShards(now time.Time) []hoist.ShardID {
	const grace = 2 * owner.RenewEvery
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
		if now.Sub(h.idleSince) >= grace {
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
		m.setStates(claim.Shards, states)
		horizon := m.Clock.Now().Add(dedup.ClockSkew)
		m.act(states[0].Epoch, hoist.Handover{Shards: claim.Shards, Horizon: horizon}, true)
		events.ShardsClaimed.Log(ctx, m.Log, "shards", len(shards))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range shards {
		m.held[shard].isClaiming = false
	}
}

// setStates records shard rows that this host wrote.
func (m *Manager) setStates(shards []hoist.ShardTerm, states []owner.ShardState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range shards {
		m.shards.Set(s.Shard, states[i])
		m.learnTerm(s.Shard, states[i].Owner, s.Term)
	}
}

// act starts to act for shards in the terms that the table has for this host
// in the given epoch. Shards that it acts for already, that were claimed in a
// later term, or that another goroutine is claiming are left out.
func (m *Manager) act(epoch hoist.Epoch, h hoist.Handover, isClaim bool) {
	m.notices.Lock()
	defer m.notices.Unlock()
	var started []hoist.ShardTerm
	isStarted := make(map[hoist.ShardID]bool)
	m.mu.Lock()
	isCurrent := m.hasJoined && epoch == m.epoch
	for _, s := range h.Shards {
		held := m.held[s.Shard]
		if !isCurrent || held.term != 0 || held.isClaiming != isClaim || s.Term < m.seenTerms[s.Shard] {
			continue
		}
		m.held[s.Shard] = holding{term: s.Term, horizon: h.Horizon}
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

// announce tells the other members of a claim. A member that does not hear it
// reads the shard map from the table.
func (m *Manager) announce(ctx context.Context, claim hoist.Claim) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := m.Peers()
	done := make(chan struct{}, len(peers))
	for _, peer := range peers {
		m.links.Go(func() {
			// A member that misses the claim reads it from the table.
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

// Claim records the terms of another host's claim, so that outdated messages
// of these shards are refused from now on. The shard map keeps what the table
// said, as only that tells which shards may be claimed.
func (m *Manager) Claim(ctx context.Context, c hoist.Claim) {
	if len(c.Shards) == 0 {
		m.wakeUp()
		return
	}
	m.notices.Lock()
	defer m.notices.Unlock()
	var lost []hoist.ShardID
	m.mu.Lock()
	for _, s := range c.Shards {
		if m.learnTerm(s.Shard, c.Host, s.Term) {
			lost = append(lost, s.Shard)
		}
	}
	m.mu.Unlock()
	m.release(ctx, lost)
}
