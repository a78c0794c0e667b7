package owner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

const voters = 5

// leaseModel models one host that holds a lease, its row, its voters, and one
// host that tries to take over.
type leaseModel struct {
	now      time.Time
	voters   [voters]*owner.Voter
	lease    owner.Lease
	ownRow   owner.OwnRow
	row      hoist.Member
	version  hoist.RowVersion
	inFlight []write
	observer owner.Observer
}

// write is a write in flight. It takes effect at the time at if the row is still
// at version checked.
type write struct {
	at      time.Time
	checked hoist.RowVersion
	row     hoist.Member
}

func newLeaseModel() *leaseModel {
	m := &leaseModel{now: time.Unix(1e9, 0)}
	for i := range m.voters {
		m.voters[i] = owner.NewVoter(m.now.Add(-time.Hour))
		m.voters[i].RecordMembers(nil, m.now)
	}
	m.row = hoist.Member{Host: "h", Epoch: 1, Renewals: 1, State: hoist.MemberLive, Electorate: voterIDs(voters)}
	m.version = 1
	m.ownRow.RecordKnown(1, 1, m.row.Electorate)
	m.lease.Extend(m.now)
	return m
}

func voterIDs(n int) []hoist.VoterID {
	var out []hoist.VoterID
	for i := range n {
		out = append(out, voterIDAt(i))
	}
	return out
}

func voterIDAt(i int) hoist.VoterID {
	return hoist.VoterOf(hoist.HostID(fmt.Sprint(i)), "addr")
}

// advance advances the time by d and applies the writes in flight that are due.
func (m *leaseModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	var later []write
	for _, w := range m.inFlight {
		if w.at.After(m.now) {
			later = append(later, w)
		} else {
			m.apply(w)
		}
	}
	m.inFlight = later
}

func (m *leaseModel) apply(w write) bool {
	if w.checked != m.version {
		return false
	}
	m.row = w.row
	m.version++
	return true
}

// renew writes the row with a new electorate. If the answer is lost, the write
// takes effect after delay.
func (m *leaseModel) renew(electorate []hoist.VoterID, isAnswerLost bool, delay time.Duration) {
	row := m.row
	row.State = hoist.MemberLive
	row.Renewals = m.ownRow.Renewals + 1
	row.Electorate = electorate
	w := write{m.now.Add(delay), m.ownRow.Version, row}
	if isAnswerLost {
		m.ownRow.RecordUnknown(w.checked, electorate)
		m.inFlight = append(m.inFlight, w)
		m.advance(0)
		return
	}
	if m.apply(w) {
		m.ownRow.RecordKnown(m.version, row.Renewals, electorate)
		m.lease.Extend(m.now)
	}
}

// readRow lets the lease holder read its row.
func (m *leaseModel) readRow() {
	if m.row.State != hoist.MemberFenced {
		m.ownRow.RecordKnown(m.version, m.row.Renewals, m.row.Electorate)
	}
}

// collectVotes returns which voters grant a vote. The voters whose bits are not
// set in reachable grant none.
func (m *leaseModel) collectVotes(reachable int, vote func(*owner.Voter) bool) map[hoist.VoterID]bool {
	granted := make(map[hoist.VoterID]bool)
	for i, v := range m.voters {
		granted[voterIDAt(i)] = reachable&(1<<i) != 0 && vote(v)
	}
	return granted
}

func (m *leaseModel) extendByPromises(reachable int) {
	ref := hoist.LeaseRef{Host: "h", Epoch: 1, Renewals: m.ownRow.Renewals}
	granted := m.collectVotes(reachable, func(v *owner.Voter) bool { return v.Promise(ref, m.now) })
	if owner.HasMajorities(m.ownRow.Electorates(), granted) {
		m.lease.Extend(m.now)
	}
}

// takeOver asks for releases and sends the fencing write, which takes effect
// after delay. The delay includes the time within FenceWindow before the send.
func (m *leaseModel) takeOver(reachable int, delay time.Duration) {
	if !m.observer.HasExpired(m.row, m.now) {
		return
	}
	row := m.row
	ref := hoist.LeaseRef{Host: "h", Epoch: 1, Renewals: row.Renewals}
	granted := m.collectVotes(reachable, func(v *owner.Voter) bool { return v.Release(ref, m.now) })
	if owner.CanFence(row.Electorate, granted) {
		row.State = hoist.MemberFenced
		m.inFlight = append(m.inFlight, write{m.now.Add(delay), m.version, row})
	}
}

// restartVoters replaces the voters whose bits are set by those of new processes.
func (m *leaseModel) restartVoters(voterBits int) {
	for i := range m.voters {
		if voterBits&(1<<i) != 0 {
			m.voters[i] = owner.NewVoter(m.now)
		}
	}
}

// readTable lets the voters whose bits are set read the table.
func (m *leaseModel) readTable(voterBits int) {
	for i, v := range m.voters {
		if voterBits&(1<<i) != 0 {
			v.RecordMembers([]hoist.Member{m.row}, m.now)
		}
	}
}

// assertNotFenced checks that the host is not fenced while its lease is valid.
func (m *leaseModel) assertNotFenced(t *rapid.T) {
	if m.row.State == hoist.MemberFenced && m.lease.IsValid(m.now) {
		t.Fatalf("fenced at version %d with %v of the lease left", m.version, m.lease.Remaining(m.now))
	}
}

// TestNoTakeoverDuringPromisedLease guards against a takeover from a host that
// extends its lease by promises, with lost and late writes, changing electorates and
// voters that restart.
func TestNoTakeoverDuringPromisedLease(t *testing.T) {
	// One group of cases finds most faults in the rules; some faults need more.
	const groups = 100
	for i := range groups {
		t.Run(fmt.Sprint(i), func(t *testing.T) { rapid.Check(t, checkVotes) })
	}
}

func checkVotes(t *rapid.T) {
	m := newLeaseModel()
	reachable := rapid.IntRange(0, 1<<voters-1)
	millis := func(maxMillis int) time.Duration {
		return time.Duration(rapid.IntRange(0, maxMillis).Draw(t, "ms")) * time.Millisecond
	}
	t.Repeat(map[string]func(*rapid.T){
		"":     m.assertNotFenced,
		"pass": func(*rapid.T) { m.advance(millis(6000)) },
		"lapse": func(*rapid.T) {
			m.observer.Observe([]hoist.Member{m.row}, m.now)
			m.advance(owner.LeaseTime + owner.Drift + 1)
		},
		"renew": func(t *rapid.T) {
			size := rapid.IntRange(1, voters).Draw(t, "size")
			m.renew(voterIDs(size), rapid.Bool().Draw(t, "lost"), millis(int(owner.MaxTableDelay/time.Millisecond)))
		},
		"read":      func(*rapid.T) { m.readRow() },
		"extend":    func(t *rapid.T) { m.extendByPromises(reachable.Draw(t, "reachable")) },
		"extendAll": func(*rapid.T) { m.extendByPromises(1<<voters - 1) },
		"takeOver": func(t *rapid.T) {
			m.takeOver(reachable.Draw(t, "reachable"), millis(int((owner.FenceWindow+owner.MaxTableDelay)/time.Millisecond)))
		},
		"inform":  func(t *rapid.T) { m.readTable(reachable.Draw(t, "informed")) },
		"restart": func(t *rapid.T) { m.restartVoters(reachable.Draw(t, "restarted")) },
		"restartAndWait": func(t *rapid.T) {
			m.restartVoters(reachable.Draw(t, "restarted"))
			m.advance(owner.LeaseTime + owner.Drift + millis(1100))
			m.readTable(1<<voters - 1)
		},
	})
}
