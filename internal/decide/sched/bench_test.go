package sched_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// BenchmarkPass measures a pass over a full cell with a backlog: nothing fits,
// and every plan is considered.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, plans int }{{48, 100}, {350, 600}, {1300, 2000}} {
		b.Run(fmt.Sprintf("%d workers %d plans", size.workers, size.plans), func(b *testing.B) {
			scheduler := sched.NewScheduler(1, start)
			var entries []hoist.WorkerEntry
			for i := range size.workers {
				entries = append(entries, hoist.WorkerEntry{
					Worker: hoist.WorkerID(fmt.Sprint("w", i)), Service: "lids", Addr: "x", Class: "a",
					Capacity: hoist.Resources{CPU: 8000, Memory: 8000},
				})
			}
			scheduler.SetWorkers(entries, start)
			for _, e := range entries {
				scheduler.RecordReport(e.Worker, hoist.RunnerReport{Incarnation: 1}, start, start)
			}
			noFreeHost := func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false }
			for i := range size.plans + size.workers {
				q := queue
				if i > size.workers {
					q = advised
				}
				p := hoist.Plan{ID: hoist.JobID(fmt.Sprintf("%016x", i)), Queue: q, Accepted: start, Steps: []hoist.Step{step(8)}}
				scheduler.Add(p, 1, start)
			}
			scheduler.Pass(start, noFreeHost)
			for b.Loop() {
				scheduler.Pass(start, noFreeHost)
			}
		})
	}
}

// BenchmarkPassOfTeams measures a pass over 5,000 waiting jobs in a full cell, without
// teams and of 20 teams. Some of the teams have reached their quota, and some are beyond
// their rate.
func BenchmarkPassOfTeams(b *testing.B) {
	for _, bench := range []struct {
		name  string
		teams int
		quota hoist.MilliCPU
		rate  float64
	}{
		{"no teams", 0, 0, 0},
		{"teams", 20, 0, 1000},
		{"teams at their quotas", 20, 64_500, 1000},
		{"teams beyond their rates", 20, 0, 10},
	} {
		b.Run(bench.name, func(b *testing.B) {
			scheduler := sched.NewScheduler(1, start)
			var entries []hoist.WorkerEntry
			for i := range 350 {
				entries = append(entries, hoist.WorkerEntry{
					Worker: hoist.WorkerID(fmt.Sprint("w", i)), Service: "lids", Addr: "x", Class: "a",
					Capacity: hoist.Resources{CPU: 16_000, Memory: 64_000},
				})
			}
			scheduler.SetWorkers(entries, start)
			for _, e := range entries {
				scheduler.RecordReport(e.Worker, hoist.RunnerReport{Incarnation: 1}, start, start)
			}
			var configs []hoist.TeamConfig
			for i := range bench.teams {
				configs = append(configs, hoist.TeamConfig{
					Team: hoist.TeamID(fmt.Sprint("t", i)), Weight: bench.rate, Quota: hoist.Resources{CPU: bench.quota},
				})
			}
			scheduler.SetTeams(configs)
			noFreeHost := func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false }
			for i := range 5000 + 700 {
				p := hoist.Plan{ID: hoist.JobID(fmt.Sprintf("%016x", i)), Queue: queue, Accepted: start, Steps: []hoist.Step{step(8), step(2, after)}}
				if bench.teams > 0 {
					p.Team = configs[i%bench.teams].Team
				}
				if i%200 == 0 {
					scheduler.Tick(start) // lets further jobs begin
				}
				scheduler.Add(p, 1, start)
			}
			scheduler.Pass(start, noFreeHost)
			for b.Loop() {
				scheduler.Pass(start, noFreeHost)
			}
		})
	}
}
