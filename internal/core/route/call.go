package route

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/decide/queue"
)

// classes lists the classes in the order in which free slots are offered.
var classes = []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch}

// settleEvery is the period of asking an executor for a lost answer.
const settleEvery = 200 * time.Millisecond

// settleTime bounds the asking after the deadline of the request.
const settleTime = 5 * time.Second

// call is one request at its coordinator.
type call struct {
	request hoist.Request
	shard   hoist.ShardID
	term    hoist.Term
	arrived time.Time
	ticket  queue.Ticket[*call]
	// slot receives the slot that the call may use; it is closed when the
	// call is withdrawn.
	slot chan slot
	// done is closed when answer and err are set.
	done   chan struct{}
	answer hoist.Answer
	err    error
}

// slot is a place to run an attempt: a local executor or another host.
type slot struct {
	executor hoist.ExecutorID
	host     hoist.HostID
}

// Coordinate serves a request as the coordinator of its key. It returns
// hoist.ErrNotOwner if this host is not, and the request was not run.
func (r *Router) Coordinate(ctx context.Context, req hoist.Request) (hoist.Answer, error) {
	r.init()
	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
	term, ok := r.Own.Owns(shard)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d", shard))
	}
	c, verdict, err := r.begin(req, shard, term)
	if err != nil {
		return hoist.Answer{}, err
	}
	if c == nil {
		return verdict.Answer, nil
	}
	select {
	case <-c.done:
		return c.answer, c.err
	case <-ctx.Done():
		// The call goes on; a retry of the caller joins it.
		return hoist.Answer{}, hoist.Turn(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// begin returns the call to wait for, or a verdict that answers at once.
func (r *Router) begin(req hoist.Request, shard hoist.ShardID, term hoist.Term) (*call, dedup.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.keys[shard]
	if !ok {
		return nil, dedup.Verdict{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d is not active", shard))
	}
	now := r.Clock.Now()
	verdict := t.Begin(req, now)
	switch verdict.Decision {
	case dedup.Join:
		return r.calls[req.Key], verdict, nil
	case dedup.Run:
		c := &call{
			request: req, shard: shard, term: term, arrived: now,
			slot: make(chan slot, 1), done: make(chan struct{}),
		}
		r.calls[req.Key] = c
		r.inFlight.Add(1)
		go r.runCall(c)
		return c, verdict, nil
	default:
		return nil, verdict, nil
	}
}

// runCall takes one request to its answer.
func (r *Router) runCall(c *call) {
	defer r.inFlight.Done()
	ctx, cancel := context.WithTimeout(context.Background(), c.request.Deadline.Sub(r.Clock.Now())+settleTime)
	defer cancel()
	for no := hoist.AttemptNo(1); ; no++ {
		s, err := r.waitForSlot(ctx, c)
		if err != nil {
			r.finish(c, refusal(c.request.Key, hoist.NotRun, err.Error()), err)
			return
		}
		waited := r.Clock.Now().Sub(c.arrived)
		answer, err := r.attempt(ctx, c, s, no)
		if err == nil {
			answer.Waited = waited
			r.finish(c, answer, nil)
			return
		}
		if errors.Is(err, hoist.ErrOutcomeUnknown) {
			events.AttemptUnsettled.Log(ctx, r.Log, "key", c.request.Key, "error", err)
			r.finish(c, refusal(c.request.Key, hoist.Unknown, err.Error()), nil)
			return
		}
	}
}

// waitForSlot queues the call until it is assigned a slot. All its errors mean
// that the request did not run.
func (r *Router) waitForSlot(ctx context.Context, c *call) (slot, error) {
	if err := r.enqueue(c); err != nil {
		return slot{}, err
	}
	timer := time.NewTimer(c.request.Deadline.Sub(r.Clock.Now()))
	defer timer.Stop()
	select {
	case s, ok := <-c.slot:
		if !ok {
			return slot{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessage("the shard moved while the request waited"))
		}
		return s, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queueOf(c).Remove(c.ticket) {
		return slot{}, merry.Wrap(hoist.ErrOverLimit, merry.PrependMessage("deadline passed while waiting for a slot"))
	}
	// The slot was assigned, or the call withdrawn, at the same moment.
	s, ok := <-c.slot
	if !ok {
		return slot{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessage("the shard moved while the request waited"))
	}
	return s, nil
}

func (r *Router) enqueue(c *call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.keys[c.shard]; !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d is not active", c.shard))
	}
	ticket, err := r.queueOf(c).Push(c.request, 1, c)
	if err != nil {
		return err
	}
	c.ticket = ticket
	r.assign(c.request.Service)
	return nil
}

func (r *Router) queueOf(c *call) *queue.Queue[*call] {
	q, ok := r.queues[c.request.Service]
	if !ok {
		q = queue.New[*call](queue.Limits{PerCustomer: queuePerCustomer})
		r.queues[c.request.Service] = q
	}
	return q
}

// withdraw takes a waiting call back. It reports false if the call has a slot.
// The router's mutex is held.
func (c *call) withdraw(r *Router) bool {
	if !r.queueOf(c).Remove(c.ticket) {
		return false
	}
	close(c.slot)
	return true
}

// finish answers the call and all that joined it. An answer of not run is not
// stored, so that a retry can run.
func (r *Router) finish(c *call, answer hoist.Answer, err error) {
	r.mu.Lock()
	delete(r.calls, c.request.Key)
	if t, ok := r.keys[c.shard]; ok {
		if answer.Outcome == hoist.NotRun {
			t.Forget(c.request.Key)
		} else {
			t.Finish(c.request.Key, answer, r.Clock.Now())
		}
	}
	r.mu.Unlock()
	c.answer = answer
	if errors.Is(err, hoist.ErrNotOwner) {
		c.err = err
	}
	close(c.done)
}

// assign gives free slots of a service to waiting calls. The mutex is held.
func (r *Router) assign(service hoist.ServiceName) {
	q, ok := r.queues[service]
	if !ok {
		return
	}
	for _, class := range classes {
		for {
			c, ok := q.Peek(class)
			if !ok {
				break
			}
			s, ok := r.takeSlot(c)
			if !ok {
				break
			}
			q.Pop(class)
			c.slot <- s
		}
	}
}

func (r *Router) assignAll() {
	for service := range r.queues {
		r.assign(service)
	}
}

// takeSlot takes a slot of a local executor, or else counts on one that
// another host reported as free.
func (r *Router) takeSlot(c *call) (slot, bool) {
	req := c.request
	if id, ok := r.pool.Take(req.Service, req.Class, req.Key, r.rng); ok {
		return slot{executor: id}, true
	}
	var best hoist.HostID
	mostFree := 0
	for host, services := range r.remote {
		free := services[req.Service].Patient
		if req.Class == hoist.Quick {
			free = services[req.Service].Quick
		}
		if free > mostFree {
			best, mostFree = host, free
		}
	}
	if mostFree == 0 {
		return slot{}, false
	}
	s := r.remote[best][req.Service]
	s.Quick--
	s.Patient--
	r.remote[best][req.Service] = s
	return slot{host: best}, true
}
