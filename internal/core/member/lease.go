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

// join registers the host in a new epoch. While the row of an earlier process
// is live it waits for that lease to lapse, as for any other host. It reports
// false if ctx ends first.
func (m *Manager) join(ctx context.Context) bool {
	for ctx.Err() == nil {
		rows, err := m.scanMembers(ctx)
		if err == nil {
			m.observe(rows)
			if m.tryJoin(ctx, rows) {
				return true
			}
		} else {
			events.RenewalFailed.Log(ctx, m.Log, "error", err)
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
	isActing := old.version != 0 && old.member.State != hoist.MemberFenced
	if isActing && !m.mayFence(ctx, old.member) {
		events.JoinWaits.Log(ctx, m.Log, "epoch", old.member.Epoch)
		return false
	}
	member := m.Member
	member.Epoch = old.member.Epoch + 1
	member.State = hoist.MemberLive
	member.Renewals = 1
	member.Electorate = electorate(rows, member.Host)
	sent := m.Clock.Now()
	txn := hoist.Txn{
		ID:     m.txnID(),
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: old.version}},
		Puts:   []hoist.Put{memberPut(member)},
	}
	if err := m.commit(ctx, txn); err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return false
	}
	m.mu.Lock()
	m.Member = member
	m.row = old.version + 1
	m.joinedAt = sent
	m.uncertain = nil
	m.lease.Extend(sent)
	m.mu.Unlock()
	events.Joined.Log(ctx, m.Log, "host", member.Host, "epoch", member.Epoch)
	return true
}

// electorate returns the members that vote on self's lease: all that are not
// fenced, and self.
func electorate(rows []memberRow, self hoist.HostID) []hoist.HostID {
	out := []hoist.HostID{self}
	for _, row := range rows {
		if row.member.Host != self && row.member.State != hoist.MemberFenced {
			out = append(out, row.member.Host)
		}
	}
	return out
}

// readMembers refreshes the members from the table.
func (m *Manager) readMembers(ctx context.Context) bool {
	rows, err := m.scanMembers(ctx)
	if err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return false
	}
	m.observe(rows)
	m.connect(ctx)
	return true
}

func (m *Manager) observe(rows []memberRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.tableOK = now
	m.members = m.members[:0:0]
	for _, row := range rows {
		m.members = append(m.members, row.member)
		m.voter.Forget(row.member.Host, row.member.Epoch)
		if row.member.Host == m.Member.Host {
			m.row = row.version
		}
	}
	m.observer.Observe(m.members, now)
}

// wasFenced reports whether the table shows this host fenced or in another
// epoch.
func (m *Manager) wasFenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.members {
		if member.Host == m.Member.Host {
			return member.Epoch != m.Member.Epoch || member.State == hoist.MemberFenced
		}
	}
	return true
}

// renew writes the host's row. Its lease then lasts from before the write.
func (m *Manager) renew(ctx context.Context) bool {
	m.mu.Lock()
	member := m.Member
	for _, row := range m.members {
		if row.Host == member.Host {
			member.Renewals = row.Renewals + 1
		}
	}
	member.Electorate = m.currentElectorate()
	if m.isLeaving {
		member.State = hoist.MemberLeaving
	}
	version := m.row
	m.mu.Unlock()
	sent := m.Clock.Now()
	err := m.commit(ctx, hoist.Txn{
		ID:     m.txnID(),
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: version}},
		Puts:   []hoist.Put{memberPut(member)},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if errors.Is(err, hoist.ErrOutcomeUnknown) {
			m.uncertain = append(m.uncertain, member.Electorate)
		}
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return false
	}
	m.Member = member
	m.row = version + 1
	m.uncertain = nil
	m.isLapsed = false
	m.lease.Extend(sent)
	return true
}

func (m *Manager) currentElectorate() []hoist.HostID {
	out := []hoist.HostID{m.Member.Host}
	for _, member := range m.members {
		if member.Host != m.Member.Host && member.State != hoist.MemberFenced {
			out = append(out, member.Host)
		}
	}
	return out
}

// extendByPromises asks the electorate to promise not to release this host. A
// lost renewal may have changed the electorate in the row, so a majority is
// needed of each electorate that the row may hold.
func (m *Manager) extendByPromises(ctx context.Context) {
	m.mu.Lock()
	lease := hoist.LeaseRef{Host: m.Member.Host, Epoch: m.Member.Epoch, Renewals: m.Member.Renewals}
	electorates := append([][]hoist.HostID{m.Member.Electorate}, m.uncertain...)
	sent := m.Clock.Now()
	self := m.voter.Promise(lease, sent)
	m.mu.Unlock()
	granted := m.vote(ctx, electorates, func(ctx context.Context, p hoist.Peer) (bool, error) {
		return p.Promise(ctx, lease)
	})
	granted[lease.Host] = self
	hasAll := !slices.ContainsFunc(electorates, func(e []hoist.HostID) bool { return !owner.HasMajority(e, granted) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if hasAll {
		m.lease.Extend(sent)
		events.LeasePromised.Log(ctx, m.Log, "promises", len(granted))
	}
	if !m.lease.IsValid(m.Clock.Now()) && !m.isLapsed {
		m.isLapsed = true
		events.LeaseLapsed.Log(ctx, m.Log, "promises", len(granted))
	}
}

// vote asks all hosts of the electorates at the same time and returns who
// granted the vote.
func (m *Manager) vote(
	ctx context.Context, electorates [][]hoist.HostID, ask func(context.Context, hoist.Peer) (bool, error),
) map[hoist.HostID]bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := make(map[hoist.HostID]bool)
	type ballot struct {
		host    hoist.HostID
		granted bool
	}
	ballots := make(chan ballot)
	for _, host := range slices.Concat(electorates...) {
		peer, ok := m.Peer(host)
		if !ok || asked[host] {
			continue
		}
		asked[host] = true
		go func() {
			granted, err := ask(ctx, peer)
			ballots <- ballot{host, granted && err == nil}
		}()
	}
	granted := make(map[hoist.HostID]bool)
	for range asked {
		b := <-ballots
		if b.granted {
			granted[b.host] = true
		}
	}
	return granted
}

// leave hands over all shards and marks the row as fenced, so that nobody waits
// for the lease to lapse.
func (m *Manager) leave(ctx context.Context) {
	const leaveTime = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	m.mu.Lock()
	m.isLeaving = true
	m.mu.Unlock()
	for ctx.Err() == nil && m.OwnedShards() > 0 && len(m.Peers()) > 0 {
		if m.readMembers(ctx) && !m.wasFenced() && m.renew(ctx) {
			m.readShards(ctx)
			m.giveSurplus(ctx)
		}
		if m.OwnedShards() > 0 {
			sleep(ctx, owner.RenewEvery/4)
		}
	}
	m.dropAll()
	m.mu.Lock()
	member := m.Member
	member.State = hoist.MemberFenced
	txn := hoist.Txn{
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: m.row}},
		Puts:   []hoist.Put{memberPut(member)},
	}
	m.mu.Unlock()
	txn.ID = m.txnID()
	if err := m.commit(ctx, txn); err != nil {
		events.RenewalFailed.Log(ctx, m.Log, "error", err)
		return
	}
	events.Left.Log(ctx, m.Log, "host", member.Host)
}
