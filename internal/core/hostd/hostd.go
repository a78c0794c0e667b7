// Package hostd implements an entry host that schedules plans. It connects the intake
// of plans, the claim to the cell, and the driver that acts for the cell.
//
// # Usage
//
//	h := &hostd.Host{ID: id, Addr: addr, Epoch: epoch, Store: store, Registry: registry, Source: source, ...}
//	service := h.Plans()
//	err := h.Run(ctx, serving)
//
// All hosts of a cell run the same code. One of them at a time owns the cell.
package hostd

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/core/intake"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/plans"
	"fuchsiahoist.example/hoist/internal/core/queues"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/peer/helper"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
	// stopCheckInterval is how often a host that was told to stop checks whether the
	// store is still slow.
	stopCheckInterval = 100 * time.Millisecond
	// hostChangesWait is how long the store waits for a change of the table of hosts
	// before it answers.
	hostChangesWait = 2 * time.Second
	// ownerGCPercent is the GC percentage of a host while it owns the cell. The memory
	// limit of the process goes before it.
	ownerGCPercent = 300
	// maxReadyStoreAge is how old the last answer of the store may be while the host
	// is ready for new callers.
	maxReadyStoreAge = 2500 * time.Millisecond
)

// The kinds of work of a host, in logs and metrics.
const (
	workConfig   guard.Work = "config"
	workProbe    guard.Work = "probe"
	workAnnounce guard.Work = "announce"
	workClaim    guard.Work = "claim"
	workHosts    guard.Work = "hosts"
	workOwner    guard.Work = "owner"
)

// Host is one entry host. Set the exported fields before use.
type Host struct {
	ID    hoist.HostID
	Epoch hoist.Epoch
	// Weight is the size of the host; see claim.Manager.
	Weight claim.Weight
	// Addr is the address at which other hosts reach this one.
	Addr     string
	Store    hoist.Store
	Registry hoist.Registry
	Source   hoist.QueueSource
	Dial     func(hoist.WorkerEntry) hoist.Runner
	Adviser  hoist.Adviser
	Clock    hoist.Clock
	// LeaseClock is the clock of the ownership of the cell; see claim.Manager.
	LeaseClock hoist.Clock
	Log        *slog.Logger
	Metrics    hoist.PlanMetrics
	// Guard recovers from panics; it may be nil.
	Guard *guard.Guard
	// Limits are what a plan must keep to be accepted and handled, and Open bounds the
	// tasks that the owner holds. Their zero values leave the defaults.
	Limits limit.Plans
	Open   sched.OpenLimits
	// KeyRules returns the rules about the keys of teams; nil leaves them to the
	// configuration. Refused is called for each call that is refused because of its key;
	// it may be nil.
	KeyRules func() queues.KeyRules
	Refused  func(intake.Cause)
	// MaxDirect is the number of workers up to which the owner of the cell calls them
	// itself. 0 leaves the default.
	MaxDirect int
	// StateRetention is how long the state of a plan is kept after the plan has ended.
	StateRetention time.Duration
	// MaxStopDelay is how long the host may go on owning the cell after it was told to
	// stop, while the store is slow: a takeover would take long then.
	MaxStopDelay time.Duration
	// RemoteFactor is how many times as long tasks run that are remote from their
	// data.
	RemoteFactor float64
	// MaxLease is the longest lease that a worker accepts. 0 leaves hoist.MaxLease.
	MaxLease time.Duration
	// CanCombine allows transactions over several parts of the store; see package batch.
	CanCombine bool

	isLeaving atomic.Bool
	once      sync.Once
	monitored *monitoredStore
	follower  *queues.Follower
	manager   *claim.Manager
	mu        sync.Mutex
	driver    *plans.Driver
	// relays are the relays of the last ownership. What they last knew counts at the release.
	relays *plans.RelayPool
}

func (h *Host) init() {
	h.once.Do(func() {
		h.monitored = &monitoredStore{Store: h.Store, clock: h.Clock, log: h.Log}
		h.follower = &queues.Follower{
			Source: h.Source, Log: h.Log, OnRead: h.monitored.recordOutcome, Clock: h.LeaseClock, Rules: h.KeyRules,
		}
		h.manager = &claim.Manager{
			Host: h.ID, Addr: h.Addr, Epoch: h.Epoch, Weight: h.Weight, Store: h.monitored, Clock: h.LeaseClock, Log: h.Log, MaxLease: h.MaxLease,
			RunOwner: h.runOwner, Waiting: h.waiting, Dial: h.dialOwner, StoreAge: h.monitored.outage,
			IsLeaving: h.IsLeaving, IsUnreachable: h.isRelayDown,
		}
	})
}

// Plans returns the service that accepts plans.
func (h *Host) Plans() *intake.Service {
	h.init()
	return &intake.Service{
		Store: failFastStore{h.monitored}, Find: h.follower.Find, Identify: h.follower.Identify, Refused: h.Refused,
		Limits: h.Limits, Guard: h.Guard, Clock: h.Clock, Log: h.Log,
	}
}

// IsReady reports whether callers should be sent here: the configuration is
// known and new enough for the keys of teams, and the store answers.
func (h *Host) IsReady() bool {
	h.init()
	return h.follower.Version() > 0 && h.follower.AcceptsKeys() && h.monitored.age() <= maxReadyStoreAge
}

// RequestLimits returns the configured limits of the requests of clients.
func (h *Host) RequestLimits() hoist.RequestLimits {
	h.init()
	return h.follower.RequestLimits()
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

// Run claims the cell when it has no owner, and acts for it, until ctx ends. It then
// releases the cell, after a delay of at most MaxStopDelay while the store is slow. It
// follows the configuration until serving ends.
func (h *Host) Run(ctx, serving context.Context) error {
	h.init()
	var g errgroup.Group
	loop := func(ctx context.Context, work guard.Work, f func(context.Context)) {
		g.Go(func() error { h.Guard.Loop(ctx, work, func() { f(ctx) }); return nil })
	}
	loop(serving, workConfig, h.follower.Run)
	loop(serving, workProbe, h.monitored.probe)
	loop(ctx, workAnnounce, h.announce)
	managerCtx, stopManager := context.WithCancel(context.WithoutCancel(ctx))
	defer stopManager()
	loop(managerCtx, workClaim, h.manager.Run)
	g.Go(func() error {
		defer stopManager()
		<-ctx.Done()
		h.isLeaving.Store(true)
		h.delayStop()
		return nil
	})
	return g.Wait()
}

// delayStop waits while this host owns the cell and the store is slow, for at most
// MaxStopDelay.
func (h *Host) delayStop() {
	for until := h.Clock.Now().Add(h.MaxStopDelay); h.OwnedTerm() > 0 && h.monitored.isSlow(); {
		left := until.Sub(h.Clock.Now())
		if left <= 0 {
			return
		}
		time.Sleep(min(left, stopCheckInterval))
	}
}

// IsLeaving reports whether the host was told to stop.
func (h *Host) IsLeaving() bool {
	return h.isLeaving.Load()
}

// Health answers the health check of another host.
func (h *Host) Health(check hoist.HealthCheck) hoist.HostHealth {
	h.init()
	return h.manager.Health(check)
}

// dialOwner returns a client for health checks of an owner of the cell.
func (h *Host) dialOwner(addr string) hoist.HealthChecker {
	return &helper.Client{Addr: addr}
}

// announce records the address and the weight of this host for the other hosts.
func (h *Host) announce(ctx context.Context) {
	row := rows.Host{Addr: h.Addr, Epoch: int(h.Epoch), Weight: int(h.Weight)}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := h.monitored.Commit(callCtx, hoist.Transaction{
			Writes: []hoist.Write{{RowRef: keys.Host(h.ID), Value: codec.EncodeStoreRow(row)}},
		})
		cancel()
		if err == nil {
			return
		}
		clock.Sleep(ctx, retryDelay)
	}
}

// runOwner acts for the cell under an ownership until ctx ends.
func (h *Host) runOwner(ctx context.Context, o *claim.Ownership) {
	d := &plans.Driver{
		Claim: o, Store: h.monitored, Registry: h.Registry, Dial: h.Dial, Advisers: &plans.AdviserPool{},
		Queue: h.follower.Queue, Teams: h.follower.Teams, HasService: h.follower.HasService,
		Clock: h.Clock, Log: h.Log, Metrics: h.Metrics,
		StateRetention: h.StateRetention, RemoteFactor: h.RemoteFactor, MaxLease: h.MaxLease,
		Guard: h.Guard, Limits: h.Limits, Open: h.Open, MaxDirect: h.MaxDirect, CanCombine: h.CanCombine,
	}
	d.Relays = &plans.RelayPool{Clock: h.Clock, Log: h.Log, Guard: h.Guard}
	// An owner allocates much and keeps little: with the default it would collect garbage
	// many times a second.
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGCPercent))
	d.Advisers.Set(h.ID, h.Adviser)
	h.setDriver(d)
	defer h.setDriver(nil)
	h.setRelays(d.Relays)
	var wg sync.WaitGroup
	wg.Go(func() { h.Guard.Loop(ctx, workHosts, func() { h.followHosts(ctx, d) }) })
	if h.Guard.Do(ctx, workOwner, func() { d.Run(ctx) }) != nil {
		o.StepDown()
	}
	wg.Wait()
}

func (h *Host) setRelays(p *plans.RelayPool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relays = p
}

// isRelayDown reports whether a host has not answered the last pings of this owner, or has
// answered that it is leaving.
func (h *Host) isRelayDown(id hoist.HostID) bool {
	h.mu.Lock()
	relays := h.relays
	h.mu.Unlock()
	return relays != nil && relays.IsDown(id)
}

func (h *Host) setDriver(d *plans.Driver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.driver = d
}

// Explain implements hoist.Explainer. Only the owner of the cell answers.
func (h *Host) Explain(ctx context.Context, p hoist.Plan, maxCandidates int) (hoist.PlanExplanation, error) {
	h.mu.Lock()
	d := h.driver
	h.mu.Unlock()
	if d == nil {
		return hoist.PlanExplanation{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("this host does not own the cell"))
	}
	return d.Explain(ctx, p, maxCandidates)
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

// hostClients are the clients of a process of another host, which row tells. Calls to
// workers do not share a connection with requests for advice.
type hostClients struct {
	row     rows.Host
	adviser *helper.Client
	relay   *helper.Relay
}

func (c hostClients) close() {
	c.adviser.Close()
	c.relay.Close()
}

// followHosts follows the table of hosts, and updates the adviser pool, the relays and
// the possible standbys.
func (h *Host) followHosts(ctx context.Context, d *plans.Driver) {
	clients := make(map[hoist.HostID]hostClients)
	defer func() {
		for _, c := range clients {
			c.close()
		}
	}()
	var after hoist.RowVersion
	for ctx.Err() == nil {
		changed, next, err := h.hostRows(ctx, after)
		if err != nil {
			if errors.Is(err, hoist.ErrHistoryLost) {
				after = 0
			}
			clock.Sleep(ctx, retryDelay)
			continue
		}
		after = next
		for _, row := range changed {
			h.applyHost(row, clients, d)
		}
	}
}

func (h *Host) hostRows(ctx context.Context, after hoist.RowVersion) ([]hoist.StoredRow, hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, hostChangesWait+storeTimeout)
	defer cancel()
	if after == 0 {
		return h.monitored.Scan(ctx, keys.Hosts, "")
	}
	return h.monitored.Changes(ctx, keys.Hosts, after, hostChangesWait)
}

// applyHost takes the row of a host over. A row that was read before changes nothing: the
// calls to the host go on.
func (h *Host) applyHost(row hoist.StoredRow, clients map[hoist.HostID]hostClients, d *plans.Driver) {
	id := hoist.HostID(row.Key)
	start := claim.HostStart{Version: row.Version}
	if id == h.ID {
		h.manager.SetHost(id, h.Weight, start)
		return
	}
	host, isPresent := h.decodeHost(row)
	if old, ok := clients[id]; ok && (!isPresent || old.row != host) {
		d.Advisers.Set(id, nil)
		d.Relays.Set(id, 0, nil)
		// Requests for advice that fail with the connection are sent through another host.
		old.close()
		delete(clients, id)
	}
	if !isPresent {
		h.manager.SetHost(id, 0, start)
		return
	}
	if _, ok := clients[id]; !ok {
		clients[id] = hostClients{row: host, adviser: &helper.Client{Addr: host.Addr}, relay: &helper.Relay{Addr: host.Addr}}
		d.Advisers.Set(id, clients[id].adviser)
		d.Relays.Set(id, host.Weight, clients[id].relay)
	}
	start.Age = h.Clock.Now().Sub(time.Unix(0, int64(host.Epoch)))
	h.manager.SetHost(id, claim.Weight(host.Weight), start)
	d.RecordHostStart(context.Background(), id, hoist.Epoch(host.Epoch), row.Version)
}

// decodeHost decodes the row of a host. It reports false if the row is removed or cannot be
// decoded.
func (h *Host) decodeHost(row hoist.StoredRow) (rows.Host, bool) {
	if row.IsRemoved {
		return rows.Host{}, false
	}
	host, err := codec.DecodeStoreRow[rows.Host](row.Value)
	if err != nil {
		events.RowUnreadable.Log(context.Background(), h.Log, "row", row.Key, "error", err)
	}
	return host, err == nil
}
