// Package object implements the HTTP client of the platform's object store.
//
// # Usage
//
//	s := &object.Client{REST: &rest.Client{BaseURL: url, HTTP: httpClient}}
//	err := s.Put(ctx, "answers/audit-17", body)
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// Client implements hoist.ObjectStore. Its methods may be called concurrently.
type Client struct {
	REST *rest.Client
}

// Put implements hoist.ObjectStore. Writes of an object are idempotent, so a lost
// answer needs no error of its own: every failure is hoist.ErrUnavailable.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, name, body)
	return err
}

// Get implements hoist.ObjectStore. It returns hoist.ErrNotFound if the object does
// not exist, and hoist.ErrUnavailable for other failures.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, name, nil)
}

func (c *Client) do(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	target := c.REST.BaseURL + "/v1/objects/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	resp, err := c.REST.Do(req)
	if err != nil {
		return nil, unavailable(name, err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, rest.MaxBodyBytes))
	if err != nil {
		return nil, unavailable(name, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("object %q", name))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, unavailable(name, rest.ReplyError(resp.StatusCode, reply))
	}
	return reply, nil
}

func unavailable(name string, cause error) error {
	return hoist.ConvertErrorf(hoist.ErrUnavailable, cause, "object %q", name)
}
