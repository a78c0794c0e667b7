package metric

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestTaskWaitsAreReplaced guards against waits that stay in the metrics after they or the
// ownership have ended.
func TestTaskWaitsAreReplaced(t *testing.T) {
	is := is.New(t)
	p := NewPlans(func() uint64 { return 0 })
	wantWaits := func(want ...string) {
		t.Helper()
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		is.Equal(strings.Count(w.Body.String(), "_wait_seconds{why=")+strings.Count(w.Body.String(), "_waits{why="), len(want))
		for _, line := range want {
			is.True(strings.Contains(w.Body.String(), line+"\n"))
		}
	}
	p.SetTaskWaits([]hoist.TaskWaits{{Reason: "lease", Tasks: 3, Longest: 4500 * time.Millisecond}})
	wantWaits(`hoist_task_waits{why="lease"} 3`, `hoist_longest_task_wait_seconds{why="lease"} 4.5`)
	p.SetTaskWaits([]hoist.TaskWaits{{Reason: "no-room", Tasks: 1, Longest: 5 * time.Second}})
	wantWaits(`hoist_task_waits{why="no-room"} 1`, `hoist_longest_task_wait_seconds{why="no-room"} 5`)
	p.SetTaskWaits(nil)
	wantWaits()
}
