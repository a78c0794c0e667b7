package hostd

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/keys"
)

const (
	// probeEvery is how often a lost store is asked, once it has been silent for
	// probeAfter, and probeTimeout the time for its answer. A slow one needs most
	// of it.
	probeEvery   = 250 * time.Millisecond
	probeAfter   = 500 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
	// longAway is from where a store that comes back has forgotten the calls that
	// were made before, and hungFor how old such a call is.
	longAway = time.Second
	hungFor  = 200 * time.Millisecond
)

// watchedStore notes when the store answered last, and logs when it is lost and
// regained. When the store is back after a while, the calls that still wait for an
// answer are given up: a connection on which an answer was lost delivers nothing
// more.
type watchedStore struct {
	hoist.Store
	clock hoist.Clock
	log   *slog.Logger

	mu       sync.Mutex
	calls    map[*call]bool
	last     time.Time
	isLost   bool
	failures int
	// took is how long the last transaction took that was answered.
	took time.Duration
}

// call is a call in progress.
type call struct {
	began  time.Time
	cancel context.CancelFunc
}

// begin registers a call. end must be called after it.
func (w *watchedStore) begin(ctx context.Context) (callCtx context.Context, end func()) {
	callCtx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*call]bool)
	}
	c := &call{w.clock.Now(), cancel}
	w.calls[c] = true
	return callCtx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.calls, c)
		cancel()
	}
}

// giveUpHung ends the calls that the store has forgotten. The mutex is held.
func (w *watchedStore) giveUpHung(now time.Time) {
	for c := range w.calls {
		if now.Sub(c.began) > hungFor {
			c.cancel()
		}
	}
}

// probe asks a lost store until ctx ends, so that its return is noticed soon.
func (w *watchedStore) probe(ctx context.Context) {
	for clock.Pause(ctx, probeEvery) {
		if age, isLost := w.lost(); !isLost || age < probeAfter {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		// The outcome is noted like that of any call.
		_, _ = w.Get(callCtx, keys.Renewal)
		cancel()
	}
}

// note takes the outcome of a call. A conflict and a lost history are answers.
func (w *watchedStore) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if err == nil || errors.Is(err, hoist.ErrConflict) || errors.Is(err, hoist.ErrHistoryLost) {
		if w.isLost {
			events.StoreRecovered.Log(context.Background(), w.log, "failures", w.failures, "away", now.Sub(w.last))
			if now.Sub(w.last) >= longAway {
				w.giveUpHung(now)
			}
		}
		w.last, w.isLost, w.failures = now, false, 0
		return
	}
	w.failures++
	if !w.isLost {
		w.isLost = true
		events.StoreUnavailable.Log(context.Background(), w.log, "error", err, "age", now.Sub(w.last))
	}
}

// answered takes the outcome of a call, unless it was given up: that tells nothing
// about the store.
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
	callCtx, end := w.begin(ctx)
	defer end()
	version, err := w.Store.Commit(callCtx, t)
	w.answered(callCtx, err)
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
	callCtx, end := w.begin(ctx)
	defer end()
	row, err := w.Store.Get(callCtx, ref)
	w.answered(callCtx, err)
	return row, err
}

// Scan implements hoist.Store.
func (w *watchedStore) Scan(ctx context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	callCtx, end := w.begin(ctx)
	defer end()
	return w.Store.Scan(callCtx, table, part)
}

// Changes implements hoist.Store.
func (w *watchedStore) Changes(
	ctx context.Context, table hoist.TableName, after hoist.RowVersion, wait time.Duration,
) ([]hoist.StoredRow, hoist.RowVersion, error) {
	callCtx, end := w.begin(ctx)
	defer end()
	return w.Store.Changes(callCtx, table, after, wait)
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
