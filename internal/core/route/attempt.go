package route

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// attempt runs one attempt of a call in its slot. An error other than
// hoist.ErrOutcomeUnknown means that it certainly did not run.
func (r *Router) attempt(ctx context.Context, c *call, s slot, no hoist.AttemptNo) (hoist.Answer, error) {
	if err := r.mayCoordinate(c); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.returnSlot(c, s)
		return hoist.Answer{}, err
	}
	a := hoist.Attempt{Request: c.request, No: no, ShardTerm: c.term}
	if s.host == "" {
		return r.runLocal(ctx, a, s.executor)
	}
	peer, ok := r.Own.Peer(s.host)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("no connection to host %s", s.host))
	}
	answer, err := peer.Dispatch(ctx, a)
	switch {
	case err == nil:
		r.returnRemote(s.host, a.Request.Service)
	case !errors.Is(err, hoist.ErrOutcomeUnknown):
		r.forgetRemote(s.host, a.Request.Service)
	}
	return answer, err
}

// returnRemote counts a slot of another host as free again when its attempt has
// ended; the next heartbeat would tell only up to half a second later.
func (r *Router) returnRemote(host hoist.HostID, service hoist.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.remote[host][service]
	if !ok {
		return
	}
	s.Quick++
	s.Patient++
	r.remote[host][service] = s
	r.assign(service)
}

// mayCoordinate checks right before the send that this host still coordinates
// the call.
func (r *Router) mayCoordinate(c *call) error {
	if term, ok := r.Own.Owns(c.shard); !ok || term != c.term {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d, term %d", c.shard, c.term))
	}
	return nil
}

// forgetRemote stops counting on free slots of a host until it reports again.
func (r *Router) forgetRemote(host hoist.HostID, service hoist.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.remote[host], service)
}

// Dispatch runs an attempt of another host's call at an executor that this host
// owns. An error other than hoist.ErrOutcomeUnknown means that it certainly did
// not run.
func (r *Router) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	r.init()
	shard := hoist.ShardOf(hoist.KindRequest, string(a.Request.Key))
	if !r.Own.Accepts(shard, a.ShardTerm) {
		return hoist.Answer{}, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("shard %d, term %d", shard, a.ShardTerm))
	}
	r.mu.Lock()
	id, ok := r.takeFor(a)
	r.mu.Unlock()
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("service %s", a.Request.Service))
	}
	r.enter()
	defer r.leave()
	// The attempt goes on when the connection of the coordinator breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Request.Deadline.Sub(r.Clock.Now())+settleTime)
	defer cancel()
	return r.runLocal(ctx, a, id)
}

// takeFor takes a slot for another host's attempt, unless an attempt of the key
// is open here: it may be this one, sent twice. The mutex is held.
func (r *Router) takeFor(a hoist.Attempt) (hoist.ExecutorID, bool) {
	if r.sent.has(a.Request.Key) {
		return "", false
	}
	return r.pool.Take(a.Request.Service, a.Request.Class, a.Request.Key, r.rng)
}

// runLocal runs an attempt at an owned executor, whose slot was taken. The slot
// stays taken until the attempt has certainly ended: the executor's goroutine
// settles what is unknown here.
func (r *Router) runLocal(ctx context.Context, a hoist.Attempt, id hoist.ExecutorID) (hoist.Answer, error) {
	h, term, err := r.mayRun(a, id)
	if err != nil {
		r.give(id, a.Request.Key, 0)
		return hoist.Answer{}, err
	}
	started := r.Clock.Now()
	answer, err := r.send(ctx, h, term, a)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		r.orphan(id, a.Request.Key)
		return hoist.Answer{}, err
	}
	took := r.Clock.Now().Sub(started)
	if err != nil {
		took = 0
	}
	r.refusedBy(id, err)
	r.give(id, a.Request.Key, took)
	return answer, err
}

// refusedBy keeps an executor that says that it is leaving from new attempts
// until its next report.
func (r *Router) refusedBy(id hoist.ExecutorID, err error) {
	if errors.Is(err, hoist.ErrLeaving) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pool.SetLeaving(id, true)
	}
}

// mayRun checks both ownerships right before the send.
func (r *Router) mayRun(a hoist.Attempt, id hoist.ExecutorID) (*handle, hoist.Term, error) {
	term, ok := r.Own.Owns(hoist.ShardOf(hoist.KindExecutor, string(id)))
	if !ok {
		return nil, 0, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("executor %s", id))
	}
	shard := hoist.ShardOf(hoist.KindRequest, string(a.Request.Key))
	if !r.Own.Accepts(shard, a.ShardTerm) {
		return nil, 0, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("shard %d, term %d", shard, a.ShardTerm))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.executors[id]
	if !ok || h.term != term || !h.isAdopted {
		return nil, 0, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("executor %s is not adopted in term %d", id, term))
	}
	r.sent.open(id, a, h)
	return h, term, nil
}

func (r *Router) give(id hoist.ExecutorID, key hoist.RequestKey, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.close(id, key)
	r.pool.Give(id, key, took)
	r.assignAll()
}

// orphan leaves an attempt whose outcome is unknown to the executor's goroutine.
func (r *Router) orphan(id hoist.ExecutorID, key hoist.RequestKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sent[id][key]; ok {
		s.isOrphan = true
	}
}
