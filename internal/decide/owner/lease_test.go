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

// leaseModel is one host that holds a lease, its row, its voters, and one host
// that tries to take over.
type leaseModel struct {
	now      time.Time
	voters   [voters]*owner.Voter
	lease    owner.Lease
	own      owner.OwnRow
	row      hoist.Member
	version  hoist.RowVersion
	inFlight []write
	observer owner.Observer
}

// write takes effect at the time at if the row is still at version checked.
type write struct {
	at      time.Time
	checked hoist.RowVersion
	row     hoist.Member
}

func newLeaseModel() *leaseModel {
	m := &leaseModel{now: time.Unix(1e9, 0)}
	for i := range m.voters {
		m.voters[i] = owner.NewVoter(m.now.Add(-time.Hour))
		m.voters[i].Read(nil, m.now)
	}
	m.row = hoist.Member{Host: "h", Epoch: 1, Renewals: 1, State: hoist.MemberLive, Electorate: electors(voters)}
	m.version = 1
	m.own.RecordKnown(1, 1, m.row.Electorate)
	m.lease.Extend(m.now)
	return m
}

func electors(n int) []hoist.VoterID {
	var out []hoist.VoterID
	for i := range n {
		out = append(out, electorAt(i))
	}
	return out
}

func electorAt(i int) hoist.VoterID {
	return hoist.VoterOf(hoist.HostID(fmt.Sprint(i)), "addr")
}

// pass lets the time go on; writes in flight take effect.
func (m *leaseModel) pass(d time.Duration) {
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

// renew writes the row with a new electorate; the answer may be lost and the
// write may take effect late.
func (m *leaseModel) renew(electorate []hoist.VoterID, isLost bool, late time.Duration) {
	row := m.row
	row.State = hoist.MemberLive
	row.Renewals = m.own.Renewals + 1
	row.Electorate = electorate
	w := write{m.now.Add(late), m.own.Version, row}
	if isLost {
		m.own.RecordUnknown(w.checked, electorate)
		m.inFlight = append(m.inFlight, w)
		m.pass(0)
		return
	}
	if m.apply(w) {
		m.own.RecordKnown(m.version, row.Renewals, electorate)
		m.lease.Extend(m.now)
	}
}

// read makes the holder read its row back.
func (m *leaseModel) read() {
	if m.row.State != hoist.MemberFenced {
		m.own.RecordKnown(m.version, m.row.Renewals, m.row.Electorate)
	}
}

// ask returns which of the reachable voters, given as bits, grant a vote.
func (m *leaseModel) ask(reachable int, vote func(*owner.Voter) bool) map[hoist.VoterID]bool {
	granted := make(map[hoist.VoterID]bool)
	for i, v := range m.voters {
		granted[electorAt(i)] = reachable&(1<<i) != 0 && vote(v)
	}
	return granted
}

func (m *leaseModel) extend(reachable int) {
	ref := hoist.LeaseRef{Host: "h", Epoch: 1, Renewals: m.own.Renewals}
	granted := m.ask(reachable, func(v *owner.Voter) bool { return v.Promise(ref, m.now) })
	if owner.HasMajorities(m.own.Electorates(), granted) {
		m.lease.Extend(m.now)
	}
}

// takeOver asks for releases and sends the fencing write at the end of the
// window, to take effect as late as the table allows.
func (m *leaseModel) takeOver(reachable int, late time.Duration) {
	if !m.observer.HasExpired(m.row, m.now) {
		return
	}
	row := m.row
	ref := hoist.LeaseRef{Host: "h", Epoch: 1, Renewals: row.Renewals}
	granted := m.ask(reachable, func(v *owner.Voter) bool { return v.Release(ref, m.now) })
	if owner.CanFence(row.Electorate, granted) {
		row.State = hoist.MemberFenced
		m.inFlight = append(m.inFlight, write{m.now.Add(late), m.version, row})
	}
}

// restart replaces the voters given as bits by new processes.
func (m *leaseModel) restart(which int) {
	for i := range m.voters {
		if which&(1<<i) != 0 {
			m.voters[i] = owner.NewVoter(m.now)
		}
	}
}

// inform lets the voters given as bits read the table.
func (m *leaseModel) inform(which int) {
	for i, v := range m.voters {
		if which&(1<<i) != 0 {
			v.Read([]hoist.Member{m.row}, m.now)
		}
	}
}

// assertNotFenced: the host is not fenced while its lease is valid.
func (m *leaseModel) assertNotFenced(t *rapid.T) {
	if m.row.State == hoist.MemberFenced && m.lease.IsValid(m.now) {
		t.Fatalf("fenced at version %d with %v of the lease left", m.version, m.lease.Remaining(m.now))
	}
}

// TestVotes guards against a takeover from a host that goes on by promises,
// with lost and late writes, changing electorates and voters that restart.
func TestVotes(t *testing.T) {
	// One group finds most faults in the rules; some need more cases.
	const groups = 100
	for i := range groups {
		t.Run(fmt.Sprint(i), func(t *testing.T) { rapid.Check(t, checkVotes) })
	}
}

func checkVotes(t *rapid.T) {
	m := newLeaseModel()
	reachable := rapid.IntRange(0, 1<<voters-1)
	millis := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
	}
	t.Repeat(map[string]func(*rapid.T){
		"":     m.assertNotFenced,
		"pass": func(*rapid.T) { m.pass(millis(6000)) },
		"lapse": func(*rapid.T) {
			m.observer.Observe([]hoist.Member{m.row}, m.now)
			m.pass(owner.LeaseTime + owner.Drift + 1)
		},
		"renew": func(t *rapid.T) {
			size := rapid.IntRange(1, voters).Draw(t, "size")
			m.renew(electors(size), rapid.Bool().Draw(t, "lost"), millis(int(owner.TableBound/time.Millisecond)))
		},
		"read":      func(*rapid.T) { m.read() },
		"extend":    func(t *rapid.T) { m.extend(reachable.Draw(t, "reachable")) },
		"extendAll": func(*rapid.T) { m.extend(1<<voters - 1) },
		"takeOver": func(t *rapid.T) {
			m.takeOver(reachable.Draw(t, "reachable"), millis(int((owner.FenceWindow+owner.TableBound)/time.Millisecond)))
		},
		"inform":  func(t *rapid.T) { m.inform(reachable.Draw(t, "informed")) },
		"restart": func(t *rapid.T) { m.restart(reachable.Draw(t, "restarted")) },
		"restartAndWait": func(t *rapid.T) {
			m.restart(reachable.Draw(t, "restarted"))
			m.pass(owner.LeaseTime + owner.Drift + millis(1100))
			m.inform(1<<voters - 1)
		},
	})
}
