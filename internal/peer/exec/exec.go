// Package exec implements the HTTP client of executors. docs/contracts.md
// describes the API.
//
// # Usage
//
//	e := exec.New(url, id)
//	defer e.Close()
//	report, err := e.Adopt(ctx, term)
//	answer, err := e.Run(ctx, term, attempt)
//
// An attempt whose answer was lost is not sent again, as it may have run. The
// executor is asked for its outcome instead:
//
//	answer, err = e.ResolveOutcome(ctx, term, key, no)
//
// # Connections
//
// Attempts reuse connections. Calls of Adopt and ResolveOutcome open a new
// connection each, so that they succeed even if the established ones are
// half-open. Reports use one connection of their own. When an attempt or report
// fails, the idle connections of its kind are closed, as they may be half-open
// too.
package exec

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// The HTTP headers of the executor API.
const (
	HeaderTerm    = "hoist-term"
	HeaderKey     = "hoist-request-key"
	HeaderAttempt = "hoist-attempt"
	HeaderDigest  = "hoist-digest"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxConns bounds the connections for attempts, so that the current and the
	// previous owner together stay below the 60 that an executor accepts.
	maxConns = 24
)

// Client implements hoist.Executor. Its methods may be called concurrently.
type Client struct {
	// ID is the id of the executor. It is set in answers and named in errors.
	ID hoist.ExecutorID

	attempts *rest.Client
	// oneShot opens a new connection for each call, for calls that must not use
	// a half-open one.
	oneShot *rest.Client
	// reports reuses one connection. If that is half-open, one report fails and
	// the next one, which follows soon, opens a new connection.
	reports *rest.Client
}

var _ hoist.Executor = (*Client)(nil)

// New returns a client of the executor at url. It connects on the first call.
func New(url string, id hoist.ExecutorID) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	attempts := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns, IdleConnTimeout: idleTimeout,
	}
	oneShot := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	reports := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	return &Client{
		ID:       id,
		attempts: &rest.Client{BaseURL: url, HTTP: &http.Client{Transport: attempts}},
		oneShot:  &rest.Client{BaseURL: url, HTTP: &http.Client{Transport: oneShot}},
		reports:  &rest.Client{BaseURL: url, HTTP: &http.Client{Transport: reports}},
	}
}

// Close closes the idle connections. Calls in progress are not affected.
func (c *Client) Close() {
	c.attempts.HTTP.CloseIdleConnections()
	c.reports.HTTP.CloseIdleConnections()
}

// Adopt implements hoist.Executor.
func (c *Client) Adopt(ctx context.Context, term hoist.Term) (hoist.ExecutorReport, error) {
	in := wire.TermChange{Term: int(term)}
	out, err := rest.Call[wire.ExecutorReport](ctx, c.oneShot, http.MethodPut, "/v1/term", in)
	return codec.ToExecutorReport(out), c.wrap(err)
}

// Report implements hoist.Executor.
func (c *Client) Report(ctx context.Context) (hoist.ExecutorReport, error) {
	out, err := rest.Call[wire.ExecutorReport](ctx, c.reports, http.MethodGet, "/v1/report", rest.Empty{})
	return codec.ToExecutorReport(out), c.wrap(err)
}

// ResolveOutcome implements hoist.Executor.
func (c *Client) ResolveOutcome(ctx context.Context, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo) (hoist.Answer, error) {
	in := wire.Settle{Term: int(term), Key: string(key), Attempt: int(no)}
	out, err := rest.Call[wire.Answer](ctx, c.oneShot, http.MethodPost, "/v1/settle", in)
	if err != nil {
		return hoist.Answer{}, c.wrap(err)
	}
	answer, err := codec.ToAnswer(out)
	if err != nil {
		return hoist.Answer{}, c.wrap(hoist.ConvertError(hoist.ErrOutcomeUnknown, err))
	}
	answer.Executor = c.ID
	return answer, nil
}

// Run implements hoist.Executor. It checks the key, attempt number, length and
// digest that the executor states with its answer. For an answer that is truncated
// or belongs to another attempt it returns hoist.ErrOutcomeUnknown.
func (c *Client) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.attempts.BaseURL+"/v1/run", bytes.NewReader(a.Request.Body))
	if err != nil {
		return hoist.Answer{}, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	req.Header.Set(HeaderTerm, strconv.FormatUint(uint64(term), 10))
	req.Header.Set(HeaderKey, string(a.Request.Key))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(a.No), 10))
	resp, err := c.attempts.Do(req)
	if err != nil {
		return hoist.Answer{}, c.wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, rest.MaxBodyBytes))
	if err != nil {
		return hoist.Answer{}, c.wrap(hoist.ConvertError(hoist.ErrOutcomeUnknown, err))
	}
	if resp.StatusCode != http.StatusOK {
		return hoist.Answer{}, c.wrap(rest.ReplyError(resp.StatusCode, body))
	}
	if err := checkAnswer(resp.Header, a, body); err != nil {
		return hoist.Answer{}, c.wrap(err)
	}
	return hoist.Answer{
		Key:      a.Request.Key,
		Attempt:  a.No,
		Outcome:  hoist.Done,
		Executor: c.ID,
		Body:     body,
	}, nil
}

// checkAnswer returns hoist.ErrOutcomeUnknown unless the headers of an answer match
// the attempt and the body.
func checkAnswer(h http.Header, a hoist.Attempt, body []byte) error {
	checks := []struct{ name, got, want string }{
		{HeaderKey, h.Get(HeaderKey), string(a.Request.Key)},
		{HeaderAttempt, h.Get(HeaderAttempt), strconv.FormatUint(uint64(a.No), 10)},
		{HeaderDigest, h.Get(HeaderDigest), codec.Digest(hoist.DigestOf(body))},
	}
	for _, c := range checks {
		if c.got != c.want {
			return merry.Wrap(hoist.ErrOutcomeUnknown,
				merry.PrependMessagef("answer has header %s %q, expected %q", c.name, c.got, c.want))
		}
	}
	return nil
}

func (c *Client) wrap(err error) error {
	return merry.Prependf(err, "executor %s", c.ID)
}
