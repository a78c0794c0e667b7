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
	// surveyEvery is the period in which it is checked whether an audit is due.
	surveyEvery = time.Second
	// recoverEvery is the period of surveys while shards are not ready. The
	// adoption of the workers of a dead host takes about this long.
	recoverEvery = 250 * time.Millisecond
	// quickRounds bounds the surveys in that period; a worker that is still not
	// adopted then is waited for longer.
	quickRounds = 20
	// auditAgain is the wait after an audit that left workers unclear.
	auditAgain = 5 * time.Second
	// auditEvery is the period of comparing all running tasks with the workers'
	// lists. It catches what no other path reports; a minute keeps its cost
	// below one task record a second and 60 tasks.
	auditEvery = time.Minute
	// scansAtOnce bounds the scans under way. A table that answers after 1.5 s
	// still lets a host read 32 shards within the time limit of two calls.
	scansAtOnce = 16
)

// audit tells when the running tasks are to be compared with the workers' lists.
type audit struct {
	last  time.Time
	isDue bool
	// again is when an audit that left workers unclear is repeated.
	again time.Time
	// rounds counts the surveys since shards were acquired last.
	rounds int
	// owners are the owners of the workers that tasks run on.
	owners map[hoist.WorkerID]hoist.HostID
}

func (a *audit) ask() {
	a.isDue = true
}

// absence is since when a worker has been looked after by nobody, as far as all
// surveys tell.
type absence struct {
	// host owns the worker and has not adopted it; it is empty if all hosts
	// answered that they do not own it.
	host   hoist.HostID
	since  time.Time
	isOver bool
}

// surveyed is the sum of the replies to one survey.
type surveyed struct {
	sent   time.Time
	shards map[hoist.ShardID]bool
	// isWhole is set if every other host answered.
	isWhole   bool
	adopted   map[hoist.WorkerID]bool
	unadopted map[hoist.WorkerID]hoist.HostID
	tasks     []hoist.WorkerTask
}

// surveyLoop recovers the jobs of new shards, and compares the running tasks
// with the workers' lists when the owner of a worker changed and now and then.
func (m *Manager) surveyLoop(ctx context.Context) {
	for {
		wait := surveyEvery
		if shards := m.surveyDue(); len(shards) > 0 {
			m.survey(ctx, shards)
			wait = m.surveyWait()
		}
		if !clock.Pause(ctx, wait) {
			return
		}
	}
}

// surveyWait is the wait until the next survey.
func (m *Manager) surveyWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.audit.rounds++; m.audit.rounds > quickRounds {
		return surveyEvery
	}
	return recoverEvery
}

// surveyDue returns the shards to ask about: those that are not ready, or all.
func (m *Manager) surveyDue() []hoist.ShardTerm {
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
	m.noteOwners()
	now := m.Clock.Now()
	if m.audit.last.IsZero() {
		m.audit.last = now
	}
	isAgain := !m.audit.again.IsZero() && now.After(m.audit.again)
	if m.audit.isDue || isAgain || now.Sub(m.audit.last) >= auditEvery {
		m.audit.isDue = false
		m.audit.again = time.Time{}
		m.audit.last = now
		return all
	}
	return pending
}

// noteOwners makes an audit due if a worker with tasks has another owner than
// before: its earlier owner may not have passed on what it knew. The mutex is
// held.
func (m *Manager) noteOwners() {
	workers := m.book.Workers()
	owners := make(map[hoist.WorkerID]hoist.HostID, len(workers))
	for _, id := range workers {
		host, _ := m.Own.OwnerOf(workerShardOf(id))
		owners[id] = host
		if before, ok := m.audit.owners[id]; ok && before != host {
			m.audit.ask()
		}
	}
	m.audit.owners = owners
}

// survey asks all hosts about the tasks of shards and applies what they tell.
func (m *Manager) survey(ctx context.Context, shards []hoist.ShardTerm) {
	s := m.askAll(ctx, shards)
	m.mu.Lock()
	lost, unclear := m.noteAbsent(s)
	due := m.rowsDue(shards, unclear)
	m.mu.Unlock()
	// The rows are read after the lists: an end that a worker no longer lists
	// was written before it was forgotten.
	rows, err := m.readRows(ctx, due)
	if err != nil {
		events.SurveyWaits.Log(ctx, m.Log, "error", err)
	}
	// A stop that fails is repeated after the next audit.
	m.callAll(ctx, m.applySurvey(ctx, s, rows, lost, unclear), callStop)
}

// rowsDue returns the shards whose rows are to be read: once to find those
// without jobs, which need not wait for any worker, and when nothing is unclear
// any more. The mutex is held.
func (m *Manager) rowsDue(shards []hoist.ShardTerm, unclear int) []hoist.ShardTerm {
	var due []hoist.ShardTerm
	for _, st := range shards {
		s, ok := m.shards[st.Shard]
		if ok && s.term == st.Term && !s.isReady && (unclear == 0 || !s.wasRead) {
			due = append(due, st)
		}
	}
	return due
}

// applySurvey recovers the shards whose rows were read and compares the running
// tasks with the lists. It returns the tasks to stop.
func (m *Manager) applySurvey(ctx context.Context, s surveyed, rows map[hoist.ShardTerm][]hoist.Row, lost []hoist.WorkerID, unclear int) []hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	for st, shardRows := range rows {
		if current, ok := m.shards[st.Shard]; ok && current.term == st.Term && !current.isReady {
			current.wasRead = true
			m.recoverShard(ctx, st, shardRows, s, unclear)
		}
	}
	strays := m.compare(ctx, s)
	for _, id := range lost {
		for _, j := range m.book.Lost(id, s.sent, m.Clock.Now()) {
			m.rows.mark(j)
		}
	}
	m.wake()
	return strays
}

// askAll sends a survey to every host, this one included.
func (m *Manager) askAll(ctx context.Context, shards []hoist.ShardTerm) surveyed {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := surveyed{
		sent: m.Clock.Now(), isWhole: true, shards: make(map[hoist.ShardID]bool),
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
			s.isWhole = false
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
	for host, peer := range m.Own.Peers() {
		wg.Go(func() {
			reply, err := peer.Survey(ctx, shards)
			add(host, reply, err)
		})
	}
	reply, err := m.Survey(shards)
	add(m.Own.Self(), reply, err)
	wg.Wait()
	return s
}

// noteAbsent follows the workers that nobody has adopted. It returns those on
// which every lease has lapsed, and reports whether others are left. A worker
// counts from the first survey on if its owner tells that it cannot reach it, or
// if all hosts tell that they do not own it. While a host does not answer, it
// may be renewing leases on the workers that nobody else owns, however long that
// takes. The mutex is held.
func (m *Manager) noteAbsent(s surveyed) (lost []hoist.WorkerID, unclear int) {
	relevant := make(map[hoist.WorkerID]bool)
	for id := range m.listed {
		relevant[id] = true
	}
	for _, id := range m.book.Workers() {
		relevant[id] = true
	}
	for id := range s.unadopted {
		relevant[id] = true
	}
	for id := range relevant {
		host, isOwned := s.unadopted[id]
		before, isKnown := m.absent[id]
		switch {
		case s.adopted[id]:
			delete(m.absent, id)
		case !isOwned && !s.isWhole:
			delete(m.absent, id)
			unclear++
		case !isKnown || before.host != host:
			m.absent[id] = absence{host: host, since: s.sent}
			unclear++
		case before.isOver || s.sent.Sub(before.since) > lapseTime:
			m.absent[id] = absence{host, before.since, true}
			lost = append(lost, id)
		default:
			unclear++
		}
	}
	if unclear > 0 && m.audit.again.IsZero() {
		m.audit.again = s.sent.Add(auditAgain)
	}
	return lost, unclear
}

// readRows reads the job rows of shards with one scan each. One scan for all
// shards of the cell would be fewer calls but would read the rows of all other
// hosts too. Shards whose scan failed are not in the result.
func (m *Manager) readRows(ctx context.Context, shards []hoist.ShardTerm) (map[hoist.ShardTerm][]hoist.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	out := make(map[hoist.ShardTerm][]hoist.Row)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(scansAtOnce)
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

// recoverShard makes a shard ready. A worker that nobody has adopted may still
// run tasks of an earlier term, so the shard waits until their leases lapsed.
// The mutex is held.
func (m *Manager) recoverShard(ctx context.Context, st hoist.ShardTerm, rows []hoist.Row, s surveyed, unclear int) {
	if len(rows) > 0 && unclear > 0 {
		events.SurveyWaits.Log(ctx, m.Log, "shard", st.Shard, "workers", unclear)
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
		j, ok := m.book.Get(t.Status.Job)
		if ok && t.Status.State == hoist.TaskSucceeded {
			m.recoverEnd(j, t, now)
		}
	}
	for _, t := range s.tasks {
		if teamShardOf(t.Status.Team) == st.Shard && t.Status.State == hoist.TaskRunning {
			m.book.Adopt(t, now)
		}
	}
	running := make(map[hoist.TeamID][]hoist.TaskStatus)
	for _, t := range s.tasks {
		if task, ok := m.book.Task(t.Status.Task); ok && task.IsPlaced() && task.Attempt == t.Status.Attempt {
			running[t.Status.Team] = append(running[t.Status.Team], t.Status)
		}
	}
	for _, j := range recovered {
		m.book.CheckRecovered(j, now)
		m.quotas.Rebuild(j.Spec.Team, running[j.Spec.Team])
	}
	m.shards[st.Shard].isReady = true
	if len(rows) > 0 {
		events.JobsRecovered.Log(ctx, m.Log, "shard", st.Shard, "jobs", len(rows))
	}
}

// recoverEnd records a success that a worker lists and that the earlier owner
// had not written. The mutex is held.
func (m *Manager) recoverEnd(j *jobs.Job, t hoist.WorkerTask, now time.Time) {
	if task, ok := m.book.Task(t.Status.Task); ok && task.Phase == jobs.Waiting {
		m.book.MarkDone(j, task.No, now)
		m.rows.mark(j)
	}
}

// recoverJob takes over a job from its row. The mutex is held.
func (m *Manager) recoverJob(ctx context.Context, term hoist.Term, row hoist.Row) *jobs.Job {
	w, err := codec.DecodeValue[wire.JobRow](row)
	if err != nil {
		events.RowUnreadable.Log(ctx, m.Log, "error", err)
		return nil
	}
	j := m.book.Add(codec.ToJobSpec(w.Spec), term, w.Accepted)
	m.merge(ctx, j, row)
	if w.Ended != nil {
		j.Ended = *w.Ended
	}
	return j
}

// compare lets tasks wait again that their worker does not have, and returns the
// running ones that no job expects. The mutex is held.
func (m *Manager) compare(ctx context.Context, s surveyed) []hoist.Placement {
	listed := make(map[hoist.TaskAttempt]bool, len(s.tasks))
	var strays []hoist.Placement
	for _, t := range s.tasks {
		listed[attemptOf(t.Status)] = true
		if p, ok := m.stray(t); ok {
			events.TaskOrphaned.Log(ctx, m.Log, "worker", t.Worker, "task", t.Status.Task)
			strays = append(strays, p)
		}
	}
	now := m.Clock.Now()
	for id := range s.adopted {
		for _, t := range m.book.OnWorker(id) {
			isListed := listed[hoist.TaskAttempt{Task: t.ID, Attempt: t.Attempt}]
			if isListed || t.Phase != jobs.Running || !t.Since.Before(s.sent) || !s.shards[teamShardOf(t.Job.Spec.Team)] {
				continue
			}
			events.TaskMissing.Log(ctx, m.Log, "task", t.ID, "worker", id)
			status := hoist.TaskStatus{Task: t.ID, Job: t.Job.Spec.ID, Attempt: t.Attempt, State: hoist.TaskStopped}
			if j := m.book.Ended(hoist.WorkerTask{Worker: id, Status: status}, now); j != nil {
				m.rows.mark(j)
			}
		}
	}
	if len(strays) > 0 {
		m.audit.ask()
	}
	return strays
}

// stray returns the message that stops a running task, if the attempt is not the
// one that the book expects. The mutex is held.
func (m *Manager) stray(w hoist.WorkerTask) (hoist.Placement, bool) {
	shard, ok := m.shardOf(w.Status.Team)
	if !ok || w.Status.State != hoist.TaskRunning {
		return hoist.Placement{}, false
	}
	t, ok := m.book.Task(w.Status.Task)
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
