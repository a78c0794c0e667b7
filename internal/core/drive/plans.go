package drive

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// maxScans bounds the parts that are read at the same time.
	maxScans = 32
	// maxRecorded bounds the states in one transaction: each takes up to four of
	// its 100 entries.
	maxRecorded = 20
	// recordEvery is how often changes are recorded that nothing waits for. While
	// the store is slow it is recordFactor times as long as a transaction takes, as
	// the changes that something waits for are held up by them.
	recordEvery  = 250 * time.Millisecond
	recordFactor = 4
	// dropPause is the wait before a duplicate is removed again.
	dropPause = 500 * time.Millisecond
	// logEvery is how many failures in a row are told in one log line.
	logEvery = 20
	// minTimeout and maxTimeout bound the time of a transaction, and
	// timeoutFactor is how much longer than the last one the next may take.
	minTimeout    = 900 * time.Millisecond
	maxTimeout    = 2500 * time.Millisecond
	timeoutFactor = 4
)

// plansLoop takes over the plans in the store and follows their table.
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
			clock.Pause(ctx, retryPause)
		}
	}
}

// followPlans waits for changes of the table of plans and takes them over.
func (d *Driver) followPlans(ctx context.Context, after hoist.RowVersion) (hoist.RowVersion, error) {
	callCtx, cancel := context.WithTimeout(ctx, feedWait+storeTimeout)
	defer cancel()
	changed, next, err := d.Store.Changes(callCtx, keys.Plans, after, feedWait)
	if err != nil {
		return after, err
	}
	if len(changed) > 0 {
		d.takePlans(ctx, changed, nil)
		d.wake()
	}
	return next, nil
}

// restore reads all plans and what became of them.
func (d *Driver) restore(ctx context.Context) (hoist.RowVersion, error) {
	began := d.Clock.Now()
	var mu sync.Mutex
	var oldest hoist.RowVersion
	var plans []hoist.StoredRow
	states := make(map[hoist.RowRef]hoist.StoredRow)
	var g errgroup.Group
	g.SetLimit(maxScans)
	for _, part := range keys.Parts() {
		g.Go(func() error {
			some, of, version, err := d.restorePart(ctx, part)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if oldest == 0 || version < oldest {
				oldest = version
			}
			plans = append(plans, some...)
			for _, row := range of {
				states[row.RowRef] = row
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	d.takeEnded(plans, states)
	begunFirst(plans, states)
	d.takePlans(ctx, plans, states)
	d.mu.Lock()
	if !d.isReady {
		d.isReady = true
		close(d.restored)
	}
	jobs := d.book.Jobs()
	d.mu.Unlock()
	d.wake()
	events.PlansRestored.Log(ctx, d.Log, "term", d.Own.Term, "plans", jobs, "states", len(states), "version", oldest, "took", d.Clock.Now().Sub(began))
	return oldest, nil
}

// begunFirst orders plans so that of one that was accepted in two parts, the one
// that has begun comes before the other.
func begunFirst(plans []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	hasBegun := func(row hoist.StoredRow) bool {
		return states[keys.State(row.Part, hoist.JobID(row.Key))].Version > row.Version
	}
	slices.SortStableFunc(plans, func(x, y hoist.StoredRow) int {
		switch isX, isY := hasBegun(x), hasBegun(y); {
		case isX && !isY:
			return -1
		case isY && !isX:
			return 1
		default:
			return 0
		}
	})
}

// restorePart reads the plans of a part and their states. The states are read
// after the plans, so that no plan lacks its state.
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

// takePlans takes over rows of the table of plans. Plans without a state among
// states have just been accepted, in the same transaction as their state.
func (d *Driver) takePlans(ctx context.Context, changed []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var cancelled []hoist.JobID
	for _, row := range changed {
		if row.IsRemoved {
			continue
		}
		if id, isCancel := keys.CancelOf(row.Key); isCancel {
			cancelled = append(cancelled, id)
			continue
		}
		d.takePlan(ctx, row, states, now)
	}
	for _, id := range cancelled {
		if d.book.Cancel(id, now) {
			events.PlanEnded.Log(ctx, d.Log, "plan", id, "phase", hoist.PlanCancelled, "term", d.Own.Term)
		}
	}
}

// takePlan takes over a plan. The mutex is held.
func (d *Driver) takePlan(ctx context.Context, row hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow, now time.Time) {
	id := hoist.JobID(row.Key)
	known, isKnown := d.over[id]
	if job, ok := d.book.Job(id); ok {
		known, isKnown = job.Plan.Part, true
	}
	if isKnown {
		if known != row.Part {
			d.calls.Go(func() { d.dropDuplicate(ctx, row) })
		}
		return
	}
	plan, err := codec.DecodePlan(id, row.Value)
	if err != nil {
		events.PlanUnreadable.Log(ctx, d.Log, "plan", id, "version", row.Version, "error", err)
		return
	}
	if q, ok := d.Queue(plan.Queue.Name); ok {
		plan.Queue = q
	}
	plan.Part = row.Part
	state, ok := states[keys.State(row.Part, id)]
	if !ok {
		d.book.Add(plan, row.Version, now)
		return
	}
	restored, err := codec.DecodePlanState(state.Value)
	if err != nil {
		events.PlanUnreadable.Log(ctx, d.Log, "plan", id, "version", state.Version, "error", err)
		return
	}
	d.book.Restore(plan, restored, state.Version, now)
}

// dropDuplicate removes a plan that is known from another part. It has not begun:
// nothing but its acceptance was recorded here.
func (d *Driver) dropDuplicate(ctx context.Context, row hoist.StoredRow) {
	id := hoist.JobID(row.Key)
	events.PlanDuplicate.Log(ctx, d.Log, "plan", id, "part", row.Part, "version", row.Version)
	state := keys.State(row.Part, id)
	txn := hoist.Transaction{
		Expect: []hoist.Expected{
			{RowRef: keys.Fence(row.Part), Version: d.Own.Version}, {RowRef: state, Version: row.Version},
		},
		Remove: []hoist.RowRef{state, row.RowRef},
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := d.Store.Commit(callCtx, txn)
		cancel()
		// After a conflict an earlier try has taken effect, or the ownership is over.
		if err == nil || errors.Is(err, hoist.ErrConflict) {
			return
		}
		clock.Pause(ctx, dropPause)
	}
}

// takeEnded notes which states must be removed some time, and which plans are
// over. A plan of which something may still run has its row.
func (d *Driver) takeEnded(plans []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
	hasRow := make(map[hoist.RowRef]bool, len(plans))
	for _, row := range plans {
		hasRow[row.RowRef] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for ref, row := range states {
		s, err := codec.DecodePlanState(row.Value)
		if err != nil || !s.Phase.IsFinal() {
			continue
		}
		id := hoist.JobID(ref.Key)
		d.ended = append(d.ended, endedPlan{ref.Part, id, d.Clock.Now()})
		if !hasRow[keys.Plan(ref.Part, id)] {
			d.over[id] = ref.Part
		}
	}
}

// recordLoop records the states of the plans of one part as they change. Each
// part has a loop of its own, as the store may be slow or away for some of them.
func (d *Driver) recordLoop(ctx context.Context, part hoist.PartName, due <-chan struct{}) {
	rec := recorder{part: part, timeout: minTimeout, lastAll: d.Clock.Now()}
	for clock.PauseOr(ctx, time.Second, due) {
		for ctx.Err() == nil {
			isAll := rec.takesAll(d.Clock.Now())
			d.mu.Lock()
			list := d.book.Unrecorded(part, isAll, maxRecorded)
			d.mu.Unlock()
			if len(list) == 0 {
				break
			}
			d.record(ctx, &rec, list)
		}
	}
}

// recorder is what the recording of one part goes by.
type recorder struct {
	part hoist.PartName
	// timeout bounds the next transaction. It follows how long the store takes:
	// short enough to notice lost answers soon, and long enough for a slow store.
	timeout time.Duration
	// took is how long the last transaction took.
	took time.Duration
	// lastAll is when all changes were recorded last.
	lastAll time.Time
	// failures counts the transactions in a row without success.
	failures int
}

// takesAll reports whether changes that nothing waits for are to be recorded now.
func (rec *recorder) takesAll(now time.Time) bool {
	if now.Sub(rec.lastAll) < max(recordEvery, recordFactor*rec.took) {
		return false
	}
	rec.lastAll = now
	return true
}

// record writes states and sends the starts that they allow. States that could
// not be written stay unrecorded.
func (d *Driver) record(ctx context.Context, rec *recorder, list []sched.Unrecorded) {
	began := d.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, rec.timeout)
	version, err := d.Store.Commit(callCtx, d.transaction(rec.part, list))
	cancel()
	if err == nil {
		d.recorded(ctx, list, version)
		rec.failures = 0
		rec.took = d.Clock.Now().Sub(began)
		rec.timeout = min(maxTimeout, max(minTimeout, rec.took*timeoutFactor))
		return
	}
	if ctx.Err() != nil {
		return
	}
	if rec.failures%logEvery == 0 {
		events.StateLate.Log(ctx, d.Log, "part", rec.part, "plans", len(list), "failures", rec.failures, "timeout", rec.timeout, "error", err)
	}
	rec.failures++
	if !errors.Is(err, hoist.ErrConflict) || !d.reread(ctx, rec.part, list) {
		clock.Pause(ctx, retryPause)
	}
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		rec.timeout = min(maxTimeout, rec.timeout*2)
	}
}

// transaction composes the writing of states of one part.
func (d *Driver) transaction(part hoist.PartName, list []sched.Unrecorded) hoist.Transaction {
	txn := hoist.Transaction{Expect: []hoist.Expected{{RowRef: keys.Fence(part), Version: d.Own.Version}}}
	for _, u := range list {
		ref := keys.State(u.Part, u.Job)
		txn.Expect = append(txn.Expect, hoist.Expected{RowRef: ref, Version: u.Version})
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: ref, Value: codec.EncodePlanState(u.State)})
		if u.IsClosed {
			txn.Remove = append(txn.Remove, keys.Plan(u.Part, u.Job), keys.Cancel(u.Part, u.Job))
		}
	}
	return txn
}

// recorded notes what is in the store and sends the starts that waited for it.
func (d *Driver) recorded(ctx context.Context, list []sched.Unrecorded, version hoist.RowVersion) {
	d.mu.Lock()
	now := d.Clock.Now()
	var starts []sched.Start
	for _, u := range list {
		starts = append(starts, d.book.Recorded(u.Job, u.Change, version, now)...)
		if u.State.Phase.IsFinal() && d.book.IsClosed(u.Job) {
			d.book.Forget(u.Job)
			d.ended = append(d.ended, endedPlan{u.Part, u.Job, now})
			d.over[u.Job] = u.Part
			events.PlanEnded.Log(ctx, d.Log, "plan", u.Job, "phase", u.State.Phase, "version", version)
		}
	}
	orders := make([]order, 0, len(starts))
	for _, s := range starts {
		orders = append(orders, d.orderOf(s, now))
	}
	d.mu.Unlock()
	for _, o := range orders {
		d.calls.Go(func() { d.start(ctx, o) })
	}
	for _, l := range d.allLinks() {
		clock.Signal(l.recorded)
	}
}

// reread learns the versions of states after a conflict: an earlier transaction
// without an answer took effect after all, or there is a later owner.
func (d *Driver) reread(ctx context.Context, part hoist.PartName, list []sched.Unrecorded) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fence, err := d.Store.Get(ctx, keys.Fence(part))
	if err != nil {
		return false
	}
	if fence.Version != d.Own.Version {
		d.Own.StepDown()
		return false
	}
	for _, u := range list {
		row, err := d.Store.Get(ctx, keys.State(u.Part, u.Job))
		if err != nil {
			return false
		}
		d.mu.Lock()
		d.book.SetVersion(u.Job, row.Version)
		d.mu.Unlock()
	}
	return true
}
