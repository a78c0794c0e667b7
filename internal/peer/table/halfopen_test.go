package table_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/relay"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// TestHalfOpenConnectionToTable guards against a lease that expires because one call
// after another uses a half-open connection: after the first failure, the next call
// must open a new one.
func TestHalfOpenConnectionToTable(t *testing.T) {
	for name, fault := range map[string]relay.Fault{"discarding": relay.Discard, "stalled": relay.Stall} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &plat.Platform{}
			url, err := p.Start()
			is.NoErr(err)
			defer p.Close()
			r := &relay.Relay{Target: strings.TrimPrefix(url, "http://")}
			addr, err := r.Start()
			is.NoErr(err)
			defer r.Close()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			c := &table.Client{REST: &rest.Client{BaseURL: "http://" + addr, HTTP: client}}
			p.SetTableFault(plat.Fault{Delay: 50 * time.Millisecond})
			reads := make(chan error, 4)
			for range cap(reads) {
				go func() { reads <- read(c, 10*time.Second) }()
			}
			for range cap(reads) {
				is.NoErr(<-reads)
			}
			is.True(r.MakeHalfOpen(fault) > 1) // several idle connections
			is.True(read(c, 300*time.Millisecond) != nil)
			is.NoErr(read(c, 10*time.Second))
		})
	}
}

func read(c *table.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.Read(ctx, hoist.RowKey("config/current"))
	return err
}
