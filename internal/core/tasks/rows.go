package tasks

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// progressPerTxn bounds the jobs whose progress one transaction writes.
const progressPerTxn = 64

func shardPrefix(shard hoist.ShardID) hoist.RowKey {
	return hoist.RowKey(fmt.Sprintf("job/%03d/", shard))
}

func jobKey(spec hoist.JobSpec) hoist.RowKey {
	return shardPrefix(teamShardOf(spec.Team)) + hoist.RowKey(spec.ID)
}

func jobPut(j *jobs.Job) hoist.Put {
	row := wire.JobRow{Spec: codec.JobSpec(j.Spec), Accepted: j.Accepted, Done: []int{}}
	for i, t := range j.Tasks {
		if t.IsDone {
			row.Done = append(row.Done, i)
		}
	}
	return hoist.Put{Key: jobKey(j.Spec), Value: codec.EncodeValue(row)}
}

// Accept records a job in the table and starts to place it. It returns
// hoist.ErrNotOwner if this host does not keep the jobs of the team.
func (m *Manager) Accept(ctx context.Context, spec hoist.JobSpec) error {
	m.init()
	shard := teamShardOf(spec.Team)
	term, ok := m.Own.Owns(shard)
	if !ok || !m.isReady(shard, term) {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("team shard %d", shard))
	}
	m.mu.Lock()
	_, isKnown := m.book.Get(spec.ID)
	m.mu.Unlock()
	if isKnown {
		return nil
	}
	accepted := m.Clock.Now()
	b := jobs.NewBook()
	b.Add(spec, accepted)
	j, _ := b.Get(spec.ID)
	txn := hoist.Txn{
		ID:     hoist.TxnID(fmt.Sprintf("accept/%s/%s/%d", m.Own.Self(), spec.ID, accepted.UnixNano())),
		Checks: []hoist.Check{{Key: jobKey(spec)}},
		Puts:   []hoist.Put{jobPut(j)},
	}
	if err := m.commit(ctx, txn); err != nil && !errors.Is(err, hoist.ErrConflict) {
		return merry.Prependf(err, "job %s", spec.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.shards[shard]; ok && s.term == term {
		m.book.Add(spec, accepted)
	}
	events.JobAccepted.Log(ctx, m.Log, "job", spec.ID, "tasks", spec.Tasks)
	m.wake()
	return nil
}

func (m *Manager) isReady(shard hoist.ShardID, term hoist.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.shards[shard]
	return ok && s.term == term && s.isReady
}

func (m *Manager) commit(ctx context.Context, txn hoist.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return table.CommitSettled(ctx, m.Table, txn)
}

// progress is the end of a task on its way to the table.
type progress struct {
	end hoist.WorkerTask
	// written receives the result of the write.
	written chan error
}

// TaskEnded records the end of a task. When it returns nil, the end is in the
// table and the worker may forget it.
func (m *Manager) TaskEnded(ctx context.Context, t hoist.WorkerTask) error {
	m.init()
	shard := teamShardOf(t.Status.Team)
	term, ok := m.Own.Owns(shard)
	if !ok || !m.isReady(shard, term) {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("team shard %d", shard))
	}
	p := progress{t, make(chan error, 1)}
	select {
	case m.progress <- p:
	case <-ctx.Done():
		return hoist.Turn(hoist.ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-p.written:
		return err
	case <-ctx.Done():
		return hoist.Turn(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// progressLoop writes ends in batches: those that arrive during one write go
// into the next.
func (m *Manager) progressLoop(ctx context.Context) {
	for {
		var batch []progress
		select {
		case p := <-m.progress:
			batch = append(batch, p)
		case <-ctx.Done():
			return
		}
		batch = m.gather(batch)
		err := m.writeProgress(ctx, batch)
		for _, p := range batch {
			p.written <- err
		}
		m.wake()
	}
}

// gather waits a little for more ends.
func (m *Manager) gather(batch []progress) []progress {
	const gatherTime = 20 * time.Millisecond
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(batch) < progressPerTxn {
		select {
		case p := <-m.progress:
			batch = append(batch, p)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// writeProgress applies ends to the book and writes the jobs they belong to.
// The book is ahead of the table until a later write succeeds, which is
// harmless: the worker repeats an end that was not acknowledged.
func (m *Manager) writeProgress(ctx context.Context, batch []progress) error {
	txn := hoist.Txn{}
	m.mu.Lock()
	changed := make(map[hoist.JobID]*jobs.Job)
	for _, p := range batch {
		status := p.end.Status
		j, hasEnded := m.book.Ended(p.end)
		if j == nil {
			j, _ = m.book.Get(status.Job)
		}
		if j != nil && status.State == hoist.TaskSucceeded {
			changed[j.Spec.ID] = j
		}
		if status.State == hoist.TaskFailed {
			events.TaskFailed.Log(ctx, m.Log, "task", status.Task, "worker", p.end.Worker, "reason", status.Reason)
		}
		if hasEnded {
			events.JobEnded.Log(ctx, m.Log, "job", status.Job)
		}
	}
	for _, j := range changed {
		txn.Puts = append(txn.Puts, jobPut(j))
	}
	m.mu.Unlock()
	if len(txn.Puts) == 0 {
		return nil
	}
	txn.ID = hoist.TxnID(fmt.Sprintf("progress/%s/%d", m.Own.Self(), m.Clock.Now().UnixNano()))
	err := m.commit(ctx, txn)
	if err != nil {
		events.ProgressLate.Log(ctx, m.Log, "error", err)
	}
	return err
}
