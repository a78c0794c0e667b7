package tasks

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/grant"
)

// handle is one worker that this host owns.
type handle struct {
	worker hoist.Worker
	listed hoist.Listed
	term   hoist.Term
	cancel context.CancelFunc
	// account is nil until the worker was adopted.
	account  *grant.Account
	report   hoist.WorkerReport
	acked    []hoist.TaskID
	isSilent bool
}

// listLoop keeps a goroutine for each worker that this host owns.
func (m *Manager) listLoop(ctx context.Context) {
	for {
		if listed, err := m.HostList.List(ctx); err == nil {
			m.sync(ctx, listed)
		}
		m.recover(ctx)
		if !pause(ctx, renewEvery) {
			return
		}
	}
}

func (m *Manager) sync(ctx context.Context, listed []hoist.Listed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
	owned := make(map[hoist.WorkerID]bool)
	for _, l := range listed {
		id := hoist.WorkerID(l.ID)
		term, ok := m.Own.Owns(workerShardOf(id))
		if l.Kind != hoist.ListedWorker || !ok {
			continue
		}
		owned[id] = true
		if h, ok := m.workers[id]; ok && h.term == term && h.listed.Addr == l.Addr {
			h.listed = l
			continue
		}
		m.drop(id)
		ctx, cancel := context.WithCancel(ctx)
		h := &handle{worker: m.DialWorker(l), listed: l, term: term, cancel: cancel}
		m.workers[id] = h
		go m.watch(ctx, id, h)
	}
	for id := range m.workers {
		if !owned[id] {
			m.drop(id)
		}
	}
}

func (m *Manager) drop(id hoist.WorkerID) {
	if h, ok := m.workers[id]; ok {
		h.cancel()
		delete(m.workers, id)
	}
}

// watch adopts one worker and then renews its leases.
func (m *Manager) watch(ctx context.Context, id hoist.WorkerID, h *handle) {
	for !m.adopt(ctx, id, h) {
		if !pause(ctx, renewEvery) {
			return
		}
	}
	events.WorkerAdopted.Log(ctx, m.Log, "worker", id, "term", h.term)
	answered := m.Clock.Now()
	for pause(ctx, renewEvery) {
		if m.renew(ctx, id, h) {
			answered = m.Clock.Now()
		} else if m.Clock.Now().Sub(answered) > TaskLease+TaskLeaseDrift {
			m.lose(ctx, id, h)
		}
	}
}

func (m *Manager) adopt(ctx context.Context, id hoist.WorkerID, h *handle) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := h.worker.Adopt(callCtx, h.term)
	if err != nil {
		if ctx.Err() == nil {
			events.WorkerLost.Log(ctx, m.Log, "worker", id, "error", err)
		}
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	report.Leaving = report.Leaving || h.listed.Leaving
	h.account = grant.NewAccount(report)
	h.report = report
	m.wake()
	return true
}

// renew extends the leases of one worker and reports the ends that it lists.
func (m *Manager) renew(ctx context.Context, id hoist.WorkerID, h *handle) bool {
	if _, ok := m.Own.Owns(workerShardOf(id)); !ok {
		return false
	}
	asked := m.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := h.worker.Renew(callCtx, h.term, TaskLease, h.acked)
	if err != nil {
		if ctx.Err() == nil {
			events.WorkerLost.Log(ctx, m.Log, "worker", id, "error", err)
		}
		return false
	}
	h.acked = nil
	missing := m.reconcile(h, report, asked)
	for _, status := range report.Ended {
		if m.tellOwner(ctx, hoist.WorkerTask{Worker: id, Status: status}) {
			h.acked = append(h.acked, status.Task)
		}
	}
	for _, g := range missing {
		m.tellOwner(ctx, hoist.WorkerTask{Worker: id, Status: stoppedStatus(g, "the start did not arrive")})
	}
	return true
}

func stoppedStatus(g hoist.Grant, reason string) hoist.TaskStatus {
	return hoist.TaskStatus{
		Task: g.Task, Job: g.Job, Team: g.Team, Attempt: g.Attempt,
		State: hoist.TaskStopped, Need: g.Need, Priority: g.Priority, Reason: reason,
	}
}

func (m *Manager) reconcile(h *handle, report hoist.WorkerReport, asked time.Time) []hoist.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	report.Leaving = report.Leaving || h.listed.Leaving
	missing := h.account.Reconcile(report, asked)
	h.report = report
	h.isSilent = false
	m.wake()
	return missing
}

// lose gives up on a worker whose leases have all lapsed: its tasks have
// stopped and may start elsewhere.
func (m *Manager) lose(ctx context.Context, id hoist.WorkerID, h *handle) {
	m.mu.Lock()
	isNew := !h.isSilent
	h.isSilent = true
	running := h.report.Running
	h.report.Running = nil
	h.account = grant.NewAccount(hoist.WorkerReport{Worker: id, Leaving: true})
	m.mu.Unlock()
	if !isNew {
		return
	}
	events.WorkerLost.Log(ctx, m.Log, "worker", id, "tasks", len(running))
	for _, status := range running {
		status.State = hoist.TaskStopped
		status.Reason = "the worker is lost"
		m.tellOwner(ctx, hoist.WorkerTask{Worker: id, Status: status})
	}
}

// tellOwner reports the end of a task to the owner of its job.
func (m *Manager) tellOwner(ctx context.Context, t hoist.WorkerTask) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	host, ok := m.Own.OwnerOf(teamShardOf(t.Status.Team))
	if !ok {
		return false
	}
	if host == m.Own.Self() {
		return m.TaskEnded(ctx, t) == nil
	}
	peer, ok := m.Own.Peer(host)
	return ok && peer.TaskEnded(ctx, t) == nil
}

// localCandidates returns the adopted workers. The mutex is held.
func (m *Manager) localCandidates() []hoist.Candidate {
	out := make([]hoist.Candidate, 0, len(m.workers))
	for id, h := range m.workers {
		if h.account == nil || h.listed.Leaving {
			continue
		}
		out = append(out, hoist.Candidate{
			Worker:     id,
			DataCentre: h.report.DataCentre,
			Rack:       h.report.Rack,
			Capacity:   h.report.Capacity,
			Free:       h.account.Free(),
		})
	}
	slices.SortFunc(out, func(a, b hoist.Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// owned returns the handle of a worker that this host owns now.
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

// Reserve holds capacity on an owned worker.
func (m *Manager) Reserve(p hoist.Placement) error {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	h, err := m.owned(p)
	if err != nil {
		return err
	}
	return h.account.Reserve(p.Grant, m.Clock.Now())
}

// Unreserve gives a reservation back.
func (m *Manager) Unreserve(p hoist.Placement) error {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	h, err := m.owned(p)
	if err != nil {
		return err
	}
	h.account.Release(p.Grant.Task)
	return nil
}

// Start starts a reserved task on an owned worker. After
// hoist.ErrOutcomeUnknown the worker's next report tells whether it runs; the
// owner of the job hears of it if it does not.
func (m *Manager) Start(ctx context.Context, p hoist.Placement) error {
	m.init()
	m.mu.Lock()
	h, err := m.owned(p)
	if err == nil {
		err = h.account.Commit(p.Grant.Task, p.Grant.Attempt, m.Clock.Now())
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	g := p.Grant
	g.Term = h.term
	g.Lease = TaskLease
	err = h.worker.Start(ctx, g)
	m.mu.Lock()
	defer m.mu.Unlock()
	h.account.Answered(g.Task, m.Clock.Now())
	if err != nil && !isUnknown(err) {
		h.account.Release(g.Task)
	}
	return err
}

// Survey lists the tasks of team shards on the adopted workers.
func (m *Manager) Survey(shards []hoist.ShardID) hoist.SurveyReply {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	var reply hoist.SurveyReply
	for id, h := range m.workers {
		if h.account == nil {
			continue
		}
		reply.Workers = append(reply.Workers, id)
		for _, status := range slices.Concat(h.report.Running, h.report.Ended) {
			if slices.Contains(shards, teamShardOf(status.Team)) {
				reply.Tasks = append(reply.Tasks, hoist.WorkerTask{Worker: id, Status: status})
			}
		}
		for _, g := range h.account.Grants() {
			if slices.Contains(shards, teamShardOf(g.Team)) {
				reply.Tasks = append(reply.Tasks, hoist.WorkerTask{Worker: id, Status: runningStatus(g)})
			}
		}
	}
	return reply
}

func runningStatus(g hoist.Grant) hoist.TaskStatus {
	status := stoppedStatus(g, "")
	status.State = hoist.TaskRunning
	return status
}
