package share_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/share"
)

func workers(n int) []hoist.WorkerID {
	out := make([]hoist.WorkerID, n)
	for i := range out {
		out[i] = hoist.WorkerID(fmt.Sprint("i-", i))
	}
	return out
}

// hosts returns large hosts, and as many small ones.
func hosts(n int) []share.Host {
	var out []share.Host
	for i := range n {
		out = append(out, share.Host{ID: hoist.HostID(fmt.Sprint("large-", i)), Weight: 800}, share.Host{ID: hoist.HostID(fmt.Sprint("small-", i)), Weight: 144})
	}
	return out
}

// relaysOf returns the relay of each worker.
func relaysOf(t *share.Table, ids []hoist.WorkerID) map[hoist.WorkerID]hoist.HostID {
	out := make(map[hoist.WorkerID]hoist.HostID)
	for _, id := range ids {
		if relay, ok := t.Relay(id); ok {
			out[id] = relay
		}
	}
	return out
}

// TestOwnerOfSmallCellCallsAllWorkers guards against relays where one host can do
// without, and against moving all workers to and fro around one size.
func TestOwnerOfSmallCellCallsAllWorkers(t *testing.T) {
	is := is.New(t)
	table := share.NewTable()
	is.Equal(table.Update(workers(600), hosts(8)), 0)
	is.Equal(len(table.Relays()), 0)
	table.Update(workers(601), hosts(8))
	is.True(len(table.Relays()) > 0)
	table.Update(workers(500), hosts(8))
	is.True(len(table.Relays()) > 0) // hysteresis
	table.Update(workers(450), hosts(8))
	is.Equal(len(relaysOf(table, workers(450))), 0)
}

// TestShareFollowsWeight guards against a small host that gets more workers than it can
// call, and against relays beyond those that are needed.
func TestShareFollowsWeight(t *testing.T) {
	t.Run("large hosts are enough", func(t *testing.T) {
		table := share.NewTable()
		table.Update(workers(3000), hosts(60))
		is.New(t).Equal(len(table.Relays()), 19) // each has room for 200 workers, a quarter of which is left
		for relay, n := range table.Sizes() {
			if n < 100 || n > 220 {
				t.Errorf("%s has %d workers, expected 100 to 220", relay, n)
			}
		}
	})
	t.Run("small hosts are needed", func(t *testing.T) {
		table := share.NewTable()
		table.Update(workers(3000), hosts(10))
		sizes := table.Sizes()
		is.New(t).Equal(len(sizes), 20)
		is.New(t).True(sizes["large-0"] > 3*sizes["small-0"])
	})
	t.Run("no host can be a relay", func(t *testing.T) {
		table := share.NewTable()
		table.Update(workers(3000), nil)
		is.New(t).Equal(len(relaysOf(table, workers(3000))), 0)
	})
}

// TestLostRelayMovesOnlyItsWorkers guards against moving workers whose relay works.
func TestLostRelayMovesOnlyItsWorkers(t *testing.T) {
	is := is.New(t)
	ids, all := workers(1000), hosts(7)
	table := share.NewTable()
	table.Update(ids, all)
	before := relaysOf(table, ids)
	again := share.NewTable()
	again.Update(ids, all)
	is.Equal(relaysOf(again, ids), before) // another owner assigns them in the same way
	lost := before[ids[0]]
	left := slices.DeleteFunc(slices.Clone(all), func(h share.Host) bool { return h.ID == lost })
	moved := table.Update(ids, left)
	after := relaysOf(table, ids)
	for id, relay := range before {
		if relay != lost {
			is.Equal(after[id], relay)
			continue
		}
		is.True(after[id] != lost)
		moved--
	}
	is.Equal(moved, 0)
}
