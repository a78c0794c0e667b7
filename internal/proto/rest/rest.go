// Package rest carries typed JSON messages over HTTP. Peers that speak HTTP
// (workers, executors, the platform) use it on both sides, so that size limits,
// error codes and the rules on lost answers are the same everywhere.
//
// # Usage
//
// A client calls a method with the type of the reply as a parameter:
//
//	c := &rest.Client{BaseURL: "http://10.0.0.7:8080", HTTP: httpClient}
//	rows, err := rest.Call[wire.Rows](ctx, c, http.MethodPost, "/v1/read", keys)
//
// A server wraps a function from request to reply:
//
//	mux.Handle("POST /v1/read", rest.Handle(s.read))
//
// # Errors
//
// A domain error of the server arrives as the same domain error. A call that
// failed before a byte of it was sent gives hoist.ErrUnavailable. Any other
// failure gives hoist.ErrOutcomeUnknown, as the server may have acted. The idle
// connections of the HTTP client are then closed, so that the next call makes a
// new one: connections can be half-open while new ones work.
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

// MaxBody is the largest message that is read, in bytes. Larger values belong
// in the object store.
const MaxBody = 16 << 20

// Client calls one server.
type Client struct {
	// BaseURL is the scheme, address and port, without a trailing slash.
	BaseURL string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Token is sent as bearer token unless it is empty.
	Token string
}

// Empty is a request or reply without content.
type Empty struct{}

// problem is the body of a reply with an error.
type problem struct {
	Code    codec.Code `json:"code"`
	Message string     `json:"message"`
}

// Call sends in to the server and decodes its reply. See the package comment
// for its errors.
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

// Do sends req. Its error is hoist.ErrUnavailable if no connection was made,
// and hoist.ErrOutcomeUnknown if the request may have been sent.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	// A connection counts as sent: the write may have begun when it fails.
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
		// The connection may be half-open, and the idle ones with it.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
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

// ReplyError returns the error that a reply with the given status and body
// stands for.
func ReplyError(status int, body []byte) error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" {
		if status == http.StatusUnauthorized || status == http.StatusForbidden {
			return merry.Wrap(hoist.ErrDenied, merry.AppendMessagef("HTTP status %d", status))
		}
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.AppendMessagef("HTTP status %d", status))
	}
	return codec.Error(p.Code, p.Message)
}

// Handle returns a handler that decodes the body, calls fn and encodes its
// reply. A body that is too large or not of type In is refused with status
// 400; errors of fn are sent as a code and a message.
func Handle[In, Out any](fn func(context.Context, In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in In
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
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

// WriteJSON sends v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("content-type", "application/json")
	w.WriteHeader(status)
	// The connection is gone if this fails; there is no one left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError sends err as a code and a message with the matching status.
func WriteError(w http.ResponseWriter, err error) {
	WriteJSON(w, statusOf(err), problem{Code: codec.ErrorCode(err), Message: err.Error()})
}

func statusOf(err error) int {
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
