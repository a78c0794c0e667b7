package member

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// fenceExpired fences the members whose lease expired, all concurrently, since
// the loss of a data centre must not delay this host's next renewal.
func (m *Manager) fenceExpired(ctx context.Context, rows []memberRow) {
	var wg sync.WaitGroup
	var fenced atomic.Int32
	for _, row := range rows {
		isOther := row.member.Host != m.Member.Host && !row.member.State.HasEnded()
		if !isOther || !m.mayTakeOver(row.member) {
			continue
		}
		wg.Go(func() {
			if m.fence(ctx, row) {
				fenced.Add(1)
			}
		})
	}
	wg.Wait()
	if fenced.Load() > 0 {
		m.readMembers(ctx)
		m.announceFence(ctx)
	}
}

// announceFence makes the other members read the table after a member was
// fenced: a claim without shards requests a round at the table.
func (m *Manager) announceFence(ctx context.Context) {
	m.announce(ctx, hoist.Claim{Host: m.Member.Host})
}

// mayTakeOver reports whether the lease of member expired longer ago than the
// takeover delay of this host.
func (m *Manager) mayTakeOver(member hoist.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	delay := m.observer.TakeoverDelay(member.Host, m.Member.Host, m.members, now)
	return m.observer.ExpiredFor(member, now) > delay
}

// mayFence reports whether the lease of member expired and half of its
// electorate releases it. The write that relies on it must be sent before
// owner.FenceWindow has passed since the call.
func (m *Manager) mayFence(ctx context.Context, member hoist.Member) bool {
	lease := hoist.LeaseRef{Host: member.Host, Epoch: member.Epoch, Renewals: member.Renewals}
	m.mu.Lock()
	now := m.Clock.Now()
	hasExpired := m.observer.HasExpired(member, now)
	self := hasExpired && m.voter.Release(lease, now)
	isFirstReport := hasExpired && m.logged.expiredLeases[member.Host] != lease
	if isFirstReport {
		m.logged.expiredLeases[member.Host] = lease
	}
	m.mu.Unlock()
	if !hasExpired {
		return false
	}
	if isFirstReport {
		events.MemberLeaseExpired.Log(ctx, m.Log, "host", member.Host, "epoch", member.Epoch)
	}
	electorates := [][]hoist.VoterID{member.Electorate}
	granted := m.vote(ctx, electorates, self, func(ctx context.Context, p hoist.Peer) (bool, error) {
		return p.Release(ctx, lease)
	})
	if owner.CanFence(member.Electorate, granted) {
		return true
	}
	if isFirstReport {
		events.ReleaseRefused.Log(ctx, m.Log, "host", member.Host, "released", len(granted), "electorate", len(member.Electorate))
	}
	return false
}

// fence marks the row of a member whose lease expired as fenced if half of its
// electorate releases it. It reports whether the row was written.
func (m *Manager) fence(ctx context.Context, row memberRow) bool {
	// Voters forget a release when they restart, so an old release is not used.
	window, cancel := context.WithTimeout(ctx, owner.FenceWindow)
	defer cancel()
	if !m.mayFence(window, row.member) {
		return false
	}
	if err := m.writeFenced(window, row); err != nil {
		events.FenceFailed.Log(ctx, m.Log, "host", row.member.Host, "error", err)
		return false
	}
	events.MemberFenced.Log(ctx, m.Log, "host", row.member.Host, "epoch", row.member.Epoch)
	return true
}

func (m *Manager) writeFenced(ctx context.Context, row memberRow) error {
	member := row.member
	member.State = hoist.MemberFenced
	return m.commit(ctx, hoist.Txn{
		ID:     m.txnID(),
		Checks: []hoist.Check{{Key: memberKey(member.Host), Version: row.version}},
		Puts:   []hoist.Put{memberPut(member)},
	})
}

// FenceMember fences a member at the request of an operator, without a vote. It
// is needed when more than half of the members were lost at once. The operator
// must make sure that the process of the member has ended or reaches neither
// workers nor executors; see docs/operations/membership.md.
//
// The error is hoist.ErrNotFound if there is no such member, hoist.ErrConflict
// if its lease has not expired or its row changed meanwhile, and
// hoist.ErrInvalid for this host itself. Fencing a fenced member does nothing.
func (m *Manager) FenceMember(ctx context.Context, host hoist.HostID) error {
	rows, err := m.scanMembers(ctx)
	if err != nil {
		return merry.Prependf(err, "fencing host %s", host)
	}
	for _, row := range rows {
		if row.member.Host == host {
			return m.fenceByOperator(ctx, row)
		}
	}
	return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("host %s", host))
}

func (m *Manager) fenceByOperator(ctx context.Context, row memberRow) error {
	member := row.member
	if member.State.HasEnded() {
		return nil
	}
	m.mu.Lock()
	isSelf := member.Host == m.Member.Host && m.hasJoined
	hasExpired := m.observer.HasExpired(member, m.Clock.Now())
	m.mu.Unlock()
	if isSelf {
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("host %s cannot fence itself", member.Host))
	}
	if !hasExpired {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("the lease of host %s has not expired", member.Host))
	}
	if err := m.writeFenced(ctx, row); err != nil {
		return merry.Prependf(err, "fencing host %s", member.Host)
	}
	events.FencedByOperator.Log(ctx, m.Log, "host", member.Host, "epoch", member.Epoch)
	m.announceFence(ctx)
	m.requestRound()
	return nil
}

// requestRound makes the next round at the table start at once.
func (m *Manager) requestRound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
