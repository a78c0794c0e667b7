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
	"time"

	"github.com/ansel1/merry/v2"

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
	HeaderOutcome    = "hoist-outcome"
	HeaderExecutor   = "hoist-executor"
	HeaderWaited     = "hoist-waited-us"
	HeaderDigest     = "hoist-digest"
)

const (
	// maxBody is the largest body of a request.
	maxBody = 1 << 20
	// maxKey is the largest length of a request key.
	maxKey = 200
	// maxName is the largest length of a customer or service; longer ones are
	// refused between hosts.
	maxName = 100
	// maxTimeout bounds how long a caller may wait.
	maxTimeout = 12 * time.Hour
	// defaultTimeout is used when the caller states none.
	defaultTimeout = 10 * time.Second
	// shutdownTime bounds the wait for open connections at the end.
	shutdownTime = 5 * time.Second
)

// Requests answers requests.
type Requests interface {
	// Submit returns the answer, or hoist.ErrInvalid if the key belongs to
	// another request.
	Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error)
}

// Jobs accepts jobs.
type Jobs interface {
	Submit(ctx context.Context, s hoist.JobSpec) error
	Cancel(ctx context.Context, ref hoist.JobRef) error
	Show(ctx context.Context, team hoist.TeamID) ([]hoist.JobState, error)
}

// Server serves callers. Set the fields before Run.
type Server struct {
	Listener net.Listener
	Requests Requests
	Jobs     Jobs
	// Access tells who may call.
	Access *access.List
	// IsReady tells the balancer whether to send callers here.
	IsReady func() bool

	once   sync.Once
	server *http.Server
}

func (s *Server) init() {
	s.once.Do(func() {
		s.server = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	})
}

// Close breaks all connections at once.
func (s *Server) Close() {
	s.init()
	_ = s.server.Close()
}

// Run serves until ctx ends and the open calls are answered.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		_ = s.server.Shutdown(ctx)
	})
	defer stop()
	err := s.server.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serving callers")
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests/{service}", s.serveRequest)
	mux.HandleFunc("POST /v1/jobs", s.serveJob)
	s.handleJobs(mux)
	mux.HandleFunc("GET /v1/health", s.serveHealth)
	return s.identify(mux)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(w, r, time.Now())
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

func parseRequest(w http.ResponseWriter, r *http.Request, now time.Time) (hoist.Request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return hoist.Request{}, invalid("body", err.Error())
	}
	req := hoist.Request{
		Key:      hoist.RequestKey(r.Header.Get(HeaderKey)),
		Customer: hoist.CustomerID(r.Header.Get(HeaderCustomer)),
		Service:  hoist.ServiceName(r.PathValue("service")),
		Class:    hoist.Class(r.Header.Get(HeaderClass)),
		IssuedAt: now,
		Body:     body,
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
