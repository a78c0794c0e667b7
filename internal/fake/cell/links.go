package cell

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

var (
	errEnded = merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("process has ended"))
	errLost  = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("message lost by fault injection"))
)

// tableOf is the table as a process reaches it.
type tableOf struct {
	process *Process
}

// Read implements hoist.Table.
func (t tableOf) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	return t.rows(ctx, func() ([]hoist.Row, error) { return t.process.cell.Table.Read(ctx, keys...) })
}

// Scan implements hoist.Table.
func (t tableOf) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	return t.rows(ctx, func() ([]hoist.Row, error) { return t.process.cell.Table.Scan(ctx, prefix) })
}

func (t tableOf) rows(ctx context.Context, read func() ([]hoist.Row, error)) ([]hoist.Row, error) {
	var out []hoist.Row
	err := t.call(ctx, func() error {
		rows, err := read()
		out = rows
		return err
	})
	return out, err
}

// Commit implements hoist.Table.
func (t tableOf) Commit(ctx context.Context, txn hoist.Txn) error {
	err := t.call(ctx, func() error { return t.process.cell.Table.Commit(ctx, txn) })
	if t.process.cell.OnWrite != nil && !t.process.IsDead() {
		t.process.cell.OnWrite()
	}
	return err
}

// call makes one call to the table. Nothing is sent once ctx has ended.
func (t tableOf) call(ctx context.Context, do func() error) error {
	p := t.process
	if !p.step() || ctx.Err() != nil {
		return errEnded
	}
	if p.cell.isCut(p.Member.Addr, TableAddr) {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(p.cell.Latency)
	err := do()
	if !p.step() || ctx.Err() != nil {
		return errLost
	}
	return err
}

// link is the connection of a process to an address. The calls that are not of
// the membership are not implemented.
type link struct {
	hoist.Peer
	from *Process
	addr string
}

// exchange sends a message and returns the result of do at the receiver. A
// message that is late is still acted on.
func exchange[Out any](ctx context.Context, l *link, kind Message, do func(*Process) (Out, error)) (Out, error) {
	var none Out
	c := l.from.cell
	if !l.from.step() {
		return none, errEnded
	}
	to, delay, err := c.send(l, kind)
	if err != nil {
		<-ctx.Done()
		return none, err
	}
	if to == nil {
		return none, errEnded
	}
	type result struct {
		out Out
		err error
	}
	results := make(chan result, 1)
	c.inFlight.Go(func() {
		time.Sleep(c.Latency + delay)
		if !to.step() {
			results <- result{err: errEnded}
			return
		}
		out, err := do(to)
		time.Sleep(c.Latency)
		results <- result{out, err}
	})
	select {
	case r := <-results:
		if !l.from.step() {
			return none, errEnded
		}
		return r.out, r.err
	case <-ctx.Done():
		return none, errLost
	}
}

// send counts the message and finds its receiver, nil if nobody listens there.
func (c *Cell) send(l *link, kind Message) (*Process, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[kind]++
	if c.cuts[[2]string{l.from.Member.Addr, l.addr}] {
		return nil, 0, errLost
	}
	var delay time.Duration
	if kind == Handover {
		delay = c.handover.Delay
		if c.handover.Lose > 0 {
			c.handover.Lose--
			return nil, 0, errLost
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
