package admin

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

const (
	cookieName = "hoist-session"
	// sessionTime is how long a login lasts: one shift.
	sessionTime = 9 * time.Hour
	// maxSessions bounds the logins of one host.
	maxSessions = 10_000
)

// session is one login of a browser.
type session struct {
	identity access.Identity
	// formKey is the value that forms of this session carry.
	formKey string
	ends    time.Time
}

// sessions holds the logins of one host. They end with the process.
type sessions struct {
	mu   sync.Mutex
	byID map[string]session
}

// open starts a session and returns its id, or "" if there are too many.
func (s *sessions) open(id access.Identity, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]session)
	}
	for key, old := range s.byID {
		if now.After(old.ends) {
			delete(s.byID, key)
		}
	}
	if len(s.byID) >= maxSessions {
		return ""
	}
	key := rand.Text()
	s.byID[key] = session{identity: id, formKey: rand.Text(), ends: now.Add(sessionTime)}
	return key
}

func (s *sessions) find(key string, now time.Time) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[key]
	return found, ok && now.Before(found.ends)
}

func (s *sessions) close(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, key)
}

// session returns the session of a page, or sends the browser to the login.
func (s *Server) session(ctx iris.Context, action access.Action) (session, bool) {
	found, ok := s.sessions.find(ctx.GetCookie(cookieName), s.Clock.Now())
	if !ok {
		ctx.Redirect("/login", http.StatusSeeOther)
		return session{}, false
	}
	if !found.identity.May(action) {
		ctx.StopWithText(http.StatusForbidden, "%s", hoist.ErrDenied)
		return session{}, false
	}
	return found, true
}

// posted is session for a form that changes something.
func (s *Server) posted(ctx iris.Context) (session, bool) {
	found, ok := s.session(ctx, access.Operate)
	if !ok {
		return session{}, false
	}
	formKey := ctx.PostValue("form-key")
	if subtle.ConstantTimeCompare([]byte(formKey), []byte(found.formKey)) != 1 {
		ctx.StopWithText(http.StatusForbidden, "the form does not belong to this session")
		return session{}, false
	}
	return found, true
}

func (s *Server) setCookie(ctx iris.Context, key string, age time.Duration) {
	http.SetCookie(ctx.ResponseWriter(), &http.Cookie{
		Name: cookieName, Value: key, Path: "/", HttpOnly: true, MaxAge: int(age / time.Second),
		SameSite: http.SameSiteStrictMode, Secure: ctx.Request().TLS != nil,
	})
}
