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

// endFollows is the result of a stop after which the worker's owner reports the
// end of the task, so that a task that had just succeeded counts as such.
var endFollows = merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("the end of the task is reported separately"))

// owned returns the handle of a worker that this host owns now, for a placement
// of the current owner of the job. The mutex is held.
func (m *Manager) owned(p hoist.Placement) (*handle, error) {
	term, ok := m.Own.Owns(workerShardOf(p.Worker))
	if !ok {
		return nil, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("worker %s", p.Worker))
	}
	if !m.Own.Accepts(p.TeamShard, p.TeamTerm) {
		return nil, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("team shard %d, term %d", p.TeamShard, p.TeamTerm))
	}
	h, ok := m.workers[p.Worker]
	if !ok || h.term != term || h.account == nil {
		return nil, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("worker %s is not adopted in term %d", p.Worker, term))
	}
	return h, nil
}

// Reserve holds capacity on owned workers.
func (m *Manager) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return m.eachWorker(ps, func(p hoist.Placement) error {
		return m.withRoom(ctx, p, func(h *handle) error { return h.reserve(p, m.Clock.Now()) })
	})
}

// eachWorker calls fn for each placement: at once for different workers, one
// after the other on the same worker.
func (m *Manager) eachWorker(ps []hoist.Placement, fn func(hoist.Placement) error) []error {
	m.init()
	errs := make([]error, len(ps))
	byWorker := make(map[hoist.WorkerID][]int)
	for i, p := range ps {
		byWorker[p.Worker] = append(byWorker[p.Worker], i)
	}
	var wg sync.WaitGroup
	for _, at := range byWorker {
		wg.Go(func() {
			for _, i := range at {
				errs[i] = fn(ps[i])
			}
		})
	}
	wg.Wait()
	return errs
}

// withRoom calls fn with the worker's handle, with the mutex held. If capacity
// is short and the placement is urgent, tasks of lower priority are stopped
// first.
func (m *Manager) withRoom(ctx context.Context, p hoist.Placement, fn func(*handle) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, err := m.owned(p)
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
	stopped := m.checkpoint(ctx, h, victims)
	m.mu.Lock()
	for _, s := range stopped {
		h.account.Release(s.Task)
		delete(h.live, s.Task)
		h.closing[s.Task] = closing{s.Attempt, m.Clock.Now()}
		events.TaskPreempted.Log(ctx, m.Log, "task", s.Task, "worker", p.Worker, "for", p.Grant.Task)
	}
	clock.Signal(h.renewDue)
	if h, err = m.owned(p); err != nil {
		return err
	}
	return fn(h)
}

// victims returns running tasks of lower priority that make room for a grant:
// the lowest priority first, and the latest started among equals.
func (h *handle) victims(g hoist.Grant) []hoist.TaskStatus {
	var lower []hoist.TaskStatus
	for _, s := range h.report.Running {
		if s.Priority < g.Priority && h.mayYield(s) {
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

// checkpoint stops tasks and returns those that were stopped.
func (m *Manager) checkpoint(ctx context.Context, h *handle, victims []hoist.TaskStatus) []hoist.TaskStatus {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
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

// reserve holds capacity for a task. On a full worker a placement with Hold
// keeps what becomes free for its job. The mutex of the manager is held.
func (h *handle) reserve(p hoist.Placement, now time.Time) error {
	g := p.Grant
	if h.refused[g.Task].attempt >= g.Attempt {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of task %s was stopped", g.Attempt, g.Task))
	}
	if h.live[g.Task] == g.Attempt {
		if !p.Trial {
			delete(h.trials, g.Task)
		}
		return nil
	}
	if now.Sub(h.asked) > freshTime {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("worker %s has not answered since %s", p.Worker, h.asked))
	}
	if h.hold.job != g.Job && now.Before(h.hold.until) && !p.Preempt {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessagef("worker %s is held for job %s", p.Worker, h.hold.job))
	}
	if attempt, ok := h.reserved[g.Task]; ok && attempt != g.Attempt {
		h.account.Unreserve(g.Task, attempt)
		delete(h.reserved, g.Task)
	}
	err := h.account.Reserve(g, now)
	if err == nil {
		h.reserved[g.Task] = g.Attempt
	}
	if p.Hold && errors.Is(err, hoist.ErrNoCapacity) {
		h.hold = hold{g.Job, now.Add(grant.HoldTime)}
	}
	return err
}

// Unreserve gives reservations back.
func (m *Manager) Unreserve(_ context.Context, ps []hoist.Placement) error {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range ps {
		h, err := m.owned(p)
		if err != nil {
			continue
		}
		if h.hold.job == p.Grant.Job {
			h.hold = hold{}
		}
		h.unreserve(p.Grant)
	}
	return nil
}

func (h *handle) unreserve(g hoist.Grant) {
	if h.reserved[g.Task] == g.Attempt {
		h.account.Unreserve(g.Task, g.Attempt)
		delete(h.reserved, g.Task)
	}
}

// Start starts tasks on owned workers, with or without a reservation made
// before. After hoist.ErrOutcomeUnknown the worker's next report tells whether
// the task runs; the owner of the job hears of it if it does not.
func (m *Manager) Start(ctx context.Context, ps []hoist.Placement) []error {
	var mu sync.Mutex
	silent := make(map[hoist.WorkerID]bool)
	return m.eachWorker(ps, func(p hoist.Placement) error {
		mu.Lock()
		isSilent := silent[p.Worker]
		mu.Unlock()
		if isSilent {
			return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("worker %s did not answer an earlier start", p.Worker))
		}
		err := m.startOne(ctx, p)
		if isUnknown(err) {
			mu.Lock()
			defer mu.Unlock()
			silent[p.Worker] = true
		}
		return err
	})
}

func (m *Manager) startOne(ctx context.Context, p hoist.Placement) error {
	g := p.Grant
	var at *handle
	isStarted := false
	err := m.withRoom(ctx, p, func(h *handle) error {
		at = h
		if h.live[g.Task] == g.Attempt {
			isStarted = true
			return nil
		}
		return m.commit(h, p)
	})
	if err != nil || isStarted {
		return err
	}
	g.Term = at.term
	g.Lease = TaskLease
	callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err = at.worker.Start(callCtx, g)
	m.mu.Lock()
	defer m.mu.Unlock()
	at.answered(g, err, m.Clock.Now())
	if err != nil && !isUnknown(err) {
		m.health.Stopped(runOf(p.Worker, stoppedStatus(g, "")))
	}
	return err
}

// commit reserves and grants a task. The mutex is held.
func (m *Manager) commit(h *handle, p hoist.Placement) error {
	now := m.Clock.Now()
	if !m.health.Allows(p.Worker, now) {
		return merry.Wrap(hoist.ErrNoCapacity, merry.PrependMessagef("tasks fail on worker %s", p.Worker))
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
	if p.Trial {
		h.trials[g.Task] = closing{g.Attempt, now.Add(jobs.GangTrialTime)}
	}
	m.health.Started(runOf(p.Worker, stoppedStatus(g, "")), now)
	if h.hold.job == g.Job {
		h.hold = hold{}
	}
	return nil
}

// answered records the answer to a start. The mutex of the manager is held.
func (h *handle) answered(g hoist.Grant, err error, now time.Time) {
	delete(h.starting, g.Task)
	if h.live[g.Task] != g.Attempt {
		// The account was opened anew in the meantime.
		return
	}
	h.account.Answered(g.Task, now)
	if err != nil && !isUnknown(err) {
		h.account.Release(g.Task)
		delete(h.live, g.Task)
	}
}

// Stop ends tasks on owned workers. After a nil result the attempt does not run
// and will not be started; the end of one that ran is reported before.
func (m *Manager) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	return m.eachWorker(ps, func(p hoist.Placement) error {
		m.mu.Lock()
		h, err := m.owned(p)
		isRunning := false
		if err == nil {
			isRunning, err = h.refuse(p.Grant, m.Clock.Now())
		}
		m.mu.Unlock()
		if err != nil || !isRunning {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		attempt := hoist.TaskAttempt{Task: p.Grant.Task, Attempt: p.Grant.Attempt}
		if err := h.worker.Stop(callCtx, h.term, attempt, mode); err != nil {
			return err
		}
		clock.Signal(h.renewDue)
		return endFollows
	})
}

// refuse lets an attempt not start any more. It reports whether the attempt
// runs, and returns an error if that is not known or if its end is on the way.
// The mutex of the manager is held.
func (h *handle) refuse(g hoist.Grant, now time.Time) (isRunning bool, err error) {
	h.refused[g.Task] = closing{max(g.Attempt, h.refused[g.Task].attempt), now}
	h.unreserve(g)
	if h.starting[g.Task].Attempt == g.Attempt {
		return false, merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessagef("task %s is being started", g.Task))
	}
	if h.live[g.Task] == g.Attempt {
		return true, nil
	}
	_, isEnding := h.ends[hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}]
	if isEnding || h.closing[g.Task].attempt == g.Attempt {
		return false, endFollows
	}
	return false, nil
}

// Survey lists the tasks of team shards on the adopted workers. From then on
// placements of lower terms of these shards are refused here, so nothing that
// the list lacks is started by an earlier owner.
func (m *Manager) Survey(shards []hoist.ShardTerm) (hoist.SurveyReply, error) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	asked := make(map[hoist.ShardID]bool, len(shards))
	for _, s := range shards {
		if !m.Own.Accepts(s.Shard, s.Term) {
			return hoist.SurveyReply{}, merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("team shard %d, term %d", s.Shard, s.Term))
		}
		asked[s.Shard] = true
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
		for _, status := range h.known() {
			if asked[teamShardOf(status.Team)] {
				reply.Tasks = append(reply.Tasks, hoist.WorkerTask{Worker: id, Status: status})
			}
		}
	}
	return reply, nil
}

// known returns the tasks that run, that are being started, and that ended
// without an acknowledgement.
func (h *handle) known() []hoist.TaskStatus {
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
