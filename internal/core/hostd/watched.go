package hostd

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

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
	answered time.Time
	isLost   bool
	failures int
}

// note takes the outcome of a call. A conflict and a lost history are answers.
func (w *watchedStore) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if err == nil || errors.Is(err, hoist.ErrConflict) || errors.Is(err, hoist.ErrHistoryLost) {
		if w.isLost {
			events.StoreBack.Log(context.Background(), w.log, "failures", w.failures, "away", now.Sub(w.answered))
		}
		w.answered, w.isLost, w.failures = now, false, 0
		return
	}
	w.failures++
	if !w.isLost {
		w.isLost = true
		events.StoreLost.Log(context.Background(), w.log, "error", err, "age", now.Sub(w.answered))
	}
}

// age is the time since the last answer.
func (w *watchedStore) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.answered)
}

// Commit implements hoist.Store.
func (w *watchedStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	version, err := w.Store.Commit(ctx, t)
	w.note(err)
	return version, err
}

// Get implements hoist.Store.
func (w *watchedStore) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	row, err := w.Store.Get(ctx, ref)
	w.note(err)
	return row, err
}
