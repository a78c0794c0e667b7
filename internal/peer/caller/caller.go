// Package caller is the HTTP API for callers, who submit, poll and cancel
// requests and jobs. docs/callers.md describes it with examples.
//
// # Usage
//
//	s := &caller.Server{Listener: l, Requests: router, Jobs: tasks, IsReady: ready, Access: list}
//	err := s.Run(ctx)
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/decide/admit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// The HTTP headers of requests and answers.
const (
	HeaderKey        = "hoist-request-key"
	HeaderCustomer   = "hoist-customer"
	HeaderClass      = "hoist-class"
	HeaderIdempotent = "hoist-idempotent"
	HeaderFirstTry   = "hoist-first-try"
	HeaderIssuedAt   = "hoist-issued-at"
	HeaderTimeout    = "hoist-timeout-ms"
	HeaderWait       = "hoist-wait"
	HeaderOutcome    = "hoist-outcome"
	HeaderExecutor   = "hoist-executor"
	HeaderWaited     = "hoist-waited-us"
	HeaderDigest     = "hoist-digest"
)

const (
	// maxBodyBytes is the maximum size of the body of a request or job.
	maxBodyBytes = 1 << 20
	// maxStoredBodyBytes is the maximum size of the body of a request that is
	// accepted for polling, as it is stored in the table.
	maxStoredBodyBytes = 64 << 10
	// maxKeyBytes is the maximum length of a request key.
	maxKeyBytes = 200
	// maxNameBytes is the maximum length of the name of a customer or service.
	// Hosts reject longer ones in messages from each other.
	maxNameBytes = 100
	// maxInFlightBytes bounds the total size of the bodies of all requests in
	// flight at a host.
	maxInFlightBytes = 32 << 20
	// maxConns bounds the number of connections of callers. Each needs about
	// 10 KB of buffers. For further ones, idle connections are closed first.
	maxConns = 4096
	// transferTimeout bounds the time for a body to arrive, and for each part of an
	// answer to be taken. It allows the largest body at 35 KB/s.
	transferTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxRequestTimeout is the longest time-out that a caller may state.
	maxRequestTimeout = 12 * time.Hour
	// defaultRequestTimeout applies if the caller states no time-out.
	defaultRequestTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for open calls when the server stops.
	shutdownTimeout = 5 * time.Second
)

// Server serves the HTTP API for callers. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Requests hoist.RequestService
	Jobs     hoist.JobService
	// Access authenticates the callers.
	Access *access.List
	// IsReady reports whether the host can serve requests. Load balancers see it
	// as the result of the health check.
	IsReady func() bool

	once       sync.Once
	server     *http.Server
	handler    http.Handler
	clients    *gate.Gate
	isLeaving  atomic.Bool
	isRefusing atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		s.handler = s.routes()
		s.clients = &gate.Gate{
			Port: "callers", Limits: admit.Limits{Conns: maxConns, Memory: maxInFlightBytes}, Factor: gate.HeaderFactor,
			WriteTimeout: transferTimeout,
		}
		s.server = &http.Server{
			Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
			ConnState: s.clients.ConnState, ConnContext: s.clients.ConnContext,
		}
	})
}

// Leave makes the health check fail and tells callers to close their connections
// after the next answer. Requests are still accepted.
func (s *Server) Leave() {
	s.isLeaving.Store(true)
}

// RefuseRequests makes the server refuse new requests without running them.
func (s *Server) RefuseRequests() {
	s.isRefusing.Store(true)
}

// Close closes the listener and all connections at once. Open calls fail.
func (s *Server) Close() {
	s.init()
	_ = s.server.Close()
}

// Run serves until ctx ends and all answers have been sent. The contexts of the calls
// that are then open end too, and their answers can still be sent for shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	isShutDown := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(isShutDown)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.server.Shutdown(ctx)
	})
	err := s.server.Serve(s.clients.Listen(s.Listener))
	if !stop() {
		// Serve returns as soon as the shutdown begins.
		<-isShutDown
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serving callers")
}

// Handler returns the HTTP handler of all paths of the API.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests/{service}", s.serveRequest)
	mux.HandleFunc("GET /v1/requests/{key}", s.servePoll)
	mux.HandleFunc("DELETE /v1/requests/{key}", s.serveCancel)
	mux.HandleFunc("POST /v1/jobs", s.serveJob)
	s.routeJobs(mux)
	mux.HandleFunc("GET /v1/health", s.serveHealth)
	next := s.authenticate(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLeaving.Load() {
			w.Header().Set("connection", "close")
		}
		conn := gate.ConnOf(r.Context())
		if gate.BeginRequest(r) != nil {
			w.Header().Set("connection", "close")
			rest.WriteError(w, hoist.ErrUnavailable)
			return
		}
		if r.ContentLength != 0 {
			// A body that is not read is discarded after the answer, which must end too.
			_ = conn.SetReadDeadline(time.Now().Add(transferTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.isLeaving.Load() || !s.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(r, time.Now())
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	if s.isRefusing.Load() {
		WriteAnswer(w, refusedAnswer(req, "the host is stopping"))
		return
	}
	req.Body, err = readBody(r)
	if errors.Is(err, gate.ErrRefused) {
		w.Header().Set("connection", "close")
		WriteAnswer(w, refusedAnswer(req, err.Error()))
		return
	}
	if err == nil && req.NoWait && len(req.Body) > maxStoredBodyBytes {
		err = invalid("body", "expected up to 65536 bytes with hoist-wait: no")
	}
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	answer, err := s.Requests.Submit(r.Context(), req)
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	WriteAnswer(w, answer)
}

// refusedAnswer returns the answer to a request that this host refuses. Unless this
// is the first try of the request, an earlier one may have run, so its outcome is
// unknown.
func refusedAnswer(req hoist.Request, reason string) hoist.Answer {
	if !req.FirstTry {
		return hoist.Answer{Key: req.Key, Outcome: hoist.Unknown, Reason: reason}
	}
	return hoist.Answer{Key: req.Key, Outcome: hoist.NotRun, Reason: reason, RetryAfter: time.Second}
}

// readBody reads the whole body of a request. It returns hoist.ErrInvalid for a
// truncated body, so that the request does not run with part of it, and gate.ErrRefused
// if the host refuses it.
func readBody(r *http.Request) ([]byte, error) {
	body, err := gate.ReadBody(r, maxBodyBytes, time.Now().Add(transferTimeout))
	if err != nil && !errors.Is(err, gate.ErrRefused) {
		return nil, invalid("body", err.Error())
	}
	return body, err
}

// parseRequest parses the path and headers of a request. It does not read the
// body. Errors are hoist.ErrInvalid.
func parseRequest(r *http.Request, now time.Time) (hoist.Request, error) {
	req := hoist.Request{
		Key:      hoist.RequestKey(r.Header.Get(HeaderKey)),
		Customer: hoist.CustomerID(r.Header.Get(HeaderCustomer)),
		Service:  hoist.ServiceName(r.PathValue("service")),
		Class:    hoist.Class(r.Header.Get(HeaderClass)),
		IssuedAt: now,
	}
	if req.Key == "" || len(req.Key) > maxKeyBytes {
		return req, invalid(HeaderKey, "expected 1 to 200 bytes")
	}
	if req.Customer == "" || len(req.Customer) > maxNameBytes {
		return req, invalid(HeaderCustomer, "expected 1 to 100 bytes")
	}
	if len(req.Service) > maxNameBytes {
		return req, invalid("service", "expected 1 to 100 bytes")
	}
	if !req.Class.IsValid() {
		return req, invalid(HeaderClass, "expected quick, patient or watch")
	}
	return req, parseOptions(&req, r.Header, now)
}

func parseOptions(req *hoist.Request, h http.Header, now time.Time) error {
	var err error
	if req.Idempotent, err = parseBool(h, HeaderIdempotent); err != nil {
		return err
	}
	// A request without an issue time counts as a first try: no earlier try of it
	// is outstanding.
	req.FirstTry = h.Get(HeaderIssuedAt) == ""
	if h.Get(HeaderFirstTry) != "" {
		if req.FirstTry, err = parseBool(h, HeaderFirstTry); err != nil {
			return err
		}
	}
	if v := h.Get(HeaderIssuedAt); v != "" {
		if req.IssuedAt, err = time.Parse(time.RFC3339Nano, v); err != nil {
			return invalid(HeaderIssuedAt, "expected a time like 2026-12-04T10:00:00.123Z")
		}
	}
	timeout := defaultRequestTimeout
	if req.NoWait, err = parseNoWait(h); err != nil {
		return err
	}
	if req.NoWait {
		timeout = maxRequestTimeout
	}
	if v := h.Get(HeaderTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 1 || ms > int(maxRequestTimeout/time.Millisecond) {
			return invalid(HeaderTimeout, "expected 1 to 43200000")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	req.Deadline = now.Add(timeout)
	return nil
}

func parseBool(h http.Header, name string) (bool, error) {
	text := h.Get(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalid(name, "expected true or false")
	}
	return v, nil
}

// invalid returns hoist.ErrInvalid for the header or part with the given name.
func invalid(name, reason string) error {
	return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("%s: %s", name, reason))
}

// WriteAnswer writes the reply for an answer. The status is 200 for done, 503 for
// not run and 504 for an unknown outcome.
func WriteAnswer(w http.ResponseWriter, a hoist.Answer) {
	h := w.Header()
	h.Set(HeaderKey, string(a.Key))
	h.Set(HeaderOutcome, string(a.Outcome))
	switch a.Outcome {
	case hoist.Done:
		h.Set(HeaderExecutor, string(a.Executor))
		h.Set(HeaderWaited, strconv.FormatInt(a.Waited.Microseconds(), 10))
		h.Set(HeaderDigest, codec.Digest(hoist.DigestOf(a.Body)))
		h.Set("content-length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body)
	case hoist.Accepted:
		w.WriteHeader(http.StatusAccepted)
	case hoist.NotRun:
		h.Set("retry-after", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
		http.Error(w, a.Reason, http.StatusServiceUnavailable)
	default:
		http.Error(w, a.Reason, http.StatusGatewayTimeout)
	}
}

func (s *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	var in wire.JobSpec
	body, err := readBody(r)
	if errors.Is(err, gate.ErrRefused) {
		w.Header().Set("connection", "close")
		rest.WriteError(w, hoist.ConvertError(hoist.ErrUnavailable, err))
		return
	}
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		rest.WriteError(w, invalid("job", err.Error()))
		return
	}
	if !checkTeamAccess(w, r, hoist.TeamID(in.Team)) {
		return
	}
	if err := s.Jobs.Submit(r.Context(), codec.ToJobSpec(in)); err != nil {
		rest.WriteError(w, err)
		return
	}
	rest.WriteJSON(w, http.StatusAccepted, in)
}
