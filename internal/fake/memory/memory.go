// Package memory provides an in-memory hoist.Store for tests, and a link to it that
// injects faults.
//
// # Usage
//
//	s := &memory.Store{}
//	link := &memory.Link{Store: s}
//	link.SetError(hoist.ErrUnavailable)
package memory

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Store implements hoist.Store in memory. The zero value is empty and ready.
type Store struct {
	mu      sync.Mutex
	rows    map[hoist.RowRef]hoist.StoredRow
	version hoist.RowVersion
	// history lists the changes since truncatedAt, oldest first.
	history []hoist.StoredRow
	// truncatedAt is the newest version whose changes DiscardHistory has discarded.
	truncatedAt hoist.RowVersion
	changed     chan struct{}
}

var _ hoist.Store = (*Store)(nil)

func (s *Store) init() {
	if s.rows == nil {
		s.rows = make(map[hoist.RowRef]hoist.StoredRow)
		s.changed = make(chan struct{})
	}
}

// Commit implements hoist.Store.
func (s *Store) Commit(_ context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for _, e := range t.Preconditions {
		if s.rows[e.RowRef].Version != e.Version {
			return 0, hoist.ErrConflict
		}
	}
	s.version++
	for _, w := range t.Writes {
		row := hoist.StoredRow{RowRef: w.RowRef, Value: w.Value, Version: s.version}
		s.rows[w.RowRef] = row
		s.history = append(s.history, row)
	}
	for _, ref := range t.Remove {
		if _, ok := s.rows[ref]; ok {
			delete(s.rows, ref)
			s.history = append(s.history, hoist.StoredRow{RowRef: ref, Version: s.version, IsRemoved: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// Get implements hoist.Store.
func (s *Store) Get(_ context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[ref]
	if !ok {
		row = hoist.StoredRow{RowRef: ref}
	}
	row.ReadAt = hoist.StoreTime(time.Now().UnixNano())
	return row, nil
}

// Scan implements hoist.Store.
func (s *Store) Scan(_ context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []hoist.StoredRow
	for ref, row := range s.rows {
		if ref.Table == table && ref.Part == part {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b hoist.StoredRow) int { return cmp.Compare(a.Key, b.Key) })
	// Changes after version 0 would return all rows again.
	return out, max(1, s.version), nil
}

// Changes implements hoist.Store.
func (s *Store) Changes(
	ctx context.Context, table hoist.TableName, after hoist.RowVersion, wait time.Duration,
) ([]hoist.StoredRow, hoist.RowVersion, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.init()
		var out []hoist.StoredRow
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, row := range s.history[first:] {
			if row.Table == table {
				out = append(out, row)
			}
		}
		isHistoryLost, version, changed := after < s.truncatedAt, s.version, s.changed
		s.mu.Unlock()
		if isHistoryLost {
			return nil, after, hoist.ErrHistoryLost
		}
		if len(out) > 0 {
			return out, max(after, version), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(after, version), nil
		case <-ctx.Done():
			return nil, after, hoist.ConvertError(hoist.ErrUnavailable, ctx.Err())
		}
	}
}

// DiscardHistory discards the changes so far. Changes then returns hoist.ErrHistoryLost
// to a reader that has not seen all of them.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.truncatedAt = nil, s.version
}

// Link is the connection of one host to a store, with faults that its methods set.
type Link struct {
	hoist.Store

	mu            sync.Mutex
	err           error
	answersToLose int
	partErrors    map[hoist.PartName]error
	delay         time.Duration
}

// SetError makes all calls fail with err. A nil err ends the fault.
func (l *Link) SetError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// SetPartError makes the calls about one part fail with err. A nil err ends the
// fault. With hoist.ErrOutcomeUnknown the calls block until their context ends.
func (l *Link) SetPartError(part hoist.PartName, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partErrors == nil {
		l.partErrors = make(map[hoist.PartName]error)
	}
	l.partErrors[part] = err
}

// SetDelay sets the delay before each transaction takes effect.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAnswers makes the next n transactions take effect and then block until their
// context ends, with hoist.ErrOutcomeUnknown.
func (l *Link) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

func (l *Link) linkError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// partError returns the injected error of a call about one part, nil if there is
// none. For hoist.ErrOutcomeUnknown it first waits until ctx ends. No call is sent after
// the end of ctx.
func (l *Link) partError(ctx context.Context, part hoist.PartName) error {
	if ctx.Err() != nil {
		return hoist.ConvertError(hoist.ErrUnavailable, ctx.Err())
	}
	if err := l.linkError(); err != nil {
		return err
	}
	l.mu.Lock()
	err := l.partErrors[part]
	l.mu.Unlock()
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		<-ctx.Done()
		return hoist.ConvertError(err, ctx.Err())
	}
	return err
}

// partsOf returns the parts that a transaction reads or writes, each once.
func partsOf(t hoist.Transaction) []hoist.PartName {
	var out []hoist.PartName
	for _, e := range t.Preconditions {
		out = append(out, e.Part)
	}
	for _, w := range t.Writes {
		out = append(out, w.Part)
	}
	for _, ref := range t.Remove {
		out = append(out, ref.Part)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Commit implements hoist.Store.
func (l *Link) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	for _, part := range partsOf(t) {
		if err := l.partError(ctx, part); err != nil {
			return 0, err
		}
	}
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
	version, err := l.Store.Commit(ctx, t)
	l.mu.Lock()
	isAnswerLost := l.answersToLose > 0
	if isAnswerLost {
		l.answersToLose--
	}
	l.mu.Unlock()
	if isAnswerLost {
		<-ctx.Done()
		return 0, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
	return version, err
}

// Get implements hoist.Store.
func (l *Link) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	if err := l.partError(ctx, ref.Part); err != nil {
		return hoist.StoredRow{}, err
	}
	return l.Store.Get(ctx, ref)
}

// Scan implements hoist.Store.
func (l *Link) Scan(ctx context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	if err := l.partError(ctx, part); err != nil {
		return nil, 0, err
	}
	return l.Store.Scan(ctx, table, part)
}

// Changes implements hoist.Store.
func (l *Link) Changes(
	ctx context.Context, table hoist.TableName, after hoist.RowVersion, wait time.Duration,
) ([]hoist.StoredRow, hoist.RowVersion, error) {
	if err := l.linkError(); err != nil {
		return nil, after, err
	}
	return l.Store.Changes(ctx, table, after, wait)
}
