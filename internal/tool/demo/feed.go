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

// Answer is an input line with its outcome.
type Answer struct {
	Line    Line
	Outcome hoist.Outcome
	Body    string
	// Reason is the body of the response, the text of an error, or
	// reasonNoAnswer.
	Reason string
	// Waited is the time until an executor started, as reported by the host.
	Waited time.Duration
	// Tries is the number of times that the caller sent the line.
	Tries int
}

// submitAll submits every line at its time, whether or not earlier ones are answered
// (an open loop), and waits for all answers.
func (r *Run) submitAll(ctx context.Context) []Answer {
	answers := make([]Answer, len(r.Input))
	var wg sync.WaitGroup
	start := time.Now()
	for i, line := range r.Input {
		wg.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(time.Duration(line.AtMS) * time.Millisecond))):
			}
			answers[i] = r.submitWithRetries(ctx, line, i)
		})
	}
	wg.Wait()
	return answers
}

// submitWithRetries sends a line as a caller behind a load balancer would. It retries
// at the next host, under the same key, while the line was not run or got no answer.
// As long as the line was not run in any try, each retry counts as a first try with
// a new issue time.
func (r *Run) submitWithRetries(ctx context.Context, line Line, i int) Answer {
	const maxTries = 60
	issued, isFirst := time.Now(), true
	var answer Answer
	for try := 1; try <= maxTries; try++ {
		if line.Type == LineJob {
			answer = r.submitJob(ctx, line, i+try)
		} else {
			answer = r.submitRequest(ctx, line, i+try, issued, isFirst)
		}
		answer.Tries = try
		if answer.Outcome == hoist.Done || (answer.Outcome == hoist.Unknown && answer.Reason != reasonNoAnswer) {
			return answer
		}
		if answer.Outcome == hoist.NotRun && isFirst {
			issued = time.Now()
		} else {
			isFirst = false
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(200 * time.Millisecond):
		}
	}
	return answer
}

// reasonNoAnswer is the Reason of a line without an answer.
const reasonNoAnswer = "no answer"

// submitNew submits a request once, as a first try that is issued now.
func (r *Run) submitNew(ctx context.Context, line Line, host int) Answer {
	return r.submitRequest(ctx, line, host, time.Now(), true)
}

// submitRequest submits a request once.
func (r *Run) submitRequest(ctx context.Context, line Line, host int, issued time.Time, isFirst bool) Answer {
	url := r.callerURLs[host%len(r.callerURLs)] + "/v1/requests/" + string(line.Service)
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
	answer := Answer{Line: line, Outcome: hoist.Unknown, Body: body, Reason: reasonNoAnswer}
	if errors.Is(err, hoist.ErrUnavailable) {
		// There was no connection, so the host cannot have run the request.
		answer.Outcome = hoist.NotRun
	}
	if err != nil {
		return answer
	}
	answer.Reason = body
	waited, _ := strconv.Atoi(header.Get(caller.HeaderWaited))
	answer.Waited = time.Duration(waited) * time.Microsecond
	switch status {
	case http.StatusOK:
		answer.Outcome = hoist.Done
	case http.StatusServiceUnavailable:
		answer.Outcome = hoist.NotRun
	}
	return answer
}

// submitJob submits a job once. Its outcome is hoist.Done when the host has accepted
// the job.
func (r *Run) submitJob(ctx context.Context, line Line, host int) Answer {
	answer := Answer{Line: line, Outcome: hoist.Unknown, Reason: reasonNoAnswer}
	in, err := json.Marshal(codec.JobSpec(line.spec(time.Now())))
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	status, _, body, err := r.post(ctx, r.callerURLs[host%len(r.callerURLs)]+"/v1/jobs", http.Header{}, in)
	if err == nil && status == http.StatusAccepted {
		answer.Outcome = hoist.Done
	} else if err == nil {
		answer.Outcome = hoist.NotRun
		answer.Reason = body
	}
	return answer
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
