package owner

import (
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

// OwnRow is what a host knows about its own member row, including renewals
// whose outcome is unknown. The zero value knows of no row.
type OwnRow struct {
	// Version and Renewals are those of the last known state of the row.
	Version    hoist.RowVersion
	Renewals   uint64
	electorate []hoist.VoterID
	lost       []lostRenewal
}

// lostRenewal is a renewal that may have replaced the row at version checked.
type lostRenewal struct {
	checked    hoist.RowVersion
	electorate []hoist.VoterID
}

// RecordKnown records the state of the row, from a read or a write that took effect.
// Lost renewals of earlier versions can take no effect any more. An older state
// than the known one is ignored.
func (r *OwnRow) RecordKnown(version hoist.RowVersion, renewals uint64, electorate []hoist.VoterID) {
	if version < r.Version {
		return
	}
	r.Version = version
	r.Renewals = renewals
	r.electorate = electorate
	r.lost = slices.DeleteFunc(r.lost, func(l lostRenewal) bool { return l.checked < version })
}

// RecordUnknown records a renewal of the row at version checked whose outcome is
// unknown.
func (r *OwnRow) RecordUnknown(checked hoist.RowVersion, electorate []hoist.VoterID) {
	for _, l := range r.lost {
		if l.checked == checked && slices.Equal(l.electorate, electorate) {
			return
		}
	}
	r.lost = append(r.lost, lostRenewal{checked, electorate})
}

// Has reports whether the row is known to have held the electorate.
func (r *OwnRow) Has(electorate []hoist.VoterID) bool {
	return slices.Equal(r.electorate, electorate)
}

// Electorates returns every electorate that the row may hold. A promise needs
// a majority of each, as a host that takes over needs one of the electorate
// that it reads in the row.
func (r *OwnRow) Electorates() [][]hoist.VoterID {
	out := [][]hoist.VoterID{r.electorate}
	for _, l := range r.lost {
		out = append(out, l.electorate)
	}
	return out
}
