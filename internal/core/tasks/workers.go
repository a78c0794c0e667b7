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
	// refusedKeep is how long a worker's owner remembers attempts that ended or
	// were stopped, so that a delayed start does not run them.
	refusedKeep = time.Minute
)

// handle is one worker that this host owns.
type handle struct {
	worker hoist.Worker
	listed hoist.HostEntry
	// isDelisted is set when the worker left the host list. The list never
	// proves death, so its tasks are followed until their leases lapse.
	isDelisted bool
	term       hoist.Term
	cancel     context.CancelFunc
	// account is nil until the worker was adopted.
	account *grant.Account
	report  hoist.WorkerReport
	// asked is when the last answered report was asked for.
	asked time.Time
	// live are the attempts that were committed and not found to have ended.
	live map[hoist.TaskID]hoist.AttemptNo
	// reserved are the attempts that capacity is held for.
	reserved map[hoist.TaskID]hoist.AttemptNo
	// starting are the live tasks whose start is not answered.
	starting map[hoist.TaskID]hoist.Grant
	// closing are tasks that were stopped and whose end no report has listed.
	closing map[hoist.TaskID]closing
	// trials are the tasks of gangs of which it is not known that all run, and
	// until when they may run so.
	trials map[hoist.TaskID]closing
	// refused are attempts that must not start any more.
	refused map[hoist.TaskID]closing
	// ends are the ends that the owners of the jobs have not acknowledged.
	ends map[hoist.TaskAttempt]*end
	// acked are acknowledged ends that the worker may forget.
	acked    map[hoist.TaskAttempt]bool
	hold     hold
	isSilent bool
	wasLeft  bool
	renewDue chan struct{}
	endsDue  chan struct{}
}

// closing is an attempt and when it was stopped.
type closing struct {
	attempt hoist.AttemptNo
	at      time.Time
}

// hold keeps what becomes free on a worker for one job.
type hold struct {
	job   hoist.JobID
	until time.Time
}

func newHandle(w hoist.Worker, l hoist.HostEntry, term hoist.Term, cancel context.CancelFunc) *handle {
	return &handle{
		worker: w, listed: l, term: term, cancel: cancel,
		live:     make(map[hoist.TaskID]hoist.AttemptNo),
		reserved: make(map[hoist.TaskID]hoist.AttemptNo),
		starting: make(map[hoist.TaskID]hoist.Grant),
		closing:  make(map[hoist.TaskID]closing),
		trials:   make(map[hoist.TaskID]closing),
		refused:  make(map[hoist.TaskID]closing),
		ends:     make(map[hoist.TaskAttempt]*end),
		acked:    make(map[hoist.TaskAttempt]bool),
		renewDue: make(chan struct{}, 1),
		endsDue:  make(chan struct{}, 1),
	}
}

func (h *handle) isLeaving() bool {
	return h.listed.Leaving || h.isDelisted || h.report.Leaving
}

// listLoop keeps goroutines for each worker that this host owns.
func (m *Manager) listLoop(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listed, err := m.HostList.List(callCtx)
		cancel()
		if err == nil {
			m.sync(ctx, listed)
		}
		if !clock.PauseOr(ctx, renewEvery, m.listDue) {
			return
		}
	}
}

func (m *Manager) sync(ctx context.Context, all []hoist.HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[hoist.WorkerID]hoist.HostEntry)
	for _, l := range all {
		if l.Kind == hoist.HostKindWorker {
			listed[hoist.WorkerID(l.ID)] = l
		}
	}
	m.listed = listed
	for id, l := range listed {
		m.syncWorker(ctx, id, l)
	}
	for id, h := range m.workers {
		_, isListed := listed[id]
		h.isDelisted = !isListed
		isOver := h.isDelisted && (h.account == nil || h.isSilent || len(h.live)+len(h.ends) == 0)
		if isOver || !m.owns(workerShardOf(id), h.term) {
			h.cancel()
			delete(m.workers, id)
		}
	}
}

func (m *Manager) syncWorker(ctx context.Context, id hoist.WorkerID, l hoist.HostEntry) {
	term, ok := m.Own.Owns(workerShardOf(id))
	if !ok {
		return
	}
	if h, ok := m.workers[id]; ok {
		if h.term == term && h.listed.Addr == l.Addr {
			h.listed = l
			return
		}
		h.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	h := newHandle(m.DialWorker(l), l, term, cancel)
	m.workers[id] = h
	m.calls.running.Go(func() { m.watch(ctx, id, h) })
	m.calls.running.Go(func() { m.endLoop(ctx, id, h) })
}

// watch adopts one worker and then renews its leases. After a renewal whose
// answer was lost it asks without renewing until the worker answers, so that
// the leases of a lost worker lapse.
func (m *Manager) watch(ctx context.Context, id hoist.WorkerID, h *handle) {
	for !m.ask(ctx, id, h, m.probe) {
		if !clock.Pause(ctx, renewEvery) {
			return
		}
	}
	events.WorkerAdopted.Log(ctx, m.Log, "worker", id, "term", h.term)
	call := m.renew
	renewed := m.Clock.Now()
	for clock.PauseOr(ctx, renewEvery, h.renewDue) {
		if !m.owns(workerShardOf(id), h.term) {
			continue
		}
		if m.ask(ctx, id, h, call) {
			call = m.renew
			renewed = m.Clock.Now()
			continue
		}
		if m.Clock.Now().Sub(renewed) > lapseTime {
			m.lose(ctx, id, h)
		}
		call = m.probe
	}
}

// ask makes a call that returns a report, and applies it.
func (m *Manager) ask(ctx context.Context, id hoist.WorkerID, h *handle, call func(context.Context, *handle) (hoist.WorkerReport, error)) bool {
	asked := m.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := call(callCtx, h)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		events.WorkerLost.Log(ctx, m.Log, "worker", id, "error", err)
		return false
	}
	strays, missing := m.reconcile(ctx, id, h, report, asked)
	for _, a := range strays {
		events.TaskOrphaned.Log(ctx, m.Log, "worker", id, "task", a.Task)
		m.stopAttempt(ctx, h, a)
	}
	for _, g := range missing {
		if m.stopAttempt(ctx, h, hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}) {
			m.neverStarted(h, g)
		}
	}
	return true
}

// stopAttempt stops an attempt on a worker, or makes the worker refuse it. A
// stop that fails is repeated with the next report.
func (m *Manager) stopAttempt(ctx context.Context, h *handle, a hoist.TaskAttempt) bool {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	return h.worker.Stop(ctx, h.term, a, hoist.StopNow) == nil
}

// neverStarted records that the worker refuses an attempt whose start did not
// arrive.
func (m *Manager) neverStarted(h *handle, g hoist.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.account == nil || h.isSilent || h.live[g.Task] != g.Attempt {
		return
	}
	h.account.ReleaseAttempt(g.Task, g.Attempt)
	if _, ok := h.closing[g.Task]; ok {
		return
	}
	status := stoppedStatus(g, "the start did not arrive")
	h.ends[attemptOf(status)] = &end{status: status}
	clock.Signal(h.endsDue)
	m.wake()
}

// probe sets the term at the worker and reads its report.
func (m *Manager) probe(ctx context.Context, h *handle) (hoist.WorkerReport, error) {
	return h.worker.Adopt(ctx, h.term)
}

// renew extends the leases on the worker and lets it forget acknowledged ends.
func (m *Manager) renew(ctx context.Context, h *handle) (hoist.WorkerReport, error) {
	m.mu.Lock()
	acked := make([]hoist.TaskAttempt, 0, len(h.acked))
	for a := range h.acked {
		acked = append(acked, a)
	}
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

// reconcile brings the account up to date with a report. It returns the
// attempts to stop, those that run without having been granted and those of
// gangs that did not start as a whole, and the grants whose start did not
// arrive.
func (m *Manager) reconcile(
	ctx context.Context, id hoist.WorkerID, h *handle, report hoist.WorkerReport, asked time.Time,
) (strays []hoist.TaskAttempt, missing []hoist.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.report.Leaving = report.Leaving
	report.Leaving = h.isLeaving()
	if h.account == nil || h.isSilent {
		h.open(report)
	} else {
		missing = h.account.Reconcile(report, asked)
	}
	h.report = report
	h.asked = asked
	for _, s := range h.noteEnds(report) {
		m.noteHealth(id, s)
	}
	h.prune(m.Clock.Now(), asked)
	if report.Leaving && !h.wasLeft {
		events.WorkerLeaving.Log(ctx, m.Log, "worker", id)
	}
	h.wasLeft = report.Leaving
	if len(h.ends) > 0 {
		clock.Signal(h.endsDue)
	}
	m.wake()
	return append(h.strays(), h.failedTrials(m.Clock.Now())...), missing
}

// open opens the account from what the worker runs.
func (h *handle) open(report hoist.WorkerReport) {
	h.account = grant.NewAccount(report)
	h.isSilent = false
	clear(h.live)
	clear(h.reserved)
	for _, s := range report.Running {
		h.live[s.Task] = s.Attempt
	}
}

// noteEnds takes over the ends of a report, and returns those that are new.
func (h *handle) noteEnds(report hoist.WorkerReport) []hoist.TaskStatus {
	var fresh []hoist.TaskStatus
	for _, s := range report.Ended {
		a := attemptOf(s)
		if h.acked[a] {
			continue
		}
		if before, ok := h.ends[a]; ok {
			before.isListed = true
			before.status = s
			continue
		}
		h.ends[a] = &end{status: s, isListed: true}
		fresh = append(fresh, s)
	}
	return fresh
}

// runOf names an attempt for the health record. The tasks of one job fail or
// succeed alike.
func runOf(id hoist.WorkerID, s hoist.TaskStatus) health.Run {
	return health.Run{
		Worker: id, Task: s.Task, Attempt: s.Attempt,
		Group: learn.KeyOf(hoist.JobSpec{ID: s.Job, Team: s.Team}),
	}
}

// noteHealth records what an end tells about a worker. The mutex is held.
func (m *Manager) noteHealth(id hoist.WorkerID, s hoist.TaskStatus) {
	run, now := runOf(id, s), m.Clock.Now()
	switch s.State {
	case hoist.TaskSucceeded:
		m.health.Succeeded(run, now)
	case hoist.TaskFailed:
		m.health.Failed(run, now)
	default:
		m.health.Stopped(run)
	}
}

// prune drops what the last report settles or what is too old to matter.
func (h *handle) prune(now, asked time.Time) {
	granted := make(map[hoist.TaskID]bool)
	for _, g := range h.account.Grants() {
		granted[g.Task] = true
	}
	for task, attempt := range h.live {
		if !granted[task] {
			delete(h.live, task)
			h.refused[task] = closing{max(attempt, h.refused[task].attempt), now}
		}
	}
	for task, c := range h.closing {
		if c.at.Before(asked) {
			delete(h.closing, task)
		}
	}
	for task, c := range h.refused {
		if now.Sub(c.at) > refusedKeep {
			delete(h.refused, task)
		}
	}
}

// failedTrials returns the running tasks of gangs that did not start as a whole
// in time.
func (h *handle) failedTrials(now time.Time) []hoist.TaskAttempt {
	var out []hoist.TaskAttempt
	for task, trial := range h.trials {
		switch {
		case h.live[task] != trial.attempt:
			delete(h.trials, task)
		case now.After(trial.at):
			out = append(out, hoist.TaskAttempt{Task: task, Attempt: trial.attempt})
		}
	}
	return out
}

// strays returns the running attempts that the account does not have.
func (h *handle) strays() []hoist.TaskAttempt {
	var out []hoist.TaskAttempt
	for _, s := range h.report.Running {
		_, isClosing := h.closing[s.Task]
		if attempt, ok := h.live[s.Task]; !isClosing && (!ok || attempt != s.Attempt) {
			out = append(out, attemptOf(s))
		}
	}
	return out
}

// lose gives up on a worker whose leases have all lapsed: its tasks have
// stopped and may start elsewhere.
func (m *Manager) lose(ctx context.Context, id hoist.WorkerID, h *handle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isSilent {
		return
	}
	h.isSilent = true
	for _, g := range h.account.Grants() {
		if h.live[g.Task] == g.Attempt {
			status := stoppedStatus(g, "the worker is lost")
			h.ends[attemptOf(status)] = &end{status: status}
		}
	}
	events.WorkerTimedOut.Log(ctx, m.Log, "worker", id, "tasks", len(h.live))
	clear(h.live)
	h.report.Running = nil
	h.account = grant.NewAccount(hoist.WorkerReport{Worker: id, Leaving: true})
	clock.Signal(h.endsDue)
}

// Workers returns what this host tells the others about its workers.
func (m *Manager) Workers() []hoist.Candidate {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.localCandidates()
}

// localCandidates returns the adopted workers. The mutex is held.
func (m *Manager) localCandidates() []hoist.Candidate {
	now := m.Clock.Now()
	out := make([]hoist.Candidate, 0, len(m.workers))
	for id, h := range m.workers {
		if h.account == nil || h.isSilent {
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
		if c.State == hoist.WorkerReady && now.Sub(h.asked) <= freshTime {
			c.Lower = h.lower()
			if now.After(h.hold.until) {
				c.Free = h.account.FreeAt(now)
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b hoist.Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// workerState tells whether a worker takes new tasks. The mutex is held.
func (m *Manager) workerState(id hoist.WorkerID, h *handle) hoist.WorkerState {
	switch {
	case h.isLeaving():
		return hoist.WorkerLeaving
	case !m.health.Allows(id, m.Clock.Now()):
		return hoist.WorkerFailing
	default:
		return hoist.WorkerReady
	}
}

// lower sums up by priority what tasks that could be stopped hold.
func (h *handle) lower() []hoist.PriorityUse {
	var out []hoist.PriorityUse
	for _, s := range h.report.Running {
		if !h.mayYield(s) {
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

// mayYield reports whether a task of the last report can be stopped for urgent
// work.
func (h *handle) mayYield(s hoist.TaskStatus) bool {
	_, isClosing := h.closing[s.Task]
	return !isClosing && h.live[s.Task] == s.Attempt
}
