// Package helper lets entry hosts put questions to advisers for each other, and
// watch the one that owns the cell: JSON-RPC 2.0 over TCP connections. Pulses have
// a connection of their own, so that no answer of an adviser delays them.
//
// # Usage
//
//	s := &helper.Server{Listener: l, Adviser: adviser, Health: manager.Health}
//	err := s.Run(ctx)
//
//	c := &helper.Client{Addr: "10.0.0.2:7720"}
//	advice, err := c.Advise(ctx, step, workers)
//	health, err := c.CheckHealth(ctx, id)
package helper

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	methodAdvise = "advise"
	methodPulse  = "pulse"
	// dialTimeout bounds the making of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxCalls bounds the questions in progress on a connection; more would
	// only wait at the adviser.
	maxCalls = 32
	// errorCode is the JSON-RPC code of all errors.
	errorCode = -32000
)

// quiet drops the library's own messages; errors reach the caller.
var quiet = log.New(io.Discard, "", 0)

// Client asks one other host. It connects when first used and again after a
// failure. Its methods may be called concurrently.
type Client struct {
	Addr string

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

var (
	_ hoist.Adviser       = (*Client)(nil)
	_ hoist.HealthChecker = (*Client)(nil)
)

// Advise implements hoist.Adviser. Any failure is hoist.ErrUnavailable: a
// question has no effect.
func (c *Client) Advise(ctx context.Context, step hoist.StepRef, workers []hoist.WorkerID) (hoist.Advice, error) {
	conn, err := c.connection(ctx)
	if err != nil {
		return hoist.Advice{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	question := rows.Question{
		Job: string(step.Job), Occurrence: int(step.Occurrence), Step: int(step.Step), Workers: codec.Strings(workers),
	}
	var answer rows.Advice
	if err := conn.Call(ctx, methodAdvise, question, &answer); err != nil {
		// The connection may have gone silent; the next question makes a new one.
		c.Close()
		return hoist.Advice{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	advice := hoist.Advice{Good: make(map[hoist.WorkerID]hoist.Ticket), Valid: time.Duration(answer.ValidMs) * time.Millisecond}
	for id, ticket := range answer.Tickets {
		advice.Good[hoist.WorkerID(id)] = hoist.Ticket(ticket)
	}
	return advice, nil
}

// CheckHealth implements hoist.HealthChecker. A connection that breaks is made anew once, to
// find out whether a process still listens at the address.
func (c *Client) CheckHealth(ctx context.Context, from hoist.HostID) (hoist.HostHealth, error) {
	var answer rows.Pulse
	call := func() error {
		conn, err := c.connection(ctx)
		if err != nil {
			return err
		}
		if err := conn.Call(ctx, methodPulse, rows.PulseQuestion{Host: string(from)}, &answer); err != nil {
			c.Close()
			return err
		}
		return nil
	}
	err := call()
	if err != nil && ctx.Err() == nil {
		err = call()
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return hoist.HostHealth{}, hoist.ConvertErrorf(hoist.ErrNotListening, err, "host at %s", c.Addr)
	case err != nil:
		return hoist.HostHealth{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	return hoist.HostHealth{
		Term: hoist.Term(answer.Term), SinceRenewal: micros(answer.RenewedUs), RenewalVersion: hoist.RowVersion(answer.Beat),
		StoreAge: micros(answer.StoreAgeUs), IsStoreLost: answer.StoreLost,
	}, nil
}

func micros(n int) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// Close breaks the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		// A failed close leaves nothing to do.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connection returns the open connection, making one if there is none.
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
	// The connection outlives the call that needed it first.
	stream := jsonrpc2.NewPlainObjectStream(conn)
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, refuse{}, jsonrpc2.SetLogger(quiet))
	return c.conn, nil
}

// refuse answers the calls of a server; servers make none.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Server serves the calls of other hosts.
type Server struct {
	Listener net.Listener
	Adviser  hoist.Adviser
	// Health answers a host that watches this one.
	Health func(from hoist.HostID) hoist.HostHealth
}

// Run serves until ctx ends, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer context.AfterFunc(ctx, func() { _ = s.Listener.Close() })()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return merry.Prepend(err, "accepting connections of other hosts")
		}
		wg.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	calls := &calls{ctx: ctx, server: s, slots: make(chan struct{}, maxCalls)}
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(conn), calls, jsonrpc2.SetLogger(quiet))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
	calls.running.Wait()
}

// calls are those in progress on one connection.
type calls struct {
	ctx     context.Context
	server  *Server
	slots   chan struct{}
	running sync.WaitGroup
}

// Handle implements jsonrpc2.Handler.
func (c *calls) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodPulse {
		answer, err := c.pulse(req)
		reply(conn, req, answer, err)
		return
	}
	select {
	case c.slots <- struct{}{}:
	default:
		reply(conn, req, rows.Advice{}, hoist.ErrOverLimit)
		return
	}
	c.running.Go(func() {
		defer func() { <-c.slots }()
		answer, err := c.advise(req)
		reply(conn, req, answer, err)
	})
}

// params decodes the parameters of a call.
func params[T any](req *jsonrpc2.Request, method string) (T, error) {
	var v T
	if req.Method != method || req.Params == nil {
		return v, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("method %q", req.Method))
	}
	if err := json.Unmarshal(*req.Params, &v); err != nil {
		return v, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	return v, nil
}

func (c *calls) pulse(req *jsonrpc2.Request) (rows.Pulse, error) {
	q, err := params[rows.PulseQuestion](req, methodPulse)
	if err != nil {
		return rows.Pulse{}, err
	}
	p := c.server.Health(hoist.HostID(q.Host))
	return rows.Pulse{
		Term: int(p.Term), RenewedUs: int(p.SinceRenewal.Microseconds()), Beat: int(p.RenewalVersion),
		StoreAgeUs: int(p.StoreAge.Microseconds()), StoreLost: p.IsStoreLost,
	}, nil
}

func (c *calls) advise(req *jsonrpc2.Request) (rows.Advice, error) {
	q, err := params[rows.Question](req, methodAdvise)
	if err != nil {
		return rows.Advice{}, err
	}
	step := hoist.StepRef{Job: hoist.JobID(q.Job), Occurrence: hoist.Occurrence(q.Occurrence), Step: hoist.StepNo(q.Step)}
	advice, err := c.server.Adviser.Advise(c.ctx, step, codec.IDs[hoist.WorkerID](q.Workers))
	if err != nil {
		return rows.Advice{}, err
	}
	answer := rows.Advice{Tickets: make(rows.AdviceTickets), ValidMs: int(advice.Valid.Milliseconds())}
	for id, ticket := range advice.Good {
		answer.Tickets[string(id)] = string(ticket)
	}
	return answer, nil
}

// reply answers a call. A connection that takes no reply is closed.
func reply[T any](conn *jsonrpc2.Conn, req *jsonrpc2.Request, answer T, err error) {
	if err != nil {
		err = conn.ReplyWithError(context.Background(), req.ID, &jsonrpc2.Error{Code: errorCode, Message: err.Error()})
	} else {
		err = conn.Reply(context.Background(), req.ID, answer)
	}
	if err != nil {
		_ = conn.Close()
	}
}
