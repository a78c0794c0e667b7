// Package claim decides which host owns the cell. The owner is named in a row of
// the platform's store; it writes a second row regularly, and another host
// claims the cell once that row has not changed for a while.
//
// # Usage
//
//	k := &claim.Keeper{Host: id, Addr: addr, Epoch: epoch, Store: store, Clock: clock, Log: logger, Own: own}
//	err := k.Run(ctx)
//
// Own runs while the host owns the cell.
//
// # Safety
//
// Two hosts may believe for a while that they own the cell. Nothing depends on
// their clocks: the store refuses the transactions of the earlier one, as they
// expect the version of fence rows that a claim writes anew, and each worker
// refuses its orders once it has seen the later term. Only a worker that the
// later owner cannot reach may still take orders of the earlier one. The leases
// that an owner grants therefore end GrantTime after its last renewal at the
// store, and the next owner counts an attempt on such a worker as over only
// after that time.
package claim

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// beatEvery is the period of renewing the ownership at the store.
	beatEvery = 600 * time.Millisecond
	// silence is how long the owner's row stays unchanged before another host
	// claims the cell: three renewals, and some time for a slow store.
	silence = 2200 * time.Millisecond
	// claimSpread keeps the hosts from claiming all at the same moment.
	claimSpread = 150 * time.Millisecond
	// smallDelay is for how long a very small host leaves the claim to others;
	// hosts of fullWeight do not wait.
	smallDelay = 1500 * time.Millisecond
	fullWeight = Weight(400)
	// replaceAfter is how long a small owner is left in place, so that the larger
	// hosts do not take the cell from each other.
	replaceAfter = 3 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 2 * time.Second
	// beatTimeout bounds a renewal, so that two fit into the silence.
	beatTimeout = 700 * time.Millisecond
	// retryPause is the wait after a failed call to the store.
	retryPause = 200 * time.Millisecond
	// GrantTime is how long after its last renewal the leases of an owner end.
	GrantTime = 9 * time.Second
	// LeaseTime is how long a worker goes on after the last renewal of its lease.
	LeaseTime = 6 * time.Second
	// slowClock is the share by which the clock of a worker may run slow.
	slowClock = 50
	// lapseMargin is added to the times above for calls on their way.
	lapseMargin = 300 * time.Millisecond
)

// Weight is the size of a host in thousandths of a core.
type Weight int

// Ownership is the right to act for the cell in one term.
type Ownership struct {
	Term hoist.Term
	// Version is the version of the fence rows, which transactions expect.
	Version hoist.RowVersion
	// Lapse is when all leases of earlier owners have run out.
	Lapse time.Time

	mu      sync.Mutex
	renewed time.Time
	lose    context.CancelFunc
}

// NewOwnership returns an ownership that was renewed at the given time. lose is
// called when it turns out to be over.
func NewOwnership(term hoist.Term, version hoist.RowVersion, lapse, renewed time.Time, lose context.CancelFunc) *Ownership {
	return &Ownership{Term: term, Version: version, Lapse: lapse, renewed: renewed, lose: lose}
}

// GrantUntil returns the time until which leases may be granted.
func (o *Ownership) GrantUntil() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewed.Add(GrantTime)
}

// Lose ends the ownership, because there is a later owner.
func (o *Ownership) Lose() {
	o.lose()
}

func (o *Ownership) renew(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewed = at
}

// Keeper claims the cell when it has no owner, and keeps it. Set the exported
// fields before Run.
type Keeper struct {
	Host  hoist.HostID
	Addr  string
	Epoch hoist.Epoch
	// Weight is the size of the host. Smaller hosts let larger ones claim first,
	// and a host of twice the weight of the owner replaces it.
	Weight Weight
	Store  hoist.Store
	Clock  hoist.Clock
	Log    *slog.Logger
	// Own acts for the cell until ctx ends.
	Own func(ctx context.Context, o *Ownership)
	// Waiting returns how many plans wait in each queue, for all hosts to show.
	Waiting func() map[hoist.QueueName]int

	owner        rows.Owner
	ownerVersion hoist.RowVersion
	beatVersion  hoist.RowVersion
	// changed is when the owner was last seen to live.
	changed time.Time
	// owned is since when the owner has been seen to own the cell.
	owned time.Time
	after hoist.RowVersion
}

// Run works until ctx ends. It then gives the cell up, so that another host can
// claim it at once.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if o, ok := k.follow(ctx); ok {
			k.keep(ctx, o)
		}
	}
	return nil
}

// follow watches the owner until this host has claimed the cell.
func (k *Keeper) follow(ctx context.Context) (*Ownership, bool) {
	k.after = 0
	hasFailed := true
	for ctx.Err() == nil {
		err := k.look(ctx)
		now := k.Clock.Now()
		if err != nil {
			hasFailed = true
			clock.Pause(ctx, retryPause)
			continue
		}
		if hasFailed {
			// The owner could not renew either while the store was away.
			k.changed = now
			hasFailed = false
		}
		if !k.isVacant(now) {
			continue
		}
		clock.Pause(ctx, k.claimDelay())
		if o, ok := k.claim(ctx); ok {
			return o, true
		}
		k.after = 0
	}
	return nil, false
}

// isVacant reports whether the cell has no owner that lives: it gave the cell
// up, it is an earlier process of this host, or it has been silent.
func (k *Keeper) isVacant(now time.Time) bool {
	isOwn := k.owner.Host == string(k.Host)
	if k.ownerVersion == 0 || k.owner.Released || isOwn || now.Sub(k.changed) > silence {
		return true
	}
	isSmall := 2*k.owner.Weight <= int(k.Weight)
	return isSmall && now.Sub(k.owned) > replaceAfter
}

// claimDelay is how long this host leaves the claim to others: the smaller it
// is, the longer.
func (k *Keeper) claimDelay() time.Duration {
	delay := time.Duration(rand.Int64N(int64(claimSpread)))
	if k.Weight > 0 && k.Weight < fullWeight {
		delay += smallDelay * time.Duration(fullWeight-k.Weight) / time.Duration(fullWeight)
	}
	return delay
}

// look reads the rows of the owner, or waits for them to change.
func (k *Keeper) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var changed []hoist.StoredRow
	var err error
	if k.after == 0 {
		changed, k.after, err = k.Store.Scan(ctx, keys.Cell, "")
	} else {
		changed, k.after, err = k.Store.Changes(ctx, keys.Cell, k.after, beatEvery)
	}
	if err != nil {
		k.after = 0
		return err
	}
	for _, row := range changed {
		k.take(row)
	}
	return nil
}

func (k *Keeper) take(row hoist.StoredRow) {
	switch {
	case row.RowRef == keys.Owner && row.Version > k.ownerVersion:
		owner, err := codec.DecodeRow[rows.Owner](row.Value)
		if err != nil {
			events.RowUnreadable.Log(context.Background(), k.Log, "row", row.Key, "error", err)
			return
		}
		k.owner, k.ownerVersion = owner, row.Version
		k.changed = k.Clock.Now()
		k.owned = k.changed
	case row.RowRef == keys.Beat && row.Version > k.beatVersion:
		k.beatVersion = row.Version
		k.changed = k.Clock.Now()
	}
}

// claim writes this host as the owner in the next term.
func (k *Keeper) claim(ctx context.Context) (*Ownership, bool) {
	began := k.Clock.Now()
	earlier := k.owner
	term := hoist.Term(earlier.Term + 1)
	owner := rows.Owner{Host: string(k.Host), Epoch: int(k.Epoch), Addr: k.Addr, Term: int(term), Weight: int(k.Weight)}
	txn := hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Owner, Version: k.ownerVersion}},
		Writes: []hoist.Write{
			{RowRef: keys.Owner, Value: codec.EncodeRow(owner)},
			{RowRef: keys.Beat, Value: codec.EncodeRow(rows.Beat{})},
		},
	}
	for _, part := range keys.Parts() {
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: keys.Fence(part), Value: codec.EncodeRow(owner)})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := k.Store.Commit(callCtx, txn)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		version, err = k.settle(ctx, owner)
	}
	if err != nil {
		events.ClaimFailed.Log(ctx, k.Log, "term", term, "error", err)
		return nil, false
	}
	lapse := k.lapse(earlier, k.Clock.Now())
	k.ownerVersion = version
	events.CellClaimed.Log(ctx, k.Log, "term", term, "earlier", earlier.Host, "released", earlier.Released,
		"silent", began.Sub(k.changed), "version", version)
	return NewOwnership(term, version, lapse, began, nil), true
}

// lapse returns when all leases that an earlier owner granted have run out. An
// owner that has ended granted none since; one that was silent may go on for
// GrantTime from its last renewal, which it sent before the change was seen.
func (k *Keeper) lapse(earlier rows.Owner, now time.Time) time.Time {
	const drift = 1 + 1.0/slowClock
	switch {
	case earlier.Term == 0:
		return now
	case earlier.Released || earlier.Host == string(k.Host):
		return now.Add(time.Duration(float64(LeaseTime)*drift) + lapseMargin)
	default:
		return k.changed.Add(time.Duration(float64(GrantTime)*drift) + lapseMargin)
	}
}

// settle reads back whether a claim without an answer took effect. If it did
// not, it may still do so later; the next look then finds this host as owner,
// and claims the next term.
func (k *Keeper) settle(ctx context.Context, owner rows.Owner) (hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := k.Store.Get(ctx, keys.Owner)
	if err != nil {
		return 0, err
	}
	found, err := codec.DecodeRow[rows.Owner](row.Value)
	if err != nil {
		return 0, err
	}
	if found != owner {
		return 0, hoist.ErrOutcomeUnknown
	}
	return row.Version, nil
}

// keep acts as the owner until the ownership is lost or ctx ends.
func (k *Keeper) keep(ctx context.Context, o *Ownership) {
	ownCtx, lose := context.WithCancel(ctx)
	defer lose()
	o.lose = lose
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
	events.CellLost.Log(ctx, k.Log, "term", o.Term, "stopping", ctx.Err() != nil)
	k.changed = k.Clock.Now()
}

// beat renews the ownership. It returns hoist.ErrConflict if there is another
// owner.
func (k *Keeper) beat(ctx context.Context, o *Ownership, count int) error {
	waiting := make(rows.BeatWaiting)
	for queue, n := range k.Waiting() {
		waiting[string(queue)] = n
	}
	sent := k.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	_, err := k.Store.Commit(callCtx, hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Owner, Version: o.Version}},
		Writes: []hoist.Write{{RowRef: keys.Beat, Value: codec.EncodeRow(rows.Beat{Count: count, Waiting: waiting})}},
	})
	if err == nil {
		o.renew(sent)
		return nil
	}
	if ctx.Err() == nil {
		events.RenewalFailed.Log(ctx, k.Log, "term", o.Term, "error", err)
	}
	return err
}

// release gives the cell up. If that cannot be recorded, the other hosts find
// the owner silent.
func (k *Keeper) release(o *Ownership) {
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
