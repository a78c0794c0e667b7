// Package share decides which hosts call the workers for the owner of a cell. The
// owner of a small cell calls all workers itself. In a large one other hosts, its
// relays, each call a share of the workers, as one host has neither the connections
// nor the processor time for all of them.
//
// # Usage
//
//	t := share.NewTable()
//	moved := t.Update(workers, hosts)
//	relay, isRelayed := t.Relay(worker)
//
// # Stability
//
// The workers of a relay that is lost are distributed over the others, and the other
// workers stay where they are, while the relays that are left have enough room. A new
// owner assigns the same workers to the same relays, which keep their connections.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

const (
	// DefaultMaxDirect is the number of workers up to which the owner calls them itself.
	DefaultMaxDirect = 600
	// minRelayedShare is the share of that number below which the owner of a cell that
	// has shrunk calls them itself again.
	minRelayedShare = 0.75
	// weightPerWorker is the weight, in thousandths of a core, for which a relay gets one
	// worker. Few relays with many workers cost the owner less than many with few.
	weightPerWorker = 4
	// roomFactor is for how many times the workers relays are chosen. They are kept while
	// they have room for minRoomFactor to maxRoomFactor times the workers.
	roomFactor    = 1.25
	minRoomFactor = 0.9
	maxRoomFactor = 2.5
)

// Host is a host that can be a relay.
type Host struct {
	ID hoist.HostID
	// Weight is the size of the host in thousandths of a core.
	Weight int
}

// Table holds the relay of each worker. It is not safe for concurrent use.
type Table struct {
	// MaxDirect replaces DefaultMaxDirect, unless it is 0.
	MaxDirect int

	relays   []Host
	assigned map[hoist.WorkerID]hoist.HostID
}

// NewTable returns a table without workers.
func NewTable() *Table {
	return &Table{assigned: make(map[hoist.WorkerID]hoist.HostID)}
}

// Relay returns the relay of a worker. It reports false if the owner calls the worker
// itself.
func (t *Table) Relay(id hoist.WorkerID) (hoist.HostID, bool) {
	relay, ok := t.assigned[id]
	return relay, ok
}

// Relays returns the hosts that are relays.
func (t *Table) Relays() []Host {
	return t.relays
}

// Update assigns the given workers to relays among the given hosts. It returns how many
// workers moved that were in the table before.
func (t *Table) Update(workers []hoist.WorkerID, hosts []Host) int {
	relays := t.choose(len(workers), hosts)
	isSame := slices.Equal(relays, t.relays)
	t.relays = relays
	next := make(map[hoist.WorkerID]hoist.HostID, len(workers))
	moved := 0
	for _, id := range workers {
		old, isKnown := t.assigned[id]
		if isKnown && isSame {
			next[id] = old
			continue
		}
		relay, ok := preferred(id, relays)
		if ok {
			next[id] = relay
		}
		if isKnown && relay != old {
			moved++
		}
	}
	t.assigned = next
	return moved
}

// choose returns the hosts that are relays for a number of workers. It returns none if
// the owner calls the workers itself.
func (t *Table) choose(workers int, hosts []Host) []Host {
	if !t.NeedsRelays(workers) {
		return nil
	}
	kept := slices.DeleteFunc(slices.Clone(t.relays), func(h Host) bool { return !slices.Contains(hosts, h) })
	if room := float64(Room(kept)); room >= minRoomFactor*float64(workers) && room <= maxRoomFactor*float64(workers) {
		return kept
	}
	return Largest(hosts, int(roomFactor*float64(workers)))
}

// NeedsRelays reports whether a number of workers is too large for the owner alone.
func (t *Table) NeedsRelays(workers int) bool {
	limit := t.MaxDirect
	if limit == 0 {
		limit = DefaultMaxDirect
	}
	if len(t.relays) > 0 {
		return float64(workers) > minRelayedShare*float64(limit)
	}
	return workers > limit
}

// Room returns for how many workers hosts have room.
func Room(hosts []Host) int {
	room := 0
	for _, h := range hosts {
		room += max(1, h.Weight/weightPerWorker)
	}
	return room
}

// Largest returns the largest hosts, as many as have room for a number of workers.
func Largest(hosts []Host, workers int) []Host {
	sorted := slices.SortedFunc(slices.Values(hosts), func(x, y Host) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.ID, y.ID))
	})
	room := 0
	for i := range sorted {
		room += Room(sorted[i : i+1])
		if room >= workers {
			return sorted[:i+1]
		}
	}
	return sorted
}

// preferred returns the relay that ranks first for a worker.
func preferred(id hoist.WorkerID, relays []Host) (hoist.HostID, bool) {
	best, bestScore := hoist.HostID(""), math.Inf(-1)
	for _, h := range relays {
		if score := owner.Score(string(id), h.ID, h.Weight); score > bestScore {
			best, bestScore = h.ID, score
		}
	}
	return best, best != ""
}

// Sizes returns how many workers each relay has.
func (t *Table) Sizes() map[hoist.HostID]int {
	out := make(map[hoist.HostID]int, len(t.relays))
	for relay := range maps.Values(t.assigned) {
		out[relay]++
	}
	return out
}
