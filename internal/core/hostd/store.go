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
	// probeEvery is the interval between probes of an unavailable store.
	probeEvery = 250 * time.Millisecond
	// probeAfter is the time since the last answer after which probes begin.
	probeAfter = 500 * time.Millisecond
	// probeTimeout bounds a probe. A slow store needs most of it.
	probeTimeout = 700 * time.Millisecond
	// longOutage is the length of an outage from which a store that has recovered no
	// longer answers the calls that were made before.
	longOutage = time.Second
	// hungCallAge is the age from which a call counts as made before the recovery.
	hungCallAge = 200 * time.Millisecond
)

// monitoredStore records when the store last answered, and logs when the store becomes
// unavailable and recovers. After a long outage, the calls that still wait for an
// answer are cancelled: a connection on which an answer was lost delivers no more
// answers.
type monitoredStore struct {
	hoist.Store
	clock hoist.Clock
	log   *slog.Logger

	mu            sync.Mutex
	calls         map[*call]bool
	lastAnswer    time.Time
	isUnavailable bool
	failures      int
	// commitTook is how long the last successful transaction took.
	commitTook time.Duration
}

// call is a call in progress.
type call struct {
	began  time.Time
	cancel context.CancelFunc
}

// begin registers a call. The caller must call end when the call has returned.
func (s *monitoredStore) begin(ctx context.Context) (callCtx context.Context, end func()) {
	callCtx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = make(map[*call]bool)
	}
	c := &call{s.clock.Now(), cancel}
	s.calls[c] = true
	return callCtx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.calls, c)
		cancel()
	}
}

// cancelHung cancels the calls that the store will not answer any more. s.mu must be
// held.
func (s *monitoredStore) cancelHung(now time.Time) {
	for c := range s.calls {
		if now.Sub(c.began) > hungCallAge {
			c.cancel()
		}
	}
}

// probe reads a row while the store is unavailable, until ctx ends, so that its recovery
// is noticed soon.
func (s *monitoredStore) probe(ctx context.Context) {
	for clock.Sleep(ctx, probeEvery) {
		if age, isUnavailable := s.outage(); !isUnavailable || age < probeAfter {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		// Get records the outcome like that of any call.
		_, _ = s.Get(callCtx, keys.Renewal)
		cancel()
	}
}

// recordOutcome records the outcome of a call. hoist.ErrConflict and
// hoist.ErrHistoryLost are answers of the store.
func (s *monitoredStore) recordOutcome(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err == nil || errors.Is(err, hoist.ErrConflict) || errors.Is(err, hoist.ErrHistoryLost) {
		if s.isUnavailable {
			events.StoreRecovered.Log(context.Background(), s.log, "failures", s.failures, "away", now.Sub(s.lastAnswer))
			if now.Sub(s.lastAnswer) >= longOutage {
				s.cancelHung(now)
			}
		}
		s.lastAnswer, s.isUnavailable, s.failures = now, false, 0
		return
	}
	s.failures++
	if !s.isUnavailable {
		s.isUnavailable = true
		events.StoreUnavailable.Log(context.Background(), s.log, "error", err, "age", now.Sub(s.lastAnswer))
	}
}

// recordAnswer records the outcome of a call, unless the call was cancelled: then the
// outcome tells nothing about the store.
func (s *monitoredStore) recordAnswer(ctx context.Context, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.recordOutcome(err)
	}
}

// age returns the time since the last answer.
func (s *monitoredStore) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.lastAnswer)
}

// outage returns the time since the last answer, and whether calls have failed since.
func (s *monitoredStore) outage() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.lastAnswer), s.isUnavailable
}

// Commit implements hoist.Store.
func (s *monitoredStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	began := s.clock.Now()
	callCtx, end := s.begin(ctx)
	defer end()
	version, err := s.Store.Commit(callCtx, t)
	s.recordAnswer(callCtx, err)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commitTook = s.clock.Now().Sub(began)
	}
	return version, err
}

// slowCommit is the time of a transaction above which the store counts as slow.
const slowCommit = 150 * time.Millisecond

// isSlow reports whether the last successful transaction was slow, or the store is
// unavailable.
func (s *monitoredStore) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnavailable || s.commitTook > slowCommit
}

// Get implements hoist.Store.
func (s *monitoredStore) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	callCtx, end := s.begin(ctx)
	defer end()
	row, err := s.Store.Get(callCtx, ref)
	s.recordAnswer(callCtx, err)
	return row, err
}

// Scan implements hoist.Store.
func (s *monitoredStore) Scan(ctx context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	callCtx, end := s.begin(ctx)
	defer end()
	return s.Store.Scan(callCtx, table, part)
}

// Changes implements hoist.Store.
func (s *monitoredStore) Changes(
	ctx context.Context, table hoist.TableName, after hoist.RowVersion, wait time.Duration,
) ([]hoist.StoredRow, hoist.RowVersion, error) {
	callCtx, end := s.begin(ctx)
	defer end()
	return s.Store.Changes(callCtx, table, after, wait)
}

// failFastAfter is the time since the last answer after which calls are refused, if
// calls have failed since.
const failFastAfter = 800 * time.Millisecond

// failFastStore refuses calls at once while the store is unavailable, so that clients do
// not wait for a time-out. The loops of the host go on calling the store, and thereby
// notice when it has recovered.
type failFastStore struct {
	*monitoredStore
}

func (s failFastStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.clock.Now().Sub(s.lastAnswer)
	if s.isUnavailable && age > failFastAfter {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("store has not answered for %s", age.Round(time.Millisecond)))
	}
	return nil
}

// Commit implements hoist.Store.
func (s failFastStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	return s.monitoredStore.Commit(ctx, t)
}

// Get implements hoist.Store.
func (s failFastStore) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	if err := s.check(); err != nil {
		return hoist.StoredRow{}, err
	}
	return s.monitoredStore.Get(ctx, ref)
}
