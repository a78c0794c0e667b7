package caller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/peer/caller"
)

// outcomeByKey is a fake hoist.RequestService. The key of a request is also the
// outcome of its answer; "conflict" and "not-found" are errors of Poll and Cancel.
type outcomeByKey struct{ submitted []hoist.Request }

func (r *outcomeByKey) Submit(_ context.Context, req hoist.Request) (hoist.Answer, error) {
	r.submitted = append(r.submitted, req)
	return hoist.Answer{Key: req.Key, Outcome: hoist.Outcome(req.Key), Body: req.Body}, nil
}

func (r *outcomeByKey) Poll(_ context.Context, _ hoist.CustomerID, key hoist.RequestKey) (hoist.Answer, error) {
	return hoist.Answer{Key: key, Outcome: hoist.Outcome(key)}, r.Cancel(context.Background(), "", key)
}

func (r *outcomeByKey) Cancel(_ context.Context, _ hoist.CustomerID, key hoist.RequestKey) error {
	switch key {
	case "conflict":
		return merry.Prepend(hoist.ErrConflict, "started")
	case "not-found":
		return merry.Prepend(hoist.ErrNotFound, "none")
	}
	return nil
}

// TestResponseStatus guards against outcomes and errors with the wrong HTTP status,
// which callers could not tell apart.
func TestResponseStatus(t *testing.T) {
	const headers = "hoist-customer: c\nhoist-class: quick\nhoist-request-key: "
	for _, c := range []struct {
		method, path, headers, body string
		want                        int
	}{
		{"POST", "/v1/requests/s", headers + "done", "b", 200},
		{"POST", "/v1/requests/s", headers + "not-run", "b", 503},
		{"POST", "/v1/requests/s", headers + "outcome-unknown", "b", 504},
		{"POST", "/v1/requests/s", headers + "accepted\nhoist-wait: no", "b", 202},
		{"POST", "/v1/requests/s", headers + "accepted\nhoist-wait: no", strings.Repeat("b", 64<<10+1), 400},
		{"POST", "/v1/requests/s", headers + "accepted\nhoist-wait: later", "b", 400},
		{"POST", "/v1/requests/s", headers + "done", strings.Repeat("b", 1<<20+1), 400},
		{"POST", "/v1/requests/s", headers + strings.Repeat("k", 201), "b", 400},
		{"POST", "/v1/requests/s", "hoist-class: quick\nhoist-request-key: k", "b", 400},
		{"GET", "/v1/requests/accepted", "hoist-customer: c", "", 202},
		{"GET", "/v1/requests/done", "hoist-customer: c", "", 200},
		{"GET", "/v1/requests/not-found", "hoist-customer: c", "", 404},
		{"GET", "/v1/requests/done", "", "", 400},
		{"DELETE", "/v1/requests/done", "hoist-customer: c", "", 204},
		{"DELETE", "/v1/requests/conflict", "hoist-customer: c", "", 409},
	} {
		t.Run(fmt.Sprintf("%s %s %.40q", c.method, c.path, c.headers), func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for _, line := range strings.Split(c.headers, "\n") {
				if name, value, ok := strings.Cut(line, ": "); ok {
					r.Header.Set(name, value)
				}
			}
			w := httptest.NewRecorder()
			(&caller.Server{Requests: &outcomeByKey{}, Access: access.NewOpenList()}).Handler().ServeHTTP(w, r)
			is.New(t).Equal(w.Code, c.want)
		})
	}
}

// TestTruncatedRequestDoesNotRun guards against a request that runs with part of its
// body after the connection was closed in the middle of it.
func TestTruncatedRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	seen := &outcomeByKey{}
	server := httptest.NewServer((&caller.Server{Requests: seen, Access: access.NewOpenList()}).Handler())
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	_, err = conn.Write([]byte("POST /v1/requests/s HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n" +
		"hoist-request-key: k\r\nhoist-customer: c\r\nhoist-class: quick\r\n\r\nhalf"))
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	reply := make([]byte, 32)
	n, _ := conn.Read(reply)
	is.True(strings.Contains(string(reply[:n]), fmt.Sprint(http.StatusBadRequest)))
	is.NoErr(conn.Close())
	server.Close()
	is.Equal(len(seen.submitted), 0)
}
