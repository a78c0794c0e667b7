// Package admin serves operators: a web console for browsers and the HTTP API that
// the hoist command uses. Both offer the same operations, which
// hoist.OperatorService carries out.
//
// # Usage
//
//	s := &admin.Server{Listener: l, Service: service, Access: list, Metrics: metrics.Handler()}
//	err := s.Run(ctx)
//
// # Access
//
// The hoist command sends its token with each call. A browser sends the token
// once, in the login form, and a session cookie from then on. Every form that
// changes something contains a secret key of the session, which protects against
// cross-site request forgery.
// Viewers have read access, operators have read and write access.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/kataras/iris/v12"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

const (
	// maxBodyBytes is the maximum size of the body of a call or form.
	maxBodyBytes = 2 << 20
	// callTimeout bounds the wait for open calls when the server stops, and the
	// time to list the jobs of a team on a page.
	callTimeout = 5 * time.Second
)

// Server serves the console and the API. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Service  hoist.OperatorService
	Access   *access.List
	// Metrics serves the metrics of the host. If it is nil, there is no metrics
	// path.
	Metrics http.Handler
	Clock   hoist.Clock

	sessions sessions
	once     sync.Once
	handler  http.Handler
	err      error
}

// Run serves until ctx ends. Open calls can still finish for callTimeout.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	defer stop()
	if err := server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serving operators")
	}
	return nil
}

// Handler returns the HTTP handler of the console and the API.
func (s *Server) Handler() (http.Handler, error) {
	s.once.Do(func() {
		app := iris.New()
		app.Logger().SetLevel("disable")
		app.Use(limitBody, secureHeaders)
		s.routePages(app)
		s.routeCalls(app.Party("/api/v1"))
		if s.Metrics != nil {
			app.Get("/metrics", s.requireToken(access.View), iris.FromStd(s.Metrics))
		}
		s.err = merry.Prepend(app.Build(), "console")
		s.handler = app
	})
	return s.handler, s.err
}

func limitBody(ctx iris.Context) {
	ctx.SetMaxRequestBodySize(maxBodyBytes)
	ctx.Next()
}

// secureHeaders sets headers that forbid scripts, content of other sites, framing
// and caching.
func secureHeaders(ctx iris.Context) {
	ctx.Header("content-security-policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	ctx.Header("x-content-type-options", "nosniff")
	ctx.Header("referrer-policy", "same-origin")
	ctx.Header("cache-control", "no-store")
	ctx.Next()
}

// requireToken returns a handler that rejects calls without a valid token, and
// calls whose token does not permit the action.
func (s *Server) requireToken(action access.Action) iris.Handler {
	return func(ctx iris.Context) {
		id, err := s.Access.Authenticate(ctx.Request())
		switch {
		case err != nil:
			ctx.Header("www-authenticate", "Bearer")
			ctx.StopWithText(http.StatusUnauthorized, "%s", err)
		case !id.May(action):
			ctx.StopWithText(http.StatusForbidden, "%s", hoist.ErrDenied)
		default:
			ctx.Next()
		}
	}
}
