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
	// maxDeputies is how many hosts watch the owner closely. They cost it a call
	// each in pulseEvery, and all of them must be lost together with the owner
	// before the takeover takes longer.
	maxDeputies = 4
	// deputyPatience is how long a deputy may be without a pulse, and
	// deputyPause how long it is then passed over.
	deputyPatience = 5 * time.Second
	deputyPause    = 30 * time.Second
)

// deputies are the hosts that may watch the owner. Its methods may be called
// concurrently.
type deputies struct {
	mu    sync.Mutex
	hosts map[hoist.HostID]*candidate
}

// candidate is a host that can be a deputy.
type candidate struct {
	weight Weight
	// heard is when the host was made a deputy, or asked for a pulse last.
	heard time.Time
	// passedOver is until when another host takes its place.
	passedOver time.Time
	isDeputy   bool
}

// set takes over a host, or removes it if its weight is 0.
func (d *deputies) set(host hoist.HostID, weight Weight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts == nil {
		d.hosts = make(map[hoist.HostID]*candidate)
	}
	delete(d.hosts, host)
	if weight > 0 {
		d.hosts[host] = &candidate{weight: weight}
	}
}

// pulsed notes that a host asked for a pulse.
func (d *deputies) pulsed(host hoist.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.hosts[host]; ok {
		c.heard = now
	}
}

// choose returns the deputies, the largest host first. A deputy that asks for no
// pulse is replaced for a while.
func (d *deputies) choose(now time.Time) []hoist.HostID {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]hoist.HostID, 0, len(d.hosts))
	for id, c := range d.hosts {
		if c.isDeputy && now.Sub(c.heard) > deputyPatience {
			c.isDeputy = false
			c.passedOver = now.Add(deputyPause)
		}
		if !now.Before(c.passedOver) {
			ids = append(ids, id)
		}
	}
	// Hosts of one size come in the order of their hashes, which spreads the
	// deputies over the data centres.
	slices.SortFunc(ids, func(x, y hoist.HostID) int {
		return cmp.Or(
			-cmp.Compare(d.hosts[x].weight, d.hosts[y].weight),
			cmp.Compare(xxhash.Sum64String(string(x)), xxhash.Sum64String(string(y))),
			cmp.Compare(x, y),
		)
	})
	ids = ids[:min(len(ids), maxDeputies)]
	for id, c := range d.hosts {
		isDeputy := slices.Contains(ids, id)
		if isDeputy && !c.isDeputy {
			c.heard = now
		}
		c.isDeputy = isDeputy
	}
	return ids
}
