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

// answerGrace is how long after its deadline a caller waits for its answer,
// which may be on its way.
const answerGrace = time.Second

// phase tells what a call is doing.
type phase int

const (
	// phaseIdle: between attempts; nothing of it runs.
	phaseIdle phase = iota
	// phaseWaiting: in the queue, on its way there, or with an assigned slot.
	phaseWaiting
	// phaseAttempt: an attempt may run.
	phaseAttempt
)

// call is one request at its coordinator.
type call struct {
	request hoist.Request
	shard   hoist.ShardID
	term    hoist.Term
	arrived time.Time
	phase   phase
	// isWithdrawn tells that the next owner of the key may run the request.
	isWithdrawn bool
	ticket      queue.Handle[*call]
	// slot receives the slot that the call may use; it is closed when the
	// call is withdrawn.
	slot chan slot
	// row is set for a request that the caller polls for.
	row *patientRow
	// done is closed when answer and err are set.
	done   chan struct{}
	answer hoist.Answer
	err    error
}

// slot is a place to run an attempt: a local executor or another host.
type slot struct {
	executor hoist.ExecutorID
	host     hoist.HostID
	// refused is set instead if the call had to leave a full queue.
	refused error
}

// errDropped reports a call that gave way to a customer with fewer requests.
var errDropped = merry.Prepend(hoist.ErrOverLimit, "the queue is full and this customer has the most requests in it")

// errMoved reports a call whose shard went to another owner before it ran.
var errMoved = merry.Prepend(hoist.ErrNotOwner, "the shard moved while the request waited")

// Coordinate serves a request as the coordinator of its key. It returns
// hoist.ErrNotOwner if this host is not, or if the request must be issued anew;
// the request was not run. It returns hoist.ErrInvalid if the key belongs to
// another request, and hoist.ErrOutcomeUnknown if the request still runs when
// ctx ends or the deadline has passed; a retry then joins it.
func (r *Router) Coordinate(ctx context.Context, req hoist.Request) (hoist.Answer, error) {
	r.init()
	r.enter()
	defer r.leave()
	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
	term, ok := r.Own.Owns(shard)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d", shard))
	}
	if req.NoWait {
		return r.accept(ctx, req, shard, term)
	}
	c, verdict, err := r.begin(req, shard, term)
	if err != nil {
		return hoist.Answer{}, err
	}
	if c == nil {
		return verdict.Answer, nil
	}
	timer := time.NewTimer(req.Deadline.Sub(r.Clock.Now()) + answerGrace)
	defer timer.Stop()
	select {
	case <-c.done:
		return c.answer, c.err
	case <-timer.C:
		return hoist.Answer{}, merry.Prepend(hoist.ErrOutcomeUnknown, "the deadline has passed and the request still runs")
	case <-ctx.Done():
		return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// begin returns the call to wait for, or a verdict that answers at once.
func (r *Router) begin(req hoist.Request, shard hoist.ShardID, term hoist.Term) (*call, dedup.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.keys[shard]
	if !ok || r.terms[shard] != term {
		return nil, dedup.Verdict{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d is not active", shard))
	}
	now := r.Clock.Now()
	verdict := t.Begin(req, now)
	switch verdict.Decision {
	case dedup.Mismatch:
		return nil, verdict, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("key %q belongs to another request", req.Key))
	case dedup.Reissue:
		return nil, verdict, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d changed its owner after the issue", shard))
	case dedup.Join:
		c, ok := r.calls[req.Key]
		if !ok {
			return nil, verdict, merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("key %q has no call", req.Key))
		}
		return c, verdict, nil
	case dedup.Run:
		return r.startCall(req, shard, term, nil), verdict, nil
	default:
		if verdict.Answer.Outcome == hoist.NotRun {
			verdict.Answer.RetryAfter = retryHint
		}
		return nil, verdict, nil
	}
}

// startCall starts the goroutine of a request whose key was just entered. The
// mutex is held.
func (r *Router) startCall(req hoist.Request, shard hoist.ShardID, term hoist.Term, row *patientRow) *call {
	c := &call{
		request: req, shard: shard, term: term, arrived: r.Clock.Now(), row: row,
		slot: make(chan slot, 1), done: make(chan struct{}),
	}
	r.calls[req.Key] = c
	r.inFlight++
	go r.runCall(c)
	return c
}

// runCall takes one request to its answer.
func (r *Router) runCall(c *call) {
	defer r.leave()
	ctx, cancel := context.WithTimeout(context.Background(), c.request.Deadline.Sub(r.Clock.Now())+settleTime)
	defer cancel()
	r.countRequest()
	for no := hoist.AttemptNo(1); ; no++ {
		s, err := r.waitForSlot(ctx, c)
		if errors.Is(err, hoist.ErrOverLimit) && c.row != nil && r.Clock.Now().Before(c.request.Deadline) {
			// An accepted request is not refused for a full queue.
			pause(ctx, maxWritePause)
			continue
		}
		if err != nil {
			r.finish(c, refuseFor(c.request.Key, err), err)
			return
		}
		waited := r.Clock.Now().Sub(c.arrived)
		answer, err := r.recordedAttempt(ctx, c, s, no)
		switch {
		case err == nil:
			answer.Waited = waited
			r.finish(c, answer, nil)
			return
		case errors.Is(err, hoist.ErrOutcomeUnknown):
			events.AttemptUnresolved.Log(ctx, r.Log, "key", c.request.Key, "error", err)
			r.finish(c, refuse(c.request.Key, hoist.Unknown, err.Error()), nil)
			return
		}
		if errors.Is(err, errCancelled) || !r.mayRetry(ctx, c, no, err) {
			r.finish(c, refuse(c.request.Key, hoist.NotRun, err.Error()), nil)
			return
		}
	}
}

func (r *Router) setPhase(c *call, p phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.phase = p
}

// waitForSlot queues the call until it is assigned a slot. All its errors mean
// that the request did not run.
func (r *Router) waitForSlot(ctx context.Context, c *call) (slot, error) {
	left := c.request.Deadline.Sub(r.Clock.Now())
	if left <= 0 {
		return slot{}, errLate
	}
	r.mu.Lock()
	c.phase = phaseWaiting
	c.ticket = queue.Handle[*call]{}
	r.mu.Unlock()
	if err := r.enqueue(c); err != nil {
		return slot{}, err
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case s, ok := <-c.slot:
		return r.takeAssigned(c, s, ok)
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	isRemoved := r.queueOf(c).Remove(c.ticket)
	r.mu.Unlock()
	if isRemoved {
		return slot{}, errLate
	}
	// The slot was assigned, or the call withdrawn, at the same moment.
	s, ok := <-c.slot
	return r.takeAssigned(c, s, ok)
}

// errLate reports a call that found no slot in time.
var errLate = merry.Prepend(hoist.ErrOverLimit, "deadline passed while waiting for a slot")

// takeAssigned starts the attempt phase of a call that received a slot, unless
// the call was withdrawn or its shard moved meanwhile.
func (r *Router) takeAssigned(c *call, s slot, ok bool) (slot, error) {
	if !ok {
		return slot{}, errMoved
	}
	if s.refused != nil {
		return slot{}, s.refused
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terms[c.shard] != c.term {
		r.returnSlot(c, s)
		return slot{}, errMoved
	}
	c.phase = phaseAttempt
	return s, nil
}

// returnSlot gives back a slot that was assigned and not used. The mutex is
// held.
func (r *Router) returnSlot(c *call, s slot) {
	if s.host == "" {
		r.pool.Give(s.executor, c.request.Key, 0)
		r.assignAll()
	}
}

func (r *Router) enqueue(c *call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.keys[c.shard]; !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d is not active", c.shard))
	}
	pushed, err := r.queueOf(c).Push(c.request, r.costOf(c), c, r.Clock.Now())
	if err != nil {
		return err
	}
	c.ticket = pushed.Ticket
	if pushed.HasDropped {
		pushed.Dropped.slot <- slot{refused: errDropped}
	}
	r.assign(c.request.Service)
	return nil
}

func (r *Router) queueOf(c *call) *queue.Queue[*call] {
	q, ok := r.queues[c.request.Service]
	if !ok {
		q = queue.New[*call](r.limits.Queue)
		r.queues[c.request.Service] = q
	}
	return q
}

// withdraw takes back a call of which nothing runs, and reports whether that is
// so. The router's mutex is held.
func (c *call) withdraw(r *Router) bool {
	if c.phase == phaseAttempt {
		return false
	}
	c.isWithdrawn = true
	switch {
	case c.phase == phaseIdle, c.ticket == queue.Handle[*call]{}:
		// The call has not been queued; it finds that the shard moved.
		return true
	case r.queueOf(c).Remove(c.ticket):
		close(c.slot)
		return true
	}
	select {
	case s := <-c.slot:
		r.returnSlot(c, s)
		close(c.slot)
	default:
		// Its goroutine has the slot and finds that the shard moved.
	}
	return true
}

// finish answers the call and all that joined it. An answer of not run is not
// stored, so that the request can be issued anew.
func (r *Router) finish(c *call, answer hoist.Answer, err error) {
	if c.row != nil && !errors.Is(err, hoist.ErrNotOwner) {
		r.recordEnd(c, answer)
	}
	r.mu.Lock()
	if c.row != nil {
		r.accepted--
	}
	if r.calls[c.request.Key] == c {
		delete(r.calls, c.request.Key)
	}
	// A table opened in another term keeps its own record of the key.
	if t, ok := r.keys[c.shard]; ok && r.terms[c.shard] == c.term {
		if answer.Outcome == hoist.NotRun {
			t.NotRun(c.request.Key, answer.Reason, r.Clock.Now())
		} else {
			t.Finish(c.request.Key, answer, r.Clock.Now())
		}
	}
	isWithdrawn := c.isWithdrawn
	r.mu.Unlock()
	c.answer = answer
	if errors.Is(err, hoist.ErrNotOwner) {
		c.err = err
	} else if isWithdrawn && answer.Outcome == hoist.NotRun {
		c.err = errMoved
	}
	close(c.done)
}

// assign gives free slots of a service to waiting calls. The mutex is held.
func (r *Router) assign(service hoist.ServiceName) {
	q, ok := r.queues[service]
	if !ok {
		return
	}
	now := r.Clock.Now()
	r.pool.Advance(now)
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
			q.Pop(class, now)
			c.slot <- s
		}
	}
}

func (r *Router) assignAll() {
	// Attempts of other hosts change the demand here even if nothing waits.
	r.pool.Advance(r.Clock.Now())
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
	if req.Class != hoist.Quick {
		s.Patient--
	}
	// Quick work takes slots that patient work may not have, as long as there
	// are some.
	s.Patient = min(s.Patient, s.Quick)
	r.remote[best][req.Service] = s
	return slot{host: best}, true
}
