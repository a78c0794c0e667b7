package route

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// listEvery is the period of reading the host list; a leaving executor is
	// noticed within it.
	listEvery = time.Second
	// reportEvery is the period of asking an executor for its report.
	reportEvery = 500 * time.Millisecond
	// executorTimeout bounds an adoption or report.
	executorTimeout = 2 * time.Second
)

// handle is one executor that this host owns.
type handle struct {
	executor hoist.Executor
	listed   hoist.Listed
	term     hoist.Term
	cancel   context.CancelFunc
}

// Run keeps a goroutine for each executor that this host owns, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	r.init()
	for {
		if listed, err := r.HostList.List(ctx); err == nil {
			r.sync(ctx, listed)
		}
		if !pause(ctx, listEvery) {
			return
		}
	}
}

// sync starts and stops goroutines as executors come, go, and change owner.
func (r *Router) sync(ctx context.Context, listed []hoist.Listed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make(map[hoist.ExecutorID]bool)
	for _, l := range listed {
		id := hoist.ExecutorID(l.ID)
		term, ok := r.Own.Owns(hoist.ShardOf(hoist.KindExecutor, l.ID))
		if l.Kind != hoist.ListedExecutor || !ok {
			continue
		}
		owned[id] = true
		if h, ok := r.executors[id]; ok && h.term == term && h.listed.Addr == l.Addr {
			r.pool.SetLeaving(id, l.Leaving)
			continue
		}
		r.drop(id)
		ctx, cancel := context.WithCancel(ctx)
		h := &handle{executor: r.DialExecutor(l), listed: l, term: term, cancel: cancel}
		r.executors[id] = h
		go r.watch(ctx, id, h)
	}
	for id := range r.executors {
		if !owned[id] {
			r.drop(id)
		}
	}
}

func (r *Router) drop(id hoist.ExecutorID) {
	if h, ok := r.executors[id]; ok {
		h.cancel()
		delete(r.executors, id)
		r.pool.Remove(id)
	}
}

// watch adopts one executor and then follows its reports.
func (r *Router) watch(ctx context.Context, id hoist.ExecutorID, h *handle) {
	for !r.adopt(ctx, id, h) {
		if !pause(ctx, reportEvery) {
			return
		}
	}
	events.ExecutorAdopted.Log(ctx, r.Log, "executor", id, "term", h.term)
	for pause(ctx, reportEvery) {
		r.follow(ctx, id, h)
	}
}

func (r *Router) adopt(ctx context.Context, id hoist.ExecutorID, h *handle) bool {
	callCtx, cancel := context.WithTimeout(ctx, executorTimeout)
	defer cancel()
	report, err := h.executor.Adopt(callCtx, h.term)
	if err != nil {
		if ctx.Err() == nil {
			events.ExecutorLost.Log(ctx, r.Log, "executor", id, "error", err)
		}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executors[id] != h {
		return false
	}
	report.Leaving = report.Leaving || h.listed.Leaving
	r.pool.Adopt(report, h.listed.Service)
	r.assignAll()
	return true
}

func (r *Router) follow(ctx context.Context, id hoist.ExecutorID, h *handle) {
	callCtx, cancel := context.WithTimeout(ctx, executorTimeout)
	defer cancel()
	report, err := h.executor.Report(callCtx)
	if err != nil {
		if ctx.Err() == nil {
			events.ExecutorLost.Log(ctx, r.Log, "executor", id, "error", err)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executors[id] != h {
		return
	}
	report.Leaving = report.Leaving || h.listed.Leaving
	r.pool.Reconcile(report, func(key hoist.RequestKey) bool { return r.live[key] })
	r.assignAll()
}
