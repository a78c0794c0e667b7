// Package helper implements the calls between entry hosts over TCP: a host requests
// advice from an adviser through another host, the owner of the cell calls workers
// through other hosts, its relays, the standby hosts check the health of the owner, an
// owner asks the one before it when its leases end, and operators ask it where a plan would
// be placed.
// Each kind uses a connection of its own, so that none delays another. Calls through
// relays are many and small; they travel several in one message of CBOR. All others are
// JSON-RPC 2.0.
//
// # Usage
//
//	s := &helper.Server{Listener: l, Adviser: adviser, Health: manager.Health}
//	err := s.Run(ctx)
//
//	c := &helper.Client{Addr: "10.0.0.2:7720"}
//	advice, err := c.Advise(ctx, step, workers)
//	health, err := c.CheckHealth(ctx, hoist.HealthCheck{From: id})
//	explanation, err := c.Explain(ctx, plan, maxCandidates)
//
//	r := &helper.Relay{Addr: "10.0.0.3:7720"}
//	report, err := r.Runner(worker).Poll(ctx, request)
package helper

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/decide/admit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	methodAdvise      = "advise"
	methodCheckHealth = "pulse"
	methodExplain     = "explain"
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// maxAdviceCalls bounds the requests for advice in progress on a connection.
	// Further ones would only wait at the adviser.
	maxAdviceCalls = 32
	// maxExplainedBytes bounds the encoded plan in a request for an explanation. A row of
	// the store holds as much.
	maxExplainedBytes = 64 << 10
	// maxExplained bounds the workers in an explanation, over all steps.
	maxExplained = 2000
	// errorCode is the JSON-RPC error code of all errors. Their data is the codec.Code.
	errorCode = -32000
	// maxStopTime is how long a server that stops waits for the answers to requests for
	// advice.
	maxStopTime = 1500 * time.Millisecond
)

// discardLogger discards the log messages of the JSON-RPC library. The calls
// themselves return its errors.
var discardLogger = log.New(io.Discard, "", 0)

// Client makes calls to one other host. It connects on the first call and again
// after a failure. Its methods may be called concurrently.
type Client struct {
	Addr string

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

var (
	_ hoist.Adviser       = (*Client)(nil)
	_ hoist.HealthChecker = (*Client)(nil)
	_ hoist.Explainer     = (*Client)(nil)
)

// Advise implements hoist.Adviser. The error is hoist.ErrLeaving if the host is about to
// stop, hoist.ErrNotListening if it has, and hoist.ErrUnavailable for every other failure:
// requests for advice have no effect.
func (c *Client) Advise(ctx context.Context, step hoist.StepRef, workers []hoist.WorkerID) (hoist.Advice, error) {
	conn, err := c.connection(ctx)
	if err != nil {
		return hoist.Advice{}, c.unanswered(err)
	}
	request := rows.Question{
		Job: string(step.Job), Occurrence: int(step.Occurrence), Step: int(step.Step), Workers: codec.Strings(workers),
	}
	var answer rows.Advice
	if err := conn.Call(ctx, methodAdvise, request, &answer); err != nil {
		return hoist.Advice{}, c.callError(conn, err)
	}
	advice := hoist.Advice{Tickets: make(map[hoist.WorkerID]hoist.Ticket), ValidFor: time.Duration(answer.ValidMs) * time.Millisecond}
	for id, ticket := range answer.Tickets {
		advice.Tickets[hoist.WorkerID(id)] = hoist.Ticket(ticket)
	}
	return advice, nil
}

// callError converts the error of a call on a connection. A host that refuses the call
// goes on serving the connection; after any other error it may be half-open, and the
// next call opens a new one.
func (c *Client) callError(conn *jsonrpc2.Conn, err error) error {
	var refusal *jsonrpc2.Error
	if !errors.As(err, &refusal) {
		c.drop(conn)
		return c.unanswered(err)
	}
	kind := hoist.ErrUnavailable
	if isLeaving(refusal) {
		kind = hoist.ErrLeaving
	}
	return hoist.ConvertErrorf(kind, err, "host at %s", c.Addr)
}

// unanswered converts the error of a call that the host has not answered.
func (c *Client) unanswered(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return hoist.ConvertErrorf(hoist.ErrNotListening, err, "host at %s", c.Addr)
	}
	return hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
}

// isLeaving reports whether a host refuses a call because it is about to stop. Hosts of
// earlier builds send no code.
func isLeaving(refusal *jsonrpc2.Error) bool {
	var code codec.Code
	if refusal.Data == nil || json.Unmarshal(*refusal.Data, &code) != nil {
		return false
	}
	return code == codec.ErrorCode(hoist.ErrLeaving)
}

// CheckHealth implements hoist.HealthChecker. If the connection breaks, it connects
// once more, to find out whether a process still listens at the address. It returns
// hoist.ErrInvalid for an answer that is not valid.
func (c *Client) CheckHealth(ctx context.Context, check hoist.HealthCheck) (hoist.HostHealth, error) {
	question := rows.PulseQuestion{Host: string(check.From), EndedTerm: int(check.EndedTerm)}
	var answer rows.Pulse
	call := func() error {
		conn, err := c.connection(ctx)
		if err != nil {
			return err
		}
		if err := conn.Call(ctx, methodCheckHealth, question, &answer); err != nil {
			c.drop(conn)
			return err
		}
		return nil
	}
	err := call()
	if err != nil && ctx.Err() == nil {
		err = call()
	}
	if err != nil {
		return hoist.HostHealth{}, c.unanswered(err)
	}
	ended, err := codec.ToEndedLeases(answer.Ended)
	if err != nil {
		return hoist.HostHealth{}, err
	}
	return hoist.HostHealth{
		Term: hoist.Term(answer.Term), SinceRenewal: durationFromMicros(answer.RenewedUs), RenewalVersion: hoist.RowVersion(answer.Beat),
		StoreAge: durationFromMicros(answer.StoreAgeUs), IsStoreUnavailable: answer.StoreLost, Ended: ended,
	}, nil
}

// Explain implements hoist.Explainer. The payload of the plan is not sent. It has no effect
// on the owner, so every failure is hoist.ErrUnavailable.
func (c *Client) Explain(ctx context.Context, p hoist.Plan, maxCandidates int) (hoist.PlanExplanation, error) {
	p.Payload = ""
	conn, err := c.connection(ctx)
	if err != nil {
		return hoist.PlanExplanation{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	var answer rows.Explanation
	request := rows.ExplainQuestion{Plan: string(codec.EncodePlan(p)), MaxCandidates: maxCandidates}
	if err := conn.Call(ctx, methodExplain, request, &answer); err != nil {
		return hoist.PlanExplanation{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	return codec.ToPlanExplanation(answer), nil
}

func durationFromMicros(n int) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// Close closes the connection. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		// The connection is discarded, so an error of Close has no effect.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// drop closes a connection. Calls in progress on it fail, and those on a later one go on.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	// The connection is discarded, so an error of Close has no effect.
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// connection returns the open connection, or opens one if there is none.
func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, err
	}
	// Later calls use the connection too, so it must not end with ctx.
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(conn), ignoreCalls{}, jsonrpc2.SetLogger(discardLogger))
	return c.conn, nil
}

// ignoreCalls is the handler of client connections. Servers make no calls, so it
// ignores them.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Server serves the calls of other hosts.
type Server struct {
	Listener net.Listener
	Adviser  hoist.Adviser
	// Health returns the reply to a health check of another host.
	Health func(hoist.HealthCheck) hoist.HostHealth
	// Explainer explains plans if this host owns the cell; nil means that none are explained.
	Explainer hoist.Explainer
	// Dial returns a client of a worker, for calls on behalf of the owner.
	Dial func(hoist.WorkerEntry) hoist.Runner
	// IsLeaving reports whether this host is about to stop; nil means that it is not. Requests
	// for advice are served until Run ends: a host goes on for seconds after it was told to stop,
	// and in a restart of all hosts several are leaving at a time.
	IsLeaving func() bool
	// Guard recovers from panics; it may be nil.
	Guard *guard.Guard

	runners runners
	// isExplaining is set while a plan is explained.
	isExplaining atomic.Bool
}

// isLeaving reports whether this host was told to stop.
func (s *Server) isLeaving() bool {
	return s.IsLeaving != nil && s.IsLeaving()
}

// The kinds of work of a server, in logs and metrics.
const (
	workHealth  guard.Work = "health"
	workAdvice  guard.Work = "advice"
	workExplain guard.Work = "explain"
)

// acceptRetryDelay is the delay after a connection that could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// Run serves until ctx ends, then closes all connections, those with requests for advice in
// hand once these are answered, but after maxStopTime at the latest. It returns an error if
// the listener is closed before.
func (s *Server) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer context.AfterFunc(ctx, func() { _ = s.Listener.Close() })()
	s.runners.dial = s.Dial
	wg.Go(func() { s.runners.closeIdle(ctx) })
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return merry.Prepend(err, "accepting connections of other hosts")
		}
		if err != nil {
			// The cause may pass, such as a lack of descriptors.
			clock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		wg.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	in := bufio.NewReader(conn)
	first, err := in.ReadByte()
	stop()
	switch {
	case err != nil:
		_ = conn.Close()
	case first == relayPreamble:
		s.serveRelay(ctx, conn, in)
	default:
		// It is the first byte of a message.
		_ = in.UnreadByte()
		s.serveCalls(ctx, bufferedConn{in, conn})
	}
}

// bufferedConn is a connection of which the first bytes have been read into a buffer.
type bufferedConn struct {
	*bufio.Reader
	net.Conn
}

// Read implements io.Reader.
func (c bufferedConn) Read(p []byte) (int, error) {
	return c.Reader.Read(p)
}

// Write implements io.Writer. It fails if the peer does not read.
func (c bufferedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(relayWriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// admittedStream is the messages of a connection that a gate may have admitted. While one
// arrives, it counts as a request of the connection.
type admittedStream struct {
	jsonrpc2.ObjectStream
	conn *gate.Conn
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s admittedStream) ReadObject(v any) error {
	if err := s.conn.SetPhase(admit.Idle); err != nil {
		return err
	}
	return s.ObjectStream.ReadObject(v)
}

// serveCalls serves the calls of JSON-RPC on a connection until it ends, or ctx does and the
// requests for advice in hand are answered.
func (s *Server) serveCalls(ctx context.Context, conn bufferedConn) {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	calls := &connHandler{ctx: callCtx, serving: ctx, server: s, adviceSlots: make(chan struct{}, maxAdviceCalls)}
	messages := admittedStream{jsonrpc2.NewPlainObjectStream(conn), gate.Of(conn.Conn)}
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), messages, calls, jsonrpc2.SetLogger(discardLogger))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		calls.finishAdvice(rpc.DisconnectNotify())
		_ = rpc.Close()
	}
	defer context.AfterFunc(ctx, cancel)()
	calls.running.Wait()
}

// connHandler handles the calls on one connection.
type connHandler struct {
	// ctx is the context of the calls, and serving that of the server, which ends before.
	ctx, serving context.Context
	server       *Server
	adviceSlots  chan struct{}
	running      sync.WaitGroup
}

// finishAdvice waits for the answers to the requests for advice in hand, until the connection
// ends, for at most maxStopTime. New ones are refused meanwhile.
func (c *connHandler) finishAdvice(disconnected <-chan struct{}) {
	timeout := time.NewTimer(maxStopTime)
	defer timeout.Stop()
	// All slots are free once nothing is in hand.
	for range cap(c.adviceSlots) {
		select {
		case c.adviceSlots <- struct{}{}:
		case <-disconnected:
			return
		case <-timeout.C:
			return
		}
	}
}

// Handle implements jsonrpc2.Handler.
func (c *connHandler) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodCheckHealth {
		answer, err := guarded(c, workHealth, req, c.checkHealth)
		reply(conn, req, answer, err)
		return
	}
	if req.Method == methodExplain {
		c.handleExplain(conn, req)
		return
	}
	if c.serving.Err() != nil {
		reply(conn, req, rows.Advice{}, hoist.ErrLeaving)
		return
	}
	select {
	case c.adviceSlots <- struct{}{}:
	default:
		reply(conn, req, rows.Advice{}, hoist.ErrOverLimit)
		return
	}
	c.running.Go(func() {
		defer func() { <-c.adviceSlots }()
		answer, err := guarded(c, workAdvice, req, c.advise)
		reply(conn, req, answer, err)
	})
}

// handleExplain handles a request for an explanation, one at a time on all connections.
func (c *connHandler) handleExplain(conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !c.server.isExplaining.CompareAndSwap(false, true) {
		reply(conn, req, rows.Explanation{}, hoist.ErrOverLimit)
		return
	}
	c.running.Go(func() {
		defer c.server.isExplaining.Store(false)
		answer, err := guarded(c, workExplain, req, c.explain)
		reply(conn, req, answer, err)
	})
}

// guarded handles a call with f and converts a panic to an error.
func guarded[T any](c *connHandler, work guard.Work, req *jsonrpc2.Request, f func(*jsonrpc2.Request) (T, error)) (answer T, err error) {
	if panicked := c.server.Guard.Do(c.ctx, work, func() { answer, err = f(req) }); panicked != nil {
		return answer, panicked
	}
	return answer, err
}

// decodeParams decodes the parameters of a call. It returns hoist.ErrInvalid if
// the method is another one or the parameters are missing or invalid.
func decodeParams[T any](req *jsonrpc2.Request, method string) (T, error) {
	var v T
	if req.Method != method || req.Params == nil {
		return v, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("method %q is unknown or has no parameters", req.Method))
	}
	if err := json.Unmarshal(*req.Params, &v); err != nil {
		return v, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	return v, nil
}

func (c *connHandler) checkHealth(req *jsonrpc2.Request) (rows.Pulse, error) {
	q, err := decodeParams[rows.PulseQuestion](req, methodCheckHealth)
	if err != nil {
		return rows.Pulse{}, err
	}
	p := c.server.Health(hoist.HealthCheck{From: hoist.HostID(q.Host), EndedTerm: hoist.Term(q.EndedTerm)})
	return rows.Pulse{
		Term: int(p.Term), RenewedUs: int(p.SinceRenewal.Microseconds()), Beat: int(p.RenewalVersion),
		StoreAgeUs: int(p.StoreAge.Microseconds()), StoreLost: p.IsStoreUnavailable,
		Ended: codec.FromEndedLeases(p.Ended),
	}, nil
}

func (c *connHandler) advise(req *jsonrpc2.Request) (rows.Advice, error) {
	q, err := decodeParams[rows.Question](req, methodAdvise)
	if err != nil {
		return rows.Advice{}, err
	}
	step := hoist.StepRef{Job: hoist.JobID(q.Job), Occurrence: hoist.Occurrence(q.Occurrence), Step: hoist.StepNo(q.Step)}
	advice, err := c.server.Adviser.Advise(c.ctx, step, codec.IDs[hoist.WorkerID](q.Workers))
	if err != nil {
		return rows.Advice{}, err
	}
	answer := rows.Advice{Tickets: make(rows.AdviceTickets), ValidMs: int(advice.ValidFor.Milliseconds())}
	for id, ticket := range advice.Tickets {
		answer.Tickets[string(id)] = string(ticket)
	}
	return answer, nil
}

func (c *connHandler) explain(req *jsonrpc2.Request) (rows.Explanation, error) {
	q, err := decodeParams[rows.ExplainQuestion](req, methodExplain)
	if err != nil {
		return rows.Explanation{}, err
	}
	if len(q.Plan) > maxExplainedBytes {
		return rows.Explanation{}, merry.Wrap(
			hoist.ErrInvalid, merry.AppendMessagef("the plan has %d bytes, expected at most %d", len(q.Plan), maxExplainedBytes),
		)
	}
	p, err := codec.DecodePlan("", []byte(q.Plan))
	if err != nil {
		return rows.Explanation{}, err
	}
	if c.server.Explainer == nil {
		return rows.Explanation{}, hoist.ErrUnavailable
	}
	listed := min(q.MaxCandidates, maxExplained/max(1, len(p.Steps)))
	answer, err := c.server.Explainer.Explain(c.ctx, p, listed)
	if err != nil {
		return rows.Explanation{}, err
	}
	return codec.FromPlanExplanation(answer), nil
}

// reply sends the result of a call. If that fails, it closes the connection.
func reply[T any](conn *jsonrpc2.Conn, req *jsonrpc2.Request, answer T, err error) {
	if err != nil {
		refusal := &jsonrpc2.Error{Code: errorCode, Message: err.Error()}
		refusal.SetError(codec.ErrorCode(err))
		err = conn.ReplyWithError(context.Background(), req.ID, refusal)
	} else {
		err = conn.Reply(context.Background(), req.ID, answer)
	}
	if err != nil {
		_ = conn.Close()
	}
}
