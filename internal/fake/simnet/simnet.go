// Package simnet is a stand-in for the cell around routers: three hosts with a
// router each, executors, a table, and a network that loses and delays messages.
// It opens no socket, so that it can run in a bubble with fake time.
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

// Clock is the system clock, or that of a bubble.
type Clock struct{}

// Now implements hoist.Clock.
func (Clock) Now() time.Time { return time.Now() }

// Cell is a cell of routers over fakes. Faults of messages follow from a seed
// and the message, so that a scenario does not depend on the order of goroutines.
type Cell struct {
	seed uint64
	slow int // messages out of 100 that are late or lost
	mu   sync.Mutex
	sent map[string]int
	// leaving holds the executors that the host list says to be leaving.
	leaving map[hoist.ExecutorID]bool
	term    [hoist.NumShards]hoist.Term
	owner   [hoist.NumShards]hoist.HostID
	// Hosts are the entry hosts.
	Hosts []*Host
	// Table is the platform of all hosts.
	Table *plat.Platform
	// Execs are the executors.
	Execs []*execd.Executor
}

// Host is one entry host; it is the hoist.Ownership of its router.
type Host struct {
	cell     *Cell
	ID       hoist.HostID
	Router   *route.Router
	isDead   bool
	isGone   bool // fenced in the table
	isLapsed bool
	seen     [hoist.NumShards]hoist.Term
	active   [hoist.NumShards]hoist.Term
	view     [hoist.NumShards]hoist.HostID
	stop     context.CancelFunc
}

// New starts a cell. Of 100 messages slow are late or lost.
func New(ctx context.Context, seed uint64, slow int, service func(hoist.RequestKey) time.Duration) *Cell {
	c := &Cell{seed: seed, slow: slow, sent: make(map[string]int), leaving: make(map[hoist.ExecutorID]bool), Table: &plat.Platform{}}
	for i := range 3 {
		c.Execs = append(c.Execs, &execd.Executor{ID: hoist.ExecutorID(fmt.Sprintf("e%d", i)), Slots: 4, ServiceTime: service})
	}
	for i := range 3 {
		h := &Host{cell: c, ID: hoist.HostID(fmt.Sprintf("h%d", i))}
		h.Router = &route.Router{Own: h, HostList: c, Table: c.Table, Store: c.Table, Clock: Clock{}, DialExecutor: func(l hoist.HostEntry) hoist.Executor {
			for _, e := range c.Execs {
				if string(e.ID) == l.ID {
					return &cable{Executor: e, cell: c, from: h}
				}
			}
			return nil
		}}
		c.Hosts = append(c.Hosts, h)
	}
	for _, h := range c.Hosts {
		var run context.Context
		run, h.stop = context.WithCancel(ctx)
		go h.Router.Run(run)
		go h.beat(run)
	}
	for s := range hoist.NumShards {
		c.move([]hoist.ShardID{hoist.ShardID(s)}, c.Hosts[s%3], nil, time.Now())
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

// ListLeaving makes the host list say that an executor is leaving.
func (c *Cell) ListLeaving(id hoist.ExecutorID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[id] = true
}

// move makes to the owner of shards in the next term.
func (c *Cell) move(shards []hoist.ShardID, to *Host, keys []hoist.KeyRecord, horizon time.Time) {
	var terms []hoist.ShardTerm
	c.mu.Lock()
	for _, s := range shards {
		c.term[s]++
		c.owner[s] = to.ID
		to.active[s], to.seen[s] = c.term[s], c.term[s]
		terms = append(terms, hoist.ShardTerm{Shard: s, Term: c.term[s]})
		for i, h := range c.Hosts {
			// One host in four misses the announcement and reads the table later.
			if h != to && int(s+hoist.ShardID(i))%4 == 0 {
				time.AfterFunc(1300*time.Millisecond, func() { h.learn(s) })
				continue
			}
			h.learnLocked(s)
		}
	}
	c.mu.Unlock()
	to.Router.Acquire(terms, keys, horizon)
}

func (h *Host) learn(s hoist.ShardID) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	h.learnLocked(s)
}

func (h *Host) learnLocked(s hoist.ShardID) {
	h.view[s] = h.cell.owner[s]
	h.seen[s] = max(h.seen[s], h.cell.term[s])
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

// takeOver moves the shards of a lapsed host to the others.
func (c *Cell) takeOver(from *Host) {
	c.mu.Lock()
	from.isGone = true
	c.mu.Unlock()
	for _, s := range c.ownedBy(from) {
		for i := range c.Hosts {
			to := c.Hosts[(int(s)+i)%len(c.Hosts)]
			c.mu.Lock()
			isLive := to != from && !to.isDead && !to.isLapsed
			c.mu.Unlock()
			if isLive {
				c.move([]hoist.ShardID{s}, to, nil, time.Now().Add(dedup.ClockSkew))
				break
			}
		}
	}
}

// HandOver moves half of the shards of a host to another as planned.
func (c *Cell) HandOver(from, to *Host) {
	var shards []hoist.ShardID
	c.mu.Lock()
	for s := range from.active {
		if from.active[s] != 0 && from.active[s] == c.term[s] && s%2 == 0 && from != to && !to.isDead && !to.isLapsed {
			shards = append(shards, hoist.ShardID(s))
			from.active[s] = 0
		}
	}
	c.mu.Unlock()
	horizon := time.Now()
	keys := from.Router.Release(shards)
	time.Sleep(30 * time.Millisecond)
	c.move(shards, to, keys, horizon)
}

// ExpireLease ends the lease of a host until it comes back without shards.
func (c *Cell) ExpireLease(h *Host, back time.Duration) {
	c.mu.Lock()
	wasLapsed := h.isLapsed
	h.isLapsed = true
	c.mu.Unlock()
	if wasLapsed {
		return
	}
	time.Sleep(4 * time.Second)
	c.takeOver(h)
	time.Sleep(back)
	c.mu.Lock()
	var lost []hoist.ShardID
	for s := range h.active {
		if h.active[s] != 0 {
			lost = append(lost, hoist.ShardID(s))
		}
		h.active[s] = 0
		h.learnLocked(hoist.ShardID(s))
	}
	c.mu.Unlock()
	h.Router.Release(lost)
	c.mu.Lock()
	h.isLapsed, h.isGone = false, false
	c.mu.Unlock()
}

// Kill ends a host, whose shards the others take over.
func (c *Cell) Kill(h *Host) {
	c.mu.Lock()
	h.isDead = true
	c.mu.Unlock()
	h.stop()
	time.Sleep(4 * time.Second)
	c.takeOver(h)
}

// fate decides what becomes of a message: how long it takes, and whether it or
// its answer is lost.
func (c *Cell) fate(from *Host, kind string, key hoist.RequestKey) (delay time.Duration, isLost, isAnswerLost bool) {
	c.mu.Lock()
	id := fmt.Sprintf("%d/%s/%s/%s", c.seed, from.ID, kind, key)
	c.sent[id]++
	id = fmt.Sprintf("%s/%d", id, c.sent[id])
	c.mu.Unlock()
	n := int(hoist.DigestOf([]byte(id)) % 1_000_000)
	delay = time.Duration(1+n%10) * time.Millisecond
	switch roll := n / 10 % 100; {
	case roll < c.slow/4:
		return delay, true, false
	case roll < c.slow/2:
		return delay, false, true
	case roll < c.slow:
		// Late enough for a takeover to happen meanwhile.
		return delay + time.Duration(n%6000)*time.Millisecond, false, false
	}
	return delay, false, false
}

// carry takes a call over the network. Lost messages look like a half-open
// connection: nothing comes back until the caller gives up or 3 s have passed.
func carry(ctx context.Context, c *Cell, from *Host, kind string, key hoist.RequestKey, isUp func() bool,
	call func(context.Context) (hoist.Answer, error),
) (hoist.Answer, error) {
	delay, isLost, isAnswerLost := c.fate(from, kind, key)
	if !isUp() {
		return hoist.Answer{}, hoist.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second+delay)
	defer cancel()
	out := make(chan reply, 1)
	go func() {
		time.Sleep(delay)
		if isLost || !isUp() {
			return
		}
		answer, err := call(context.WithoutCancel(ctx))
		if !isAnswerLost && isUp() {
			out <- reply{answer, err}
		}
	}()
	select {
	case o := <-out:
		return o.answer, o.err
	case <-ctx.Done():
		return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// reply is what came back of a message.
type reply struct {
	answer hoist.Answer
	err    error
}

// cable is the network between a host and an executor.
type cable struct {
	*execd.Executor
	cell *Cell
	from *Host
}

func (w *cable) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	// A connection ends with the process that accepted it.
	process := w.Process()
	isUp := func() bool { return w.from.IsUp() && w.Process() == process }
	return carry(ctx, w.cell, w.from, "run", a.Request.Key, isUp, func(ctx context.Context) (hoist.Answer, error) {
		return w.Executor.Run(ctx, term, a)
	})
}

func (w *cable) ResolveOutcome(ctx context.Context, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo) (hoist.Answer, error) {
	return carry(ctx, w.cell, w.from, "settle", key, w.from.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return w.Executor.ResolveOutcome(ctx, term, key, no)
	})
}

// link is the network between two hosts.
type link struct {
	hoist.Peer
	from, to *Host
}

func (l *link) IsUp() bool { return l.from.IsUp() && l.to.IsUp() }

func (l *link) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	return carry(ctx, l.from.cell, l.from, "submit", r.Key, l.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.to.Router.Coordinate(ctx, r)
	})
}

func (l *link) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	return carry(ctx, l.from.cell, l.from, "dispatch", a.Request.Key, l.IsUp, func(ctx context.Context) (hoist.Answer, error) {
		return l.to.Router.Dispatch(ctx, a)
	})
}

// IsUp reports whether the host has not been killed.
func (h *Host) IsUp() bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return !h.isDead
}

// beat tells the other hosts of free slots.
func (h *Host) beat(ctx context.Context) {
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
	return h.active[s], h.active[s] != 0 && h.active[s] >= h.seen[s] && !h.isDead && !h.isLapsed
}

// OwnerOf implements hoist.Ownership.
func (h *Host) OwnerOf(s hoist.ShardID) (hoist.HostID, bool) {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	return h.view[s], true
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
		isGone := other.isGone
		h.cell.mu.Unlock()
		if other != h && !isGone {
			out[other.ID] = &link{from: h, to: other}
		}
	}
	return out
}

// Accepts implements hoist.Ownership.
func (h *Host) Accepts(s hoist.ShardID, term hoist.Term) bool {
	h.cell.mu.Lock()
	defer h.cell.mu.Unlock()
	if term < h.seen[s] {
		return false
	}
	h.seen[s] = term
	return true
}

// Runs counts the starts of a key at all executors.
func (c *Cell) Runs(key hoist.RequestKey) int {
	n := 0
	for _, e := range c.Execs {
		n += e.Runs()[key]
	}
	return n
}
