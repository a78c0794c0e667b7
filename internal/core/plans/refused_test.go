package plans

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/quar"
)

// finish ends the attempt of a plan that runs on the worker.
func (w *leasedWorker) finish(id hoist.JobID) {
	w.set(func() {
		for run := range w.running {
			if run.Task.Job == id {
				delete(w.running, run)
				w.ends = append(w.ends, hoist.RunEnd{No: hoist.EndNo(len(w.ends) + 1), Run: run, Kind: hoist.EndDone})
			}
		}
	})
}

// TestUnrecordablePlanBlocksNoOther guards against a plan whose state the store refuses, which
// keeps all later ends of its workers from being acknowledged, and against running its tasks
// again once they are.
func TestUnrecordablePlanBlocksNoOther(t *testing.T) {
	const odd, good, later = hoist.JobID("00000000000000a1"), hoist.JobID("00000000000000a2"), hoist.JobID("00000000000000a3")
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("worker", false)
		time.Sleep(time.Second)
		c.accept(odd)
		c.accept(good)
		w := c.worker("worker")
		is.Equal(w.numStarts(), 2)
		w.set(func() { c.refused = odd })
		w.finish(odd) // the first end of the worker cannot be recorded
		time.Sleep(100 * time.Millisecond)
		w.finish(good)
		c.accept(later)
		is.Equal(w.numStarts(), 3)
		time.Sleep(5 * time.Second)
		w.set(func() { is.Equal(w.acked, hoist.EndNo(2)) })
		is.Equal(w.numStarts(), 3)
		list, err := quar.List(t.Context(), c.store)
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Ref.Job, odd)
		is.True(list[0].LosesEnds)
		// If the plan were released, its task would run again.
		is.True(errors.Is(quar.Release(t.Context(), c.store, list[0].Ref), hoist.ErrInvalid))
		is.NoErr(quar.Drop(t.Context(), c.store, list[0].Ref, time.Now()))
	})
}

// TestRefusingStoreQuarantinesNoPlan guards against plans that are quarantined although the
// store refuses everything for some time.
func TestRefusingStoreQuarantinesNoPlan(t *testing.T) {
	const id = hoist.JobID("00000000000000a1")
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("worker", false)
		time.Sleep(time.Second)
		c.accept(id)
		w := c.worker("worker")
		w.set(func() { c.refused = id })
		w.finish(id)
		time.Sleep(10 * time.Second)
		list, err := quar.List(t.Context(), c.store)
		is.NoErr(err)
		is.Equal(len(list), 0)
		w.set(func() { c.refused = "" })
		time.Sleep(2 * time.Second)
		w.set(func() { is.Equal(w.acked, hoist.EndNo(1)) })
	})
}
