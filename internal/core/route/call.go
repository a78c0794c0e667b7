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

// classOrder lists the request classes in the order in which free slots are
// offered to them.
var classOrder = []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch}

// answerGrace is how long a caller waits after its deadline, because the answer
// may already be on its way.
const answerGrace = time.Second

// phase is the state of a call.
type phase int

const (
	// phaseIdle means that the call is between attempts and nothing of it runs.
	phaseIdle phase = iota
	// phaseWaiting means that the call is in the queue, is about to enter it, or
	// has a slot assigned.
	phaseWaiting
	// phaseAttempt means that an attempt may be running.
	phaseAttempt
)

// call is a request in progress at its coordinator.
type call struct {
	request hoist.Request
	shard   hoist.ShardID
	term    hoist.Term
	arrived time.Time
	phase   phase
	// isWithdrawn is set when the next owner of the key may run the request.
	isWithdrawn bool
	queueHandle queue.Handle[*call]
	// slot receives the slot that is assigned to the call. It is closed when
	// the call is withdrawn.
	slot chan slot
	// row is nil unless the caller polls for the answer.
	row *patientRow
	// done is closed when answer and err are set.
	done   chan struct{}
	answer hoist.Answer
	err    error
}

// slot is where an attempt runs: at a local executor or through another host.
type slot struct {
	executor hoist.ExecutorID
	host     hoist.HostID
	// refusal is set instead if the call was evicted from a full queue.
	refusal error
}

// errEvicted reports a call that was evicted from a full queue in favour of a
// customer with fewer requests.
var errEvicted = merry.Prepend(hoist.ErrOverLimit, "the queue is full and this customer has the most requests in it")

// errShardMoved reports a call whose shard moved to another owner before the call
// ran.
var errShardMoved = merry.Prepend(hoist.ErrNotOwner, "the shard moved while the request waited")

// Coordinate serves a request as the coordinator of its key. It returns
// hoist.ErrNotOwner if this host is not the coordinator or if the request must be
// issued anew; the request was then not run. It returns hoist.ErrInvalid if the
// key belongs to another request, and hoist.ErrOutcomeUnknown if the request is
// still running when ctx ends or its deadline has passed; a retry then joins it.
func (r *Router) Coordinate(ctx context.Context, req hoist.Request) (hoist.Answer, error) {
	r.init()
	r.addInFlight()
	defer r.removeInFlight()
	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
	term, ok := r.Ownership.Owns(shard)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d", shard))
	}
	if req.NoWait {
		return r.accept(ctx, req, shard, term)
	}
	c, verdict, err := r.joinOrStart(req, shard, term)
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

// joinOrStart returns the call to wait for, which is new or already running under
// the same key. It returns no call if the verdict contains the answer.
func (r *Router) joinOrStart(req hoist.Request, shard hoist.ShardID, term hoist.Term) (*call, dedup.Verdict, error) {
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
		return nil, verdict, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("the owner of shard %d changed after the request was issued", shard))
	case dedup.Join:
		c, ok := r.calls[req.Key]
		if !ok {
			return nil, verdict, merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("no call is in progress for key %q", req.Key))
		}
		return c, verdict, nil
	case dedup.Run:
		return r.startCall(req, shard, term, nil), verdict, nil
	default:
		if verdict.Answer.Outcome == hoist.NotRun {
			verdict.Answer.RetryAfter = defaultRetryAfter
		}
		return nil, verdict, nil
	}
}

// startCall starts the goroutine of a request whose key was just entered in the
// key table. The mutex must be held.
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

// runCall runs a call until it is answered.
func (r *Router) runCall(c *call) {
	defer r.removeInFlight()
	ctx, cancel := context.WithTimeout(context.Background(), c.request.Deadline.Sub(r.Clock.Now())+resolveGrace)
	defer cancel()
	r.countRequest()
	for no := hoist.AttemptNo(1); ; no++ {
		s, err := r.waitForSlot(ctx, c)
		if errors.Is(err, hoist.ErrOverLimit) && c.row != nil && r.Clock.Now().Before(c.request.Deadline) {
			// A full queue must not refuse a request that was already accepted.
			sleep(ctx, maxWriteRetryDelay)
			continue
		}
		if err != nil {
			r.finish(c, notRunAnswer(c.request.Key, err), err)
			return
		}
		waited := r.Clock.Now().Sub(c.arrived)
		answer, err := r.runRecordedAttempt(ctx, c, s, no)
		switch {
		case err == nil:
			answer.Waited = waited
			r.finish(c, answer, nil)
			return
		case errors.Is(err, hoist.ErrOutcomeUnknown):
			events.AttemptUnresolved.Log(ctx, r.Log, "key", c.request.Key, "error", err)
			r.finish(c, failureAnswer(c.request.Key, hoist.Unknown, err.Error()), nil)
			return
		}
		if errors.Is(err, errCancelled) || !r.mayRetry(ctx, c, no, err) {
			r.finish(c, failureAnswer(c.request.Key, hoist.NotRun, err.Error()), nil)
			return
		}
	}
}

func (r *Router) setPhase(c *call, p phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.phase = p
}

// waitForSlot queues the call and waits until a slot is assigned. All its errors
// mean that the request did not run.
func (r *Router) waitForSlot(ctx context.Context, c *call) (slot, error) {
	remaining := c.request.Deadline.Sub(r.Clock.Now())
	if remaining <= 0 {
		return slot{}, errSlotTimeout
	}
	r.mu.Lock()
	c.phase = phaseWaiting
	c.queueHandle = queue.Handle[*call]{}
	r.mu.Unlock()
	if err := r.enqueue(c); err != nil {
		return slot{}, err
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case s, ok := <-c.slot:
		return r.takeAssigned(c, s, ok)
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	isRemoved := r.queueOf(c).Remove(c.queueHandle)
	r.mu.Unlock()
	if isRemoved {
		return slot{}, errSlotTimeout
	}
	// A slot was assigned, or the call evicted or withdrawn, at the same moment.
	s, ok := <-c.slot
	return r.takeAssigned(c, s, ok)
}

// errSlotTimeout reports a call that got no slot before its deadline.
var errSlotTimeout = merry.Prepend(hoist.ErrOverLimit, "deadline passed while waiting for a slot")

// takeAssigned accepts an assigned slot and starts the attempt phase of the call.
// It returns an error if the call was evicted or withdrawn, or if its shard has
// moved.
func (r *Router) takeAssigned(c *call, s slot, ok bool) (slot, error) {
	if !ok {
		return slot{}, errShardMoved
	}
	if s.refusal != nil {
		return slot{}, s.refusal
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terms[c.shard] != c.term {
		r.returnSlot(c, s)
		return slot{}, errShardMoved
	}
	c.phase = phaseAttempt
	return s, nil
}

// returnSlot frees a slot that was assigned and not used. The mutex must be held.
func (r *Router) returnSlot(c *call, s slot) {
	if s.host == "" {
		r.pool.Give(s.executor, c.request.Key, 0)
		r.assignAll()
	}
}

// enqueue adds the call to the queue of its service, which may evict another call,
// and assigns free slots.
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
	c.queueHandle = pushed.Handle
	if pushed.HasEvicted {
		pushed.Evicted.slot <- slot{refusal: errEvicted}
	}
	r.assign(c.request.Service)
	return nil
}

// queueOf returns the queue of the call's service. The mutex must be held.
func (r *Router) queueOf(c *call) *queue.Queue[*call] {
	q, ok := r.queues[c.request.Service]
	if !ok {
		q = queue.New[*call](r.limits.Queue)
		r.queues[c.request.Service] = q
	}
	return q
}

// withdraw withdraws a call that has no attempt running, and reports whether it
// did. The router's mutex must be held.
func (c *call) withdraw(r *Router) bool {
	if c.phase == phaseAttempt {
		return false
	}
	c.isWithdrawn = true
	switch {
	case c.phase == phaseIdle, c.queueHandle == queue.Handle[*call]{}:
		// The call is not queued; its goroutine will detect that the shard moved.
		return true
	case r.queueOf(c).Remove(c.queueHandle):
		close(c.slot)
		return true
	}
	select {
	case s := <-c.slot:
		r.returnSlot(c, s)
		close(c.slot)
	default:
		// Its goroutine has received the slot and will detect that the shard moved.
	}
	return true
}

// finish delivers the answer to the call and to every caller that joined it. An
// answer of NotRun is not stored, so that the request can be issued anew.
func (r *Router) finish(c *call, answer hoist.Answer, err error) {
	if c.row != nil && !errors.Is(err, hoist.ErrNotOwner) {
		r.recordEnd(c, answer)
	}
	r.mu.Lock()
	if c.row != nil {
		r.numAccepted--
	}
	if r.calls[c.request.Key] == c {
		delete(r.calls, c.request.Key)
	}
	// A key table of another term has its own record of the key.
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
		c.err = errShardMoved
	}
	close(c.done)
}

// assign assigns free slots of a service to waiting calls. The mutex must be held.
func (r *Router) assign(service hoist.ServiceName) {
	q, ok := r.queues[service]
	if !ok {
		return
	}
	now := r.Clock.Now()
	r.pool.Advance(now)
	for _, class := range classOrder {
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

// assignAll assigns free slots of every service. The mutex must be held.
func (r *Router) assignAll() {
	// Attempts of other hosts change the demand here even if no call waits.
	r.pool.Advance(r.Clock.Now())
	for service := range r.queues {
		r.assign(service)
	}
}

// takeSlot takes a slot of a local executor or, if none is free, one of the host
// that reported the most free slots. The mutex must be held.
func (r *Router) takeSlot(c *call) (slot, bool) {
	req := c.request
	if id, ok := r.pool.Take(req.Service, req.Class, req.Key, r.rng); ok {
		return slot{executor: id}, true
	}
	var best hoist.HostID
	mostFree := 0
	for host, services := range r.remoteSlots {
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
	s := r.remoteSlots[best][req.Service]
	s.Quick--
	if req.Class != hoist.Quick {
		s.Patient--
	}
	// Quick requests use the reserve for quick work first, so the slots for
	// patient requests shrink only once the reserve is used up.
	s.Patient = min(s.Patient, s.Quick)
	r.remoteSlots[best][req.Service] = s
	return slot{host: best}, true
}
