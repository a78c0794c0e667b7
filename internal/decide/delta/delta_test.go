package delta_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/delta"
)

// assertSameWorkers checks that the receiver has exactly the workers of the
// sender, except for small changes of usage.
func assertSameWorkers(t *rapid.T, got, want []hoist.Candidate) {
	if len(got) != len(want) {
		t.Fatalf("receiver has %d workers, sender %d", len(got), len(want))
	}
	for i, g := range got {
		w := want[i]
		off := max(g.Usage.CPU-w.Usage.CPU, w.Usage.CPU-g.Usage.CPU)
		g.Usage, w.Usage = hoist.Resources{}, hoist.Resources{}
		if !reflect.DeepEqual(g, w) || off > w.Capacity.CPU/16 {
			t.Fatalf("receiver has %+v, usage off by %d, sender %+v", g, off, w)
		}
	}
}

func drawWorkers(t *rapid.T) []hoist.Candidate {
	var out []hoist.Candidate
	for i := range 5 {
		if !rapid.Bool().Draw(t, "owned") {
			continue
		}
		out = append(out, hoist.Candidate{
			Worker: hoist.WorkerID(fmt.Sprint(i)), Capacity: hoist.Resources{CPU: 1600},
			Free:           hoist.Resources{CPU: hoist.MilliCPU(rapid.IntRange(0, 2).Draw(t, "free"))},
			Usage:          hoist.Resources{CPU: hoist.MilliCPU(rapid.IntRange(0, 400).Draw(t, "usage"))},
			UsedByPriority: []hoist.PriorityUse{{Priority: hoist.Priority(rapid.IntRange(0, 1).Draw(t, "priority"))}},
		})
	}
	return out
}

// TestReceiverMatchesSender guards against a receiver that takes an outdated state
// of the workers for the present one after lost heartbeats, lost replies, and
// restarts of the receiver or the sender.
func TestReceiverMatchesSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s delta.Sender
		var r delta.Receiver
		epoch := hoist.Epoch(1)
		for range rapid.IntRange(1, 30).Draw(t, "beats") {
			workers := drawWorkers(t)
			d := s.Next(workers)
			switch rapid.SampledFrom([]string{"arrives", "arrives", "lost", "reply lost", "receiver restarts", "sender restarts"}).Draw(t, "fate") {
			case "lost":
				s.RecordResult(false)
				continue
			case "receiver restarts":
				r = delta.Receiver{}
			case "sender restarts":
				s, epoch = delta.Sender{}, epoch+1
				continue
			case "reply lost":
				if got, ok := r.Apply(epoch, d); ok {
					assertSameWorkers(t, got, workers)
				}
				s.RecordResult(false)
				continue
			}
			got, ok := r.Apply(epoch, d)
			s.RecordResult(ok)
			if ok {
				assertSameWorkers(t, got, workers)
			}
		}
		// The receiver has all workers after at most one refused delta.
		workers := drawWorkers(t)
		for range 2 {
			got, ok := r.Apply(epoch, s.Next(workers))
			s.RecordResult(ok)
			if ok {
				assertSameWorkers(t, got, workers)
				return
			}
		}
		t.Fatal("receiver refused a delta that lists all workers")
	})
}
