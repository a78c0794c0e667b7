package plans

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// startTimeout bounds a start. A worker answers within milliseconds; a request
	// without an answer may take effect much later.
	startTimeout = 250 * time.Millisecond
	// stopTimeout bounds a stop.
	stopTimeout = 500 * time.Millisecond
)

// startCall is a start with the request and the link to send it over.
type startCall struct {
	start   sched.Start
	link    *link
	lease   sched.Lease
	request hoist.StartRequest
	// maySend is set if the worker may get the start.
	maySend bool
}

// newStartCall returns the call for a start. d.mu must be held.
func (d *Driver) newStartCall(s sched.Start, now time.Time) startCall {
	call := startCall{start: s, link: d.links[s.Worker]}
	call.request = hoist.StartRequest{Run: s.Run, Token: s.Token, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket}
	if call.link != nil {
		call.lease = d.scheduler.GrantLease(s.Worker, d.leaseLength(), now)
		call.request.Lease = call.lease.Until
		call.maySend = call.request.Lease > 0
	}
	return call
}

// start sends a start and records its outcome.
func (d *Driver) start(ctx context.Context, call startCall) {
	workerClock, err := d.sendStart(ctx, call)
	if d.isReplaced(call.start.Worker, call.start.Token, err) {
		d.Claim.StepDown()
		return
	}
	run := call.start.Run
	attrs := []any{"plan", run.Task.Job, "task", taskName(run.Task), "attempt", run.Attempt, "worker", call.start.Worker, "term", d.Claim.Term}
	switch {
	case err == nil:
		events.RunStarted.Log(ctx, d.Log, attrs...)
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		events.RunOutcomeUnknown.Log(ctx, d.Log, append(attrs, "error", err)...)
	default:
		events.RunRefused.Log(ctx, d.Log, append(attrs, "error", err)...)
	}
	if d.Metrics != nil {
		d.Metrics.RecordStart(outcomeOf(err))
	}
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		// The worker may run the attempt although its answer was lost. The poll has a higher
		// token, so that the start has no effect any more once the poll is answered.
		d.losses.record(call.start.Worker, d.Clock.Now())
		d.update(ctx, workStart, func() { d.scheduler.RecordLostStart(call.start.Worker, call.lease, d.Clock.Now()) })
		d.pollNow(ctx, call.start.Worker, call.link)
	}
	d.update(ctx, workStart, func() {
		d.scheduler.RecordAnswer(call.start.Worker, call.lease, workerClock, d.Clock.Now())
		d.recordStart(call.start, err)
	})
	if err != nil {
		d.requestPass()
	}
}

// recordStart passes the outcome of a start to the scheduler. d.mu must be held.
func (d *Driver) recordStart(s sched.Start, err error) {
	now := d.Clock.Now()
	queue := d.scheduler.RecordStart(s.Worker, s.Run, err, now)
	job, ok := d.scheduler.Job(s.Run.Task.Job)
	if queue != "" && ok && d.Metrics != nil {
		d.Metrics.ObserveWait(queue, now.Sub(job.Plan.Accepted))
	}
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "started"
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		return "unknown"
	default:
		return "refused"
	}
}

// sendStart sends a start and returns the clock of the worker in the answer, or hoist.UnknownClock.
func (d *Driver) sendStart(ctx context.Context, call startCall) (hoist.WorkerClock, error) {
	if !call.maySend {
		// Nothing was sent.
		return hoist.UnknownClock, hoist.ErrUnavailable
	}
	// The call goes on even if the ownership ends now. Cancelling it would only
	// make its outcome unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	return call.link.runner.Start(ctx, call.request)
}

// sendStop sends a stop over a link, which is nil for a worker without an
// address.
func (d *Driver) sendStop(ctx context.Context, l *link, s sched.Stop, token hoist.FencingToken) error {
	if l == nil {
		return hoist.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return l.runner.Stop(ctx, s.Run, token)
}

// stop sends a stop and records its outcome.
func (d *Driver) stop(ctx context.Context, s sched.Stop) {
	d.mu.Lock()
	l, token := d.links[s.Worker], d.scheduler.Token(s.Worker)
	d.mu.Unlock()
	err := d.sendStop(ctx, l, s, token)
	if d.isReplaced(s.Worker, token, err) {
		d.Claim.StepDown()
		return
	}
	attrs := []any{"plan", s.Run.Task.Job, "task", taskName(s.Run.Task), "attempt", s.Run.Attempt, "worker", s.Worker}
	d.update(ctx, workStop, func() { d.scheduler.RecordStop(s.Worker, s.Run, err, d.Clock.Now()) })
	if err != nil {
		events.RunStopFailed.Log(ctx, d.Log, append(attrs, "error", err)...)
		return
	}
	events.RunStopped.Log(ctx, d.Log, attrs...)
	d.pollNow(ctx, s.Worker, l)
}
