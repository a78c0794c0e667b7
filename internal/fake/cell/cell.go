// Package cell runs the entry hosts of a whole cell in memory, for tests and
// measurements. Each host runs only its membership manager. All of them share
// one stand-in for the table and exchange messages over in-memory links, and
// faults can be injected into both. The package works inside and outside a
// testing/synctest bubble.
//
// # Usage
//
//	c := &cell.Cell{Table: &plat.Platform{}}
//	a := c.Start(hoist.Member{Host: "a", Addr: "a:1", Weight: 4})
//	b := c.Start(hoist.Member{Host: "b", Addr: "b:1", Weight: 4})
//	a.Pause()
//	c.Partition("a:1", "b:1")
//	c.Heal()
//	c.Close()
//
// # Faults
//
// A paused process blocks before it sends or handles a message and before it
// uses a reply, so its answers are late once it resumes. A cut drops all messages
// in both directions. A killed process stops without leaving the cell. Faults of
// the table are those of plat.Fault, and a cut between a host and TableAddr.
package cell

import (
	"context"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/member"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// TableAddr is the address of the table in calls of Partition.
const TableAddr = "table"

// Cell is a set of processes. Set the exported fields before Start.
type Cell struct {
	Table *plat.Platform
	// Latency is the one-way delay of each message.
	Latency time.Duration
	// OnAcquire, if set, is called when a process starts to act for shards.
	OnAcquire func(p *Process, shards []hoist.ShardTerm)
	// OnWrite, if set, is called after each table write that returns while its
	// process is still alive, whether the write succeeded or failed.
	OnWrite func()

	mu         sync.Mutex
	processes  []*Process
	listeners  map[string]*Process
	partitions map[[2]string]bool
	handover   HandoverFault
	sent       map[MessageKind]int
	links      map[[2]string]int
	inFlight   sync.WaitGroup
}

// MessageKind is a kind of message between hosts.
type MessageKind string

// The kinds of messages that the membership manager sends.
const (
	Heartbeat MessageKind = "heartbeat"
	Promise   MessageKind = "promise"
	Release   MessageKind = "release"
	Claim     MessageKind = "claim"
	Handover  MessageKind = "handover"
)

// HandoverFault describes what happens to handovers.
type HandoverFault struct {
	// Lose is how many of the next handovers are dropped.
	Lose int
	// Delay is added to the latency of all others.
	Delay time.Duration
}

// Process is one process of an entry host.
type Process struct {
	Member  hoist.Member
	Manager *member.Manager

	cell   *Cell
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	paused chan struct{}
	isDead bool
}

// Start starts a process for the member m. An earlier process at the same address
// must have ended.
func (c *Cell) Start(m hoist.Member) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{Member: m, cell: c, cancel: cancel, done: make(chan struct{})}
	p.Manager = &member.Manager{
		Member:     m,
		Table:      tableLink{p},
		Dial:       p.dial,
		Clock:      clock{},
		Holders:    []hoist.ShardHolder{p},
		Heartbeats: p,
	}
	c.mu.Lock()
	if c.listeners == nil {
		c.listeners = make(map[string]*Process)
		c.partitions = make(map[[2]string]bool)
		c.sent = make(map[MessageKind]int)
		c.links = make(map[[2]string]int)
	}
	c.listeners[m.Addr] = p
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		defer close(p.done)
		// Run reports no errors.
		_ = p.Manager.Run(ctx)
		p.markDead()
	}()
	return p
}

// clock is the system clock; in a synctest bubble its time is fake.
type clock struct{}

// Now implements hoist.Clock.
func (clock) Now() time.Time {
	return time.Now()
}

// Close ends all faults, kills all processes, and waits until they have ended and
// no message is in flight.
func (c *Cell) Close() {
	c.Heal()
	for _, p := range c.Processes() {
		p.Kill()
	}
	c.inFlight.Wait()
}

// Processes returns the processes that have not ended, in the order in which they
// were started.
func (c *Cell) Processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Process
	for _, p := range c.processes {
		if !p.IsDead() {
			out = append(out, p)
		}
	}
	return out
}

// Partition drops all messages between two addresses, in both directions, until Heal.
func (c *Cell) Partition(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{a, b}] = true
	c.partitions[[2]string{b, a}] = true
}

// SetHandoverFault replaces the fault that applies to handovers.
func (c *Cell) SetHandoverFault(f HandoverFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = f
}

// Heal ends all partitions, pauses and faults.
func (c *Cell) Heal() {
	c.mu.Lock()
	clear(c.partitions)
	c.handover = HandoverFault{}
	c.mu.Unlock()
	c.Table.SetTableFault(plat.Fault{})
	for _, p := range c.Processes() {
		p.Resume()
	}
}

// Sent returns how many messages of a kind were sent so far, not counting replies.
func (c *Cell) Sent(kind MessageKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[kind]
}

// IsLinked reports whether the process at the address from has an open connection
// to the address to.
func (c *Cell) IsLinked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[[2]string{from, to}] > 0
}

// Owned returns how many shards have a process that may act for them now. A shard
// with two owners counts twice.
func (c *Cell) Owned() int {
	n := 0
	for _, p := range c.Processes() {
		for shard := range hoist.ShardID(hoist.NumShards) {
			if _, ok := p.Manager.Owns(shard); ok {
				n++
			}
		}
	}
	return n
}

// Members returns the members according to the rows of the table, whatever the
// fault of the table. Their electorates are those in the rows.
func (c *Cell) Members() map[hoist.HostID]hoist.Member {
	out := make(map[hoist.HostID]hoist.Member)
	for _, row := range c.Table.Rows("member/") {
		w, err := codec.DecodeTableRow[wire.Member](row)
		if err != nil {
			// Only the membership manager writes these rows.
			panic(err)
		}
		out[hoist.HostID(w.Host)] = codec.ToMember(w)
	}
	return out
}

func (c *Cell) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[[2]string{a, b}]
}

// Kill ends the process without leaving the cell, and waits until it has ended.
func (p *Process) Kill() {
	p.markDead()
	p.Resume()
	p.Manager.Kill()
	p.cancel()
	<-p.done
	p.Manager.Close()
}

// Leave makes the process leave the cell, and waits until it has ended.
func (p *Process) Leave() {
	p.cancel()
	<-p.done
	p.Manager.Close()
}

// Pause blocks the process at its next message or table call until Resume.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

// Resume lets a paused process go on.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// IsDead reports whether the process has ended.
func (p *Process) IsDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDead
}

func (p *Process) markDead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDead = true
}

// waitWhilePaused blocks while the process is paused. It reports whether the process
// is alive afterwards.
func (p *Process) waitWhilePaused() bool {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return !p.IsDead()
}

// FillHeartbeat implements hoist.HeartbeatHandler.
func (p *Process) FillHeartbeat(*hoist.Heartbeat) {}

// HandleHeartbeat implements hoist.HeartbeatHandler.
func (p *Process) HandleHeartbeat(hoist.Heartbeat) {}

// Acquire implements hoist.ShardHolder.
func (p *Process) Acquire(shards []hoist.ShardTerm, _ []hoist.KeyRecord, _ time.Time) {
	if p.cell.OnAcquire != nil && !p.IsDead() {
		p.cell.OnAcquire(p, shards)
	}
}

// Release implements hoist.ShardHolder.
func (p *Process) Release([]hoist.ShardID) []hoist.KeyRecord {
	return nil
}
