package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// slowPollInterval is the interval at which a host that is no standby reads the
	// owner's rows.
	slowPollInterval = 2 * time.Second
	// stalePollInterval replaces slowPollInterval once the rows have not changed.
	stalePollInterval = 700 * time.Millisecond
	// standbyPollInterval is the interval for a standby that cannot send health
	// checks.
	standbyPollInterval = 300 * time.Millisecond
	// claimJitter delays claims at random, so that the hosts do not all claim at the
	// same moment.
	claimJitter = 150 * time.Millisecond
	// minClaimStagger is the shortest time between the claims of one standby and the
	// next. While the store is slow, the time is claimStaggerFactor times as long as
	// reading the owner's rows took: a claim writes to all parts, and concurrent
	// claims delay each other.
	minClaimStagger    = 40 * time.Millisecond
	claimStaggerFactor = 3
	// smallHostDelay is the claim delay of a host of almost no weight. It shrinks in
	// proportion to the weight, to none at fullWeight.
	smallHostDelay = 1500 * time.Millisecond
	fullWeight     = Weight(400)
	// minTenure is how long a small owner is kept before a larger host replaces it,
	// so that large hosts do not take the cell from each other.
	minTenure = 3 * time.Second
	// ownerGracePeriod is how long an owner has to renew once the store has recovered,
	// and to start acting once it has claimed the cell.
	ownerGracePeriod = 700 * time.Millisecond
)

// claimReason is the reason why the cell can be claimed.
type claimReason string

const (
	// ownerActive means that the cell has an owner and cannot be claimed.
	ownerActive claimReason = ""
	// noOwner means that the cell has no owner, that the owner released it, or that
	// the owner is an earlier process of this host.
	noOwner claimReason = "free"
	// ownerUnresponsive means that the owner has not renewed for some time.
	ownerUnresponsive claimReason = "silent"
	// ownerExited means that nothing listens at the owner's address. In all
	// likelihood its process has ended.
	ownerExited claimReason = "gone"
	// ownerDisconnected means that the owner cannot reach the store, or no longer
	// acts for the cell.
	ownerDisconnected claimReason = "cut off"
	// ownerUndersized means that the owner is much smaller than this host.
	ownerUndersized claimReason = "small"
	// ownerSlow means that the owner has too little processor time.
	ownerSlow claimReason = "slow"
)

// replacesLiveOwner reports whether the cell is claimed from an owner that is alive
// and may go on renewing.
func (r claimReason) replacesLiveOwner() bool {
	return r == ownerUndersized || r == ownerSlow
}

// observation is what a host that does not own the cell knows about the owner.
type observation struct {
	owner        rows.Owner
	ownerVersion hoist.RowVersion
	// ownerSeen is when this host first saw the row of the owner in ownerVersion.
	ownerSeen      time.Time
	renewal        rows.Beat
	renewalVersion hoist.RowVersion
	// reportedVersion is the version of the latest renewal that a health check
	// reported.
	reportedVersion hoist.RowVersion
	// renewed is a time by which the owner had sent its last known renewal.
	renewed time.Time
	// ownedSince is when this host first saw the owner own the cell.
	ownedSince time.Time
	// storeRecovered is when the store answered after a failure.
	storeRecovered time.Time
	// hasFailed is set if the last read of the owner's rows failed, and before the
	// first read.
	hasFailed bool
	// readTime is how long the last read of the owner's rows took.
	readTime time.Duration
	// isChanged is set if the last read found a new version of a row.
	isChanged bool
}

// follow observes the owner until this host has claimed the cell. It reports false
// if it may not claim the cell any more.
func (m *Manager) follow(ctx context.Context) (*Ownership, bool) {
	m.observed.hasFailed = true
	h := &healthMonitor{manager: m}
	defer h.close()
	for m.mayClaim(ctx) {
		if err := m.readOwner(ctx); err != nil {
			clock.Sleep(ctx, retryDelay)
			continue
		}
		reason := m.claimReason(h, m.Clock.Now())
		if reason == ownerActive {
			m.awaitNextRead(ctx, h)
			continue
		}
		if left := m.successorTimeLeft(m.Clock.Now()); left > 0 {
			clock.Sleep(ctx, left)
			continue
		}
		clock.Sleep(ctx, m.claimDelay(reason))
		if o, ok := m.claim(ctx, reason); ok {
			return o, true
		}
		clock.Sleep(ctx, claimRetryDelay)
	}
	return nil, false
}

// awaitNextRead waits until the owner's rows are due to be read again.
func (m *Manager) awaitNextRead(ctx context.Context, h *healthMonitor) {
	switch {
	case m.checksOwnerHealth():
		h.run(ctx)
	case m.observed.isChanged:
		clock.Sleep(ctx, slowPollInterval)
	default:
		clock.Sleep(ctx, stalePollInterval)
	}
}

// checksOwnerHealth reports whether this host sends health checks to the owner: it is
// a standby or has just started, or the owner has named no standby.
func (m *Manager) checksOwnerHealth() bool {
	return len(m.observed.renewal.Deputies) == 0 || m.standbyRank() >= 0 || m.isNew()
}

// standbyRank returns the index of this host among the standbys, or -1 if it is
// none.
func (m *Manager) standbyRank() int {
	return slices.Index(m.observed.renewal.Deputies, string(m.Host))
}

// claimReason returns why the cell can be claimed, judged by the last read of the
// owner's rows and the health checks.
func (m *Manager) claimReason(h *healthMonitor, now time.Time) claimReason {
	s := &m.observed
	switch {
	case s.ownerVersion == 0 || s.owner.Released || s.owner.Host == string(m.Host):
		return noOwner
	case h.ownerExited(s.owner):
		return ownerExited
	case h.ownerDisconnected(s.owner) && now.Sub(s.storeRecovered) > ownerGracePeriod && now.Sub(s.ownedSince) > ownerGracePeriod:
		return ownerDisconnected
	case now.Sub(s.renewed) > h.unresponsiveAfter():
		return ownerUnresponsive
	case 2*s.owner.Weight <= int(m.Weight) && now.Sub(s.ownedSince) > minTenure:
		return ownerUndersized
	case h.ownerSlow(s.owner) && s.owner.Weight <= int(m.Weight) && now.Sub(s.ownedSince) > slowOwnerMinTenure:
		return ownerSlow
	default:
		return ownerActive
	}
}

// claimDelay returns how long this host delays its claim in favour of others: the
// successor claims at once, standbys one after another, and other hosts later the
// smaller they are.
func (m *Manager) claimDelay(reason claimReason) time.Duration {
	if m.observed.owner.Released && m.observed.owner.Successor == string(m.Host) {
		return 0
	}
	stagger := claimStaggerFactor * m.observed.readTime
	if standbyRank := m.standbyRank(); standbyRank >= 0 && reason != ownerUndersized {
		return time.Duration(standbyRank) * max(minClaimStagger, stagger)
	}
	delay := time.Duration(rand.Int64N(int64(max(claimJitter, stagger))))
	if m.Weight > 0 && m.Weight < fullWeight {
		delay += smallHostDelay * time.Duration(fullWeight-m.Weight) / time.Duration(fullWeight)
	}
	return delay
}

// readOwner reads the rows of the owner and updates the observation.
func (m *Manager) readOwner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := m.Clock.Now()
	found, _, err := m.Store.Scan(ctx, keys.Cell, "")
	if err != nil {
		m.observed.hasFailed = true
		return err
	}
	now := m.Clock.Now()
	m.observed.readTime = now.Sub(asked)
	if m.observed.hasFailed {
		// The owner could not renew either while the store was unavailable.
		m.observed.renewed, m.observed.storeRecovered = now, now
		m.observed.hasFailed = false
	}
	m.observed.isChanged = false
	for _, row := range found {
		m.applyRow(row, now)
	}
	return nil
}

// applyRow updates the observation from a row of the owner.
func (m *Manager) applyRow(row hoist.StoredRow, now time.Time) {
	s := &m.observed
	switch {
	case row.RowRef == keys.Owner && row.Version > s.ownerVersion:
		owner, err := codec.DecodeStoreRow[rows.Owner](row.Value)
		if err != nil {
			events.RowUnreadable.Log(context.Background(), m.Log, "row", row.Key, "error", err)
			return
		}
		if owner.Term != s.owner.Term {
			s.ownedSince = now
		}
		s.owner, s.ownerVersion, s.ownerSeen, s.renewed = owner, row.Version, now, now
		s.isChanged = true
	case row.RowRef == keys.Renewal && row.Version > s.renewalVersion:
		renewal, err := codec.DecodeStoreRow[rows.Beat](row.Value)
		if err != nil {
			events.RowUnreadable.Log(context.Background(), m.Log, "row", row.Key, "error", err)
			return
		}
		s.renewal, s.renewalVersion = renewal, row.Version
		if row.Version > s.reportedVersion {
			s.renewed = now
		}
		s.isChanged = true
	}
}
