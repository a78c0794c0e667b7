// Package gate bounds the connections of the clients of a listener and the memory of
// their requests. Package admit decides whom to refuse.
//
// # Usage
//
//	g := &gate.Gate{Limits: limits, Factor: gate.HeaderFactor, Port: "front", Log: logger, Count: count}
//	server := http.Server{ConnState: g.ConnState, ConnContext: g.ConnContext}
//	err := server.Serve(g.Listen(listener))
//
//	conn := gate.ConnOf(request.Context()) // nil without a gate, which bounds nothing
//	body, err := gate.ReadBody(request, maxBytes, deadline)
package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/admit"
)

// ErrRefused reports a request that was refused because the clients of this host need
// more than it has for them, or because it did not arrive in time.
var ErrRefused = merry.Sentinel("refused: this host has too many requests, or the request is too slow")

// Cause is why a client was refused or its connection closed.
type Cause string

// The causes.
const (
	CauseConns    Cause = "connections"
	CauseMemory   Cause = "memory"
	CauseHeader   Cause = "slow-header"
	CauseBody     Cause = "slow-body"
	CauseResponse Cause = "unread-response"
	CauseIdle     Cause = "idle"
)

const (
	// admitRetryDelay is the time between two decisions about a connection that waits.
	admitRetryDelay = 50 * time.Millisecond
	// minAcceptDelay and maxAcceptDelay bound the time after which accepting is tried
	// again, which fails at once without a free descriptor.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// HeaderFactor is how many times its own size an HTTP header takes once it is parsed:
	// a field of 6 bytes takes an entry of a map, a string and a list.
	HeaderFactor = 20
	// MessageFactor is the same for the messages between hosts: the buffer of the decoder,
	// its growth, and the decoded message.
	MessageFactor = 4
	// refusalTimeout bounds the time to take the response to a refused request. No other
	// connection is closed for a new one until this one has ended.
	refusalTimeout = 500 * time.Millisecond
	// logInterval is the least time between two log lines of a gate.
	logInterval = 10 * time.Second
)

// Gate is the state of the clients of one port. Set the exported fields before use.
type Gate struct {
	Limits admit.Limits
	// Factor is how many times its own size a header or message takes while it is decoded.
	Factor admit.Bytes
	// WriteTimeout bounds each write; 0 leaves that to the server.
	WriteTimeout time.Duration
	// Port names the port in logs and metrics.
	Port string
	Log  *slog.Logger
	// Count is called for each client that is refused or closed; it may be nil. It must
	// not call the gate.
	Count func(port string, cause Cause)

	once    sync.Once
	changed chan struct{}

	mu      sync.Mutex
	clients *admit.Clients[*Conn]
	// ended counts what was not logged yet, since loggedAt.
	ended    map[Cause]int
	loggedAt time.Time
	// isLogDue is set while a timer is going to log ended.
	isLogDue bool
}

func (g *Gate) init() {
	g.once.Do(func() {
		g.changed = make(chan struct{}, 1)
		g.clients = admit.New[*Conn](g.Limits)
		g.ended = make(map[Cause]int)
	})
}

// Usage returns the number of open connections and the bytes held for their requests.
func (g *Gate) Usage() (conns int, held admit.Bytes) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clients.Usage()
}

// record counts n clients that were refused or closed, and logs the sums now or at the end
// of the interval since the last line. n may be 0, as most requests find enough memory. The
// mutex is held.
func (g *Gate) record(cause Cause, n int) {
	if n == 0 {
		// A log line means that a client was refused.
		return
	}
	if g.Count != nil {
		for range n {
			g.Count(g.Port, cause)
		}
	}
	if cause == CauseIdle {
		// It is the usual end of a connection.
		return
	}
	g.ended[cause] += n
	if g.isLogDue {
		return
	}
	if wait := logInterval - time.Since(g.loggedAt); wait > 0 {
		g.isLogDue = true
		time.AfterFunc(wait, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.logEnded()
		})
		return
	}
	g.logEnded()
}

// logEnded logs what was not logged yet. The mutex is held.
func (g *Gate) logEnded() {
	conns, held := g.clients.Usage()
	args := []any{"port", g.Port, "connections", conns, "bytes", held}
	for cause, n := range g.ended {
		args = append(args, string(cause), n)
	}
	events.ClientsRefused.Log(context.Background(), g.Log, args...)
	g.loggedAt, g.isLogDue = time.Now(), false
	clear(g.ended)
}

// signal wakes a connection that waits to be admitted.
func (g *Gate) signal() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// admit decides about a new connection.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	victim, verdict := g.clients.Open(c, time.Now())
	if verdict == admit.Evict {
		g.record(CauseConns, 1)
		g.end(victim)
	}
	return verdict == admit.Admitted
}

// end ends a victim. The mutex is held. A client whose body arrives gets a response, as
// nothing of its request has been handled.
func (g *Gate) end(c *Conn) {
	if phase, ok := g.clients.PhaseOf(c); ok && phase == admit.Reading {
		c.refuse()
		return
	}
	// Whoever uses the connection closes it again, which removes it from the clients.
	_ = c.Conn.Close()
}

// hold reserves memory for the request on a connection.
func (g *Gate) hold(c *Conn, n admit.Bytes) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdLocked(c, n)
}

// holdLocked is hold while the mutex is held.
func (g *Gate) holdLocked(c *Conn, n admit.Bytes) error {
	victims, ok := g.clients.Hold(c, n, time.Now())
	for _, victim := range victims {
		g.end(victim)
	}
	if ok {
		g.record(CauseMemory, len(victims))
		return nil
	}
	g.record(CauseMemory, len(victims)+1)
	return ErrRefused
}

// setPhase returns ErrRefused if the connection is a victim.
func (g *Gate) setPhase(c *Conn, p admit.Phase) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.clients.SetPhase(c, p, time.Now()) {
		return ErrRefused
	}
	return nil
}

// beginRequest records that a request with a header of the given size is handled from now
// on.
func (g *Gate) beginRequest(c *Conn, header admit.Bytes) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.clients.SetPhase(c, admit.Working, time.Now()) {
		return ErrRefused
	}
	if missing := g.clients.Shrink(c, header*max(1, g.Factor)); missing > 0 {
		return g.holdLocked(c, missing)
	}
	return nil
}

// phaseOf returns the phase of a connection.
func (g *Gate) phaseOf(c *Conn) admit.Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, _ := g.clients.PhaseOf(c)
	return p
}

// arrived records bytes that were read. Those of headers need memory.
func (g *Gate) arrived(c *Conn, n int) error {
	switch g.phaseOf(c) {
	case admit.Idle:
		if err := g.setPhase(c, admit.Header); err != nil {
			return err
		}
	case admit.Header:
	default:
		return nil
	}
	return g.hold(c, admit.Bytes(n)*max(1, g.Factor))
}

// timedOut records that a client was too slow.
func (g *Gate) timedOut(c *Conn, isWrite bool) {
	cause := CauseHeader
	switch phase := g.phaseOf(c); {
	case isWrite:
		cause = CauseResponse
	case phase == admit.Idle:
		cause = CauseIdle
	case phase != admit.Header:
		cause = CauseBody
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(cause, 1)
}

// ConnState implements the hook of http.Server.
func (g *Gate) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	// A victim is ended already.
	switch state {
	case http.StateActive:
		_ = g.setPhase(conn, admit.Working)
	case http.StateIdle:
		_ = g.setPhase(conn, admit.Idle)
		g.signal()
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext implements the hook of http.Server.
func (*Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil without a gate.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Listen returns a listener that admits connections of l. Its Accept does not return
// errors that pass, such as a lack of descriptors.
func (g *Gate) Listen(l net.Listener) net.Listener {
	g.init()
	return &listener{Listener: l, gate: g, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	gate      *Gate
	closed    chan struct{}
	closeOnce sync.Once
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener. It returns a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.acceptRaw()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, gate: l.gate}
	for !l.gate.admit(c) {
		select {
		case <-l.gate.changed:
		case <-time.After(admitRetryDelay):
		case <-l.closed:
			_ = raw.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// acceptRaw accepts a connection. After an error it waits, as the reason may pass: a lack
// of descriptors or memory, or a client that has gone.
func (l *listener) acceptRaw() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		raw, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return raw, err
		}
		events.AcceptFailed.Log(context.Background(), l.gate.Log, "port", l.gate.Port, "error", err, "delay", delay)
		select {
		case <-time.After(delay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Conn is an admitted connection. The methods that are not of net.Conn have no effect on
// a nil connection.
type Conn struct {
	net.Conn
	gate      *Gate
	closeOnce sync.Once

	mu        sync.Mutex
	isRefused bool
	// isAborted is set while the server itself ends a read.
	isAborted bool
}

// abortDeadline is later than the deadline by which net/http ends its own read that waits
// for the client to go away, after each request: 1 s after the epoch.
var abortDeadline = time.Unix(2, 0)

// refuse makes all reads fail from now on, and writes after refusalTimeout.
func (c *Conn) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRefused = true
	// If this fails, the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// SetReadDeadline implements net.Conn. It has no effect on a victim.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRefused {
		return nil
	}
	c.isAborted = !t.IsZero() && t.Before(abortDeadline)
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.wasEnded() {
		c.gate.timedOut(c, false)
	}
	if n > 0 {
		if err := c.gate.arrived(c, n); err != nil {
			// net/http answers other errors with 400, as if the request were wrong.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
	}
	return n, err
}

// wasEnded reports whether reads fail because the host refused the request or ended the
// read, rather than because the client is slow.
func (c *Conn) wasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRefused || c.isAborted
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.extendWrite()
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.timedOut(c, true)
	}
	return n, err
}

// extendWrite bounds the next write, unless the request was refused.
func (c *Conn) extendWrite() {
	timeout := c.gate.WriteTimeout
	if timeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isRefused {
		// If this fails, the write does too.
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
	}
}

// CloseWrite ends the sending side, if the connection supports that. net/http uses it so
// that a client that still sends reads its response before the connection is reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.gate.mu.Lock()
		c.gate.clients.Close(c)
		c.gate.mu.Unlock()
		c.gate.signal()
	})
	return err
}

// Of returns c if it was admitted by a gate, or else nil.
func Of(c net.Conn) *Conn {
	admitted, _ := c.(*Conn)
	return admitted
}

// SetPhase records what the connection is used for from now on. It returns ErrRefused if
// the request on it was refused and must not be handled.
func (c *Conn) SetPhase(p admit.Phase) error {
	if c == nil {
		return nil
	}
	return c.gate.setPhase(c, p)
}

// Hold reserves memory for the request until it has been answered. It returns ErrRefused
// if the request is refused.
func (c *Conn) Hold(n admit.Bytes) error {
	if c == nil {
		return nil
	}
	return c.gate.hold(c, n)
}
