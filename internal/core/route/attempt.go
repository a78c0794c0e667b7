package route

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// runAttempt runs one attempt of a call in the assigned slot. An error other than
// hoist.ErrOutcomeUnknown means that the attempt certainly did not run.
func (r *Router) runAttempt(ctx context.Context, c *call, s slot, no hoist.AttemptNo) (hoist.Answer, error) {
	if err := r.checkCallTerm(c); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.returnSlot(c, s)
		return hoist.Answer{}, err
	}
	a := hoist.Attempt{Request: c.request, No: no, ShardTerm: c.term}
	if s.host == "" {
		return r.runLocal(ctx, a, s.executor)
	}
	peer, ok := r.Ownership.Peer(s.host)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("no connection to host %s", s.host))
	}
	answer, err := peer.Dispatch(ctx, a)
	switch {
	case err == nil:
		r.returnRemoteSlot(s.host, a.Request.Service)
	case !errors.Is(err, hoist.ErrOutcomeUnknown):
		r.clearRemoteSlots(s.host, a.Request.Service)
	}
	return answer, err
}

// returnRemoteSlot counts a slot of another host as free again after its attempt
// has ended, because the next heartbeat may come half a second later.
func (r *Router) returnRemoteSlot(host hoist.HostID, service hoist.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.remoteSlots[host][service]
	if !ok {
		return
	}
	s.Quick++
	s.Patient++
	r.remoteSlots[host][service] = s
	r.assign(service)
}

// checkCallTerm checks right before an attempt is sent that this host still
// coordinates the call in the same term.
func (r *Router) checkCallTerm(c *call) error {
	if term, ok := r.Ownership.Owns(c.shard); !ok || term != c.term {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d, term %d", c.shard, c.term))
	}
	return nil
}

// clearRemoteSlots counts no slot of a service on another host as free until that
// host's next heartbeat.
func (r *Router) clearRemoteSlots(host hoist.HostID, service hoist.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.remoteSlots[host], service)
}

// Dispatch runs an attempt of a call that another host coordinates, at an executor
// that this host owns. An error other than hoist.ErrOutcomeUnknown means that the
// attempt certainly did not run.
func (r *Router) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	r.init()
	shard := hoist.ShardOf(hoist.KindRequest, string(a.Request.Key))
	if !r.Ownership.Accepts(shard, a.ShardTerm) {
		return hoist.Answer{}, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("shard %d, term %d", shard, a.ShardTerm))
	}
	r.mu.Lock()
	id, ok := r.takeSlotFor(a)
	r.mu.Unlock()
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("service %s", a.Request.Service))
	}
	r.addInFlight()
	defer r.removeInFlight()
	// The attempt continues if the connection from the coordinator breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Request.Deadline.Sub(r.Clock.Now())+resolveGrace)
	defer cancel()
	return r.runLocal(ctx, a, id)
}

// takeSlotFor takes a slot for an attempt of another host. It takes none while an
// attempt with the same key is open here, as it may be the same attempt, sent
// twice. The mutex must be held.
func (r *Router) takeSlotFor(a hoist.Attempt) (hoist.ExecutorID, bool) {
	if r.sent.has(a.Request.Key) {
		return "", false
	}
	return r.pool.Take(a.Request.Service, a.Request.Class, a.Request.Key, r.rng)
}

// runLocal runs an attempt at an owned executor in a slot that was taken for it.
// The slot stays taken until the attempt has certainly ended: if the outcome is
// unknown here, the executor's goroutine resolves it.
func (r *Router) runLocal(ctx context.Context, a hoist.Attempt, id hoist.ExecutorID) (hoist.Answer, error) {
	h, term, err := r.openAttempt(a, id)
	if err != nil {
		r.closeAttempt(id, a.Request.Key, 0)
		return hoist.Answer{}, err
	}
	started := r.Clock.Now()
	answer, err := r.send(ctx, h, term, a)
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		r.markOrphan(id, a.Request.Key)
		return hoist.Answer{}, err
	}
	took := r.Clock.Now().Sub(started)
	if err != nil {
		took = 0
	}
	r.markLeaving(id, err)
	r.closeAttempt(id, a.Request.Key, took)
	return answer, err
}

// markLeaving sends no new attempts to an executor that refused one because it is
// leaving, until its next report.
func (r *Router) markLeaving(id hoist.ExecutorID, err error) {
	if errors.Is(err, hoist.ErrLeaving) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pool.SetLeaving(id, true)
	}
}

// openAttempt checks right before an attempt is sent that this host owns the
// executor and that the coordinator's term is not stale, and records the attempt
// as open.
func (r *Router) openAttempt(a hoist.Attempt, id hoist.ExecutorID) (*executorHandle, hoist.Term, error) {
	term, ok := r.Ownership.Owns(hoist.ShardOf(hoist.KindExecutor, string(id)))
	if !ok {
		return nil, 0, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("executor %s", id))
	}
	shard := hoist.ShardOf(hoist.KindRequest, string(a.Request.Key))
	if !r.Ownership.Accepts(shard, a.ShardTerm) {
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

// closeAttempt ends an open attempt and frees its slot. took is its run time; 0 means
// that it did not run or that the time is unknown.
func (r *Router) closeAttempt(id hoist.ExecutorID, key hoist.RequestKey, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.close(id, key)
	r.pool.Give(id, key, took)
	r.assignAll()
}

// markOrphan marks an attempt with an unknown outcome for the executor's goroutine
// to resolve.
func (r *Router) markOrphan(id hoist.ExecutorID, key hoist.RequestKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sent[id][key]; ok {
		s.isOrphan = true
	}
}
