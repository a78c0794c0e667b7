package route_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/route"
)

// TestDrainWithoutRequests guards against a host that reports requests in flight (204) at
// the end of the drain time although there is none.
func TestDrainWithoutRequests(t *testing.T) {
	is := is.New(t)
	r := &route.Router{Ownership: soleOwner{}, Clock: clock.System{}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		keys, isIdle := r.Drain(ctx)
		is.True(isIdle)
		is.Equal(len(keys), 0)
	}
}
