// Package cell is a stand-in for the network of a whole cell: entry hosts that
// run only their membership, over one table stand-in and links in memory, with
// faults. It is for tests and measurements, with the fake clock of
// testing/synctest or without.
//
// # Usage
//
//	c := &cell.Cell{Table: &plat.Platform{}}
//	a := c.Start(hoist.Member{Host: "a", Addr: "a:1", Weight: 4})
//	b := c.Start(hoist.Member{Host: "b", Addr: "b:1", Weight: 4})
//	a.Pause()
//	c.Cut("a:1", "b:1")
//	c.Heal()
//	c.Close()
//
// # Faults
//
// A paused process makes no step at the edges of its calls: it neither sends
// nor receives, and answers late when it resumes. A cut loses messages in both
// directions. A killed process stops without leaving. Faults of the table are
// those of plat.Fault, and a cut between a host and TableAddr.
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

// TableAddr stands for the table in Cut.
const TableAddr = "table"

// Cell is a set of processes. Set the exported fields before Start.
type Cell struct {
	Table *plat.Platform
	// Latency is the time that each message takes in one direction.
	Latency time.Duration
	// OnAcquire, if set, is called when a process starts to act for shards.
	OnAcquire func(p *Process, shards []hoist.ShardTerm)
	// OnWrite, if set, is called after each table write that a process knows
	// the outcome of.
	OnWrite func()

	mu        sync.Mutex
	processes []*Process
	listeners map[string]*Process
	cuts      map[[2]string]bool
	handover  HandoverFault
	sent      map[Message]int
	links     map[[2]string]int
	inFlight  sync.WaitGroup
}

// Message names a kind of message between hosts.
type Message string

// The messages that the membership sends.
const (
	Heartbeat Message = "heartbeat"
	Promise   Message = "promise"
	Release   Message = "release"
	Claim     Message = "claim"
	Handover  Message = "handover"
)

// HandoverFault describes what happens to handovers.
type HandoverFault struct {
	// Lose drops this many of them.
	Lose int
	// Delay delivers the others late.
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

// Start starts a process. A process that listens at the same address must have
// ended before.
func (c *Cell) Start(m hoist.Member) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{Member: m, cell: c, cancel: cancel, done: make(chan struct{})}
	p.Manager = &member.Manager{
		Member:     m,
		Table:      tableOf{p},
		Dial:       p.dial,
		Clock:      clock{},
		Holders:    []hoist.ShardHolder{p},
		Heartbeats: p,
	}
	c.mu.Lock()
	if c.listeners == nil {
		c.listeners = make(map[string]*Process)
		c.cuts = make(map[[2]string]bool)
		c.sent = make(map[Message]int)
		c.links = make(map[[2]string]int)
	}
	c.listeners[m.Addr] = p
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		defer close(p.done)
		// Run reports no errors.
		_ = p.Manager.Run(ctx)
		p.end()
	}()
	return p
}

// clock is the clock of the process, which synctest replaces.
type clock struct{}

// Now implements hoist.Clock.
func (clock) Now() time.Time {
	return time.Now()
}

// Close kills all processes and waits for their ends and for the messages in
// flight.
func (c *Cell) Close() {
	c.Heal()
	for _, p := range c.Processes() {
		p.Kill()
	}
	c.inFlight.Wait()
}

// Processes returns all processes that were started and have not ended, in the
// order of their starts.
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

// Cut loses all messages between two addresses.
func (c *Cell) Cut(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{a, b}] = true
	c.cuts[[2]string{b, a}] = true
}

// SetHandoverFault replaces the fault of handovers.
func (c *Cell) SetHandoverFault(f HandoverFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = f
}

// Heal ends all cuts, pauses and faults.
func (c *Cell) Heal() {
	c.mu.Lock()
	clear(c.cuts)
	c.handover = HandoverFault{}
	c.mu.Unlock()
	c.Table.SetTableFault(plat.Fault{})
	for _, p := range c.Processes() {
		p.Resume()
	}
}

// Sent returns how many messages of a kind were sent so far, without replies.
func (c *Cell) Sent(kind Message) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[kind]
}

// IsLinked reports whether the process at the address from keeps a connection
// to another address.
func (c *Cell) IsLinked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[[2]string{from, to}] > 0
}

// Owned counts the shards that a process may act for at this moment. A shard
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

// Members returns the member rows of the table, whatever its fault. The
// electorates are as the rows have them.
func (c *Cell) Members() map[hoist.HostID]hoist.Member {
	out := make(map[hoist.HostID]hoist.Member)
	for _, row := range c.Table.Rows("member/") {
		w, err := codec.DecodeValue[wire.Member](row)
		if err != nil {
			// Only the membership writes these rows.
			panic(err)
		}
		out[hoist.HostID(w.Host)] = codec.ToMember(w)
	}
	return out
}

func (c *Cell) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{a, b}]
}

// Kill ends the process without leaving.
func (p *Process) Kill() {
	p.end()
	p.Resume()
	p.Manager.Kill()
	p.cancel()
	<-p.done
	p.Manager.Close()
}

// Leave makes the process leave the cell, and waits until it has.
func (p *Process) Leave() {
	p.cancel()
	<-p.done
	p.Manager.Close()
}

// Pause stops the process at the edges of its calls until Resume.
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

func (p *Process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDead = true
}

// step waits while the process is paused. It reports whether the process is
// still alive then.
func (p *Process) step() bool {
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
