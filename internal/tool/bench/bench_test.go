package bench_test

import (
	"fmt"
	"testing"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// BenchmarkPlacement fills a cell until the first refusal. The figures to read
// are the reported ones; the time of an operation is that of a whole filling.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 1300, 13000} {
		for _, p := range bench.Policies() {
			b.Run(fmt.Sprintf("policy=%s/workers=%d", p.Name, workers), func(b *testing.B) {
				n := 0
				var s bench.Summary
				for b.Loop() {
					n++
					s = bench.Summarise(p.Policy, workers, 1)
				}
				b.ReportMetric(float64(s.Quantile(50)), "p50-ns")
				b.ReportMetric(float64(s.Quantile(99)), "p99-ns")
				b.ReportMetric(100*s.Packed, "packed-%")
			})
		}
	}
}
