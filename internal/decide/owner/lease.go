// Package owner decides which host owns which shard. It holds the rules of the
// host lease, of the votes that extend it while the table is unavailable, of
// taking over from a host whose lease has expired, and the map from shards to
// owners.
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
// A host passes the member rows that it reads to an Observer. It takes over from
// a member for which HasExpired reports true, after at least half of the member's
// electorate has released the lease (see Voter and CanFence).
package owner

import "time"

const (
	// LeaseTime is the duration of a lease, counted from the time at which its
	// renewal was sent.
	LeaseTime = 4 * time.Second
	// RenewEvery is the interval of lease renewals. Two of them may fail within
	// one lease.
	RenewEvery = 1300 * time.Millisecond
	// Drift is the clock drift bound: two clocks differ by at most 1% over one
	// lease.
	Drift = LeaseTime / 100
	// Margin covers the time between checking a lease and sending a message that
	// relies on it.
	Margin = 200 * time.Millisecond
	// FenceWindow is how long after asking for releases a host may still send
	// the write that fences the other host. It is long enough for one round of
	// votes and one call to the table.
	FenceWindow = time.Second
	// MaxTableDelay is how long after its request the table may still apply a
	// transaction.
	MaxTableDelay = 4 * time.Second
	// NewVoterDelay is how long a new voter abstains: until every promise that an
	// earlier process at its address made has ended, and until no write that
	// relies on a release of that process can still take effect. The last term
	// is the clock drift over the other two.
	NewVoterDelay = FenceWindow + MaxTableDelay + (FenceWindow+MaxTableDelay)/50
)

// Lease is a host's own lease. The zero value is not valid.
type Lease struct {
	expiresAt time.Time
}

// Extend records a renewal, or the promises of a majority, requested at the time
// sent. It never shortens the lease.
func (l *Lease) Extend(sent time.Time) {
	expiresAt := sent.Add(LeaseTime - Drift - Margin)
	if expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
}

// Revoke ends the lease at once. It is called when the host learns that it was
// fenced.
func (l *Lease) Revoke() {
	l.expiresAt = time.Time{}
}

// IsValid reports whether the host may act as owner now.
func (l *Lease) IsValid(now time.Time) bool {
	return now.Before(l.expiresAt)
}

// Remaining returns how long the lease remains valid. The result is negative after
// the lease has expired.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return l.expiresAt.Sub(now)
}
