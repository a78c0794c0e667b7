package drive

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// lookWait is how long a worker waits for an end before it answers a look.
	lookWait = time.Second
	// lookTimeout is the time for the answer, besides lookWait.
	lookTimeout = 600 * time.Millisecond
	// shortWait and shortTimeout stand for them while calls are lost.
	shortWait    = 300 * time.Millisecond
	shortTimeout = 250 * time.Millisecond
	// lookGap is the shortest time between two looks at a worker, so that ends
	// which come close together are read together.
	lookGap = 20 * time.Millisecond
	// ackWait is how long a look waits for the recording of ends, so that it can
	// acknowledge them.
	ackWait = 300 * time.Millisecond
	// startTimeout bounds a start. A worker answers within milliseconds; an
	// order without an answer may be carried out much later.
	startTimeout = 250 * time.Millisecond
	// stopTimeout bounds a stop.
	stopTimeout = 500 * time.Millisecond
	// maxUnseenPause bounds the pause between looks at a silent worker.
	maxUnseenPause = 400 * time.Millisecond
)

// link is what the driver needs to talk to one worker.
type link struct {
	runner hoist.Runner
	addr   string
	cancel context.CancelFunc
	// recorded is set when states were recorded.
	recorded chan struct{}
	// clock is what the worker's clock showed at the time read; it is zero
	// before the first answer.
	clock  hoist.WorkerClock
	read   time.Time
	isLost bool
	// isClosed is set when the connection that carries acknowledgements is gone.
	isClosed bool
}

// registryLoop follows the platform's registry of workers.
func (d *Driver) registryLoop(ctx context.Context) {
	entries := make(map[hoist.WorkerID]hoist.WorkerEntry)
	var after hoist.RowVersion
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, feedWait+storeTimeout)
		changes, err := d.Registry.Workers(callCtx, after, feedWait)
		cancel()
		if err != nil {
			if errors.Is(err, hoist.ErrHistoryLost) {
				after = 0
			}
			clock.Pause(ctx, retryPause)
			continue
		}
		after = changes.Next
		if changes.IsAll {
			clear(entries)
		}
		for _, e := range changes.Changed {
			entries[e.Worker] = e
		}
		for _, id := range changes.Gone {
			delete(entries, id)
		}
		d.setWorkers(ctx, entries)
		clock.Pause(ctx, registryGap)
	}
}

// registryGap is the shortest time between two readings of the registry, where
// every worker writes regularly.
const registryGap = 150 * time.Millisecond

// setWorkers takes over the registry, and keeps a goroutine for each worker
// that must be looked at.
func (d *Driver) setWorkers(ctx context.Context, entries map[hoist.WorkerID]hoist.WorkerEntry) {
	list := make([]hoist.WorkerEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.SetWorkers(list, d.Clock.Now())
	wanted := make(map[hoist.WorkerID]bool)
	for _, id := range d.book.WorkerIDs() {
		wanted[id] = true
		entry, _ := d.book.Entry(id)
		l, ok := d.links[id]
		if ok && l.addr == entry.Addr {
			continue
		}
		if ok {
			l.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l = &link{runner: d.Dial(entry), addr: entry.Addr, cancel: cancel, recorded: make(chan struct{}, 1)}
		d.links[id] = l
		d.calls.Go(func() { d.lookLoop(linkCtx, id, l) })
	}
	for id, l := range d.links {
		if !wanted[id] {
			l.cancel()
			delete(d.links, id)
		}
	}
	d.wake()
}

func (d *Driver) allLinks() []*link {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*link, 0, len(d.links))
	for _, l := range d.links {
		out = append(out, l)
	}
	return out
}

// lookLoop renews the lease of one worker and follows what runs there.
func (d *Driver) lookLoop(ctx context.Context, id hoist.WorkerID, l *link) {
	failures := 0
	for ctx.Err() == nil {
		d.awaitRecorded(ctx, id, l)
		o := d.lookOrder(id, l)
		if d.look(ctx, id, l, o) {
			failures = 0
			clock.Pause(ctx, lookGap)
			continue
		}
		failures++
		clock.Pause(ctx, min(maxUnseenPause, time.Duration(failures)*50*time.Millisecond))
	}
}

// awaitRecorded waits until the ends that a worker listed are recorded. The
// worker answers a look at once as long as it lists any.
func (d *Driver) awaitRecorded(ctx context.Context, id hoist.WorkerID, l *link) {
	deadline := d.Clock.Now().Add(ackWait)
	for ctx.Err() == nil {
		d.mu.Lock()
		isOpen := d.book.HasUnrecordedEnds(id)
		d.mu.Unlock()
		left := deadline.Sub(d.Clock.Now())
		if !isOpen || left <= 0 {
			return
		}
		clock.PauseOr(ctx, left, l.recorded)
	}
}

// lookOrder composes a look that extends the lease as far as the ownership
// allows. The first look only reads the clock, and so do those after one without
// an answer or after the connection was closed: the lease of a lost worker must run
// out, and if the worker has started again, its ends have new numbers.
func (d *Driver) lookOrder(id hoist.WorkerID, l *link) hoist.PollRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := hoist.PollRequest{Term: d.Own.Term, EnablesAcks: true}
	if l.read.IsZero() || l.isLost || l.isClosed {
		return o
	}
	o.Acked = d.book.Acked(id)
	o.Lease = d.lease(id, l, d.Clock.Now())
	if !d.book.HasUnrecordedEnds(id) {
		// With ends listed the worker would answer at once, again and again.
		o.Wait = lookWait
		if d.losses.isMany(d.Clock.Now()) {
			o.Wait = shortWait
		}
	}
	return o
}

// lookLimit is the time for a look.
func (d *Driver) lookLimit(o hoist.PollRequest) time.Duration {
	if d.losses.isMany(d.Clock.Now()) {
		return o.Wait + shortTimeout
	}
	return o.Wait + lookTimeout
}

// lease returns the end of the lease to grant to a worker, on its clock, and
// notes it. The mutex is held.
func (d *Driver) lease(id hoist.WorkerID, l *link, now time.Time) hoist.WorkerClock {
	if l.read.IsZero() {
		return 0
	}
	left := min(claim.LeaseTime, d.Own.GrantUntil().Sub(now))
	if left <= 0 {
		return 0
	}
	lease := l.clock + hoist.WorkerClock(now.Sub(l.read)+left)
	d.book.RecordLease(id, lease, l.clock, l.read)
	return lease
}

// look asks a worker what it runs, and takes the answer over.
func (d *Driver) look(ctx context.Context, id hoist.WorkerID, l *link, o hoist.PollRequest) bool {
	asked := d.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, d.lookLimit(o))
	defer cancel()
	view, err := l.runner.Poll(callCtx, o)
	if ctx.Err() != nil {
		return false
	}
	if err != nil && o.Acked > 0 && errors.Is(err, hoist.ErrUnavailable) {
		d.mu.Lock()
		defer d.mu.Unlock()
		l.isClosed = true
		return false
	}
	if err != nil {
		d.unseen(ctx, id, l, err)
		return false
	}
	now := d.Clock.Now()
	// The ends of plans that are not known yet would be acknowledged and lost.
	select {
	case <-ctx.Done():
		return false
	case <-d.restored:
	}
	d.mu.Lock()
	if l.isLost {
		events.WorkerResponsive.Log(ctx, d.Log, "worker", id, "life", view.Incarnation)
	}
	l.isLost = false
	if o.EnablesAcks {
		l.isClosed = false
	}
	l.clock, l.read = view.Clock, now
	for _, e := range view.Ends {
		if e.No > o.Acked && d.book.IsNewEnd(id, e.No) {
			events.RunEnded.Log(ctx, d.Log, "plan", e.Run.Task.Job, "task", taskName(e.Run.Task), "attempt", e.Run.Attempt,
				"worker", id, "how", e.Kind, "end", e.No)
			if d.Count != nil {
				d.Count.End(e.Kind)
			}
		}
	}
	d.book.RecordReport(id, view, asked, now)
	d.mu.Unlock()
	d.wake()
	return true
}

// unseen notes a look without an answer.
func (d *Driver) unseen(ctx context.Context, id hoist.WorkerID, l *link, err error) {
	if errors.Is(err, hoist.ErrStaleTerm) {
		d.Own.StepDown()
		return
	}
	if !errors.Is(err, hoist.ErrNotListening) {
		d.losses.note(id, d.Clock.Now())
	}
	d.mu.Lock()
	wasLost := l.isLost
	l.isLost = true
	if errors.Is(err, hoist.ErrNotListening) && d.book.RecordExit(id, d.Clock.Now()) {
		events.WorkerLeft.Log(ctx, d.Log, "worker", id)
		d.wake()
	}
	d.mu.Unlock()
	if !wasLost {
		events.WorkerUnresponsive.Log(ctx, d.Log, "worker", id, "error", err)
	}
}

// order is a start with the link to send it over.
type order struct {
	start sched.Start
	link  *link
	out   hoist.StartRequest
}

// orderOf composes a start. The mutex is held.
func (d *Driver) orderOf(s sched.Start, now time.Time) order {
	o := order{start: s, link: d.links[s.Worker]}
	o.out = hoist.StartRequest{Run: s.Run, Term: d.Own.Term, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket}
	if o.link != nil {
		o.out.Lease = d.lease(s.Worker, o.link, now)
	}
	return o
}

// start sends a start and notes its outcome.
func (d *Driver) start(ctx context.Context, o order) {
	err := d.sendStart(ctx, o)
	if errors.Is(err, hoist.ErrStaleTerm) {
		d.Own.StepDown()
		return
	}
	run := o.start.Run
	attrs := []any{"plan", run.Task.Job, "task", taskName(run.Task), "attempt", run.Attempt, "worker", o.start.Worker, "term", d.Own.Term}
	switch {
	case err == nil:
		events.RunStarted.Log(ctx, d.Log, attrs...)
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		events.RunUnknown.Log(ctx, d.Log, append(attrs, "error", err)...)
	default:
		events.RunRefused.Log(ctx, d.Log, append(attrs, "error", err)...)
	}
	if d.Count != nil {
		d.Count.Start(outcomeOf(err))
	}
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		// The worker may run the attempt, and only the answer is lost.
		d.losses.note(o.start.Worker, d.Clock.Now())
		d.lookNow(ctx, o.start.Worker, o.link)
	}
	now := d.Clock.Now()
	d.mu.Lock()
	queue := d.book.RecordStart(o.start.Worker, run, err, now)
	job, ok := d.book.Job(run.Task.Job)
	d.mu.Unlock()
	if queue != "" && ok && d.Count != nil {
		d.Count.Waited(queue, now.Sub(job.Plan.Accepted))
	}
	if err != nil {
		d.wake()
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

func (d *Driver) sendStart(ctx context.Context, o order) error {
	if o.link == nil || o.out.Lease == 0 {
		// Nothing was sent.
		return hoist.ErrUnavailable
	}
	// The start is sent even if the ownership ends now, so that its outcome is
	// not lost for nothing.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	_, err := o.link.runner.Start(ctx, o.out)
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
	return l.runner.Stop(ctx, s.Run, d.Own.Term)
}

// stop sends a stop and notes its outcome.
func (d *Driver) stop(ctx context.Context, s sched.Stop) {
	d.mu.Lock()
	l := d.links[s.Worker]
	d.mu.Unlock()
	err := d.sendStop(ctx, l, s)
	if errors.Is(err, hoist.ErrStaleTerm) {
		d.Own.StepDown()
		return
	}
	attrs := []any{"plan", s.Run.Task.Job, "task", taskName(s.Run.Task), "attempt", s.Run.Attempt, "worker", s.Worker}
	d.mu.Lock()
	d.book.RecordStop(s.Worker, s.Run, err, d.Clock.Now())
	d.mu.Unlock()
	if err != nil {
		events.RunStopFailed.Log(ctx, d.Log, append(attrs, "error", err)...)
		return
	}
	events.RunStopped.Log(ctx, d.Log, attrs...)
	d.lookNow(ctx, s.Worker, l)
}

// lookNow looks at a worker without waiting for an end, and acknowledges none. The
// look that is under way may have been asked for before.
func (d *Driver) lookNow(ctx context.Context, id hoist.WorkerID, l *link) {
	o := d.lookOrder(id, l)
	o.Wait, o.Acked, o.EnablesAcks = 0, 0, false
	d.look(ctx, id, l, o)
}
