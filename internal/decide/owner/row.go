package owner

import (
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

// OwnRow is what a host knows about its own member row, including renewals
// whose outcome is unknown. The zero value is that of a host without a known row.
type OwnRow struct {
	// Version and Renewals are those of the last known state of the row.
	Version    hoist.RowVersion
	Renewals   uint64
	electorate []hoist.VoterID
	unresolved []unresolvedRenewal
}

// unresolvedRenewal is a renewal with an unknown outcome. It may have replaced
// the row at version checked.
type unresolvedRenewal struct {
	checked    hoist.RowVersion
	electorate []hoist.VoterID
}

// RecordKnown records the state of the row, from a read or from a write that took
// effect. It drops the unresolved renewals of earlier versions, which can no
// longer take effect. A state older than the known one is ignored.
func (r *OwnRow) RecordKnown(version hoist.RowVersion, renewals uint64, electorate []hoist.VoterID) {
	if version < r.Version {
		return
	}
	r.Version = version
	r.Renewals = renewals
	r.electorate = electorate
	r.unresolved = slices.DeleteFunc(r.unresolved, func(u unresolvedRenewal) bool { return u.checked < version })
}

// RecordUnknown records a renewal of the row at version checked whose outcome is
// unknown.
func (r *OwnRow) RecordUnknown(checked hoist.RowVersion, electorate []hoist.VoterID) {
	for _, u := range r.unresolved {
		if u.checked == checked && slices.Equal(u.electorate, electorate) {
			return
		}
	}
	r.unresolved = append(r.unresolved, unresolvedRenewal{checked, electorate})
}

// HasElectorate reports whether the last known state of the row has the electorate.
func (r *OwnRow) HasElectorate(electorate []hoist.VoterID) bool {
	return slices.Equal(r.electorate, electorate)
}

// Electorates returns every electorate that the row may hold. Promises extend
// the lease only if they come from a majority of each, as a host that takes over
// asks for the releases of the electorate that it reads in the row.
func (r *OwnRow) Electorates() [][]hoist.VoterID {
	out := [][]hoist.VoterID{r.electorate}
	for _, u := range r.unresolved {
		out = append(out, u.electorate)
	}
	return out
}
