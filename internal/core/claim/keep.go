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

// keep acts as the owner until the ownership is lost or ctx ends.
func (k *Manager) keep(ctx context.Context, o *Ownership) {
	ownCtx, lose := context.WithCancel(ctx)
	defer lose()
	o.lose = lose
	k.acting.Store(o)
	var acting sync.WaitGroup
	acting.Go(func() { k.Own(ownCtx, o) })
	gap := beatEvery
	for count := 1; clock.Pause(ownCtx, gap); count++ {
		gap = beatEvery
		switch err := k.beat(ownCtx, o, count); {
		case errors.Is(err, hoist.ErrConflict):
			lose()
		case err != nil:
			gap = retryPause
		}
	}
	acting.Wait()
	if ctx.Err() != nil {
		k.release(o)
	}
	k.acting.Store(nil)
	events.CellLost.Log(ctx, k.Log, "term", o.Term, "stopping", ctx.Err() != nil)
	k.seen.renewed = k.Clock.Now()
}

// beat renews the ownership. It returns hoist.ErrConflict if there is another
// owner.
func (k *Manager) beat(ctx context.Context, o *Ownership, count int) error {
	waiting := make(rows.BeatWaiting)
	for queue, n := range k.Waiting() {
		waiting[string(queue)] = n
	}
	sent := k.Clock.Now()
	names := codec.Strings(k.deputies.choose(sent))
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	version, err := k.Store.Commit(callCtx, hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Owner, Version: o.Version}},
		Writes: []hoist.Write{{RowRef: keys.Renewal, Value: codec.EncodeRow(rows.Beat{Count: count, Waiting: waiting, Deputies: names})}},
	})
	if err == nil {
		o.renew(sent, version)
		return nil
	}
	if ctx.Err() == nil {
		events.RenewalFailed.Log(ctx, k.Log, "term", o.Term, "error", err)
	}
	return err
}

// release gives the cell up. If that cannot be recorded, the other hosts find
// the owner silent.
func (k *Manager) release(o *Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	owner := rows.Owner{Host: string(k.Host), Epoch: int(k.Epoch), Addr: k.Addr, Term: int(o.Term), Weight: int(k.Weight), Released: true}
	_, err := k.Store.Commit(ctx, hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Owner, Version: o.Version}},
		Writes: []hoist.Write{{RowRef: keys.Owner, Value: codec.EncodeRow(owner)}},
	})
	if err != nil {
		events.LeaveFailed.Log(ctx, k.Log, "term", o.Term, "error", err)
	}
}
