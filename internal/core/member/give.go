package member

import (
	"context"
	"errors"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// giveSurplus hands shards to the members that rank first for them and answer
// heartbeats. It begins no transaction after end.
func (m *Manager) giveSurplus(ctx context.Context, end time.Time) {
	for to, shards := range m.surplus() {
		peer, ok := m.reachable(to)
		if !ok {
			continue
		}
		for batch := range slices.Chunk(shards, shardsPerTxn) {
			if m.Clock.Now().After(end) {
				return
			}
			m.give(ctx, to, peer, batch)
		}
	}
}

// surplus returns the shards that this host acts for and others rank first
// for.
func (m *Manager) surplus() map[hoist.HostID][]hoist.ShardID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[hoist.HostID][]hoist.ShardID)
	for shard, to := range m.shards.Surplus(m.Member.Host, m.epoch, m.members) {
		if m.held[shard].term == m.shards.Get(shard).Term {
			out[to] = append(out[to], shard)
		}
	}
	for _, shards := range out {
		slices.Sort(shards)
	}
	return out
}

// give hands a batch of shards over: this host stops acting for them, writes
// the new owner, and passes the request keys. After a write that certainly had
// no effect it goes on acting; if the outcome is unknown, whoever the table
// names as the owner claims the shards in a later round, with a horizon.
func (m *Manager) give(ctx context.Context, to hoist.HostID, peer hoist.Peer, shards []hoist.ShardID) {
	epoch, ok := m.epochOf(to)
	if !ok {
		return
	}
	txn := hoist.Txn{ID: m.txnID(), Puts: []hoist.Put{{Key: generationKey, Value: []byte("{}")}}}
	states := make([]owner.ShardState, len(shards))
	handover := hoist.Handover{Host: m.Member.Host}
	m.mu.Lock()
	own := m.epoch
	var old []hoist.ShardTerm
	for i, shard := range shards {
		s := m.shards.Get(shard)
		old = append(old, hoist.ShardTerm{Shard: shard, Term: s.Term})
		states[i] = owner.ShardState{Owner: to, Epoch: epoch, Term: s.Term + 1, Version: s.Version + 1}
		txn.Checks = append(txn.Checks, hoist.Check{Key: shardKey(shard), Version: s.Version})
		txn.Puts = append(txn.Puts, shardPut(shard, states[i]))
		handover.Shards = append(handover.Shards, hoist.ShardTerm{Shard: shard, Term: states[i].Term})
	}
	m.mu.Unlock()
	handover.Keys, handover.Horizon = m.stop(shards)
	if err := m.commit(ctx, txn); err != nil {
		events.HandOverFailed.Log(ctx, m.Log, "shards", len(shards), "to", to, "error", err)
		if errors.Is(err, hoist.ErrUnavailable) {
			m.act(own, hoist.Handover{Shards: old, Keys: handover.Keys, Horizon: handover.Horizon}, false)
		}
		return
	}
	m.setStates(handover.Shards, states)
	m.handOver(ctx, to, peer, handover)
}

// stop ends acting for shards. It returns their keys and a horizon that is not
// before any that they were acquired with.
func (m *Manager) stop(shards []hoist.ShardID) ([]hoist.KeyRecord, time.Time) {
	m.notices.Lock()
	defer m.notices.Unlock()
	m.mu.Lock()
	horizon := m.Clock.Now()
	for _, shard := range shards {
		if h := m.held[shard].horizon; h.After(horizon) {
			horizon = h
		}
		m.held[shard] = holding{}
	}
	m.mu.Unlock()
	var keys []hoist.KeyRecord
	for _, h := range m.Holders {
		keys = append(keys, h.Release(shards)...)
	}
	return keys, horizon
}

// handOver passes the keys to the new owner. Without them it claims the shards
// in a new term, so the message is tried twice.
func (m *Manager) handOver(ctx context.Context, to hoist.HostID, peer hoist.Peer, h hoist.Handover) {
	const tries = 2
	var err error
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err = peer.Handover(callCtx, h)
		cancel()
		if err == nil {
			events.ShardsHandedOver.Log(ctx, m.Log, "shards", len(h.Shards), "to", to)
			return
		}
	}
	events.HandoverLost.Log(ctx, m.Log, "host", to, "error", err)
}

// Handover starts to act for shards that another host handed over, if the table
// names this host, in its present epoch, as their owner in these terms. A late
// message is thereby without effect.
func (m *Manager) Handover(ctx context.Context, h hoist.Handover) error {
	keys := make([]hoist.RowKey, 0, len(h.Shards))
	for _, s := range h.Shards {
		keys = append(keys, shardKey(s.Shard))
	}
	readCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := m.Table.Read(readCtx, keys...)
	if err != nil {
		return hoist.ConvertErrorf(hoist.ErrUnavailable, err, "handover from host %s", h.Host)
	}
	m.setShards(ctx, rows)
	epoch, named := m.namedBy(h)
	m.act(epoch, named, false)
	return nil
}

// namedBy returns the part of the handover in which the table names this host,
// in its present epoch, as the owner.
func (m *Manager) namedBy(h hoist.Handover) (hoist.Epoch, hoist.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var named []hoist.ShardTerm
	for _, s := range h.Shards {
		row := m.shards.Get(s.Shard)
		if row.Owner == m.Member.Host && row.Epoch == m.epoch && row.Term == s.Term {
			named = append(named, s)
		}
	}
	h.Shards = named
	return m.epoch, h
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
