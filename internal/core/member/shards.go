package member

import (
	"context"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// readShards refreshes the shard map if it changed in the table.
func (m *Manager) readShards(ctx context.Context) {
	rows, err := m.scan(ctx, generationKey)
	if err != nil || len(rows) == 0 {
		return
	}
	m.mu.Lock()
	isCurrent := rows[0].Version == m.shardGen
	m.mu.Unlock()
	if isCurrent {
		return
	}
	generation := rows[0].Version
	rows, err = m.scan(ctx, shardPrefix)
	if err != nil {
		return
	}
	if lost := m.setShards(ctx, rows, generation); len(lost) > 0 {
		m.release(ctx, lost)
	}
}

// setShards records the shard rows and returns the shards that this host acted
// for and that now have another owner.
func (m *Manager) setShards(ctx context.Context, rows []hoist.Row, generation hoist.RowVersion) []hoist.ShardID {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shardGen = generation
	var lost []hoist.ShardID
	for _, row := range rows {
		shard, state, err := decodeShard(row)
		if err != nil {
			events.RowUnreadable.Log(ctx, m.Log, "error", err)
			continue
		}
		if !m.shards.Set(shard, state) {
			continue
		}
		m.seenTerms[shard] = max(m.seenTerms[shard], state.Term)
		isOurs := state.Owner == m.Member.Host && state.Epoch == m.Member.Epoch
		if m.active[shard] && !isOurs {
			m.active[shard] = false
			lost = append(lost, shard)
		}
	}
	return lost
}

func (m *Manager) release(ctx context.Context, lost []hoist.ShardID) {
	events.ShardsLost.Log(ctx, m.Log, "shards", len(lost))
	for _, h := range m.Holders {
		h.Release(lost)
	}
}

// dropAll stops acting for every shard.
func (m *Manager) dropAll() {
	m.mu.Lock()
	m.lease.Void()
	var owned []hoist.ShardID
	for i, active := range m.active {
		if active {
			owned = append(owned, hoist.ShardID(i))
		}
		m.active[i] = false
	}
	m.mu.Unlock()
	for _, h := range m.Holders {
		h.Release(owned)
	}
}

// claim takes the shards that nobody can act for and that this host ranks
// first for.
func (m *Manager) claim(ctx context.Context) {
	m.mu.Lock()
	if m.isLeaving || m.Clock.Now().Sub(m.joinedAt) < m.Settle {
		m.mu.Unlock()
		return
	}
	claimable := append(m.shards.Claimable(m.Member.Host, m.members), m.idleShards()...)
	m.mu.Unlock()
	for batch := range slices.Chunk(claimable, shardsPerTxn) {
		m.claimBatch(ctx, batch)
	}
}

// idleShards returns the shards that this host owns in the table without acting
// for them, because a handover was lost on its way. They are claimed in a new
// term when two rounds have passed, as the handover may still arrive.
func (m *Manager) idleShards() []hoist.ShardID {
	const graceRounds = 2
	var out []hoist.ShardID
	for i := range m.idleRounds {
		shard := hoist.ShardID(i)
		s := m.shards.Get(shard)
		if m.active[shard] || s.Owner != m.Member.Host || s.Epoch != m.Member.Epoch {
			m.idleRounds[i] = 0
			continue
		}
		m.idleRounds[i]++
		if m.idleRounds[i] > graceRounds {
			out = append(out, shard)
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
			Epoch:   m.Member.Epoch,
			Term:    max(old.Term, m.seenTerms[shard]) + 1,
			Version: old.Version + 1,
		}
		txn.Checks = append(txn.Checks, hoist.Check{Key: shardKey(shard), Version: old.Version})
		txn.Puts = append(txn.Puts, shardPut(shard, states[i]))
		claim.Shards = append(claim.Shards, hoist.ShardTerm{Shard: shard, Term: states[i].Term})
	}
	m.mu.Unlock()
	if err := m.commit(ctx, txn); err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return
	}
	m.announce(ctx, claim)
	m.activate(claim.Shards, states)
	events.ShardsClaimed.Log(ctx, m.Log, "shards", len(shards))
}

// activate starts to act for shards that this host claimed after their owner
// went away.
func (m *Manager) activate(shards []hoist.ShardTerm, states []owner.ShardState) {
	m.setActive(shards, states)
	horizon := m.Clock.Now().Add(dedup.ClockSkew)
	for _, h := range m.Holders {
		h.Acquire(shards, nil, horizon)
	}
}

func (m *Manager) setActive(shards []hoist.ShardTerm, states []owner.ShardState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range shards {
		m.shards.Set(s.Shard, states[i])
		m.seenTerms[s.Shard] = max(m.seenTerms[s.Shard], s.Term)
		m.active[s.Shard] = true
	}
}

// announce tells the other members of a claim. A member that does not hear it
// reads the shard map from the table.
func (m *Manager) announce(ctx context.Context, claim hoist.Claim) {
	m.vote(ctx, [][]hoist.HostID{m.peerIDs()}, func(ctx context.Context, p hoist.Peer) (bool, error) {
		err := p.Claim(ctx, claim)
		return err == nil, err
	})
}

// giveSurplus hands shards to the members that rank first for them.
func (m *Manager) giveSurplus(ctx context.Context) {
	m.mu.Lock()
	surplus := m.shards.Surplus(m.Member.Host, m.Member.Epoch, m.members)
	m.mu.Unlock()
	byHost := make(map[hoist.HostID][]hoist.ShardID)
	for shard, to := range surplus {
		byHost[to] = append(byHost[to], shard)
	}
	for to, shards := range byHost {
		slices.Sort(shards)
		for batch := range slices.Chunk(shards, shardsPerTxn) {
			m.give(ctx, to, batch)
		}
	}
}

// give hands a batch of shards over: this host stops acting for them, passes
// the request keys, and writes the new owner. If the write fails it claims the
// shards back in a later round, with a horizon.
func (m *Manager) give(ctx context.Context, to hoist.HostID, shards []hoist.ShardID) {
	peer, ok := m.Peer(to)
	epoch, isMember := m.epochOf(to)
	if !ok || !isMember {
		return
	}
	handover := hoist.Handover{Host: m.Member.Host, Horizon: m.Clock.Now()}
	txn := hoist.Txn{ID: m.txnID(), Puts: []hoist.Put{{Key: generationKey, Value: []byte("{}")}}}
	states := make([]owner.ShardState, len(shards))
	m.mu.Lock()
	for i, shard := range shards {
		old := m.shards.Get(shard)
		states[i] = owner.ShardState{Owner: to, Epoch: epoch, Term: old.Term + 1, Version: old.Version + 1}
		txn.Checks = append(txn.Checks, hoist.Check{Key: shardKey(shard), Version: old.Version})
		txn.Puts = append(txn.Puts, shardPut(shard, states[i]))
		handover.Shards = append(handover.Shards, hoist.ShardTerm{Shard: shard, Term: states[i].Term})
		m.active[shard] = false
	}
	m.mu.Unlock()
	for _, h := range m.Holders {
		handover.Keys = append(handover.Keys, h.Release(shards)...)
	}
	if err := m.commit(ctx, txn); err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return
	}
	m.mu.Lock()
	for i, shard := range shards {
		m.shards.Set(shard, states[i])
		m.seenTerms[shard] = max(m.seenTerms[shard], states[i].Term)
	}
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := peer.Handover(callCtx, handover); err != nil {
		events.PeerLost.Log(ctx, m.Log, "host", to, "error", err)
		return
	}
	events.ShardsGiven.Log(ctx, m.Log, "shards", len(shards), "to", to)
}

func (m *Manager) epochOf(host hoist.HostID) (hoist.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.members {
		if member.Host == host && member.State == hoist.MemberLive {
			return member.Epoch, true
		}
	}
	return 0, false
}
