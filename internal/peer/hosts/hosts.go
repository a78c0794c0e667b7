// Package hosts implements the HTTP client of the platform's list of live and
// leaving hosts. The list may be outdated: that a host is missing from it does not
// prove that the host has failed.
//
// # Usage
//
//	l := &hosts.Client{REST: &rest.Client{BaseURL: url, HTTP: httpClient}}
//	listed, err := l.List(ctx)
package hosts

import (
	"context"
	"net/http"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Client implements hoist.HostList. Its methods may be called concurrently.
type Client struct {
	REST *rest.Client
}

// List implements hoist.HostList. Every failure is hoist.ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]hoist.HostEntry, error) {
	out, err := rest.Call[wire.HostList](ctx, c.REST, http.MethodGet, "/v1/hosts", rest.Empty{})
	if err != nil {
		return nil, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host list")
	}
	return codec.Map(out.Hosts, codec.ToListed), nil
}
