package hoist_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestConversionsSaturate guards against conversions of numbers of other parties that
// give one result on x86-64 and another on arm64.
func TestConversionsSaturate(t *testing.T) {
	cases := []struct {
		x    float64
		want int64
	}{
		{0, 0},
		{1.9, 1},
		{-1.9, -1},
		{1e18, 1e18},
		{1e300, math.MaxInt64},
		{-1e300, math.MinInt64},
		{math.Inf(1), math.MaxInt64},
		{math.Inf(-1), math.MinInt64},
		{math.NaN(), 0},
		{math.MaxInt64, math.MaxInt64},
		{math.MinInt64, math.MinInt64},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.x), func(t *testing.T) { is.New(t).Equal(hoist.Int64Of(c.x), c.want) })
	}
	t.Run("durations", func(t *testing.T) {
		is := is.New(t)
		is.Equal(hoist.DurationOf(1.5, time.Millisecond), 1500*time.Microsecond)
		is.Equal(hoist.DurationOf(1e300, time.Millisecond), time.Duration(math.MaxInt64))
		is.Equal(hoist.AddDuration(math.MaxInt64, time.Second), time.Duration(math.MaxInt64))
		is.Equal(hoist.AddDuration(math.MinInt64, -time.Second), time.Duration(math.MinInt64))
		is.Equal(hoist.AddDuration(time.Second, -time.Minute), -59*time.Second)
	})
}
