package plans

import (
	"context"
	"errors"
	"io"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
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
	// startTimeout bounds a start. A worker answers within milliseconds; a request
	// without an answer may take effect much later.
	startTimeout = 250 * time.Millisecond
	// stopTimeout bounds a stop.
	stopTimeout = 500 * time.Millisecond
	// maxPollBackoff bounds the delay between polls of an unresponsive worker.
	maxPollBackoff = 400 * time.Millisecond
)

// link is the connection to one worker, with the state of the polls.
type link struct {
	runner hoist.Runner
	addr   string
	// via is the relay through which the worker is called; it is empty if the owner
	// calls the worker itself.
	via    hoist.HostID
	cancel context.CancelFunc
	// recorded is a flag that is set when states have been recorded.
	recorded chan struct{}
	// workerClock is the reading of the worker's clock at clockReadAt, which is zero
	// before the first answer.
	workerClock hoist.WorkerClock
	clockReadAt time.Time
	// isUnresponsive is set if the last poll got no answer.
	isUnresponsive bool
	// isConnClosed is set when the connection that carries acknowledgements has been
	// closed.
	isConnClosed bool
}

// registryLoop follows the platform's registry of workers.
func (d *Driver) registryLoop(ctx context.Context) {
	entries := make(map[hoist.WorkerID]hoist.WorkerEntry)
	var after hoist.RowVersion
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, changesWait+storeTimeout)
		changes, err := d.Registry.Workers(callCtx, after, changesWait)
		cancel()
		if err != nil {
			if errors.Is(err, hoist.ErrHistoryLost) {
				after = 0
			}
			clock.Sleep(ctx, retryDelay)
			continue
		}
		after = changes.Next
		if changes.IsAll {
			clear(entries)
		}
		for _, e := range changes.Changed {
			entries[e.Worker] = e
		}
		for _, id := range changes.Removed {
			delete(entries, id)
		}
		d.setWorkers(ctx, entries)
		clock.Sleep(ctx, minRegistryInterval+time.Duration(len(entries))*registryIntervalPerWorker)
	}
}

const (
	// minRegistryInterval is the shortest time between two reads of the registry, which
	// every worker updates regularly.
	minRegistryInterval = 150 * time.Millisecond
	// registryIntervalPerWorker is added to it for each worker, as each read updates
	// all of them.
	registryIntervalPerWorker = 100 * time.Microsecond
)

// setWorkers passes the entries of the registry to the scheduler, and starts and stops
// goroutines so that each worker of the scheduler is polled at its current address.
func (d *Driver) setWorkers(ctx context.Context, entries map[hoist.WorkerID]hoist.WorkerEntry) {
	list := make([]hoist.WorkerEntry, 0, len(entries))
	for _, e := range entries {
		if d.HasService == nil || d.HasService(e.Service) {
			list = append(list, e)
		}
	}
	if d.isFirstList() && d.shares.NeedsRelays(len(list)) {
		d.Relays.await(ctx, len(list))
	}
	d.update(ctx, workRegistry, func() {
		d.listed = list
		d.applyWorkers(ctx)
	})
	d.requestPass()
}

// isFirstList reports whether no list of workers has been applied yet.
func (d *Driver) isFirstList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed == nil
}

// reassignLoop assigns the workers anew when the relays have changed.
func (d *Driver) reassignLoop(ctx context.Context) {
	for clock.SleepOr(ctx, time.Second, d.reassignDue) {
		d.update(ctx, workRelay, func() {
			if d.listed != nil {
				d.applyLinks(ctx)
			}
		})
		// Relays that come or go together cause one assignment.
		clock.Sleep(ctx, reassignPause)
	}
}

// reassignPause is the shortest time between two assignments because of a change of
// the relays.
const reassignPause = 50 * time.Millisecond

// applyWorkers passes the list of workers to the scheduler and adjusts the links. d.mu
// must be held.
func (d *Driver) applyWorkers(ctx context.Context) {
	d.scheduler.SetWorkers(d.listed, d.Clock.Now())
	d.applyLinks(ctx)
}

// applyLinks assigns the workers to relays, and starts and stops goroutines so that each
// worker of the scheduler is polled at its current address through its relay. d.mu must
// be held.
func (d *Driver) applyLinks(ctx context.Context) {
	ids := d.scheduler.WorkerIDs()
	d.assign(ctx, ids)
	wanted := make(map[hoist.WorkerID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
		entry, _ := d.scheduler.WorkerEntry(id)
		via, _ := d.shares.Relay(id)
		l, ok := d.links[id]
		if ok && l.addr == entry.Addr && l.via == via {
			continue
		}
		if ok {
			l.cancel()
		}
		d.openLink(ctx, entry, via)
	}
	for id, l := range d.links {
		if !wanted[id] {
			l.cancel()
			delete(d.links, id)
		}
	}
}

// assign assigns workers to relays. d.mu must be held.
func (d *Driver) assign(ctx context.Context, ids []hoist.WorkerID) {
	needed := 0
	if d.shares.NeedsRelays(len(ids)) {
		needed = len(ids)
	}
	d.Relays.watch(ctx, needed)
	before := len(d.shares.Relays())
	moved := d.shares.Update(ids, d.Relays.up())
	if moved > 0 || len(d.shares.Relays()) != before {
		events.RelaysChanged.Log(ctx, d.Log, "relays", len(d.shares.Relays()), "workers", len(ids), "moved", moved)
	}
}

// openLink starts polling a worker through a relay, or directly if via is empty. d.mu
// must be held.
func (d *Driver) openLink(ctx context.Context, entry hoist.WorkerEntry, via hoist.HostID) {
	runner := hoist.Runner(nil)
	if relay, ok := d.Relays.relay(via); ok {
		runner = relay.Runner(entry)
	} else {
		runner = d.Dial(entry)
	}
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{runner: runner, addr: entry.Addr, via: via, cancel: cancel, recorded: make(chan struct{}, 1)}
	d.links[entry.Worker] = l
	d.calls.Go(func() {
		defer closeRunner(runner)
		d.Guard.Loop(linkCtx, workPoll, func() { d.pollLoop(linkCtx, entry.Worker, l) })
	})
}

// closeRunner closes the connections of a client of a worker, if it has any of its own.
func closeRunner(r hoist.Runner) {
	if c, ok := r.(io.Closer); ok {
		// The client is discarded, so an error has no effect.
		_ = c.Close()
	}
}

// pollLoop polls one worker, which renews its lease and reports what runs there.
func (d *Driver) pollLoop(ctx context.Context, id hoist.WorkerID, l *link) {
	failures := 0
	for ctx.Err() == nil {
		d.awaitRecorded(ctx, id, l)
		req := d.newPollRequest(ctx, id, l)
		if d.poll(ctx, id, l, req) {
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

// newPollRequest returns a request that extends the lease as far as the ownership
// allows. The first poll only reads the clock, and so does a poll after one without
// an answer or after the connection was closed: the lease of an unresponsive worker
// must expire, and if the worker has restarted, its ends have new numbers.
func (d *Driver) newPollRequest(ctx context.Context, id hoist.WorkerID, l *link) hoist.PollRequest {
	req := hoist.PollRequest{Term: d.Claim.Term, EnablesAcks: true}
	d.update(ctx, workPoll, func() {
		if l.clockReadAt.IsZero() || l.isUnresponsive || l.isConnClosed {
			return
		}
		req.Acked = d.scheduler.AckableEnd(id)
		req.Lease = d.lease(id, l, d.Clock.Now())
		if !d.scheduler.HasUnrecordedEnds(id) {
			// If ends are listed, the worker answers at once instead of waiting.
			req.Wait = pollWait
			if d.losses.isLossy(d.Clock.Now()) {
				req.Wait = shortPollWait
			}
		}
	})
	return req
}

// pollLimit returns the time-out of a poll.
func (d *Driver) pollLimit(req hoist.PollRequest) time.Duration {
	if d.losses.isLossy(d.Clock.Now()) {
		return req.Wait + shortPollTimeout
	}
	return req.Wait + pollTimeout
}

// lease returns the time, on the worker's clock, at which the lease to grant to the
// worker expires, and records the lease. It returns 0 if no lease can be granted.
// d.mu must be held.
func (d *Driver) lease(id hoist.WorkerID, l *link, now time.Time) hoist.WorkerClock {
	if l.clockReadAt.IsZero() {
		return 0
	}
	left := min(claim.LeaseTime, d.Claim.GrantUntil().Sub(now))
	if left <= 0 {
		return 0
	}
	lease := l.workerClock + hoist.WorkerClock(now.Sub(l.clockReadAt)+left)
	d.scheduler.RecordLease(id, lease, l.workerClock, l.clockReadAt)
	return lease
}

// poll polls a worker and passes its report to the scheduler. It reports whether the
// worker answered.
func (d *Driver) poll(ctx context.Context, id hoist.WorkerID, l *link, req hoist.PollRequest) bool {
	sentAt := d.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, d.pollLimit(req))
	defer cancel()
	report, err := l.runner.Poll(callCtx, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil && req.Acked > 0 && errors.Is(err, hoist.ErrUnavailable) {
		d.mu.Lock()
		defer d.mu.Unlock()
		l.isConnClosed = true
		return false
	}
	if err != nil {
		d.recordPollFailure(ctx, id, l, err)
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
	isDone := d.update(ctx, workPoll, func() { d.applyReport(ctx, id, l, req, report, sentAt, now) })
	d.requestPass()
	return isDone
}

// applyReport passes the report of a worker to the scheduler. d.mu must be held.
func (d *Driver) applyReport(
	ctx context.Context, id hoist.WorkerID, l *link, req hoist.PollRequest, report hoist.RunnerReport, sentAt, now time.Time,
) {
	if l.isUnresponsive {
		events.WorkerResponsive.Log(ctx, d.Log, "worker", id, "life", report.Incarnation)
	}
	l.isUnresponsive = false
	if req.EnablesAcks {
		l.isConnClosed = false
	}
	l.workerClock, l.clockReadAt = report.Clock, now
	for _, e := range report.Ends {
		if e.No > req.Acked && d.scheduler.IsNewEnd(id, e.No) {
			events.RunEnded.Log(ctx, d.Log, "plan", e.Run.Task.Job, "task", taskName(e.Run.Task), "attempt", e.Run.Attempt,
				"worker", id, "how", e.Kind, "end", e.No)
			if d.Metrics != nil {
				d.Metrics.RecordEnd(e.Kind)
			}
		}
	}
	d.scheduler.RecordReport(id, report, sentAt, now)
}

// recordPollFailure handles a poll without an answer.
func (d *Driver) recordPollFailure(ctx context.Context, id hoist.WorkerID, l *link, err error) {
	if errors.Is(err, hoist.ErrStaleTerm) {
		d.Claim.StepDown()
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
		if errors.Is(err, hoist.ErrNotListening) && d.scheduler.RecordExit(id, d.Clock.Now()) {
			events.WorkerLeft.Log(ctx, d.Log, "worker", id)
			d.requestPass()
		}
	})
	if !wasUnresponsive {
		events.WorkerUnresponsive.Log(ctx, d.Log, "worker", id, "error", err)
	}
}

// startCall is a start with the request and the link to send it over.
type startCall struct {
	start   sched.Start
	link    *link
	request hoist.StartRequest
}

// newStartCall returns the call for a start. d.mu must be held.
func (d *Driver) newStartCall(s sched.Start, now time.Time) startCall {
	call := startCall{start: s, link: d.links[s.Worker]}
	call.request = hoist.StartRequest{Run: s.Run, Term: d.Claim.Term, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket}
	if call.link != nil {
		call.request.Lease = d.lease(s.Worker, call.link, now)
	}
	return call
}

// start sends a start and records its outcome.
func (d *Driver) start(ctx context.Context, call startCall) {
	err := d.sendStart(ctx, call)
	if errors.Is(err, hoist.ErrStaleTerm) {
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
		// The worker may run the attempt although its answer was lost.
		d.losses.record(call.start.Worker, d.Clock.Now())
		d.pollNow(ctx, call.start.Worker, call.link)
	}
	d.update(ctx, workStart, func() { d.recordStart(call.start, err) })
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

func (d *Driver) sendStart(ctx context.Context, call startCall) error {
	if call.link == nil || call.request.Lease == 0 {
		// Nothing was sent.
		return hoist.ErrUnavailable
	}
	// The call goes on even if the ownership ends now. Cancelling it would only
	// make its outcome unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	_, err := call.link.runner.Start(ctx, call.request)
	return err
}

// sendStop sends a stop over a link, which is nil for a worker without an
// address.
func (d *Driver) sendStop(ctx context.Context, l *link, s sched.Stop) error {
	if l == nil {
		return hoist.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return l.runner.Stop(ctx, s.Run, d.Claim.Term)
}

// stop sends a stop and records its outcome.
func (d *Driver) stop(ctx context.Context, s sched.Stop) {
	d.mu.Lock()
	l := d.links[s.Worker]
	d.mu.Unlock()
	err := d.sendStop(ctx, l, s)
	if errors.Is(err, hoist.ErrStaleTerm) {
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

// pollNow polls a worker without waiting for an end, and acknowledges none. A poll
// that is in flight may have been sent before the start or stop.
func (d *Driver) pollNow(ctx context.Context, id hoist.WorkerID, l *link) {
	req := d.newPollRequest(ctx, id, l)
	req.Wait, req.Acked, req.EnablesAcks = 0, 0, false
	d.poll(ctx, id, l, req)
}
