// Package entry implements the calls between entry hosts as JSON-RPC 2.0. Each
// host uses one TCP connection for its calls to each other host.
//
// # Usage
//
// Each host is a server and a client of the other hosts:
//
//	s := &entry.Server{Listener: l, Peer: daemon}
//	err := s.Run(ctx)
//
//	c := &entry.Client{Addr: "10.0.0.2:7000"}
//	answer, err := c.Submit(ctx, request)
//
// # Errors
//
// A domain error of the other host is returned as the same domain error. A call
// for which no connection could be made returns hoist.ErrUnavailable; one whose
// connection failed before the reply returns hoist.ErrOutcomeUnknown.
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

// method is the JSON-RPC method name of a call.
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

// errorCode is the JSON-RPC error code of all domain errors. The data of the
// error holds the codec.Code, which tells them apart.
const errorCode = -32000

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// writeTimeout bounds one write. Without it, writes to a half-open connection
	// would block forever once its buffers are full.
	writeTimeout = 3 * time.Second
	// idleTimeout is the time without received data after which the server closes
	// a connection. Hosts send a heartbeat twice a second, so such a connection is
	// broken.
	idleTimeout = 10 * time.Second
	// maxRequests bounds the submits and dispatches in progress on a connection.
	// Further ones would only wait in queues that are full.
	maxRequests = 4096
	// maxMissedHeartbeats is the number of consecutive heartbeats that fail before
	// the connection counts as half-open and is replaced.
	maxMissedHeartbeats = 3
)

// Client makes calls to one other host. It connects on the first call and again
// after a failure. Its methods may be called concurrently.
type Client struct {
	Addr string
	// TLS returns the TLS configuration for a new connection; nil means plain
	// text.
	TLS func() *tls.Config

	mu               sync.Mutex
	conn             *jsonrpc2.Conn
	missedHeartbeats int
}

var _ hoist.Peer = (*Client)(nil)

// Close closes the connection. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Client) closeLocked() {
	if c.conn != nil {
		// The connection is discarded, so an error of Close has no effect.
		_ = c.conn.Close()
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
			c.closeLocked()
		default:
			return c.conn, nil
		}
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "host at %s", c.Addr)
	}
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: conn})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger))
	c.missedHeartbeats = 0
	return c.conn, nil
}

// dial opens a connection, including the TLS handshake.
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

// deadlineConn sets a deadline on each write and, if readTimeout is set, on each
// read of a connection.
type deadlineConn struct {
	net.Conn
	readTimeout time.Duration
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// discardLogger discards the log messages of the JSON-RPC library: a reply that
// arrives after its caller timed out is not an error, and the calls themselves
// report broken connections.
var discardLogger = log.New(io.Discard, "", 0)

// ignoreCalls is the handler of client connections. Servers make no calls, so it
// ignores them.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// call makes one call with the parameters in. Out is the wire type of the reply.
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
		// The peer does not read, and part of a message may have been written.
		c.drop(conn)
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return out, hoist.ConvertErrorf(hoist.ErrOutcomeUnknown, err, "%s at host %s", m, c.Addr)
	}
	return out, domainError(rpcErr)
}

// drop closes conn, so that the next call opens a new connection.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// domainError returns the domain error that the data of a JSON-RPC error names.
func domainError(rpcErr *jsonrpc2.Error) error {
	code := codec.CodeInternal
	if rpcErr.Data != nil {
		// If the code cannot be decoded, it remains CodeInternal: the outcome is
		// unknown.
		_ = json.Unmarshal(*rpcErr.Data, &code)
	}
	return codec.Error(code, rpcErr.Message)
}

// Heartbeat implements hoist.Peer. After maxMissedHeartbeats consecutive failures
// it closes the connection, which may be half-open, so that the next call opens a
// new one.
func (c *Client) Heartbeat(ctx context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	out, err := call[wire.Heartbeat](ctx, c, methodHeartbeat, codec.Heartbeat(h))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.missedHeartbeats = 0
		return codec.ToHeartbeat(out), nil
	}
	c.missedHeartbeats++
	if c.missedHeartbeats >= maxMissedHeartbeats {
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
	return c.callAnswer(ctx, methodSubmit, codec.Request(r), r.Key)
}

// Dispatch implements hoist.Peer.
func (c *Client) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	return c.callAnswer(ctx, methodDispatch, codec.Attempt(a), a.Request.Key)
}

// callAnswer makes a call that returns the answer to the request with the given
// key. An answer to another request, or one that does not match its digest, gives
// hoist.ErrOutcomeUnknown.
func (c *Client) callAnswer(ctx context.Context, m method, in any, key hoist.RequestKey) (hoist.Answer, error) {
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
			merry.PrependMessagef("host %s answered request %q with the answer to request %q", c.Addr, key, answer.Key))
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
