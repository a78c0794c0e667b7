package member_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/cell"
	"fuchsiahoist.example/hoist/internal/fake/plat"
)

// checkedCell is a cell whose invariants are checked continuously.
type checkedCell struct {
	*cell.Cell
	startedAt time.Time

	mu        sync.Mutex
	violation string
	terms     [hoist.NumShards]hoist.Term
	downSince time.Time
}

func newCheckedCell(hosts int) *checkedCell {
	c := &checkedCell{Cell: &cell.Cell{Table: &plat.Platform{}, Latency: time.Millisecond}, startedAt: time.Now()}
	c.OnAcquire = c.assertAcquire
	c.OnWrite = func() { c.assertSoleOwners(); c.assertFencedHaveNoLease() }
	for i := range hosts {
		c.Start(hostAt(i, 1))
	}
	return c
}

// hostAt describes host i at its first or another address.
func hostAt(i, port int) hoist.Member {
	host := hoist.HostID(fmt.Sprintf("h%d", i))
	return hoist.Member{Host: host, Addr: fmt.Sprintf("%s:%d", host, port), Weight: 4 + 4*(i%2)}
}

func (c *checkedCell) failf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.violation == "" {
		c.violation = fmt.Sprintf("after %v: ", time.Since(c.startedAt)) + fmt.Sprintf(format, args...)
	}
}

// assertSoleOwners asserts that no two hosts pass Owns for the same shard at the
// same time. A paused process counts, since it acts when it resumes.
func (c *checkedCell) assertSoleOwners() {
	var owners [hoist.NumShards]*cell.Process
	for _, p := range c.Processes() {
		for shard := range owners {
			if _, ok := p.Manager.Owns(hoist.ShardID(shard)); !ok {
				continue
			}
			if other := owners[shard]; other != nil {
				c.failf("%s and %s both own shard %d", other.Member.Addr, p.Member.Addr, shard)
			}
			owners[shard] = p
		}
	}
}

// assertFencedHaveNoLease asserts that no host is fenced, or replaced by a process
// at another address, while its lease is valid.
func (c *checkedCell) assertFencedHaveNoLease() {
	var ready []*cell.Process
	for _, p := range c.Processes() {
		if p.Manager.IsReady() {
			ready = append(ready, p)
		}
	}
	rows := c.Members()
	for _, p := range ready {
		if !p.Manager.IsReady() {
			continue // the lease expired before the rows were read
		}
		m := rows[p.Member.Host]
		if m.State.HasEnded() || m.Addr != p.Member.Addr {
			c.failf("%s has a valid lease although its row is %+v", p.Member.Addr, m)
		}
	}
}

// assertAcquire asserts that terms never decrease and that no host acquires shards
// while the table is down. A claim written just before may take effect within the
// first second.
func (c *checkedCell) assertAcquire(p *cell.Process, shards []hoist.ShardTerm) {
	c.assertSoleOwners()
	c.mu.Lock()
	isDown := !c.downSince.IsZero() && time.Since(c.downSince) > time.Second
	old := c.terms
	for _, s := range shards {
		c.terms[s.Shard] = max(c.terms[s.Shard], s.Term)
	}
	c.mu.Unlock()
	if isDown {
		c.failf("%s acquired %d shards while the table was down", p.Member.Addr, len(shards))
	}
	for _, s := range shards {
		if s.Term < old[s.Shard] {
			c.failf("%s acquired shard %d in term %d after term %d", p.Member.Addr, s.Shard, s.Term, old[s.Shard])
		}
	}
}

// run waits for d and checks the invariants meanwhile.
func (c *checkedCell) run(d time.Duration) {
	step := max(100*time.Millisecond, d/1000)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(step, time.Until(end)))
		c.assertSoleOwners()
		c.assertFencedHaveNoLease()
	}
}

func (c *checkedCell) setTable(f plat.Fault) {
	c.mu.Lock()
	c.downSince = time.Time{}
	if f.Down {
		c.downSince = time.Now()
	}
	c.mu.Unlock()
	c.Table.SetTableFault(f)
}

// process returns the i-th running process, modulo their number.
func (c *checkedCell) process(i int) *cell.Process {
	running := c.Processes()
	return running[i%len(running)]
}

// assertRecovery ends all faults, starts the processes that ended again, so that every
// voter votes, and asserts that the cell recovers. If the cell has no majority
// because hosts moved or left, the operator fences the members without a lease.
func (c *checkedCell) assertRecovery(ended []hoist.Member, mayOperatorFence bool) {
	c.Heal()
	c.setTable(plat.Fault{})
	for _, m := range ended {
		c.Start(m)
	}
	if c.recovers() {
		return
	}
	if mayOperatorFence {
		c.fenceByOperator()
	}
	if !mayOperatorFence || !c.recovers() {
		c.failf("only %d shards have an owner long after the faults ended", c.Owned())
	}
}

// recovers waits until every shard has an owner.
func (c *checkedCell) recovers() bool {
	const period, tries = 2 * time.Second, 20
	for range tries {
		c.run(period)
		if c.Owned() == hoist.NumShards {
			return true
		}
	}
	return false
}

func (c *checkedCell) fenceByOperator() {
	ready := make(map[hoist.HostID]bool)
	for _, p := range c.Processes() {
		ready[p.Member.Host] = ready[p.Member.Host] || p.Manager.IsReady()
	}
	for host := range c.Members() {
		if ready[host] {
			continue
		}
		if err := c.process(0).Manager.FenceMember(context.Background(), host); err != nil {
			c.failf("fencing by the operator failed: %v", err)
		}
	}
}
