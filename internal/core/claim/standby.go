package claim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// maxStandbys is the number of hosts that send health checks to the owner. Each
	// costs the owner one call per healthCheckEvery. A takeover takes longer only
	// if all of them fail together with the owner.
	maxStandbys = 4
	// standbyTimeout is how long a standby may go without sending a health check
	// before it is replaced.
	standbyTimeout = 5 * time.Second
	// standbyExclusion is how long a standby that was replaced is not chosen again.
	standbyExclusion = 30 * time.Second
)

// standbys are the hosts that may take over from the owner. Its methods may be
// called concurrently.
type standbys struct {
	mu    sync.Mutex
	hosts map[hoist.HostID]*candidate
	// ownVersion is the version of the row with which this host announced itself; 0 if it is
	// not known.
	ownVersion hoist.RowVersion
}

// candidate is a host that can be a standby.
type candidate struct {
	weight Weight
	// version is the version of the row with which the host announced its process, which
	// started at about the time started.
	version hoist.RowVersion
	started time.Time
	// lastSeen is when the host announced itself to this owner, or sent its last health check.
	lastSeen time.Time
	// lastCheck is when the host was made a standby, or sent its last health check.
	lastCheck time.Time
	// excludedUntil is the time before which the host is not chosen.
	excludedUntil time.Time
	isStandby     bool
}

// set adds or replaces a host, or removes it if its weight is 0. When a process was first
// seen to have started is kept.
func (s *standbys) set(host hoist.HostID, c candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[hoist.HostID]*candidate)
	}
	if old, ok := s.hosts[host]; ok && old.version == c.version {
		c.started, c.lastSeen = old.started, old.lastSeen
	}
	delete(s.hosts, host)
	if c.weight > 0 {
		s.hosts[host] = &c
	}
}

// recordCheck records that a host sent a health check.
func (s *standbys) recordCheck(host hoist.HostID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.hosts[host]; ok {
		c.lastCheck, c.lastSeen = now, now
	}
}

// choose returns the standbys of an owner: hosts that have started last during a restart
// of hosts, then the largest ones. A standby that sends no health checks is excluded for
// standbyExclusion.
func (s *standbys) choose(owner Weight, now time.Time) []hoist.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]hoist.HostID, 0, len(s.hosts))
	for id, c := range s.hosts {
		if c.isStandby && now.Sub(c.lastCheck) > standbyTimeout {
			c.isStandby = false
			c.excludedUntil = now.Add(standbyExclusion)
		}
		if !now.Before(c.excludedUntil) {
			ids = append(ids, id)
		}
	}
	// Hosts of the same size are ordered by their hashes, which spreads the
	// standbys over the data centres.
	slices.SortFunc(ids, func(x, y hoist.HostID) int {
		return cmp.Or(
			-cmp.Compare(s.hosts[x].weight, s.hosts[y].weight),
			cmp.Compare(xxhash.Sum64String(string(x)), xxhash.Sum64String(string(y))),
			cmp.Compare(x, y),
		)
	})
	ids = s.preferRestarted(ids, owner, now)
	ids = ids[:min(len(ids), maxStandbys)]
	for id, c := range s.hosts {
		isStandby := slices.Contains(ids, id)
		if isStandby && !c.isStandby {
			c.lastCheck = now
		}
		c.isStandby = isStandby
	}
	return ids
}
