package plans

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// pollWait is how long a worker waits for an end before it answers a poll.
	pollWait = time.Second
	// pollTimeout bounds the time for the answer, in addition to pollWait.
	pollTimeout = 600 * time.Millisecond
	// shortPollWait and shortPollTimeout replace them while calls are lost.
	shortPollWait    = 300 * time.Millisecond
	shortPollTimeout = 250 * time.Millisecond
	// minPollInterval is the shortest time between two polls of a worker, so that
	// ends which happen close together are read together.
	minPollInterval = 20 * time.Millisecond
	// ackWait is how long a poll is delayed until the ends of the last one are
	// recorded, so that it can acknowledge them.
	ackWait = 300 * time.Millisecond
	// maxPollBackoff bounds the delay between polls of an unresponsive worker.
	maxPollBackoff = 400 * time.Millisecond
)

// pollLoop polls one worker, which renews its lease and reports what runs there.
func (d *Driver) pollLoop(ctx context.Context, id hoist.WorkerID, l *link) {
	failures := 0
	for ctx.Err() == nil {
		d.awaitRecorded(ctx, id, l)
		d.awaitOpening(ctx, id)
		call := d.newPollCall(ctx, id, l)
		if d.poll(ctx, id, l, call) {
			failures = 0
			clock.Sleep(ctx, minPollInterval)
			continue
		}
		failures++
		clock.Sleep(ctx, min(maxPollBackoff, time.Duration(failures)*50*time.Millisecond))
	}
}

// awaitRecorded waits until the ends that a worker listed are recorded, for at most
// ackWait. The worker answers polls at once as long as it lists any end.
func (d *Driver) awaitRecorded(ctx context.Context, id hoist.WorkerID, l *link) {
	deadline := d.Clock.Now().Add(ackWait)
	for ctx.Err() == nil {
		isOpen, left := false, deadline.Sub(d.Clock.Now())
		d.update(ctx, workPoll, func() {
			isOpen = left > 0 && d.scheduler.HasUnrecordedEnds(id)
			if isOpen {
				d.awaiting[l] = id
			} else {
				delete(d.awaiting, l)
			}
		})
		if !isOpen {
			return
		}
		clock.SleepOr(ctx, left, l.recorded)
	}
	d.update(ctx, workPoll, func() { delete(d.awaiting, l) })
}

// pollCall is a poll with its lease.
type pollCall struct {
	request hoist.PollRequest
	lease   sched.Lease
	poll    sched.Poll
}

// newPollCall returns a poll that extends the lease as far as the ownership
// allows. The first poll of a session only reads the clock, and so does a poll after one without
// an answer or after the connection was closed: the lease of an unresponsive worker
// must expire, and if the worker has restarted, its ends have new numbers.
func (d *Driver) newPollCall(ctx context.Context, id hoist.WorkerID, l *link) pollCall {
	var call pollCall
	d.update(ctx, workPoll, func() {
		now := d.Clock.Now()
		call.poll = d.scheduler.NewPoll(id, now)
		call.request = hoist.PollRequest{Token: call.poll.Token, EnablesAcks: true}
		if !l.hasAnswered || l.isUnresponsive || l.isConnClosed || d.scheduler.AwaitsReport(id) {
			// It does not wait for an end either, as starts wait for its answer.
			return
		}
		call.request.Acked, call.request.Incarnation = d.scheduler.AckableEnd(id)
		call.lease = d.scheduler.GrantLease(id, d.leaseLength(), now)
		call.request.Lease = call.lease.Until
		if call.lease.Until > 0 {
			l.openLease = call.lease
		}
		if !d.scheduler.HasUnrecordedEnds(id) && !d.scheduler.AwaitsOpening(id) {
			// If ends are listed, the worker answers at once instead of waiting.
			call.request.Wait = pollWait
			if d.losses.isLossy(now) {
				call.request.Wait = shortPollWait
			}
		}
	})
	return call
}

// pollLimit returns the time-out of a poll.
func (d *Driver) pollLimit(req hoist.PollRequest) time.Duration {
	if d.losses.isLossy(d.Clock.Now()) {
		return req.Wait + shortPollTimeout
	}
	return req.Wait + pollTimeout
}

// leaseLength returns how long a lease may be, as far as the ownership allows.
func (d *Driver) leaseLength() time.Duration {
	return min(hoist.LeaseTime, d.Claim.GrantTimeLeft())
}

// poll polls a worker and passes its report to the scheduler. It reports whether the
// worker answered.
func (d *Driver) poll(ctx context.Context, id hoist.WorkerID, l *link, call pollCall) bool {
	req := call.request
	callCtx, cancel := context.WithTimeout(ctx, d.pollLimit(req))
	defer cancel()
	report, err := l.runner.Poll(callCtx, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil && req.Acked > 0 && errors.Is(err, hoist.ErrUnavailable) {
		d.update(ctx, workPoll, func() {
			l.isConnClosed = true
			d.recordSilence(id, l, call, err)
		})
		return false
	}
	if err != nil {
		d.recordPollFailure(ctx, id, l, call, err)
		return false
	}
	now := d.Clock.Now()
	// Before the plans are recovered, ends of unknown plans would be acknowledged
	// and lost.
	select {
	case <-ctx.Done():
		return false
	case <-d.restored:
	}
	isAccepted := false
	awaitsOpening := false
	d.update(ctx, workPoll, func() {
		isAccepted = d.applyReport(ctx, id, l, call, report, now)
		awaitsOpening = d.scheduler.AwaitsOpening(id)
	})
	if awaitsOpening {
		clock.Signal(d.accountDue)
	}
	d.requestPass()
	return isAccepted
}

// applyReport passes the report of a worker to the scheduler, and reports whether it counts.
// d.mu must be held.
func (d *Driver) applyReport(
	ctx context.Context, id hoist.WorkerID, l *link, call pollCall, report hoist.RunnerReport, now time.Time,
) bool {
	if l.isUnresponsive {
		events.WorkerResponsive.Log(ctx, d.Log, "worker", id, "life", report.Incarnation)
	}
	l.isUnresponsive, l.hasAnswered = false, true
	l.closeLease(call.lease)
	if call.request.EnablesAcks {
		l.isConnClosed = false
	}
	for _, e := range report.Ends {
		if e.No > call.request.Acked && d.scheduler.IsNewEnd(id, e.No) {
			events.RunEnded.Log(ctx, d.Log, "plan", e.Run.Task.Job, "task", taskName(e.Run.Task), "attempt", e.Run.Attempt,
				"worker", id, "how", e.Kind, "end", e.No)
			if d.Metrics != nil {
				d.Metrics.RecordEnd(e.Kind)
			}
		}
	}
	d.scheduler.RecordAnswer(id, call.lease, report.Clock, now)
	return d.scheduler.RecordReport(id, report, call.poll, now)
}

// recordPollFailure handles a poll without an answer.
func (d *Driver) recordPollFailure(ctx context.Context, id hoist.WorkerID, l *link, call pollCall, err error) {
	if d.isReplaced(id, call.request.Token, err) {
		d.Claim.StepDown()
		return
	}
	if errors.Is(err, hoist.ErrStaleTerm) {
		// The worker has answered a request of a later session meanwhile.
		return
	}
	isRelayLost := l.via != "" && !d.Relays.isUp(l.via)
	if !errors.Is(err, hoist.ErrNotListening) && !isRelayLost {
		d.losses.record(id, d.Clock.Now())
	}
	wasUnresponsive := false
	d.update(ctx, workPoll, func() {
		wasUnresponsive = l.isUnresponsive
		l.isUnresponsive = true
		d.recordSilence(id, l, call, err)
	})
	if !wasUnresponsive {
		events.WorkerUnresponsive.Log(ctx, d.Log, "worker", id, "error", err)
	}
}

// closeLease records that the poll with a lease is not in flight any more. Leases of one link are
// told apart by their times.
func (l *link) closeLease(lease sched.Lease) {
	if l.openLease == lease {
		l.openLease = sched.Lease{}
	}
}

// recordSilence records a poll without an answer. d.mu must be held.
func (d *Driver) recordSilence(id hoist.WorkerID, l *link, call pollCall, err error) {
	lease := call.lease
	l.closeLease(lease)
	if !errors.Is(err, hoist.ErrOutcomeUnknown) {
		lease = sched.Lease{}
	}
	d.scheduler.RecordSilence(id, lease, d.Clock.Now())
}

// isReplaced reports whether a worker has refused a request because it has seen the token of a
// later owner. If the session of the request has ended, the token may be one of this owner.
func (d *Driver) isReplaced(id hoist.WorkerID, token hoist.FencingToken, err error) bool {
	if !errors.Is(err, hoist.ErrStaleTerm) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.IsTokenCurrent(id, token)
}

// pollNow polls a worker without waiting for an end, and acknowledges none. A poll
// that is in flight may have been sent before the start or stop.
func (d *Driver) pollNow(ctx context.Context, id hoist.WorkerID, l *link) {
	call := d.newPollCall(ctx, id, l)
	call.request.Wait, call.request.Acked, call.request.EnablesAcks = 0, 0, false
	d.poll(ctx, id, l, call)
}
