package grant_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/grant"
)

// BenchmarkReserve measures one reservation, commit and release on a worker that
// already runs the given number of tasks.
func BenchmarkReserve(b *testing.B) {
	for _, tasks := range []int{0, 20, 200, 2000} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			report := hoist.WorkerReport{Worker: "w", Capacity: hoist.Resources{CPU: 1 << 20, Memory: 1 << 20}}
			for i := range tasks {
				report.Running = append(report.Running, taskStatus(hoist.TaskID(fmt.Sprint("old", i)), 1, hoist.Resources{CPU: 1}))
			}
			a := grant.NewAccount(report)
			g, now := newGrant("new", 1, hoist.Resources{CPU: 1}), start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if a.Reserve(g, now) != nil || a.Commit("new", 1, now) != nil {
					b.Fatal("refused")
				}
				a.Release("new")
			}
		})
	}
}
