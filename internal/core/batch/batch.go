// Package batch combines transactions of the platform's store, as each call to it has a
// price and counts against a rate limit.
//
// # Usage
//
//	s := &batch.Store{Store: store, Clock: clock}
//	version, err := s.Commit(ctx, txn) // from several goroutines
//
// # Rule
//
// A transaction is sent at once if few are in progress. Those that arrive meanwhile are
// sent together when one has ended: one transaction over several parts takes longer than
// one in a single part, but is one call. Nothing waits for others to arrive.
//
// Transactions are sent separately for a while after a combined one that failed, and once
// any has taken long, including those that wait for it: a part that is unavailable or slow,
// or a lost answer, then delays no other part.
package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// maxEntries and maxBytes bound a combined transaction. The store takes 100 entries
	// and 1 MB; values are sent in an encoding that is a third longer.
	maxEntries = 100
	maxBytes   = 600 << 10
	// maxInProgress is how many transactions may be in progress before others wait. With
	// one, a start would often wait for two round trips.
	maxInProgress = 2
	// slowCommit is the duration from which the store counts as slow, and the longest time
	// that a transaction waits for another. A transaction over several parts takes twice as
	// long on a slow store.
	slowCommit = 40 * time.Millisecond
	// separateTime is how long transactions are sent separately after a combined one has
	// failed or one has taken slowCommit. It covers several commits of the available parts.
	separateTime = 2 * time.Second
)

// Store is a store that combines the transactions that are committed at the same time.
// They must not have rows in common. Set the exported fields before use.
type Store struct {
	hoist.Store
	Clock hoist.Clock

	mu            sync.Mutex
	waiting       []*request
	inProgress    int
	separateUntil time.Time
}

// request is a transaction that waits for its outcome.
type request struct {
	ctx    context.Context
	txn    hoist.Transaction
	result chan result
}

type result struct {
	version hoist.RowVersion
	err     error
}

// Commit implements hoist.Store.
func (s *Store) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	r := &request{ctx, t, make(chan result, 1)}
	if !s.join(r) {
		return s.Store.Commit(ctx, t)
	}
	got := <-r.result
	return got.version, got.err
}

// join adds a request to those that are combined. It reports false while transactions are
// sent separately.
func (s *Store) join(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Clock.Now().Before(s.separateUntil) {
		return false
	}
	s.waiting = append(s.waiting, r)
	if s.inProgress < maxInProgress {
		s.inProgress++
		go s.run()
	}
	return true
}

// run commits what waits until nothing does.
func (s *Store) run() {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.commit(batch)
	}
}

// take removes the requests of the next transaction. It returns none, and ends run, if
// nothing waits.
func (s *Store) take() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, entries, bytes := 0, 0, 0
	for _, r := range s.waiting {
		entries += numEntries(r.txn)
		bytes += numBytes(r.txn)
		if n > 0 && (entries > maxEntries || bytes > maxBytes) {
			break
		}
		n++
	}
	batch := s.waiting[:n:n]
	s.waiting = s.waiting[n:]
	if n == 0 {
		s.inProgress--
	}
	return batch
}

func numEntries(t hoist.Transaction) int {
	return len(t.Preconditions) + len(t.Writes) + len(t.Remove)
}

func numBytes(t hoist.Transaction) int {
	n := 0
	for _, w := range t.Writes {
		n += len(w.Value)
	}
	return n
}

// commit commits a batch as one transaction, or each request separately if that
// certainly had no effect.
func (s *Store) commit(batch []*request) {
	slow := time.AfterFunc(slowCommit, s.separate)
	defer slow.Stop()
	if len(batch) == 1 {
		s.commitOne(batch[0])
		return
	}
	ctx, cancel := firstDeadline(batch)
	defer cancel()
	version, err := s.Store.Commit(ctx, combined(batch))
	if errors.Is(err, hoist.ErrUnavailable) || errors.Is(err, hoist.ErrOutcomeUnknown) {
		s.separate()
	}
	if err == nil || errors.Is(err, hoist.ErrOutcomeUnknown) {
		for _, r := range batch {
			r.result <- result{version, err}
		}
		return
	}
	// One of the requests may have caused the failure, or one part may be unavailable.
	for _, r := range batch {
		go s.commitOne(r)
	}
}

func (s *Store) commitOne(r *request) {
	version, err := s.Store.Commit(r.ctx, r.txn)
	r.result <- result{version, err}
}

// separate makes transactions separate for a while, and sends those that wait.
func (s *Store) separate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.separateUntil = s.Clock.Now().Add(separateTime)
	for _, r := range s.waiting {
		go s.commitOne(r)
	}
	s.waiting = nil
}

// firstDeadline returns a context that ends when the first of the requests times out.
func firstDeadline(batch []*request) (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(batch[0].ctx)
	var first time.Time
	for _, r := range batch {
		if deadline, ok := r.ctx.Deadline(); ok && (first.IsZero() || deadline.Before(first)) {
			first = deadline
		}
	}
	if first.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, first)
}

// combined returns a transaction with the content of all requests.
func combined(batch []*request) hoist.Transaction {
	var out hoist.Transaction
	for _, r := range batch {
		out.Preconditions = append(out.Preconditions, r.txn.Preconditions...)
		out.Writes = append(out.Writes, r.txn.Writes...)
		out.Remove = append(out.Remove, r.txn.Remove...)
	}
	return out
}
