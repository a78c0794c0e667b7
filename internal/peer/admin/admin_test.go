package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/peer/admin"
)

const secret = "0123456789abcdef"

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// recordingService is a fake hoist.OperatorService that records the changes.
type recordingService struct {
	hoist.OperatorService
	changes []string
}

func (s *recordingService) Hosts() []hoist.HostStatus { return nil }

func (s *recordingService) ConfigText() (hoist.ConfigVersion, string) {
	return 1, "</textarea><script>"
}

func (s *recordingService) Workers(context.Context) []hoist.Candidate {
	return []hoist.Candidate{{Worker: "<script>"}}
}

func (s *recordingService) Executors(context.Context) ([]hoist.HostEntry, error) { return nil, nil }

func (s *recordingService) Jobs(context.Context, hoist.TeamID) ([]hoist.JobState, error) {
	return nil, nil
}

func (s *recordingService) SetDrain(_ context.Context, d hoist.Drain) error {
	s.changes = append(s.changes, "drain "+d.ID)
	return nil
}

func (s *recordingService) SubmitJob(_ context.Context, j hoist.JobSpec) error {
	s.changes = append(s.changes, "job "+string(j.ID))
	return nil
}

// browser is a client of the console that keeps its session cookie and form key.
type browser struct {
	handler http.Handler
	cookie  *http.Cookie
	formKey string
}

func newBrowser(t *testing.T, s *recordingService, token string) *browser {
	t.Helper()
	server := &admin.Server{Service: s, Clock: systemClock{}, Access: access.NewList([]access.Entry{
		{Name: "ops", Token: secret + "o", Role: access.RoleOperator},
		{Name: "desk", Token: secret + "v", Role: access.RoleViewer},
		{Name: "packer", Token: secret + "c", Role: access.RoleCaller, Customer: "c"},
	})}
	handler, err := server.Handler()
	if err != nil {
		t.Fatal(err)
	}
	b := &browser{handler: handler}
	login := b.post("/login", url.Values{"token": {token}})
	for _, c := range login.Result().Cookies() {
		b.cookie = c
	}
	key := regexp.MustCompile(`form-key" value="([^"]+)"`).FindStringSubmatch(b.get("/config").Body.String())
	if key != nil {
		b.formKey = key[1]
	}
	return b
}

func (b *browser) do(r *http.Request) *httptest.ResponseRecorder {
	if b.cookie != nil {
		r.AddCookie(b.cookie)
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	return w
}

func (b *browser) get(path string) *httptest.ResponseRecorder {
	return b.do(httptest.NewRequest("GET", path, nil))
}

func (b *browser) post(path string, form url.Values) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", path, strings.NewReader(form.Encode()))
	r.Header.Set("content-type", "application/x-www-form-urlencoded")
	return b.do(r)
}

// TestConsoleFormsRequireAccess guards against changes by users without write
// access, against forged forms of other sites, and against errors that are not shown
// at their field.
func TestConsoleFormsRequireAccess(t *testing.T) {
	job := url.Values{"id": {"j"}, "team": {"t"}, "kind": {"batch"}, "tasks": {"1"}, "cpu-millis": {"1"}}
	bad := url.Values{"id": {"j"}, "team": {"t"}, "tasks": {"many"}}
	cases := []struct {
		name, token, path string
		form              url.Values
		sendsFormKey      bool
		status            int
		shows, changes    string
	}{
		{"unknown token", "x", "/drain", url.Values{"id": {"w"}}, false, 303, "", ""},
		{"caller", secret + "c", "/drain", url.Values{"id": {"w"}}, false, 303, "", ""},
		{"viewer", secret + "v", "/drain", url.Values{"id": {"w"}}, true, 403, "", ""},
		{"form of another site", secret + "o", "/drain", url.Values{"id": {"w"}}, false, 403, "", ""},
		{"operator drains", secret + "o", "/drain", url.Values{"id": {"w"}, "action": {"drain"}}, true, 200, "", "drain w"},
		{"operator submits", secret + "o", "/jobs", job, true, 200, "Job j is accepted", "job j"},
		{"invalid field", secret + "o", "/jobs", bad, true, 422, "&#34;many&#34; is not a whole number</em>", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &recordingService{}
			b := newBrowser(t, s, c.token)
			if c.sendsFormKey {
				c.form.Set("form-key", b.formKey)
			}
			w := b.post(c.path, c.form)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.shows))
			is.Equal(strings.Join(s.changes, ","), c.changes)
		})
	}
}

// TestPagesEscapeMarkup guards against markup in names that a page does not escape.
func TestPagesEscapeMarkup(t *testing.T) {
	b := newBrowser(t, &recordingService{}, secret+"o")
	for _, path := range []string{"/workers", "/config", "/jobs?team=%3Cscript%3E"} {
		w := b.get(path)
		if w.Code != http.StatusOK || strings.Contains(w.Body.String(), "<script>") {
			t.Errorf("%s: status %d, expected a page with escaped markup: %s", path, w.Code, w.Body.String())
		}
		if policy := w.Header().Get("content-security-policy"); !strings.Contains(policy, "default-src 'none'") {
			t.Errorf("%s: content security policy %q does not forbid other sources", path, policy)
		}
	}
}

// TestCallsRequireToken guards against API calls that succeed without a token that
// permits them.
func TestCallsRequireToken(t *testing.T) {
	cases := []struct {
		token, method, path string
		want                int
	}{
		{"", "GET", "/api/v1/hosts", 401},
		{secret + "c", "GET", "/api/v1/hosts", 403},
		{secret + "v", "GET", "/api/v1/hosts", 200},
		{secret + "v", "POST", "/api/v1/drain", 403},
		{secret + "o", "POST", "/api/v1/drain", 200},
	}
	for _, c := range cases {
		t.Run(c.method+c.path+c.token, func(t *testing.T) {
			is := is.New(t)
			b := newBrowser(t, &recordingService{}, "")
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(`{"kind":"worker","id":"w","drain":true}`))
			r.Header.Set("authorization", "Bearer "+c.token)
			is.Equal(b.do(r).Code, c.want)
		})
	}
}
