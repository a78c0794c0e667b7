package work

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Fault describes how calls to a worker fail. The zero value injects no fault.
type Fault struct {
	// Down makes every call block until its context ends, without effect.
	Down bool
	// Unreachable makes every call fail at once, without effect.
	Unreachable bool
	// FailReports does the same to the calls that return a report.
	FailReports bool
	// HangReports does the same as Down to the calls that return a report.
	HangReports bool
	// LoseStarts, LoseStops and LoseRenews are how many of the next calls of each
	// kind take effect although their answer is lost.
	LoseStarts, LoseStops, LoseRenews int
	// DropStarts is how many of the next starts are lost without effect.
	DropStarts int
	// LateStarts is how many of the next starts take effect only after LateBy,
	// and without an answer.
	LateStarts int
	// LateRenews is the same for renewals.
	LateRenews int
	LateBy     time.Duration
	// RefuseStarts is how many of the next starts fail with hoist.ErrNoCapacity.
	RefuseStarts int
	// Delay is added to each call before it takes effect.
	Delay time.Duration
}

// SetFault replaces the fault that applies to calls of the client from Direct.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Direct returns a client that calls the worker within this process, without HTTP.
func (w *Worker) Direct() hoist.Worker {
	w.init()
	return direct{w}
}

// direct implements hoist.Worker for a Worker in this process.
type direct struct{ w *Worker }

// runLate calls fn after LateBy.
func (d direct) runLate(fn func()) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	time.AfterFunc(d.w.fault.LateBy, fn)
}

// applyFault applies the faults that come before the effect of a call, and returns
// hoist.ErrOutcomeUnknown if the call gets no answer.
func (d direct) applyFault(ctx context.Context, isReport bool) error {
	d.w.mu.Lock()
	f := d.w.fault
	d.w.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Unreachable || (f.FailReports && isReport) {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("worker %s cannot be reached", d.w.ID))
	}
	if f.Down || (f.HangReports && isReport) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("worker %s does not answer", d.w.ID))
	}
	return nil
}

// consume decrements a counter of the fault if it is above zero, and reports whether
// it was.
func (d direct) consume(counter func(*Fault) *int) bool {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	n := counter(&d.w.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// loseAnswer returns the error of a call, or hoist.ErrOutcomeUnknown if the counter
// was above zero, which it decrements.
func (d direct) loseAnswer(err error, counter func(*Fault) *int) error {
	if d.consume(counter) {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("worker %s: answer lost by fault injection", d.w.ID))
	}
	return err
}

// Adopt implements hoist.Worker.
func (d direct) Adopt(ctx context.Context, term hoist.Term) (hoist.WorkerReport, error) {
	if err := d.applyFault(ctx, true); err != nil {
		return hoist.WorkerReport{}, err
	}
	return d.w.adopt(term)
}

// Start implements hoist.Worker.
func (d direct) Start(ctx context.Context, g hoist.Grant) error {
	if err := d.applyFault(ctx, false); err != nil {
		return err
	}
	if d.consume(func(f *Fault) *int { return &f.RefuseStarts }) {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessage("start refused by fault injection"))
	}
	if d.consume(func(f *Fault) *int { return &f.DropStarts }) {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("start lost by fault injection"))
	}
	if d.consume(func(f *Fault) *int { return &f.LateStarts }) {
		// The caller has its answer already, so the error is dropped.
		d.runLate(func() { _ = d.w.start(g) })
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("start delayed by fault injection"))
	}
	return d.loseAnswer(d.w.start(g), func(f *Fault) *int { return &f.LoseStarts })
}

// Renew implements hoist.Worker.
func (d direct) Renew(ctx context.Context, term hoist.Term, lease time.Duration, acked []hoist.TaskAttempt) (hoist.WorkerReport, error) {
	if err := d.applyFault(ctx, true); err != nil {
		return hoist.WorkerReport{}, err
	}
	if d.consume(func(f *Fault) *int { return &f.LateRenews }) {
		// As for a late start, the error is dropped.
		d.runLate(func() { _, _ = d.w.renew(term, lease, acked) })
		return hoist.WorkerReport{}, merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("renewal delayed by fault injection"))
	}
	report, err := d.w.renew(term, lease, acked)
	return report, d.loseAnswer(err, func(f *Fault) *int { return &f.LoseRenews })
}

// Stop implements hoist.Worker.
func (d direct) Stop(ctx context.Context, term hoist.Term, a hoist.TaskAttempt, mode hoist.StopMode) error {
	if err := d.applyFault(ctx, false); err != nil {
		return err
	}
	return d.loseAnswer(d.w.stop(term, a, mode), func(f *Fault) *int { return &f.LoseStops })
}
