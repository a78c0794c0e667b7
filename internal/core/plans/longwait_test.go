package plans

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/keys"
)

const (
	// runsAgainWithin is the longest wait of a long-running task after its last run, and
	// calmsWithin the longest one after the end of the last disruption.
	runsAgainWithin = 9 * time.Second
	calmsWithin     = 7 * time.Second
)

// lastingID is the long-running plan whose waits are measured.
const lastingID = hoist.JobID("00000000000000a2")

// submitLasting records a plan of one long-running task.
func (c *leavingCell) submitLasting(id hoist.JobID) {
	c.t.Helper()
	step := hoist.Step{Count: 1, Need: hoist.Resources{CPU: 100, Memory: 1}, IsLongRunning: true, MaxUnavailable: -1}
	p := hoist.Plan{ID: id, Queue: hoist.Queue{Name: "q", Service: "lids"}, Steps: []hoist.Step{step}, Accepted: time.Now()}
	accept(c.t, c.store, keys.PartsOf(id)[0], p)
}

// runsOn returns the worker that runs a plan and keeps its lease, or an empty id.
func (c *leavingCell) runsOn(id hoist.JobID) hoist.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		for run := range w.running {
			if run.Task.Job == id && time.Now().Before(w.leaseUntil) {
				return w.id
			}
		}
	}
	return ""
}

// loseWorker ends the worker of the long-running plan for good.
func (c *leavingCell) loseWorker() {
	c.t.Helper()
	w := c.worker(c.runsOn(lastingID))
	w.set(func() {
		w.refusesAll = true
		clear(w.running)
	})
}

// wantRunsWithin waits until the long-running plan runs, and fails the test if that takes longer
// than allowed.
func (c *leavingCell) wantRunsWithin(allowed time.Duration) {
	c.t.Helper()
	began := time.Now()
	for c.runsOn(lastingID) == "" && time.Since(began) < allowed+time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	waited := time.Since(began)
	c.t.Logf("waited for %v, allowed %v", waited, allowed)
	if waited > allowed {
		c.t.Errorf("waited for %v, allowed %v", waited, allowed)
	}
}

// hangingStore is the store of a cell with its options.
type hangingStore struct {
	cellStore
	options storeOptions
}

// Commit implements hoist.Store.
func (s hangingStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	for _, w := range t.Writes {
		hangs := false
		s.cell.set(func() { hangs = s.options.hangs[w.Part] })
		if !hangs {
			continue
		}
		if s.options.isLate {
			_, _ = s.cellStore.Commit(ctx, t)
		}
		clock.Sleep(ctx, time.Hour)
		return 0, hoist.ErrOutcomeUnknown
	}
	return s.cellStore.Commit(ctx, t)
}

// TestLongRunningTaskWaitsForStore guards against a long-running task that stays without a run
// because the store refuses the state of another plan, or does not answer for some time.
func TestLongRunningTaskWaitsForStore(t *testing.T) {
	const odd = hoist.JobID("00000000000000a1")
	begin := func(c *leavingCell) {
		c.list("w1", false)
		c.list("w2", false)
		c.submitLasting(lastingID)
		time.Sleep(2 * time.Second)
	}
	t.Run("the state of another plan is refused", func(t *testing.T) {
		runLeavingCell(t, func(c *leavingCell) {
			begin(c)
			// The other plan is in the same part, and its ends cannot be recorded.
			p := hoist.Plan{ID: odd, Queue: hoist.Queue{Name: "q", Service: "lids"}, Accepted: time.Now()}
			p.Steps = []hoist.Step{{Count: 1, Need: hoist.Resources{CPU: 100, Memory: 1}, MaxUnavailable: -1}}
			accept(c.t, c.store, keys.PartsOf(lastingID)[0], p)
			time.Sleep(time.Second)
			on := c.worker(c.runsOn(odd))
			on.set(func() { c.refused = odd })
			on.finish(odd)
			c.loseWorker()
			c.wantRunsWithin(runsAgainWithin)
		})
	})
	t.Run("a plan cannot be decoded", func(t *testing.T) {
		runLeavingCell(t, func(c *leavingCell) {
			begin(c)
			acceptRow(c.t, c.store, keys.PartsOf(lastingID)[0], odd, []byte("{"), []byte("{"))
			time.Sleep(100 * time.Millisecond)
			c.loseWorker()
			c.wantRunsWithin(runsAgainWithin)
		})
	})
	for _, combines := range []bool{false, true} {
		for _, isLate := range []bool{false, true} {
			name := "transactions"
			if combines {
				name = "combined transactions"
			}
			if isLate {
				name += " that take effect"
			}
			t.Run("another part does not answer, "+name, func(t *testing.T) {
				hangs := map[hoist.PartName]bool{}
				runLeavingCellWith(t, storeOptions{hangs: hangs, isLate: isLate, combines: combines}, func(c *leavingCell) {
					begin(c)
					other := odd
					is.New(c.t).True(keys.PartsOf(other)[0] != keys.PartsOf(lastingID)[0])
					c.set(func() { hangs[keys.PartsOf(other)[0]] = true })
					c.submitLasting(other)
					c.loseWorker()
					c.wantRunsWithin(runsAgainWithin)
				})
			})
			t.Run("its part answers again, "+name, func(t *testing.T) {
				// The phases cover the time of a transaction that gets no answer.
				for phase := time.Duration(0); phase < 3*time.Second; phase += 300 * time.Millisecond {
					hangs := map[hoist.PartName]bool{}
					runLeavingCellWith(t, storeOptions{hangs: hangs, isLate: isLate, combines: combines}, func(c *leavingCell) {
						begin(c)
						c.set(func() { hangs[keys.PartsOf(lastingID)[0]] = true })
						c.loseWorker()
						time.Sleep(15*time.Second + phase)
						c.set(func() { clear(hangs) })
						c.wantRunsWithin(calmsWithin)
					})
				}
			})
		}
	}
}
