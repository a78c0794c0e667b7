package route

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

const (
	// recordTimeout bounds one call to the table.
	recordTimeout = time.Second
	// gatherTime is how long a batch of rows waits for more, so that the table's
	// several hundred writes a second carry thousands of rows.
	gatherTime = 10 * time.Millisecond
	// recordsPerTxn bounds the rows of one transaction.
	recordsPerTxn = 64
)

// recording is a row on its way to the table.
type recording struct {
	row     *patientRow
	written chan error
}

// errStopped reports a row that was not written because the host stops.
var errStopped = merry.Prepend(hoist.ErrUnavailable, "the host stops")

// record writes a row if it still has the version that was read, and raises its
// version. The rows of one moment share a transaction.
func (r *Router) record(ctx context.Context, p *patientRow) error {
	rec := &recording{p, make(chan error, 1)}
	select {
	case r.records <- rec:
	case <-ctx.Done():
		return hoist.ConvertError(hoist.ErrUnavailable, ctx.Err())
	case <-r.stopped:
		return errStopped
	}
	if err := <-rec.written; err != nil {
		return err
	}
	p.version++
	return nil
}

// recordLoop writes rows in batches until ctx ends. It refuses what comes later.
func (r *Router) recordLoop(ctx context.Context) {
	defer close(r.stopped)
	var next *recording
	for n := 0; ; n++ {
		if next == nil {
			select {
			case next = <-r.records:
			case <-ctx.Done():
				return
			}
		}
		var batch []*recording
		batch, next = r.gather(ctx, next)
		err := r.commitRows(ctx, n, batch)
		if errors.Is(err, hoist.ErrConflict) && len(batch) > 1 {
			// One changed row holds up the others; each is written by itself.
			for i, rec := range batch {
				n++
				rec.written <- r.commitRows(ctx, n, batch[i:i+1])
			}
			continue
		}
		for _, rec := range batch {
			rec.written <- err
		}
	}
}

// gather waits a little for more rows. A second write to a row of the batch
// would pass the same check, so it is returned as the first of the next batch.
func (r *Router) gather(ctx context.Context, first *recording) (batch []*recording, next *recording) {
	batch = []*recording{first}
	keys := map[hoist.RowKey]bool{first.row.key: true}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(batch) < recordsPerTxn {
		select {
		case rec := <-r.records:
			if keys[rec.row.key] {
				return batch, rec
			}
			keys[rec.row.key] = true
			batch = append(batch, rec)
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		}
	}
	return batch, nil
}

func (r *Router) commitRows(ctx context.Context, n int, batch []*recording) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	txn := hoist.Txn{ID: hoist.TxnID(fmt.Sprintf("patient/%s/%d", r.instance, n))}
	for _, rec := range batch {
		txn.Checks = append(txn.Checks, hoist.Check{Key: rec.row.key, Version: rec.row.version})
		txn.Puts = append(txn.Puts, hoist.Put{Key: rec.row.key, Value: codec.EncodeValue(rec.row.content)})
	}
	return table.CommitResolved(ctx, r.Table, txn)
}

// recoverLoop resumes the accepted requests of shards that came to this host
// and ends those whose host is gone.
func (r *Router) recoverLoop(ctx context.Context) {
	type visit struct {
		term hoist.Term
		next time.Time
	}
	visits := make(map[hoist.ShardID]visit)
	for pause(ctx, recoverEvery) {
		r.mu.Lock()
		terms := make(map[hoist.ShardID]hoist.Term, len(r.terms))
		for shard, term := range r.terms {
			terms[shard] = term
		}
		r.mu.Unlock()
		for shard, term := range terms {
			now := r.Clock.Now()
			if v := visits[shard]; v.term == term && now.Before(v.next) {
				continue
			}
			if r.recover(ctx, shard, term) {
				visits[shard] = visit{term, now.Add(rescanEvery)}
			}
		}
	}
}

// recover reads the requests of one shard. It reports whether nothing is left
// that another host may still end.
func (r *Router) recover(ctx context.Context, shard hoist.ShardID, term hoist.Term) bool {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	rows, err := r.Table.Scan(callCtx, patientPrefix(shard))
	cancel()
	if err != nil {
		return false
	}
	isSettled := true
	for _, row := range rows {
		p, err := decodeRow(row)
		if err != nil {
			events.RecordLate.Log(ctx, r.Log, "row", row.Key, "error", err)
			continue
		}
		switch p.state() {
		case rowAccepted:
			r.resume(p, shard, term)
		case rowStarted:
			isSettled = r.recoverStarted(p) && isSettled
		default:
			r.expire(ctx, p)
		}
	}
	return isSettled
}

// recoverStarted ends a started request whose host is gone as outcome unknown.
// It reports false while its host may still end it.
func (r *Router) recoverStarted(p *patientRow) bool {
	req := codec.ToRequest(p.content.Request)
	host, _, _ := strings.Cut(p.startedBy(), "/")
	_, isPeer := r.Own.Peer(hoist.HostID(host))
	isOver := r.Clock.Now().After(req.Deadline.Add(2 * settleTime))
	if (p.startedBy() == r.instance || isPeer) && !isOver {
		return false
	}
	r.recordEnd(&call{request: req, row: p}, refuse(req.Key, hoist.Unknown, "the host that ran the request is gone"))
	return true
}

// expire deletes the row of a request that ended long ago.
func (r *Router) expire(ctx context.Context, p *patientRow) {
	if p.content.EndedAt == nil || r.Clock.Now().Sub(*p.content.EndedAt) < keepRows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	txn := hoist.Txn{
		ID:     hoist.TxnID(fmt.Sprintf("expire/%s/%s", r.instance, p.key)),
		Checks: []hoist.Check{{Key: p.key, Version: p.version}},
		Puts:   []hoist.Put{{Key: p.key}},
	}
	// A row that cannot be deleted now is deleted by a later owner.
	_ = r.Table.Commit(ctx, txn)
}
