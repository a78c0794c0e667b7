package owner

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// epochKey identifies one process start of a host.
type epochKey struct {
	host  hoist.HostID
	epoch hoist.Epoch
}

// Voter decides this host's votes on the leases of other hosts. Its state is
// in memory only, so a new voter abstains until the votes of an earlier process
// at its address can no longer have an effect (NewVoterDelay).
type Voter struct {
	started  time.Time
	promises map[epochKey]time.Time
	released map[epochKey]uint64
	// firstEpoch has the earliest epoch of each host that may still act.
	firstEpoch map[hoist.HostID]hoist.Epoch
	// hasReadFences is set by a read that shows every fence to which an earlier
	// process at this address can have agreed.
	hasReadFences bool
}

// NewVoter returns the voter of a process that started at the given time.
func NewVoter(started time.Time) *Voter {
	return &Voter{
		started:  started,
		promises: make(map[epochKey]time.Time),
		released: make(map[epochKey]uint64),

		firstEpoch: make(map[hoist.HostID]hoist.Epoch),
	}
}

// Promise reports whether the voter promises not to release the lease for one
// lease time. It refuses if it has released the lease at this or a later renewal,
// if the epoch of the lease is known to have ended, and until it has read the
// table after the new-voter delay: before that it may not know that the host was
// fenced.
func (v *Voter) Promise(l hoist.LeaseRef, now time.Time) bool {
	if !v.hasReadFences || l.Epoch < v.firstEpoch[l.Host] {
		return false
	}
	key := epochKey{l.Host, l.Epoch}
	if released, ok := v.released[key]; ok && l.Renewals <= released {
		return false
	}
	v.promises[key] = now.Add(LeaseTime + Drift)
	return true
}

// Release reports whether the voter releases an expired lease. It refuses during
// the new-voter delay and while a promise is outstanding. After a release it makes
// no promise for the lease unless the lease was renewed since, in which case the
// fencing write of the host that takes over fails.
func (v *Voter) Release(l hoist.LeaseRef, now time.Time) bool {
	if v.isTooNew(now) {
		return false
	}
	key := epochKey{l.Host, l.Epoch}
	if now.Before(v.promises[key]) {
		return false
	}
	v.released[key] = max(v.released[key], l.Renewals)
	return true
}

func (v *Voter) isTooNew(now time.Time) bool {
	return now.Sub(v.started) < NewVoterDelay
}

// RecordMembers records the members that a read of the table, sent at the given time,
// returned. From then on the voter refuses promises for epochs that have ended,
// as a process of such an epoch may still ask for them.
func (v *Voter) RecordMembers(members []hoist.Member, sent time.Time) {
	for _, m := range members {
		first := m.Epoch
		if m.State.HasEnded() {
			first++
		}
		if first > v.firstEpoch[m.Host] {
			v.firstEpoch[m.Host] = first
			v.dropBefore(m.Host, first)
		}
	}
	if !v.isTooNew(sent) {
		v.hasReadFences = true
	}
}

// dropBefore drops the votes on epochs of host before first.
func (v *Voter) dropBefore(host hoist.HostID, first hoist.Epoch) {
	for key := range v.promises {
		if key.host == host && key.epoch < first {
			delete(v.promises, key)
		}
	}
	for key := range v.released {
		if key.host == host && key.epoch < first {
			delete(v.released, key)
		}
	}
}

// CanFence reports whether at least half of the electorate is in released. The
// other half is no majority, so the host cannot extend its lease by promises.
// Requiring more would prevent the last of two members from taking over.
func CanFence(electorate []hoist.VoterID, released map[hoist.VoterID]bool) bool {
	return 2*count(electorate, released) >= len(electorate)
}

// HasMajority reports whether more than half of the electorate is in granted.
func HasMajority(electorate []hoist.VoterID, granted map[hoist.VoterID]bool) bool {
	return 2*count(electorate, granted) > len(electorate)
}

// count returns how many of the electorate are in granted.
func count(electorate []hoist.VoterID, granted map[hoist.VoterID]bool) int {
	n := 0
	for _, voter := range electorate {
		if granted[voter] {
			n++
		}
	}
	return n
}

// HasMajorities reports whether granted holds a majority of each electorate.
func HasMajorities(electorates [][]hoist.VoterID, granted map[hoist.VoterID]bool) bool {
	for _, electorate := range electorates {
		if !HasMajority(electorate, granted) {
			return false
		}
	}
	return true
}

// Electorate returns the voters on the lease of self: self and all members that
// are neither fenced nor left.
func Electorate(self hoist.Member, members []hoist.Member) []hoist.VoterID {
	out := []hoist.VoterID{self.Voter()}
	for _, m := range members {
		if m.Host != self.Host && !m.State.HasEnded() {
			out = append(out, m.Voter())
		}
	}
	// The order is fixed, so that hosts that know the same members have equal
	// electorates.
	slices.Sort(out)
	return out
}
