package bench_test

import (
	"fmt"
	"testing"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// BenchmarkPlacement fills a cell until the first refusal. The figures to read
// are the reported ones; the time of an operation is that of a whole filling.
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

// TestFill guards against input that differs between runs of one seed, and
// against work beyond what the cell holds.
func TestFill(t *testing.T) {
	for _, mix := range bench.Mixes {
		for _, p := range bench.Policies() {
			t.Run(mix.Name+"/"+p.Name, func(t *testing.T) {
				in := bench.Input{Mix: mix, Workers: 20, Seed: 1}
				x, y := bench.Fill(p.Policy, in), bench.Fill(p.Policy, in)
				if x.CPU != y.CPU || x.Tasks != y.Tasks || x.Refused != y.Refused {
					t.Errorf("the results differ: %+v and %+v", x, y)
				}
				if x.Tasks == 0 || x.Packed() > 1 {
					t.Errorf("%d tasks pack %v of the cell", x.Tasks, x.Packed())
				}
			})
		}
	}
}
