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
	// maxJobsPerTxn bounds the jobs that one transaction writes.
	maxJobsPerTxn = 64
	// batchDelay is the delay before a write, in which further changes are
	// batched. 20 ms limits each host to 50 writes a second.
	batchDelay = 20 * time.Millisecond
	// rewriteDelay is the retry delay after a failed write.
	rewriteDelay = time.Second
	// endedJobRetention is how long the row of an ended job is kept, so that
	// submitting the job again has no effect.
	endedJobRetention = time.Hour
)

// rowWriter holds the jobs whose rows in the table are out of date. A row is
// composed from the state of the job when it is written, so one write covers any
// number of changes to a job.
type rowWriter struct {
	dirty map[hoist.JobID]*pendingRow
	// writing are the jobs in the current write.
	writing map[hoist.JobID]bool
	due     chan struct{}
	// txnNo is the number of the last transaction.
	txnNo int
}

// pendingRow is a job whose row is to be written.
type pendingRow struct {
	job     *jobs.Job
	waiters []chan error
	// mayBeWritten is set when the outcome of an earlier write is unknown.
	mayBeWritten bool
	// isDelete is set if the row is to be deleted.
	isDelete bool
}

func newRowWriter() *rowWriter {
	return &rowWriter{dirty: make(map[hoist.JobID]*pendingRow), writing: make(map[hoist.JobID]bool), due: make(chan struct{}, 1)}
}

// markDirty schedules a write of a job's row.
func (w *rowWriter) markDirty(j *jobs.Job) *pendingRow {
	r, ok := w.dirty[j.Spec.ID]
	if !ok {
		r = &pendingRow{job: j}
		w.dirty[j.Spec.ID] = r
	}
	clock.Signal(w.due)
	return r
}

// record schedules a write of a job's row. The channel receives the result of the
// next attempt to write it.
func (w *rowWriter) record(j *jobs.Job) <-chan error {
	written := make(chan error, 1)
	r := w.markDirty(j)
	r.waiters = append(r.waiters, written)
	return written
}

func (w *rowWriter) isDirty(id hoist.JobID) bool {
	_, ok := w.dirty[id]
	return ok || w.writing[id]
}

// drop cancels the write of a job that this host no longer owns.
func (w *rowWriter) drop(id hoist.JobID) {
	if r, ok := w.dirty[id]; ok {
		r.notify(hoist.ErrNotOwner)
		delete(w.dirty, id)
	}
}

func (r *pendingRow) notify(err error) {
	for _, waiter := range r.waiters {
		waiter <- err
	}
	r.waiters = nil
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
	return hoist.Put{Key: jobKey(j.Spec), Value: codec.EncodeTableRow(row)}
}

// writeLoop writes the rows of changed jobs, up to maxJobsPerTxn in a transaction.
func (m *Manager) writeLoop(ctx context.Context) {
	for clock.SleepOr(ctx, rewriteDelay, m.rows.due) && clock.Sleep(ctx, batchDelay) {
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

// batchEntry is a job in a write, with the term of its shard when the write was
// composed.
type batchEntry struct {
	row  *pendingRow
	term hoist.Term
	// isCancelled is set if the row that is written records a cancellation.
	isCancelled bool
}

// writeBatch writes up to maxJobsPerTxn of the jobs that are due. It reports
// whether the next batch can be written without a delay.
func (m *Manager) writeBatch(ctx context.Context) bool {
	m.mu.Lock()
	b := m.composeBatch()
	m.mu.Unlock()
	if len(b.entries) == 0 {
		return false
	}
	// Only this goroutine writes, so the map holds only the jobs of this batch.
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		clear(m.rows.writing)
	}()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := table.CommitResolved(callCtx, m.Table, b.txn)
	if errors.Is(err, hoist.ErrConflict) {
		return m.resolveConflict(ctx, b)
	}
	if err != nil {
		events.ProgressWriteFailed.Log(ctx, m.Log, "jobs", len(b.entries), "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range b.entries {
		m.recordWrite(e, err)
	}
	return err == nil && len(m.rows.dirty) > 0
}

// composeBatch takes up to maxJobsPerTxn of the jobs that are due. The mutex is
// held.
func (m *Manager) composeBatch() batch {
	var b batch
	for id, r := range m.rows.dirty {
		s, ok := m.shards[teamShardOf(r.job.Spec.Team)]
		if !ok || !m.owns(teamShardOf(r.job.Spec.Team), s.term) {
			// The host lease has expired or the shard has another owner. The
			// callers that wait for the write repeat the call at the new owner.
			r.notify(hoist.ErrNotOwner)
			if r.job.Version == 0 && !r.mayBeWritten {
				delete(m.rows.dirty, id)
				m.jobTracker.Remove(id)
			}
			continue
		}
		put := jobPut(r.job)
		if r.isDelete {
			put.Value = nil
		}
		b.txn.Checks = append(b.txn.Checks, hoist.Check{Key: put.Key, Version: r.job.Version})
		b.txn.Puts = append(b.txn.Puts, put)
		b.entries = append(b.entries, batchEntry{r, s.term, r.job.IsCancelled})
		// A change after this point schedules another write.
		delete(m.rows.dirty, id)
		m.rows.writing[id] = true
		if len(b.entries) == maxJobsPerTxn {
			break
		}
	}
	m.rows.txnNo++
	b.txn.ID = hoist.TxnID(fmt.Sprintf("jobs/%s/%d/%d", m.Ownership.Self(), m.Clock.Now().UnixNano(), m.rows.txnNo))
	return b
}

// recordWrite applies the result of a write. The mutex is held.
func (m *Manager) recordWrite(e batchEntry, err error) {
	r, j := e.row, e.row.job
	shard := teamShardOf(j.Spec.Team)
	s, ok := m.shards[shard]
	if !ok || s.term != e.term || (err == nil && !m.owns(shard, e.term)) {
		// The new owner may have read the row before this write. An end that is
		// acknowledged now would never reach it.
		r.notify(hoist.ErrNotOwner)
		return
	}
	if err == nil {
		j.Version++
		j.IsCancelRecorded = j.IsCancelRecorded || e.isCancelled
		r.notify(nil)
		if r.isDelete {
			m.jobTracker.Remove(j.Spec.ID)
		}
		return
	}
	if isOutcomeUnknown(err) {
		r.mayBeWritten = true
	}
	if r.mayBeWritten {
		err = hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	r.notify(err)
	m.requeueFailed(r)
}

// requeueFailed schedules another write of a job whose write failed. A new job or
// a cancellation that certainly was not recorded is reverted instead. The mutex is
// held.
func (m *Manager) requeueFailed(r *pendingRow) {
	j := r.job
	if !r.mayBeWritten && j.Version == 0 {
		if later, ok := m.rows.dirty[j.Spec.ID]; ok {
			later.notify(hoist.ErrUnavailable)
			delete(m.rows.dirty, j.Spec.ID)
		}
		m.jobTracker.Remove(j.Spec.ID)
		return
	}
	if !r.mayBeWritten && j.IsCancelled && !j.IsCancelRecorded {
		j.IsCancelled = false
		m.requestPass()
	}
	later, ok := m.rows.dirty[j.Spec.ID]
	if !ok {
		m.rows.dirty[j.Spec.ID] = r
		return
	}
	later.mayBeWritten = later.mayBeWritten || r.mayBeWritten
	later.isDelete = later.isDelete || r.isDelete
}

// resolveConflict merges what another owner wrote to the rows of a batch and
// schedules another write of the jobs. Merging is safe because rows only gain
// content: a done task stays done and a cancelled job stays cancelled. It reports
// whether the next batch can be written without a delay.
func (m *Manager) resolveConflict(ctx context.Context, b batch) bool {
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
			e.row.mayBeWritten = true
			m.recordWrite(e, hoist.ConvertError(hoist.ErrOutcomeUnknown, err))
		}
		return false
	}
	byKey := make(map[hoist.RowKey]hoist.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, e := range b.entries {
		j := e.row.job
		if s, ok := m.shards[teamShardOf(j.Spec.Team)]; !ok || s.term != e.term {
			e.row.notify(hoist.ErrNotOwner)
			continue
		}
		m.mergeRow(ctx, j, byKey[jobKey(j.Spec)])
		later := m.rows.markDirty(j)
		later.waiters = append(later.waiters, e.row.waiters...)
	}
	return true
}

// mergeRow merges the content of a job's row into the job. The zero Row means that
// the job has no row. The mutex is held.
func (m *Manager) mergeRow(ctx context.Context, j *jobs.Job, row hoist.Row) {
	j.Version = row.Version
	if row.Version == 0 {
		return
	}
	w, err := codec.DecodeTableRow[wire.JobRow](row)
	if err != nil {
		events.RowUnreadable.Log(ctx, m.Log, "error", err)
		return
	}
	now := m.Clock.Now()
	for _, no := range w.Done {
		m.jobTracker.MarkDone(j, no, now)
	}
	if w.Cancelled != nil && *w.Cancelled {
		j.IsCancelled = true
		j.IsCancelRecorded = true
		m.jobTracker.StopAll(j, now)
	}
}

// markExpiredRows schedules the deletion of the rows of jobs that ended more than
// endedJobRetention ago. The mutex is held.
func (m *Manager) markExpiredRows(now time.Time) {
	for _, j := range m.jobTracker.All() {
		if !j.Ended.IsZero() && now.Sub(j.Ended) > endedJobRetention && !m.rows.isDirty(j.Spec.ID) {
			m.rows.markDirty(j).isDelete = true
		}
	}
}
