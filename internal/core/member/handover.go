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

// handOverSurplus hands shards over to the members that rank first for them and
// answer heartbeats. It begins no transaction after end.
func (m *Manager) handOverSurplus(ctx context.Context, end time.Time) {
	for to, shards := range m.surplus() {
		peer, ok := m.reachable(to)
		if !ok {
			continue
		}
		for batch := range slices.Chunk(shards, shardsPerTxn) {
			if m.Clock.Now().After(end) {
				return
			}
			m.handOverBatch(ctx, to, peer, batch)
		}
	}
}

// surplus returns the shards that this host acts for although another member
// ranks first for them, by that member.
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

// handOverBatch hands a batch of shards over: this host stops acting for them,
// writes the new owner to the table, and sends it the request keys. If the write
// certainly had no effect, this host acts for the shards again. If the outcome is
// unknown, the host that the table names as the owner claims the shards in a
// later round, with a horizon.
func (m *Manager) handOverBatch(ctx context.Context, to hoist.HostID, peer hoist.Peer, shards []hoist.ShardID) {
	epoch, ok := m.epochOf(to)
	if !ok {
		return
	}
	txn := hoist.Txn{ID: m.txnID(), Puts: []hoist.Put{{Key: generationKey, Value: []byte("{}")}}}
	states := make([]owner.ShardState, len(shards))
	handover := hoist.Handover{Host: m.Member.Host}
	m.mu.Lock()
	ownEpoch := m.epoch
	var oldTerms []hoist.ShardTerm
	for i, shard := range shards {
		s := m.shards.Get(shard)
		oldTerms = append(oldTerms, hoist.ShardTerm{Shard: shard, Term: s.Term})
		states[i] = owner.ShardState{Owner: to, Epoch: epoch, Term: s.Term + 1, Version: s.Version + 1}
		txn.Checks = append(txn.Checks, hoist.Check{Key: shardKey(shard), Version: s.Version})
		txn.Puts = append(txn.Puts, shardPut(shard, states[i]))
		handover.Shards = append(handover.Shards, hoist.ShardTerm{Shard: shard, Term: states[i].Term})
	}
	m.mu.Unlock()
	handover.Keys, handover.Horizon = m.stopActing(shards)
	if err := m.commit(ctx, txn); err != nil {
		events.HandoverWriteFailed.Log(ctx, m.Log, "shards", len(shards), "to", to, "error", err)
		if errors.Is(err, hoist.ErrUnavailable) {
			m.startActing(ownEpoch, hoist.Handover{Shards: oldTerms, Keys: handover.Keys, Horizon: handover.Horizon}, false)
		}
		return
	}
	m.recordWrittenShards(handover.Shards, states)
	m.sendHandover(ctx, to, peer, handover)
}

// stopActing stops acting for shards. It returns their request keys and a horizon
// that is not before any that they were acquired with.
func (m *Manager) stopActing(shards []hoist.ShardID) ([]hoist.KeyRecord, time.Time) {
	m.holdersMu.Lock()
	defer m.holdersMu.Unlock()
	m.mu.Lock()
	horizon := m.Clock.Now()
	for _, shard := range shards {
		if h := m.held[shard].horizon; h.After(horizon) {
			horizon = h
		}
		m.held[shard] = heldShard{}
	}
	m.mu.Unlock()
	var keys []hoist.KeyRecord
	for _, h := range m.Holders {
		keys = append(keys, h.Release(shards)...)
	}
	return keys, horizon
}

// sendHandover sends the request keys to the new owner. Without them the new owner
// has to claim the shards in a new term, so the call is tried twice.
func (m *Manager) sendHandover(ctx context.Context, to hoist.HostID, peer hoist.Peer, h hoist.Handover) {
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
	events.HandoverUndelivered.Log(ctx, m.Log, "host", to, "error", err)
}

// Handover handles a handover from another host. This host starts to act for the
// shards of which the table names it, in its present epoch, as the owner in the
// terms of the message, so a late message has no effect. The error is
// hoist.ErrUnavailable if the table could not be read.
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
	m.recordReadShards(ctx, rows)
	epoch, confirmed := m.confirmedPart(h)
	m.startActing(epoch, confirmed, false)
	return nil
}

// confirmedPart returns the part of the handover for which the table names this
// host, in its present epoch, as the owner.
func (m *Manager) confirmedPart(h hoist.Handover) (hoist.Epoch, hoist.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var confirmed []hoist.ShardTerm
	for _, s := range h.Shards {
		row := m.shards.Get(s.Shard)
		if row.Owner == m.Member.Host && row.Epoch == m.epoch && row.Term == s.Term {
			confirmed = append(confirmed, s)
		}
	}
	h.Shards = confirmed
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
