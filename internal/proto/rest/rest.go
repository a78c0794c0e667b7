// Package rest makes and serves HTTP calls with typed JSON messages. Workers,
// executors and the platform are called through it, so that size limits, error
// codes and the handling of lost replies are the same for all of them.
//
// # Usage
//
// A client makes a call with the type of the reply as a type parameter:
//
//	c := &rest.Client{BaseURL: "http://10.0.0.7:8080", HTTP: httpClient}
//	rows, err := rest.Call[wire.Rows](ctx, c, http.MethodPost, "/v1/read", keys)
//
// A server wraps a function that maps a request to a reply:
//
//	mux.Handle("POST /v1/read", rest.Handle(s.read))
//
// # Errors
//
// A domain error of the server is returned as the same domain error. A call that
// failed before any of it was sent returns hoist.ErrUnavailable. Any other
// failure returns hoist.ErrOutcomeUnknown, as the server may have processed the
// request. If no reply arrived, the idle connections of the HTTP client are also
// closed, so that the next call opens a new one: existing connections can be
// half-open while new ones work.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// MaxBodyBytes is the maximum size of a message that is read, in bytes. Larger values
// belong in the object store.
const MaxBodyBytes = 16 << 20

// Client makes calls to one server.
type Client struct {
	// BaseURL is the scheme, address and port, without a trailing slash.
	BaseURL string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Token is the bearer token that is sent with each call, unless it is empty.
	Token string
}

// Empty is the type of requests and replies without content.
type Empty struct{}

// errorBody is the body of an error reply.
type errorBody struct {
	Code    codec.Code `json:"code"`
	Message string     `json:"message"`
}

// Call sends in to the server and decodes its reply. The package comment
// describes the errors.
func Call[Out, In any](ctx context.Context, c *Client, method, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return out, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	req.Header.Set("content-type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return decodeReply[Out](resp)
}

// Do sends req. It returns hoist.ErrUnavailable if no connection was made, and
// hoist.ErrOutcomeUnknown if the request may have been sent.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	// Once the request has a connection it counts as sent, as the write may have
	// begun before the failure.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	if c.Token != "" {
		req.Header.Set("authorization", "Bearer "+c.Token)
	}
	resp, err := c.client().Do(req)
	if err == nil {
		return resp, nil
	}
	if sent.Load() {
		// The connection may be half-open, and so may the idle ones.
		c.client().CloseIdleConnections()
		return nil, hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	return nil, hoist.ConvertError(hoist.ErrUnavailable, err)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func decodeReply[Out any](resp *http.Response) (Out, error) {
	var out Out
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return out, hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	if resp.StatusCode != http.StatusOK {
		return out, ReplyError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	return out, nil
}

// ReplyError returns the error for a reply with the given status and body: the
// domain error that the body names; without one, hoist.ErrDenied if the status
// reports missing access, and hoist.ErrOutcomeUnknown otherwise.
func ReplyError(status int, body []byte) error {
	var reply errorBody
	if err := json.Unmarshal(body, &reply); err != nil || reply.Code == "" {
		if status == http.StatusUnauthorized || status == http.StatusForbidden {
			return merry.Wrap(hoist.ErrDenied, merry.AppendMessagef("HTTP status %d", status))
		}
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.AppendMessagef("HTTP status %d", status))
	}
	return codec.Error(reply.Code, reply.Message)
}

// Handle returns a handler that decodes the request body, calls fn and encodes
// its reply. A body that is too large or not a valid In is rejected with status
// 400; an error of fn is sent as by WriteError.
func Handle[In, Out any](fn func(context.Context, In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in In
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err == nil && len(body) > 0 {
			err = json.Unmarshal(body, &in)
		}
		if err != nil {
			WriteError(w, hoist.ConvertError(hoist.ErrInvalid, err))
			return
		}
		out, err := fn(r.Context(), in)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, out)
	})
}

// WriteJSON writes a reply with the given status and v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("content-type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the connection is broken; the error cannot be
	// reported to the caller then.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error reply with the code and message of err and the
// matching status.
func WriteError(w http.ResponseWriter, err error) {
	WriteJSON(w, errorStatus(err), errorBody{Code: codec.ErrorCode(err), Message: err.Error()})
}

func errorStatus(err error) int {
	statuses := []struct {
		err    error
		status int
	}{
		{hoist.ErrInvalid, http.StatusBadRequest},
		{hoist.ErrNotFound, http.StatusNotFound},
		{hoist.ErrConflict, http.StatusConflict},
		{hoist.ErrStaleTerm, http.StatusConflict},
		{hoist.ErrNotOwner, http.StatusConflict},
		{hoist.ErrNoSlot, http.StatusTooManyRequests},
		{hoist.ErrOverLimit, http.StatusTooManyRequests},
		{hoist.ErrNoCapacity, http.StatusConflict},
		{hoist.ErrLeaving, http.StatusServiceUnavailable},
		{hoist.ErrUnavailable, http.StatusServiceUnavailable},
	}
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusInternalServerError
}
