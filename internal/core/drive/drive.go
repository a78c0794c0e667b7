// Package drive acts for the cell while its host owns it: it recovers the
// accepted plans from the store, follows the workers, records what package
// sched decides, and sends the orders.
//
// # Usage
//
//	d := &drive.Driver{Own: ownership, Store: store, Registry: registry, Dial: dial, Advisers: advisers, Queue: queue, Clock: clock, Log: logger}
//	d.Run(ctx)
//
// # Concurrency
//
// One goroutine decides, one follows the registry and one the table of plans;
// each part of the store has one that records states, and each worker one that
// looks at it. A start, a stop or a question to an adviser has a goroutine until
// it is answered. The decisions are behind one mutex, which is not held during a
// call to another process.
package drive

import (
	"context"
	"log/slog"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// passGap is the shortest time between two passes; what happens in between
	// is taken together.
	passGap = 8 * time.Millisecond
	// passShare is how much longer than a pass the pause after it is, so that
	// passes over a long backlog leave time for the workers.
	passShare = 3
	// tickEvery is the longest time between two passes.
	tickEvery = 200 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 900 * time.Millisecond
	// feedWait is how long the store waits for a change before it answers.
	feedWait = 1500 * time.Millisecond
	// retryPause is the wait after a failed call.
	retryPause = 150 * time.Millisecond
)

// Driver acts for one ownership of the cell. Set the exported fields before
// Run; a driver runs once.
type Driver struct {
	Own      *claim.Ownership
	Store    hoist.Store
	Registry hoist.Registry
	// Dial returns a client for a worker.
	Dial func(hoist.WorkerEntry) hoist.Runner
	// Advisers are those that can put questions to advisers.
	Advisers *AdviserPool
	// Queue returns the present parameters of a queue.
	Queue func(hoist.QueueName) (hoist.Queue, bool)
	Clock hoist.Clock
	Log   *slog.Logger
	// Count counts what was done; nil counts nothing.
	Count hoist.PlanCounter
	// StateRetention is how long the state of an ended plan can be asked for.
	StateRetention time.Duration
	// RemoteFactor is how much slower tasks are away from their data.
	RemoteFactor float64

	mu    sync.Mutex
	book  *sched.Scheduler
	links map[hoist.WorkerID]*link
	// parts has a flag for each part that asks for recording its plans.
	parts map[hoist.PartName]chan struct{}
	ended []endedPlan
	// over holds the parts of the plans in ended: a late change must not begin
	// them anew.
	over    map[hoist.JobID]hoist.PartName
	kick    chan struct{}
	calls   sync.WaitGroup
	losses  losses
	isReady bool
	// restored is closed when the plans are known.
	restored chan struct{}
}

type endedPlan struct {
	part hoist.PartName
	id   hoist.JobID
	at   time.Time
}

// Run works until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	d.build()
	var wg sync.WaitGroup
	for part, due := range d.parts {
		wg.Go(func() { d.recordLoop(ctx, part, due) })
	}
	wg.Go(func() { d.registryLoop(ctx) })
	wg.Go(func() { d.plansLoop(ctx) })
	wg.Go(func() { d.passLoop(ctx) })
	wg.Wait()
	d.calls.Wait()
}

func (d *Driver) build() {
	// The host may ask for the waiting plans already.
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book = sched.NewScheduler(d.Own.Term, d.Own.EarlierLeasesExpire)
	if d.RemoteFactor > 0 {
		d.book.RemoteFactor = d.RemoteFactor
	}
	d.links = make(map[hoist.WorkerID]*link)
	d.over = make(map[hoist.JobID]hoist.PartName)
	d.parts = make(map[hoist.PartName]chan struct{})
	for _, part := range keys.Parts() {
		d.parts[part] = make(chan struct{}, 1)
	}
	d.kick = make(chan struct{}, 1)
	d.restored = make(chan struct{})
}

// Waiting returns how many plans of each queue have not begun.
func (d *Driver) Waiting() map[hoist.QueueName]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.book == nil || !d.isReady {
		return nil
	}
	return d.book.Waiting()
}

// wake asks for a pass.
func (d *Driver) wake() {
	clock.Signal(d.kick)
}

// passLoop decides what is due, whenever something happened.
func (d *Driver) passLoop(ctx context.Context) {
	for clock.PauseOr(ctx, tickEvery, d.kick) {
		began := d.Clock.Now()
		d.mu.Lock()
		now := d.Clock.Now()
		d.book.Tick(now)
		var due sched.Decisions
		if d.isReady {
			due = d.book.Pass(now, d.Advisers.Reserve)
		}
		d.mu.Unlock()
		for _, due := range d.parts {
			clock.Signal(due)
		}
		for _, ask := range due.AdviceRequests {
			d.calls.Go(func() { d.ask(ctx, ask) })
		}
		for _, stop := range due.Stops {
			d.calls.Go(func() { d.stop(ctx, stop) })
		}
		d.dropExpired(ctx)
		clock.Pause(ctx, max(passGap, passShare*d.Clock.Now().Sub(began)))
	}
}

// ask puts a question to an adviser.
func (d *Driver) ask(ctx context.Context, ask sched.AdviceRequest) {
	advice, took, err := d.Advisers.Advise(ctx, ask)
	d.mu.Lock()
	d.book.RecordAdvice(ask, advice, err, d.Clock.Now())
	d.mu.Unlock()
	d.wake()
	if err != nil {
		events.AdviceFailed.Log(ctx, d.Log, "plan", ask.Step.Job, "step", ask.Step.Step, "workers", len(ask.Workers), "host", ask.Host, "error", err)
		return
	}
	events.AdviceGiven.Log(ctx, d.Log, "plan", ask.Step.Job, "step", ask.Step.Step, "workers", len(ask.Workers),
		"good", len(advice.Good), "host", ask.Host, "took", took)
}

// dropExpired removes the states of plans that ended long ago.
func (d *Driver) dropExpired(ctx context.Context) {
	const maxDropped = 20
	now := d.Clock.Now()
	d.mu.Lock()
	n := 0
	for n < len(d.ended) && n < maxDropped && now.Sub(d.ended[n].at) > d.StateRetention {
		n++
	}
	var old []endedPlan
	// One transaction a second is enough, and costs little.
	if n == maxDropped || (n > 0 && now.Sub(d.ended[0].at) > d.StateRetention+time.Second) {
		old = d.ended[:n]
		d.ended = d.ended[n:]
		for _, e := range old {
			delete(d.over, e.id)
		}
	}
	d.mu.Unlock()
	if len(old) == 0 {
		return
	}
	byPart := make(map[hoist.PartName][]hoist.RowRef)
	for _, e := range old {
		byPart[e.part] = append(byPart[e.part], keys.State(e.part, e.id), keys.Cancel(e.part, e.id))
	}
	for part, refs := range byPart {
		d.calls.Go(func() { d.remove(ctx, part, refs) })
	}
}

// remove removes rows that nothing needs any more. Rows that stay for lack of
// an answer are found again by the next owner.
func (d *Driver) remove(ctx context.Context, part hoist.PartName, refs []hoist.RowRef) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.Store.Commit(ctx, hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Fence(part), Version: d.Own.Version}},
		Remove: refs,
	})
	if err != nil && ctx.Err() == nil {
		events.StateLate.Log(ctx, d.Log, "part", part, "rows", len(refs), "error", err)
	}
}
