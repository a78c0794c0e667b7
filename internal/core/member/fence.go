package member

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// fenceLapsed fences the members whose lease lapsed.
func (m *Manager) fenceLapsed(ctx context.Context) {
	rows, err := m.scanMembers(ctx)
	if err != nil {
		return
	}
	for _, row := range rows {
		isOther := row.member.Host != m.Member.Host && row.member.State != hoist.MemberFenced
		if isOther && m.mayFence(ctx, row.member) {
			m.fence(ctx, row)
		}
	}
}

// mayFence reports whether the lease of member lapsed and a majority of its
// electorate agrees.
func (m *Manager) mayFence(ctx context.Context, member hoist.Member) bool {
	lease := hoist.LeaseRef{Host: member.Host, Epoch: member.Epoch, Renewals: member.Renewals}
	m.mu.Lock()
	now := m.Clock.Now()
	hasLapsed := m.observer.HasLapsed(member, now)
	self := hasLapsed && m.voter.Release(lease, now)
	m.mu.Unlock()
	if !hasLapsed {
		return false
	}
	events.MemberLapsed.Log(ctx, m.Log, "host", member.Host, "epoch", member.Epoch)
	m.connect(ctx)
	granted := m.vote(ctx, [][]hoist.HostID{member.Electorate}, func(ctx context.Context, p hoist.Peer) (bool, error) {
		return p.Release(ctx, lease)
	})
	granted[m.Member.Host] = self
	if !owner.HasMajority(member.Electorate, granted) {
		events.ReleaseRefused.Log(ctx, m.Log, "host", member.Host, "released", len(granted), "electorate", len(member.Electorate))
		return false
	}
	return true
}

func (m *Manager) fence(ctx context.Context, row memberRow) {
	member := row.member
	member.State = hoist.MemberFenced
	err := m.commit(ctx, hoist.Txn{
		ID:     m.txnID(),
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: row.version}},
		Puts:   []hoist.Put{memberPut(member)},
	})
	if err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return
	}
	events.MemberFenced.Log(ctx, m.Log, "host", member.Host, "epoch", member.Epoch)
	m.readMembers(ctx)
}

// Promise answers another host's Promise call.
func (m *Manager) Promise(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter.Promise(lease, m.Clock.Now())
}

// Release answers another host's Release call.
func (m *Manager) Release(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter.Release(lease, m.Clock.Now())
}

// Claim records the terms of another host's claim, so that outdated messages
// of these shards are refused from now on.
func (m *Manager) Claim(ctx context.Context, c hoist.Claim) {
	epoch, _ := m.epochOf(c.Host)
	var lost []hoist.ShardID
	m.mu.Lock()
	for _, s := range c.Shards {
		if s.Term <= m.seenTerms[s.Shard] {
			continue
		}
		m.seenTerms[s.Shard] = s.Term
		version := m.shards.Get(s.Shard).Version + 1
		m.shards.Set(s.Shard, owner.ShardState{Owner: c.Host, Epoch: epoch, Term: s.Term, Version: version})
		if m.active[s.Shard] {
			m.active[s.Shard] = false
			lost = append(lost, s.Shard)
		}
	}
	m.mu.Unlock()
	if len(lost) > 0 {
		m.release(ctx, lost)
	}
}

// Handover starts to act for shards that another host handed over.
// Shards that were claimed in a later term meanwhile are left out.
func (m *Manager) Handover(h hoist.Handover) {
	var shards []hoist.ShardTerm
	var states []owner.ShardState
	m.mu.Lock()
	for _, s := range h.Shards {
		old := m.shards.Get(s.Shard)
		if s.Term < old.Term || s.Term < m.seenTerms[s.Shard] || m.active[s.Shard] {
			continue
		}
		version := old.Version
		if s.Term > old.Term {
			version++
		}
		shards = append(shards, s)
		states = append(states, owner.ShardState{Owner: m.Member.Host, Epoch: m.Member.Epoch, Term: s.Term, Version: version})
	}
	m.mu.Unlock()
	m.setActive(shards, states)
	for _, holder := range m.Holders {
		holder.Acquire(shards, h.Keys, h.Horizon)
	}
}
