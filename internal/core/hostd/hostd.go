// Package hostd is one entry host that schedules plans: it joins the intake of
// plans, the claim to the cell, and the driver that acts for the cell.
//
// # Usage
//
//	h := &hostd.Host{ID: id, Addr: addr, Epoch: epoch, Store: store, Registry: registry, Source: source, ...}
//	plans := h.Plans()
//	err := h.Run(ctx, serving)
//
// Every host of a cell runs the same. One of them at a time owns the cell.
package hostd

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/drive"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/intake"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/queues"
	"fuchsiahoist.example/hoist/internal/peer/helper"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = 300 * time.Millisecond
	// stayCheck is how often a host that stops looks whether the store is still slow.
	stayCheck = 100 * time.Millisecond
	// hostsWait is how long the store waits for a change of the hosts.
	hostsWait = 2 * time.Second
	// readyAge is how old the last answer of the store may be while the host
	// takes new callers.
	readyAge = 2500 * time.Millisecond
)

// Host is one entry host. Set the exported fields before use.
type Host struct {
	ID    hoist.HostID
	Epoch hoist.Epoch
	// Weight is the size of the host.
	Weight claim.Weight
	// Addr is where other hosts reach this one.
	Addr     string
	Store    hoist.Store
	Registry hoist.Registry
	Source   hoist.QueueSource
	Dial     func(hoist.WorkerEntry) hoist.Runner
	Adviser  hoist.Adviser
	Clock    hoist.Clock
	Log      *slog.Logger
	Count    hoist.PlanCounter
	// StateRetention is how long the state of an ended plan can be asked for.
	StateRetention time.Duration
	// MaxStopDelay is how long the host keeps the cell after it was told to stop, while
	// the store is slow: a takeover would take long then.
	MaxStopDelay time.Duration
	// RemoteFactor is how much slower tasks are away from their data.
	RemoteFactor float64

	once     sync.Once
	watched  *watchedStore
	follower *queues.Follower
	keeper   *claim.Manager
	mu       sync.Mutex
	driver   *drive.Driver
}

func (h *Host) init() {
	h.once.Do(func() {
		h.watched = &watchedStore{Store: h.Store, clock: h.Clock, log: h.Log}
		h.follower = &queues.Follower{Source: h.Source, Log: h.Log, Answered: h.watched.note}
		h.keeper = &claim.Manager{
			Host: h.ID, Addr: h.Addr, Epoch: h.Epoch, Weight: h.Weight, Store: h.watched, Clock: h.Clock, Log: h.Log,
			RunOwner: h.own, Waiting: h.waiting, Dial: h.watch, StoreAge: h.watched.lost,
		}
	})
}

// Plans returns the service that accepts plans.
func (h *Host) Plans() *intake.Service {
	h.init()
	return &intake.Service{Store: promptStore{h.watched}, Find: h.follower.Find, Clock: h.Clock, Log: h.Log}
}

// IsReady reports whether callers should be sent here: the configuration is
// known, and the store answers.
func (h *Host) IsReady() bool {
	h.init()
	return h.follower.Version() > 0 && h.watched.age() <= readyAge
}

// OwnedTerm returns the term in which this host owns the cell, or 0.
func (h *Host) OwnedTerm() hoist.Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.driver == nil {
		return 0
	}
	return h.driver.Claim.Term
}

// Run claims the cell when it is vacant, and acts for it, until ctx ends; it
// then gives the cell up. It follows the configuration until serving ends.
func (h *Host) Run(ctx, serving context.Context) error {
	h.init()
	var g errgroup.Group
	g.Go(func() error { h.follower.Run(serving); return nil })
	g.Go(func() error { h.watched.probe(serving); return nil })
	g.Go(func() error { h.announce(ctx); return nil })
	keeping, leave := context.WithCancel(context.WithoutCancel(ctx))
	defer leave()
	g.Go(func() error { return h.keeper.Run(keeping) })
	g.Go(func() error {
		defer leave()
		<-ctx.Done()
		h.stay()
		return nil
	})
	return g.Wait()
}

// stay waits, while this host owns the cell and the store is slow, for at most
// MaxStopDelay.
func (h *Host) stay() {
	for until := h.Clock.Now().Add(h.MaxStopDelay); h.OwnedTerm() > 0 && h.watched.isSlow(); {
		left := until.Sub(h.Clock.Now())
		if left <= 0 {
			return
		}
		time.Sleep(min(left, stayCheck))
	}
}

// Health answers a host that watches this one.
func (h *Host) Health(from hoist.HostID) hoist.HostHealth {
	h.init()
	return h.keeper.Health(from)
}

// watch returns a client for watching the owner of the cell.
func (h *Host) watch(addr string) hoist.HealthChecker {
	return &helper.Client{Addr: addr}
}

// announce records where other hosts reach this one.
func (h *Host) announce(ctx context.Context) {
	row := rows.Host{Addr: h.Addr, Epoch: int(h.Epoch), Weight: int(h.Weight)}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := h.watched.Commit(callCtx, hoist.Transaction{
			Writes: []hoist.Write{{RowRef: keys.Host(h.ID), Value: codec.EncodeRow(row)}},
		})
		cancel()
		if err == nil {
			return
		}
		clock.Pause(ctx, retryPause)
	}
}

// own acts for the cell.
func (h *Host) own(ctx context.Context, o *claim.Ownership) {
	d := &drive.Driver{
		Claim: o, Store: h.watched, Registry: h.Registry, Dial: h.Dial, Advisers: &drive.AdviserPool{},
		Queue: h.follower.Queue, Clock: h.Clock, Log: h.Log, Count: h.Count, StateRetention: h.StateRetention, RemoteFactor: h.RemoteFactor,
	}
	d.Advisers.Set(h.ID, h.Adviser)
	h.setDriver(d)
	defer h.setDriver(nil)
	var wg sync.WaitGroup
	wg.Go(func() { h.followHosts(ctx, d.Advisers) })
	d.Run(ctx)
	wg.Wait()
}

func (h *Host) setDriver(d *drive.Driver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.driver = d
}

func (h *Host) waiting() map[hoist.QueueName]int {
	h.mu.Lock()
	d := h.driver
	h.mu.Unlock()
	if d == nil {
		return nil
	}
	return d.Waiting()
}

// followHosts keeps the hosts that can be asked for help up to date.
func (h *Host) followHosts(ctx context.Context, helpers *drive.AdviserPool) {
	clients := make(map[hoist.HostID]*helper.Client)
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	var after hoist.RowVersion
	for ctx.Err() == nil {
		changed, next, err := h.hostRows(ctx, after)
		if err != nil {
			if errors.Is(err, hoist.ErrHistoryLost) {
				after = 0
			}
			clock.Pause(ctx, retryPause)
			continue
		}
		after = next
		for _, row := range changed {
			h.takeHost(row, clients, helpers)
		}
	}
}

func (h *Host) hostRows(ctx context.Context, after hoist.RowVersion) ([]hoist.StoredRow, hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, hostsWait+storeTimeout)
	defer cancel()
	if after == 0 {
		return h.watched.Scan(ctx, keys.Hosts, "")
	}
	return h.watched.Changes(ctx, keys.Hosts, after, hostsWait)
}

func (h *Host) takeHost(row hoist.StoredRow, clients map[hoist.HostID]*helper.Client, helpers *drive.AdviserPool) {
	id := hoist.HostID(row.Key)
	if id == h.ID {
		return
	}
	if old, ok := clients[id]; ok {
		old.Close()
		delete(clients, id)
		helpers.Set(id, nil)
		h.keeper.SetHost(id, 0)
	}
	if row.IsRemoved {
		return
	}
	host, err := codec.DecodeRow[rows.Host](row.Value)
	if err != nil {
		events.RowUnreadable.Log(context.Background(), h.Log, "row", row.Key, "error", err)
		return
	}
	clients[id] = &helper.Client{Addr: host.Addr}
	helpers.Set(id, clients[id])
	h.keeper.SetHost(id, claim.Weight(host.Weight))
}
