package plans

import (
	"fmt"

	hoist "fuchsiahoist.example/hoist"
)

// taskName returns the name of a task within its plan for log lines, made of the
// occurrence, the step and the index.
func taskName(t hoist.TaskRef) string {
	return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index)
}
