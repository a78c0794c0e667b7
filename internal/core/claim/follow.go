package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// farLook is the period of reading the owner's rows for a host that is no
	// deputy, and staleLook the period once they have not changed.
	farLook   = 2 * time.Second
	staleLook = 700 * time.Millisecond
	// nearLook is the period for a host that watches the owner and gets no pulse.
	nearLook = 300 * time.Millisecond
	// claimSpread keeps the hosts from claiming all at the same moment.
	claimSpread = 150 * time.Millisecond
	// deputySpread is the least time between the claims of one deputy and the next.
	// While the store is slow it is lookFactor times as long as reading the owner's
	// rows took: a claim writes to all parts, and several of them at a time hold
	// each other up.
	deputySpread = 40 * time.Millisecond
	lookFactor   = 3
	// smallDelay is for how long a very small host leaves the claim to others;
	// hosts of fullWeight do not wait.
	smallDelay = 1500 * time.Millisecond
	fullWeight = Weight(400)
	// replaceAfter is how long a small owner is left in place, so that the larger
	// hosts do not take the cell from each other.
	replaceAfter = 3 * time.Second
	// settleTime is how long an owner gets for its renewal once the store has come
	// back, and for beginning to act once it has claimed the cell.
	settleTime = 700 * time.Millisecond
)

// vacancy is why the cell can be claimed.
type vacancy string

const (
	isOwned vacancy = ""
	// isFree is a cell without an owner, one that was given up, and one whose
	// owner is an earlier process of this host.
	isFree vacancy = "free"
	// isSilent is a cell whose owner has not renewed for a while.
	isSilent vacancy = "silent"
	// isGone is a cell whose owner's process has ended.
	isGone vacancy = "gone"
	// isCut is a cell whose owner has lost the store, or no longer acts.
	isCut vacancy = "cut off"
	// isSmall is a cell whose owner is much smaller than this host.
	isSmall vacancy = "small"
	// isSlow is a cell whose owner has too little processor.
	isSlow vacancy = "slow"
)

// isRenewed reports whether the owner may renew all the while: the cell is taken
// from one that lives.
func (v vacancy) isRenewed() bool {
	return v == isSmall || v == isSlow
}

// observed is what a host that does not own the cell knows of the owner.
type observed struct {
	owner        rows.Owner
	ownerVersion hoist.RowVersion
	beat         rows.Beat
	beatVersion  hoist.RowVersion
	// heardBeat is the version of the last renewal that a pulse told of.
	heardBeat hoist.RowVersion
	// renewed is a time by which the owner had sent its last known renewal, and
	// owned since when it has been seen to own the cell.
	renewed time.Time
	owned   time.Time
	// regained is when the store answered after a failure.
	regained  time.Time
	hasFailed bool
	// lookTook is how long the last look took.
	lookTook time.Duration
	// isChanged is set if the last look found a new version of a row.
	isChanged bool
}

// follow watches the owner until this host has claimed the cell.
func (k *Manager) follow(ctx context.Context) (*Ownership, bool) {
	k.seen.hasFailed = true
	w := &watcher{keeper: k}
	defer w.close()
	for ctx.Err() == nil {
		if err := k.look(ctx); err != nil {
			clock.Pause(ctx, retryPause)
			continue
		}
		why := k.vacancy(w, k.Clock.Now())
		if why == isOwned {
			k.await(ctx, w)
			continue
		}
		clock.Pause(ctx, k.claimDelay(why))
		if o, ok := k.claim(ctx, why); ok {
			return o, true
		}
		clock.Pause(ctx, claimPause)
	}
	return nil, false
}

// await waits until the owner's rows are to be read again.
func (k *Manager) await(ctx context.Context, w *watcher) {
	switch {
	case k.isNear():
		w.watch(ctx)
	case k.seen.isChanged:
		clock.Pause(ctx, farLook)
	default:
		clock.Pause(ctx, staleLook)
	}
}

// isNear reports whether this host watches the owner closely: it is a deputy,
// or the owner has named none.
func (k *Manager) isNear() bool {
	return len(k.seen.beat.Deputies) == 0 || k.rank() >= 0
}

// rank is the place of this host among the deputies; -1 if it is none.
func (k *Manager) rank() int {
	return slices.Index(k.seen.beat.Deputies, string(k.Host))
}

// vacancy reports why the cell can be claimed, as far as the last look and the
// pulses tell.
func (k *Manager) vacancy(w *watcher, now time.Time) vacancy {
	s := &k.seen
	switch {
	case s.ownerVersion == 0 || s.owner.Released || s.owner.Host == string(k.Host):
		return isFree
	case w.isGone(s.owner):
		return isGone
	case w.isCut(s.owner) && now.Sub(s.regained) > settleTime && now.Sub(s.owned) > settleTime:
		return isCut
	case now.Sub(s.renewed) > w.silence():
		return isSilent
	case 2*s.owner.Weight <= int(k.Weight) && now.Sub(s.owned) > replaceAfter:
		return isSmall
	case w.isSlow(s.owner) && s.owner.Weight <= int(k.Weight) && now.Sub(s.owned) > slowPause:
		return isSlow
	default:
		return isOwned
	}
}

// claimDelay is how long this host leaves the claim to others: deputies claim in
// turn, other hosts later the smaller they are.
func (k *Manager) claimDelay(why vacancy) time.Duration {
	slowness := lookFactor * k.seen.lookTook
	if rank := k.rank(); rank >= 0 && why != isSmall {
		return time.Duration(rank) * max(deputySpread, slowness)
	}
	delay := time.Duration(rand.Int64N(int64(max(claimSpread, slowness))))
	if k.Weight > 0 && k.Weight < fullWeight {
		delay += smallDelay * time.Duration(fullWeight-k.Weight) / time.Duration(fullWeight)
	}
	return delay
}

// look reads the rows of the owner.
func (k *Manager) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := k.Clock.Now()
	found, _, err := k.Store.Scan(ctx, keys.Cell, "")
	if err != nil {
		k.seen.hasFailed = true
		return err
	}
	now := k.Clock.Now()
	k.seen.lookTook = now.Sub(asked)
	if k.seen.hasFailed {
		// The owner could not renew either while the store was away.
		k.seen.renewed, k.seen.regained = now, now
		k.seen.hasFailed = false
	}
	k.seen.isChanged = false
	for _, row := range found {
		k.take(row, now)
	}
	return nil
}

// take takes over a row of the owner.
func (k *Manager) take(row hoist.StoredRow, now time.Time) {
	s := &k.seen
	switch {
	case row.RowRef == keys.Owner && row.Version > s.ownerVersion:
		owner, err := codec.DecodeRow[rows.Owner](row.Value)
		if err != nil {
			events.RowUnreadable.Log(context.Background(), k.Log, "row", row.Key, "error", err)
			return
		}
		s.owner, s.ownerVersion = owner, row.Version
		s.renewed, s.owned = now, now
		s.isChanged = true
	case row.RowRef == keys.Renewal && row.Version > s.beatVersion:
		beat, err := codec.DecodeRow[rows.Beat](row.Value)
		if err != nil {
			events.RowUnreadable.Log(context.Background(), k.Log, "row", row.Key, "error", err)
			return
		}
		s.beat, s.beatVersion = beat, row.Version
		if row.Version > s.heardBeat {
			s.renewed = now
		}
		s.isChanged = true
	}
}
