package claim

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// restartTime is how long after the start of a process a restart of all hosts in turn
	// may be under way, which reaches the hosts that have just started last.
	restartTime = time.Minute
	// maxRestartedStandbys is how many of the standbys are chosen for their late start. The
	// others are the largest hosts at any time.
	maxRestartedStandbys = 2
	// newHostTime is how long after its start a host sends health checks although it is no
	// standby, and newHostReadInterval is how often it reads the owner's rows in that time,
	// which tell it whether the owner has made it one.
	newHostTime         = time.Second
	newHostReadInterval = 500 * time.Millisecond
	// maxSuccessorSilence is how old the last sign of life of a successor may be: a host that
	// was told to stop sends no health checks.
	maxSuccessorSilence = 600 * time.Millisecond
	// successorHeadStart is how long other hosts leave the claim to the successor. Within
	// healthCheckEvery the successor notices the release.
	successorHeadStart = healthCheckEvery
)

// HostStart tells when the process of a host started. The zero value tells nothing.
type HostStart struct {
	// Version is the version of the row with which the process announced itself. It orders
	// the starts of all hosts.
	Version hoist.RowVersion
	// Age is how long ago the process started, by the clocks of two hosts. It counts only for
	// rows that are older than the ownership, and may be far off.
	Age time.Duration
}

// setOwnStart records the version of the row with which this host announced itself.
func (s *standbys) setOwnStart(version hoist.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownVersion = version
}

// isRestarted reports whether a host has started during a restart of hosts that may still be
// under way, after this one did, and is large enough not to be replaced for its size by a host
// of the owner's weight. s.mu must be held.
func (s *standbys) isRestarted(c *candidate, owner Weight, now time.Time) bool {
	age := now.Sub(c.started)
	// A clock that is ahead makes the age negative.
	return c.version > s.ownVersion && 2*c.weight > owner && -restartTime <= age && age <= restartTime
}

// preferRestarted moves the hosts that have started last to the front, at most
// maxRestartedStandbys. s.mu must be held.
func (s *standbys) preferRestarted(ids []hoist.HostID, owner Weight, now time.Time) []hoist.HostID {
	var first, rest []hoist.HostID
	for _, id := range ids {
		if s.isRestarted(s.hosts[id], owner, now) {
			first = append(first, id)
		} else {
			rest = append(rest, id)
		}
	}
	slices.SortFunc(first, func(x, y hoist.HostID) int { return cmp.Compare(s.hosts[y].version, s.hosts[x].version) })
	kept := min(len(first), maxRestartedStandbys)
	return slices.Concat(first[:kept], rest, first[kept:])
}

// successor returns the live host that has started last, or "" if no host has started recently.
func (s *standbys) successor(owner Weight, now time.Time, isUnreachable func(hoist.HostID) bool) hoist.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best hoist.HostID
	for id, c := range s.hosts {
		isLive := now.Sub(c.lastSeen) <= maxSuccessorSilence && !isUnreachable(id)
		if isLive && s.isRestarted(c, owner, now) && (best == "" || c.version > s.hosts[best].version) {
			best = id
		}
	}
	return best
}

// startTime returns when a process started, on the clock of the manager. A row that is newer than
// the claim of this owner was written just before it is seen.
func (m *Manager) startTime(start HostStart, now time.Time) (started time.Time, isNew bool) {
	if o := m.acting.Load(); o != nil && start.Version > o.Version {
		return now, true
	}
	return now.Add(-start.Age), false
}

// successor returns the host that is to claim the cell after its release, or "".
func (m *Manager) successor() hoist.HostID {
	isUnreachable := m.IsUnreachable
	if isUnreachable == nil {
		isUnreachable = func(hoist.HostID) bool { return false }
	}
	return m.standbys.successor(m.Weight, m.Clock.Now(), isUnreachable)
}

// isNew reports whether this host has just started.
func (m *Manager) isNew() bool {
	return m.Clock.Now().Sub(m.began) < newHostTime
}

// readInterval returns the interval at which a host that sends health checks reads the owner's
// rows.
func (m *Manager) readInterval() time.Duration {
	if m.isNew() {
		return newHostReadInterval
	}
	return slowPollInterval
}

// checkInterval returns the interval between health checks. It is shorter for a host that has
// just started, and for a standby that the owner may have chosen for its late start.
func (m *Manager) checkInterval() time.Duration {
	rank := m.standbyRank()
	isChosen := rank >= 0 && rank < maxRestartedStandbys && m.Clock.Now().Sub(m.began) < restartTime
	if isChosen || m.isNew() {
		return successorCheckEvery
	}
	return healthCheckEvery
}

// successorTimeLeft returns for how long this host leaves the claim of a released cell to the
// successor that the owner has named.
func (m *Manager) successorTimeLeft(now time.Time) time.Duration {
	s := &m.observed
	if !s.owner.Released || s.owner.Successor == "" || s.owner.Successor == string(m.Host) {
		return 0
	}
	return successorHeadStart - now.Sub(s.ownerSeen)
}
