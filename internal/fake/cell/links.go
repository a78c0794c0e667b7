package cell

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

var (
	errProcessEnded = merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("process has ended"))
	errMessageLost  = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("message lost by fault injection"))
)

// tableLink is the connection of a process to the table.
type tableLink struct {
	process *Process
}

// Read implements hoist.Table.
func (t tableLink) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	return t.rows(ctx, func() ([]hoist.Row, error) { return t.process.cell.Table.Read(ctx, keys...) })
}

// Scan implements hoist.Table.
func (t tableLink) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	return t.rows(ctx, func() ([]hoist.Row, error) { return t.process.cell.Table.Scan(ctx, prefix) })
}

func (t tableLink) rows(ctx context.Context, read func() ([]hoist.Row, error)) ([]hoist.Row, error) {
	var out []hoist.Row
	err := t.call(ctx, func() error {
		rows, err := read()
		out = rows
		return err
	})
	return out, err
}

// Commit implements hoist.Table.
func (t tableLink) Commit(ctx context.Context, txn hoist.Txn) error {
	err := t.call(ctx, func() error { return t.process.cell.Table.Commit(ctx, txn) })
	if t.process.cell.OnWrite != nil && !t.process.IsDead() {
		t.process.cell.OnWrite()
	}
	return err
}

// call makes one call to the table, unless ctx or the process has ended. A cut or
// the end of the process during the call leaves its outcome unknown.
func (t tableLink) call(ctx context.Context, do func() error) error {
	p := t.process
	if !p.waitWhilePaused() || ctx.Err() != nil {
		return errProcessEnded
	}
	if p.cell.isCut(p.Member.Addr, TableAddr) {
		<-ctx.Done()
		return errMessageLost
	}
	time.Sleep(p.cell.Latency)
	err := do()
	if !p.waitWhilePaused() || ctx.Err() != nil {
		return errMessageLost
	}
	return err
}

// link is the connection of a process to the host at an address. Only the calls
// of the membership manager are implemented.
type link struct {
	hoist.Peer
	from *Process
	addr string
}

func (p *Process) dial(addr string) hoist.Peer {
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	p.cell.links[[2]string{p.Member.Addr, addr}]++
	return &link{from: p, addr: addr}
}

// Close closes the connection.
func (l *link) Close() {
	l.from.cell.mu.Lock()
	defer l.from.cell.mu.Unlock()
	l.from.cell.links[[2]string{l.from.Member.Addr, l.addr}]--
}

// exchange sends a message and returns the result of do at the receiver. The
// receiver runs do even if the sender has stopped waiting.
func exchange[Out any](ctx context.Context, l *link, kind MessageKind, do func(*Process) (Out, error)) (Out, error) {
	var zero Out
	c := l.from.cell
	if !l.from.waitWhilePaused() {
		return zero, errProcessEnded
	}
	to, delay, err := c.send(l, kind)
	if err != nil {
		<-ctx.Done()
		return zero, err
	}
	if to == nil {
		return zero, errProcessEnded
	}
	type result struct {
		out Out
		err error
	}
	results := make(chan result, 1)
	c.inFlight.Go(func() {
		time.Sleep(c.Latency + delay)
		if !to.waitWhilePaused() {
			results <- result{err: errProcessEnded}
			return
		}
		out, err := do(to)
		time.Sleep(c.Latency)
		results <- result{out, err}
	})
	select {
	case r := <-results:
		if !l.from.waitWhilePaused() {
			return zero, errProcessEnded
		}
		return r.out, r.err
	case <-ctx.Done():
		return zero, errMessageLost
	}
}

// send counts the message and returns its receiver and its extra delay. The
// receiver is nil if no live process listens at the address.
func (c *Cell) send(l *link, kind MessageKind) (*Process, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[kind]++
	if c.partitions[[2]string{l.from.Member.Addr, l.addr}] {
		return nil, 0, errMessageLost
	}
	var delay time.Duration
	if kind == Handover {
		delay = c.handover.Delay
		if c.handover.Lose > 0 {
			c.handover.Lose--
			return nil, 0, errMessageLost
		}
	}
	to := c.listeners[l.addr]
	if to == nil || to.IsDead() {
		return nil, 0, nil
	}
	return to, delay, nil
}

// Heartbeat implements hoist.Peer.
func (l *link) Heartbeat(ctx context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	return exchange(ctx, l, Heartbeat, func(p *Process) (hoist.Heartbeat, error) {
		return p.Manager.Heartbeat(h), nil
	})
}

// Promise implements hoist.Peer.
func (l *link) Promise(ctx context.Context, lease hoist.LeaseRef) (bool, error) {
	return exchange(ctx, l, Promise, func(p *Process) (bool, error) { return p.Manager.Promise(lease), nil })
}

// Release implements hoist.Peer.
func (l *link) Release(ctx context.Context, lease hoist.LeaseRef) (bool, error) {
	return exchange(ctx, l, Release, func(p *Process) (bool, error) { return p.Manager.Release(lease), nil })
}

// Claim implements hoist.Peer.
func (l *link) Claim(ctx context.Context, claim hoist.Claim) error {
	_, err := exchange(ctx, l, Claim, func(p *Process) (bool, error) {
		p.Manager.Claim(context.WithoutCancel(ctx), claim)
		return true, nil
	})
	return err
}

// Handover implements hoist.Peer.
func (l *link) Handover(ctx context.Context, h hoist.Handover) error {
	_, err := exchange(ctx, l, Handover, func(p *Process) (bool, error) {
		return true, p.Manager.Handover(context.WithoutCancel(ctx), h)
	})
	return err
}
