package tasks_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	hoist "fuchsiahoist.example/hoist"
)

// rateLimitedTable limits the rate of rows that scans return and counts scans and
// rows. An empty scan counts as one row.
type rateLimitedTable struct {
	hoist.Table
	limiter *rate.Limiter
	calls   atomic.Int64
	rows    atomic.Int64
}

func (t *rateLimitedTable) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix)
	n := max(1, len(rows))
	t.calls.Add(1)
	t.rows.Add(int64(n))
	if waitErr := t.limiter.WaitN(ctx, n); waitErr != nil {
		return nil, hoist.ErrUnavailable
	}
	return rows, err
}

func (c *cell) countRunning() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.Running())
	}
	return n
}

func (c *cell) waitForRunning(n int) {
	for c.countRunning() < n {
		time.Sleep(5 * time.Millisecond)
	}
}

// BenchmarkPlacement measures the placements a second of one host. It places the
// tasks of one job on workers of two hosts with a latency of 1 ms between them.
func BenchmarkPlacement(b *testing.B) {
	for range b.N {
		const tasks = 10_000
		c := newCell(b, 2, 200, 64)
		time.Sleep(3 * time.Second)
		begin := time.Now()
		c.submit(batch("big", tasks, time.Hour))
		c.waitForRunning(tasks)
		b.ReportMetric(tasks/time.Since(begin).Seconds(), "tasks/s")
		c.close()
	}
}

// BenchmarkRecovery measures the recovery after a takeover of one of 8 hosts, with
// 1,300 workers, 2,600 jobs of 260 teams and 26,000 tasks. The table returns 2,000
// rows a second.
func BenchmarkRecovery(b *testing.B) {
	for range b.N {
		c := newCell(b, 8, 1300, 32)
		time.Sleep(5 * time.Second)
		for i := range 2600 {
			s := batch(hoist.JobID(fmt.Sprintf("j%d", i)), 10, time.Hour)
			s.Team = hoist.TeamID(fmt.Sprintf("team%d", i%260))
			go c.submit(s)
		}
		c.waitForRunning(26_000)
		time.Sleep(2 * time.Second)
		table := &rateLimitedTable{Table: c.platform, limiter: rate.NewLimiter(2000, 2000)}
		c.table = table
		dead := c.hosts[3]
		var teams []hoist.TeamID
		for i := range 260 {
			if team := hoist.TeamID(fmt.Sprintf("team%d", i)); c.jobOwner(team) == dead {
				teams = append(teams, team)
			}
		}
		c.kill(dead)
		begin := time.Now()
		for _, team := range teams {
			for !c.hasRecoveredJobs(team) {
				time.Sleep(time.Millisecond)
			}
		}
		b.ReportMetric(time.Since(begin).Seconds(), "s-to-ready")
		b.ReportMetric(float64(table.calls.Load()), "scans")
		b.ReportMetric(float64(table.rows.Load()), "rows")
		b.ReportMetric(float64(len(teams)), "teams")
		c.close()
	}
}

func (c *cell) hasRecoveredJobs(team hoist.TeamID) bool {
	states, err := c.jobOwner(team).manager.ShowLocal(team)
	return err == nil && len(states) > 0
}

// TestTransactionRateIsLimited guards against a rate of transactions that grows with
// the rate of starts. At 150 starts and ends a second a host may make 50
// transactions and about 150 row writes a second.
func TestTransactionRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, 40, 64)
		defer func() {
			c.close()
			synctest.Wait()
		}()
		time.Sleep(3 * time.Second)
		var before, changes int
		var begin time.Time
		for i := range 300 {
			if i == 150 {
				// From here on tasks end at the same rate as they start.
				_, before = c.platform.Counts()
				changes = len(c.history.Changes())
				begin = time.Now()
			}
			c.submit(batch(hoist.JobID(fmt.Sprintf("j%d", i)), 15, 10*time.Second))
			time.Sleep(80 * time.Millisecond)
		}
		_, after := c.platform.Counts()
		seconds := time.Since(begin).Seconds()
		perSecond := float64(after-before) / seconds
		t.Logf("%.1f transactions a second for %.1f starts and ends a second", perSecond, float64(len(c.history.Changes())-changes)/seconds)
		if perSecond > 2*50 {
			t.Errorf("two hosts made %.1f transactions a second, want at most 100", perSecond)
		}
	})
}
