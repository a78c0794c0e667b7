package member

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// readMembers refreshes the members from the table. It reports false if the
// table could not be read.
func (m *Manager) readMembers(ctx context.Context) ([]memberRow, bool) {
	sent := m.Clock.Now()
	rows, err := m.scanMembers(ctx)
	if err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return nil, false
	}
	m.observe(rows, sent)
	m.connect(ctx)
	return rows, true
}

func (m *Manager) observe(rows []memberRow, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.tableAnsweredAt = now
	m.members = make([]hoist.Member, 0, len(rows))
	for _, row := range rows {
		m.members = append(m.members, row.member)
		if row.member.Host == m.Member.Host && row.member.Epoch == m.epoch {
			m.row.RecordKnown(row.version, row.member.Renewals, row.member.Electorate)
		}
	}
	m.observer.Observe(m.members, now)
	m.voter.RecordMembers(m.members, sent)
	m.targets = owner.HeartbeatTargets(m.Member, m.members)
}

// wasFenced reports whether the table has no row of this host's epoch or has
// marked it as ended.
func (m *Manager) wasFenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.members {
		if member.Host == m.Member.Host {
			return member.Epoch != m.epoch || member.State.HasEnded()
		}
	}
	return true
}

// nextRow returns the host's next member row, in the given state.
func (m *Manager) nextRow(state hoist.MemberState) hoist.Member {
	row := m.Member
	row.Epoch = m.epoch
	row.State = state
	row.Renewals = m.row.Renewals + 1
	row.Electorate = owner.Electorate(m.Member, m.members)
	return row
}

// renew renews the lease by writing the host's row. The new lease counts from
// before the write. It reports false if the write failed.
func (m *Manager) renew(ctx context.Context) bool {
	m.mu.Lock()
	state := hoist.MemberLive
	if m.isLeaving {
		state = hoist.MemberLeaving
	}
	row := m.nextRow(state)
	checked := m.row.Version
	puts := []hoist.Put{memberPut(row)}
	if !m.row.HasElectorate(row.Electorate) {
		puts = append(puts, electoratePut(row.Electorate))
	}
	sent := m.leaseNow()
	m.mu.Unlock()
	err := m.commit(ctx, hoist.Txn{
		ID:     m.txnID(),
		Checks: []hoist.Check{{Key: memberKey(row.Host), Version: checked}},
		Puts:   puts,
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if errors.Is(err, hoist.ErrOutcomeUnknown) {
			m.row.RecordUnknown(checked, row.Electorate)
		}
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return false
	}
	m.row.RecordKnown(checked+1, row.Renewals, row.Electorate)
	m.logged.isExpired = false
	m.logged.isPromised = false
	m.lease.Extend(sent)
	return true
}

// extendByPromises extends the lease if the electorate promises not to release
// it. A renewal of unknown outcome may have changed the electorate in the row, so
// a majority is needed of each electorate that the row may hold.
func (m *Manager) extendByPromises(ctx context.Context) {
	m.mu.Lock()
	if !m.hasJoined {
		m.mu.Unlock()
		return
	}
	lease := hoist.LeaseRef{Host: m.Member.Host, Epoch: m.epoch, Renewals: m.row.Renewals}
	electorates := m.row.Electorates()
	sent := m.leaseNow()
	self := m.voter.Promise(lease, m.Clock.Now())
	m.mu.Unlock()
	granted := m.vote(ctx, electorates, self, func(ctx context.Context, p hoist.Peer) (bool, error) {
		return p.Promise(ctx, lease)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner.HasMajorities(electorates, granted) {
		m.lease.Extend(sent)
		if !m.logged.isPromised {
			events.LeaseExtendedByPromises.Log(ctx, m.Log, "promises", len(granted))
		}
		m.logged.isPromised = true
		m.logged.isExpired = false
	}
	if !m.lease.IsValid(m.leaseNow()) && !m.logged.isExpired {
		m.logged.isExpired = true
		m.logged.isPromised = false
		events.LeaseExpired.Log(ctx, m.Log, "promises", len(granted))
	}
}
