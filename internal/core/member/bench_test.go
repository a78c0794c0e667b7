package member_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/delta"
	"fuchsiahoist.example/hoist/internal/fake/cell"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// The benchmarks run in fake time, so the reported metrics do not depend on the
// machine and ns/op is meaningless.

var sizes = []struct{ hosts, centres int }{{3, 3}, {8, 3}, {120, 15}}

// inFakeTime runs f under the fake clock, which only tests can have.
func inFakeTime(b *testing.B, name string, f func()) {
	ok := testing.RunTests(
		func(string, string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: name, F: func(t *testing.T) {
			synctest.Test(t, func(*testing.T) { f() })
		}}})
	if !ok {
		b.Fatal("the benchmark failed")
	}
}

// steadyCell starts a cell and waits until all shards have their final owners.
func steadyCell(hosts, centres int) *cell.Cell {
	c := &cell.Cell{Table: &plat.Platform{}, Latency: time.Millisecond}
	for i := range hosts {
		m := hostAt(i, 1)
		m.DataCentre = hoist.DataCentreID(fmt.Sprint(i % centres))
		c.Start(m)
		// The hosts renew at different times.
		time.Sleep(110 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	return c
}

// BenchmarkSteadyState reports the load of an undisturbed cell on the table, and the
// heartbeats that each host sends.
func BenchmarkSteadyState(b *testing.B) {
	for _, size := range sizes {
		name := fmt.Sprintf("hosts=%d", size.hosts)
		b.Run(name, func(b *testing.B) {
			const seconds = 60
			var reads, writes, heartbeats, rowBytes int
			for range b.N {
				inFakeTime(b, name, func() {
					c := steadyCell(size.hosts, size.centres)
					defer c.Close()
					r, w := c.Table.Counts()
					n := c.Sent(cell.Heartbeat)
					time.Sleep(seconds * time.Second)
					r2, w2 := c.Table.Counts()
					reads, writes, heartbeats = reads+r2-r, writes+w2-w, heartbeats+c.Sent(cell.Heartbeat)-n
					for _, row := range c.Table.Rows("member/") {
						rowBytes += len(row.Value)
					}
				})
			}
			per := float64(b.N * seconds)
			b.ReportMetric(float64(reads)/per, "reads/s")
			b.ReportMetric(float64(writes)/per, "writes/s")
			b.ReportMetric(float64(heartbeats)/per/float64(size.hosts), "heartbeats/host/s")
			b.ReportMetric(float64(rowBytes)/float64(b.N), "member-bytes/scan")
		})
	}
}

// BenchmarkTakeover reports the time from the death of a host until all its shards
// are active elsewhere. The deaths fall at different times in the renewal
// period.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range sizes {
		name := fmt.Sprintf("hosts=%d", size.hosts)
		b.Run(name, func(b *testing.B) {
			var sum, most time.Duration
			for i := range b.N {
				inFakeTime(b, name, func() {
					took := takeoverTime(size.hosts, size.centres, time.Duration(i)*170*time.Millisecond)
					sum += took
					most = max(most, took)
				})
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
			b.ReportMetric(most.Seconds(), "max-s")
		})
	}
}

func takeoverTime(hosts, centres int, offset time.Duration) time.Duration {
	c := steadyCell(hosts, centres)
	defer c.Close()
	time.Sleep(offset)
	c.Processes()[1].Kill()
	died := time.Now()
	for c.Owned() < hoist.NumShards && time.Since(died) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(died)
}

// BenchmarkHeartbeat reports the size of one heartbeat by the number of workers
// that its sender owns: the first one on a link, one without changes, and one
// after the free capacity of one worker changed.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range []int{0, 7, 11, 50} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := hoist.Heartbeat{Host: "host-17", Epoch: 12, Config: 5300, TableAge: 650 * time.Millisecond}
			for i := range workers {
				h.Workers = append(h.Workers, hoist.Candidate{
					Worker: hoist.WorkerID(fmt.Sprintf("worker-%04d", i)), DataCentre: "kingston-1", Rack: "rack-07",
					Capacity: hoist.Resources{CPU: 32000, Memory: 131072},
					Free:     hoist.Resources{CPU: 12250, Memory: 40960},
				})
			}
			h.Slots = []hoist.ServiceSlots{{Service: "matching", Quick: 30, Patient: 12}}
			size := func(s *delta.Sender) float64 {
				h.Delta = s.Next(h.Workers)
				s.RecordResult(true)
				body, err := json.Marshal(codec.Heartbeat(h))
				if err != nil {
					b.Fatal(err)
				}
				return float64(len(body))
			}
			for range b.N {
				var s delta.Sender
				b.ReportMetric(size(&s), "bytes/first")
				b.ReportMetric(size(&s), "bytes/no-news")
				if workers > 0 {
					h.Workers[0].Free.CPU++
					b.ReportMetric(size(&s), "bytes/one-change")
				}
			}
		})
	}
}
