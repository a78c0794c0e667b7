package helper

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// methodRelayCalls and methodRelayAnswers are notifications, which carry several
	// calls to workers and several answers.
	methodRelayCalls   = "relay-calls"
	methodRelayAnswers = "relay-answers"
	methodRelayPing    = "relay-ping"
	// relayMargin is how much longer a call through a relay may take than the call of
	// the relay to the worker.
	relayMargin = 200 * time.Millisecond
	// relayCallTimeout bounds a call without a deadline.
	relayCallTimeout = 2 * time.Second
)

// notify sends a batch as a notification.
func notify[T rows.RelayCalls | rows.RelayAnswers](ctx context.Context, conn *jsonrpc2.Conn, method string, v T) error {
	batch, err := codec.EncodeRelayBatch(v)
	if err != nil {
		return err
	}
	return conn.Notify(ctx, method, batch)
}

// decodeBatch decodes the parameters of a notification.
func decodeBatch[T rows.RelayCalls | rows.RelayAnswers](req *jsonrpc2.Request, method string) (T, error) {
	batch, err := decodeParams[rows.RelayBatch](req, method)
	if err != nil {
		var none T
		return none, err
	}
	return codec.DecodeRelayBatch[T](batch)
}

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
		return hoist.ConvertErrorf(hoist.ErrUnavailable, err, "relay at %s", r.Addr)
	}
	var pong rows.RelayPong
	if err := conn.rpc.Call(ctx, methodRelayPing, struct{}{}, &pong); err != nil {
		return hoist.ConvertErrorf(hoist.ErrOutcomeUnknown, err, "relay at %s", r.Addr)
	}
	if pong.Leaving {
		return hoist.ErrLeaving
	}
	return nil
}

// Close implements hoist.Relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		// The connection is discarded, so an error of Close has no effect.
		_ = r.conn.rpc.Close()
		r.conn = nil
	}
}

// connection returns the open connection, or opens one if there is none.
func (r *Relay) connection(ctx context.Context) (*relayConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		select {
		case <-r.conn.rpc.DisconnectNotify():
		default:
			return r.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, err
	}
	r.conn = newRelayConn(context.WithoutCancel(ctx), conn)
	return r.conn, nil
}

// relayConn is a connection to a relay with the calls in progress on it.
type relayConn struct {
	rpc *jsonrpc2.Conn
	out outbox[rows.RelayCall]

	mu      sync.Mutex
	lastID  int
	pending map[int]chan rows.RelayAnswer
}

func newRelayConn(ctx context.Context, conn net.Conn) *relayConn {
	c := &relayConn{pending: make(map[int]chan rows.RelayAnswer)}
	c.out.send = func(calls []rows.RelayCall) {
		if notify(ctx, c.rpc, methodRelayCalls, rows.RelayCalls{Calls: calls}) != nil {
			// The calls end once the connection is closed.
			_ = c.rpc.Close()
		}
	}
	c.rpc = jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), c, jsonrpc2.SetLogger(discardLogger))
	return c
}

// Handle implements jsonrpc2.Handler. It passes answers on to the calls that wait for
// them.
func (c *relayConn) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	answers, err := decodeBatch[rows.RelayAnswers](req, methodRelayAnswers)
	if err != nil {
		// The calls end when their time is over.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range answers.Answers {
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
	case <-c.rpc.DisconnectNotify():
		return rows.RelayAnswer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, jsonrpc2.ErrClosed)
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
		Run: codec.RelayRun(o.Run), Term: int(o.Term), Payload: o.Payload, LeaseUs: codec.ClockMicros(o.Lease),
		Saved: string(o.Saved), Ticket: string(o.Ticket),
	}})
	if answer.ClockUs == nil {
		return 0, err
	}
	return codec.ToWorkerClock(*answer.ClockUs), err
}

// Stop implements hoist.Runner.
func (r *relayedRunner) Stop(ctx context.Context, run hoist.TaskRun, term hoist.Term) error {
	_, err := r.call(ctx, rows.RelayCall{Stop: &rows.RelayStop{Run: codec.RelayRun(run), Term: int(term)}})
	return err
}

// Throttle implements hoist.Runner.
func (r *relayedRunner) Throttle(ctx context.Context, run hoist.TaskRun, term hoist.Term, share hoist.Percent) error {
	_, err := r.call(ctx, rows.RelayCall{Pace: &rows.RelayPace{Run: codec.RelayRun(run), Term: int(term), Percent: float64(share)}})
	return err
}

// Poll implements hoist.Runner.
func (r *relayedRunner) Poll(ctx context.Context, o hoist.PollRequest) (hoist.RunnerReport, error) {
	answer, err := r.call(ctx, rows.RelayCall{Poll: &rows.RelayPoll{
		Term: int(o.Term), Acked: int(o.Acked), EnablesAcks: o.EnablesAcks, LeaseUs: codec.ClockMicros(o.Lease), WaitMs: int(o.Wait.Milliseconds()),
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
		return rows.RelayAnswer{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "relay at %s", r.relay.Addr)
	}
	return conn.call(callCtx, call)
}
