package work

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Fault describes how calls to a worker fail. The zero value is healthy.
type Fault struct {
	// Down makes every call hang until its context ends, with no effect.
	Down bool
	// HangReports makes calls that return a report hang.
	HangReports bool
	// LoseStarts, LoseStops and LoseRenews let this many calls take effect and
	// then lose the answer.
	LoseStarts, LoseStops, LoseRenews int
	// DropStarts loses this many starts before they take effect.
	DropStarts int
	// LateStarts loses the answers of this many starts, which take effect after
	// LateBy.
	LateStarts int
	LateBy     time.Duration
	// RefuseStarts refuses this many starts.
	RefuseStarts int
	// Delay is added to each call before it takes effect.
	Delay time.Duration
}

// SetFault replaces the fault of the calls made through Direct.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Direct returns a client that calls the worker in this process.
func (w *Worker) Direct() hoist.Worker {
	w.init()
	return direct{w}
}

type direct struct{ w *Worker }

// enter applies the faults that precede the effect of a call.
func (d direct) enter(ctx context.Context, isReport bool) error {
	d.w.mu.Lock()
	f := d.w.fault
	d.w.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Down || (f.HangReports && isReport) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("worker %s does not answer", d.w.ID))
	}
	return nil
}

// take reports whether a counter of the fault is above zero and lowers it.
func (d direct) take(counter func(*Fault) *int) bool {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	n := counter(&d.w.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (d direct) lose(err error, counter func(*Fault) *int) error {
	if d.take(counter) {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("worker %s: answer lost by fault injection", d.w.ID))
	}
	return err
}

// Adopt implements hoist.Worker.
func (d direct) Adopt(ctx context.Context, term hoist.Term) (hoist.WorkerReport, error) {
	if err := d.enter(ctx, true); err != nil {
		return hoist.WorkerReport{}, err
	}
	return d.w.adopt(term)
}

// Start implements hoist.Worker.
func (d direct) Start(ctx context.Context, g hoist.Grant) error {
	if err := d.enter(ctx, false); err != nil {
		return err
	}
	if d.take(func(f *Fault) *int { return &f.RefuseStarts }) {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessage("refused by fault injection"))
	}
	if d.take(func(f *Fault) *int { return &f.DropStarts }) {
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("dropped by fault injection"))
	}
	if d.take(func(f *Fault) *int { return &f.LateStarts }) {
		d.w.mu.Lock()
		late := d.w.fault.LateBy
		d.w.mu.Unlock()
		// The error of a late start reaches nobody.
		time.AfterFunc(late, func() { _ = d.w.start(g) })
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("delayed by fault injection"))
	}
	return d.lose(d.w.start(g), func(f *Fault) *int { return &f.LoseStarts })
}

// Renew implements hoist.Worker.
func (d direct) Renew(ctx context.Context, term hoist.Term, lease time.Duration, acked []hoist.TaskAttempt) (hoist.WorkerReport, error) {
	if err := d.enter(ctx, true); err != nil {
		return hoist.WorkerReport{}, err
	}
	report, err := d.w.renew(term, lease, acked)
	return report, d.lose(err, func(f *Fault) *int { return &f.LoseRenews })
}

// Stop implements hoist.Worker.
func (d direct) Stop(ctx context.Context, term hoist.Term, a hoist.TaskAttempt, mode hoist.StopMode) error {
	if err := d.enter(ctx, false); err != nil {
		return err
	}
	return d.lose(d.w.stop(term, a, mode), func(f *Fault) *int { return &f.LoseStops })
}
