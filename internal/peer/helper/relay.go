package helper

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// relayPreamble is the first byte on a connection between an owner and a relay. The
	// messages of JSON-RPC, which the other calls use, begin with another one.
	relayPreamble = 'R'
	// relayMargin is how much longer a call through a relay may take than the call of
	// the relay to the worker.
	relayMargin = 200 * time.Millisecond
	// relayCallTimeout bounds a call without a deadline.
	relayCallTimeout = 2 * time.Second
	// relayWriteTimeout bounds the write of a message to a peer that does not read.
	relayWriteTimeout = 2 * time.Second
)

// Relay is a client of another host that calls workers for the owner of the cell. It
// connects on the first call and again after a failure.
type Relay struct {
	Addr string

	mu   sync.Mutex
	conn *relayConn
}

var _ hoist.Relay = (*Relay)(nil)

// Runner implements hoist.Relay.
func (r *Relay) Runner(e hoist.WorkerEntry) hoist.Runner {
	return &relayedRunner{relay: r, worker: string(e.Worker), addr: e.Addr}
}

// Ping implements hoist.Relay.
func (r *Relay) Ping(ctx context.Context) error {
	conn, err := r.connection(ctx)
	if err != nil {
		return err
	}
	answer, err := conn.call(ctx, rows.RelayCall{})
	if err == nil && answer.Leaving != nil && *answer.Leaving {
		return hoist.ErrLeaving
	}
	return err
}

// Close implements hoist.Relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.close()
		r.conn = nil
	}
}

// connection returns the open connection, or opens one if there is none. Its error is
// hoist.ErrUnavailable.
func (r *Relay) connection(ctx context.Context) (*relayConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && !r.conn.isClosed() {
		return r.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.Addr)
	if err == nil {
		_, err = conn.Write([]byte{relayPreamble})
	}
	if err != nil {
		return nil, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "relay at %s", r.Addr)
	}
	r.conn = newRelayConn(conn)
	return r.conn, nil
}

// relayConn is a connection to a relay with the calls in progress on it.
type relayConn struct {
	conn net.Conn
	out  outbox[rows.RelayCall]
	// closed is closed when the connection is.
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	lastID  int
	pending map[int]chan rows.RelayAnswer
}

func newRelayConn(conn net.Conn) *relayConn {
	c := &relayConn{conn: conn, closed: make(chan struct{}), pending: make(map[int]chan rows.RelayAnswer)}
	c.out.send = func(calls []rows.RelayCall) {
		if writeMessage(conn, rows.RelayCalls{Calls: calls}) != nil {
			c.close()
		}
	}
	go c.read()
	return c
}

// writeMessage writes a message of a relay connection.
func writeMessage[T rows.RelayCalls | rows.RelayAnswers](conn net.Conn, v T) error {
	encoded, err := codec.EncodeRelayMessage(v)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(relayWriteTimeout)); err != nil {
		return err
	}
	_, err = conn.Write(encoded)
	return err
}

func (c *relayConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		// The connection is discarded, so an error of Close has no effect.
		_ = c.conn.Close()
	})
}

func (c *relayConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// read passes answers on to the calls that wait for them, until the connection ends.
func (c *relayConn) read() {
	defer c.close()
	decoder := codec.NewRelayDecoder(c.conn)
	for {
		var message rows.RelayAnswers
		if decoder.Decode(&message) != nil {
			return
		}
		c.deliver(message.Answers)
	}
}

func (c *relayConn) deliver(answers []rows.RelayAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range answers {
		if waiting, ok := c.pending[a.Id]; ok {
			delete(c.pending, a.Id)
			waiting <- a
		}
	}
}

// register returns the id of a new call and the channel that receives its answer.
func (c *relayConn) register() (int, chan rows.RelayAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answer := make(chan rows.RelayAnswer, 1)
	c.pending[c.lastID] = answer
	return c.lastID, answer
}

func (c *relayConn) forget(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// call makes a call to a worker through the relay. The error is hoist.ErrUnavailable if
// the call was certainly not passed on, hoist.ErrOutcomeUnknown if it may be, or that
// of the worker.
func (c *relayConn) call(ctx context.Context, call rows.RelayCall) (rows.RelayAnswer, error) {
	id, answered := c.register()
	defer c.forget(id)
	call.Id = id
	if err := c.out.add(call); err != nil {
		return rows.RelayAnswer{}, err
	}
	select {
	case a := <-answered:
		return a, answerError(a)
	case <-c.closed:
		return rows.RelayAnswer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, net.ErrClosed)
	case <-ctx.Done():
		return rows.RelayAnswer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// answerError returns the error in an answer, or nil after success.
func answerError(a rows.RelayAnswer) error {
	if a.Code == nil {
		return nil
	}
	message := ""
	if a.Error != nil {
		message = *a.Error
	}
	return codec.Error(codec.Code(*a.Code), message)
}

// relayedRunner implements hoist.Runner by calls through a relay.
type relayedRunner struct {
	relay  *Relay
	worker string
	addr   string
}

// Start implements hoist.Runner.
func (r *relayedRunner) Start(ctx context.Context, o hoist.StartRequest) (hoist.WorkerClock, error) {
	answer, err := r.call(ctx, rows.RelayCall{Start: &rows.RelayStart{
		Run: codec.RelayRun(o.Run), Term: int(o.Token), Payload: o.Payload, LeaseUs: codec.ClockMicros(o.Lease),
		Saved: string(o.Saved), Ticket: string(o.Ticket),
	}})
	if answer.ClockUs == nil {
		return hoist.UnknownClock, err
	}
	return codec.ToWorkerClock(*answer.ClockUs), err
}

// Stop implements hoist.Runner.
func (r *relayedRunner) Stop(ctx context.Context, run hoist.TaskRun, token hoist.FencingToken) error {
	_, err := r.call(ctx, rows.RelayCall{Stop: &rows.RelayStop{Run: codec.RelayRun(run), Term: int(token)}})
	return err
}

// Throttle implements hoist.Runner.
func (r *relayedRunner) Throttle(ctx context.Context, run hoist.TaskRun, token hoist.FencingToken, share hoist.Percent) error {
	_, err := r.call(ctx, rows.RelayCall{Pace: &rows.RelayPace{Run: codec.RelayRun(run), Term: int(token), Percent: float64(share)}})
	return err
}

// Poll implements hoist.Runner.
func (r *relayedRunner) Poll(ctx context.Context, o hoist.PollRequest) (hoist.RunnerReport, error) {
	incarnation := int(o.Incarnation)
	answer, err := r.call(ctx, rows.RelayCall{Poll: &rows.RelayPoll{
		Term: int(o.Token), Acked: int(o.Acked), Incarnation: &incarnation, EnablesAcks: o.EnablesAcks, LeaseUs: codec.ClockMicros(o.Lease), WaitMs: int(o.Wait.Milliseconds()),
	}})
	switch {
	case err != nil:
		return hoist.RunnerReport{}, err
	case answer.Report == nil:
		return hoist.RunnerReport{}, hoist.ErrOutcomeUnknown
	default:
		return codec.ToRunnerReport(*answer.Report), nil
	}
}

// Close implements hoist.Runner. The connection is that of the relay.
func (*relayedRunner) Close() {}

// call makes a call to the worker. The relay gets the time that is left until the
// deadline of ctx, and the answer a little longer.
func (r *relayedRunner) call(ctx context.Context, call rows.RelayCall) (rows.RelayAnswer, error) {
	limit := relayCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = max(time.Millisecond, time.Until(deadline))
	}
	call.Worker, call.Addr, call.TimeoutMs = r.worker, r.addr, int(limit.Milliseconds())
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit+relayMargin)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	conn, err := r.relay.connection(callCtx)
	if err != nil {
		return rows.RelayAnswer{}, err
	}
	return conn.call(callCtx, call)
}
