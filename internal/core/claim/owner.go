package claim

import (
	"context"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Ownership is the right to act for the cell in one term.
type Ownership struct {
	Term hoist.Term
	// Version is the version of the fence rows, which the owner's transactions
	// expect.
	Version hoist.RowVersion
	// EarlierLeasesExpire is when all leases of earlier owners have expired.
	EarlierLeasesExpire time.Time

	mu             sync.Mutex
	renewed        time.Time
	renewalVersion hoist.RowVersion
	cancel         context.CancelFunc
}

// NewOwnership returns an ownership that was renewed at the given time. StepDown calls
// cancel.
func NewOwnership(term hoist.Term, version hoist.RowVersion, earlierLeasesExpire, renewed time.Time, cancel context.CancelFunc) *Ownership {
	return &Ownership{Term: term, Version: version, EarlierLeasesExpire: earlierLeasesExpire, renewed: renewed, cancel: cancel}
}

// GrantUntil returns the grant limit: the time until which leases may be granted.
func (o *Ownership) GrantUntil() time.Time {
	renewed, _ := o.lastRenewal()
	return renewed.Add(GrantTime)
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
