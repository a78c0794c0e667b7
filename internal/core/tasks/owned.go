package tasks

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/grant"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
)

// errEndReportedSeparately is the result of a stop after which the worker's owner
// reports the end of the task. A task that succeeded just before the stop thus
// counts as succeeded.
var errEndReportedSeparately = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("the end of the task is reported separately"))

// ownedHandle returns the handle of the worker of a placement. It returns
// hoist.ErrNotOwner unless this host owns and has adopted the worker, and
// hoist.ErrStaleTerm if the placement is from an earlier owner of the job. The
// mutex is held.
func (m *Manager) ownedHandle(p hoist.Placement) (*workerHandle, error) {
	term, ok := m.Ownership.Owns(workerShardOf(p.Worker))
	if !ok {
		return nil, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("this host does not own worker %s", p.Worker))
	}
	if !m.Ownership.Accepts(p.TeamShard, p.TeamTerm) {
		return nil, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("placement for team shard %d carries term %d", p.TeamShard, p.TeamTerm))
	}
	h, ok := m.workers[p.Worker]
	if !ok || h.term != term || h.account == nil {
		return nil, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("worker %s is not adopted in term %d", p.Worker, term))
	}
	return h, nil
}

// Reserve reserves capacity on owned workers and returns one result for each
// placement.
func (m *Manager) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return m.eachWorker(ps, func(p hoist.Placement) error {
		return m.withPreemption(ctx, p, func(h *workerHandle) error { return h.reserve(p, m.Clock.Now()) })
	})
}

// eachWorker calls fn for each placement, concurrently for different workers and
// in order for placements on the same worker.
func (m *Manager) eachWorker(ps []hoist.Placement, fn func(hoist.Placement) error) []error {
	m.init()
	errs := make([]error, len(ps))
	byWorker := make(map[hoist.WorkerID][]int)
	for i, p := range ps {
		byWorker[p.Worker] = append(byWorker[p.Worker], i)
	}
	var wg sync.WaitGroup
	for _, indices := range byWorker {
		wg.Go(func() {
			for _, i := range indices {
				errs[i] = fn(ps[i])
			}
		})
	}
	wg.Wait()
	return errs
}

// withPreemption calls fn with the worker's handle while it holds the mutex. If
// fn finds too little capacity and the placement may preempt, tasks of lower
// priority are stopped and fn is called again.
func (m *Manager) withPreemption(ctx context.Context, p hoist.Placement, fn func(*workerHandle) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, err := m.ownedHandle(p)
	if err != nil {
		return err
	}
	err = fn(h)
	if !errors.Is(err, hoist.ErrNoCapacity) || !p.Preempt {
		return err
	}
	victims := h.victims(p.Grant)
	if len(victims) == 0 {
		return err
	}
	m.mu.Unlock()
	stopped := m.stopVictims(ctx, h, victims)
	m.mu.Lock()
	for _, s := range stopped {
		h.account.Release(s.Task)
		delete(h.live, s.Task)
		h.stopped[s.Task] = timedAttempt{s.Attempt, m.Clock.Now()}
		events.TaskPreempted.Log(ctx, m.Log, "task", s.Task, "worker", p.Worker, "for", p.Grant.Task)
	}
	clock.Signal(h.renewDue)
	if h, err = m.ownedHandle(p); err != nil {
		return err
	}
	return fn(h)
}

// victims returns the running tasks of lower priority to stop for a grant: the
// lowest priority first, and the latest started among equals. It returns nil if
// stopping all of them would not free enough capacity.
func (h *workerHandle) victims(g hoist.Grant) []hoist.TaskStatus {
	var lower []hoist.TaskStatus
	for _, s := range h.report.Running {
		if s.Priority < g.Priority && h.isPreemptible(s) {
			lower = append(lower, s)
		}
	}
	slices.SortFunc(lower, func(a, b hoist.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), b.Started.Compare(a.Started), cmp.Compare(a.Task, b.Task))
	})
	free := h.account.Free()
	for i, s := range lower {
		if free = free.Add(s.Need); g.Need.Fits(free) {
			return lower[:i+1]
		}
	}
	return nil
}

// stopVictims stops tasks with a checkpoint and returns those whose stop
// succeeded.
func (m *Manager) stopVictims(ctx context.Context, h *workerHandle, victims []hoist.TaskStatus) []hoist.TaskStatus {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	isStopped := make([]bool, len(victims))
	var wg sync.WaitGroup
	for i, s := range victims {
		wg.Go(func() {
			isStopped[i] = h.worker.Stop(ctx, h.term, attemptOf(s), hoist.StopCheckpoint) == nil
		})
	}
	wg.Wait()
	var out []hoist.TaskStatus
	for i, s := range victims {
		if isStopped[i] {
			out = append(out, s)
		}
	}
	return out
}

// reserve reserves capacity for a task. On a full worker, a placement with ReserveFreed
// reserves the capacity that becomes free for its job. The mutex of the manager
// is held.
func (h *workerHandle) reserve(p hoist.Placement, now time.Time) error {
	g := p.Grant
	if h.refused[g.Task].attempt >= g.Attempt {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of task %s was stopped", g.Attempt, g.Task))
	}
	if h.live[g.Task] == g.Attempt {
		if !p.IsTentative {
			delete(h.tentative, g.Task)
		}
		return nil
	}
	if now.Sub(h.reportRequestedAt) > maxReportAge {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("worker %s has not answered since %s", p.Worker, h.reportRequestedAt))
	}
	if h.reservedFor.job != g.Job && now.Before(h.reservedFor.until) && !p.Preempt {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessagef("the free capacity of worker %s is reserved for job %s", p.Worker, h.reservedFor.job))
	}
	if attempt, ok := h.reserved[g.Task]; ok && attempt != g.Attempt {
		h.account.Unreserve(g.Task, attempt)
		delete(h.reserved, g.Task)
	}
	err := h.account.Reserve(g, now)
	if err == nil {
		h.reserved[g.Task] = g.Attempt
	}
	if p.ReserveFreed && errors.Is(err, hoist.ErrNoCapacity) {
		h.reservedFor = gangReservation{g.Job, now.Add(grant.ReservationTime)}
	}
	return err
}

// Unreserve releases reservations on owned workers. It ignores placements on
// workers that this host does not own.
func (m *Manager) Unreserve(_ context.Context, ps []hoist.Placement) error {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range ps {
		h, err := m.ownedHandle(p)
		if err != nil {
			continue
		}
		if h.reservedFor.job == p.Grant.Job {
			h.reservedFor = gangReservation{}
		}
		h.unreserve(p.Grant)
	}
	return nil
}

func (h *workerHandle) unreserve(g hoist.Grant) {
	if h.reserved[g.Task] == g.Attempt {
		h.account.Unreserve(g.Task, g.Attempt)
		delete(h.reserved, g.Task)
	}
}

// Start starts tasks on owned workers, with or without an earlier reservation,
// and returns one result for each placement. After hoist.ErrOutcomeUnknown the
// worker's next report shows whether the task runs; if it does not, its end is
// reported to the owner of the job. If a worker does not answer one start, the
// remaining starts on it in this call fail with hoist.ErrUnavailable.
func (m *Manager) Start(ctx context.Context, ps []hoist.Placement) []error {
	var mu sync.Mutex
	unresponsive := make(map[hoist.WorkerID]bool)
	return m.eachWorker(ps, func(p hoist.Placement) error {
		mu.Lock()
		isUnresponsive := unresponsive[p.Worker]
		mu.Unlock()
		if isUnresponsive {
			return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("worker %s did not answer an earlier start", p.Worker))
		}
		err := m.startOne(ctx, p)
		if isOutcomeUnknown(err) {
			mu.Lock()
			defer mu.Unlock()
			unresponsive[p.Worker] = true
		}
		return err
	})
}

func (m *Manager) startOne(ctx context.Context, p hoist.Placement) error {
	g := p.Grant
	var started *workerHandle
	isStarted := false
	err := m.withPreemption(ctx, p, func(h *workerHandle) error {
		started = h
		if h.live[g.Task] == g.Attempt {
			isStarted = true
			return nil
		}
		return m.commitGrant(h, p)
	})
	if err != nil || isStarted {
		return err
	}
	g.Term = started.term
	g.Lease = TaskLease
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err = started.worker.Start(callCtx, g)
	m.mu.Lock()
	defer m.mu.Unlock()
	started.recordStartAnswer(g, err, m.Clock.Now())
	if err != nil && !isOutcomeUnknown(err) {
		m.healthTracker.RecordStop(healthRun(p.Worker, stoppedStatus(g, "")))
	}
	return err
}

// commitGrant reserves capacity for a task and commits its grant. The mutex is
// held.
func (m *Manager) commitGrant(h *workerHandle, p hoist.Placement) error {
	now := m.Clock.Now()
	if !m.healthTracker.Allows(p.Worker, now) {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessagef("worker %s gets no further tasks at present because tasks failed on it", p.Worker))
	}
	if err := h.reserve(p, now); err != nil {
		return err
	}
	g := p.Grant
	delete(h.reserved, g.Task)
	if err := h.account.Commit(g.Task, g.Attempt, now); err != nil {
		return err
	}
	h.live[g.Task] = g.Attempt
	h.starting[g.Task] = g
	h.leaseSentAt = now
	if p.IsTentative {
		h.tentative[g.Task] = timedAttempt{g.Attempt, now.Add(jobs.UnconfirmedGangTimeout)}
	}
	m.healthTracker.RecordStart(healthRun(p.Worker, stoppedStatus(g, "")), now)
	if h.reservedFor.job == g.Job {
		h.reservedFor = gangReservation{}
	}
	return nil
}

// recordStartAnswer records the answer to a start. The mutex of the manager is
// held.
func (h *workerHandle) recordStartAnswer(g hoist.Grant, err error, now time.Time) {
	delete(h.starting, g.Task)
	if h.live[g.Task] != g.Attempt {
		// The account was opened again while the call was in flight.
		return
	}
	h.account.RecordAnswer(g.Task, now)
	if err != nil && !isOutcomeUnknown(err) {
		h.account.Release(g.Task)
		delete(h.live, g.Task)
	}
}

// Stop stops tasks on owned workers and returns one result for each placement.
// Nil means that the attempt does not run and will not be started, and that the
// end of an attempt that ran has been acknowledged.
func (m *Manager) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	return m.eachWorker(ps, func(p hoist.Placement) error {
		m.mu.Lock()
		h, err := m.ownedHandle(p)
		isRunning := false
		if err == nil {
			isRunning, err = h.refuse(p.Grant, m.Clock.Now())
		}
		m.mu.Unlock()
		if err != nil || !isRunning {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		attempt := hoist.TaskAttempt{Task: p.Grant.Task, Attempt: p.Grant.Attempt}
		if err := h.worker.Stop(callCtx, h.term, attempt, mode); err != nil {
			return err
		}
		clock.Signal(h.renewDue)
		return errEndReportedSeparately
	})
}

// refuse prevents an attempt from being started from now on. It reports whether
// the attempt runs, and returns an error if that is not known or if its end has
// yet to be reported. The mutex of the manager is held.
func (h *workerHandle) refuse(g hoist.Grant, now time.Time) (isRunning bool, err error) {
	h.refused[g.Task] = timedAttempt{max(g.Attempt, h.refused[g.Task].attempt), now}
	h.unreserve(g)
	if h.starting[g.Task].Attempt == g.Attempt {
		return false, merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("task %s is being started", g.Task))
	}
	if h.live[g.Task] == g.Attempt {
		return true, nil
	}
	_, isEnding := h.ends[hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}]
	if isEnding || h.stopped[g.Task].attempt == g.Attempt {
		return false, errEndReportedSeparately
	}
	return false, nil
}

// Survey lists the tasks of team shards on the adopted workers. From then on this
// host refuses placements of lower terms of these shards, so an earlier owner
// cannot start a task that is missing from the list. It returns
// hoist.ErrStaleTerm if one of the given terms is outdated.
func (m *Manager) Survey(shards []hoist.ShardTerm) (hoist.SurveyReply, error) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	requested := make(map[hoist.ShardID]bool, len(shards))
	for _, s := range shards {
		if !m.Ownership.Accepts(s.Shard, s.Term) {
			return hoist.SurveyReply{}, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("survey of team shard %d carries term %d", s.Shard, s.Term))
		}
		requested[s.Shard] = true
	}
	var reply hoist.SurveyReply
	for id, h := range m.workers {
		if !m.owns(workerShardOf(id), h.term) {
			continue
		}
		if h.account == nil {
			reply.Unadopted = append(reply.Unadopted, id)
			continue
		}
		reply.Workers = append(reply.Workers, id)
		for _, status := range h.knownTasks() {
			if requested[teamShardOf(status.Team)] {
				reply.Tasks = append(reply.Tasks, hoist.WorkerTask{Worker: id, Status: status})
			}
		}
	}
	return reply, nil
}

// knownTasks returns the tasks that run, those that are being started, and those
// whose end is not acknowledged.
func (h *workerHandle) knownTasks() []hoist.TaskStatus {
	var out []hoist.TaskStatus
	for _, e := range h.ends {
		out = append(out, e.status)
	}
	started := make(map[hoist.TaskID]time.Time, len(h.report.Running))
	for _, s := range h.report.Running {
		started[s.Task] = s.Started
	}
	for _, g := range h.account.Grants() {
		if h.live[g.Task] == g.Attempt {
			status := stoppedStatus(g, "")
			status.State = hoist.TaskRunning
			status.Started = started[g.Task]
			out = append(out, status)
		}
	}
	return out
}
