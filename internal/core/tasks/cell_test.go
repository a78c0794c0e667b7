package tasks_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/tasks"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// lateCallDelay is how late a delayed call arrives: after it has timed out at its
// caller, and after a takeover of the caller's shards and a survey.
const lateCallDelay = 8 * time.Second

// takeoverDelay is the time from the failure of a host until other hosts acquire
// its shards.
const takeoverDelay = 5 * time.Second

// cell is a cell in one process: hosts that call each other directly, workers
// and a table, on the clock of a synctest bubble.
type cell struct {
	t        testing.TB
	platform *plat.Platform
	history  *work.History
	workers  []*work.Worker
	hosts    []*host
	// table is the table that the hosts use. It is platform unless a test
	// replaces it.
	table hoist.Table

	mu     sync.Mutex
	owners [hoist.NumShards]*host
	terms  [hoist.NumShards]hoist.Term
	// partitioned are the pairs of hosts that cannot reach each other.
	partitioned map[[2]hoist.HostID]bool
	// repliesToLose is the number of replies still to be lost for each method.
	repliesToLose map[string]int
	// callsToDelay is the number of calls still to be delayed for each method.
	callsToDelay map[string]int
	log          *slog.Logger

	// assignMu is held while a host acquires a shard in a new term.
	assignMu sync.Mutex
}

// isVerbose writes the log of the hosts to standard error.
var isVerbose = os.Getenv("HOIST_TEST_LOG") != ""

// host is one entry host. It implements hoist.Ownership for its manager.
type host struct {
	cell           *cell
	id             hoist.HostID
	manager        *tasks.Manager
	run            func()
	stop           context.CancelFunc
	isDead         bool
	isLeaseExpired bool
	seenTerms      map[hoist.ShardID]hoist.Term
}

// cellTable forwards to the current table of a cell.
type cellTable struct{ c *cell }

func (t cellTable) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	return t.c.table.Read(ctx, keys...)
}

func (t cellTable) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	return t.c.table.Scan(ctx, prefix)
}

func (t cellTable) Commit(ctx context.Context, txn hoist.Txn) error {
	return t.c.table.Commit(ctx, txn)
}

type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// runCell runs fn in a synctest bubble with a cell of the given size.
func runCell(t *testing.T, hosts, workers int, fn func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, hosts, workers, 8)
		defer func() {
			c.close()
			synctest.Wait()
		}()
		time.Sleep(3 * time.Second)
		fn(c)
	})
}

// newCell starts a cell. The workers have 1 GiB of memory for each core and are
// spread over three data centres with two racks each.
func newCell(t testing.TB, hosts, workers int, cores hoist.MilliCPU) *cell {
	c := &cell{
		t: t, platform: &plat.Platform{}, history: &work.History{},
		partitioned: make(map[[2]hoist.HostID]bool), repliesToLose: make(map[string]int), callsToDelay: make(map[string]int),
	}
	c.table = c.platform
	if isVerbose {
		c.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	for i := range workers {
		w := &work.Worker{
			ID: hoist.WorkerID(fmt.Sprintf("w%d", i)), DataCentre: hoist.DataCentreID(fmt.Sprintf("dc%d", i%3)),
			Rack: hoist.RackID(fmt.Sprintf("r%d", i%6)), Capacity: hoist.Resources{CPU: cores * 1000, Memory: hoist.MiB(cores * 1024)},
			History: c.history, AcceptsWhileLeaving: true,
		}
		c.workers = append(c.workers, w)
		c.listWorker(w, false)
	}
	for i := range hosts {
		c.addHost(i)
	}
	for _, h := range c.hosts {
		h.run()
	}
	for shard := range hoist.NumShards {
		c.assignShard(hoist.ShardID(shard), c.hosts[shard%hosts])
	}
	return c
}

func (c *cell) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	time.Sleep(lateCallDelay)
	for _, w := range c.workers {
		w.Close()
	}
}

func (c *cell) listWorker(w *work.Worker, isLeaving bool) {
	c.platform.Add(hoist.HostEntry{Kind: hoist.HostKindWorker, ID: string(w.ID), DataCentre: w.DataCentre, Rack: w.Rack, Leaving: isLeaving})
}

func (c *cell) addHost(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{cell: c, id: hoist.HostID(fmt.Sprintf("h%d", i)), stop: cancel, seenTerms: make(map[hoist.ShardID]hoist.Term)}
	byID := make(map[string]*work.Worker)
	for _, w := range c.workers {
		byID[string(w.ID)] = w
	}
	h.manager = &tasks.Manager{
		Ownership: h, HostList: c.platform, Table: cellTable{c}, Clock: bubbleClock{},
		Log:        c.log,
		DialWorker: func(l hoist.HostEntry) hoist.Worker { return byID[l.ID].Direct() },
	}
	c.hosts = append(c.hosts, h)
	h.run = func() {
		go h.manager.Run(ctx)
		go h.sendHeartbeats(ctx)
	}
}

// mayOwn reports whether the host can take over shards.
func (h *host) mayOwn() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return !h.isDead && !h.isLeaseExpired
}

func (h *host) hasDied() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.isDead
}

// sendHeartbeats sends a heartbeat to the other hosts every 500 ms.
func (h *host) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		heartbeat := hoist.Heartbeat{Host: h.id, Workers: h.manager.Workers(), Gang: h.manager.OldestGang()}
		for _, other := range h.cell.hosts {
			if other != h && h.cell.isConnected(h, other) {
				other.manager.HandleHeartbeat(heartbeat)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// assignShard makes a host the owner of a shard in the next term. As in a real
// cell, a host acquires a shard in ascending order of the terms.
func (c *cell) assignShard(shard hoist.ShardID, to *host) {
	c.assignMu.Lock()
	defer c.assignMu.Unlock()
	c.mu.Lock()
	c.owners[shard] = to
	c.terms[shard]++
	term := c.terms[shard]
	c.mu.Unlock()
	to.manager.Acquire([]hoist.ShardTerm{{Shard: shard, Term: term}}, nil, time.Now())
}

// takeOverShards expires the lease of a host and assigns its shards to the others.
func (c *cell) takeOverShards(from *host) {
	c.mu.Lock()
	from.isLeaseExpired = true
	var lost []hoist.ShardID
	for shard, owner := range c.owners {
		if owner == from {
			lost = append(lost, hoist.ShardID(shard))
		}
	}
	c.mu.Unlock()
	for i, shard := range lost {
		to := i
		for !c.hosts[to%len(c.hosts)].mayOwn() {
			to++
		}
		c.assignShard(shard, c.hosts[to%len(c.hosts)])
	}
}

// kill stops a host as if its process had been killed, and assigns its shards to
// other hosts after takeoverDelay.
func (c *cell) kill(h *host) {
	c.mu.Lock()
	h.isDead = true
	c.mu.Unlock()
	h.stop()
	time.Sleep(takeoverDelay)
	c.takeOverShards(h)
}

func (c *cell) setPartitioned(a, b *host, isPartitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[[2]hoist.HostID{a.id, b.id}] = isPartitioned
	c.partitioned[[2]hoist.HostID{b.id, a.id}] = isPartitioned
}

func (c *cell) isConnected(a, b *host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !a.isDead && !b.isDead && !c.partitioned[[2]hoist.HostID{a.id, b.id}]
}

func (c *cell) loseReplies(method string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repliesToLose[method] = n
}

func (c *cell) delayCalls(method string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsToDelay[method] = n
}

// jobOwner returns the host that owns the jobs of a team.
func (c *cell) jobOwner(team hoist.TeamID) *host {
	return c.ownerOf(hoist.ShardOf(hoist.KindTeam, string(team)))
}

// workerOwner returns the host that owns a worker.
func (c *cell) workerOwner(id hoist.WorkerID) *host {
	return c.ownerOf(hoist.ShardOf(hoist.KindWorker, string(id)))
}

func (c *cell) ownerOf(shard hoist.ShardID) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[shard]
}

// submit submits a job to the hosts in turn until one accepts it.
func (c *cell) submit(spec hoist.JobSpec) {
	c.t.Helper()
	for range 60 {
		for _, h := range c.hosts {
			if !h.hasDied() && h.submit(spec) == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("job %s was not accepted", spec.ID)
}

// submit submits a job to the host. It has a time-out because the host may be
// killed before it answers.
func (h *host) submit(spec hoist.JobSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.manager.Submit(ctx, spec)
}

// jobState returns the state of a job as its owner reports it, or the zero
// JobState if the owner does not know the job.
func (c *cell) jobState(spec hoist.JobSpec) hoist.JobState {
	states, _ := c.jobOwner(spec.Team).manager.ShowLocal(spec.Team)
	for _, s := range states {
		if s.Spec.ID == spec.ID {
			return s
		}
	}
	return hoist.JobState{}
}

// waitFor waits until isMet returns true and fails the test after limit.
func (c *cell) waitFor(condition string, limit time.Duration, isMet func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !isMet(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("after %s, condition %q is not met", limit, condition)
		}
	}
}

// runningTasks returns the running tasks of a job with their workers.
func (c *cell) runningTasks(job hoist.JobID) map[hoist.TaskID]hoist.WorkerID {
	out := make(map[hoist.TaskID]hoist.WorkerID)
	for _, w := range c.workers {
		for _, s := range w.Running() {
			if s.Job == job {
				out[s.Task] = w.ID
			}
		}
	}
	return out
}

// Self implements hoist.Ownership.
func (h *host) Self() hoist.HostID { return h.id }

// Owns implements hoist.Ownership.
func (h *host) Owns(shard hoist.ShardID) (hoist.Term, bool) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.cell.terms[shard], h.cell.owners[shard] == h && !h.isDead && !h.isLeaseExpired
}

// OwnerOf implements hoist.Ownership.
func (h *host) OwnerOf(shard hoist.ShardID) (hoist.HostID, bool) {
	return h.cell.ownerOf(shard).id, true
}

// Peer implements hoist.Ownership.
func (h *host) Peer(id hoist.HostID) (hoist.Peer, bool) {
	p, ok := h.Peers()[id]
	return p, ok
}

// Peers implements hoist.Ownership. It leaves out the hosts that were fenced.
func (h *host) Peers() map[hoist.HostID]hoist.Peer {
	out := make(map[hoist.HostID]hoist.Peer)
	for _, other := range h.cell.hosts {
		h.cell.mu.Lock()
		isFenced := other.isDead && other.isLeaseExpired
		h.cell.mu.Unlock()
		if other != h && !isFenced {
			out[other.id] = link{from: h, to: other}
		}
	}
	return out
}

// Accepts implements hoist.Ownership.
func (h *host) Accepts(shard hoist.ShardID, term hoist.Term) bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	if term < h.seenTerms[shard] {
		return false
	}
	h.seenTerms[shard] = term
	return true
}

// link is the connection of one host to another. It implements hoist.Peer.
type link struct {
	hoist.Peer
	from, to *host
}

// call makes a call over the link. The call hangs until its context ends if the
// hosts are partitioned; it may arrive late and its reply may be lost.
func (l link) call(ctx context.Context, method string, fn func()) error {
	c := l.from.cell
	if l.to.hasDied() {
		return hoist.ErrUnavailable
	}
	if !c.isConnected(l.from, l.to) {
		<-ctx.Done()
		return hoist.ErrOutcomeUnknown
	}
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	isLate := c.callsToDelay[method] > 0
	if isLate {
		c.callsToDelay[method]--
	}
	c.mu.Unlock()
	if isLate {
		go func() {
			time.Sleep(lateCallDelay)
			fn()
		}()
		return hoist.ErrOutcomeUnknown
	}
	fn()
	if !c.isConnected(l.from, l.to) {
		<-ctx.Done()
		return hoist.ErrOutcomeUnknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repliesToLose[method] > 0 {
		c.repliesToLose[method]--
		return hoist.ErrOutcomeUnknown
	}
	return nil
}

func (l link) callEach(ctx context.Context, method string, n int, fn func() []error) []error {
	var errs []error
	if err := l.call(ctx, method, func() { errs = fn() }); err != nil {
		errs = make([]error, n)
		for i := range errs {
			errs[i] = err
		}
	}
	return errs
}

func (l link) SubmitJob(ctx context.Context, s hoist.JobSpec) (err error) {
	if callErr := l.call(ctx, "submit", func() { err = l.to.manager.Accept(ctx, s) }); callErr != nil {
		return callErr
	}
	return err
}

func (l link) CancelJob(ctx context.Context, r hoist.JobRef) (err error) {
	if callErr := l.call(ctx, "cancel", func() { err = l.to.manager.CancelLocal(ctx, r) }); callErr != nil {
		return callErr
	}
	return err
}

func (l link) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return l.callEach(ctx, "reserve", len(ps), func() []error { return l.to.manager.Reserve(ctx, ps) })
}

func (l link) Start(ctx context.Context, ps []hoist.Placement) []error {
	// The receiver continues the call when the caller's context ends.
	detachedCtx := context.WithoutCancel(ctx)
	return l.callEach(ctx, "start", len(ps), func() []error { return l.to.manager.Start(detachedCtx, ps) })
}

func (l link) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	return l.callEach(ctx, "stop", len(ps), func() []error { return l.to.manager.Stop(ctx, ps, mode) })
}

func (l link) Unreserve(ctx context.Context, ps []hoist.Placement) error {
	return l.call(ctx, "unreserve", func() { _ = l.to.manager.Unreserve(ctx, ps) })
}

func (l link) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	return l.callEach(ctx, "ended", len(ends), func() []error { return l.to.manager.TaskEnded(ctx, ends) })
}

func (l link) Survey(ctx context.Context, shards []hoist.ShardTerm) (reply hoist.SurveyReply, err error) {
	if callErr := l.call(ctx, "survey", func() { reply, err = l.to.manager.Survey(shards) }); callErr != nil {
		return reply, callErr
	}
	return reply, err
}
