package caller_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/peer/caller"
)

type acceptingRequests struct{ hoist.RequestService }

func (acceptingRequests) Submit(_ context.Context, r hoist.Request) (hoist.Answer, error) {
	return hoist.Answer{Key: r.Key, Outcome: hoist.Done}, nil
}

type acceptingJobs struct{ hoist.JobService }

func (acceptingJobs) Submit(context.Context, hoist.JobSpec) error { return nil }

func (acceptingJobs) Cancel(context.Context, hoist.JobRef) error { return nil }

// TestCallerPermissions guards against calls without a valid token, and against
// callers that act for a customer or team that is not theirs.
func TestCallerPermissions(t *testing.T) {
	const secret = "0123456789abcdef"
	s := &caller.Server{
		Requests: acceptingRequests{}, Jobs: acceptingJobs{}, IsReady: func() bool { return true },
		Access: access.NewList([]access.Entry{
			{Name: "packer", Token: secret + "1", Role: access.RoleCaller, Customer: "sauce"},
			{Name: "buyer", Token: secret + "2", Role: access.RoleTeam, Team: "buyers"},
			{Name: "desk", Token: secret + "3", Role: access.RoleViewer},
		}),
	}
	job := `{"id":"j","team":"buyers","kind":"batch","tasks":1,"need":{"cpu-millis":1,"memory-mib":1,"accelerators":0}}`
	cases := []struct {
		name, token, method, path, customer, body string
		want                                      int
	}{
		{"health needs no token", "", "GET", "/v1/health", "", "", 200},
		{"no token", "", "POST", "/v1/requests/matching", "sauce", "", 401},
		{"wrong token", secret, "POST", "/v1/requests/matching", "sauce", "", 401},
		{"own customer", secret + "1", "POST", "/v1/requests/matching", "sauce", "", 200},
		{"other customer", secret + "1", "POST", "/v1/requests/matching", "jam", "", 403},
		{"poll for other customer", secret + "1", "GET", "/v1/requests/k", "jam", "", 403},
		{"cancel for other customer", secret + "1", "DELETE", "/v1/requests/k", "jam", "", 403},
		{"viewer submits", secret + "3", "POST", "/v1/requests/matching", "sauce", "", 403},
		{"own team", secret + "2", "POST", "/v1/jobs", "", job, 202},
		{"other team", secret + "2", "POST", "/v1/jobs", "", strings.Replace(job, "buyers", "floors", 1), 403},
		{"caller submits a job", secret + "1", "POST", "/v1/jobs", "", job, 403},
		{"cancel of own team", secret + "2", "DELETE", "/v1/teams/buyers/jobs/j", "", "", 204},
		{"cancel of other team", secret + "2", "DELETE", "/v1/teams/floors/jobs/j", "", "", 403},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("authorization", "Bearer "+c.token)
			r.Header.Set(caller.HeaderKey, "k")
			r.Header.Set(caller.HeaderClass, "quick")
			if c.customer != "" {
				r.Header.Set(caller.HeaderCustomer, c.customer)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, c.want)
			is.True(!strings.Contains(w.Body.String(), secret)) // the token is not part of the reply
		})
	}
}

// FuzzRequest guards against headers and jobs that crash the host, and against
// invalid requests that are answered as valid ones.
func FuzzRequest(f *testing.F) {
	f.Add("/v1/requests/matching", "k", "quick", "100", "2026-12-04T10:00:00Z", "body")
	f.Add("/v1/jobs", "", "", "", "", `{"id":"j","team":"t","kind":"batch","tasks":1,"need":{"cpu-millis":1,"memory-mib":1,"accelerators":0}}`)
	s := &caller.Server{Requests: acceptingRequests{}, Jobs: acceptingJobs{}, IsReady: func() bool { return true }, Access: access.NewOpenList()}
	handler := s.Handler()
	f.Fuzz(func(t *testing.T, path, key, class, timeout, issued, body string) {
		r := httptest.NewRequest("POST", "/v1/requests/x", strings.NewReader(body))
		r.URL.Path = path
		r.Header.Set(caller.HeaderKey, key)
		r.Header.Set(caller.HeaderCustomer, "c")
		r.Header.Set(caller.HeaderClass, class)
		r.Header.Set(caller.HeaderTimeout, timeout)
		r.Header.Set(caller.HeaderIssuedAt, issued)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Errorf("status %d is a server error: %s", w.Code, w.Body)
		}
		if w.Code == 200 && (key == "" || class == "") {
			t.Errorf("request without key or class was accepted")
		}
	})
}
