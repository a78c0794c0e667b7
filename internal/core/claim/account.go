package claim

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// storeClockAge is how old a reading of the store's clock may be. Until then, the clock of a
// host deviates from it by much less than expiryMargin.
const storeClockAge = time.Minute

// maxCountedFailures bounds the failures that extend the time-out of a write.
const maxCountedFailures = 4

// storeClock is a reading of the clock of the store, which a read returned that began at
// askedAt and ended at readAt.
type storeClock struct {
	shown           hoist.StoreTime
	askedAt, readAt time.Time
}

// latestAt returns the most that the clock of the store shows at a local time.
func (c storeClock) latestAt(local time.Time) hoist.StoreTime {
	// The reading was in whole milliseconds.
	return c.shown + hoist.StoreTime(local.Sub(c.askedAt)+time.Millisecond)
}

// latestLocal returns the local time by which the clock of the store certainly shows t.
func (c storeClock) latestLocal(t hoist.StoreTime) time.Time {
	return c.readAt.Add(time.Duration(t - c.shown))
}

// accountRow is the row with the lease account as this host last read or wrote it.
type accountRow struct {
	store hoist.Store
	// version is that of the row, 0 if there is none. isKnown is unset after a write that may
	// have changed it.
	version hoist.RowVersion
	isKnown bool
	clock   storeClock
	// failures counts the writes of accounts since the last one with an answer.
	failures int
}

// limit returns the time-out of the next write of an account. It is short at first, as an answer
// may be lost while all workers wait to be opened, and longer after each failure, for a slow
// store.
func (r *accountRow) limit() time.Duration {
	limit := renewTimeout
	for range r.failures {
		limit = min(callTimeout, 2*limit)
	}
	return limit
}

// errNoStoreTime means that the store does not tell its time, without which no account can be
// kept.
var errNoStoreTime = merry.Wrap(hoist.ErrUnavailable, merry.AppendMessage("the store does not tell its time"))

// read reads the row with the lease account. It returns the zero codec.LeaseRow if there is no
// row, or none that can be decoded.
func (r *accountRow) read(ctx context.Context, clock hoist.Clock) (codec.LeaseRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := clock.Now()
	row, err := r.store.Get(ctx, keys.LeaseAccount)
	if err != nil {
		return codec.LeaseRow{}, err
	}
	if row.ReadAt == 0 {
		return codec.LeaseRow{}, errNoStoreTime
	}
	r.version, r.isKnown = row.Version, true
	r.clock = storeClock{shown: row.ReadAt, askedAt: asked, readAt: clock.Now()}
	if row.Version == 0 {
		return codec.LeaseRow{}, nil
	}
	found, err := codec.DecodeLeaseRow(row.Value)
	if err != nil {
		// An account that cannot be read tells nothing.
		return codec.LeaseRow{}, nil
	}
	return found, nil
}

// refresh reads the row again if its version is not known or the reading of the store's clock
// is too old.
func (r *accountRow) refresh(ctx context.Context, clock hoist.Clock) error {
	if r.isKnown && clock.Now().Sub(r.clock.readAt) <= storeClockAge {
		return nil
	}
	_, err := r.read(ctx, clock)
	return err
}

// isAccountOf reports whether an account is complete with regard to the grants of an owner:
// that owner and all before it have granted leases only to workers that it lists as open.
func isAccountOf(r codec.LeaseRow, previous rows.Owner) bool {
	return previous.Term == 0 || previous.KeepsAccount && r.Term == hoist.Term(previous.Term)
}

// inheritedRow returns the account that a claim writes: that of the previous owner with the new
// term. Its open entries stay open, as the next claim cannot know when this one took effect.
func inheritedRow(r codec.LeaseRow, previous rows.Owner, term hoist.Term) codec.LeaseRow {
	if !isAccountOf(r, previous) {
		return codec.LeaseRow{Term: term, IsPartial: true}
	}
	r.Term = term
	return r
}

// earlierOwners is what an owner knows about those before it.
type earlierOwners struct {
	// previous is the owner before, which this host first saw own the cell at ownedSince.
	previous   rows.Owner
	ownedSince time.Time
	// previousVersion is the version of the row that names it.
	previousVersion hoist.RowVersion
	// row is the account at the claim, with the clock of the store.
	row   codec.LeaseRow
	clock storeClock
	// Leases that may have been granted under open entries end at grantsEnd. Attempts without
	// confirmation may have got the longest lease, and end at longestEnd.
	grantsEnd, longestEnd time.Time
	// hasPreviousExited is set once the process of the previous owner is known to have ended.
	hasPreviousExited bool
	// told holds what the previous owner has told about its leases, with the times at which
	// they end; nil before it has.
	told map[hoist.WorkerID]toldLease
}

// account returns the account at a time. No entry counts longer than the longest lease from the
// claim, as entries were recorded before it; the clock of the store may have begun anew since.
func (e *earlierOwners) account(now time.Time) hoist.LeaseAccount {
	limit := later(e.grantsEnd, e.longestEnd).Sub(now)
	out := hoist.LeaseAccount{IsPartial: e.row.IsPartial}
	for _, entry := range e.row.Workers {
		confirmed, unconfirmed := e.clock.latestLocal(entry.ConfirmedUntil), e.clock.latestLocal(entry.UnconfirmedUntil)
		recorded := confirmed
		var told toldLease
		if entry.IsOpen {
			told, _ = e.toldAbout(entry)
			confirmed, unconfirmed = later(confirmed, e.confirmedEnd(entry)), later(unconfirmed, later(e.grantsEnd, e.longestEnd))
		}
		out.Workers = append(out.Workers, hoist.WorkerLease{
			Worker: entry.Worker, Incarnation: entry.Incarnation,
			ConfirmedLeft: min(confirmed.Sub(now), limit), UnconfirmedLeft: min(unconfirmed.Sub(now), limit),
			RecordedLeft: min(recorded.Sub(now), limit), Confirmed: told.confirmed,
		})
	}
	return out
}

// longestLeft returns how long any confirmed attempt, and any other, may run on. It returns the
// given time for a partial account.
func longestLeft(a hoist.LeaseAccount, partial time.Duration) (confirmed, unconfirmed time.Duration) {
	if a.IsPartial {
		return partial, partial
	}
	for _, w := range a.Workers {
		confirmed, unconfirmed = max(confirmed, w.ConfirmedLeft), max(unconfirmed, w.UnconfirmedLeft)
	}
	return confirmed, unconfirmed
}

// leaseRow converts an account to its row. The times left count from now.
func leaseRow(a hoist.LeaseAccount, term hoist.Term, now hoist.StoreTime) codec.LeaseRow {
	out := codec.LeaseRow{Term: term, IsPartial: a.IsPartial}
	for _, w := range a.Workers {
		out.Workers = append(out.Workers, codec.LeaseEntry{
			Worker: w.Worker, Incarnation: w.Incarnation, IsOpen: w.IsOpen,
			ConfirmedUntil: now + hoist.StoreTime(w.ConfirmedLeft), UnconfirmedUntil: now + hoist.StoreTime(w.UnconfirmedLeft),
		})
	}
	return out
}

// EarlierAccount returns what is known about the leases of earlier owners, with the times left
// from now.
func (o *Ownership) EarlierAccount() hoist.LeaseAccount {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.earlier.account(o.clock.Now())
}

// RecordHostStart records that a process of a host has started, which the row of the host in the
// given version tells. It reports whether leases of earlier owners end sooner because of it: the
// process of the previous owner has ended, and it grants no more. Epochs are times of a clock that
// may be set back, so that a process which started before may have a higher one; its row is older
// than that of the owner.
func (o *Ownership) RecordHostStart(host hoist.HostID, epoch hoist.Epoch, version hoist.RowVersion) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &o.earlier
	if string(host) != e.previous.Host || int(epoch) <= e.previous.Epoch || version <= e.previousVersion {
		return false
	}
	e.hasPreviousExited = true
	// The owner before the previous one may still act if that has recorded no account.
	end := later(expiry(o.clock.Now(), hoist.LeaseTime), expiry(e.ownedSince, GrantTime))
	if !end.Before(e.grantsEnd) {
		return false
	}
	e.grantsEnd = end
	return true
}

// RecordLeases writes the lease account, with the times left from now. After an error, the
// account in the store is this one or the one before it. Only one call at a time is allowed.
func (o *Ownership) RecordLeases(ctx context.Context, a hoist.LeaseAccount) error {
	r := o.account
	if r == nil {
		return nil
	}
	began := o.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.limit())
	defer cancel()
	r.failures = min(r.failures+1, maxCountedFailures)
	if err := r.refresh(ctx, o.clock); err != nil {
		return err
	}
	row := leaseRow(a, o.Term, r.clock.latestAt(began))
	version, err := r.store.Commit(ctx, hoist.Transaction{
		// Without the second precondition, a transaction that is carried out late could
		// replace a later account.
		Preconditions: []hoist.Precondition{{RowRef: keys.Owner, Version: o.Version}, {RowRef: keys.LeaseAccount, Version: r.version}},
		Writes:        []hoist.Write{{RowRef: keys.LeaseAccount, Value: codec.EncodeLeaseRow(row)}},
	})
	if err != nil {
		r.isKnown = false
		return err
	}
	r.version, r.failures = version, 0
	return nil
}

// SetFinalAccount sets the account that the release of the cell records, or that the next owner
// asks for. The owner grants no leases any more and has no call in flight.
func (o *Ownership) SetFinalAccount(a hoist.LeaseAccount) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.final, o.finalAt = &a, o.clock.Now()
}

// finalRow returns the row with the final account. It reports false if there is none, or the
// store does not tell its time.
func (o *Ownership) finalRow(ctx context.Context) (codec.LeaseRow, bool) {
	o.mu.Lock()
	final, finalAt := o.final, o.finalAt
	o.mu.Unlock()
	if final == nil || o.account == nil || o.account.refresh(ctx, o.clock) != nil {
		return codec.LeaseRow{}, false
	}
	return leaseRow(*final, o.Term, o.account.clock.latestAt(finalAt)), true
}
