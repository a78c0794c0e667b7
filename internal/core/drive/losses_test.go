package drive

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestLosses guards against an owner that hears late of ends while calls are lost,
// and against one that looks often because of a single worker.
func TestLosses(t *testing.T) {
	began := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name    string
		workers int
		calls   int
		gap     time.Duration
		want    bool
	}{
		{"one worker", 1, 20, 100 * time.Millisecond, false},
		{"three workers", 3, 3, 100 * time.Millisecond, true},
		{"three workers, far apart", 3, 3, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l losses
			now := began
			for i := range c.calls {
				now = began.Add(time.Duration(i) * c.gap)
				l.note(hoist.WorkerID(fmt.Sprint(i%c.workers)), now)
			}
			is.Equal(l.isMany(now), c.want)
			is.True(!l.isMany(now.Add(lossHold)))
		})
	}
}
