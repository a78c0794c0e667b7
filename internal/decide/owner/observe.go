package owner

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Observer watches the renewals of other hosts.
type Observer struct {
	seen map[hoist.HostID]observation
}

// observation is one state of a member row and when it was first read.
type observation struct {
	lease hoist.LeaseRef
	since time.Time
}

// Observe records the member rows that a read which returned at the time now
// found.
func (o *Observer) Observe(members []hoist.Member, now time.Time) {
	next := make(map[hoist.HostID]observation, len(members))
	for _, m := range members {
		lease := hoist.LeaseRef{Host: m.Host, Epoch: m.Epoch, Renewals: m.Renewals}
		seen, ok := o.seen[m.Host]
		if !ok || seen.lease != lease {
			seen = observation{lease, now}
		}
		next[m.Host] = seen
	}
	o.seen = next
}

// HasLapsed reports whether the row of m has stayed unchanged for longer than
// a lease can last, drift included.
func (o *Observer) HasLapsed(m hoist.Member, now time.Time) bool {
	seen, ok := o.seen[m.Host]
	if !ok || seen.lease.Epoch != m.Epoch || seen.lease.Renewals != m.Renewals {
		return false
	}
	return now.Sub(seen.since) > LeaseTime+Drift
}
