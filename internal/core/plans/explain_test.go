package plans

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
)

// TestExplainLimits guards against explanations that slow an owner down, that come from an
// owner without plans, or that are of plans which no owner would handle.
func TestExplainLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		d := &Driver{Claim: claim.NewOwnership(3, 1, time.Now(), time.Now(), func() {}), Clock: clock.System{}}
		ask := func(count int) error {
			_, err := d.Explain(ctx, hoist.Plan{Steps: []hoist.Step{{Count: count, Need: hoist.Resources{CPU: 1, Memory: 1}, MaxUnavailable: -1}}}, 1)
			return err
		}
		is.True(errors.Is(ask(1), hoist.ErrUnavailable)) // not prepared
		d.prepare()
		is.True(errors.Is(ask(1), hoist.ErrUnavailable)) // not recovered
		d.setReady()
		is.True(errors.Is(ask(1_000_000), hoist.ErrInvalid))
		is.NoErr(ask(1))
		is.True(errors.Is(ask(1), hoist.ErrOverLimit))
		time.Sleep(minExplainInterval)
		is.NoErr(ask(1))
	})
}
