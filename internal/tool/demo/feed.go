package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/caller"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// Answered is an input line with what came of it.
type Answered struct {
	Line    Line
	Outcome hoist.Outcome
	Body    string
	Reason  string
	// Waited is the time until an executor started, as the host reports it.
	Waited time.Duration
	// Tries is how often the caller sent the line.
	Tries int
}

// feed submits every line at its time, open loop, and waits for all answers.
func (r *Run) feed(ctx context.Context) []Answered {
	answers := make([]Answered, len(r.Input))
	var wg sync.WaitGroup
	start := time.Now()
	for i, line := range r.Input {
		wg.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(time.Duration(line.AtMS) * time.Millisecond))):
			}
			answers[i] = r.persist(ctx, line, i)
		})
	}
	wg.Wait()
	return answers
}

// persist sends a line as a caller behind a balancer would: a line that was
// certainly not run goes to the next host, one without any answer is asked for
// again under the same key.
func (r *Run) persist(ctx context.Context, line Line, i int) Answered {
	const maxTries = 60
	issued, isFirst := time.Now(), true
	var answered Answered
	for try := 1; try <= maxTries; try++ {
		if line.Type == LineJob {
			answered = r.submitJob(ctx, line, i+try)
		} else {
			answered = r.submitIssued(ctx, line, i+try, issued, isFirst)
		}
		answered.Tries = try
		if answered.Outcome == hoist.Done || (answered.Outcome == hoist.Unknown && answered.Reason != noAnswer) {
			return answered
		}
		if answered.Outcome == hoist.NotRun && isFirst {
			issued = time.Now()
		} else {
			isFirst = false
		}
		select {
		case <-ctx.Done():
			return answered
		case <-time.After(200 * time.Millisecond):
		}
	}
	return answered
}

// noAnswer is the reason of an answer that never came.
const noAnswer = "no answer"

func (r *Run) submit(ctx context.Context, line Line, host int) Answered {
	return r.submitIssued(ctx, line, host, time.Now(), true)
}

func (r *Run) submitIssued(ctx context.Context, line Line, host int, issued time.Time, isFirst bool) Answered {
	url := r.addrs[host%len(r.addrs)] + "/v1/requests/" + string(line.Service)
	h := http.Header{}
	h.Set(caller.HeaderKey, string(line.Key))
	h.Set(caller.HeaderCustomer, string(line.Customer))
	h.Set(caller.HeaderClass, string(line.Class))
	h.Set(caller.HeaderIdempotent, strconv.FormatBool(line.Idempotent))
	h.Set(caller.HeaderFirstTry, strconv.FormatBool(isFirst))
	h.Set(caller.HeaderIssuedAt, issued.Format(time.RFC3339Nano))
	if line.TimeoutMS > 0 {
		h.Set(caller.HeaderTimeout, strconv.Itoa(line.TimeoutMS))
	}
	status, header, body, err := r.post(ctx, url, h, []byte(line.Body))
	answered := Answered{Line: line, Outcome: hoist.Unknown, Body: body, Reason: noAnswer}
	if errors.Is(err, hoist.ErrUnavailable) {
		// No connection was made, so the host cannot have run it.
		answered.Outcome = hoist.NotRun
	}
	if err != nil {
		return answered
	}
	answered.Reason = body
	waited, _ := strconv.Atoi(header.Get(caller.HeaderWaited))
	answered.Waited = time.Duration(waited) * time.Microsecond
	switch status {
	case http.StatusOK:
		answered.Outcome = hoist.Done
	case http.StatusServiceUnavailable:
		answered.Outcome = hoist.NotRun
	}
	return answered
}

func (r *Run) submitJob(ctx context.Context, line Line, host int) Answered {
	answered := Answered{Line: line, Outcome: hoist.Unknown, Reason: noAnswer}
	in, err := json.Marshal(codec.JobSpec(line.spec(time.Now())))
	if err != nil {
		answered.Reason = err.Error()
		return answered
	}
	status, _, body, err := r.post(ctx, r.addrs[host%len(r.addrs)]+"/v1/jobs", http.Header{}, in)
	if err == nil && status == http.StatusAccepted {
		answered.Outcome = hoist.Done
	} else if err == nil {
		answered.Outcome = hoist.NotRun
		answered.Reason = body
	}
	return answered
}

func (r *Run) post(ctx context.Context, url string, h http.Header, body []byte) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	req.Header = h
	resp, err := (&rest.Client{HTTP: r.client}).Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, "", fmt.Errorf("reading the answer of %s: %w", url, err)
	}
	return resp.StatusCode, resp.Header, string(text), nil
}
