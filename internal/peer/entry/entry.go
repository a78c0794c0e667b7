// Package entry connects entry hosts with each other: JSON-RPC 2.0 over one TCP
// connection for each pair and direction.
//
// # Usage
//
// A host serves the others and calls them:
//
//	s := &entry.Server{Addr: "10.0.0.1:7000", Peer: daemon}
//	err := s.Run(ctx)
//
//	c := &entry.Client{Addr: "10.0.0.2:7000"}
//	answer, err := c.Submit(ctx, request)
//
// # Errors
//
// A domain error of the other host arrives as the same domain error. A call for
// which no connection could be made gives hoist.ErrUnavailable; one whose
// connection failed before the reply gives hoist.ErrOutcomeUnknown.
package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// method names a call between entry hosts.
type method string

// The calls between entry hosts.
const (
	methodHeartbeat method = "heartbeat"
	methodPromise   method = "promise"
	methodRelease   method = "release"
	methodClaim     method = "claim"
	methodHandover  method = "handover"
	methodSubmit    method = "submit"
	methodDispatch  method = "dispatch"
	methodSubmitJob method = "submit-job"
	methodReserve   method = "reserve"
	methodStart     method = "start"
	methodUnreserve method = "unreserve"
	methodStop      method = "stop"
	methodTaskEnded method = "task-ended"
	methodCancelJob method = "cancel-job"
	methodShowJobs  method = "show-jobs"
	methodSurvey    method = "survey"
	methodConfig    method = "config"
	methodReport    method = "report"
)

// errorCode is the JSON-RPC code of all errors of the scheduler; the domain
// error is named in the data.
const errorCode = -32000

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// writeTimeout bounds one write. A half-open connection takes no bytes once
	// its buffers are full, and writes would block for good.
	writeTimeout = 3 * time.Second
	// silentTimeout is how long the server waits for a byte before it closes a
	// connection. Hosts send a heartbeat twice a second.
	silentTimeout = 10 * time.Second
	// maxRequests bounds the submits and dispatches in progress on a
	// connection; more would only wait in queues that are full.
	maxRequests = 4096
	// maxMissed is how many heartbeats in a row may fail before the connection
	// counts as half-open and is replaced.
	maxMissed = 3
)

// Client calls one other host. It connects when first used and again after a
// failure. Its methods may be called concurrently.
type Client struct {
	Addr string
	// TLS returns the settings of a new connection; nil means plain text.
	TLS func() *tls.Config

	mu     sync.Mutex
	conn   *jsonrpc2.Conn
	missed int
}

var _ hoist.Peer = (*Client)(nil)

// Close breaks the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Client) closeLocked() {
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
			c.closeLocked()
		default:
			return c.conn, nil
		}
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	stream := jsonrpc2.NewPlainObjectStream(&boundedConn{Conn: conn})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, jsonrpc2.SetLogger(quiet))
	c.missed = 0
	return c.conn, nil
}

// dial makes a connection, the TLS handshake included.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	if c.TLS == nil {
		return dialer.DialContext(ctx, "tcp", c.Addr)
	}
	tlsDialer := tls.Dialer{NetDialer: &dialer, Config: c.TLS()}
	return tlsDialer.DialContext(ctx, "tcp", c.Addr)
}

// boundedConn is a connection whose writes, and reads if silent is set, give up
// after a time.
type boundedConn struct {
	net.Conn
	silent time.Duration
}

// Write implements net.Conn.
func (c *boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	if c.silent > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.silent)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// quiet drops the notices of the protocol library: a reply that comes after its
// caller gave up is no fault, and broken connections are reported by the calls.
var quiet = log.New(io.Discard, "", 0)

// refuseCalls is the handler of client connections, which receive no calls.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// call makes one call. Out is the wire type of the reply.
func call[Out any](ctx context.Context, c *Client, m method, in any) (Out, error) {
	var out Out
	conn, err := c.connection(ctx)
	if err != nil {
		return out, err
	}
	err = conn.Call(ctx, string(m), in, &out)
	if err == nil {
		return out, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The connection takes no more bytes and may hold half a message.
		c.drop(conn)
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return out, hoist.ConvertErrorf(hoist.ErrOutcomeUnknown, err, "%s at host %s", m, c.Addr)
	}
	return out, domainError(rpcErr)
}

// drop closes conn and forgets it if it is still the current connection.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

func domainError(rpcErr *jsonrpc2.Error) error {
	code := codec.CodeInternal
	if rpcErr.Data != nil {
		// An unreadable code leaves the outcome unknown.
		_ = json.Unmarshal(*rpcErr.Data, &code)
	}
	return codec.Error(code, rpcErr.Message)
}

// Heartbeat implements hoist.Peer. After several failures in a row the
// connection is replaced, as it may be half-open.
func (c *Client) Heartbeat(ctx context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	out, err := call[wire.Heartbeat](ctx, c, methodHeartbeat, codec.Heartbeat(h))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.missed = 0
		return codec.ToHeartbeat(out), nil
	}
	c.missed++
	if c.missed >= maxMissed {
		c.closeLocked()
	}
	return hoist.Heartbeat{}, err
}

// Promise implements hoist.Peer.
func (c *Client) Promise(ctx context.Context, l hoist.LeaseRef) (bool, error) {
	out, err := call[wire.Vote](ctx, c, methodPromise, codec.LeaseRef(l))
	return out.Granted, err
}

// Release implements hoist.Peer.
func (c *Client) Release(ctx context.Context, l hoist.LeaseRef) (bool, error) {
	out, err := call[wire.Vote](ctx, c, methodRelease, codec.LeaseRef(l))
	return out.Granted, err
}

// Claim implements hoist.Peer.
func (c *Client) Claim(ctx context.Context, claim hoist.Claim) error {
	_, err := call[wire.Empty](ctx, c, methodClaim, codec.Claim(claim))
	return err
}

// Handover implements hoist.Peer.
func (c *Client) Handover(ctx context.Context, h hoist.Handover) error {
	_, err := call[wire.Empty](ctx, c, methodHandover, codec.Handover(h))
	return err
}

// Submit implements hoist.Peer.
func (c *Client) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	return c.answer(ctx, methodSubmit, codec.Request(r), r.Key)
}

// Dispatch implements hoist.Peer.
func (c *Client) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	return c.answer(ctx, methodDispatch, codec.Attempt(a), a.Request.Key)
}

// answer makes a call that returns an answer, which must be to key.
func (c *Client) answer(ctx context.Context, m method, in any, key hoist.RequestKey) (hoist.Answer, error) {
	out, err := call[wire.Answer](ctx, c, m, in)
	if err != nil {
		return hoist.Answer{}, err
	}
	answer, err := codec.ToAnswer(out)
	if err != nil {
		return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	}
	if answer.Key != key {
		return hoist.Answer{}, merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("host %s answered %q with the answer to %q", c.Addr, key, answer.Key))
	}
	return answer, nil
}

// SubmitJob implements hoist.Peer.
func (c *Client) SubmitJob(ctx context.Context, s hoist.JobSpec) error {
	_, err := call[wire.Empty](ctx, c, methodSubmitJob, codec.JobSpec(s))
	return err
}

// Config implements hoist.Peer.
func (c *Client) Config(ctx context.Context, version hoist.ConfigVersion) ([]byte, error) {
	out, err := call[wire.ConfigDocument](ctx, c, methodConfig, wire.ConfigRequest{Version: int(version)})
	return []byte(out.Document), err
}

// Report implements hoist.Peer.
func (c *Client) Report(ctx context.Context) (hoist.HostReport, error) {
	out, err := call[wire.HostReport](ctx, c, methodReport, wire.Empty{})
	return codec.ToHostReport(out), err
}
