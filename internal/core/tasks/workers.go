package tasks

import (
	"cmp"
	"context"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/grant"
	"fuchsiahoist.example/hoist/internal/decide/health"
	"fuchsiahoist.example/hoist/internal/decide/learn"
)

const (
	// refusedRetention is how long a worker's owner remembers attempts that
	// ended or were stopped, so that a delayed start does not run them.
	refusedRetention = time.Minute
	// doubtRetention is how long a start that may still arrive at a worker is remembered.
	// TCP sends the bytes of a closed connection again for up to 102 s.
	doubtRetention = 2 * time.Minute
)

// workerHandle is the state of one worker that this host owns.
type workerHandle struct {
	worker hoist.Worker
	entry  hoist.HostEntry
	// isDelisted is set when the worker is no longer in the host list. That does
	// not prove that it has stopped, so its tasks are tracked until they end or
	// their leases expire.
	isDelisted bool
	term       hoist.Term
	cancel     context.CancelFunc
	// account is nil until the worker has been adopted.
	account *grant.Account
	report  hoist.WorkerReport
	// reportRequestedAt is when the report was requested.
	reportRequestedAt time.Time
	// leaseSentAt is when the last call was sent that may have brought or extended a lease,
	// or when the worker was adopted.
	leaseSentAt time.Time
	// termSetAt is when the worker was last told the term.
	termSetAt time.Time
	// live are the attempts that were committed and are not known to have ended.
	live map[hoist.TaskID]hoist.AttemptNo
	// reserved are the attempts that capacity is reserved for.
	reserved map[hoist.TaskID]hoist.AttemptNo
	// starting are the live tasks whose start has not been answered.
	starting map[hoist.TaskID]hoist.Grant
	// stopped are tasks that were stopped and whose end no report has listed.
	stopped map[hoist.TaskID]timedAttempt
	// tentative are the tasks of gangs that are not confirmed to run as a whole,
	// with the time until which they may run without that confirmation.
	tentative map[hoist.TaskID]timedAttempt
	// refused are the attempts that must not be started any more.
	refused map[hoist.TaskID]timedAttempt
	// inDoubt are attempts that no report had listed when the worker was lost, with the
	// time of the loss. Their starts may still arrive, so they are stopped once the worker
	// answers again.
	inDoubt map[hoist.TaskAttempt]time.Time
	// ends are the ends that the owners of the jobs have not acknowledged.
	ends map[hoist.TaskAttempt]*endReport
	// acked are acknowledged ends that the worker may drop.
	acked       map[hoist.TaskAttempt]bool
	reservedFor gangReservation
	isLost      bool
	wasLeaving  bool
	renewDue    chan struct{}
	endsDue     chan struct{}
}

// timedAttempt is an attempt with the time at which it was stopped or refused, or
// until which it may run as a tentative start.
type timedAttempt struct {
	attempt hoist.AttemptNo
	at      time.Time
}

// gangReservation reserves the capacity that becomes free on a worker for one job.
type gangReservation struct {
	job   hoist.JobID
	until time.Time
}

func newWorkerHandle(w hoist.Worker, entry hoist.HostEntry, term hoist.Term, cancel context.CancelFunc) *workerHandle {
	return &workerHandle{
		worker: w, entry: entry, term: term, cancel: cancel,
		live:      make(map[hoist.TaskID]hoist.AttemptNo),
		reserved:  make(map[hoist.TaskID]hoist.AttemptNo),
		starting:  make(map[hoist.TaskID]hoist.Grant),
		stopped:   make(map[hoist.TaskID]timedAttempt),
		tentative: make(map[hoist.TaskID]timedAttempt),
		refused:   make(map[hoist.TaskID]timedAttempt),
		inDoubt:   make(map[hoist.TaskAttempt]time.Time),
		ends:      make(map[hoist.TaskAttempt]*endReport),
		acked:     make(map[hoist.TaskAttempt]bool),
		renewDue:  make(chan struct{}, 1),
		endsDue:   make(chan struct{}, 1),
	}
}

func (h *workerHandle) isLeaving() bool {
	return h.entry.Leaving || h.isDelisted || h.report.Leaving
}

// listLoop reads the host list and runs the goroutines of the workers that this
// host owns.
func (m *Manager) listLoop(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listed, err := m.HostList.List(callCtx)
		cancel()
		if err == nil {
			m.syncWorkers(ctx, listed)
		}
		if !clock.SleepOr(ctx, renewInterval, m.listDue) {
			return
		}
	}
}

func (m *Manager) syncWorkers(ctx context.Context, entries []hoist.HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[hoist.WorkerID]hoist.HostEntry)
	for _, entry := range entries {
		if entry.Kind == hoist.HostKindWorker {
			listed[hoist.WorkerID(entry.ID)] = entry
		}
	}
	m.listedWorkers = listed
	for id, entry := range listed {
		m.syncWorker(ctx, id, entry)
	}
	for id, h := range m.workers {
		_, isListed := listed[id]
		h.isDelisted = !isListed
		isFinished := h.isDelisted && (h.account == nil || h.isLost || len(h.live)+len(h.ends) == 0)
		if isFinished || !m.owns(workerShardOf(id), h.term) {
			h.cancel()
			delete(m.workers, id)
		}
	}
}

func (m *Manager) syncWorker(ctx context.Context, id hoist.WorkerID, entry hoist.HostEntry) {
	term, ok := m.Ownership.Owns(workerShardOf(id))
	if !ok {
		return
	}
	if h, ok := m.workers[id]; ok {
		if h.term == term && h.entry.Addr == entry.Addr {
			h.entry = entry
			return
		}
		h.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	h := newWorkerHandle(m.DialWorker(entry), entry, term, cancel)
	m.workers[id] = h
	m.calls.running.Go(func() { m.adoptAndRenew(ctx, id, h) })
	m.calls.running.Go(func() { m.endLoop(ctx, id, h) })
}

// adoptAndRenew adopts one worker and then renews its leases, and sets the term again
// every termInterval. After a failed renewal it requests reports without renewing until
// the worker answers, so that the leases on an unreachable worker expire.
func (m *Manager) adoptAndRenew(ctx context.Context, id hoist.WorkerID, h *workerHandle) {
	for !m.requestReport(ctx, id, h, m.adopt) {
		if !clock.Sleep(ctx, renewInterval) {
			return
		}
	}
	events.WorkerAdopted.Log(ctx, m.Log, "worker", id, "term", h.term)
	m.recordLease(h)
	call := m.renew
	for clock.SleepOr(ctx, renewInterval, h.renewDue) {
		if !m.owns(workerShardOf(id), h.term) {
			continue
		}
		if m.isTermDue(h) {
			call = m.adopt
		}
		if m.requestReport(ctx, id, h, call) {
			call = m.renew
			continue
		}
		if m.haveLeasesExpired(h) {
			m.markLost(ctx, id, h)
		}
		call = m.adopt
	}
}

// isTermDue reports whether the worker is to be told the term again.
func (m *Manager) isTermDue(h *workerHandle) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Sub(h.termSetAt) >= termInterval
}

// recordLease records that leases on the worker may last for TaskLease from now on.
func (m *Manager) recordLease(h *workerHandle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.leaseSentAt = m.Clock.Now()
}

// haveLeasesExpired reports whether every lease on the worker has certainly expired.
// Calls without an answer count too, as the worker may have carried them out.
func (m *Manager) haveLeasesExpired(h *workerHandle) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Sub(h.leaseSentAt) > leaseExpiryDelay
}

// requestReport makes a call that returns a report, applies the report and stops
// the attempts that must not run. It reports whether the call succeeded.
func (m *Manager) requestReport(ctx context.Context, id hoist.WorkerID, h *workerHandle, call func(context.Context, *workerHandle) (hoist.WorkerReport, error)) bool {
	requestedAt := m.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := call(callCtx, h)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		events.WorkerUnreachable.Log(ctx, m.Log, "worker", id, "error", err)
		return false
	}
	orphans, missing := m.reconcile(ctx, id, h, report, requestedAt)
	for _, a := range orphans {
		events.TaskOrphaned.Log(ctx, m.Log, "worker", id, "task", a.Task)
		m.stopAttempt(ctx, h, a)
	}
	for _, g := range missing {
		if m.stopAttempt(ctx, h, hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}) {
			m.recordNotStarted(h, g)
		}
	}
	m.stopInDoubt(ctx, h)
	return true
}

// stopInDoubt makes the worker refuse the starts that may still arrive from before it was
// lost.
func (m *Manager) stopInDoubt(ctx context.Context, h *workerHandle) {
	m.mu.Lock()
	doubts := make([]hoist.TaskAttempt, 0, len(h.inDoubt))
	for a, lostAt := range h.inDoubt {
		if m.Clock.Now().Sub(lostAt) > doubtRetention {
			delete(h.inDoubt, a)
			continue
		}
		doubts = append(doubts, a)
	}
	m.mu.Unlock()
	for _, a := range doubts {
		if m.stopAttempt(ctx, h, a) {
			m.mu.Lock()
			delete(h.inDoubt, a)
			m.mu.Unlock()
		}
	}
}

// stopAttempt stops an attempt on a worker, or makes the worker refuse it if it
// does not run. It reports whether the call succeeded; a failed stop is repeated
// with the next report.
func (m *Manager) stopAttempt(ctx context.Context, h *workerHandle, a hoist.TaskAttempt) bool {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	return h.worker.Stop(ctx, h.term, a, hoist.StopNow) == nil
}

// recordNotStarted records that the worker refuses an attempt whose start did not
// arrive.
func (m *Manager) recordNotStarted(h *workerHandle, g hoist.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.account == nil || h.isLost || h.live[g.Task] != g.Attempt {
		return
	}
	h.account.ReleaseAttempt(g.Task, g.Attempt)
	if _, ok := h.stopped[g.Task]; ok {
		return
	}
	status := stoppedStatus(g, "the start did not arrive at the worker")
	h.ends[attemptOf(status)] = &endReport{status: status}
	clock.Signal(h.endsDue)
	m.requestPass()
}

// adopt sets the term of this owner at the worker and returns the worker's report.
func (m *Manager) adopt(ctx context.Context, h *workerHandle) (hoist.WorkerReport, error) {
	report, err := h.worker.Adopt(ctx, h.term)
	if err != nil {
		return report, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h.termSetAt = m.Clock.Now()
	return report, nil
}

// renew extends the leases on the worker and lets it drop acknowledged ends.
func (m *Manager) renew(ctx context.Context, h *workerHandle) (hoist.WorkerReport, error) {
	m.mu.Lock()
	acked := make([]hoist.TaskAttempt, 0, len(h.acked))
	for a := range h.acked {
		acked = append(acked, a)
	}
	h.leaseSentAt = m.Clock.Now()
	m.mu.Unlock()
	report, err := h.worker.Renew(ctx, h.term, TaskLease, acked)
	if err != nil {
		return report, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range acked {
		delete(h.acked, a)
	}
	return report, nil
}

func stoppedStatus(g hoist.Grant, reason string) hoist.TaskStatus {
	return hoist.TaskStatus{
		Task: g.Task, Job: g.Job, Team: g.Team, Attempt: g.Attempt,
		State: hoist.TaskStopped, Need: g.Need, Priority: g.Priority, Reason: reason,
	}
}

func attemptOf(s hoist.TaskStatus) hoist.TaskAttempt {
	return hoist.TaskAttempt{Task: s.Task, Attempt: s.Attempt}
}

// reconcile updates the account from a report. It returns the attempts to stop
// and the grants whose start did not arrive. The attempts to stop are those that
// run without a grant and those of gangs that did not start as a whole.
func (m *Manager) reconcile(
	ctx context.Context, id hoist.WorkerID, h *workerHandle, report hoist.WorkerReport, requestedAt time.Time,
) (orphans []hoist.TaskAttempt, missing []hoist.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.report.Leaving = report.Leaving
	report.Leaving = h.isLeaving()
	if h.account == nil || h.isLost {
		h.openAccount(report)
	} else {
		missing = h.account.Reconcile(report, requestedAt)
	}
	h.report = report
	h.reportRequestedAt = requestedAt
	for _, s := range h.recordEnds(report) {
		m.recordHealth(id, s)
	}
	h.prune(m.Clock.Now(), requestedAt)
	if report.Leaving && !h.wasLeaving {
		events.WorkerLeaving.Log(ctx, m.Log, "worker", id)
	}
	h.wasLeaving = report.Leaving
	if len(h.ends) > 0 {
		clock.Signal(h.endsDue)
	}
	m.requestPass()
	return append(h.orphans(), h.expiredTentative(m.Clock.Now())...), missing
}

// openAccount opens the account with the tasks that the worker runs.
func (h *workerHandle) openAccount(report hoist.WorkerReport) {
	h.account = grant.NewAccount(report)
	h.isLost = false
	clear(h.live)
	clear(h.reserved)
	for _, s := range report.Running {
		h.live[s.Task] = s.Attempt
	}
}

// recordEnds records the ends of a report and returns those that are new.
func (h *workerHandle) recordEnds(report hoist.WorkerReport) []hoist.TaskStatus {
	var added []hoist.TaskStatus
	for _, s := range report.Ended {
		a := attemptOf(s)
		if h.acked[a] {
			continue
		}
		if known, ok := h.ends[a]; ok {
			known.isListed = true
			known.status = s
			continue
		}
		h.ends[a] = &endReport{status: s, isListed: true}
		added = append(added, s)
	}
	return added
}

// healthRun identifies an attempt for the health tracker. The tasks of one job are
// one group, because they tend to fail or succeed together.
func healthRun(id hoist.WorkerID, s hoist.TaskStatus) health.Run {
	return health.Run{
		Worker: id, Task: s.Task, Attempt: s.Attempt,
		Group: learn.KeyOf(hoist.JobSpec{ID: s.Job, Team: s.Team}),
	}
}

// recordHealth records the end of a task in the health of its worker. The mutex is
// held.
func (m *Manager) recordHealth(id hoist.WorkerID, s hoist.TaskStatus) {
	run, now := healthRun(id, s), m.Clock.Now()
	switch s.State {
	case hoist.TaskSucceeded:
		m.healthTracker.RecordSuccess(run, now)
	case hoist.TaskFailed:
		m.healthTracker.RecordFailure(run, now)
	default:
		m.healthTracker.RecordStop(run)
	}
}

// prune removes the attempts that the last report shows to have ended, and the
// refused attempts older than refusedRetention.
func (h *workerHandle) prune(now, requestedAt time.Time) {
	granted := make(map[hoist.TaskID]bool)
	for _, g := range h.account.Grants() {
		granted[g.Task] = true
	}
	for task, attempt := range h.live {
		if !granted[task] {
			delete(h.live, task)
			h.refused[task] = timedAttempt{max(attempt, h.refused[task].attempt), now}
		}
	}
	for task, c := range h.stopped {
		if c.at.Before(requestedAt) {
			delete(h.stopped, task)
		}
	}
	for task, c := range h.refused {
		if now.Sub(c.at) > refusedRetention {
			delete(h.refused, task)
		}
	}
}

// expiredTentative returns the running tasks of gangs that did not start as a whole
// in time.
func (h *workerHandle) expiredTentative(now time.Time) []hoist.TaskAttempt {
	var out []hoist.TaskAttempt
	for task, start := range h.tentative {
		switch {
		case h.live[task] != start.attempt:
			delete(h.tentative, task)
		case now.After(start.at):
			out = append(out, hoist.TaskAttempt{Task: task, Attempt: start.attempt})
		}
	}
	return out
}

// orphans returns the running attempts that the account does not have.
func (h *workerHandle) orphans() []hoist.TaskAttempt {
	var out []hoist.TaskAttempt
	for _, s := range h.report.Running {
		_, isStopped := h.stopped[s.Task]
		if attempt, ok := h.live[s.Task]; !isStopped && (!ok || attempt != s.Attempt) {
			out = append(out, attemptOf(s))
		}
	}
	return out
}

// markLost records that all leases on a worker have expired: its tasks have
// stopped and may start on other workers.
func (m *Manager) markLost(ctx context.Context, id hoist.WorkerID, h *workerHandle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isLost {
		return
	}
	h.isLost = true
	listed := make(map[hoist.TaskAttempt]bool, len(h.report.Running))
	for _, s := range h.report.Running {
		listed[attemptOf(s)] = true
	}
	for task, attempt := range h.live {
		if a := (hoist.TaskAttempt{Task: task, Attempt: attempt}); !listed[a] {
			h.inDoubt[a] = m.Clock.Now()
		}
	}
	for _, g := range h.account.Grants() {
		if h.live[g.Task] == g.Attempt {
			status := stoppedStatus(g, "the leases on the worker have expired")
			h.ends[attemptOf(status)] = &endReport{status: status}
		}
	}
	events.WorkerTimedOut.Log(ctx, m.Log, "worker", id, "tasks", len(h.live))
	clear(h.live)
	h.report.Running = nil
	h.account = grant.NewAccount(hoist.WorkerReport{Worker: id, Leaving: true})
	clock.Signal(h.endsDue)
}

// Workers returns the adopted workers of this host, for its heartbeats.
func (m *Manager) Workers() []hoist.Candidate {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.localCandidates()
}

// localCandidates returns the adopted workers of this host, sorted by id. The
// mutex is held.
func (m *Manager) localCandidates() []hoist.Candidate {
	now := m.Clock.Now()
	out := make([]hoist.Candidate, 0, len(m.workers))
	for id, h := range m.workers {
		if h.account == nil || h.isLost {
			continue
		}
		c := hoist.Candidate{
			Worker:     id,
			DataCentre: h.report.DataCentre,
			Rack:       h.report.Rack,
			Capacity:   h.report.Capacity,
			State:      m.workerState(id, h),
		}
		for _, s := range h.report.Running {
			c.Usage = c.Usage.Add(s.Usage)
		}
		if c.State == hoist.WorkerReady && now.Sub(h.reportRequestedAt) <= maxReportAge {
			c.UsedByPriority = h.preemptibleUse()
			if now.After(h.reservedFor.until) {
				c.Free = h.account.FreeAt(now)
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b hoist.Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// workerState returns whether a worker takes new tasks. The mutex is held.
func (m *Manager) workerState(id hoist.WorkerID, h *workerHandle) hoist.WorkerState {
	switch {
	case h.isLeaving():
		return hoist.WorkerLeaving
	case !m.healthTracker.Allows(id, m.Clock.Now()):
		return hoist.WorkerFailing
	default:
		return hoist.WorkerReady
	}
}

// preemptibleUse returns the resources of preemptible tasks, summed by priority.
func (h *workerHandle) preemptibleUse() []hoist.PriorityUse {
	var out []hoist.PriorityUse
	for _, s := range h.report.Running {
		if !h.isPreemptible(s) {
			continue
		}
		i := slices.IndexFunc(out, func(u hoist.PriorityUse) bool { return u.Priority == s.Priority })
		if i < 0 {
			i = len(out)
			out = append(out, hoist.PriorityUse{Priority: s.Priority})
		}
		out[i].Used = out[i].Used.Add(s.Need)
	}
	return out
}

// isPreemptible reports whether a task of the last report can be stopped for a
// task of higher priority.
func (h *workerHandle) isPreemptible(s hoist.TaskStatus) bool {
	_, isStopped := h.stopped[s.Task]
	return !isStopped && h.live[s.Task] == s.Attempt
}
