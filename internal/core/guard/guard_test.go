package guard_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/guard"
)

// TestPanicEndsOnlyItsWork guards against a panic that ends the process, that is not
// counted, or after which a loop does not go on.
func TestPanicEndsOnlyItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		counts := make(map[guard.Work]int)
		g := &guard.Guard{Count: func(work guard.Work) { counts[work]++ }}
		is.True(errors.Is(g.Do(t.Context(), "poll", func() { panic("odd") }), guard.ErrPanic))
		is.NoErr(g.Do(t.Context(), "poll", func() {}))
		runs := 0
		g.Loop(t.Context(), "follow", func() {
			if runs++; runs < 3 {
				panic("odd")
			}
		})
		is.Equal(runs, 3)
		is.Equal(counts, map[guard.Work]int{"poll": 1, "follow": 2})
		ctx, cancel := context.WithCancel(t.Context())
		g.Loop(ctx, "follow", func() { cancel(); panic("odd") }) // returns although the work did not
		var none *guard.Guard
		is.True(errors.Is(none.Do(ctx, "poll", func() { panic("odd") }), guard.ErrPanic))
	})
}
