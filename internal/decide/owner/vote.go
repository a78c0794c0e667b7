package owner

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// epochKey names one process start of one host.
type epochKey struct {
	host  hoist.HostID
	epoch hoist.Epoch
}

// Voter decides this host's votes on the leases of other hosts. Its state is
// in memory only, so it does not vote until the votes of an earlier process at
// its address can have no effect any more (VoterYouth).
type Voter struct {
	started  time.Time
	promises map[epochKey]time.Time
	released map[epochKey]uint64
	// firstEpoch is the earliest epoch of a host that may still act.
	firstEpoch map[hoist.HostID]hoist.Epoch
	// isInformed is set by a read that shows every fence which an earlier
	// process at this address can have agreed to.
	isInformed bool
}

// NewVoter returns a voter of a process that started at the given time.
func NewVoter(started time.Time) *Voter {
	return &Voter{
		started:  started,
		promises: make(map[epochKey]time.Time),
		released: make(map[epochKey]uint64),

		firstEpoch: make(map[hoist.HostID]hoist.Epoch),
	}
}

// Promise asks for the promise not to release the lease for one lease time.
// It is refused if the lease was released at this or a later renewal, if its
// epoch is known to have ended, and until the voter has read the table after
// its youth: without that it may not know that the host was fenced.
func (v *Voter) Promise(l hoist.LeaseRef, now time.Time) bool {
	if !v.isInformed || l.Epoch < v.firstEpoch[l.Host] {
		return false
	}
	key := epochKey{l.Host, l.Epoch}
	if released, ok := v.released[key]; ok && l.Renewals <= released {
		return false
	}
	v.promises[key] = now.Add(LeaseTime + Drift)
	return true
}

// Release asks for the release of a lapsed lease. It is refused while a promise
// is outstanding. Once given, this voter makes no promise for the lease unless
// it was renewed since, in which case the taker's write fails.
func (v *Voter) Release(l hoist.LeaseRef, now time.Time) bool {
	if v.isTooYoung(now) {
		return false
	}
	key := epochKey{l.Host, l.Epoch}
	if now.Before(v.promises[key]) {
		return false
	}
	v.released[key] = max(v.released[key], l.Renewals)
	return true
}

func (v *Voter) isTooYoung(now time.Time) bool {
	return now.Sub(v.started) < VoterYouth
}

// Read tells the voter what a read of the table that was sent at the given time
// found: promises for epochs that have ended are refused from then on, since a
// process of such an epoch may still ask.
func (v *Voter) Read(members []hoist.Member, sent time.Time) {
	for _, m := range members {
		first := m.Epoch
		if m.State.HasEnded() {
			first++
		}
		if first > v.firstEpoch[m.Host] {
			v.firstEpoch[m.Host] = first
			v.forget(m.Host, first)
		}
	}
	if !v.isTooYoung(sent) {
		v.isInformed = true
	}
}

// forget drops what is kept on epochs of host before first.
func (v *Voter) forget(host hoist.HostID, first hoist.Epoch) {
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
// other half is no majority, so the host cannot go on by promises. Asking for
// more would keep the last of two members from taking over.
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
	for _, elector := range electorate {
		if granted[elector] {
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

// Electorate returns the members that vote on the lease of self: all that are
// not fenced, and self.
func Electorate(self hoist.Member, members []hoist.Member) []hoist.VoterID {
	out := []hoist.VoterID{self.Voter()}
	for _, m := range members {
		if m.Host != self.Host && !m.State.HasEnded() {
			out = append(out, m.Voter())
		}
	}
	// Hosts that know the same members have the same electorate.
	slices.Sort(out)
	return out
}
