package plans

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// maxBytesPerCommit bounds the values in one transaction, which may have 1 MB; on the wire
	// they take a third more.
	maxBytesPerCommit = 600_000
	// maxStatesPerCommit bounds the states in one transaction: each takes up to four
	// of its 100 entries.
	maxStatesPerCommit = 20
	// recordInterval is the shortest interval at which changes are recorded that
	// nothing waits for. While the store is slow, the interval is
	// recordIntervalFactor times as long as a transaction takes, because such
	// changes delay those that something waits for.
	recordInterval       = 250 * time.Millisecond
	recordIntervalFactor = 4
	// failuresPerLogLine is how many consecutive failures one log line stands for.
	failuresPerLogLine = 20
	// minRecordTimeout and maxRecordTimeout bound the time-out of a transaction, which
	// is recordTimeoutFactor times as long as the last one took.
	minRecordTimeout    = 900 * time.Millisecond
	maxRecordTimeout    = 2500 * time.Millisecond
	recordTimeoutFactor = 4
)

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
	txn, n := d.transaction(ctx, rec.part, list)
	list = list[:n]
	callCtx, cancel := context.WithTimeout(ctx, rec.timeout)
	version, err := d.records.Commit(callCtx, txn)
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
const refusedStateDelay = time.Second

// isolate finds the state that makes the store refuse a transaction, so that the
// other states of the part are recorded.
func (d *Driver) isolate(ctx context.Context, rec *recorder, list []sched.UnrecordedState) {
	if len(list) > 1 {
		rec.singles = len(list)
		return
	}
	d.update(ctx, workRecord, func() { d.recordRefusal(ctx, list[0]) })
}

// recordRefusal handles a state that the store refuses by itself. If it refuses the state again
// although it has recorded others in between, the plan is quarantined: its ends could never be
// acknowledged, and with them no later ones of the same workers. d.mu must be held.
func (d *Driver) recordRefusal(ctx context.Context, u sched.UnrecordedState) {
	now := d.Clock.Now()
	since, isKnown := d.refusedSince[u.Job]
	if !isKnown {
		d.refusedSince[u.Job] = now
	}
	d.scheduler.DeferRecording(u.Job, now.Add(refusedStateDelay))
	if !isKnown || !d.recordedAt.After(since) {
		return
	}
	delete(d.refusedSince, u.Job)
	d.hold(ctx, quar.Entry{
		Ref: quar.Ref{Part: u.Part, Job: u.Job}, Queue: u.State.Queue, Reason: "the store refuses the state of the plan", IsHeld: true,
		LosesEnds: true, At: now,
	})
}

// transaction returns the transaction that writes the first states of a list, as many as fit
// into one, and how many those are.
func (d *Driver) transaction(ctx context.Context, part hoist.PartName, list []sched.UnrecordedState) (hoist.Transaction, int) {
	txn := hoist.Transaction{Preconditions: []hoist.Precondition{{RowRef: keys.Fence(part), Version: d.Claim.Version}}}
	bytes := 0
	for i, u := range list {
		value := codec.EncodePlanState(u.State)
		bytes += len(value)
		if i > 0 && bytes > maxBytesPerCommit {
			return txn, i
		}
		if u.OmittedCheckpoints > 0 {
			events.CheckpointsOmitted.Log(ctx, d.Log, "plan", u.Job, "omitted", u.OmittedCheckpoints, "bytes", len(value))
		}
		ref := keys.State(u.Part, u.Job)
		txn.Preconditions = append(txn.Preconditions, hoist.Precondition{RowRef: ref, Version: u.Version})
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: ref, Value: value})
		if u.HasEnded {
			txn.Remove = append(txn.Remove, keys.Plan(u.Part, u.Job), keys.Cancel(u.Part, u.Job))
		}
	}
	return txn, len(list)
}

// recorded marks states as recorded and sends the starts that waited for them.
func (d *Driver) recorded(ctx context.Context, list []sched.UnrecordedState, version hoist.RowVersion) {
	var startCalls []startCall
	d.update(ctx, workRecord, func() {
		now := d.Clock.Now()
		d.recordedAt = now
		for _, u := range list {
			delete(d.refusedSince, u.Job)
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
