package plans

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/fake/memory"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	oddID  = hoist.JobID("00000000000000a1")
	goodID = hoist.JobID("00000000000000a2")
)

// quarantineTest is a store with an odd plan and a good one.
type quarantineTest struct {
	t     *testing.T
	store *memory.Store
	// panicsFor names the queue for which looking it up panics.
	panicsFor hoist.QueueName
	// refused is the plan whose state the store refuses to write.
	refused hoist.JobID
	term    hoist.Term
}

func newQuarantineTest(t *testing.T) *quarantineTest {
	return &quarantineTest{t: t, store: &memory.Store{}}
}

func (q *quarantineTest) commit(txn hoist.Transaction) {
	q.t.Helper()
	commit(q.t, q.store, txn)
}

// accept records a plan of the given number of steps.
func (q *quarantineTest) accept(id hoist.JobID, queue hoist.QueueName, steps int) {
	q.t.Helper()
	p := hoist.Plan{ID: id, Queue: hoist.Queue{Name: queue}, Accepted: time.Now()}
	for range steps {
		p.Steps = append(p.Steps, hoist.Step{Count: 1, MaxUnavailable: -1})
	}
	accept(q.t, q.store, keys.PartsOf(id)[0], p)
}

// acceptOdd records the rows of the odd plan.
func (q *quarantineTest) acceptOdd(plan, state []byte) {
	q.t.Helper()
	acceptRow(q.t, q.store, keys.PartsOf(oddID)[0], oddID, plan, state)
}

// run runs an owner for two seconds. It reports whether the owner gave the cell up.
func (q *quarantineTest) run(during ...func(*Driver)) bool {
	q.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.term++
	version := writeFences(q.t, q.store)
	limits := limit.DefaultPlans
	limits.MaxSteps = 1
	driver := &Driver{
		Claim: claim.NewOwnership(q.term, version, time.Now(), time.Now(), cancel),
		Store: &refusingStore{q.store, q.refused}, Registry: emptyRegistry{}, Advisers: &AdviserPool{}, Clock: clock.System{}, StateRetention: time.Minute,
		Limits: limits, Guard: &guard.Guard{},
		Queue: func(name hoist.QueueName) (hoist.Queue, bool) {
			if name == q.panicsFor {
				panic("odd queue")
			}
			return hoist.Queue{}, false
		},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		driver.Run(ctx)
	}()
	time.Sleep(time.Second)
	for _, f := range during {
		f(driver)
	}
	time.Sleep(time.Second)
	isGivenUp := ctx.Err() != nil
	cancel()
	<-ended
	return isGivenUp
}

// wantHeld fails the test unless exactly the named plans are quarantined, with
// the given number of failures.
func (q *quarantineTest) wantHeld(failures int, ids ...hoist.JobID) {
	q.t.Helper()
	list, err := quar.List(context.Background(), q.store)
	is := is.New(q.t)
	is.NoErr(err)
	is.Equal(len(list), len(ids))
	for i, e := range list {
		is.Equal(e.Ref.Job, ids[i])
		is.Equal(e.Failures, failures)
		is.True(e.IsHeld)
		is.True(e.Reason != "")
	}
}

func (q *quarantineTest) phase(id hoist.JobID) hoist.PlanPhase {
	q.t.Helper()
	row, err := q.store.Get(context.Background(), keys.State(keys.PartsOf(id)[0], id))
	is.New(q.t).NoErr(err)
	state, err := codec.DecodePlanState(row.Value)
	is.New(q.t).NoErr(err)
	return state.Phase
}

// knows reports whether the scheduler of an owner has a plan.
func knows(d *Driver, id hoist.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.scheduler.Job(id)
	return ok
}

// TestOddPlanIsQuarantined guards against a stored plan that ends each owner of the
// cell one after the other, or keeps other plans from being handled.
func TestOddPlanIsQuarantined(t *testing.T) {
	queued := codec.EncodePlanState(hoist.PlanState{Queue: "q", Phase: hoist.PlanQueued})
	good := hoist.Plan{Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}}}
	oddState := codec.EncodePlanState(hoist.PlanState{Queue: "q", Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{Step: -7}}})
	cases := []struct {
		name   string
		accept func(q *quarantineTest)
		// isOld is set if only an owner that finds the plan reads what is odd in it.
		isOld bool
	}{
		{"row that is no JSON", func(q *quarantineTest) { q.acceptOdd([]byte("\xff{"), queued) }, false},
		{"empty row", func(q *quarantineTest) { q.acceptOdd(nil, queued) }, false},
		{"state that is no JSON", func(q *quarantineTest) { q.acceptOdd(codec.EncodePlan(good), []byte("[[")) }, true},
		{"state of another plan", func(q *quarantineTest) { q.acceptOdd(codec.EncodePlan(good), oddState) }, true},
		{"plan that an earlier version accepted beyond the limits", func(q *quarantineTest) { q.accept(oddID, "q", 2) }, false},
		{"plan whose handling panics", func(q *quarantineTest) { q.accept(oddID, "odd", 1) }, false},
	}
	for _, c := range cases {
		t.Run(c.name+", found by an owner", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantineTest(t)
				c.accept(q)
				q.wantHeldAndLeftAlone(func() {})
			})
		})
		if c.isOld {
			continue
		}
		t.Run(c.name+", accepted during an ownership", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantineTest(t)
				q.wantHeldAndLeftAlone(func() { c.accept(q) })
			})
		})
	}
}

// wantHeldAndLeftAlone runs two owners and calls during while the first one acts. It
// fails the test unless the odd plan is quarantined, neither gives the cell up, and
// both handle the good plan.
func (q *quarantineTest) wantHeldAndLeftAlone(during func()) {
	q.t.Helper()
	is := is.New(q.t)
	q.panicsFor = "odd"
	q.accept(goodID, "q", 1)
	for range 2 {
		isGivenUp := q.run(func(d *Driver) {
			during()
			is.True(knows(d, goodID))
			time.Sleep(time.Second)
			is.True(!knows(d, oddID))
		})
		is.True(!isGivenUp)
		q.wantHeld(0, oddID)
		during = func() {}
	}
}

// TestQuarantineEnds guards against a quarantined plan that an operator cannot
// release or drop, or that its client cannot cancel.
func TestQuarantineEnds(t *testing.T) {
	ctx := context.Background()
	ref := quar.Ref{Part: keys.PartsOf(oddID)[0], Job: oddID}
	run := func(t *testing.T, end func(q *quarantineTest, d *Driver), want func(q *quarantineTest, d *Driver)) {
		synctest.Test(t, func(t *testing.T) {
			q := newQuarantineTest(t)
			q.panicsFor = "odd"
			q.accept(oddID, "odd", 1)
			q.run(func(d *Driver) {
				q.wantHeld(0, oddID)
				end(q, d)
				time.Sleep(3 * time.Second)
				q.wantHeld(0)
				want(q, d)
			})
		})
	}
	t.Run("released", func(t *testing.T) {
		run(t, func(q *quarantineTest, _ *Driver) {
			q.panicsFor = ""
			is.New(t).NoErr(quar.Release(ctx, q.store, ref))
		}, func(_ *quarantineTest, d *Driver) { is.New(t).True(knows(d, oddID)) })
	})
	t.Run("dropped", func(t *testing.T) {
		run(t, func(q *quarantineTest, _ *Driver) {
			is.New(t).NoErr(quar.Drop(ctx, q.store, ref, time.Now()))
		}, func(q *quarantineTest, d *Driver) {
			is.New(t).True(!knows(d, oddID))
			is.New(t).Equal(q.phase(oddID), hoist.PlanCancelled)
		})
	})
	t.Run("cancelled by its client", func(t *testing.T) {
		run(t, func(q *quarantineTest, _ *Driver) {
			q.commit(hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.Cancel(ref.Part, oddID), Value: []byte("{}")}}})
		}, func(q *quarantineTest, _ *Driver) { is.New(t).Equal(q.phase(oddID), hoist.PlanCancelled) })
	})
}

// TestPanicWhileSchedulingEndsOwnership guards against an owner that goes on with a
// scheduler that is half changed, and against a plan that ends one owner after the
// other.
func TestPanicWhileSchedulingEndsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQuarantineTest(t)
		q.accept(oddID, "q", 1)
		q.accept(goodID, "q", 1)
		panics := func(d *Driver) {
			d.update(t.Context(), workPass, func() {
				d.scheduler.Handling = oddID
				panic("odd plan")
			})
			is.True(!d.update(t.Context(), workPass, func() { t.Error("the scheduler is used after a panic") }))
		}
		is.True(q.run(panics)) // the owner gave the cell up
		list, err := quar.List(t.Context(), q.store)
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.True(!list[0].IsHeld) // once can be chance
		is.True(q.run(panics))
		q.wantHeld(2, oddID)
		is.True(!q.run(func(d *Driver) {
			is.True(!knows(d, oddID))
			is.True(knows(d, goodID))
		}))
	})
}

// refusingStore refuses transactions that write the state of one plan.
type refusingStore struct {
	*memory.Store
	refused hoist.JobID
}

// Commit implements hoist.Store.
func (s *refusingStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	for _, w := range t.Writes {
		if w.Table == keys.States && w.Key == hoist.RowKey(s.refused) {
			return 0, hoist.ErrInvalid
		}
	}
	return s.Store.Commit(ctx, t)
}

// TestRefusedStateDoesNotBlockPart guards against a state that the store refuses, for
// instance because it is too large, and that keeps all states of its part from being
// recorded.
func TestRefusedStateDoesNotBlockPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantineTest(t)
		q.refused = oddID
		q.accept(oddID, "q", 1)
		// goodID is accepted in the same part, as a spare part.
		part := keys.PartsOf(oddID)[0]
		p := hoist.Plan{ID: goodID, Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 1, MaxUnavailable: -1}}, Accepted: time.Now()}
		accept(t, q.store, part, p)
		q.run(func(d *Driver) {
			for _, id := range []hoist.JobID{oddID, goodID} {
				d.update(t.Context(), workPlans, func() { d.scheduler.Cancel(id, time.Now()) })
			}
			time.Sleep(2 * time.Second)
			row, err := q.store.Get(t.Context(), keys.State(part, goodID))
			is.New(t).NoErr(err)
			state, err := codec.DecodePlanState(row.Value)
			is.New(t).NoErr(err)
			is.New(t).Equal(state.Phase, hoist.PlanCancelled)
		})
	})
}
