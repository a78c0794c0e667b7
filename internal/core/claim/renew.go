package claim

import (
	"context"
	"errors"
	"sync"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// holdOwnership runs RunOwner and renews the ownership until another host claims the
// cell or ctx ends.
func (m *Manager) holdOwnership(ctx context.Context, o *Ownership) {
	ownCtx, cancel := context.WithCancel(ctx)
	var acting sync.WaitGroup
	// Also after a panic, the ownership has ended before the cell is claimed again.
	defer func() {
		cancel()
		acting.Wait()
		m.acting.Store(nil)
	}()
	o.cancel = cancel
	m.acting.Store(o)
	acting.Go(func() { m.RunOwner(ownCtx, o) })
	interval := renewEvery
	for count := 1; clock.Sleep(ownCtx, interval); count++ {
		interval = renewEvery
		switch err := m.renew(ownCtx, o, count); {
		case errors.Is(err, hoist.ErrConflict):
			cancel()
		case err != nil:
			interval = retryDelay
		}
	}
	acting.Wait()
	m.ended.Store(o)
	var successor hoist.HostID
	if ctx.Err() != nil {
		successor = m.successor()
		m.release(o, successor)
	}
	events.OwnershipLost.Log(ctx, m.Log, "term", o.Term, "stopping", ctx.Err() != nil, "successor", successor)
	m.observed.renewed = m.Clock.Now()
}

// renew renews the ownership at the store. It returns hoist.ErrConflict if there is
// another owner.
func (m *Manager) renew(ctx context.Context, o *Ownership, count int) error {
	waiting := m.waiting()
	sent := m.Clock.Now()
	names := codec.Strings(m.standbys.choose(m.Weight, sent))
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	version, err := m.Store.Commit(callCtx, hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.Owner, Version: o.Version}},
		Writes:        []hoist.Write{{RowRef: keys.Renewal, Value: codec.EncodeStoreRow(rows.Beat{Count: count, Waiting: waiting, Deputies: names})}},
	})
	if err == nil {
		o.recordRenewal(sent, version)
		return nil
	}
	if ctx.Err() == nil {
		events.RenewalFailed.Log(ctx, m.Log, "term", o.Term, "error", err)
	}
	return err
}

// waiting returns the numbers of waiting plans to publish. Until this host knows them,
// they are those that the earlier owner published last: without any, all hosts would
// report that nothing waits during a recovery.
func (m *Manager) waiting() rows.BeatWaiting {
	counts := m.Waiting()
	if counts == nil && m.observed.renewal.Waiting != nil {
		return m.observed.renewal.Waiting
	}
	out := make(rows.BeatWaiting, len(counts))
	for queue, n := range counts {
		out[string(queue)] = n
	}
	return out
}

// release marks the cell as released and names the successor, if there is one, and records the final lease account. If
// that cannot be recorded, the other hosts take over once the owner counts as unresponsive.
func (m *Manager) release(o *Ownership, successor hoist.HostID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	owner := m.ownerRow(o.Term)
	owner.Released, owner.Successor, owner.KeepsAccount = true, string(successor), o.account != nil
	txn := hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.Owner, Version: o.Version}},
		Writes:        []hoist.Write{{RowRef: keys.Owner, Value: codec.EncodeStoreRow(owner)}},
	}
	if account, ok := o.finalRow(ctx); ok {
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: keys.LeaseAccount, Value: codec.EncodeLeaseRow(account)})
	}
	if _, err := m.Store.Commit(ctx, txn); err != nil {
		events.LeaveFailed.Log(ctx, m.Log, "term", o.Term, "error", err)
	}
}
