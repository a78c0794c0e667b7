package plans

import (
	"context"
	"errors"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
)

// hold quarantines a plan that cannot be handled. The plan is left alone from now on;
// the row is written until it is recorded or the ownership ends. d.mu must be held.
func (d *Driver) hold(ctx context.Context, e quar.Entry) {
	if _, ok := d.quarantined[e.Ref.Job]; ok {
		return
	}
	d.quarantined[e.Ref.Job] = e.Ref.Part
	events.PlanQuarantined.Log(ctx, d.Log, "plan", e.Ref.Job, "part", e.Ref.Part, "held", true, "reason", e.Reason)
	d.goCall(ctx, workPlans, func() { d.recordHold(ctx, e) })
}

func (d *Driver) recordHold(ctx context.Context, e quar.Entry) {
	for ctx.Err() == nil {
		err := d.writeQuarantine(ctx, e)
		if err == nil {
			d.update(ctx, workPlans, func() { d.scheduler.Withdraw(e.Ref.Job, d.Clock.Now()) })
			d.requestPass()
			return
		}
		if errors.Is(err, hoist.ErrConflict) {
			return
		}
		events.QuarantineFailed.Log(ctx, d.Log, "plan", e.Ref.Job, "error", err)
		clock.Sleep(ctx, removeRetryDelay)
	}
}

// applyQuarantine applies a row of a quarantine. d.mu must be held.
func (d *Driver) applyQuarantine(ctx context.Context, e quar.Entry, isRemoved bool) {
	id := e.Ref.Job
	_, isHeld := d.quarantined[id]
	switch {
	case isRemoved && isHeld:
		delete(d.quarantined, id)
		delete(d.failures, id)
		d.goCall(ctx, workPlans, func() { d.readmit(ctx, e.Ref) })
	case isRemoved:
		delete(d.failures, id)
	case e.IsHeld:
		d.quarantined[id] = e.Ref.Part
	default:
		d.failures[id] = e.Failures
	}
}

// readmit handles a plan that an operator has released.
func (d *Driver) readmit(ctx context.Context, ref quar.Ref) {
	for ctx.Err() == nil {
		plan, state, err := d.readPlan(ctx, ref)
		if err != nil {
			clock.Sleep(ctx, removeRetryDelay)
			continue
		}
		if plan.Version > 0 {
			events.PlanReleased.Log(ctx, d.Log, "plan", ref.Job)
			d.applyPlans(ctx, []hoist.StoredRow{plan}, map[hoist.RowRef]hoist.StoredRow{state.RowRef: state})
			d.requestPass()
		}
		return
	}
}

// readPlan reads the rows of a plan and of its state.
func (d *Driver) readPlan(ctx context.Context, ref quar.Ref) (plan, state hoist.StoredRow, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	plan, err = d.Store.Get(ctx, keys.Plan(ref.Part, ref.Job))
	if err != nil {
		return plan, state, err
	}
	state, err = d.Store.Get(ctx, keys.State(ref.Part, ref.Job))
	return plan, state, err
}

// dropQuarantined ends a quarantined plan whose cancellation was requested.
func (d *Driver) dropQuarantined(ctx context.Context, ref quar.Ref) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		err := quar.Drop(callCtx, d.Store, ref, d.Clock.Now())
		cancel()
		if err == nil {
			d.recordDropped(ctx, ref)
			return
		}
		if errors.Is(err, hoist.ErrNotFound) {
			return
		}
		events.QuarantineFailed.Log(ctx, d.Log, "plan", ref.Job, "cancel", true, "error", err)
		clock.Sleep(ctx, removeRetryDelay)
	}
}

// recordDropped records that a plan has ended, so that its state expires.
func (d *Driver) recordDropped(ctx context.Context, ref quar.Ref) {
	d.update(ctx, workPlans, func() {
		delete(d.quarantined, ref.Job)
		d.ended = append(d.ended, endedPlan{ref.Part, ref.Job, d.Clock.Now()})
		d.endedIn[ref.Job] = ref.Part
	})
	events.PlanEnded.Log(ctx, d.Log, "plan", ref.Job, "phase", hoist.PlanCancelled, "quarantined", true)
}
