// Package simnet simulates a cell for tests of routers: three hosts with a router
// each, three executors, a table, and a network that loses and delays messages.
// It opens no sockets, so that it can run in a testing/synctest bubble.
//
// # Usage
//
//	c := simnet.New(ctx, seed, 20, serviceTime)
//	c.Kill(c.Hosts[0])
//	runs := c.Runs(key)
package simnet

import (
	"context"
	"fmt"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

// Clock is the system clock; in a synctest bubble its time is fake.
type Clock struct{}

// Now implements hoist.Clock.
func (Clock) Now() time.Time { return time.Now() }

// Cell is a simulated cell. The fault of a message depends only on the seed and on
// the message itself, so that the order in which goroutines run does not change it.
type Cell struct {
	seed         uint64
	faultPercent int // percentage of messages that are late or lost
	mu           sync.Mutex
	// sent counts the messages of each sender, kind and key.
	sent map[string]int
	// leaving holds the executors that the host list reports as leaving.
	leaving map[hoist.ExecutorID]bool
	// term and owner are the current ones of each shard.
	term  [hoist.NumShards]hoist.Term
	owner [hoist.NumShards]hoist.HostID
	// Hosts are the entry hosts.
	Hosts []*Host
	// Table is the table and object store of all hosts.
	Table *plat.Platform
	// Execs are the executors.
	Execs []*execd.Executor
}

// Host is one entry host. It implements hoist.Ownership for its router.
type Host struct {
	cell           *Cell
	ID             hoist.HostID
	Router         *route.Router
	isDead         bool
	isFenced       bool // fenced in the table
	isLeaseExpired bool
	// highestTerm is the highest term of each shard that the host has seen.
	highestTerm [hoist.NumShards]hoist.Term
	// ownedTerm is the term in which the host owns a shard, 0 if it does not.
	ownedTerm [hoist.NumShards]hoist.Term
	// knownOwner is the owner of each shard as far as the host knows.
	knownOwner [hoist.NumShards]hoist.HostID
	stop       context.CancelFunc
}

// New starts a cell that stops when ctx ends. Of its messages faultPercent percent
// are late or lost. The executors run each request for the time that serviceTime
// returns.
func New(ctx context.Context, seed uint64, faultPercent int, serviceTime func(hoist.RequestKey) time.Duration) *Cell {
	c := &Cell{seed: seed, faultPercent: faultPercent, sent: make(map[string]int), leaving: make(map[hoist.ExecutorID]bool), Table: &plat.Platform{}}
	for i := range 3 {
		c.Execs = append(c.Execs, &execd.Executor{ID: hoist.ExecutorID(fmt.Sprintf("e%d", i)), Slots: 4, ServiceTime: serviceTime})
	}
	for i := range 3 {
		h := &Host{cell: c, ID: hoist.HostID(fmt.Sprintf("h%d", i))}
		h.Router = &route.Router{Ownership: h, HostList: c, Table: c.Table, Store: c.Table, Clock: Clock{}, DialExecutor: func(entry hoist.HostEntry) hoist.Executor {
			for _, e := range c.Execs {
				if string(e.ID) == entry.ID {
					return &executorLink{Executor: e, cell: c, from: h}
				}
			}
			return nil
		}}
		c.Hosts = append(c.Hosts, h)
	}
	for _, h := range c.Hosts {
		var runCtx context.Context
		runCtx, h.stop = context.WithCancel(ctx)
		go h.Router.Run(runCtx)
		go h.sendHeartbeats(runCtx)
	}
	for s := range hoist.NumShards {
		c.moveShards([]hoist.ShardID{hoist.ShardID(s)}, c.Hosts[s%3], nil, time.Now())
	}
	return c
}

// List implements hoist.HostList.
func (c *Cell) List(context.Context) ([]hoist.HostEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []hoist.HostEntry
	for _, e := range c.Execs {
		out = append(out, hoist.HostEntry{Kind: hoist.HostKindExecutor, ID: string(e.ID), Service: "s", Leaving: c.leaving[e.ID]})
	}
	return out, nil
}

// ListLeaving makes the host list report an executor as leaving.
func (c *Cell) ListLeaving(id hoist.ExecutorID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[id] = true
}

// moveShards transfers shards to a new owner, each in its next term. The router of the
// new owner gets the key records and the horizon, the cut-off of issue times before
// which it refuses unknown keys.
func (c *Cell) moveShards(shards []hoist.ShardID, to *Host, keys []hoist.KeyRecord, horizon time.Time) {
	var terms []hoist.ShardTerm
	c.mu.Lock()
	for _, s := range shards {
		c.term[s]++
		c.owner[s] = to.ID
		to.ownedTerm[s], to.highestTerm[s] = c.term[s], c.term[s]
		terms = append(terms, hoist.ShardTerm{Shard: s, Term: c.term[s]})
		for i, h := range c.Hosts {
			// For each shard about one host in four misses the claim message and
			// learns of the new owner 1.3 s later, as from the table.
			if h != to && int(s+hoist.ShardID(i))%4 == 0 {
				time.AfterFunc(1300*time.Millisecond, func() { h.observeOwner(s) })
				continue
			}
			h.observeOwnerLocked(s)
		}
	}
	c.mu.Unlock()
	to.Router.Acquire(terms, keys, horizon)
}

// observeOwner updates what the host knows about the owner and term of a shard.
func (h *Host) observeOwner(s hoist.ShardID) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	h.observeOwnerLocked(s)
}

// observeOwnerLocked is observeOwner for callers that hold the mutex of the cell.
func (h *Host) observeOwnerLocked(s hoist.ShardID) {
	h.knownOwner[s] = h.cell.owner[s]
	h.highestTerm[s] = max(h.highestTerm[s], h.cell.term[s])
}

func (c *Cell) ownedBy(h *Host) []hoist.ShardID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []hoist.ShardID
	for s, owner := range c.owner {
		if owner == h.ID {
			out = append(out, hoist.ShardID(s))
		}
	}
	return out
}

// takeOver fences a host that is dead or whose lease has expired, and moves its
// shards to the others.
func (c *Cell) takeOver(from *Host) {
	c.mu.Lock()
	from.isFenced = true
	c.mu.Unlock()
	for _, s := range c.ownedBy(from) {
		for i := range c.Hosts {
			to := c.Hosts[(int(s)+i)%len(c.Hosts)]
			c.mu.Lock()
			canOwn := to != from && !to.isDead && !to.isLeaseExpired
			c.mu.Unlock()
			if canOwn {
				c.moveShards([]hoist.ShardID{s}, to, nil, time.Now().Add(dedup.ClockSkew))
				break
			}
		}
	}
}

// HandOver moves half of the shards of a host to another in a planned handover. It
// moves none if the other host is dead or its lease has expired.
func (c *Cell) HandOver(from, to *Host) {
	var shards []hoist.ShardID
	c.mu.Lock()
	for s := range from.ownedTerm {
		if from.ownedTerm[s] != 0 && from.ownedTerm[s] == c.term[s] && s%2 == 0 && from != to && !to.isDead && !to.isLeaseExpired {
			shards = append(shards, hoist.ShardID(s))
			from.ownedTerm[s] = 0
		}
	}
	c.mu.Unlock()
	horizon := time.Now()
	keys := from.Router.Release(shards)
	time.Sleep(30 * time.Millisecond)
	c.moveShards(shards, to, keys, horizon)
}

// ExpireLease makes the lease of a host expire. The other hosts take over its shards
// 4 s later. After the outage the host has a lease again, but no shards, and the call
// returns. It does nothing if the lease has expired already.
func (c *Cell) ExpireLease(h *Host, outage time.Duration) {
	c.mu.Lock()
	wasExpired := h.isLeaseExpired
	h.isLeaseExpired = true
	c.mu.Unlock()
	if wasExpired {
		return
	}
	time.Sleep(4 * time.Second)
	c.takeOver(h)
	time.Sleep(outage)
	c.mu.Lock()
	var released []hoist.ShardID
	for s := range h.ownedTerm {
		if h.ownedTerm[s] != 0 {
			released = append(released, hoist.ShardID(s))
		}
		h.ownedTerm[s] = 0
		h.observeOwnerLocked(hoist.ShardID(s))
	}
	c.mu.Unlock()
	h.Router.Release(released)
	c.mu.Lock()
	h.isLeaseExpired, h.isFenced = false, false
	c.mu.Unlock()
}

// Kill ends a host. The other hosts take over its shards 4 s later.
func (c *Cell) Kill(h *Host) {
	c.mu.Lock()
	h.isDead = true
	c.mu.Unlock()
	h.stop()
	time.Sleep(4 * time.Second)
	c.takeOver(h)
}

// drawFault returns the fault of a message: its delay, and whether the message or
// its answer is lost.
func (c *Cell) drawFault(from *Host, kind string, key hoist.RequestKey) (delay time.Duration, isLost, isAnswerLost bool) {
	c.mu.Lock()
	id := fmt.Sprintf("%d/%s/%s/%s", c.seed, from.ID, kind, key)
	c.sent[id]++
	id = fmt.Sprintf("%s/%d", id, c.sent[id])
	c.mu.Unlock()
	n := int(hoist.DigestOf([]byte(id)) % 1_000_000)
	delay = time.Duration(1+n%10) * time.Millisecond
	switch roll := n / 10 % 100; {
	case roll < c.faultPercent/4:
		return delay, true, false
	case roll < c.faultPercent/2:
		return delay, false, true
	case roll < c.faultPercent:
		// Up to 6 s, so that a takeover can happen before the message arrives.
		return delay + time.Duration(n%6000)*time.Millisecond, false, false
	}
	return delay, false, false
}

// deliver makes a call over the simulated network. A lost message looks like a
// half-open connection: there is no answer, and the outcome is unknown when ctx ends
// or 3 s have passed.
func deliver(ctx context.Context, c *Cell, from *Host, kind string, key hoist.RequestKey, isUp func() bool,
	call func(context.Context) (hoist.Answer, error),
) (hoist.Answer, error) {
	delay, isLost, isAnswerLost := c.drawFault(from, kind, key)
	if !isUp() {
		return hoist.Answer{}, hoist.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second+delay)
	defer cancel()
	replies := make(chan reply, 1)
	go func() {
		time.Sleep(delay)
		if isLost || !isUp() {
			return
		}
		answer, err := call(context.WithoutCancel(ctx))
		if !isAnswerLost && isUp() {
			replies <- reply{answer, err}
		}
	}()
	select {
	case r := <-replies:
		return r.answer, r.err
	case <-ctx.Done():
		return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// reply is the result of a call.
type reply struct {
	answer hoist.Answer
	err    error
}

// executorLink is the network connection of a host to an executor.
type executorLink struct {
	*execd.Executor
	cell *Cell
	from *Host
}

func (l *executorLink) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	// The connection breaks when the executor process that accepted it ends.
	process := l.Process()
	isUp := func() bool { return l.from.IsUp() && l.Process() == process }
	return deliver(ctx, l.cell, l.from, "run", a.Request.Key, isUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.Executor.Run(ctx, term, a)
	})
}

func (l *executorLink) ResolveOutcome(ctx context.Context, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo) (hoist.Answer, error) {
	return deliver(ctx, l.cell, l.from, "settle", key, l.from.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.Executor.ResolveOutcome(ctx, term, key, no)
	})
}

// link is the network connection between two hosts.
type link struct {
	hoist.Peer
	from, to *Host
}

func (l *link) IsUp() bool { return l.from.IsUp() && l.to.IsUp() }

func (l *link) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	return deliver(ctx, l.from.cell, l.from, "submit", r.Key, l.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.to.Router.Coordinate(ctx, r)
	})
}

func (l *link) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	return deliver(ctx, l.from.cell, l.from, "dispatch", a.Request.Key, l.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.to.Router.Dispatch(ctx, a)
	})
}

// IsUp reports whether the host has not been killed.
func (h *Host) IsUp() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return !h.isDead
}

// sendHeartbeats reports the slots of this host to the other hosts every 500 ms.
func (h *Host) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		for _, other := range h.cell.Hosts {
			if other != h && h.IsUp() {
				other.Router.HandleHeartbeat(hoist.Heartbeat{Host: h.ID, Slots: h.Router.Slots()})
			}
		}
	}
}

// Self implements hoist.Ownership.
func (h *Host) Self() hoist.HostID { return h.ID }

// Owns implements hoist.Ownership.
func (h *Host) Owns(s hoist.ShardID) (hoist.Term, bool) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.ownedTerm[s], h.ownedTerm[s] != 0 && h.ownedTerm[s] >= h.highestTerm[s] && !h.isDead && !h.isLeaseExpired
}

// OwnerOf implements hoist.Ownership.
func (h *Host) OwnerOf(s hoist.ShardID) (hoist.HostID, bool) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.knownOwner[s], true
}

// Peer implements hoist.Ownership.
func (h *Host) Peer(id hoist.HostID) (hoist.Peer, bool) {
	p, ok := h.Peers()[id]
	return p, ok
}

// Peers implements hoist.Ownership.
func (h *Host) Peers() map[hoist.HostID]hoist.Peer {
	out := make(map[hoist.HostID]hoist.Peer)
	for _, other := range h.cell.Hosts {
		h.cell.mu.Lock()
		isFenced := other.isFenced
		h.cell.mu.Unlock()
		if other != h && !isFenced {
			out[other.ID] = &link{from: h, to: other}
		}
	}
	return out
}

// Accepts implements hoist.Ownership.
func (h *Host) Accepts(s hoist.ShardID, term hoist.Term) bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	if term < h.highestTerm[s] {
		return false
	}
	h.highestTerm[s] = term
	return true
}

// Runs returns how often the request with this key was started at all executors.
func (c *Cell) Runs(key hoist.RequestKey) int {
	n := 0
	for _, e := range c.Execs {
		n += e.Runs()[key]
	}
	return n
}
