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
	// recordTimeout limits one call to the table.
	recordTimeout = time.Second
	// batchDelay is how long a batch waits for more rows, so that the several
	// hundred writes per second that the table allows carry thousands of rows.
	batchDelay = 10 * time.Millisecond
	// maxRowsPerTxn limits the rows of one transaction.
	maxRowsPerTxn = 64
)

// pendingWrite is a row that is to be written to the table.
type pendingWrite struct {
	row    *patientRow
	result chan error
}

// errStopped reports a row that was not written because the host is stopping.
var errStopped = merry.Prepend(hoist.ErrUnavailable, "the host is stopping")

// record writes a row if the table still has the version that was read, and
// increments its version. Concurrent writes share a transaction.
func (r *Router) record(ctx context.Context, p *patientRow) error {
	rec := &pendingWrite{p, make(chan error, 1)}
	select {
	case r.writes <- rec:
	case <-ctx.Done():
		return hoist.ConvertError(hoist.ErrUnavailable, ctx.Err())
	case <-r.writesStopped:
		return errStopped
	}
	if err := <-rec.result; err != nil {
		return err
	}
	p.version++
	return nil
}

// recordLoop writes rows in batches until ctx ends. Later writes are refused.
func (r *Router) recordLoop(ctx context.Context) {
	defer close(r.writesStopped)
	var next *pendingWrite
	for n := 0; ; n++ {
		if next == nil {
			select {
			case next = <-r.writes:
			case <-ctx.Done():
				return
			}
		}
		var batch []*pendingWrite
		batch, next = r.collectBatch(ctx, next)
		err := r.commitRows(ctx, n, batch)
		if errors.Is(err, hoist.ErrConflict) && len(batch) > 1 {
			// A changed row fails the whole batch, so each row is written on its own.
			for i, rec := range batch {
				n++
				rec.result <- r.commitRows(ctx, n, batch[i:i+1])
			}
			continue
		}
		for _, rec := range batch {
			rec.result <- err
		}
	}
}

// collectBatch waits up to batchDelay for more rows. A second write to a row of the
// batch would pass the same version check, so it is returned as the first row of the
// next batch.
func (r *Router) collectBatch(ctx context.Context, first *pendingWrite) (batch []*pendingWrite, next *pendingWrite) {
	batch = []*pendingWrite{first}
	keys := map[hoist.RowKey]bool{first.row.key: true}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxRowsPerTxn {
		select {
		case rec := <-r.writes:
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

func (r *Router) commitRows(ctx context.Context, n int, batch []*pendingWrite) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	txn := hoist.Txn{ID: hoist.TxnID(fmt.Sprintf("patient/%s/%d", r.instance, n))}
	for _, rec := range batch {
		txn.Checks = append(txn.Checks, hoist.Check{Key: rec.row.key, Version: rec.row.version})
		txn.Puts = append(txn.Puts, hoist.Put{Key: rec.row.key, Value: codec.EncodeTableRow(rec.row.content)})
	}
	return table.CommitResolved(ctx, r.Table, txn)
}

// recoverLoop resumes the accepted requests of shards that this host has acquired,
// and ends the started requests whose host is gone.
func (r *Router) recoverLoop(ctx context.Context) {
	type shardScan struct {
		term hoist.Term
		next time.Time
	}
	scans := make(map[hoist.ShardID]shardScan)
	for sleep(ctx, recoverEvery) {
		r.mu.Lock()
		terms := make(map[hoist.ShardID]hoist.Term, len(r.terms))
		for shard, term := range r.terms {
			terms[shard] = term
		}
		r.mu.Unlock()
		for shard, term := range terms {
			now := r.Clock.Now()
			if v := scans[shard]; v.term == term && now.Before(v.next) {
				continue
			}
			if r.recoverShard(ctx, shard, term) {
				scans[shard] = shardScan{term, now.Add(rescanEvery)}
			}
		}
	}
}

// recoverShard reads the recorded requests of one shard. It returns true if they
// were read and no request is left that another host may still end.
func (r *Router) recoverShard(ctx context.Context, shard hoist.ShardID, term hoist.Term) bool {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	rows, err := r.Table.Scan(callCtx, patientPrefix(shard))
	cancel()
	if err != nil {
		return false
	}
	isComplete := true
	for _, row := range rows {
		p, err := decodeRow(row)
		if err != nil {
			events.RequestRecordFailed.Log(ctx, r.Log, "row", row.Key, "error", err)
			continue
		}
		switch p.state() {
		case rowAccepted:
			r.resume(p, shard, term)
		case rowStarted:
			isComplete = r.recoverStarted(p) && isComplete
		default:
			r.deleteExpired(ctx, p)
		}
	}
	return isComplete
}

// recoverStarted ends a started request whose host is gone as outcome unknown. It
// returns false while that host may still end the request.
func (r *Router) recoverStarted(p *patientRow) bool {
	req := codec.ToRequest(p.content.Request)
	host, _, _ := strings.Cut(p.startedBy(), "/")
	_, isPeer := r.Ownership.Peer(hoist.HostID(host))
	isPastGrace := r.Clock.Now().After(req.Deadline.Add(2 * resolveGrace))
	if (p.startedBy() == r.instance || isPeer) && !isPastGrace {
		return false
	}
	r.recordEnd(&call{request: req, row: p}, failureAnswer(req.Key, hoist.Unknown, "the host that ran the request is gone"))
	return true
}

// deleteExpired deletes the row of a request that ended more than rowRetention ago.
func (r *Router) deleteExpired(ctx context.Context, p *patientRow) {
	if p.content.EndedAt == nil || r.Clock.Now().Sub(*p.content.EndedAt) < rowRetention {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	txn := hoist.Txn{
		ID:     hoist.TxnID(fmt.Sprintf("expire/%s/%s", r.instance, p.key)),
		Checks: []hoist.Check{{Key: p.key, Version: p.version}},
		Puts:   []hoist.Put{{Key: p.key}},
	}
	// A row that cannot be deleted now is deleted after a later scan.
	_ = r.Table.Commit(ctx, txn)
}
