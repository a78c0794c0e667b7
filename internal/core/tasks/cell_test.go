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

// lateTime is how late a delayed call arrives: after its caller has given up,
// and after a takeover of the caller's shards and a survey.
const lateTime = 8 * time.Second

// takeoverTime is the time from a host's death to the claim of its shards.
const takeoverTime = 5 * time.Second

// cell is a cell in one process: hosts that call each other directly, workers
// and a table, on the clock of a synctest bubble.
type cell struct {
	t       testing.TB
	plat    *plat.Platform
	history *work.History
	workers []*work.Worker
	hosts   []*host
	// table is what the hosts use; it is plat unless a test limits it.
	table hoist.Table

	mu    sync.Mutex
	owner [hoist.NumShards]*host
	terms [hoist.NumShards]hoist.Term
	// cut are the pairs of hosts between which nothing passes.
	cut map[[2]hoist.HostID]bool
	// loseReplies counts the replies of each method that are still to be lost.
	loseReplies map[string]int
	// late counts the calls of each method that are still to arrive late.
	late map[string]int
	log  *slog.Logger

	// giving is held while a host hears of a term.
	giving sync.Mutex
}

// isVerbose writes the log of the hosts to standard error.
var isVerbose = os.Getenv("HOIST_TEST_LOG") != ""

// host is one entry host. It is the hoist.Ownership of its manager.
type host struct {
	cell     *cell
	id       hoist.HostID
	m        *tasks.Manager
	run      func()
	stop     context.CancelFunc
	isDead   bool
	hasLapse bool
	seen     map[hoist.ShardID]hoist.Term
}

// tableOf is the table that the cell uses now.
type tableOf struct{ c *cell }

func (t tableOf) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	return t.c.table.Read(ctx, keys...)
}

func (t tableOf) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	return t.c.table.Scan(ctx, prefix)
}

func (t tableOf) Commit(ctx context.Context, txn hoist.Txn) error {
	return t.c.table.Commit(ctx, txn)
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// runCell runs fn in a bubble with a cell of the given size.
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

// newCell starts a cell. The workers have 1 GiB for each core and are spread
// over three data centres with two racks each.
func newCell(t testing.TB, hosts, workers int, cores hoist.MilliCPU) *cell {
	c := &cell{
		t: t, plat: &plat.Platform{}, history: &work.History{},
		cut: make(map[[2]hoist.HostID]bool), loseReplies: make(map[string]int), late: make(map[string]int),
	}
	c.table = c.plat
	if isVerbose {
		c.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	for i := range workers {
		w := &work.Worker{
			ID: hoist.WorkerID(fmt.Sprintf("w%d", i)), DataCentre: hoist.DataCentreID(fmt.Sprintf("dc%d", i%3)),
			Rack: hoist.RackID(fmt.Sprintf("r%d", i%6)), Capacity: hoist.Resources{CPU: cores * 1000, Memory: hoist.MiB(cores * 1024)},
			History: c.history, TakesWhileLeaving: true,
		}
		c.workers = append(c.workers, w)
		c.list(w, false)
	}
	for i := range hosts {
		c.addHost(i)
	}
	for _, h := range c.hosts {
		h.run()
	}
	for shard := range hoist.NumShards {
		c.give(hoist.ShardID(shard), c.hosts[shard%hosts])
	}
	return c
}

func (c *cell) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	time.Sleep(lateTime)
	for _, w := range c.workers {
		w.Close()
	}
}

func (c *cell) list(w *work.Worker, isLeaving bool) {
	c.plat.Add(hoist.HostEntry{Kind: hoist.HostKindWorker, ID: string(w.ID), DataCentre: w.DataCentre, Rack: w.Rack, Leaving: isLeaving})
}

func (c *cell) addHost(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{cell: c, id: hoist.HostID(fmt.Sprintf("h%d", i)), stop: cancel, seen: make(map[hoist.ShardID]hoist.Term)}
	byID := make(map[string]*work.Worker)
	for _, w := range c.workers {
		byID[string(w.ID)] = w
	}
	h.m = &tasks.Manager{
		Own: h, HostList: c.plat, Table: tableOf{c}, Clock: clock{},
		Log:        c.log,
		DialWorker: func(l hoist.HostEntry) hoist.Worker { return byID[l.ID].Direct() },
	}
	c.hosts = append(c.hosts, h)
	h.run = func() {
		go h.m.Run(ctx)
		go h.beat(ctx)
	}
}

// mayOwn reports whether the host can take shards over.
func (h *host) mayOwn() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return !h.isDead && !h.hasLapse
}

func (h *host) died() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.isDead
}

// beat tells the other hosts what this one has, as heartbeats do.
func (h *host) beat(ctx context.Context) {
	for ctx.Err() == nil {
		beat := hoist.Heartbeat{Host: h.id, Workers: h.m.Workers(), Gang: h.m.OldestGang()}
		for _, other := range h.cell.hosts {
			if other != h && h.cell.reaches(h, other) {
				other.m.HandleHeartbeat(beat)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// give makes a host the owner of a shard in the next term. As with members of a
// cell, a host hears of its terms in rising order.
func (c *cell) give(shard hoist.ShardID, to *host) {
	c.giving.Lock()
	defer c.giving.Unlock()
	c.mu.Lock()
	c.owner[shard] = to
	c.terms[shard]++
	term := c.terms[shard]
	c.mu.Unlock()
	to.m.Acquire([]hoist.ShardTerm{{Shard: shard, Term: term}}, nil, time.Now())
}

// takeOver gives the shards of a host to the others.
func (c *cell) takeOver(from *host) {
	c.mu.Lock()
	from.hasLapse = true
	var lost []hoist.ShardID
	for shard, owner := range c.owner {
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
		c.give(shard, c.hosts[to%len(c.hosts)])
	}
}

// kill ends a host as if its process had died, and gives its shards away after
// the time of a takeover.
func (c *cell) kill(h *host) {
	c.mu.Lock()
	h.isDead = true
	c.mu.Unlock()
	h.stop()
	time.Sleep(takeoverTime)
	c.takeOver(h)
}

func (c *cell) setCut(a, b *host, isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]hoist.HostID{a.id, b.id}] = isCut
	c.cut[[2]hoist.HostID{b.id, a.id}] = isCut
}

func (c *cell) reaches(a, b *host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !a.isDead && !b.isDead && !c.cut[[2]hoist.HostID{a.id, b.id}]
}

func (c *cell) lose(method string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseReplies[method] = n
}

func (c *cell) delay(method string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late[method] = n
}

// jobOwner returns the host that keeps the jobs of a team, workerOwner the one
// that owns a worker.
func (c *cell) jobOwner(team hoist.TeamID) *host {
	return c.ownerOf(hoist.ShardOf(hoist.KindTeam, string(team)))
}

func (c *cell) workerOwner(id hoist.WorkerID) *host {
	return c.ownerOf(hoist.ShardOf(hoist.KindWorker, string(id)))
}

func (c *cell) ownerOf(shard hoist.ShardID) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner[shard]
}

// submit gives a job to the first live host until it is accepted.
func (c *cell) submit(spec hoist.JobSpec) {
	c.t.Helper()
	for range 60 {
		for _, h := range c.hosts {
			if !h.died() && h.submit(spec) == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("job %s was not accepted", spec.ID)
}

// submit gives up after some time, as the host may die in the middle.
func (h *host) submit(spec hoist.JobSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.m.Submit(ctx, spec)
}

// state returns what the owner of a job tells about it.
func (c *cell) state(spec hoist.JobSpec) hoist.JobState {
	states, _ := c.jobOwner(spec.Team).m.ShowOwn(spec.Team)
	for _, s := range states {
		if s.Spec.ID == spec.ID {
			return s
		}
	}
	return hoist.JobState{}
}

// waitFor waits until cond holds, for at most limit.
func (c *cell) waitFor(what string, limit time.Duration, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("after %s: not %s", limit, what)
		}
	}
}

// running returns where the tasks of a job run.
func (c *cell) running(job hoist.JobID) map[hoist.TaskID]hoist.WorkerID {
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
	return h.cell.terms[shard], h.cell.owner[shard] == h && !h.isDead && !h.hasLapse
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

// Peers implements hoist.Ownership: the hosts that were not fenced.
func (h *host) Peers() map[hoist.HostID]hoist.Peer {
	out := make(map[hoist.HostID]hoist.Peer)
	for _, other := range h.cell.hosts {
		h.cell.mu.Lock()
		isFenced := other.isDead && other.hasLapse
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
	if term < h.seen[shard] {
		return false
	}
	h.seen[shard] = term
	return true
}

// link is the hoist.Peer that one host sees of another.
type link struct {
	hoist.Peer
	from, to *host
}

// call makes a call over the link: it hangs if the hosts are cut off, and its
// reply may be lost.
func (l link) call(ctx context.Context, method string, fn func()) error {
	c := l.from.cell
	if l.to.died() {
		return hoist.ErrUnavailable
	}
	if !c.reaches(l.from, l.to) {
		<-ctx.Done()
		return hoist.ErrOutcomeUnknown
	}
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	isLate := c.late[method] > 0
	if isLate {
		c.late[method]--
	}
	c.mu.Unlock()
	if isLate {
		go func() {
			time.Sleep(lateTime)
			fn()
		}()
		return hoist.ErrOutcomeUnknown
	}
	fn()
	if !c.reaches(l.from, l.to) {
		<-ctx.Done()
		return hoist.ErrOutcomeUnknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseReplies[method] > 0 {
		c.loseReplies[method]--
		return hoist.ErrOutcomeUnknown
	}
	return nil
}

func (l link) each(ctx context.Context, method string, n int, fn func() []error) []error {
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
	if lost := l.call(ctx, "submit", func() { err = l.to.m.Accept(ctx, s) }); lost != nil {
		return lost
	}
	return err
}

func (l link) CancelJob(ctx context.Context, r hoist.JobRef) (err error) {
	if lost := l.call(ctx, "cancel", func() { err = l.to.m.CancelOwn(ctx, r) }); lost != nil {
		return lost
	}
	return err
}

func (l link) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return l.each(ctx, "reserve", len(ps), func() []error { return l.to.m.Reserve(ctx, ps) })
}

func (l link) Start(ctx context.Context, ps []hoist.Placement) []error {
	// A call goes on at its receiver when the caller gives up.
	there := context.WithoutCancel(ctx)
	return l.each(ctx, "start", len(ps), func() []error { return l.to.m.Start(there, ps) })
}

func (l link) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	return l.each(ctx, "stop", len(ps), func() []error { return l.to.m.Stop(ctx, ps, mode) })
}

func (l link) Unreserve(ctx context.Context, ps []hoist.Placement) error {
	return l.call(ctx, "unreserve", func() { _ = l.to.m.Unreserve(ctx, ps) })
}

func (l link) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	return l.each(ctx, "ended", len(ends), func() []error { return l.to.m.TaskEnded(ctx, ends) })
}

func (l link) Survey(ctx context.Context, shards []hoist.ShardTerm) (reply hoist.SurveyReply, err error) {
	if lost := l.call(ctx, "survey", func() { reply, err = l.to.m.Survey(shards) }); lost != nil {
		return reply, lost
	}
	return reply, err
}
