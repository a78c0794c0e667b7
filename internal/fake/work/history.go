package work

import (
	"slices"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// ChangeKind tells what a change in a history is.
type ChangeKind string

// The kinds of changes.
const (
	Starts ChangeKind = "starts"
	Ends   ChangeKind = "ends"
	Leaves ChangeKind = "leaves"
)

// Change is one change on a worker.
type Change struct {
	At      time.Time
	Kind    ChangeKind
	Worker  hoist.WorkerID
	Task    hoist.TaskID
	Job     hoist.JobID
	Attempt hoist.AttemptNo
	// State is the state in which a task ended.
	State hoist.TaskState
	// On tells whether the worker is leaving from now on.
	On bool
}

// History records the changes on workers in the order in which they happened.
// A nil History records nothing.
type History struct {
	mu      sync.Mutex
	changes []Change
}

// Record adds a change at the time now.
func (h *History) Record(c Change) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.At = time.Now()
	h.changes = append(h.changes, c)
}

// Changes returns what happened so far.
func (h *History) Changes() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.changes)
}
