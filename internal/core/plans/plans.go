package plans

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// maxConcurrentScans bounds the parts that are read at the same time.
	maxConcurrentScans = 32
	// removeRetryDelay is the delay before the removal of a duplicate is retried.
	removeRetryDelay = 500 * time.Millisecond
)

// plansLoop recovers the plans from the store and follows changes of their table.
func (d *Driver) plansLoop(ctx context.Context) {
	var after hoist.RowVersion
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = d.restore(ctx)
		} else {
			after, err = d.followPlans(ctx, after)
		}
		if errors.Is(err, hoist.ErrHistoryLost) {
			after = 0
		}
		if err != nil && ctx.Err() == nil {
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// followPlans waits for changes of the table of plans and applies them. It returns the
// version after which to follow next.
func (d *Driver) followPlans(ctx context.Context, after hoist.RowVersion) (hoist.RowVersion, error) {
	callCtx, cancel := context.WithTimeout(ctx, changesWait+storeTimeout)
	defer cancel()
	changed, next, err := d.Store.Changes(callCtx, keys.Plans, after, changesWait)
	if err != nil {
		return after, err
	}
	if len(changed) > 0 {
		d.applyPlans(ctx, changed, nil)
		d.requestPass()
	}
	return next, nil
}

// restore reads all plans and their states. It returns the version of the store from
// which on changes must be followed.
func (d *Driver) restore(ctx context.Context) (hoist.RowVersion, error) {
	began := d.Clock.Now()
	var mu sync.Mutex
	var oldest hoist.RowVersion
	var plans []hoist.StoredRow
	states := make(map[hoist.RowRef]hoist.StoredRow)
	var g errgroup.Group
	g.SetLimit(maxConcurrentScans)
	for _, part := range keys.Parts() {
		g.Go(func() error {
			partPlans, partStates, version, err := d.restorePart(ctx, part)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if oldest == 0 || version < oldest {
				oldest = version
			}
			plans = append(plans, partPlans...)
			for _, row := range partStates {
				states[row.RowRef] = row
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	d.restoreEnded(plans, states)
	sortStartedFirst(plans, states)
	d.applyPlans(ctx, plans, states)
	jobs := d.setReady()
	d.requestPass()
	events.PlansRecovered.Log(ctx, d.Log, "term", d.Claim.Term, "plans", jobs, "states", len(states), "version", oldest, "took", d.Clock.Now().Sub(began))
	return oldest, nil
}

// setReady records that the plans have been recovered, and returns their number.
func (d *Driver) setReady() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isReady {
		d.isReady = true
		close(d.restored)
	}
	return d.scheduler.NumJobs()
}

// sortStartedFirst sorts plans that have started before the others. Of a plan that was
// accepted in two parts, the copy that has started is then kept.
func sortStartedFirst(plans []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	hasStarted := func(row hoist.StoredRow) bool {
		return states[keys.State(row.Part, hoist.JobID(row.Key))].Version > row.Version
	}
	slices.SortStableFunc(plans, func(x, y hoist.StoredRow) int {
		switch isX, isY := hasStarted(x), hasStarted(y); {
		case isX && !isY:
			return -1
		case isY && !isX:
			return 1
		default:
			return 0
		}
	})
}

// restorePart reads the plans of a part and their states. The states are read after
// the plans, so that every plan that was read has its state.
func (d *Driver) restorePart(ctx context.Context, part hoist.PartName) (plans, states []hoist.StoredRow, version hoist.RowVersion, err error) {
	plans, version, err = d.scan(ctx, keys.Plans, part)
	if err != nil {
		return nil, nil, 0, err
	}
	states, _, err = d.scan(ctx, keys.States, part)
	return plans, states, version, err
}

func (d *Driver) scan(ctx context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.Store.Scan(ctx, table, part)
}

// applyPlans passes rows of the table of plans to the scheduler. Plans without a state
// among states have just been accepted, in the same transaction as their state.
// Quarantines are applied before the plans that they concern, and cancellations after
// them.
func (d *Driver) applyPlans(ctx context.Context, changed []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	var plans []hoist.StoredRow
	var cancelled, tombstones []quar.Ref
	for _, row := range changed {
		if e, ok := quar.Decode(row); ok {
			d.update(ctx, workPlans, func() { d.applyQuarantine(ctx, e, row.IsRemoved) })
			continue
		}
		if row.IsRemoved {
			continue
		}
		if id, isCancel := keys.CancelOf(row.Key); isCancel {
			ref := quar.Ref{Part: row.Part, Job: id}
			if string(row.Value) == keys.TombstoneCancel {
				tombstones = append(tombstones, ref)
			} else {
				cancelled = append(cancelled, ref)
			}
			continue
		}
		plans = append(plans, row)
	}
	for _, row := range plans {
		d.applyPlan(ctx, row, states)
	}
	for _, ref := range cancelled {
		d.update(ctx, workPlans, func() { d.applyCancel(ctx, ref) })
	}
	for _, ref := range tombstones {
		// The plan was cancelled before it was accepted. Its rows expire like those of a plan
		// that has ended; the submission may be on its way until then.
		d.update(ctx, workPlans, func() { d.ended = append(d.ended, endedPlan{ref.Part, ref.Job, d.Clock.Now()}) })
	}
}

// applyCancel cancels a plan. d.mu must be held.
func (d *Driver) applyCancel(ctx context.Context, ref quar.Ref) {
	if _, ok := d.quarantined[ref.Job]; ok {
		d.goCall(ctx, workPlans, func() { d.dropQuarantined(ctx, ref) })
		return
	}
	if d.scheduler.Cancel(ref.Job, d.Clock.Now()) {
		events.PlanEnded.Log(ctx, d.Log, "plan", ref.Job, "phase", hoist.PlanCancelled, "term", d.Claim.Term)
	}
}

// storedPlan is a plan that was read from the store, with its state if it has begun.
type storedPlan struct {
	plan    hoist.Plan
	state   *hoist.PlanState
	version hoist.RowVersion
}

// applyPlan passes a plan to the scheduler, removes it if the plan is known from
// another part, or quarantines it if it cannot be handled.
func (d *Driver) applyPlan(ctx context.Context, row hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	id := hoist.JobID(row.Key)
	isNew := false
	d.update(ctx, workPlans, func() { isNew = d.isNewPlan(ctx, row) })
	if !isNew {
		return
	}
	var stored storedPlan
	var err error
	if panicked := d.Guard.Do(ctx, workPlans, func() { stored, err = d.decodePlan(row, states) }); panicked != nil {
		err = panicked
	}
	entry := quar.Entry{Ref: quar.Ref{Part: row.Part, Job: id}, Queue: stored.plan.Queue.Name, IsHeld: true, At: d.Clock.Now()}
	if err != nil {
		entry.Reason = err.Error()
		d.update(ctx, workPlans, func() { d.hold(ctx, entry) })
		return
	}
	d.update(ctx, workPlans, func() {
		if stored.state == nil {
			d.scheduler.Add(stored.plan, stored.version, d.Clock.Now())
			return
		}
		d.scheduler.Restore(stored.plan, *stored.state, stored.version, d.Clock.Now())
	})
}

// isNewPlan reports whether the scheduler does not know a plan that is not
// quarantined. If the plan is known from another part, the row is removed. d.mu must
// be held.
func (d *Driver) isNewPlan(ctx context.Context, row hoist.StoredRow) bool {
	id := hoist.JobID(row.Key)
	if _, ok := d.quarantined[id]; ok {
		return false
	}
	known, isKnown := d.endedIn[id]
	if job, ok := d.scheduler.Job(id); ok {
		known, isKnown = job.Plan.Part, true
	}
	if isKnown && known != row.Part {
		d.goCall(ctx, workRemove, func() { d.removeDuplicate(ctx, row) })
	}
	return !isKnown
}

// decodePlan decodes and checks the rows of a plan. Rows can have been written by an
// earlier version with other limits.
func (d *Driver) decodePlan(row hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) (storedPlan, error) {
	id := hoist.JobID(row.Key)
	plan, err := codec.DecodePlan(id, row.Value)
	if err != nil {
		return storedPlan{}, merry.Prepend(err, "decoding the plan")
	}
	if q, ok := d.Queue(plan.Queue.Name); ok {
		plan.Queue = q
	}
	plan.Part = row.Part
	stored := storedPlan{plan: plan, version: row.Version}
	if err := d.Limits.Check(plan); err != nil {
		return stored, err
	}
	state, ok := states[keys.State(row.Part, id)]
	if !ok {
		return stored, nil
	}
	decoded, err := codec.DecodePlanState(state.Value)
	if err != nil {
		return stored, merry.Prepend(err, "decoding the state of the plan")
	}
	if err := limit.CheckState(plan, decoded); err != nil {
		return stored, merry.Prepend(err, "state of the plan")
	}
	stored.state, stored.version = &decoded, state.Version
	return stored, nil
}

// removeDuplicate removes a plan that is known from another part. The plan has not
// started here: the transaction expects that nothing but its acceptance was recorded.
func (d *Driver) removeDuplicate(ctx context.Context, row hoist.StoredRow) {
	id := hoist.JobID(row.Key)
	events.PlanDuplicate.Log(ctx, d.Log, "plan", id, "part", row.Part, "version", row.Version)
	state := keys.State(row.Part, id)
	txn := hoist.Transaction{
		Preconditions: []hoist.Precondition{
			{RowRef: keys.Fence(row.Part), Version: d.Claim.Version}, {RowRef: state, Version: row.Version},
		},
		Remove: []hoist.RowRef{state, row.RowRef},
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := d.Store.Commit(callCtx, txn)
		cancel()
		// A conflict means that an earlier try took effect, or that the ownership has
		// ended.
		if err == nil || errors.Is(err, hoist.ErrConflict) {
			return
		}
		clock.Sleep(ctx, removeRetryDelay)
	}
}

// restoreEnded records which states must be removed after StateRetention, and which
// plans have ended. A plan that may still have running tasks has a row in the table of
// plans; its state is kept until that row has been removed, without which it would be taken
// for a plan that has just been accepted.
func (d *Driver) restoreEnded(plans []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	hasRow := make(map[hoist.RowRef]bool, len(plans))
	for _, row := range plans {
		hasRow[row.RowRef] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for ref, row := range states {
		s, err := codec.DecodePlanState(row.Value)
		id := hoist.JobID(ref.Key)
		if err != nil || !s.Phase.IsFinal() || hasRow[keys.Plan(ref.Part, id)] {
			continue
		}
		d.ended = append(d.ended, endedPlan{ref.Part, id, d.Clock.Now()})
		if !s.IsTombstone {
			d.endedIn[id] = ref.Part
		}
	}
}
