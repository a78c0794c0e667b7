// Package claim decides which host owns the cell. The owner is named in a row of
// the platform's store, and writes a second row, the renewal row, at regular
// intervals. A few other hosts, its standbys, also send it health checks. One of
// them claims the cell when the owner's process has ended, when the owner cannot
// reach the store, or when it neither answers nor renews. All other hosts poll the
// two rows, and claim the cell when the rows have not changed for some time.
//
// # Usage
//
//	m := &claim.Manager{Host: id, Addr: addr, Epoch: epoch, Store: store, Clock: clock, Log: logger, RunOwner: run}
//	err := m.Run(ctx)
//
// RunOwner runs while the host owns the cell. SetHost adds the hosts that can be
// standbys, and Health answers their health checks.
//
// # Planned restarts
//
// In a restart of all hosts in turn, a host that has just started is stopped last. An owner
// that releases the cell names the one that started last as its successor. The successor
// claims at once, other hosts somewhat later. This is a preference only: any host may claim
// a released cell.
//
// # Safety
//
// Two hosts may believe for a while that they own the cell. Nothing depends on
// their clocks: the store refuses the transactions of the stale owner, because
// they expect the version of fence rows that a claim overwrites, and each worker
// refuses the stale owner's requests once it has seen the later term. Only a
// worker that the later owner cannot reach may still accept requests of the stale
// one. The leases that an owner grants therefore expire GrantTime after its last
// renewal at the store, and the next owner considers an attempt on such a worker
// ended only after that time.
//
// # Lease account
//
// The owner records in the lease account which workers it may grant leases to, before it
// grants the first one, and when the leases of all others expire, on the clock of the store.
// The next owner continues the account, so that the time for which a worker has been lost
// counts across owners. An owner that releases the cell records when each lease ends. Where
// the account tells nothing, as after an owner of an earlier build, the next owner counts
// the longest lease that a worker accepts from its claim.
//
// # Former owners
//
// An owner that is replaced while it is frozen or cut off may grant leases until GrantTime
// after its last renewal, as far as the next owner can know. Its process knows when it has
// granted the last one. The next owner asks it; see Ownership.AskFormerOwner.
package claim

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// renewEvery is the interval between renewals of the ownership at the store.
	renewEvery = 400 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 2 * time.Second
	// minClaimTimeout is the shortest time-out of a claim, and of the read before it.
	minClaimTimeout = 500 * time.Millisecond
	// claimTimeoutFactor is how many times the last read of the owner's rows a claim
	// may take. The time-out is short so that, while parts of the store do not
	// answer, another claim follows soon.
	claimTimeoutFactor = 8
	// renewTimeout bounds a renewal, so that two fit into unresponsiveAfter.
	renewTimeout = 700 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 200 * time.Millisecond
	// claimRetryDelay is the delay after a failed claim.
	claimRetryDelay = 100 * time.Millisecond
	// GrantTime is the longest time after its last renewal for which leases granted by
	// an owner are valid.
	GrantTime = 9 * time.Second
	// clockDriftDivisor bounds the drift of a worker's clock, which may run slow by
	// 1/clockDriftDivisor.
	clockDriftDivisor = 50
	// earlierCallTime is how long after a claim a request of the earlier owner may reach a
	// worker: a poll takes up to 1.8 s, and a start that is sent late less.
	earlierCallTime = 2 * time.Second
	// expiryMargin is added to the lease times for calls in flight.
	expiryMargin = 300 * time.Millisecond
)

// Weight is the size of a host in thousandths of a core.
type Weight int

// Manager claims the cell when it has no owner, and renews the ownership while this
// host is the owner. Set the exported fields before Run.
type Manager struct {
	Host  hoist.HostID
	Addr  string
	Epoch hoist.Epoch
	// Weight is the size of the host. Smaller hosts let larger ones claim first,
	// and a host of twice the weight of the owner replaces it.
	Weight Weight
	Store  hoist.Store
	// Clock counts the time in which the machine was suspended, in which leases that
	// this host may grant expire as well; see clock.Lease.
	Clock hoist.Clock
	Log   *slog.Logger
	// MaxLease is the longest lease that a worker accepts. 0 leaves hoist.MaxLease.
	MaxLease time.Duration
	// RunOwner acts for the cell until ctx ends.
	RunOwner func(ctx context.Context, o *Ownership)
	// Waiting returns how many plans wait in each queue, or nil if that is not known yet.
	// The owner publishes the numbers in the renewal row, so that every host can report
	// them.
	Waiting func() map[hoist.QueueName]int
	// Dial returns a client for health checks of the host at an address. If it is
	// nil, the owner is observed through the store only, and former owners are not asked.
	Dial func(addr string) hoist.HealthChecker
	// StoreAge returns the time since the store last answered this host, and
	// whether calls have failed since.
	StoreAge func() (time.Duration, bool)
	// IsLeaving reports whether this host was told to stop. It then claims no cell, even if
	// it still owns one. It may be nil.
	IsLeaving func() bool
	// IsUnreachable reports whether another host is known to be leaving, or not to answer
	// this one. It may be nil.
	IsUnreachable func(hoist.HostID) bool

	standbys standbys
	acting   atomic.Pointer[Ownership]
	// ended is the last ownership of this process that has ended.
	ended    atomic.Pointer[Ownership]
	observed observation
	// began is when Run was called.
	began time.Time
}

// SetHost records the process of another host that can be a standby while this one owns
// the cell; a weight of 0 removes it. Of this host itself it records the start.
func (m *Manager) SetHost(id hoist.HostID, weight Weight, start HostStart) {
	if id == m.Host {
		m.standbys.setOwnStart(start.Version)
		return
	}
	now := m.Clock.Now()
	started, isNew := m.startTime(start, now)
	c := candidate{weight: weight, version: start.Version, started: started}
	if isNew {
		c.lastSeen = now
	}
	m.standbys.set(id, c)
}

// Health answers a health check of another host, and records that the host sent it.
func (m *Manager) Health(check hoist.HealthCheck) hoist.HostHealth {
	now := m.Clock.Now()
	m.standbys.recordCheck(check.From, now)
	p := hoist.HostHealth{Ended: m.endedLeases(check.EndedTerm)}
	o := m.acting.Load()
	if o == nil {
		return p
	}
	renewed, version := o.lastRenewal()
	p.Term, p.SinceRenewal, p.RenewalVersion = o.Term, now.Sub(renewed), version
	p.StoreAge, p.IsStoreUnavailable = m.StoreAge()
	return p
}

// Run claims the cell when it can, and acts as the owner, until ctx ends. It then
// releases the cell, so that another host can claim it at once. It also returns when the
// host is leaving and does not own the cell.
func (m *Manager) Run(ctx context.Context) {
	m.began = m.Clock.Now()
	for m.mayClaim(ctx) {
		if o, ok := m.follow(ctx); ok {
			m.holdOwnership(ctx, o)
		}
	}
}

// mayClaim reports whether this host may claim the cell: ctx has not ended, and the host is
// not leaving.
func (m *Manager) mayClaim(ctx context.Context) bool {
	return ctx.Err() == nil && (m.IsLeaving == nil || !m.IsLeaving())
}

// claim writes this host as the owner in the next term. It reports false if the
// store refused the transaction or the outcome is unknown.
func (m *Manager) claim(ctx context.Context, reason claimReason) (*Ownership, bool) {
	began := m.Clock.Now()
	previous := m.observed.owner
	term := hoist.Term(previous.Term) + hoist.TokensPerTerm
	limit := min(callTimeout, max(minClaimTimeout, claimTimeoutFactor*m.observed.readTime))
	fail := func(err error) (*Ownership, bool) {
		events.ClaimFailed.Log(ctx, m.Log, "term", term, "why", reason, "error", err)
		return nil, false
	}
	account, inherited, err := m.inheritAccount(ctx, limit, term)
	if err != nil {
		return fail(err)
	}
	owner := m.ownerRow(term)
	owner.KeepsAccount = account != nil
	version, err := m.commitClaim(ctx, limit, m.claimTransaction(reason, owner, account, inherited), owner)
	if err != nil {
		return fail(err)
	}
	now := m.Clock.Now()
	earlier := earlierOwners{
		previous: previous, ownedSince: m.observed.ownedSince, previousVersion: m.observed.ownerVersion, row: inherited,
		grantsEnd: m.grantsEnd(reason, previous, now), longestEnd: m.longestEnd(previous, now),
	}
	if account != nil {
		account.version = version
		earlier.clock = account.clock
	}
	leasesExpireAt := later(earlier.grantsEnd, earlier.longestEnd)
	confirmed, unconfirmed := longestLeft(earlier.account(now), leasesExpireAt.Sub(now))
	events.OwnershipClaimed.Log(ctx, m.Log, "term", term, "why", reason, "earlier", previous.Host, "released", previous.Released,
		"successor", previous.Successor, "silent", began.Sub(m.observed.renewed), "version", version, "leases-left", confirmed, "unconfirmed-left", unconfirmed,
		"partial", inherited.IsPartial)
	m.observed.owner, m.observed.ownerVersion, m.observed.ownedSince = owner, version, now
	return &Ownership{
		Term: term, Version: version, EarlierLeasesExpire: leasesExpireAt, earlier: earlier, account: account, clock: m.Clock, renewed: began,
		host: m.Host, dial: m.Dial,
	}, true
}

// inheritAccount reads the lease account and returns it as the claim of a term writes it. The
// first result is nil if the store does not tell its time, so that no account can be kept.
func (m *Manager) inheritAccount(ctx context.Context, limit time.Duration, term hoist.Term) (*accountRow, codec.LeaseRow, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	account := &accountRow{store: m.Store}
	stored, err := account.read(ctx, m.Clock)
	if errors.Is(err, errNoStoreTime) {
		return nil, codec.LeaseRow{Term: term, IsPartial: true}, nil
	}
	return account, inheritedRow(stored, m.observed.owner, term), err
}

// claimTransaction returns the transaction that makes this host the owner. account is nil if no
// lease account is kept.
func (m *Manager) claimTransaction(reason claimReason, owner rows.Owner, account *accountRow, inherited codec.LeaseRow) hoist.Transaction {
	txn := hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.Owner, Version: m.observed.ownerVersion}},
		Writes: []hoist.Write{
			{RowRef: keys.Owner, Value: codec.EncodeStoreRow(owner)},
			{RowRef: keys.Renewal, Value: codec.EncodeStoreRow(rows.Beat{Waiting: m.waiting()})},
		},
	}
	if account != nil {
		txn.Preconditions = append(txn.Preconditions, hoist.Precondition{RowRef: keys.LeaseAccount, Version: account.version})
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: keys.LeaseAccount, Value: codec.EncodeLeaseRow(inherited)})
	}
	if reason != noOwner && !reason.replacesLiveOwner() {
		// The claim must fail if the owner has renewed in the meantime.
		txn.Preconditions = append(txn.Preconditions, hoist.Precondition{RowRef: keys.Renewal, Version: m.observed.renewalVersion})
	}
	for _, part := range keys.Parts() {
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: keys.Fence(part), Value: codec.EncodeStoreRow(owner)})
	}
	return txn
}

// commitClaim commits a claim and returns the version of its rows. It does not end with ctx:
// a claim that was given up could take effect, and the cell would have an owner that neither
// acts nor releases it.
func (m *Manager) commitClaim(ctx context.Context, limit time.Duration, txn hoist.Transaction, owner rows.Owner) (hoist.RowVersion, error) {
	if !m.mayClaim(ctx) {
		return 0, hoist.ErrLeaving
	}
	ctx = context.WithoutCancel(ctx)
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	version, err := m.Store.Commit(callCtx, txn)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		return m.resolveClaim(ctx, owner)
	}
	return version, err
}

// ownerRow returns the row that names this host as the owner in a term.
func (m *Manager) ownerRow(term hoist.Term) rows.Owner {
	return rows.Owner{Host: string(m.Host), Epoch: int(m.Epoch), Addr: m.Addr, Term: int(term), Weight: int(m.Weight)}
}

// grantsEnd returns the time at which all leases that previous owners granted have expired,
// unless a worker has taken one for the longest lease. An owner that has released the cell, or
// was an earlier process of this host, grants no more; any other may grant leases until
// GrantTime after its last renewal, which was before the next owner's claim. An address that
// refuses connections proves nothing: the owner may be cut off from this host, or accept no new
// connections.
func (m *Manager) grantsEnd(reason claimReason, previous rows.Owner, now time.Time) time.Time {
	switch {
	case previous.Term == 0:
		return now
	case previous.Released || previous.Host == string(m.Host):
		return later(expiry(now, hoist.LeaseTime), expiry(m.observed.ownedSince, GrantTime))
	case reason.replacesLiveOwner():
		return expiry(now, GrantTime)
	default:
		return expiry(m.observed.renewed, GrantTime)
	}
}

// longestEnd returns the time at which the longest lease has expired that a worker may have
// taken: from a request of an earlier owner that was meant for its earlier incarnation and was
// on its way at the claim.
func (m *Manager) longestEnd(previous rows.Owner, now time.Time) time.Time {
	if previous.Term == 0 {
		return now
	}
	return expiry(now.Add(earlierCallTime), cmp.Or(m.MaxLease, hoist.MaxLease))
}

// expiry returns when a lease has expired for certain that was granted for the given
// time to a worker whose clock may run slow.
func expiry(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(lease + lease/clockDriftDivisor + expiryMargin)
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// resolveClaim reads back whether a claim with an unknown outcome took effect. If it
// did not, it may still do so later; the next read of the owner's row then finds
// this host as the owner, and this host claims the next term.
func (m *Manager) resolveClaim(ctx context.Context, owner rows.Owner) (hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := m.Store.Get(ctx, keys.Owner)
	if err != nil {
		return 0, err
	}
	found, err := codec.DecodeStoreRow[rows.Owner](row.Value)
	if err != nil {
		return 0, err
	}
	if found != owner {
		return 0, hoist.ErrOutcomeUnknown
	}
	return row.Version, nil
}
