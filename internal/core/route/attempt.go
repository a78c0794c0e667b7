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
	a := hoist.Attempt{Request: c.request, No: no, ShardTerm: c.term}
	if s.host == "" {
		return r.runLocal(ctx, a, s.executor)
	}
	peer, ok := r.Own.Peer(s.host)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("no connection to host %s", s.host))
	}
	answer, err := peer.Dispatch(ctx, a)
	if err != nil && !errors.Is(err, hoist.ErrOutcomeUnknown) {
		r.forgetRemote(s.host, a.Request.Service)
	}
	return answer, err
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
	id, ok := r.pool.Take(a.Request.Service, a.Request.Class, a.Request.Key, r.rng)
	r.mu.Unlock()
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("service %s", a.Request.Service))
	}
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	// The attempt goes on when the connection of the coordinator breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Request.Deadline.Sub(r.Clock.Now())+settleTime)
	defer cancel()
	return r.runLocal(ctx, a, id)
}

// runLocal runs an attempt at an owned executor, whose slot was taken.
func (r *Router) runLocal(ctx context.Context, a hoist.Attempt, id hoist.ExecutorID) (hoist.Answer, error) {
	r.setLive(a.Request.Key, true)
	defer r.setLive(a.Request.Key, false)
	h, term, err := r.mayRun(a, id)
	if err != nil {
		r.give(id, a.Request.Key, 0)
		return hoist.Answer{}, err
	}
	started := r.Clock.Now()
	answer, err := h.executor.Run(ctx, term, a)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		answer, err = r.settle(ctx, h, term, a, err)
	}
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		// The slot stays taken until the executor no longer lists the key.
		return hoist.Answer{}, err
	}
	took := r.Clock.Now().Sub(started)
	if err != nil {
		took = 0
	}
	r.give(id, a.Request.Key, took)
	return answer, err
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
	if !ok || h.term != term {
		return nil, 0, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("executor %s is not adopted in term %d", id, term))
	}
	return h, term, nil
}

func (r *Router) setLive(key hoist.RequestKey, live bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if live {
		r.live[key] = true
		return
	}
	delete(r.live, key)
}

func (r *Router) give(id hoist.ExecutorID, key hoist.RequestKey, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.Give(id, key, took)
	r.assignAll()
}

// settle asks an executor what became of an attempt whose answer was lost.
func (r *Router) settle(ctx context.Context, h *handle, term hoist.Term, a hoist.Attempt, lost error) (hoist.Answer, error) {
	for pause(ctx, settleEvery) {
		answer, err := h.executor.Settle(ctx, term, a.Request.Key, a.No)
		if err != nil {
			continue
		}
		switch answer.Outcome {
		case hoist.Done:
			return answer, nil
		case hoist.NotRun:
			return hoist.Answer{}, hoist.Turn(hoist.ErrUnavailable, lost)
		}
	}
	return hoist.Answer{}, lost
}
