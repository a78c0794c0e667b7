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
	// Version is the version of the fence rows, which transactions expect.
	Version hoist.RowVersion
	// EarlierLeasesExpire is when all leases of earlier owners have run out.
	EarlierLeasesExpire time.Time

	mu      sync.Mutex
	renewed time.Time
	beat    hoist.RowVersion
	lose    context.CancelFunc
}

// NewOwnership returns an ownership that was renewed at the given time. lose is
// called when it turns out to be over.
func NewOwnership(term hoist.Term, version hoist.RowVersion, lapse, renewed time.Time, lose context.CancelFunc) *Ownership {
	return &Ownership{Term: term, Version: version, EarlierLeasesExpire: lapse, renewed: renewed, lose: lose}
}

// GrantUntil returns the time until which leases may be granted.
func (o *Ownership) GrantUntil() time.Time {
	renewed, _ := o.lastRenewal()
	return renewed.Add(GrantTime)
}

// Lose ends the ownership, because there is a later owner.
func (o *Ownership) Lose() {
	o.lose()
}

func (o *Ownership) renew(at time.Time, beat hoist.RowVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewed, o.beat = at, beat
}

// lastRenewal is when the last renewal that succeeded was sent, and the version
// of the row that it wrote.
func (o *Ownership) lastRenewal() (time.Time, hoist.RowVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewed, o.beat
}
