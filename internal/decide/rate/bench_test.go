package rate_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/rate"
)

// BenchmarkSettle measures the judgement of one new job beside those that a host accepted
// whose clock is an hour ahead. They are kept for an hour.
func BenchmarkSettle(b *testing.B) {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	for _, n := range []int{0, 20_000} {
		b.Run(fmt.Sprint(n, "_jobs_ahead"), func(b *testing.B) {
			var bucket rate.Bucket
			bucket.SetRate(10)
			for i := range n {
				bucket.Add(now.Add(time.Hour+time.Duration(i)*time.Millisecond), hoist.JobID(fmt.Sprintf("%08d", i)))
			}
			bucket.Settle(now)
			for i := 0; b.Loop(); i++ {
				at := now.Add(time.Duration(i) * time.Millisecond)
				bucket.Add(at, "p")
				bucket.Settle(now.Add(time.Duration(i) * time.Millisecond))
			}
		})
	}
}
