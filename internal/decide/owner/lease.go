// Package owner decides which host owns which shard. It holds the rules of the
// host lease, of the votes that extend it while the table is down, of taking
// over from a lapsed host, and the map from shards to owners.
//
// Nothing here reads a clock or talks to a peer: callers pass the time in.
// The types are not safe for concurrent use.
//
// # Usage
//
// A host acts as owner only while its lease is valid:
//
//	sent := clock.Now()
//	err := table.Commit(ctx, renewal)
//	if err == nil {
//		lease.Extend(sent)
//	}
//	...
//	if !lease.IsValid(clock.Now()) {
//		return hoist.ErrNotOwner
//	}
//
// A host that watches the others feeds an Observer with the member rows and
// takes over from the members that HasExpired names, after half of their
// electorate has released them (see Voter and CanFence).
package owner

import "time"

const (
	// LeaseTime is how long a lease lasts from the moment its renewal was
	// sent.
	LeaseTime = 4 * time.Second
	// RenewEvery leaves room for two failed renewals in one lease.
	RenewEvery = 1300 * time.Millisecond
	// Drift is the assumed bound on the difference of two clocks over one
	// lease: 1%.
	Drift = LeaseTime / 100
	// Margin covers the time between the check of a lease and the send.
	Margin = 200 * time.Millisecond
	// FenceWindow is how long after asking for releases a host may still send
	// the write that fences. It fits one round of votes and one table call.
	FenceWindow = time.Second
	// TableBound is how long after its request the table may still apply a
	// transaction.
	TableBound = 4 * time.Second
	// VoterYouth is how long a new voter abstains: until every promise that an
	// earlier process at its address made has ended, and until no write that
	// relies on a release of that process can still take effect. The last term
	// is the drift over the other two.
	VoterYouth = FenceWindow + TableBound + (FenceWindow+TableBound)/50
)

// Lease is a host's own lease. The zero value is not valid.
type Lease struct {
	until time.Time
}

// Extend records a renewal, or the promises of a majority, that was asked for
// at the time sent. An earlier end never replaces a later one.
func (l *Lease) Extend(sent time.Time) {
	until := sent.Add(LeaseTime - Drift - Margin)
	if until.After(l.until) {
		l.until = until
	}
}

// Revoke ends the lease at once, for a host that learns that it was fenced.
func (l *Lease) Revoke() {
	l.until = time.Time{}
}

// IsValid reports whether the host may act as owner now.
func (l *Lease) IsValid(now time.Time) bool {
	return now.Before(l.until)
}

// Remaining returns how long the lease is still valid; it is negative after its
// end.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return l.until.Sub(now)
}
