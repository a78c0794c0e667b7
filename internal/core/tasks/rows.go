package tasks

import (
	"context"
	"errors"
	"fmt"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

const (
	// jobsPerTxn bounds the jobs that one transaction writes.
	jobsPerTxn = 64
	// gatherTime is the wait for further changes before a write. 20 ms bounds
	// the writes to 50 a second for each host.
	gatherTime = 20 * time.Millisecond
	// rewriteAfter is the wait after a failed write.
	rewriteAfter = time.Second
	// endedKeep is how long the row of an ended job stays, so that submitting
	// it again has no effect.
	endedKeep = time.Hour
)

// rowWriter holds the jobs whose rows in the table are out of date. A row is always
// written from the state of the book, so a job is written once for any number
// of changes.
type rowWriter struct {
	dirty map[hoist.JobID]*entry
	// writing are the jobs in the write under way.
	writing map[hoist.JobID]bool
	due     chan struct{}
	// n numbers the transactions.
	n int
}

// entry is a job to be written.
type entry struct {
	job     *jobs.Job
	waiters []chan error
	// isUnsure is set when an earlier write may have taken effect.
	isUnsure bool
	// isDelete removes the row.
	isDelete bool
}

func newRowWriter() *rowWriter {
	return &rowWriter{dirty: make(map[hoist.JobID]*entry), writing: make(map[hoist.JobID]bool), due: make(chan struct{}, 1)}
}

// mark makes a job one to be written.
func (l *rowWriter) mark(j *jobs.Job) *entry {
	e, ok := l.dirty[j.Spec.ID]
	if !ok {
		e = &entry{job: j}
		l.dirty[j.Spec.ID] = e
	}
	clock.Signal(l.due)
	return e
}

// record makes a job one to be written. The channel receives the result of the
// next write.
func (l *rowWriter) record(j *jobs.Job) <-chan error {
	written := make(chan error, 1)
	e := l.mark(j)
	e.waiters = append(e.waiters, written)
	return written
}

func (l *rowWriter) isDirty(id hoist.JobID) bool {
	_, ok := l.dirty[id]
	return ok || l.writing[id]
}

// drop forgets a job that this host does not keep any more.
func (l *rowWriter) drop(id hoist.JobID) {
	if e, ok := l.dirty[id]; ok {
		e.tell(hoist.ErrNotOwner)
		delete(l.dirty, id)
	}
}

func (e *entry) tell(err error) {
	for _, w := range e.waiters {
		w <- err
	}
	e.waiters = nil
}

func shardPrefix(shard hoist.ShardID) hoist.RowKey {
	return hoist.RowKey(fmt.Sprintf("job/%03d/", shard))
}

func jobKey(spec hoist.JobSpec) hoist.RowKey {
	return shardPrefix(teamShardOf(spec.Team)) + hoist.RowKey(spec.ID)
}

func jobPut(j *jobs.Job) hoist.Put {
	row := wire.JobRow{Spec: codec.JobSpec(j.Spec), Accepted: j.Accepted, Done: []int{}}
	for i, t := range j.Tasks {
		if t.Phase == jobs.Done {
			row.Done = append(row.Done, i)
		}
	}
	if j.IsCancelled {
		row.Cancelled = &j.IsCancelled
	}
	if !j.Ended.IsZero() {
		row.Ended = &j.Ended
	}
	return hoist.Put{Key: jobKey(j.Spec), Value: codec.EncodeValue(row)}
}

// writeLoop writes the jobs that changed, many in one transaction.
func (m *Manager) writeLoop(ctx context.Context) {
	for clock.PauseOr(ctx, rewriteAfter, m.rows.due) && clock.Pause(ctx, gatherTime) {
		for m.writeBatch(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// batch is the content of one write.
type batch struct {
	txn     hoist.Txn
	entries []batchEntry
}

// batchEntry is a job in a write, with what was waiting when it was composed.
type batchEntry struct {
	entry *entry
	term  hoist.Term
	// isCancelled is set if the row that is written says so.
	isCancelled bool
}

// writeBatch writes some of the jobs that are due. It reports whether more are
// due right away.
func (m *Manager) writeBatch(ctx context.Context) bool {
	m.mu.Lock()
	b := m.composeBatch()
	m.mu.Unlock()
	if len(b.entries) == 0 {
		return false
	}
	// Only this goroutine writes, so that nothing else is in the map.
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		clear(m.rows.writing)
	}()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := table.CommitResolved(callCtx, m.Table, b.txn)
	if errors.Is(err, hoist.ErrConflict) {
		return m.reread(ctx, b)
	}
	if err != nil {
		events.ProgressLate.Log(ctx, m.Log, "jobs", len(b.entries), "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range b.entries {
		m.written(e, err)
	}
	return err == nil && len(m.rows.dirty) > 0
}

// composeBatch takes up to jobsPerTxn due jobs. The mutex is held.
func (m *Manager) composeBatch() batch {
	var b batch
	for id, e := range m.rows.dirty {
		s, ok := m.shards[teamShardOf(e.job.Spec.Team)]
		if !ok || !m.owns(teamShardOf(e.job.Spec.Team), s.term) {
			// The lease has lapsed or the shard has moved; whoever waits asks
			// the next owner.
			e.tell(hoist.ErrNotOwner)
			if e.job.Version == 0 && !e.isUnsure {
				delete(m.rows.dirty, id)
				m.book.Remove(id)
			}
			continue
		}
		put := jobPut(e.job)
		if e.isDelete {
			put.Value = nil
		}
		b.txn.Checks = append(b.txn.Checks, hoist.Check{Key: put.Key, Version: e.job.Version})
		b.txn.Puts = append(b.txn.Puts, put)
		b.entries = append(b.entries, batchEntry{e, s.term, e.job.IsCancelled})
		// A change after this point makes the job due again.
		delete(m.rows.dirty, id)
		m.rows.writing[id] = true
		if len(b.entries) == jobsPerTxn {
			break
		}
	}
	m.rows.n++
	b.txn.ID = hoist.TxnID(fmt.Sprintf("jobs/%s/%d/%d", m.Own.Self(), m.Clock.Now().UnixNano(), m.rows.n))
	return b
}

// written applies the result of a write. The mutex is held.
func (m *Manager) written(b batchEntry, err error) {
	e, j := b.entry, b.entry.job
	shard := teamShardOf(j.Spec.Team)
	s, ok := m.shards[shard]
	if !ok || s.term != b.term || (err == nil && !m.owns(shard, b.term)) {
		// An end that is acknowledged after the shard moved would be unknown
		// to the new owner, which may have read the row before.
		e.tell(hoist.ErrNotOwner)
		return
	}
	if err == nil {
		j.Version++
		j.IsCancelWritten = j.IsCancelWritten || b.isCancelled
		e.tell(nil)
		if e.isDelete {
			m.book.Remove(j.Spec.ID)
		}
		return
	}
	if isUnknown(err) {
		e.isUnsure = true
	}
	if e.isUnsure {
		err = hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	e.tell(err)
	m.keepDirty(e)
}

// keepDirty makes a job whose write failed due again. A job or cancellation
// that was certainly not recorded is taken back. The mutex is held.
func (m *Manager) keepDirty(e *entry) {
	j := e.job
	if !e.isUnsure && j.Version == 0 {
		if later, ok := m.rows.dirty[j.Spec.ID]; ok {
			later.tell(hoist.ErrUnavailable)
			delete(m.rows.dirty, j.Spec.ID)
		}
		m.book.Remove(j.Spec.ID)
		return
	}
	if !e.isUnsure && j.IsCancelled && !j.IsCancelWritten {
		j.IsCancelled = false
		m.wake()
	}
	later, ok := m.rows.dirty[j.Spec.ID]
	if !ok {
		m.rows.dirty[j.Spec.ID] = e
		return
	}
	later.isUnsure = later.isUnsure || e.isUnsure
	later.isDelete = later.isDelete || e.isDelete
}

// reread takes over what another owner wrote to the rows of a batch, after
// which the jobs are written again. What rows record only grows: a task stays
// done and a job stays cancelled.
func (m *Manager) reread(ctx context.Context, b batch) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys := make([]hoist.RowKey, 0, len(b.entries))
	for _, p := range b.txn.Puts {
		keys = append(keys, p.Key)
	}
	rows, err := m.Table.Read(callCtx, keys...)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		for _, e := range b.entries {
			e.entry.isUnsure = true
			m.written(e, hoist.ConvertError(hoist.ErrOutcomeUnknown, err))
		}
		return false
	}
	byKey := make(map[hoist.RowKey]hoist.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, e := range b.entries {
		j := e.entry.job
		if s, ok := m.shards[teamShardOf(j.Spec.Team)]; !ok || s.term != e.term {
			e.entry.tell(hoist.ErrNotOwner)
			continue
		}
		m.merge(ctx, j, byKey[jobKey(j.Spec)])
		later := m.rows.mark(j)
		later.waiters = append(later.waiters, e.entry.waiters...)
	}
	return true
}

// merge takes over the content of a job's row; the zero Row means that there is
// none. The mutex is held.
func (m *Manager) merge(ctx context.Context, j *jobs.Job, row hoist.Row) {
	j.Version = row.Version
	if row.Version == 0 {
		return
	}
	w, err := codec.DecodeValue[wire.JobRow](row)
	if err != nil {
		events.RowUnreadable.Log(ctx, m.Log, "error", err)
		return
	}
	now := m.Clock.Now()
	for _, no := range w.Done {
		m.book.MarkDone(j, no, now)
	}
	if w.Cancelled != nil && *w.Cancelled {
		j.IsCancelled = true
		j.IsCancelWritten = true
		m.book.StopAll(j, now)
	}
}

// sweep makes the rows of jobs that ended long ago due for removal. The mutex
// is held.
func (m *Manager) sweep(now time.Time) {
	for _, j := range m.book.All() {
		if !j.Ended.IsZero() && now.Sub(j.Ended) > endedKeep && !m.rows.isDirty(j.Spec.ID) {
			m.rows.mark(j).isDelete = true
		}
	}
}
