package helper

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/decide/admit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// workRelay names a call to a worker for the owner, in logs and metrics.
	workRelay guard.Work = "relay"
	// maxRelayCalls bounds the calls to workers in progress on a connection.
	maxRelayCalls = 4096
	// runnerIdleTime is how long the client of a worker is kept without a call.
	runnerIdleTime = 20 * time.Second
)

// runners holds the clients of the workers that this host calls for the owner of the
// cell. Its methods may be called concurrently.
type runners struct {
	dial func(hoist.WorkerEntry) hoist.Runner

	mu      sync.Mutex
	clients map[runnerKey]*runnerClient
}

// runnerKey identifies a worker at an address.
type runnerKey struct {
	worker hoist.WorkerID
	addr   string
}

type runnerClient struct {
	hoist.Runner
	// calls counts the calls in progress.
	calls    int
	lastUsed time.Time
}

// use returns the client of a worker. The caller must call release after its call.
func (r *runners) use(key runnerKey) (runner hoist.Runner, release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients == nil {
		r.clients = make(map[runnerKey]*runnerClient)
	}
	c, ok := r.clients[key]
	if !ok {
		c = &runnerClient{Runner: r.dial(hoist.WorkerEntry{Worker: key.worker, Addr: key.addr})}
		r.clients[key] = c
	}
	c.calls++
	return c.Runner, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		c.calls--
		c.lastUsed = time.Now()
	}
}

// closeIdle closes the clients that have not been used for some time, until ctx ends.
func (r *runners) closeIdle(ctx context.Context) {
	for clock.Sleep(ctx, runnerIdleTime/2) {
		r.mu.Lock()
		for key, c := range r.clients {
			if c.calls == 0 && time.Since(c.lastUsed) > runnerIdleTime {
				delete(r.clients, key)
				c.Close()
			}
		}
		r.mu.Unlock()
	}
}

// relayServer makes the calls to workers that the owner of the cell asks for on one
// connection.
type relayServer struct {
	ctx     context.Context
	server  *Server
	conn    net.Conn
	answers outbox[rows.RelayAnswer]
	// slots bounds the calls in progress.
	slots   chan struct{}
	running sync.WaitGroup
}

// serveRelay serves a connection of the owner of the cell until it ends, or ctx does.
func (s *Server) serveRelay(ctx context.Context, conn net.Conn, in io.Reader) {
	r := &relayServer{ctx: ctx, server: s, conn: conn, slots: make(chan struct{}, maxRelayCalls)}
	defer r.running.Wait()
	defer context.AfterFunc(ctx, r.close)()
	defer r.close()
	r.answers.send = func(answers []rows.RelayAnswer) {
		if writeMessage(conn, rows.RelayAnswers{Answers: answers}) != nil {
			r.close()
		}
	}
	decoder := codec.NewRelayDecoder(in)
	for {
		var message rows.RelayCalls
		if gate.Of(conn).SetPhase(admit.Idle) != nil {
			return
		}
		if decoder.Decode(&message) != nil {
			return
		}
		for _, call := range message.Calls {
			r.serve(call)
		}
	}
}

func (r *relayServer) close() {
	// The connection is discarded, so an error of Close has no effect.
	_ = r.conn.Close()
}

// serve makes a call in a goroutine of its own.
func (r *relayServer) serve(call rows.RelayCall) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.answer(rows.RelayAnswer{Id: call.Id}, hoist.ErrUnavailable)
		return
	}
	r.running.Go(func() {
		defer func() { <-r.slots }()
		answer, err := rows.RelayAnswer{}, hoist.ErrOutcomeUnknown
		panicked := r.server.Guard.Do(r.ctx, workRelay, func() { answer, err = r.call(call) })
		if panicked != nil {
			err = panicked
		}
		answer.Id = call.Id
		r.answer(answer, err)
	})
}

// answer sends the answer to a call.
func (r *relayServer) answer(a rows.RelayAnswer, err error) {
	if err != nil {
		code, message := string(codec.ErrorCode(err)), err.Error()
		a.Code, a.Error = &code, &message
	}
	// If too many answers wait, the call ends when its time is over.
	_ = r.answers.add(a)
}

// maxRelayTimeout bounds a call to a worker.
const maxRelayTimeout = 5 * time.Second

// call makes a call to a worker, or answers a ping.
func (r *relayServer) call(call rows.RelayCall) (rows.RelayAnswer, error) {
	if call.Worker == "" {
		isLeaving := r.server.isLeaving()
		return rows.RelayAnswer{Leaving: &isLeaving}, nil
	}
	runner, release := r.server.runners.use(runnerKey{hoist.WorkerID(call.Worker), call.Addr})
	defer release()
	limit := max(time.Millisecond, min(time.Duration(call.TimeoutMs)*time.Millisecond, maxRelayTimeout))
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	switch {
	case call.Poll != nil:
		return relayPoll(ctx, runner, *call.Poll)
	case call.Start != nil:
		return relayStart(ctx, runner, *call.Start)
	case call.Stop != nil:
		return rows.RelayAnswer{}, runner.Stop(ctx, codec.ToTaskRun(call.Stop.Run), hoist.FencingToken(call.Stop.Term))
	case call.Pace != nil:
		p := call.Pace
		return rows.RelayAnswer{}, runner.Throttle(ctx, codec.ToTaskRun(p.Run), hoist.FencingToken(p.Term), hoist.Percent(p.Percent))
	default:
		return rows.RelayAnswer{}, hoist.ErrInvalid
	}
}

func relayPoll(ctx context.Context, runner hoist.Runner, q rows.RelayPoll) (rows.RelayAnswer, error) {
	request := hoist.PollRequest{
		Token: hoist.FencingToken(q.Term), Acked: hoist.EndNo(q.Acked), EnablesAcks: q.EnablesAcks, Lease: codec.ToWorkerClock(q.LeaseUs),
		Wait: time.Duration(q.WaitMs) * time.Millisecond,
	}
	if q.Incarnation != nil {
		request.Incarnation = hoist.Incarnation(*q.Incarnation)
	}
	report, err := runner.Poll(ctx, request)
	if err != nil {
		return rows.RelayAnswer{}, err
	}
	encoded := codec.RelayReport(report)
	return rows.RelayAnswer{Report: &encoded}, nil
}

func relayStart(ctx context.Context, runner hoist.Runner, q rows.RelayStart) (rows.RelayAnswer, error) {
	at, err := runner.Start(ctx, hoist.StartRequest{
		Run: codec.ToTaskRun(q.Run), Token: hoist.FencingToken(q.Term), Payload: q.Payload, Lease: codec.ToWorkerClock(q.LeaseUs),
		Saved: hoist.Checkpoint(q.Saved), Ticket: hoist.Ticket(q.Ticket),
	})
	if at == hoist.UnknownClock {
		return rows.RelayAnswer{}, err
	}
	clock := codec.ClockMicros(at)
	return rows.RelayAnswer{ClockUs: &clock}, err
}
