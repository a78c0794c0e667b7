package member

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// join registers the host in a new epoch. While the row of an earlier process
// of this host is live, it waits for that lease to expire, as for any other host.
// It reports false if ctx ends first.
func (m *Manager) join(ctx, roundCtx context.Context) bool {
	for ctx.Err() == nil {
		rows, ok := m.readMembers(roundCtx)
		if ok && m.tryJoin(roundCtx, rows) {
			return true
		}
		sleep(ctx, owner.RenewEvery/4)
	}
	return false
}

func (m *Manager) tryJoin(ctx context.Context, rows []memberRow) bool {
	var old memberRow
	for _, row := range rows {
		if row.member.Host == m.Member.Host {
			old = row
		}
	}
	if old.version != 0 && old.txn == m.joinTxn {
		// An earlier write of this process took effect, but its answer was lost.
		m.startEpoch(ctx, old, time.Time{})
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, owner.FenceWindow)
	defer cancel()
	mayHoldLease := old.version != 0 && !old.member.State.HasEnded()
	if mayHoldLease && !m.mayFence(ctx, old.member) {
		m.logJoinWait(ctx, old.member.Epoch)
		return false
	}
	return m.writeJoin(ctx, old)
}

// writeJoin registers the host in the epoch after that of its old row. It
// reports whether the write succeeded.
func (m *Manager) writeJoin(ctx context.Context, old memberRow) bool {
	m.mu.Lock()
	member := m.Member
	member.Epoch = old.member.Epoch + 1
	member.State = hoist.MemberLive
	member.Renewals = 1
	member.Electorate = owner.Electorate(m.Member, m.members)
	sent := m.leaseNow()
	m.mu.Unlock()
	m.joinTxn = m.txnID()
	err := m.commit(ctx, hoist.Txn{
		ID:     m.joinTxn,
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: old.version}},
		Puts:   []hoist.Put{memberPut(member), electoratePut(member.Electorate)},
	})
	if err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return false
	}
	m.startEpoch(ctx, memberRow{member: member, version: old.version + 1}, sent)
	return true
}

// startEpoch starts the epoch of the row that was written. The lease counts from
// sent.
func (m *Manager) startEpoch(ctx context.Context, row memberRow, sent time.Time) {
	m.mu.Lock()
	m.epoch = row.member.Epoch
	m.hasJoined = true
	m.row = owner.OwnRow{}
	m.row.RecordKnown(row.version, row.member.Renewals, row.member.Electorate)
	m.joinedAt = m.Clock.Now()
	m.lease.Extend(sent)
	m.logged.isExpired = false
	m.logged.joinAwaits = 0
	m.mu.Unlock()
	events.Joined.Log(ctx, m.Log, "host", row.member.Host, "epoch", row.member.Epoch)
}

func (m *Manager) logJoinWait(ctx context.Context, epoch hoist.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logged.joinAwaits != epoch {
		events.JoinWaiting.Log(ctx, m.Log, "epoch", epoch)
	}
	m.logged.joinAwaits = epoch
}

// leave hands over all shards and marks the row as left, so that no host waits
// for the lease to expire.
func (m *Manager) leave(ctx context.Context) {
	const leaveTime = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	m.mu.Lock()
	m.isLeaving = true
	m.mu.Unlock()
	for ctx.Err() == nil && m.OwnedShards() > 0 && m.hasSuccessor() {
		if !m.leaveRound(ctx) {
			break
		}
		if m.OwnedShards() > 0 {
			sleep(ctx, owner.RenewEvery/4)
		}
	}
	m.endEpoch()
	m.recordLeave(ctx)
}

// leaveRound renews the lease and hands over the shards whose new owner can be
// reached. It reports false if the host was fenced.
func (m *Manager) leaveRound(ctx context.Context) bool {
	if _, ok := m.readMembers(ctx); !ok {
		m.extendByPromises(ctx)
		return true
	}
	if m.wasFenced() {
		return false
	}
	if !m.renew(ctx) {
		m.extendByPromises(ctx)
		return true
	}
	if m.readShards(ctx) {
		m.handOverSurplus(ctx, m.Clock.Now().Add(postRenewalTimeout))
	}
	return true
}

// hasSuccessor reports whether another member can take shards.
func (m *Manager) hasSuccessor() bool {
	for _, member := range m.Members() {
		if member.Host != m.Member.Host && member.State == hoist.MemberLive {
			return true
		}
	}
	return false
}

// recordLeave marks the row as left. If that fails until ctx ends, the other
// members fence this host after its lease has expired.
func (m *Manager) recordLeave(ctx context.Context) {
	for {
		m.mu.Lock()
		row := m.nextRow(hoist.MemberLeft)
		checked := m.row.Version
		m.mu.Unlock()
		err := m.commit(ctx, hoist.Txn{
			ID:     m.txnID(),
			Checks: []hoist.Check{{Key: memberKey(row.Host), Version: checked}},
			Puts:   []hoist.Put{memberPut(row), electoratePut(row.Electorate)},
		})
		if err == nil {
			events.Left.Log(ctx, m.Log, "host", row.Host)
			return
		}
		events.LeaveFailed.Log(ctx, m.Log, "error", err)
		sleep(ctx, owner.RenewEvery/4)
		if ctx.Err() != nil {
			return
		}
		if _, ok := m.readMembers(ctx); ok && m.wasFenced() {
			return
		}
	}
}
