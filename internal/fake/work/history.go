package work

import (
	"slices"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// ChangeKind is the kind of a change in a history.
type ChangeKind string

// The kinds of changes: an attempt at a task starts or ends, or the worker starts or
// stops leaving.
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
	// State is the state in which the attempt ended; set for Ends only.
	State hoist.TaskState
	// IsLeaving is whether the worker is leaving from now on; used for Leaves only.
	IsLeaving bool
}

// History records the changes on workers, oldest first. A nil History records
// nothing.
type History struct {
	mu      sync.Mutex
	changes []Change
}

// Record appends a change and sets its time to the current time.
func (h *History) Record(c Change) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.At = time.Now()
	h.changes = append(h.changes, c)
}

// Changes returns the changes recorded so far, oldest first.
func (h *History) Changes() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.changes)
}
