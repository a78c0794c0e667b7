package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Observer watches the renewals of other hosts.
type Observer struct {
	seen map[hoist.HostID]observation
	last time.Time
}

// observation is one state of a member row and when it was first read.
type observation struct {
	lease hoist.LeaseRef
	since time.Time
}

// Observe records the member rows that a read which returned at the time now
// found. After a gap in the reads as long as a lease, all observations start
// anew: the table was out of reach, perhaps for the other hosts too, and they
// need time to renew before they are worth a vote.
func (o *Observer) Observe(members []hoist.Member, now time.Time) {
	hasGap := now.Sub(o.last) > LeaseTime
	o.last = now
	next := make(map[hoist.HostID]observation, len(members))
	for _, m := range members {
		lease := hoist.LeaseRef{Host: m.Host, Epoch: m.Epoch, Renewals: m.Renewals}
		seen, ok := o.seen[m.Host]
		if !ok || hasGap || seen.lease != lease {
			seen = observation{lease, now}
		}
		next[m.Host] = seen
	}
	o.seen = next
}

// HasExpired reports whether the row of m has stayed unchanged for longer than
// a lease can last, drift included.
func (o *Observer) HasExpired(m hoist.Member, now time.Time) bool {
	return o.ExpiredFor(m, now) > 0
}

// ExpiredFor returns how long ago the lease of m lapsed. It is not positive
// while the lease may be valid.
func (o *Observer) ExpiredFor(m hoist.Member, now time.Time) time.Duration {
	seen, ok := o.seen[m.Host]
	if !ok || seen.lease.Epoch != m.Epoch || seen.lease.Renewals != m.Renewals {
		return 0
	}
	return now.Sub(seen.since) - LeaseTime - Drift
}

// NextExpiry returns the first time after now at which the lease of one of the
// members lapses unless it is renewed, and false if there is none.
func (o *Observer) NextExpiry(members []hoist.Member, now time.Time) (time.Time, bool) {
	var next time.Time
	for _, m := range members {
		left := -o.ExpiredFor(m, now)
		if m.State.HasEnded() || left < 0 {
			continue
		}
		// One nanosecond later the lease has lapsed.
		at := now.Add(left + 1)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// TakeoverDelay returns how long self waits after the lease of lapsed ended
// before it asks for releases. The hosts take turns, two in each renewal
// period, so that a death in a large cell does not make every host ask every
// other.
func (o *Observer) TakeoverDelay(lapsed, self hoist.HostID, members []hoist.Member, now time.Time) time.Duration {
	const perTurn = 2
	own := rank(lapsed, self)
	before := 0
	for _, m := range members {
		if m.State.HasEnded() || m.Host == self || m.Host == lapsed || o.HasExpired(m, now) {
			continue
		}
		if rank(lapsed, m.Host) < own {
			before++
		}
	}
	return time.Duration(before/perTurn) * RenewEvery
}

// rank orders candidates by a hash that is different for each host.
func rank(host, candidate hoist.HostID) uint64 {
	return xxhash.Sum64String(string(host) + "/" + string(candidate))
}
