package helper

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/guard"
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
				closeRunner(c.Runner)
			}
		}
		r.mu.Unlock()
	}
}

// closeRunner closes the connections of a client of a worker, if it has any.
func closeRunner(r hoist.Runner) {
	if c, ok := r.(io.Closer); ok {
		// The client is discarded, so an error has no effect.
		_ = c.Close()
	}
}

// relayCalls makes the calls to workers that the owner of the cell asks for. The
// answers are sent when they are there.
func (c *connHandler) relayCalls(conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	calls, err := decodeBatch[rows.RelayCalls](req, methodRelayCalls)
	if err != nil {
		// The peer speaks another protocol.
		_ = conn.Close()
		return
	}
	c.openOutbox.Do(func() {
		c.answers.send = func(answers []rows.RelayAnswer) {
			if notify(context.Background(), conn, methodRelayAnswers, rows.RelayAnswers{Answers: answers}) != nil {
				_ = conn.Close()
			}
		}
	})
	for _, call := range calls.Calls {
		c.relay(call)
	}
}

// relay makes a call to a worker in a goroutine of its own.
func (c *connHandler) relay(call rows.RelayCall) {
	select {
	case c.relaySlots <- struct{}{}:
	default:
		c.answer(rows.RelayAnswer{Id: call.Id}, hoist.ErrUnavailable)
		return
	}
	c.running.Go(func() {
		defer func() { <-c.relaySlots }()
		answer, err := rows.RelayAnswer{}, error(hoist.ErrOutcomeUnknown)
		panicked := c.server.Guard.Do(c.ctx, workRelay, func() { answer, err = c.callWorker(call) })
		if panicked != nil {
			err = panicked
		}
		answer.Id = call.Id
		c.answer(answer, err)
	})
}

// answer sends the answer to a call.
func (c *connHandler) answer(a rows.RelayAnswer, err error) {
	if err != nil {
		code, message := string(codec.ErrorCode(err)), err.Error()
		a.Code, a.Error = &code, &message
	}
	// If too many answers wait, the call ends when its time is over.
	_ = c.answers.add(a)
}

// maxRelayTimeout bounds a call to a worker.
const maxRelayTimeout = 5 * time.Second

// callWorker makes a call to a worker.
func (c *connHandler) callWorker(call rows.RelayCall) (rows.RelayAnswer, error) {
	runner, release := c.server.runners.use(runnerKey{hoist.WorkerID(call.Worker), call.Addr})
	defer release()
	limit := max(time.Millisecond, min(time.Duration(call.TimeoutMs)*time.Millisecond, maxRelayTimeout))
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	switch {
	case call.Poll != nil:
		return relayPoll(ctx, runner, *call.Poll)
	case call.Start != nil:
		return relayStart(ctx, runner, *call.Start)
	case call.Stop != nil:
		return rows.RelayAnswer{}, runner.Stop(ctx, codec.ToTaskRun(call.Stop.Run), hoist.Term(call.Stop.Term))
	case call.Pace != nil:
		p := call.Pace
		return rows.RelayAnswer{}, runner.Throttle(ctx, codec.ToTaskRun(p.Run), hoist.Term(p.Term), hoist.Percent(p.Percent))
	default:
		return rows.RelayAnswer{}, hoist.ErrInvalid
	}
}

func relayPoll(ctx context.Context, runner hoist.Runner, q rows.RelayPoll) (rows.RelayAnswer, error) {
	report, err := runner.Poll(ctx, hoist.PollRequest{
		Term: hoist.Term(q.Term), Acked: hoist.EndNo(q.Acked), EnablesAcks: q.EnablesAcks, Lease: codec.ToWorkerClock(q.LeaseUs),
		Wait: time.Duration(q.WaitMs) * time.Millisecond,
	})
	if err != nil {
		return rows.RelayAnswer{}, err
	}
	encoded := codec.RelayReport(report)
	return rows.RelayAnswer{Report: &encoded}, nil
}

func relayStart(ctx context.Context, runner hoist.Runner, q rows.RelayStart) (rows.RelayAnswer, error) {
	at, err := runner.Start(ctx, hoist.StartRequest{
		Run: codec.ToTaskRun(q.Run), Term: hoist.Term(q.Term), Payload: q.Payload, Lease: codec.ToWorkerClock(q.LeaseUs),
		Saved: hoist.Checkpoint(q.Saved), Ticket: hoist.Ticket(q.Ticket),
	})
	clock := codec.ClockMicros(at)
	return rows.RelayAnswer{ClockUs: &clock}, err
}
