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
	// sessionDuration is the time after which a session expires: one shift.
	sessionDuration = 9 * time.Hour
	// maxSessions bounds the number of sessions on one host.
	maxSessions = 10_000
)

// session is the session of a logged-in browser.
type session struct {
	identity access.Identity
	// formKey is the secret key in the forms of this session.
	formKey string
	expires time.Time
}

// sessions holds the sessions of one host. They are lost when the process ends.
type sessions struct {
	mu   sync.Mutex
	byID map[string]session
}

// open deletes expired sessions and creates a new one. It returns the key of the
// session, which the cookie holds, or "" if there are too many sessions.
func (s *sessions) open(id access.Identity, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]session)
	}
	for key, old := range s.byID {
		if now.After(old.expires) {
			delete(s.byID, key)
		}
	}
	if len(s.byID) >= maxSessions {
		return ""
	}
	key := rand.Text()
	s.byID[key] = session{identity: id, formKey: rand.Text(), expires: now.Add(sessionDuration)}
	return key
}

func (s *sessions) find(key string, now time.Time) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess, ok := s.byID[key]
	return sess, ok && now.Before(sess.expires)
}

func (s *sessions) close(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, key)
}

// pageSession returns the session of a request if it permits the action. Otherwise
// it redirects the browser to the login page or replies with an error.
func (s *Server) pageSession(ctx iris.Context, action access.Action) (session, bool) {
	sess, ok := s.sessions.find(ctx.GetCookie(cookieName), s.Clock.Now())
	if !ok {
		ctx.Redirect("/login", http.StatusSeeOther)
		return session{}, false
	}
	if !sess.identity.May(action) {
		ctx.StopWithText(http.StatusForbidden, "%s", hoist.ErrDenied)
		return session{}, false
	}
	return sess, true
}

// formSession returns the session of a submitted form if it has write access and
// its form key is in the form. Otherwise it replies as pageSession does.
func (s *Server) formSession(ctx iris.Context) (session, bool) {
	sess, ok := s.pageSession(ctx, access.Operate)
	if !ok {
		return session{}, false
	}
	formKey := ctx.PostValue("form-key")
	if subtle.ConstantTimeCompare([]byte(formKey), []byte(sess.formKey)) != 1 {
		ctx.StopWithText(http.StatusForbidden, "the form does not belong to this session")
		return session{}, false
	}
	return sess, true
}

func (s *Server) setCookie(ctx iris.Context, key string, age time.Duration) {
	http.SetCookie(ctx.ResponseWriter(), &http.Cookie{
		Name: cookieName, Value: key, Path: "/", HttpOnly: true, MaxAge: int(age / time.Second),
		SameSite: http.SameSiteStrictMode, Secure: ctx.Request().TLS != nil,
	})
}
