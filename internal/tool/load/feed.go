package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/caller"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

const (
	// retryDelay is the delay before a caller without an answer tries again.
	retryDelay = 200 * time.Millisecond
	// maxTries bounds how often a caller submits one request.
	maxTries = 60
)

// reply is what a caller received for one request.
type reply struct {
	outcome hoist.Outcome
	body    string
	// isUnanswered is set if the caller received no complete answer from a host.
	isUnanswered bool
}

// body returns the body of a request. It differs for every request, so that the
// answer of another request is recognised.
func body(a Arrival) string {
	return "body of " + string(a.Key)
}

// submitAll submits every arrival at its time without waiting for earlier ones (open
// loop), and then waits for all answers.
func (c *Cell) submitAll(ctx context.Context) []reply {
	replies := make([]reply, len(c.In.Arrivals))
	loadStart := time.Now()
	c.loadStart.Store(&loadStart)
	if c.In.KillHost {
		timer := time.AfterFunc(c.In.Length/2, c.daemons[1].Kill)
		defer timer.Stop()
	}
	var wg sync.WaitGroup
	for i, a := range c.In.Arrivals {
		time.Sleep(time.Until(loadStart.Add(a.At)))
		wg.Go(func() { replies[i] = c.submitWithRetries(ctx, a, i) })
	}
	wg.Wait()
	return replies
}

// submitWithRetries submits a request as a caller behind a balancer does: without a
// connection or without an answer it tries the next host with the same key. A refusal
// is final.
func (c *Cell) submitWithRetries(ctx context.Context, a Arrival, i int) reply {
	issued, isFirst := time.Now(), true
	var last reply
	for try := range maxTries {
		last = c.submit(ctx, a, i+try, issued, isFirst)
		if !last.isUnanswered {
			return last
		}
		if last.outcome == hoist.Unknown {
			isFirst = false
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryDelay):
		}
	}
	return last
}

// submit sends a request to one host once.
func (c *Cell) submit(ctx context.Context, a Arrival, host int, issued time.Time, isFirst bool) reply {
	url := c.addrs[host%len(c.addrs)] + "/v1/requests/" + string(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body(a)))
	if err != nil {
		return reply{outcome: hoist.NotRun, isUnanswered: true}
	}
	req.Header.Set(caller.HeaderKey, string(a.Key))
	req.Header.Set(caller.HeaderCustomer, string(a.Customer))
	req.Header.Set(caller.HeaderClass, string(a.Class))
	req.Header.Set(caller.HeaderFirstTry, strconv.FormatBool(isFirst))
	req.Header.Set(caller.HeaderIssuedAt, issued.Format(time.RFC3339Nano))
	req.Header.Set(caller.HeaderTimeout, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	resp, err := (&rest.Client{HTTP: c.client}).Do(req)
	if errors.Is(err, hoist.ErrUnavailable) {
		return reply{outcome: hoist.NotRun, isUnanswered: true}
	}
	if err != nil {
		return reply{outcome: hoist.Unknown, isUnanswered: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{outcome: hoist.Unknown, isUnanswered: true}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return reply{outcome: hoist.Done, body: string(text)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return reply{outcome: hoist.NotRun}
	default:
		return reply{outcome: hoist.Unknown}
	}
}
