package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/fake/pipes"
	"fuchsiahoist.example/hoist/internal/peer/caller"
)

// TestSlowBodyIsRefused guards against callers that keep connections and memory for as
// long as they like, and against a request that runs although it was refused.
func TestSlowBodyIsRefused(t *testing.T) {
	for _, path := range []string{"/v1/requests/s", "/v1/jobs", "/v1/none"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				requests := &outcomeByKey{}
				l := pipes.New()
				s := &caller.Server{Listener: l, Requests: requests, Access: access.NewOpenList()}
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error)
				go func() { ended <- s.Run(ctx) }()
				conn := l.Dial()
				go func() {
					const header = "POST %s HTTP/1.1\r\nHost: h\r\nhoist-customer: c\r\nhoist-class: quick\r\nhoist-request-key: done\r\nContent-Length: 1000\r\n\r\nbegin"
					_, _ = fmt.Fprintf(conn, header, path)
				}()
				began := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.True(resp.StatusCode >= 400)
				is.True(resp.Close)
				is.True(time.Since(began) <= 30*time.Second)
				is.Equal(len(requests.submitted), 0)
				_ = conn.Close()
				cancel()
				is.NoErr(<-ended)
			})
		})
	}
}
