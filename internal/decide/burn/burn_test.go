package burn_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"fuchsiahoist.example/hoist/internal/decide/burn"
)

// TestBurnRate guards against burn rates that hide an outage, and against a division
// by zero without requests or without an error budget.
func TestBurnRate(t *testing.T) {
	cases := []struct {
		name             string
		w                burn.Window
		objective        float64
		burn, budgetLeft float64
	}{
		{"no requests", burn.Window{}, 99, 0, 100},
		{"all requests are good", burn.Window{Good: 10, Total: 10}, 99, 0, 100},
		{"just at the objective", burn.Window{Good: 99, Total: 100}, 99, 1, 0},
		{"all requests are bad", burn.Window{Good: 0, Total: 100}, 99, 100, -9900},
		{"objective without an error budget", burn.Window{Good: 0, Total: 100}, 100, 0, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.w.Burn(c.objective), c.burn)
			is.Equal(c.w.BudgetLeft(c.objective), c.budgetLeft)
		})
	}
}

// TestWindowCountsRequests guards against requests that are missing from a window or
// stay in it for too long. It compares the windows with a list of all requests.
func TestWindowCountsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type request struct {
			minute int64
			isGood bool
		}
		var c burn.Counter
		var all []request
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "pause-s")) * time.Second)
			r := request{now.Unix() / 60, rapid.Bool().Draw(t, "good")}
			all = append(all, r)
			c.Add(r.isGood, now)
		}
		minutes := rapid.Int64Range(1, 360).Draw(t, "window-min")
		var want burn.Window
		for _, r := range all {
			if r.minute > now.Unix()/60-minutes {
				want.Total++
				if r.isGood {
					want.Good++
				}
			}
		}
		if got := c.Window(time.Duration(minutes)*time.Minute, now); got != want {
			t.Fatalf("window of %d min is %v, expected %v", minutes, got, want)
		}
	})
}
