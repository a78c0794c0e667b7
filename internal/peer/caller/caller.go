// Package caller is the HTTP front for callers: submitting requests and jobs.
// docs/callers.md describes it with examples.
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
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Headers of requests and answers.
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
	// maxBody is the largest body of a request.
	maxBody = 1 << 20
	// maxKeptBody is the largest body of a request that is kept in the table.
	maxKeptBody = 64 << 10
	// maxKey is the largest length of a request key.
	maxKey = 200
	// maxName is the largest length of a customer or service; longer ones are
	// refused between hosts.
	maxName = 100
	// maxBodies bounds the bodies of all requests in flight at a host.
	maxBodies = 32 << 20
	// maxConns bounds the connections of callers, each of which costs about
	// 10 KB of buffers; the kernel queues the rest.
	maxConns = 4096
	// idleTimeout closes connections that callers do not use.
	idleTimeout = 2 * time.Minute
	// maxTimeout bounds how long a caller may wait.
	maxTimeout = 12 * time.Hour
	// defaultTimeout is used when the caller states none.
	defaultTimeout = 10 * time.Second
	// shutdownTime bounds the wait for open connections at the end.
	shutdownTime = 5 * time.Second
)

// Server serves callers. Set the fields before Run.
type Server struct {
	Listener net.Listener
	Requests hoist.RequestService
	Jobs     hoist.JobService
	// Access tells who may call.
	Access *access.List
	// IsReady tells the balancer whether to send callers here.
	IsReady func() bool

	once      sync.Once
	server    *http.Server
	handler   http.Handler
	bodies    *semaphore.Weighted
	isLeaving atomic.Bool
	isClosed  atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		s.handler = s.routes()
		s.bodies = semaphore.NewWeighted(maxBodies)
		s.server = &http.Server{
			Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		}
	})
}

// Leave makes the health check fail and asks callers to close their connections
// after the next answer. Requests are still accepted.
func (s *Server) Leave() {
	s.isLeaving.Store(true)
}

// Refuse makes the server answer new requests as not run.
func (s *Server) Refuse() {
	s.isClosed.Store(true)
}

// Close breaks all connections at once.
func (s *Server) Close() {
	s.init()
	_ = s.server.Close()
}

// Run serves until ctx ends. Calls that are then open are told so and are
// answered before Run returns.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		_ = s.server.Shutdown(ctx)
	})
	defer stop()
	err := s.server.Serve(netutil.LimitListener(s.Listener, maxConns))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serving callers")
}

// Handler returns the handler of all paths.
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
	s.handleJobs(mux)
	mux.HandleFunc("GET /v1/health", s.serveHealth)
	next := s.identify(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLeaving.Load() {
			w.Header().Set("connection", "close")
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
	if s.isClosed.Load() {
		WriteAnswer(w, refuse(req, "the host is stopping"))
		return
	}
	size := min(max(r.ContentLength, 0), maxBody)
	if r.ContentLength < 0 {
		size = maxBody
	}
	if !s.bodies.TryAcquire(size) {
		WriteAnswer(w, refuse(req, "too many requests in flight at this host"))
		return
	}
	defer s.bodies.Release(size)
	req.Body, err = readBody(w, r)
	if err == nil && req.NoWait && len(req.Body) > maxKeptBody {
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

// refuse answers a request that this host does not take. An earlier try of it
// may have run, unless this is the first.
func refuse(req hoist.Request, reason string) hoist.Answer {
	if !req.FirstTry {
		return hoist.Answer{Key: req.Key, Outcome: hoist.Unknown, Reason: reason}
	}
	return hoist.Answer{Key: req.Key, Outcome: hoist.NotRun, Reason: reason, RetryAfter: time.Second}
}

// readBody reads a body in full. One that is cut short is an error, so that
// nothing of it runs.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength < 0 || r.ContentLength > maxBody {
		body, err := io.ReadAll(limited)
		if err != nil {
			return nil, invalid("body", err.Error())
		}
		return body, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(limited, body); err != nil {
		return nil, invalid("body", err.Error())
	}
	return body, nil
}

// parseRequest reads the request without its body.
func parseRequest(r *http.Request, now time.Time) (hoist.Request, error) {
	req := hoist.Request{
		Key:      hoist.RequestKey(r.Header.Get(HeaderKey)),
		Customer: hoist.CustomerID(r.Header.Get(HeaderCustomer)),
		Service:  hoist.ServiceName(r.PathValue("service")),
		Class:    hoist.Class(r.Header.Get(HeaderClass)),
		IssuedAt: now,
	}
	if req.Key == "" || len(req.Key) > maxKey {
		return req, invalid(HeaderKey, "expected 1 to 200 bytes")
	}
	if req.Customer == "" || len(req.Customer) > maxName {
		return req, invalid(HeaderCustomer, "expected 1 to 100 bytes")
	}
	if len(req.Service) > maxName {
		return req, invalid("service", "expected 1 to 100 bytes")
	}
	if !req.Class.IsValid() {
		return req, invalid(HeaderClass, "expected quick, patient or watch")
	}
	return req, parseTimes(&req, r.Header, now)
}

func parseTimes(req *hoist.Request, h http.Header, now time.Time) error {
	var err error
	if req.Idempotent, err = parseBool(h, HeaderIdempotent); err != nil {
		return err
	}
	// Without a time of issue, no earlier try is outstanding.
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
	timeout := defaultTimeout
	if req.NoWait, err = parseNoWait(h); err != nil {
		return err
	}
	if req.NoWait {
		timeout = maxTimeout
	}
	if v := h.Get(HeaderTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 1 || ms > int(maxTimeout/time.Millisecond) {
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

func invalid(name, reason string) error {
	return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("%s: %s", name, reason))
}

// WriteAnswer sends an answer: status 200 for done, 503 for not run and 504 for
// outcome unknown.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		rest.WriteError(w, invalid("job", err.Error()))
		return
	}
	if !mayCharge(w, r, hoist.TeamID(in.Team)) {
		return
	}
	if err := s.Jobs.Submit(r.Context(), codec.ToJobSpec(in)); err != nil {
		rest.WriteError(w, err)
		return
	}
	rest.WriteJSON(w, http.StatusAccepted, in)
}
