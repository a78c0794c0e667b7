// Package admin is the front for operators: a console of forms for browsers and
// the interface that the hoist client uses. Both do the same through
// hoist.OperatorService.
//
// # Usage
//
//	s := &admin.Server{Listener: l, Service: service, Access: list, Metrics: metrics.Handler()}
//	err := s.Run(ctx)
//
// # Access
//
// The client sends its token with each call. A browser sends it once, in the
// login form, and then a session cookie; every form carries a value that only
// pages of the session know, so that other sites cannot post in its name.
// Viewers may read, operators may read and change.
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
	// maxBody is the largest body of a call or form.
	maxBody = 2 << 20
	// shutdownTime bounds the wait for open calls at the end.
	shutdownTime = 5 * time.Second
)

// Server serves operators. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Service  hoist.OperatorService
	Access   *access.List
	// Metrics serves the metrics of the host; nil means none.
	Metrics http.Handler
	Clock   hoist.Clock

	sessions sessions
	once     sync.Once
	handler  http.Handler
	err      error
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	defer stop()
	if err := server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serving operators")
	}
	return nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() (http.Handler, error) {
	s.once.Do(func() {
		app := iris.New()
		app.Logger().SetLevel("disable")
		app.Use(limitBody, secureHeaders)
		s.routePages(app)
		s.routeCalls(app.Party("/api/v1"))
		if s.Metrics != nil {
			app.Get("/metrics", s.may(access.View), iris.FromStd(s.Metrics))
		}
		s.err = merry.Prepend(app.Build(), "console")
		s.handler = app
	})
	return s.handler, s.err
}

func limitBody(ctx iris.Context) {
	ctx.SetMaxRequestBodySize(maxBody)
	ctx.Next()
}

// secureHeaders forbids scripts, foreign content and framing.
func secureHeaders(ctx iris.Context) {
	ctx.Header("content-security-policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	ctx.Header("x-content-type-options", "nosniff")
	ctx.Header("referrer-policy", "same-origin")
	ctx.Header("cache-control", "no-store")
	ctx.Next()
}

// may lets calls with a token pass whose holder may do the action.
func (s *Server) may(action access.Action) iris.Handler {
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
