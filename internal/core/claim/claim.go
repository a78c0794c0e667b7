// Package claim decides which host owns the cell. The owner is named in a row of
// the platform's store, and writes a second row regularly. A few other hosts, its
// deputies, also ask it for pulses; one of them claims the cell when the owner's
// process has ended, when it has lost the store, or when it neither answers nor
// renews. The other hosts read the rows now and then, and claim when they have
// not changed for a while.
//
// # Usage
//
//	k := &claim.Manager{Host: id, Addr: addr, Epoch: epoch, Store: store, Clock: clock, Log: logger, Own: own}
//	err := k.Run(ctx)
//
// Own runs while the host owns the cell. SetHost names the hosts that can be
// deputies, and Health answers them.
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
	"sync/atomic"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// beatEvery is the period of renewing the ownership at the store.
	beatEvery = 400 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 2 * time.Second
	// leastClaimTime and claimFactor bound a claim, by how long reading the owner's
	// rows took: while parts of the store do not answer, another one is made soon.
	leastClaimTime = 500 * time.Millisecond
	claimFactor    = 8
	// beatTimeout bounds a renewal, so that two fit into the silence.
	beatTimeout = 700 * time.Millisecond
	// retryPause is the wait after a failed call to the store, and claimPause the
	// one after a claim that failed.
	retryPause = 200 * time.Millisecond
	claimPause = 100 * time.Millisecond
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

// Manager claims the cell when it has no owner, and keeps it. Set the exported
// fields before Run.
type Manager struct {
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
	// Dial returns a client for watching the owner at an address; nil leaves
	// only the store to watch.
	Dial func(addr string) hoist.HealthChecker
	// StoreAge returns the time since the store answered this host, and whether
	// calls have failed since.
	StoreAge func() (time.Duration, bool)

	deputies deputies
	acting   atomic.Pointer[Ownership]
	seen     observed
}

// SetHost takes over another host that can watch this one when it owns the cell;
// a weight of 0 removes it.
func (k *Manager) SetHost(id hoist.HostID, weight Weight) {
	k.deputies.set(id, weight)
}

// Health answers a host that watches this one.
func (k *Manager) Health(from hoist.HostID) hoist.HostHealth {
	now := k.Clock.Now()
	k.deputies.pulsed(from, now)
	o := k.acting.Load()
	if o == nil {
		return hoist.HostHealth{}
	}
	renewed, beat := o.lastRenewal()
	p := hoist.HostHealth{Term: o.Term, SinceRenewal: now.Sub(renewed), RenewalVersion: beat}
	p.StoreAge, p.IsStoreLost = k.StoreAge()
	return p
}

// Run works until ctx ends. It then gives the cell up, so that another host can
// claim it at once.
func (k *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if o, ok := k.follow(ctx); ok {
			k.keep(ctx, o)
		}
	}
	return nil
}

// claim writes this host as the owner in the next term.
func (k *Manager) claim(ctx context.Context, why vacancy) (*Ownership, bool) {
	began := k.Clock.Now()
	earlier := k.seen.owner
	term := hoist.Term(earlier.Term + 1)
	owner := rows.Owner{Host: string(k.Host), Epoch: int(k.Epoch), Addr: k.Addr, Term: int(term), Weight: int(k.Weight)}
	txn := hoist.Transaction{
		Expect: []hoist.Expected{{RowRef: keys.Owner, Version: k.seen.ownerVersion}},
		Writes: []hoist.Write{
			{RowRef: keys.Owner, Value: codec.EncodeRow(owner)},
			{RowRef: keys.Renewal, Value: codec.EncodeRow(rows.Beat{})},
		},
	}
	if why != isFree && !why.isRenewed() {
		// An owner that has renewed in the meantime keeps the cell.
		txn.Expect = append(txn.Expect, hoist.Expected{RowRef: keys.Renewal, Version: k.seen.beatVersion})
	}
	for _, part := range keys.Parts() {
		txn.Writes = append(txn.Writes, hoist.Write{RowRef: keys.Fence(part), Value: codec.EncodeRow(owner)})
	}
	limit := min(callTimeout, max(leastClaimTime, claimFactor*k.seen.lookTook))
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	version, err := k.Store.Commit(callCtx, txn)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		version, err = k.settle(ctx, owner)
	}
	if err != nil {
		events.ClaimFailed.Log(ctx, k.Log, "term", term, "why", why, "error", err)
		return nil, false
	}
	lapse := k.lapse(why, earlier, k.Clock.Now())
	events.CellClaimed.Log(ctx, k.Log, "term", term, "why", why, "earlier", earlier.Host, "released", earlier.Released,
		"silent", began.Sub(k.seen.renewed), "version", version)
	k.seen.owner, k.seen.ownerVersion = owner, version
	return NewOwnership(term, version, lapse, began, nil), true
}

// lapse returns when all leases that an earlier owner granted have run out. An
// owner that has ended granted none since; any other may go on for GrantTime from
// its last renewal.
func (k *Manager) lapse(why vacancy, earlier rows.Owner, now time.Time) time.Time {
	const drift = 1 + 1.0/slowClock
	switch {
	case earlier.Term == 0:
		return now
	case earlier.Released || earlier.Host == string(k.Host) || why == isGone:
		return now.Add(time.Duration(float64(LeaseTime)*drift) + lapseMargin)
	case why.isRenewed():
		return now.Add(time.Duration(float64(GrantTime)*drift) + lapseMargin)
	default:
		return k.seen.renewed.Add(time.Duration(float64(GrantTime)*drift) + lapseMargin)
	}
}

// settle reads back whether a claim without an answer took effect. If it did
// not, it may still do so later; the next look then finds this host as owner,
// and claims the next term.
func (k *Manager) settle(ctx context.Context, owner rows.Owner) (hoist.RowVersion, error) {
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
