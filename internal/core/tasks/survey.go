package tasks

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

const (
	// surveyInterval is the interval of checking whether a survey is due.
	surveyInterval = time.Second
	// recoverySurveyInterval is the interval of surveys while shards are not
	// ready. Adopting the workers of a failed host takes about this long.
	recoverySurveyInterval = 250 * time.Millisecond
	// maxQuickSurveys bounds the surveys at recoverySurveyInterval. Later ones
	// follow at surveyInterval, as a worker that is still not adopted then will
	// take longer.
	maxQuickSurveys = 20
	// auditRetryDelay is the delay after an audit that left workers unresolved.
	auditRetryDelay = 5 * time.Second
	// auditInterval is the interval of comparing all running tasks with the
	// workers' lists. The comparison finds differences that no other path
	// reports. An interval of a minute keeps its cost below one task record a
	// second for every 60 tasks.
	auditInterval = time.Minute
	// maxConcurrentScans bounds the concurrent scans. With 16, a host can read 32
	// shards within twice callTimeout from a table that takes 1.5 s to answer.
	maxConcurrentScans = 16
)

// audit schedules the comparisons of the running tasks with the workers' lists.
type audit struct {
	lastAt time.Time
	isDue  bool
	// retryAt is when an audit that left workers unresolved is repeated.
	retryAt time.Time
	// surveys counts the surveys since this host last acquired shards.
	surveys int
	// owners are the owners of the workers that tasks run on.
	owners map[hoist.WorkerID]hoist.HostID
}

func (a *audit) request() {
	a.isDue = true
}

// unadoptedWorker is a worker that no host has adopted according to all surveys
// since a point in time.
type unadoptedWorker struct {
	// host is the owner that has not adopted the worker. It is empty if all hosts
	// answered that they do not own the worker.
	host  hoist.HostID
	since time.Time
	// isExpired is set when every lease on the worker has expired.
	isExpired bool
}

// surveyResult combines the replies to one survey.
type surveyResult struct {
	sentAt time.Time
	shards map[hoist.ShardID]bool
	// isComplete is set if every host answered.
	isComplete bool
	adopted    map[hoist.WorkerID]bool
	unadopted  map[hoist.WorkerID]hoist.HostID
	tasks      []hoist.WorkerTask
}

// surveyLoop recovers the jobs of new shards. It compares the running tasks with
// the workers' lists whenever the owner of a worker changed and at least every
// auditInterval.
func (m *Manager) surveyLoop(ctx context.Context) {
	for {
		wait := surveyInterval
		if shards := m.shardsToSurvey(); len(shards) > 0 {
			m.survey(ctx, shards)
			wait = m.nextSurveyDelay()
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// nextSurveyDelay counts a survey and returns the delay before the next one.
func (m *Manager) nextSurveyDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.audit.surveys++; m.audit.surveys > maxQuickSurveys {
		return surveyInterval
	}
	return recoverySurveyInterval
}

// shardsToSurvey returns the shards for the next survey: all if an audit is due,
// otherwise those that are not ready.
func (m *Manager) shardsToSurvey() []hoist.ShardTerm {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending, all []hoist.ShardTerm
	for shard, s := range m.shards {
		if !m.owns(shard, s.term) {
			continue
		}
		st := hoist.ShardTerm{Shard: shard, Term: s.term}
		all = append(all, st)
		if !s.isReady {
			pending = append(pending, st)
		}
	}
	m.checkOwners()
	now := m.Clock.Now()
	if m.audit.lastAt.IsZero() {
		m.audit.lastAt = now
	}
	isRetryDue := !m.audit.retryAt.IsZero() && now.After(m.audit.retryAt)
	if m.audit.isDue || isRetryDue || now.Sub(m.audit.lastAt) >= auditInterval {
		m.audit.isDue = false
		m.audit.retryAt = time.Time{}
		m.audit.lastAt = now
		return all
	}
	return pending
}

// checkOwners requests an audit if the owner of a worker with tasks has changed:
// the earlier owner may have known of ends that it did not report. The mutex is
// held.
func (m *Manager) checkOwners() {
	workers := m.jobTracker.Workers()
	owners := make(map[hoist.WorkerID]hoist.HostID, len(workers))
	for _, id := range workers {
		host, _ := m.Ownership.OwnerOf(workerShardOf(id))
		owners[id] = host
		if before, ok := m.audit.owners[id]; ok && before != host {
			m.audit.request()
		}
	}
	m.audit.owners = owners
}

// survey requests the tasks of shards from all hosts and applies the replies.
func (m *Manager) survey(ctx context.Context, shards []hoist.ShardTerm) {
	s := m.surveyHosts(ctx, shards)
	m.mu.Lock()
	lost, unresolved := m.trackUnadopted(s)
	due := m.shardsToRead(shards, unresolved)
	m.mu.Unlock()
	// The rows are read after the lists. A worker drops an end only after it was
	// written, so an end that is missing from the lists is in the rows.
	rows, err := m.readRows(ctx, due)
	if err != nil {
		events.SurveyWaiting.Log(ctx, m.Log, "error", err)
	}
	// A stop that fails is repeated after the next audit.
	m.callAll(ctx, m.applySurvey(ctx, s, rows, lost, unresolved), callStop)
}

// shardsToRead returns the shards whose rows are to be read. They are read once
// to find the shards without jobs, which need not wait for any worker, and again
// when no worker is unresolved any more. The mutex is held.
func (m *Manager) shardsToRead(shards []hoist.ShardTerm, unresolved int) []hoist.ShardTerm {
	var due []hoist.ShardTerm
	for _, st := range shards {
		s, ok := m.shards[st.Shard]
		if ok && s.term == st.Term && !s.isReady && (unresolved == 0 || !s.wasRead) {
			due = append(due, st)
		}
	}
	return due
}

// applySurvey recovers the shards whose rows were read and compares the running
// tasks with the workers' lists. It returns the tasks to stop.
func (m *Manager) applySurvey(ctx context.Context, s surveyResult, rows map[hoist.ShardTerm][]hoist.Row, lost []hoist.WorkerID, unresolved int) []hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	for st, shardRows := range rows {
		if current, ok := m.shards[st.Shard]; ok && current.term == st.Term && !current.isReady {
			current.wasRead = true
			m.recoverShard(ctx, st, shardRows, s, unresolved)
		}
	}
	orphans := m.compareTasks(ctx, s)
	for _, id := range lost {
		for _, j := range m.jobTracker.RecordWorkerLost(id, s.sentAt, m.Clock.Now()) {
			m.rows.markDirty(j)
		}
	}
	m.requestPass()
	return orphans
}

// surveyHosts sends a survey to every host, this one included, and combines the
// replies.
func (m *Manager) surveyHosts(ctx context.Context, shards []hoist.ShardTerm) surveyResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := surveyResult{
		sentAt: m.Clock.Now(), isComplete: true, shards: make(map[hoist.ShardID]bool),
		adopted: make(map[hoist.WorkerID]bool), unadopted: make(map[hoist.WorkerID]hoist.HostID),
	}
	for _, st := range shards {
		s.shards[st.Shard] = true
	}
	var mu sync.Mutex
	add := func(host hoist.HostID, reply hoist.SurveyReply, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			s.isComplete = false
			return
		}
		for _, id := range reply.Workers {
			s.adopted[id] = true
		}
		for _, id := range reply.Unadopted {
			s.unadopted[id] = host
		}
		s.tasks = append(s.tasks, reply.Tasks...)
	}
	var wg sync.WaitGroup
	for host, peer := range m.Ownership.Peers() {
		wg.Go(func() {
			reply, err := peer.Survey(ctx, shards)
			add(host, reply, err)
		})
	}
	reply, err := m.Survey(shards)
	add(m.Ownership.Self(), reply, err)
	wg.Wait()
	return s
}

// trackUnadopted tracks the workers that no host has adopted. It returns those on
// which every lease has expired, and the number of those that may still have
// leases. The time until expiry counts from the first survey in which the owner
// of the worker reports that it has not adopted it, or in which all hosts report
// that they do not own it. A host that does not answer may still renew leases on
// the workers that no other host owns, so that time does not count. The mutex is
// held.
func (m *Manager) trackUnadopted(s surveyResult) (lost []hoist.WorkerID, unresolved int) {
	relevant := make(map[hoist.WorkerID]bool)
	for id := range m.listedWorkers {
		relevant[id] = true
	}
	for _, id := range m.jobTracker.Workers() {
		relevant[id] = true
	}
	for id := range s.unadopted {
		relevant[id] = true
	}
	for id := range relevant {
		host, isOwned := s.unadopted[id]
		known, isKnown := m.unadopted[id]
		switch {
		case s.adopted[id]:
			delete(m.unadopted, id)
		case !isOwned && !s.isComplete:
			delete(m.unadopted, id)
			unresolved++
		case !isKnown || known.host != host:
			m.unadopted[id] = unadoptedWorker{host: host, since: s.sentAt}
			unresolved++
		case known.isExpired || s.sentAt.Sub(known.since) > leaseExpiryDelay:
			m.unadopted[id] = unadoptedWorker{host, known.since, true}
			lost = append(lost, id)
		default:
			unresolved++
		}
	}
	if unresolved > 0 && m.audit.retryAt.IsZero() {
		m.audit.retryAt = s.sentAt.Add(auditRetryDelay)
	}
	return lost, unresolved
}

// readRows reads the job rows of shards with one scan each. One scan for all
// shards of the cell would need fewer calls, but would also read the rows of all
// other hosts. It returns the rows of the shards whose scan succeeded, and the
// first error.
func (m *Manager) readRows(ctx context.Context, shards []hoist.ShardTerm) (map[hoist.ShardTerm][]hoist.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	out := make(map[hoist.ShardTerm][]hoist.Row)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentScans)
	for _, st := range shards {
		g.Go(func() error {
			rows, err := m.Table.Scan(ctx, shardPrefix(st.Shard))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			out[st] = rows
			return nil
		})
	}
	err := g.Wait()
	return out, err
}

// recoverShard recovers the jobs of a shard and makes the shard ready. A worker
// that no host has adopted may still run tasks of an earlier term, so a shard with
// jobs waits until the leases on all such workers have expired. The mutex is held.
func (m *Manager) recoverShard(ctx context.Context, st hoist.ShardTerm, rows []hoist.Row, s surveyResult, unresolved int) {
	if len(rows) > 0 && unresolved > 0 {
		events.SurveyWaiting.Log(ctx, m.Log, "shard", st.Shard, "workers", unresolved)
		return
	}
	now := m.Clock.Now()
	recovered := make([]*jobs.Job, 0, len(rows))
	for _, row := range rows {
		if j := m.recoverJob(ctx, st.Term, row); j != nil {
			recovered = append(recovered, j)
		}
	}
	for _, t := range s.tasks {
		if teamShardOf(t.Status.Team) != st.Shard {
			continue
		}
		j, ok := m.jobTracker.Get(t.Status.Job)
		if ok && t.Status.State == hoist.TaskSucceeded {
			m.recoverEnd(j, t, now)
		}
	}
	for _, t := range s.tasks {
		if teamShardOf(t.Status.Team) == st.Shard && t.Status.State == hoist.TaskRunning {
			m.jobTracker.Adopt(t, now)
		}
	}
	running := make(map[hoist.TeamID][]hoist.TaskStatus)
	for _, t := range s.tasks {
		if task, ok := m.jobTracker.Task(t.Status.Task); ok && task.IsPlaced() && task.Attempt == t.Status.Attempt {
			running[t.Status.Team] = append(running[t.Status.Team], t.Status)
		}
	}
	for _, j := range recovered {
		m.jobTracker.CheckRecovered(j, now)
		m.quotaTracker.Rebuild(j.Spec.Team, running[j.Spec.Team])
	}
	m.shards[st.Shard].isReady = true
	if len(rows) > 0 {
		events.JobsRecovered.Log(ctx, m.Log, "shard", st.Shard, "jobs", len(rows))
	}
}

// recoverEnd records a success that a worker lists and that the earlier owner did
// not write. The mutex is held.
func (m *Manager) recoverEnd(j *jobs.Job, t hoist.WorkerTask, now time.Time) {
	if task, ok := m.jobTracker.Task(t.Status.Task); ok && task.Phase == jobs.Waiting {
		m.jobTracker.MarkDone(j, task.No, now)
		m.rows.markDirty(j)
	}
}

// recoverJob recovers a job from its row. It returns nil if the row cannot be
// decoded. The mutex is held.
func (m *Manager) recoverJob(ctx context.Context, term hoist.Term, row hoist.Row) *jobs.Job {
	w, err := codec.DecodeTableRow[wire.JobRow](row)
	if err != nil {
		events.RowUnreadable.Log(ctx, m.Log, "error", err)
		return nil
	}
	j := m.jobTracker.Add(codec.ToJobSpec(w.Spec), term, w.Accepted)
	m.mergeRow(ctx, j, row)
	if w.Ended != nil {
		j.Ended = *w.Ended
	}
	return j
}

// compareTasks compares the tasks of jobs with the tasks that the workers list.
// It requeues tasks that are missing on their worker, and returns the running ones
// that belong to no current attempt. The mutex is held.
func (m *Manager) compareTasks(ctx context.Context, s surveyResult) []hoist.Placement {
	listed := make(map[hoist.TaskAttempt]bool, len(s.tasks))
	var orphans []hoist.Placement
	for _, t := range s.tasks {
		listed[attemptOf(t.Status)] = true
		if p, ok := m.orphan(t); ok {
			events.TaskOrphaned.Log(ctx, m.Log, "worker", t.Worker, "task", t.Status.Task)
			orphans = append(orphans, p)
		}
	}
	now := m.Clock.Now()
	for id := range s.adopted {
		for _, t := range m.jobTracker.OnWorker(id) {
			isListed := listed[hoist.TaskAttempt{Task: t.ID, Attempt: t.Attempt}]
			if isListed || t.Phase != jobs.Running || !t.Since.Before(s.sentAt) || !s.shards[teamShardOf(t.Job.Spec.Team)] {
				continue
			}
			events.TaskMissing.Log(ctx, m.Log, "task", t.ID, "worker", id)
			status := hoist.TaskStatus{Task: t.ID, Job: t.Job.Spec.ID, Attempt: t.Attempt, State: hoist.TaskStopped}
			if j := m.jobTracker.RecordEnd(hoist.WorkerTask{Worker: id, Status: status}, now); j != nil {
				m.rows.markDirty(j)
			}
		}
	}
	if len(orphans) > 0 {
		m.audit.request()
	}
	return orphans
}

// orphan returns the placement for stopping a running task if its attempt is not
// the current one of the job tracker. The mutex is held.
func (m *Manager) orphan(w hoist.WorkerTask) (hoist.Placement, bool) {
	shard, ok := m.readyShard(w.Status.Team)
	if !ok || w.Status.State != hoist.TaskRunning {
		return hoist.Placement{}, false
	}
	t, ok := m.jobTracker.Task(w.Status.Task)
	if ok && t.IsPlaced() && t.Attempt == w.Status.Attempt {
		return hoist.Placement{}, false
	}
	return hoist.Placement{
		Worker:    w.Worker,
		Grant:     hoist.Grant{Task: w.Status.Task, Job: w.Status.Job, Team: w.Status.Team, Attempt: w.Status.Attempt},
		TeamShard: teamShardOf(w.Status.Team),
		TeamTerm:  shard.term,
	}, true
}
