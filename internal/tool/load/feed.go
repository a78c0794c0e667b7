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
	// askEvery is the pause before a caller without an answer asks again.
	askEvery = 200 * time.Millisecond
	// maxAsks bounds how often a caller asks for one request.
	maxAsks = 60
)

// answered is what a caller heard for one request.
type answered struct {
	outcome hoist.Outcome
	body    string
	// isLost tells that no host gave any answer.
	isLost bool
}

// body is what a caller sends; it differs for every request, so that crossed
// answers show.
func body(a Arrival) string {
	return "body of " + string(a.Key)
}

// feed submits every arrival at its time, open loop, and waits for all answers.
func (c *Cell) feed(ctx context.Context) []answered {
	answers := make([]answered, len(c.In.Arrivals))
	begun := time.Now()
	c.begun.Store(&begun)
	if c.In.KillHost {
		timer := time.AfterFunc(c.In.Length/2, c.daemons[1].Kill)
		defer timer.Stop()
	}
	var wg sync.WaitGroup
	for i, a := range c.In.Arrivals {
		time.Sleep(time.Until(begun.Add(a.At)))
		wg.Go(func() { answers[i] = c.persist(ctx, a, i) })
	}
	wg.Wait()
	return answers
}

// persist sends a request as a caller behind a balancer does: without a
// connection it goes to the next host, without an answer it asks for the same
// key again. A refusal is final.
func (c *Cell) persist(ctx context.Context, a Arrival, i int) answered {
	issued, isFirst := time.Now(), true
	var got answered
	for ask := range maxAsks {
		got = c.submit(ctx, a, i+ask, issued, isFirst)
		if !got.isLost {
			return got
		}
		if got.outcome == hoist.Unknown {
			isFirst = false
		}
		select {
		case <-ctx.Done():
			return got
		case <-time.After(askEvery):
		}
	}
	return got
}

// submit sends a request to a host once.
func (c *Cell) submit(ctx context.Context, a Arrival, host int, issued time.Time, isFirst bool) answered {
	url := c.addrs[host%len(c.addrs)] + "/v1/requests/" + string(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body(a)))
	if err != nil {
		return answered{outcome: hoist.NotRun, isLost: true}
	}
	req.Header.Set(caller.HeaderKey, string(a.Key))
	req.Header.Set(caller.HeaderCustomer, string(a.Customer))
	req.Header.Set(caller.HeaderClass, string(a.Class))
	req.Header.Set(caller.HeaderFirstTry, strconv.FormatBool(isFirst))
	req.Header.Set(caller.HeaderIssuedAt, issued.Format(time.RFC3339Nano))
	req.Header.Set(caller.HeaderTimeout, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	resp, err := (&rest.Client{HTTP: c.client}).Do(req)
	if errors.Is(err, hoist.ErrUnavailable) {
		return answered{outcome: hoist.NotRun, isLost: true}
	}
	if err != nil {
		return answered{outcome: hoist.Unknown, isLost: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answered{outcome: hoist.Unknown, isLost: true}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return answered{outcome: hoist.Done, body: string(text)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return answered{outcome: hoist.NotRun}
	default:
		return answered{outcome: hoist.Unknown}
	}
}
