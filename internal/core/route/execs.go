package route

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// listEvery is the interval of reading the host list, and so the longest time
	// to notice an executor that is listed as leaving.
	listEvery = time.Second
	// reportEvery is the interval of requesting an executor's report.
	reportEvery = 800 * time.Millisecond
	// reportTimeout limits one report call. When one call meets a half-open
	// connection, the next one still reports within 2 s that an executor is leaving.
	reportTimeout = 400 * time.Millisecond
	// listTimeout limits one read of the host list, so that the list is read again
	// within the 2 s after which a leaving executor must get no more attempts.
	listTimeout = 800 * time.Millisecond
	// adoptTimeout limits one adoption, so that an executor can report within 2 s
	// that it is leaving unless it does not answer at all.
	adoptTimeout = time.Second
)

// executorHandle holds the state of one executor that this host owns.
type executorHandle struct {
	executor hoist.Executor
	// listed is the executor's entry in the host list.
	listed hoist.HostEntry
	term   hoist.Term
	cancel context.CancelFunc
	// isAdopted is set when the executor has accepted the term. adoptions counts
	// its adoptions; each one after the first follows a new executor process.
	isAdopted bool
	adoptions int
	// earlierAttempts holds the attempts of earlier owners that the executor
	// listed when it was adopted.
	earlierAttempts map[hoist.RequestKey]bool
	isLeaving       bool
}

// Run runs a goroutine for each executor that this host owns, until ctx ends. With
// a Table and a Store it also records and recovers the requests whose callers poll
// for the answer.
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
			r.syncExecutors(ctx, listed)
		}
		if !sleep(ctx, listEvery) {
			return
		}
	}
}

// syncExecutors starts and stops goroutines as executors are listed, are removed
// from the list, and change owner.
func (r *Router) syncExecutors(ctx context.Context, listed []hoist.HostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make(map[hoist.ExecutorID]bool)
	for _, l := range listed {
		id := hoist.ExecutorID(l.ID)
		term, ok := r.Ownership.Owns(hoist.ShardOf(hoist.KindExecutor, l.ID))
		if l.Kind != hoist.HostKindExecutor || !ok {
			continue
		}
		owned[id] = true
		if h, ok := r.executors[id]; ok && h.term == term && h.listed.Addr == l.Addr {
			h.listed.Leaving = l.Leaving
			r.pool.SetLeaving(id, l.Leaving || h.isLeaving)
			continue
		}
		r.dropExecutor(id)
		ctx, cancel := context.WithCancel(ctx)
		h := &executorHandle{executor: r.DialExecutor(l), listed: l, term: term, cancel: cancel}
		r.executors[id] = h
		go r.monitor(ctx, id, h)
	}
	for id := range r.executors {
		if !owned[id] {
			r.dropExecutor(id)
		}
	}
}

func (r *Router) dropExecutor(id hoist.ExecutorID) {
	if h, ok := r.executors[id]; ok {
		h.cancel()
		if c, ok := h.executor.(hoist.Closer); ok {
			c.Close()
		}
		delete(r.executors, id)
		r.pool.Remove(id)
	}
}

// monitor adopts one executor and then polls its reports. An executor that no
// longer knows its term is a new process and is adopted again.
func (r *Router) monitor(ctx context.Context, id hoist.ExecutorID, h *executorHandle) {
	for ctx.Err() == nil {
		if r.adopt(ctx, id, h) {
			events.ExecutorAdopted.Log(ctx, r.Log, "executor", id, "term", h.term)
			r.pollReports(ctx, id, h)
		}
		sleep(ctx, reportEvery)
	}
}

func (r *Router) adopt(ctx context.Context, id hoist.ExecutorID, h *executorHandle) bool {
	callCtx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	report, err := h.executor.Adopt(callCtx, h.term)
	if err != nil {
		if ctx.Err() == nil {
			events.ExecutorUnreachable.Log(ctx, r.Log, "executor", id, "error", err)
		}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executors[id] != h {
		return false
	}
	h.isAdopted = true
	h.adoptions++
	h.earlierAttempts = make(map[hoist.RequestKey]bool)
	for _, running := range report.Running {
		if _, ok := r.sent[id][running.Key]; !ok {
			h.earlierAttempts[running.Key] = true
		}
	}
	report.Executor = id
	report.Leaving = report.Leaving || h.listed.Leaving
	report.Running = append(report.Running, r.unlisted(id, h, report.Running)...)
	r.pool.Adopt(report, h.listed.Service)
	r.assignAll()
	return true
}

// unlisted returns the attempts that this host sent to an executor in the current
// term and that the executor does not list. They may still arrive and keep their
// slots. The executor refuses attempts of lower terms, so orphaned ones are
// dropped. The mutex must be held.
func (r *Router) unlisted(id hoist.ExecutorID, h *executorHandle, listed []hoist.RunningAttempt) []hoist.RunningAttempt {
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

// pollReports reads reports until ctx ends or the executor must be adopted again.
func (r *Router) pollReports(ctx context.Context, id hoist.ExecutorID, h *executorHandle) {
	for sleep(ctx, reportEvery) {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := h.executor.Report(callCtx)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				events.ExecutorUnreachable.Log(ctx, r.Log, "executor", id, "error", err)
			}
			continue
		}
		if report.Term != h.term {
			return
		}
		if !r.reconcile(id, h, report) {
			return
		}
		r.resolveOrphans(ctx, id, h)
	}
}

// reconcile frees the slots of attempts of earlier owners that have ended. Attempts
// that this host sent are resolved one by one instead, because a report may have
// been made before the attempt arrived. It returns false if h has been replaced.
func (r *Router) reconcile(id hoist.ExecutorID, h *executorHandle, report hoist.ExecutorReport) bool {
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
	r.pool.Reconcile(report, func(key hoist.RequestKey) bool { return !h.earlierAttempts[key] })
	r.assignAll()
	return true
}
