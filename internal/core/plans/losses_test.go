package plans

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestLossDetectionNeedsSeveralWorkers guards against an owner that learns of ends
// late while calls are lost, and against one that polls with short time-outs because
// of a single worker.
func TestLossDetectionNeedsSeveralWorkers(t *testing.T) {
	began := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		workers  int
		calls    int
		interval time.Duration
		want     bool
	}{
		{"many lost calls to one worker", 1, 20, 100 * time.Millisecond, false},
		{"lost calls to three workers", 3, 3, 100 * time.Millisecond, true},
		{"lost calls to three workers at long intervals", 3, 3, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l losses
			now := began
			for i := range c.calls {
				now = began.Add(time.Duration(i) * c.interval)
				l.record(hoist.WorkerID(fmt.Sprint(i%c.workers)), now)
			}
			is.Equal(l.isLossy(now), c.want)
			is.True(!l.isLossy(now.Add(lossyTime)))
		})
	}
}
