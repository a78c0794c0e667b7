// Package worker implements the HTTP client of workers. docs/contracts.md
// describes the API.
//
// # Usage
//
//	w := &worker.Client{REST: &rest.Client{BaseURL: url, HTTP: httpClient}, ID: "w7"}
//	report, err := w.Adopt(ctx, term)
//	err = w.Start(ctx, grant)
package worker

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Client implements hoist.Worker. Its methods may be called concurrently.
type Client struct {
	REST *rest.Client
	// ID is the id of the worker, which errors name.
	ID hoist.WorkerID

	mu sync.Mutex
	// lastReport is the last full report in the reply to a renewal, and lastDigest
	// is its digest.
	lastReport hoist.WorkerReport
	lastDigest string
}

// Adopt implements hoist.Worker.
func (c *Client) Adopt(ctx context.Context, term hoist.Term) (hoist.WorkerReport, error) {
	in := wire.TermChange{Term: int(term)}
	out, err := rest.Call[wire.WorkerReport](ctx, c.REST, http.MethodPut, "/v1/term", in)
	return codec.ToWorkerReport(out), c.wrap(err)
}

// Start implements hoist.Worker.
func (c *Client) Start(ctx context.Context, g hoist.Grant) error {
	_, err := rest.Call[rest.Empty](ctx, c.REST, http.MethodPost, "/v1/tasks", codec.Grant(g))
	return c.wrap(err)
}

// Renew implements hoist.Worker. The worker sends its report only if it differs
// from the last one that this client received.
func (c *Client) Renew(ctx context.Context, term hoist.Term, lease time.Duration, acked []hoist.TaskAttempt) (hoist.WorkerReport, error) {
	in := wire.Renewal{Term: int(term), LeaseUs: int(lease.Microseconds()), Acked: codec.Map(acked, codec.TaskAttempt)}
	c.mu.Lock()
	known, digest := c.lastReport, c.lastDigest
	c.mu.Unlock()
	if digest != "" {
		in.Known = &digest
	}
	out, err := rest.Call[wire.Renewed](ctx, c.REST, http.MethodPost, "/v1/renew", in)
	if err != nil {
		return hoist.WorkerReport{}, c.wrap(err)
	}
	if out.Report == nil {
		return c.knownReport(known, digest, out.Digest)
	}
	report := codec.ToWorkerReport(*out.Report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReport, c.lastDigest = report, out.Digest
	return cloneReport(report), nil
}

// knownReport returns a copy of the last report for a reply without one. If the
// digest of the reply is not that of the last report, it returns
// hoist.ErrOutcomeUnknown.
func (c *Client) knownReport(known hoist.WorkerReport, digest, stated string) (hoist.WorkerReport, error) {
	if digest == "" || stated != digest {
		return hoist.WorkerReport{}, c.wrap(merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("reply without a report has digest %q, expected %q", stated, digest)))
	}
	return cloneReport(known), nil
}

// cloneReport copies the lists of r, so that the caller may modify them.
func cloneReport(r hoist.WorkerReport) hoist.WorkerReport {
	r.Running = slices.Clone(r.Running)
	r.Ended = slices.Clone(r.Ended)
	return r
}

// Stop implements hoist.Worker.
func (c *Client) Stop(ctx context.Context, term hoist.Term, a hoist.TaskAttempt, mode hoist.StopMode) error {
	in := wire.Stop{Term: int(term), Attempt: codec.TaskAttempt(a), Mode: string(mode)}
	_, err := rest.Call[rest.Empty](ctx, c.REST, http.MethodPost, "/v1/stop", in)
	return c.wrap(err)
}

func (c *Client) wrap(err error) error {
	return merry.Prependf(err, "worker %s", c.ID)
}
