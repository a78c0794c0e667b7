package drive

import (
	"fmt"

	hoist "fuchsiahoist.example/hoist"
)

// taskName names a task within its plan in log lines: occurrence, step, index.
func taskName(t hoist.TaskRef) string {
	return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index)
}
