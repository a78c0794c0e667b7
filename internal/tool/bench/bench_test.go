package bench_test

import (
	"fmt"
	"testing"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// BenchmarkPlacement fills a cell until the first refusal and reports the decision
// times and the packed share. ns/op is the time for filling a whole cell.
func BenchmarkPlacement(b *testing.B) {
	for _, mix := range bench.Mixes {
		for _, workers := range []int{50, 1300, 13000} {
			for _, p := range bench.Policies() {
				b.Run(fmt.Sprintf("mix=%s/workers=%d/policy=%s", mix.Name, workers, p.Name), func(b *testing.B) {
					var s bench.Summary
					for b.Loop() {
						s = bench.Summarise(p.Policy, mix, workers, 1)
					}
					b.ReportMetric(float64(s.Quantile(50)), "p50-ns")
					b.ReportMetric(float64(s.Quantile(99)), "p99-ns")
					b.ReportMetric(100*s.Packed, "packed-%")
				})
			}
		}
	}
}

// TestFill guards against results that differ between runs with the same seed, and
// against allocations beyond the capacity of the cell.
func TestFill(t *testing.T) {
	for _, mix := range bench.Mixes {
		for _, p := range bench.Policies() {
			t.Run(mix.Name+"/"+p.Name, func(t *testing.T) {
				in := bench.Input{Mix: mix, Workers: 20, Seed: 1}
				x, y := bench.Fill(p.Policy, in), bench.Fill(p.Policy, in)
				if x.CPU != y.CPU || x.Tasks != y.Tasks || x.Refused != y.Refused {
					t.Errorf("two runs with the same input differ: %+v and %+v", x, y)
				}
				if x.Tasks == 0 || x.Packed() > 1 {
					t.Errorf("%d tasks take %v of the cell, expected at most 1", x.Tasks, x.Packed())
				}
			})
		}
	}
}
