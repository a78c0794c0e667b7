package route

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

const (
	// maxRowBody is the largest answer body that is stored in its row; larger ones
	// go to the object store.
	maxRowBody = 64 << 10
	// recoverEvery is the interval of scanning for accepted requests of shards that
	// this host has acquired, and for started requests whose host is gone.
	recoverEvery = 2 * time.Second
	// rescanEvery is the interval of scanning a shard again, for requests that an
	// earlier owner accepted while it lost the shard and for old rows to delete.
	rescanEvery = 30 * time.Second
	// maxAccepted limits the accepted requests that a host holds in memory, each
	// with a body of up to 64 KiB.
	maxAccepted = 4000
	// writeRetryDelay is the delay before an answer is written again. It doubles up
	// to maxWriteRetryDelay.
	writeRetryDelay    = 5 * time.Millisecond
	maxWriteRetryDelay = 500 * time.Millisecond
	// rowRetention is how long the row of an ended request is kept for polling.
	rowRetention = 24 * time.Hour
)

// rowState is the state of a request whose caller polls for the answer.
type rowState string

const (
	rowAccepted  rowState = "accepted"
	rowStarted   rowState = "started"
	rowEnded     rowState = "ended"
	rowCancelled rowState = "cancelled"
)

// errCancelled reports a request that its caller cancelled before it started.
var errCancelled = merry.Sentinel("cancelled by the caller")

// patientRow is the table row of one request. Its state moves from accepted to
// started or cancelled and from started to ended. Each write checks the version of
// the row, so that the table decides between a start and a cancellation.
type patientRow struct {
	key     hoist.RowKey
	version hoist.RowVersion
	content wire.PatientRow
}

func patientPrefix(shard hoist.ShardID) hoist.RowKey {
	return hoist.RowKey(fmt.Sprintf("patient/%03d/", shard))
}

func patientKey(key hoist.RequestKey) hoist.RowKey {
	shard := hoist.ShardOf(hoist.KindRequest, string(key))
	return patientPrefix(shard) + hoist.RowKey(url.PathEscape(string(key)))
}

func (p *patientRow) state() rowState { return rowState(p.content.State) }

func (r *Router) readRow(ctx context.Context, key hoist.RequestKey) (*patientRow, error) {
	if r.Table == nil || r.Store == nil {
		return nil, merry.Prepend(hoist.ErrUnavailable, "this host has no storage for requests to poll for")
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	rows, err := r.Table.Read(ctx, patientKey(key))
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("request %q", key))
	}
	return decodeRow(rows[0])
}

func decodeRow(row hoist.Row) (*patientRow, error) {
	content, err := codec.DecodeTableRow[wire.PatientRow](row)
	return &patientRow{row.Key, row.Version, content}, err
}

// accept records a request whose caller polls for the answer, and starts it. If the
// request is already recorded, it is accepted again without effect.
func (r *Router) accept(ctx context.Context, req hoist.Request, shard hoist.ShardID, term hoist.Term) (hoist.Answer, error) {
	accepted := hoist.Answer{Key: req.Key, Outcome: hoist.Accepted}
	if r.Table == nil || r.Store == nil {
		return notAcceptedAnswer(req, "this host has no storage for requests to poll for"), nil
	}
	if r.acceptedCalls() >= maxAccepted {
		return notAcceptedAnswer(req, "too many accepted requests at this host"), nil
	}
	p := &patientRow{key: patientKey(req.Key), content: wire.PatientRow{
		Request: codec.Request(req), Content: codec.Digest(req.Content()), State: string(rowAccepted),
	}}
	err := r.record(ctx, p)
	switch {
	case errors.Is(err, hoist.ErrConflict):
		known, err := r.readRow(ctx, req.Key)
		if err != nil {
			return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
		}
		if known.content.Content != codec.Digest(req.Content()) {
			return hoist.Answer{}, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("key %q belongs to another request", req.Key))
		}
		return accepted, nil
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		return hoist.Answer{}, err
	case err != nil:
		return notAcceptedAnswer(req, "not accepted: "+err.Error()), nil
	}
	r.resume(p, shard, term)
	return accepted, nil
}

func (r *Router) acceptedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.numAccepted
}

// resume starts a recorded request that has not started. If the shard has moved
// meanwhile, its new owner finds the row.
func (r *Router) resume(p *patientRow, shard hoist.ShardID, term hoist.Term) {
	req := codec.ToRequest(p.content.Request)
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.keys[shard]
	if !ok || r.terms[shard] != term || r.calls[req.Key] != nil || r.numAccepted >= maxAccepted {
		return
	}
	if t.Adopt(req) != dedup.Run {
		// The key is in use by a request whose caller waits for the answer.
		go r.recordEnd(&call{request: req, row: p}, failureAnswer(req.Key, hoist.Unknown, "the key was used by another request"))
		return
	}
	r.numAccepted++
	r.startCall(req, shard, term, p)
}

// runRecordedAttempt runs an attempt. If the caller polls for the answer, the start
// is recorded first: from then on a new owner of the key knows that the request may
// have run, and it can no longer be cancelled.
func (r *Router) runRecordedAttempt(ctx context.Context, c *call, s slot, no hoist.AttemptNo) (hoist.Answer, error) {
	if c.row != nil && c.row.state() == rowAccepted {
		if err := r.recordStart(ctx, c); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.returnSlot(c, s)
			return hoist.Answer{}, err
		}
	}
	return r.runAttempt(ctx, c, s, no)
}

// recordStart records the start of a request. After any error this host does not run
// the request; hoist.ErrOutcomeUnknown means that another host may have run it.
func (r *Router) recordStart(ctx context.Context, c *call) error {
	next := *c.row
	next.content.State = string(rowStarted)
	next.content.StartedBy = &r.instance
	err := r.record(ctx, &next)
	if errors.Is(err, hoist.ErrConflict) || errors.Is(err, hoist.ErrOutcomeUnknown) {
		read, readErr := r.readRow(ctx, c.request.Key)
		switch {
		case readErr != nil:
			return hoist.ConvertError(hoist.ErrUnavailable, readErr)
		case read.state() == rowCancelled:
			return errCancelled
		case read.state() == rowStarted && read.startedBy() == r.instance:
			c.row = read
			return nil
		}
		// Another host started or ended it.
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("request %q is recorded as %s", c.request.Key, read.state()))
	}
	if err == nil {
		c.row = &next
	}
	return err
}

func (p *patientRow) startedBy() string {
	if p.content.StartedBy == nil {
		return ""
	}
	return *p.content.StartedBy
}

// recordEnd writes the answer until it is in the table, another writer has ended the
// request, or the host is stopping. Large answers go to the object store first.
func (r *Router) recordEnd(c *call, answer hoist.Answer) {
	if c.row.state() == rowCancelled {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rowRetention)
	defer cancel()
	for wait := writeRetryDelay; ; wait = min(2*wait, maxWriteRetryDelay) {
		err := r.tryRecordEnd(ctx, c, answer)
		if err == nil || errors.Is(err, hoist.ErrConflict) || errors.Is(err, errStopped) {
			return
		}
		events.RequestRecordFailed.Log(ctx, r.Log, "key", c.request.Key, "error", err)
		if !sleep(ctx, wait) {
			return
		}
	}
}

func (r *Router) tryRecordEnd(ctx context.Context, c *call, answer hoist.Answer) error {
	next := *c.row
	if len(answer.Body) > maxRowBody {
		name := strings.ReplaceAll(string(c.row.key), "/", "-")
		if err := r.Store.Put(ctx, name, answer.Body); err != nil {
			return err
		}
		next.content.Object = &name
		answer.Body = nil
	}
	body := codec.Answer(answer)
	ended := r.Clock.Now()
	next.content.State, next.content.Answer, next.content.EndedAt = string(rowEnded), &body, &ended
	next.content.Request.Body = nil
	return r.record(ctx, &next)
}

// Poll returns the answer to a request that was accepted for polling. Its outcome is
// Accepted until the request has ended. Poll returns hoist.ErrNotFound for a request
// that does not exist or belongs to another customer.
func (r *Router) Poll(ctx context.Context, customer hoist.CustomerID, key hoist.RequestKey) (hoist.Answer, error) {
	p, err := r.readCustomerRow(ctx, customer, key)
	if err != nil {
		return hoist.Answer{}, err
	}
	switch {
	case p.state() == rowCancelled:
		return hoist.Answer{Key: key, Outcome: hoist.NotRun, Reason: errCancelled.Error()}, nil
	case p.state() != rowEnded || p.content.Answer == nil:
		return hoist.Answer{Key: key, Outcome: hoist.Accepted}, nil
	}
	answer, err := codec.ToAnswer(*p.content.Answer)
	if err != nil || p.content.Object == nil {
		return answer, err
	}
	answer.Body, err = r.Store.Get(ctx, *p.content.Object)
	return answer, err
}

// readCustomerRow reads the row of a request. It returns hoist.ErrNotFound if the
// request belongs to another customer.
func (r *Router) readCustomerRow(ctx context.Context, customer hoist.CustomerID, key hoist.RequestKey) (*patientRow, error) {
	r.init()
	p, err := r.readRow(ctx, key)
	if err == nil && p.content.Request.Customer != string(customer) {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("request %q", key))
	}
	return p, err
}

// Cancel cancels a request that was accepted for polling. When it returns nil, the
// request has not started and will not start. It returns hoist.ErrConflict if the
// request has started or ended.
func (r *Router) Cancel(ctx context.Context, customer hoist.CustomerID, key hoist.RequestKey) error {
	const tries = 3
	for range tries {
		p, err := r.readCustomerRow(ctx, customer, key)
		if err != nil || p.state() == rowCancelled {
			return err
		}
		if p.state() != rowAccepted {
			return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("request %q has already %s", key, p.state()))
		}
		ended := r.Clock.Now()
		p.content.State, p.content.EndedAt = string(rowCancelled), &ended
		if err := r.record(ctx, p); !errors.Is(err, hoist.ErrConflict) && !errors.Is(err, hoist.ErrOutcomeUnknown) {
			return err
		}
	}
	return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("request %q", key))
}
