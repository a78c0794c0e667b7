package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Observer tracks the lease renewals of other hosts. The zero value is ready to
// use.
type Observer struct {
	seen     map[hoist.HostID]observation
	lastRead time.Time
}

// observation is one state of a member row and the time of the first read that
// returned it.
type observation struct {
	lease hoist.LeaseRef
	since time.Time
}

// Observe records the member rows of a read that returned at the time now. After
// a gap between reads that is longer than a lease, all observations start anew:
// the table was unavailable, perhaps for the other hosts too, and they need time
// to renew before a vote on their leases makes sense.
func (o *Observer) Observe(members []hoist.Member, now time.Time) {
	hasGap := now.Sub(o.lastRead) > LeaseTime
	o.lastRead = now
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

// HasExpired reports whether the lease of m has expired: its row has stayed
// unchanged for longer than a lease can last, clock drift included.
func (o *Observer) HasExpired(m hoist.Member, now time.Time) bool {
	return o.ExpiredFor(m, now) > 0
}

// ExpiredFor returns how long ago the lease of m expired. The result is not
// positive while the lease may be valid.
func (o *Observer) ExpiredFor(m hoist.Member, now time.Time) time.Duration {
	seen, ok := o.seen[m.Host]
	if !ok || seen.lease.Epoch != m.Epoch || seen.lease.Renewals != m.Renewals {
		return 0
	}
	return now.Sub(seen.since) - LeaseTime - Drift
}

// NextExpiry returns the first time after now at which the lease of one of the
// members expires unless it is renewed, and false if there is none.
func (o *Observer) NextExpiry(members []hoist.Member, now time.Time) (time.Time, bool) {
	var next time.Time
	for _, m := range members {
		left := -o.ExpiredFor(m, now)
		if m.State.HasEnded() || left < 0 {
			continue
		}
		// HasExpired is true only after the end of the lease, hence the nanosecond.
		at := now.Add(left + 1)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// TakeoverDelay returns how long self waits after the lease of host has expired
// before it asks for releases. Two hosts start to ask in each renewal interval, so
// that the failure of a host in a large cell does not make every host ask every
// other one.
func (o *Observer) TakeoverDelay(host, self hoist.HostID, members []hoist.Member, now time.Time) time.Duration {
	const hostsPerInterval = 2
	ownRank := rank(host, self)
	before := 0
	for _, m := range members {
		if m.State.HasEnded() || m.Host == self || m.Host == host || o.HasExpired(m, now) {
			continue
		}
		if rank(host, m.Host) < ownRank {
			before++
		}
	}
	return time.Duration(before/hostsPerInterval) * RenewEvery
}

// rank returns a hash by which candidates are ordered; the order differs from
// host to host.
func rank(host, candidate hoist.HostID) uint64 {
	return xxhash.Sum64String(string(host) + "/" + string(candidate))
}
