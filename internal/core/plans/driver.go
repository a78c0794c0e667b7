// Package plans runs the plans of the cell while its host owns it: it recovers the
// accepted plans from the store, polls the workers, records what package sched
// decides, and sends the resulting requests to the workers.
//
// # Usage
//
//	d := &plans.Driver{Claim: ownership, Store: store, Registry: registry, Dial: dial, Advisers: pool, Queue: queue,
//		Limits: limits, Clock: clock, Log: logger, Guard: &guard.Guard{Log: logger}}
//	d.Run(ctx)
//
// # Concurrency
//
// One goroutine runs the scheduling passes, one follows the registry, one the
// table of plans, one records the lease account, and one asks the former owner of the
// cell about it. Each part of the store has a goroutine that records states, and
// each worker has one that polls it, itself or through a relay; each relay has one that
// pings it. A start, a stop or a request for advice has a
// goroutine until it is answered. One mutex guards the scheduler; it is not held
// during a call to another process.
//
// # Panics
//
// Each goroutine recovers from panics. One that leaves the scheduler untouched ends
// that piece of work only. One while the scheduler changes ends the ownership, as the
// state in memory can no longer be trusted; see update.
package plans

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/batch"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/decide/share"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// minPassInterval is the shortest time between two scheduling passes. Events in
	// between are handled by the next pass together.
	minPassInterval = 8 * time.Millisecond
	// passPauseFactor is how many times as long as a pass the pause after it is, so
	// that passes over a long backlog leave time for the calls to workers.
	passPauseFactor = 6
	// maxPassInterval is the longest wait for an event before the next pass.
	maxPassInterval = 200 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 900 * time.Millisecond
	// changesWait is how long the store and the registry wait for a change before
	// they answer.
	changesWait = 1500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * time.Millisecond
)

// Driver acts for the cell under one ownership. Set the exported fields before
// Run; a Driver runs once.
type Driver struct {
	Claim    *claim.Ownership
	Store    hoist.Store
	Registry hoist.Registry
	// Dial returns a client for a worker.
	Dial func(hoist.WorkerEntry) hoist.Runner
	// Relays are the hosts that can call workers for the owner; nil means that there are
	// none.
	Relays *RelayPool
	// MaxDirect is the number of workers up to which the owner calls them itself. 0
	// leaves share.DefaultMaxDirect.
	MaxDirect int
	// Advisers are the hosts through which the driver requests advice.
	Advisers *AdviserPool
	// Queue returns the current parameters of a queue.
	Queue func(hoist.QueueName) (hoist.Queue, bool)
	// Teams returns the configured teams, and false before there is a configuration. nil
	// means that there are no teams.
	Teams func() ([]hoist.TeamConfig, bool)
	// HasService reports whether the configuration has a service; nil means that it has
	// each. Workers of other services are not used.
	HasService func(hoist.ServiceName) bool
	Clock      hoist.Clock
	Log        *slog.Logger
	// Guard recovers from panics; it may be nil.
	Guard *guard.Guard
	// Limits are what a plan must keep to be handled. The zero value leaves
	// limit.DefaultPlans.
	Limits limit.Plans
	// Open bounds the tasks that the owner holds. The zero value leaves the default of
	// the scheduler.
	Open sched.OpenLimits
	// Metrics counts starts, ends and waiting times for the metrics; it may be nil.
	Metrics hoist.PlanMetrics
	// StateRetention is how long the state of a plan is kept after the plan has ended.
	StateRetention time.Duration
	// RemoteFactor is how many times as long tasks run that are remote from their
	// data. 0 leaves the default of the scheduler.
	RemoteFactor float64
	// MaxLease is the longest lease that a worker accepts. 0 leaves hoist.MaxLease.
	MaxLease time.Duration
	// CanCombine allows transactions over several parts of the store.
	CanCombine bool

	// records is the store through which states are recorded.
	records hoist.Store

	mu        sync.Mutex
	scheduler *sched.Scheduler
	// isBroken is set after a panic while the scheduler changed.
	isBroken bool
	// quarantined holds the parts of the plans that are not handled, and failures how
	// often handling a plan has panicked.
	quarantined map[hoist.JobID]hoist.PartName
	failures    map[hoist.JobID]int
	// teamLog is what was last reported about the teams.
	teamLog teamLog
	// waitLog is what was last reported about long-running tasks without a run.
	waitLog waitLog
	// refusedSince holds when the store first refused the state of a plan, and recordedAt is
	// when it last accepted one.
	refusedSince map[hoist.JobID]time.Time
	recordedAt   time.Time
	// isDelaying is set while occurrences that are due wait.
	isDelaying bool
	links      map[hoist.WorkerID]*link
	// listed holds the entries of the registry, and shares the relay of each worker.
	listed []hoist.WorkerEntry
	shares *share.Table
	// awaiting holds the links whose next poll waits until ends are recorded, with their
	// workers.
	awaiting map[*link]hoist.WorkerID
	// recordDue has a flag for each part, which is set when states of its plans may
	// have to be recorded.
	recordDue map[hoist.PartName]chan struct{}
	// accountDue is a flag that is set when the lease account may have to be recorded, and
	// accountRecorded is closed and replaced once it was.
	accountDue      chan struct{}
	accountRecorded chan struct{}
	ended           []endedPlan
	// endedIn holds the parts of the plans in ended. A change of the table that
	// arrives late must not start such a plan again.
	endedIn map[hoist.JobID]hoist.PartName
	// passDue is a flag that is set when a scheduling pass is requested.
	passDue chan struct{}
	calls   sync.WaitGroup
	losses  losses
	// isReady is set once the plans have been recovered.
	isReady bool
	// nextExplain is the earliest time at which Explain answers again.
	nextExplain time.Time
	// restored is closed once the plans have been recovered from the store.
	restored chan struct{}
}

type endedPlan struct {
	part hoist.PartName
	id   hoist.JobID
	at   time.Time
}

// Run acts for the cell until ctx ends and all calls in flight have returned.
func (d *Driver) Run(ctx context.Context) {
	d.prepare()
	var wg sync.WaitGroup
	for part, due := range d.recordDue {
		wg.Go(func() { d.Guard.Loop(ctx, workRecord, func() { d.recordLoop(ctx, part, due) }) })
	}
	wg.Go(func() { d.Guard.Loop(ctx, workRegistry, func() { d.registryLoop(ctx) }) })
	wg.Go(func() { d.Guard.Loop(ctx, workRelay, func() { d.reassignLoop(ctx) }) })
	wg.Go(func() { d.Guard.Loop(ctx, workPlans, func() { d.plansLoop(ctx) }) })
	wg.Go(func() { d.Guard.Loop(ctx, workPass, func() { d.passLoop(ctx) }) })
	wg.Go(func() { d.Guard.Loop(ctx, workAccount, func() { d.accountLoop(ctx) }) })
	wg.Go(func() { d.Guard.Loop(ctx, workFormer, func() { d.askFormerOwner(ctx) }) })
	wg.Wait()
	d.calls.Wait()
	d.setFinalAccount(ctx)
	if d.Metrics != nil {
		d.Metrics.SetTeams(nil)
		d.Metrics.SetTaskWaits(nil)
	}
}

func (d *Driver) prepare() {
	// The host may call Waiting concurrently.
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler = sched.NewScheduler(d.Claim.Term, d.Clock.Now().Add(d.Claim.EarlierLeasesLeft()))
	d.scheduler.SetAccount(d.Claim.EarlierAccount(), d.Clock.Now())
	if d.RemoteFactor > 0 {
		d.scheduler.RemoteFactor = d.RemoteFactor
	}
	if d.MaxLease > 0 {
		d.scheduler.MaxLease = d.MaxLease
	}
	d.scheduler.StateSize, d.scheduler.MaxState = codec.PackedStateSize, codec.MaxStateBytes
	if d.Open != (sched.OpenLimits{}) {
		d.scheduler.Open = d.Open
	}
	if d.Limits == (limit.Plans{}) {
		d.Limits = limit.DefaultPlans
	}
	d.records = d.Store
	if d.CanCombine {
		d.records = &batch.Store{Store: d.Store, Clock: d.Clock}
	}
	d.quarantined = make(map[hoist.JobID]hoist.PartName)
	d.failures = make(map[hoist.JobID]int)
	d.refusedSince = make(map[hoist.JobID]time.Time)
	d.links = make(map[hoist.WorkerID]*link)
	d.awaiting = make(map[*link]hoist.WorkerID)
	d.shares = share.NewTable()
	d.shares.MaxDirect = d.MaxDirect
	if d.Relays == nil {
		d.Relays = &RelayPool{Clock: d.Clock, Log: d.Log, Guard: d.Guard}
	}
	d.endedIn = make(map[hoist.JobID]hoist.PartName)
	d.recordDue = make(map[hoist.PartName]chan struct{})
	for _, part := range keys.Parts() {
		d.recordDue[part] = make(chan struct{}, 1)
	}
	d.passDue = make(chan struct{}, 1)
	d.accountDue, d.accountRecorded = make(chan struct{}, 1), make(chan struct{})
	d.restored = make(chan struct{})
}

// Waiting returns how many plans of each queue have not started. It returns nil until
// the plans have been recovered.
func (d *Driver) Waiting() map[hoist.QueueName]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduler == nil || !d.isReady {
		return nil
	}
	return d.scheduler.Waiting()
}

// requestPass makes passLoop run a scheduling pass.
func (d *Driver) requestPass() {
	clock.Signal(d.passDue)
}

// passLoop runs a scheduling pass when one is requested, and at least every
// maxPassInterval.
func (d *Driver) passLoop(ctx context.Context) {
	for clock.SleepOr(ctx, maxPassInterval, d.passDue) {
		began := d.Clock.Now()
		due := d.pass(ctx)
		for _, request := range due.AdviceRequests {
			d.goCall(ctx, workAdvice, func() { d.request(ctx, request) })
		}
		for _, stop := range due.Stops {
			d.goCall(ctx, workStop, func() { d.stop(ctx, stop) })
		}
		d.removeExpired(ctx)
		took := d.Clock.Now().Sub(began)
		// The check takes long while thousands of tasks wait, and must not delay the next pass.
		d.update(ctx, workWaits, func() { d.reportWaits(ctx, d.Clock.Now()) })
		clock.Sleep(ctx, max(minPassInterval, passPauseFactor*took))
	}
}

// pass runs one scheduling pass and returns what it found to be due.
func (d *Driver) pass(ctx context.Context) sched.Decisions {
	var due sched.Decisions
	d.update(ctx, workPass, func() {
		now := d.Clock.Now()
		d.scheduler.Tick(now)
		if !d.scheduler.HasTokens() {
			d.Claim.StepDown()
		}
		d.setTeams()
		if d.isReady {
			due = d.scheduler.Pass(now, d.Advisers.Reserve)
		}
		for part, due := range d.recordDue {
			if d.scheduler.HasUrgent(part) {
				clock.Signal(due)
			}
		}
		d.reportBacklog(ctx)
		d.reportTeams(ctx, now)
	})
	return due
}

// reportBacklog updates the metrics of what the owner holds, and logs when occurrences
// begin to wait and when none waits any more. d.mu must be held.
func (d *Driver) reportBacklog(ctx context.Context) {
	b := d.scheduler.Backlog()
	if d.Metrics != nil {
		b.Quarantined = len(d.quarantined)
		d.Metrics.SetBacklog(b)
		w := d.scheduler.TakeNearWaits()
		d.Metrics.RecordNearWaits(w.Begun, w.Near, w.Remote)
	}
	isDelaying := b.DelayedOccurrences > 0
	if isDelaying == d.isDelaying {
		return
	}
	d.isDelaying = isDelaying
	event := events.OccurrencesResumed
	if isDelaying {
		event = events.OccurrencesDelayed
	}
	event.Log(ctx, d.Log, "delayed", b.DelayedOccurrences, "open-tasks", b.OpenTasks)
}

// request sends a request for advice and passes the answer to the scheduler. One that a host
// has not taken because it stops is sent through another host at once.
func (d *Driver) request(ctx context.Context, request sched.AdviceRequest) {
	advice, err := d.advise(ctx, request)
	for errors.Is(err, hoist.ErrLeaving) || errors.Is(err, hoist.ErrNotListening) {
		host, ok := d.Advisers.Reserve(request.AnswerTime, d.Clock.Now())
		if !ok || ctx.Err() != nil {
			break
		}
		request.Host = host
		advice, err = d.advise(ctx, request)
	}
	d.update(ctx, workAdvice, func() { d.scheduler.RecordAdvice(request, advice, err, d.Clock.Now()) })
	d.requestPass()
}

// advise sends a request for advice through its host and logs the outcome.
func (d *Driver) advise(ctx context.Context, request sched.AdviceRequest) (hoist.Advice, error) {
	advice, took, err := d.Advisers.Advise(ctx, request)
	attrs := []any{"plan", request.Step.Job, "step", request.Step.Step, "workers", len(request.Workers), "hedge", request.IsHedge}
	if err != nil {
		events.AdviceFailed.Log(ctx, d.Log, append(attrs, "host", request.Host, "error", err)...)
		return hoist.Advice{}, err
	}
	events.AdviceReceived.Log(ctx, d.Log, append(attrs, "good", len(advice.Tickets), "host", request.Host, "took", took)...)
	return advice, nil
}

// removeExpired removes the states of plans that ended more than StateRetention ago.
func (d *Driver) removeExpired(ctx context.Context) {
	const maxRemoved = 20
	now := d.Clock.Now()
	old := d.takeExpired(now, maxRemoved)
	if len(old) == 0 {
		return
	}
	byPart := make(map[hoist.PartName][]hoist.RowRef)
	for _, e := range old {
		byPart[e.part] = append(byPart[e.part], keys.State(e.part, e.id), keys.Cancel(e.part, e.id))
	}
	for part, refs := range byPart {
		d.goCall(ctx, workRemove, func() { d.removeRows(ctx, part, refs) })
	}
}

// takeExpired removes up to maxRemoved plans from the list of ended plans and returns
// them.
func (d *Driver) takeExpired(now time.Time, maxRemoved int) []endedPlan {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for n < len(d.ended) && n < maxRemoved && now.Sub(d.ended[n].at) > d.StateRetention {
		n++
	}
	// One transaction a second is enough, and costs little.
	if n < maxRemoved && (n == 0 || now.Sub(d.ended[0].at) <= d.StateRetention+time.Second) {
		return nil
	}
	old := d.ended[:n]
	d.ended = d.ended[n:]
	for _, e := range old {
		delete(d.endedIn, e.id)
	}
	return old
}

// removeRows removes rows that are no longer needed. Rows that remain because the
// store did not answer are found and removed by the next owner.
func (d *Driver) removeRows(ctx context.Context, part hoist.PartName, refs []hoist.RowRef) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.Store.Commit(ctx, hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.Fence(part), Version: d.Claim.Version}},
		Remove:        refs,
	})
	if err != nil && ctx.Err() == nil {
		events.PlanStateWriteFailed.Log(ctx, d.Log, "part", part, "rows", len(refs), "error", err)
	}
}
