package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/retry"
)

var start = time.Unix(1_000_000_000, 0)

// TestIsAllowed guards against a second run of a request that may have run, and
// against retries that cannot succeed.
func TestIsAllowed(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		attempt retry.Attempt
		want    bool
	}{
		{"no slot", hoist.ErrNoSlot, retry.Attempt{}, true},
		{"wrapped error", merry.Prepend(hoist.ErrStaleTerm, "executor e1"), retry.Attempt{}, true},
		{"not sent", hoist.ErrUnavailable, retry.Attempt{}, true},
		{"executor is leaving", hoist.ErrLeaving, retry.Attempt{}, true},
		{"not the owner", hoist.ErrNotOwner, retry.Attempt{}, true},
		{"resolved as not run", hoist.ErrConflict, retry.Attempt{}, true},
		{"may have run", hoist.ErrOutcomeUnknown, retry.Attempt{}, false},
		{"may have run and stopped", hoist.ErrOutcomeUnknown, retry.Attempt{Stopped: true}, false},
		{"idempotent and may still run", hoist.ErrOutcomeUnknown, retry.Attempt{Idempotent: true}, false},
		{"idempotent and stopped", hoist.ErrOutcomeUnknown, retry.Attempt{Idempotent: true, Stopped: true}, true},
		{"cause is no slot, outcome unknown", hoist.ConvertError(hoist.ErrOutcomeUnknown, hoist.ErrNoSlot), retry.Attempt{}, false},
		{"request is invalid", hoist.ErrInvalid, retry.Attempt{Idempotent: true, Stopped: true}, false},
		{"over the limit", hoist.ErrOverLimit, retry.Attempt{Idempotent: true, Stopped: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(retry.IsAllowed(c.err, c.attempt), c.want)
		})
	}
}

// TestRetryBudgetIsNotExceeded guards against more retries, in any period of time,
// than the sum of a tenth of the requests, one a second and the burst.
func TestRetryBudgetIsNotExceeded(t *testing.T) {
	const burst = 20
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		now := start
		type mark struct {
			at       time.Time
			requests int
			retries  int
		}
		var marks []mark
		requests, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 500).Draw(t, "ms")) * time.Millisecond)
			marks = append(marks, mark{now, requests, retries})
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				requests++
			}
			for range rapid.IntRange(0, 10).Draw(t, "retries") {
				if b.Take(now) {
					retries++
				}
			}
			for _, m := range marks {
				// A clock that steps back by 10 ms adds at most that to the credit.
				allowed := burst + 0.1*float64(requests-m.requests) + now.Sub(m.at).Seconds() + 0.02
				if float64(retries-m.retries) > allowed {
					t.Fatalf("%d retries in %s, but at most %.1f are allowed", retries-m.retries, now.Sub(m.at), allowed)
				}
			}
		}
	})
}

// TestBudgetRefills guards against a budget that allows no retry after it was
// used up, or allows one before any request.
func TestBudgetRefills(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	is.True(!b.Take(start)) // no retry before the first request
	for range 10 {
		b.CountRequest(start)
	}
	is.True(b.Take(start))                              // one retry for ten requests
	is.True(!b.Take(start))                             // no second retry for them
	is.True(b.Take(start.Add(1100 * time.Millisecond))) // one retry a second without requests
}

// TestRetryDelay guards against delays outside their bounds and against requests
// that failed together and are retried together.
func TestRetryDelay(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	bounds := []time.Duration{5, 10, 20, 40, 80, 160, 320, 500, 500}
	for retries, ms := range bounds {
		bound := ms * time.Millisecond
		first, hasVaried := retry.Delay(retries, rng), false
		for range 100 {
			p := retry.Delay(retries, rng)
			is.True(p >= bound/2 && p <= bound)
			hasVaried = hasVaried || p != first
		}
		is.True(hasVaried)
	}
	is.True(retry.Delay(1_000_000, rng) <= 500*time.Millisecond) // no overflow
}
