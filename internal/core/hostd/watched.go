package hostd

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

// watchedStore notes when the store answered last, and logs when it is lost and
// regained.
type watchedStore struct {
	hoist.Store
	clock hoist.Clock
	log   *slog.Logger

	mu       sync.Mutex
	last     time.Time
	isLost   bool
	failures int
	// took is how long the last transaction took that was answered.
	took time.Duration
}

// note takes the outcome of a call. A conflict and a lost history are answers.
func (w *watchedStore) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if err == nil || errors.Is(err, hoist.ErrConflict) || errors.Is(err, hoist.ErrHistoryLost) {
		if w.isLost {
			events.StoreBack.Log(context.Background(), w.log, "failures", w.failures, "away", now.Sub(w.last))
		}
		w.last, w.isLost, w.failures = now, false, 0
		return
	}
	w.failures++
	if !w.isLost {
		w.isLost = true
		events.StoreLost.Log(context.Background(), w.log, "error", err, "age", now.Sub(w.last))
	}
}

// answered takes the outcome of a call, unless its caller has given it up: that
// tells nothing about the store.
func (w *watchedStore) answered(ctx context.Context, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		w.note(err)
	}
}

// age is the time since the last answer.
func (w *watchedStore) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.last)
}

// lost returns the time since the last answer, and whether calls have failed since.
func (w *watchedStore) lost() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.last), w.isLost
}

// Commit implements hoist.Store.
func (w *watchedStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	began := w.clock.Now()
	version, err := w.Store.Commit(ctx, t)
	w.answered(ctx, err)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.took = w.clock.Now().Sub(began)
	}
	return version, err
}

// slowCommit is from where the store counts as slow.
const slowCommit = 150 * time.Millisecond

// isSlow reports whether the last transaction took long, or the store is lost.
func (w *watchedStore) isSlow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isLost || w.took > slowCommit
}

// Get implements hoist.Store.
func (w *watchedStore) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	row, err := w.Store.Get(ctx, ref)
	w.answered(ctx, err)
	return row, err
}

// awayAfter is how long after its last answer a store that has failed since
// counts as away.
const awayAfter = 800 * time.Millisecond

// promptStore refuses at once while the store is away, so that clients are not
// kept waiting for a time-out. The loops of the host go on asking the store, and
// so find when it is back.
type promptStore struct {
	*watchedStore
}

func (p promptStore) check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := p.clock.Now().Sub(p.last)
	if p.isLost && age > awayAfter {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("store has not answered for %s", age.Round(time.Millisecond)))
	}
	return nil
}

// Commit implements hoist.Store.
func (p promptStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	if err := p.check(); err != nil {
		return 0, err
	}
	return p.watchedStore.Commit(ctx, t)
}

// Get implements hoist.Store.
func (p promptStore) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	if err := p.check(); err != nil {
		return hoist.StoredRow{}, err
	}
	return p.watchedStore.Get(ctx, ref)
}
