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
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// maxConcurrentScans bounds the parts that are read at the same time.
	maxConcurrentScans = 32
	// maxStatesPerCommit bounds the states in one transaction: each takes up to four
	// of its 100 entries.
	maxStatesPerCommit = 20
	// recordInterval is the shortest interval at which changes are recorded that
	// nothing waits for. While the store is slow, the interval is
	// recordIntervalFactor times as long as a transaction takes, because such
	// changes delay those that something waits for.
	recordInterval       = 250 * time.Millisecond
	recordIntervalFactor = 4
	// removeRetryDelay is the delay before the removal of a duplicate is retried.
	removeRetryDelay = 500 * time.Millisecond
	// failuresPerLogLine is how many consecutive failures one log line stands for.
	failuresPerLogLine = 20
	// minRecordTimeout and maxRecordTimeout bound the time-out of a transaction, which
	// is recordTimeoutFactor times as long as the last one took.
	minRecordTimeout    = 900 * time.Millisecond
	maxRecordTimeout    = 2500 * time.Millisecond
	recordTimeoutFactor = 4
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
	var cancelled []quar.Ref
	for _, row := range changed {
		if e, ok := quar.Decode(row); ok {
			d.update(ctx, workPlans, func() { d.applyQuarantine(ctx, e, row.IsRemoved) })
			continue
		}
		if row.IsRemoved {
			continue
		}
		if id, isCancel := keys.CancelOf(row.Key); isCancel {
			cancelled = append(cancelled, quar.Ref{Part: row.Part, Job: id})
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
// plans.
func (d *Driver) restoreEnded(plans []hoist.StoredRow, states map[hoist.RowRef]hoist.StoredRow) {
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
			d.endedIn[id] = ref.Part
		}
	}
}

// recordLoop records the states of the plans of one part as they change. Each part
// has a loop of its own, as the store may be slow or unavailable for some parts.
func (d *Driver) recordLoop(ctx context.Context, part hoist.PartName, due <-chan struct{}) {
	rec := recorder{part: part, timeout: minRecordTimeout, lastAll: d.Clock.Now()}
	for clock.SleepOr(ctx, recordInterval, due) {
		for ctx.Err() == nil {
			now := d.Clock.Now()
			isAll := rec.includesAll(now)
			var list []sched.UnrecordedState
			d.update(ctx, workRecord, func() { list = d.scheduler.Unrecorded(part, isAll, rec.batch(), now) })
			if len(list) == 0 {
				break
			}
			d.record(ctx, &rec, list)
		}
	}
}

// recorder is the state of the recording loop of one part.
type recorder struct {
	part hoist.PartName
	// timeout bounds the next transaction. It adapts to how long the store takes:
	// short enough to notice lost answers soon, and long enough for a slow store.
	timeout time.Duration
	// took is how long the last successful transaction took.
	took time.Duration
	// lastAll is when all changes, also those that nothing waits for, were last
	// included.
	lastAll time.Time
	// failures counts the consecutive failed transactions.
	failures int
	// singles is how many states are still to be recorded one by one, after the store
	// has refused several of them together.
	singles int
}

// batch returns how many states to write in one transaction.
func (rec *recorder) batch() int {
	if rec.singles > 0 {
		rec.singles--
		return 1
	}
	return maxStatesPerCommit
}

// includesAll reports whether changes that nothing waits for are to be recorded now.
// If so, it sets lastAll.
func (rec *recorder) includesAll(now time.Time) bool {
	if now.Sub(rec.lastAll) < max(recordInterval, recordIntervalFactor*rec.took) {
		return false
	}
	rec.lastAll = now
	return true
}

// record writes states to the store and sends the starts that waited for them. States
// that could not be written stay unrecorded.
func (d *Driver) record(ctx context.Context, rec *recorder, list []sched.UnrecordedState) {
	began := d.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, rec.timeout)
	version, err := d.Store.Commit(callCtx, d.transaction(rec.part, list))
	cancel()
	if err == nil {
		d.recorded(ctx, list, version)
		rec.failures = 0
		rec.took = d.Clock.Now().Sub(began)
		rec.timeout = min(maxRecordTimeout, max(minRecordTimeout, rec.took*recordTimeoutFactor))
		return
	}
	if ctx.Err() != nil {
		return
	}
	if rec.failures%failuresPerLogLine == 0 {
		events.PlanStateWriteFailed.Log(ctx, d.Log, "part", rec.part, "plans", len(list), "failures", rec.failures, "timeout", rec.timeout, "error", err)
	}
	rec.failures++
	if errors.Is(err, hoist.ErrInvalid) {
		d.isolate(ctx, rec, list)
		return
	}
	if !errors.Is(err, hoist.ErrConflict) || !d.refreshVersions(ctx, rec.part, list) {
		clock.Sleep(ctx, retryDelay)
	}
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		rec.timeout = min(maxRecordTimeout, rec.timeout*2)
	}
}

// refusedStateDelay is the delay before a state that the store refuses is written
// again. It changes as tasks end, and may then fit into a row.
const refusedStateDelay = 2 * time.Second

// isolate finds the state that makes the store refuse a transaction, so that the
// other states of the part are recorded.
func (d *Driver) isolate(ctx context.Context, rec *recorder, list []sched.UnrecordedState) {
	if len(list) > 1 {
		rec.singles = len(list)
		return
	}
	d.update(ctx, workRecord, func() { d.scheduler.DeferRecording(list[0].Job, d.Clock.Now().Add(refusedStateDelay)) })
}

// transaction returns the transaction that writes states of one part.
func (d *Driver) transaction(part hoist.PartName, list []sched.UnrecordedState) hoist.Transaction {
	txn := hoist.Transaction{Preconditions: []hoist.Precondition{{RowRef: keys.Fence(part), Version: d.Claim.Version}}}
	for _, u := range list {
		ref := keys.State(u.Part, u.Job)
		txn.Preconditions = append(txn.Preconditions, hoist.Precondition{RowRef: ref, Version: u.Version})
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: ref, Value: codec.EncodePlanState(u.State)})
		if u.HasEnded {
			txn.Remove = append(txn.Remove, keys.Plan(u.Part, u.Job), keys.Cancel(u.Part, u.Job))
		}
	}
	return txn
}

// recorded marks states as recorded and sends the starts that waited for them.
func (d *Driver) recorded(ctx context.Context, list []sched.UnrecordedState, version hoist.RowVersion) {
	var startCalls []startCall
	d.update(ctx, workRecord, func() {
		now := d.Clock.Now()
		for _, u := range list {
			for _, s := range d.scheduler.MarkRecorded(u.Job, u.Change, version, now) {
				startCalls = append(startCalls, d.newStartCall(s, now))
			}
			if u.State.Phase.IsFinal() && d.scheduler.IsEndRecorded(u.Job) {
				d.scheduler.Remove(u.Job)
				d.ended = append(d.ended, endedPlan{u.Part, u.Job, now})
				d.endedIn[u.Job] = u.Part
				events.PlanEnded.Log(ctx, d.Log, "plan", u.Job, "phase", u.State.Phase, "version", version)
			}
		}
		for l, id := range d.awaiting {
			if !d.scheduler.HasUnrecordedEnds(id) {
				clock.Signal(l.recorded)
			}
		}
	})
	for _, call := range startCalls {
		d.goCall(ctx, workStart, func() { d.start(ctx, call) })
	}
}

// refreshVersions reads the versions of states after a conflict: an earlier
// transaction with an unknown outcome took effect after all, or there is a later
// owner. In the latter case it ends the ownership. It reports whether all versions
// were read.
func (d *Driver) refreshVersions(ctx context.Context, part hoist.PartName, list []sched.UnrecordedState) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fence, err := d.Store.Get(ctx, keys.Fence(part))
	if err != nil {
		return false
	}
	if fence.Version != d.Claim.Version {
		d.Claim.StepDown()
		return false
	}
	for _, u := range list {
		row, err := d.Store.Get(ctx, keys.State(u.Part, u.Job))
		if err != nil {
			return false
		}
		d.update(ctx, workRecord, func() { d.scheduler.SetVersion(u.Job, row.Version) })
	}
	return true
}
