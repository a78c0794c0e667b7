// Package shelf is an in-memory hoist.Store for tests, and a link to it that can
// fail.
//
// # Usage
//
//	s := &shelf.Store{}
//	link := &shelf.Link{Store: s}
//	link.SetError(hoist.ErrUnavailable)
package shelf

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Store implements hoist.Store in memory. The zero value is empty and ready.
type Store struct {
	mu      sync.Mutex
	rows    map[hoist.RowRef]hoist.StoredRow
	version hoist.RowVersion
	history []hoist.StoredRow
	oldest  hoist.RowVersion
	changed chan struct{}
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
	for _, e := range t.Expect {
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
		return hoist.StoredRow{RowRef: ref}, nil
	}
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
	// 0 would ask for all rows again.
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
		for _, row := range s.history {
			if row.Version > after && row.Table == table {
				out = append(out, row)
			}
		}
		isCut, version, changed := after < s.oldest, s.version, s.changed
		s.mu.Unlock()
		if isCut {
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

// CutHistory forgets the changes so far.
func (s *Store) CutHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Link is one host's way to a store.
type Link struct {
	hoist.Store

	mu    sync.Mutex
	err   error
	lost  int
	parts map[hoist.PartName]error
	delay time.Duration
}

// SetError makes all calls fail with err, or none if it is nil.
func (l *Link) SetError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// SetPartError makes the calls about one part fail with err, or none of them if it
// is nil. With hoist.ErrOutcomeUnknown they get no answer.
func (l *Link) SetPartError(part hoist.PartName, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts == nil {
		l.parts = make(map[hoist.PartName]error)
	}
	l.parts[part] = err
}

// SetDelay makes each transaction take some time.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAnswers makes the next n transactions take effect without an answer.
func (l *Link) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = n
}

func (l *Link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// partFailure is failure for a call about one part.
func (l *Link) partFailure(ctx context.Context, part hoist.PartName) error {
	if err := l.failure(); err != nil {
		return err
	}
	l.mu.Lock()
	err := l.parts[part]
	l.mu.Unlock()
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		<-ctx.Done()
		return hoist.ConvertError(err, ctx.Err())
	}
	return err
}

func partsOf(t hoist.Transaction) []hoist.PartName {
	var out []hoist.PartName
	for _, e := range t.Expect {
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
		if err := l.partFailure(ctx, part); err != nil {
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
	isLost := l.lost > 0
	if isLost {
		l.lost--
	}
	l.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return 0, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
	return version, err
}

// Get implements hoist.Store.
func (l *Link) Get(ctx context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	if err := l.partFailure(ctx, ref.Part); err != nil {
		return hoist.StoredRow{}, err
	}
	return l.Store.Get(ctx, ref)
}

// Scan implements hoist.Store.
func (l *Link) Scan(ctx context.Context, table hoist.TableName, part hoist.PartName) ([]hoist.StoredRow, hoist.RowVersion, error) {
	if err := l.partFailure(ctx, part); err != nil {
		return nil, 0, err
	}
	return l.Store.Scan(ctx, table, part)
}

// Changes implements hoist.Store.
func (l *Link) Changes(
	ctx context.Context, table hoist.TableName, after hoist.RowVersion, wait time.Duration,
) ([]hoist.StoredRow, hoist.RowVersion, error) {
	if err := l.failure(); err != nil {
		return nil, after, err
	}
	return l.Store.Changes(ctx, table, after, wait)
}
