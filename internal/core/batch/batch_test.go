package batch_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/batch"
	"fuchsiahoist.example/hoist/internal/core/clock"
)

// fakeStore records the parts of each transaction and answers after delay. Transactions
// that touch a part in fails get its error.
type fakeStore struct {
	hoist.Store
	delay time.Duration
	fails map[hoist.PartName]error

	mu    sync.Mutex
	calls [][]hoist.PartName
}

func (s *fakeStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	var parts []hoist.PartName
	var err error
	for _, w := range t.Writes {
		parts = append(parts, w.Part)
		err = errors.Join(err, s.fails[w.Part])
	}
	s.mu.Lock()
	s.calls = append(s.calls, parts)
	version := hoist.RowVersion(len(s.calls))
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return 0, hoist.ErrOutcomeUnknown
	}
	if err != nil {
		return 0, err
	}
	return version, nil
}

// commitAll commits a transaction in each part, a millisecond apart, and returns the
// errors by part.
func commitAll(s *batch.Store, size int, parts ...hoist.PartName) map[hoist.PartName]error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[hoist.PartName]error)
	for _, part := range parts {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			txn := hoist.Transaction{Writes: []hoist.Write{{RowRef: hoist.RowRef{Part: part}, Value: make([]byte, size)}}}
			_, err := s.Commit(ctx, txn)
			mu.Lock()
			defer mu.Unlock()
			out[part] = err
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return out
}

func wantCalls(is *is.I, store *fakeStore, want ...[]hoist.PartName) {
	is.Helper()
	is.Equal(len(store.calls), len(want)) // the number of calls
	for i, call := range store.calls {
		is.True(slices.Equal(call, want[i])) // the parts of each call
	}
}

// TestCombine guards against transactions that wait for no reason, against a call for
// each part while others are in progress, and against calls beyond the store's bounds.
func TestCombine(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
		size  int
		parts []hoist.PartName
		want  [][]hoist.PartName
	}{
		{"one at a time", 0, 10, []hoist.PartName{"a", "b"}, [][]hoist.PartName{{"a"}, {"b"}}},
		{"while two are in progress", 8 * time.Millisecond, 10, []hoist.PartName{"a", "b", "c", "d"}, [][]hoist.PartName{{"a"}, {"b"}, {"c", "d"}}},
		{"beyond the size of a call", 8 * time.Millisecond, 400 << 10, []hoist.PartName{"a", "b", "c", "d"}, [][]hoist.PartName{{"a"}, {"b"}, {"c"}, {"d"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{delay: tc.delay}
				for _, err := range commitAll(&batch.Store{Store: store, Clock: clock.System{}}, tc.size, tc.parts...) {
					is.NoErr(err)
				}
				wantCalls(is, store, tc.want...)
			})
		})
	}
}

// TestCombinedFailure guards against a part that fails the transactions of others, and
// against repeating one whose outcome is unknown.
func TestCombinedFailure(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want [][]hoist.PartName
	}{
		{"conflict", hoist.ErrConflict, [][]hoist.PartName{{"z"}, {"a"}, {"b", "c"}, {"b"}, {"c"}}},
		{"part away", hoist.ErrUnavailable, [][]hoist.PartName{{"z"}, {"a"}, {"b", "c"}, {"b"}, {"c"}}},
		{"unknown outcome", hoist.ErrOutcomeUnknown, [][]hoist.PartName{{"z"}, {"a"}, {"b", "c"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{delay: 8 * time.Millisecond, fails: map[hoist.PartName]error{"b": tc.err}}
				got := commitAll(&batch.Store{Store: store, Clock: clock.System{}}, 10, "z", "a", "b", "c")
				isUnknown := errors.Is(tc.err, hoist.ErrOutcomeUnknown)
				is.True(errors.Is(got["b"], tc.err))
				is.Equal(errors.Is(got["c"], hoist.ErrOutcomeUnknown), isUnknown) // the others share an unknown outcome only
				slices.SortFunc(store.calls[3:], slices.Compare)
				wantCalls(is, store, tc.want...)
			})
		})
	}
}

// TestSeparate guards against a slow store, or one that loses answers, that delays all
// parts for the sake of fewer calls, also those that wait already.
func TestSeparate(t *testing.T) {
	cases := []struct {
		name  string
		store *fakeStore
		took  time.Duration
		first [][]hoist.PartName
	}{
		{"slow", &fakeStore{delay: 200 * time.Millisecond}, 250 * time.Millisecond, [][]hoist.PartName{{"a"}, {"b"}, {"c"}, {"z"}}},
		{
			"lost answers", &fakeStore{delay: 8 * time.Millisecond, fails: map[hoist.PartName]error{"b": hoist.ErrOutcomeUnknown}},
			50 * time.Millisecond,
			[][]hoist.PartName{{"a"}, {"b", "c"}, {"z"}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &batch.Store{Store: tc.store, Clock: clock.System{}}
				began := time.Now()
				commitAll(s, 10, "z", "a", "b", "c")
				is.True(time.Since(began) < tc.took) // no part waits for the answers of two others
				slices.SortFunc(tc.store.calls, slices.Compare)
				commitAll(s, 10, "d", "e", "f")
				slices.SortFunc(tc.store.calls[len(tc.first):], slices.Compare)
				wantCalls(is, tc.store, append(tc.first, []hoist.PartName{"d"}, []hoist.PartName{"e"}, []hoist.PartName{"f"})...)
			})
		})
	}
}
