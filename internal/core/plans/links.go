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

// link is the connection to one worker, with the state of the polls.
type link struct {
	runner hoist.Runner
	addr   string
	// via is the relay through which the worker is called, and relay its client; they are
	// empty if the owner calls the worker itself.
	via    hoist.HostID
	relay  hoist.Relay
	cancel context.CancelFunc
	// recorded is a flag that is set when states have been recorded.
	recorded chan struct{}
	// hasAnswered is set once a poll was answered.
	hasAnswered bool
	// isUnresponsive is set if the last poll got no answer.
	isUnresponsive bool
	// openLease is the lease of the last poll that is in flight; it is empty if there is none.
	openLease sched.Lease
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
	for changes := d.Relays.changes(); clock.SleepOr(ctx, time.Second, changes); {
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
		via, relay := d.relayOf(id)
		l, ok := d.links[id]
		if ok && l.addr == entry.Addr && l.via == via && l.relay == relay {
			continue
		}
		if ok {
			l.cancel()
		}
		d.openLink(ctx, entry, via, relay)
	}
	for id, l := range d.links {
		if !wanted[id] {
			l.cancel()
			delete(d.links, id)
		}
	}
}

// relayOf returns the relay of a worker with its client. Both are empty if the owner calls
// the worker itself. d.mu must be held.
func (d *Driver) relayOf(id hoist.WorkerID) (hoist.HostID, hoist.Relay) {
	via, ok := d.shares.Relay(id)
	if !ok {
		return "", nil
	}
	relay, ok := d.Relays.relay(via)
	if !ok {
		return "", nil
	}
	return via, relay
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

// openLink starts polling a worker through a relay, or directly if relay is nil. d.mu
// must be held.
func (d *Driver) openLink(ctx context.Context, entry hoist.WorkerEntry, via hoist.HostID, relay hoist.Relay) {
	dial := d.Dial
	if relay != nil {
		dial = relay.Runner
	}
	runner := dial(entry)
	linkCtx, cancel := context.WithCancel(ctx)
	var openLease sched.Lease
	if old, ok := d.links[entry.Worker]; ok {
		openLease = old.openLease
	}
	l := &link{runner: runner, addr: entry.Addr, via: via, relay: relay, cancel: cancel, recorded: make(chan struct{}, 1)}
	d.links[entry.Worker] = l
	// What answers at another address may be another incarnation.
	d.scheduler.RecordSilence(entry.Worker, openLease, d.Clock.Now())
	d.calls.Go(func() {
		defer runner.Close()
		d.Guard.Loop(linkCtx, workPoll, func() { d.pollLoop(linkCtx, entry.Worker, l) })
	})
}
