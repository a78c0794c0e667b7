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
	reportEvery = 800 * time.Millisecond
	// reportTimeout bounds a report. One that meets a half-open connection and
	// the one after it together leave an executor's word that it is leaving
	// known within 2 s.
	reportTimeout = 400 * time.Millisecond
	// listTimeout bounds reading the host list, so that it is read again within
	// the 2 s in which a leaving executor must get no more attempts.
	listTimeout = 800 * time.Millisecond
	// executorTimeout bounds an adoption, so that an executor's own
	// word is heard within 2 s unless it does not answer at all.
	executorTimeout = time.Second
)

// handle is one executor that this host owns.
type handle struct {
	executor hoist.Executor
	listed   hoist.HostEntry
	term     hoist.Term
	cancel   context.CancelFunc
	// isAdopted tells that the executor has the term; adoption counts the
	// adoptions, of which each but the first follows a new process.
	isAdopted bool
	adoption  int
	// inherited holds the attempts of earlier owners that the executor listed
	// when it was adopted.
	inherited map[hoist.RequestKey]bool
	isLeaving bool
}

// Run keeps a goroutine for each executor that this host owns, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	r.init()
	if r.Table != nil && r.Store != nil {
		go r.recordLoop(ctx)
		go r.recoverLoop(ctx)
	}
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		listed, err := r.HostList.List(listCtx)
		cancel()
		if err == nil {
			r.sync(ctx, listed)
		}
		if !pause(ctx, listEvery) {
			return
		}
	}
}

// sync starts and stops goroutines as executors come, go, and change owner.
func (r *Router) sync(ctx context.Context, listed []hoist.HostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make(map[hoist.ExecutorID]bool)
	for _, l := range listed {
		id := hoist.ExecutorID(l.ID)
		term, ok := r.Own.Owns(hoist.ShardOf(hoist.KindExecutor, l.ID))
		if l.Kind != hoist.HostKindExecutor || !ok {
			continue
		}
		owned[id] = true
		if h, ok := r.executors[id]; ok && h.term == term && h.listed.Addr == l.Addr {
			h.listed.Leaving = l.Leaving
			r.pool.SetLeaving(id, l.Leaving || h.isLeaving)
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
		if c, ok := h.executor.(hoist.Closer); ok {
			c.Close()
		}
		delete(r.executors, id)
		r.pool.Remove(id)
	}
}

// watch adopts one executor and then follows its reports. An executor that no
// longer knows its term is a new process and is adopted again.
func (r *Router) watch(ctx context.Context, id hoist.ExecutorID, h *handle) {
	for ctx.Err() == nil {
		if r.adopt(ctx, id, h) {
			events.ExecutorAdopted.Log(ctx, r.Log, "executor", id, "term", h.term)
			r.follow(ctx, id, h)
		}
		pause(ctx, reportEvery)
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
	h.isAdopted = true
	h.adoption++
	h.inherited = make(map[hoist.RequestKey]bool)
	for _, running := range report.Running {
		if _, ok := r.sent[id][running.Key]; !ok {
			h.inherited[running.Key] = true
		}
	}
	report.Executor = id
	report.Leaving = report.Leaving || h.listed.Leaving
	report.Running = append(report.Running, r.unlisted(id, h, report.Running)...)
	r.pool.Adopt(report, h.listed.Service)
	r.assignAll()
	return true
}

// unlisted returns the attempts that this host sent to an executor in its term
// and that the executor does not list: they may still arrive and keep their
// slots. Attempts of lower terms are refused by the executor and are forgotten.
// The mutex is held.
func (r *Router) unlisted(id hoist.ExecutorID, h *handle, listed []hoist.RunningAttempt) []hoist.RunningAttempt {
	isListed := make(map[hoist.RequestKey]bool)
	for _, l := range listed {
		isListed[l.Key] = true
	}
	var out []hoist.RunningAttempt
	for key, s := range r.sent[id] {
		switch {
		case isListed[key]:
		case s.term == h.term:
			out = append(out, hoist.RunningAttempt{Key: key, Attempt: s.no})
		case s.isOrphan:
			r.sent.close(id, key)
		}
	}
	return out
}

// follow reads reports until ctx ends or the executor must be adopted again.
func (r *Router) follow(ctx context.Context, id hoist.ExecutorID, h *handle) {
	for pause(ctx, reportEvery) {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := h.executor.Report(callCtx)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				events.ExecutorLost.Log(ctx, r.Log, "executor", id, "error", err)
			}
			continue
		}
		if report.Term != h.term {
			return
		}
		if !r.reconcile(id, h, report) {
			return
		}
		r.settleOrphans(ctx, id, h)
	}
}

// reconcile frees the slots of attempts of earlier owners that have ended. An
// attempt that this host sent is settled one by one instead, as a report may
// have been made before the attempt arrived.
func (r *Router) reconcile(id hoist.ExecutorID, h *handle, report hoist.ExecutorReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executors[id] != h {
		return false
	}
	if report.Leaving && !h.isLeaving {
		events.ExecutorLeaving.Log(context.Background(), r.Log, "executor", id)
	}
	h.isLeaving = report.Leaving
	report.Executor = id
	report.Leaving = report.Leaving || h.listed.Leaving
	r.pool.Reconcile(report, func(key hoist.RequestKey) bool { return !h.inherited[key] })
	r.assignAll()
	return true
}
