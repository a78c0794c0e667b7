package claim

import (
	"context"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// Ownership is the right to act for the cell in one term.
type Ownership struct {
	Term hoist.Term
	// Version is the version of the fence rows, which the owner's transactions
	// expect.
	Version hoist.RowVersion
	// EarlierLeasesExpire is when all leases of earlier owners have expired, on the clock
	// of the manager. It counts for workers of which the lease account tells nothing.
	EarlierLeasesExpire time.Time

	// earlier is what the claim found out about earlier owners.
	earlier earlierOwners
	// account is the row with the lease account; it is nil if none is recorded.
	account *accountRow
	// host is the one that owns the cell, and dial that of its manager.
	host hoist.HostID
	dial func(addr string) hoist.HealthChecker

	// clock is the clock of EarlierLeasesExpire and of the renewals.
	clock hoist.Clock

	mu             sync.Mutex
	renewed        time.Time
	renewalVersion hoist.RowVersion
	cancel         context.CancelFunc
	// final is the account that the release records and the next owner may ask for, with
	// the times left at finalAt.
	final   *hoist.LeaseAccount
	finalAt time.Time
}

// NewOwnership returns an ownership that was renewed at the given time of the system
// clock, and records no lease account. StepDown calls cancel.
func NewOwnership(term hoist.Term, version hoist.RowVersion, earlierLeasesExpire, renewed time.Time, cancel context.CancelFunc) *Ownership {
	return &Ownership{
		Term: term, Version: version, EarlierLeasesExpire: earlierLeasesExpire, clock: clock.System{}, renewed: renewed, cancel: cancel,
		earlier: earlierOwners{row: codec.LeaseRow{IsPartial: true}},
	}
}

// EarlierLeasesLeft returns how long leases of earlier owners may still be valid.
func (o *Ownership) EarlierLeasesLeft() time.Duration {
	return o.EarlierLeasesExpire.Sub(o.clock.Now())
}

// GrantTimeLeft returns for how long leases may still be granted. It is not positive
// after GrantTime since the last renewal was sent.
func (o *Ownership) GrantTimeLeft() time.Duration {
	renewed, _ := o.lastRenewal()
	return GrantTime - o.clock.Now().Sub(renewed)
}

// StepDown ends the ownership. Callers use it when they find that there is a later
// owner.
func (o *Ownership) StepDown() {
	o.cancel()
}

func (o *Ownership) recordRenewal(at time.Time, renewalVersion hoist.RowVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewed, o.renewalVersion = at, renewalVersion
}

// lastRenewal returns when the last successful renewal was sent, and the version of
// the row that it wrote.
func (o *Ownership) lastRenewal() (time.Time, hoist.RowVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewed, o.renewalVersion
}
