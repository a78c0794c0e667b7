package rate_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/rate"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// fill adds jobs that were accepted at the given times after start, and settles them.
func fill(b *rate.Bucket, times ...time.Duration) []*rate.Entry {
	out := make([]*rate.Entry, len(times))
	for i, d := range times {
		out[i] = b.Add(start.Add(d), hoist.JobID(fmt.Sprintf("%06d", i)))
	}
	b.Settle(start)
	return out
}

// evenly returns times that are 1/perSecond apart.
func evenly(from, to time.Duration, perSecond float64) []time.Duration {
	var out []time.Duration
	for i := 0; ; i++ {
		d := from + time.Duration(float64(i)/perSecond*float64(time.Second))
		if d >= to {
			return out
		}
		out = append(out, d)
	}
}

func countBeyond(entries []*rate.Entry) int {
	n := 0
	for _, e := range entries {
		if e.IsBeyond {
			n++
		}
	}
	return n
}

// TestBurst guards against a team that loses what it is entitled to during a burst of its
// own, or after it.
func TestBurst(t *testing.T) {
	is := is.New(t)
	var b rate.Bucket
	b.SetRate(10)
	burst := fill(&b, evenly(0, 16*time.Second, 80)...)
	within := len(burst) - countBeyond(burst)
	is.True(within >= 16*10)        // the rate
	is.True(within <= 16*10+5*10+1) // and the burst
	is.Equal(countBeyond(fill(&b, evenly(17*time.Second, 40*time.Second, 10)...)), 0)
	is.True(burst[1278].Excess(start) < burst[1279].Excess(start)) // farther beyond
}

// TestRates guards against rates that are not valid, or very small, and overflow.
func TestRates(t *testing.T) {
	for _, c := range []struct {
		rate   float64
		beyond int
	}{{0, 0}, {-1, 0}, {1e300, 0}, {1, 44}, {0.01, 49}, {1e-300, 49}} {
		t.Run(fmt.Sprint(c.rate), func(t *testing.T) {
			var b rate.Bucket
			b.SetRate(c.rate)
			is.New(t).Equal(countBeyond(fill(&b, make([]time.Duration, 50)...)), c.beyond)
		})
	}
}

// TestChangedRate guards against jobs that are still judged by an earlier rate.
func TestChangedRate(t *testing.T) {
	is := is.New(t)
	var b rate.Bucket
	b.SetRate(1)
	entries := fill(&b, evenly(0, 10*time.Second, 10)...)
	is.True(countBeyond(entries) > 50)
	b.SetRate(10)
	is.True(!b.IsSettled())
	b.Settle(start)
	is.Equal(countBeyond(entries), 0)
}

// TestSkewedClocks guards against a team that keeps to its rate and counts as beyond it
// because the clocks of the hosts differ.
func TestSkewedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b rate.Bucket
		perSecond := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		b.SetRate(perSecond)
		times := evenly(0, 30*time.Second, perSecond)
		for i := range times {
			times[i] += time.Duration(rapid.IntRange(-2400, 2400).Draw(t, "skew")) * time.Millisecond
		}
		if n := countBeyond(fill(&b, times...)); n > 0 {
			t.Fatalf("%d of %d jobs are beyond the rate", n, len(times))
		}
	})
}

// TestOrderOfArrivalDoesNotMatter guards against an owner that serves jobs in another order
// than the one before, as it read them in another order.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "jobs") {
			times = append(times, time.Duration(rapid.IntRange(0, 15_000).Draw(t, "at"))*time.Millisecond)
		}
		var b, other rate.Bucket
		b.SetRate(2)
		other.SetRate(2)
		want, got := fill(&b, times...), make([]*rate.Entry, len(times))
		indices := make([]int, len(times))
		for i := range indices {
			indices[i] = i
		}
		for _, i := range rapid.Permutation(indices).Draw(t, "order") {
			got[i] = other.Add(start.Add(times[i]), hoist.JobID(fmt.Sprintf("%06d", i)))
			if rapid.Bool().Draw(t, "settle") {
				other.Settle(start)
			}
		}
		other.Settle(start)
		for i := range want {
			if want[i].IsBeyond != got[i].IsBeyond || !want[i].CoveredAt.Equal(got[i].CoveredAt) {
				t.Fatalf("job %d: %+v, expected %+v", i, got[i], want[i])
			}
		}
	})
}

// TestOldJobsAreForgotten guards against memory that grows with each job, and against a
// job that becomes known very late and takes a token of the past.
func TestOldJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	var b rate.Bucket
	b.SetRate(10)
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		e := b.Add(now, hoist.JobID(fmt.Sprint(i)))
		b.Settle(now)
		is.True(!e.IsBeyond)
	}
	is.True(b.Len() <= 602)
	now := start.Add(5 * time.Minute)
	late := make([]*rate.Entry, 200)
	for i := range late {
		late[i] = b.Add(start.Add(time.Duration(i)*time.Second), hoist.JobID(fmt.Sprint("late", i)))
	}
	b.Settle(now)
	is.True(countBeyond(late) >= 140)
}

// TestSettledInSteps guards against verdicts that depend on when a job becomes known: of jobs
// with pauses between them, a few at a time are added and judged, in any order.
func TestSettledInSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offsets := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 60).Draw(t, "tenths")
		var atOnce, inSteps rate.Bucket
		var want, got []*rate.Entry
		atOnce.SetRate(0.5)
		inSteps.SetRate(4)
		for i, tenths := range offsets {
			at := start.Add(time.Duration(tenths%25) * 100 * time.Millisecond)
			if tenths >= 25 {
				at = at.Add(20 * time.Second)
			}
			id := hoist.JobID(strconv.Itoa(i))
			want, got = append(want, atOnce.Add(at, id)), append(got, inSteps.Add(at, id))
			if i == len(offsets)/2 {
				inSteps.SetRate(0.5)
			}
			if rapid.Bool().Draw(t, "settles") {
				inSteps.Settle(start)
			}
		}
		inSteps.Settle(start)
		atOnce.Settle(start)
		for i := range want {
			if want[i].IsBeyond != got[i].IsBeyond || !want[i].CoveredAt.Equal(got[i].CoveredAt) {
				t.Fatalf("job %d is beyond the rate: %t, %v; expected %t, %v", i, got[i].IsBeyond, got[i].CoveredAt, want[i].IsBeyond, want[i].CoveredAt)
			}
		}
	})
}
