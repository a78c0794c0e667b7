package tasks

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/learn"
)

// Submit takes a job to the owner of its team's shard. When it returns nil, the
// job is recorded in the table. hoist.ErrOutcomeUnknown means that it may be;
// submitting the same id again is safe.
func (m *Manager) Submit(ctx context.Context, spec hoist.JobSpec) error {
	if err := jobs.CheckSpec(spec); err != nil {
		return err
	}
	return m.forward(ctx, spec.Team,
		func() error { return m.Accept(ctx, spec) },
		func(p hoist.Peer) error { return p.SubmitJob(ctx, spec) })
}

// Cancel takes a cancellation to the owner of the job. When it returns nil, the
// cancellation is recorded in the table and no task of the job starts any more;
// running ones are being stopped. Any other result may be tried again.
func (m *Manager) Cancel(ctx context.Context, ref hoist.JobRef) error {
	return m.forward(ctx, ref.Team,
		func() error { return m.CancelOwn(ctx, ref) },
		func(p hoist.Peer) error { return p.CancelJob(ctx, ref) })
}

// Show returns the jobs of a team from their owner.
func (m *Manager) Show(ctx context.Context, team hoist.TeamID) ([]hoist.JobState, error) {
	var out []hoist.JobState
	err := m.forward(ctx, team,
		func() (err error) { out, err = m.ShowOwn(team); return err },
		func(p hoist.Peer) (err error) { out, err = p.ShowJobs(ctx, team); return err })
	return out, err
}

// forward makes a call at the owner of a team's jobs and follows the shard while
// it moves.
func (m *Manager) forward(ctx context.Context, team hoist.TeamID, own func() error, at func(hoist.Peer) error) error {
	m.init()
	var err error
	for range forwardTries {
		err = m.forwardOnce(teamShardOf(team), own, at)
		if !errors.Is(err, hoist.ErrNotOwner) {
			return err
		}
		if !clock.Pause(ctx, forwardPause) {
			break
		}
	}
	return hoist.ConvertError(hoist.ErrUnavailable, err)
}

func (m *Manager) forwardOnce(shard hoist.ShardID, own func() error, at func(hoist.Peer) error) error {
	host, ok := m.Own.OwnerOf(shard)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d has no owner", shard))
	}
	if host == m.Own.Self() {
		return own()
	}
	peer, ok := m.Own.Peer(host)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("no connection to host %s", host))
	}
	return at(peer)
}

func notKept(team hoist.TeamID) error {
	return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("the jobs of team %s are not kept here", team))
}

// keeps returns the term in which this host keeps the jobs of a team. The mutex
// is held.
func (m *Manager) keeps(team hoist.TeamID) (hoist.Term, error) {
	s, ok := m.shardOf(team)
	if !ok || !m.owns(teamShardOf(team), s.term) {
		return 0, notKept(team)
	}
	return s.term, nil
}

// Accept records a job in the table and starts to place it. It returns
// hoist.ErrNotOwner if this host does not keep the jobs of the team.
func (m *Manager) Accept(ctx context.Context, spec hoist.JobSpec) error {
	m.init()
	m.mu.Lock()
	term, err := m.keeps(spec.Team)
	if err != nil {
		m.mu.Unlock()
		return err
	}
	j := m.book.Add(spec, term, m.Clock.Now())
	if j.Version > 0 {
		m.mu.Unlock()
		return nil
	}
	written := m.rows.record(j)
	m.mu.Unlock()
	if err := await(ctx, written); err != nil {
		return merry.Prependf(err, "job %s", spec.ID)
	}
	events.JobAccepted.Log(ctx, m.Log, "job", spec.ID, "tasks", spec.Tasks)
	m.wake()
	return nil
}

func await(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// CancelOwn cancels a job that this host keeps. Its tasks are held back first,
// then the cancellation is written, then running tasks are stopped. It returns
// when no start of the job is under way.
func (m *Manager) CancelOwn(ctx context.Context, ref hoist.JobRef) error {
	m.init()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	m.mu.Lock()
	if _, err := m.keeps(ref.Team); err != nil {
		m.mu.Unlock()
		return err
	}
	j, ok := m.book.Get(ref.Job)
	if !ok || j.Spec.Team != ref.Team {
		m.mu.Unlock()
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("team %s has no job %s", ref.Team, ref.Job))
	}
	if j.IsEnded() {
		m.mu.Unlock()
		return nil
	}
	j.IsCancelled = true
	written := m.rows.record(j)
	m.mu.Unlock()
	if err := await(ctx, written); err != nil {
		return merry.Prependf(err, "cancelling job %s", ref.Job)
	}
	return m.awaitOpen(ctx, j)
}

// awaitOpen stops the tasks of a cancelled job and waits until the outcome of
// each of its starts is known.
func (m *Manager) awaitOpen(ctx context.Context, j *jobs.Job) error {
	m.mu.Lock()
	m.book.StopAll(j, m.Clock.Now())
	settled := m.calls.awaitOpen(j)
	m.mu.Unlock()
	m.wake()
	select {
	case <-settled:
	case <-ctx.Done():
		return merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("job %s is cancelled, but a start under way is not answered", j.Spec.ID))
	}
	events.JobCancelled.Log(ctx, m.Log, "job", j.Spec.ID)
	return nil
}

// ShowOwn returns the jobs of a team that this host keeps, oldest first.
func (m *Manager) ShowOwn(team hoist.TeamID) ([]hoist.JobState, error) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.keeps(team); err != nil {
		return nil, err
	}
	var out []hoist.JobState
	for _, j := range m.book.All() {
		if j.Spec.Team == team {
			out = append(out, stateOf(j))
		}
	}
	slices.SortFunc(out, func(a, b hoist.JobState) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out, nil
}

func stateOf(j *jobs.Job) hoist.JobState {
	return hoist.JobState{
		Spec:     j.Spec,
		Accepted: j.Accepted,
		Phase:    j.PhaseName(),
		Waiting:  j.Count(jobs.Waiting),
		Running:  j.Count(jobs.Starting) + j.Count(jobs.Running) + j.Count(jobs.Stopping),
		Done:     j.Count(jobs.Done),
		IsLate:   j.IsLate,
		Reason:   reasonOf(j),
	}
}

// reasonOf tells why tasks of a job wait; a job without waiting tasks has no
// reason.
func reasonOf(j *jobs.Job) string {
	if j.Count(jobs.Waiting) == 0 || j.IsEnded() {
		return ""
	}
	return j.Reason
}

// TaskEnded records the ends of tasks. A nil result means that the end is in
// the table and the worker may forget it.
func (m *Manager) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	m.init()
	errs := make([]error, len(ends))
	waits := make([]<-chan error, len(ends))
	m.mu.Lock()
	for i, e := range ends {
		waits[i], errs[i] = m.taskEnded(ctx, e)
	}
	m.mu.Unlock()
	m.wake()
	for i, written := range waits {
		if written != nil {
			errs[i] = await(ctx, written)
		}
	}
	return errs
}

// learn records how long a task ran that succeeded. The mutex is held.
func (m *Manager) learn(s hoist.TaskStatus) {
	t, ok := m.book.Task(s.Task)
	if ok && s.State == hoist.TaskSucceeded && t.Phase == jobs.Running && t.Attempt == s.Attempt {
		m.learned.Ended(learn.KeyOf(t.Job.Spec), m.Clock.Now().Sub(t.Since), s.Usage)
	}
}

// taskEnded applies an end to the book. The book is ahead of the table until
// the write succeeds, which is harmless: the worker's owner repeats an end that
// was not acknowledged. The mutex is held.
func (m *Manager) taskEnded(ctx context.Context, e hoist.WorkerTask) (<-chan error, error) {
	if _, err := m.keeps(e.Status.Team); err != nil {
		return nil, err
	}
	status := e.Status
	if status.State == hoist.TaskFailed {
		events.TaskFailed.Log(ctx, m.Log, "task", status.Task, "worker", e.Worker, "reason", status.Reason)
	}
	m.learn(status)
	j := m.book.Ended(e, m.Clock.Now())
	if known, ok := m.book.Get(status.Job); ok {
		m.calls.checkOpen(known)
		if j == nil && status.State == hoist.TaskSucceeded && m.rows.isDirty(status.Job) {
			// The end was applied by an earlier report; its write is due.
			j = known
		}
	}
	if j == nil {
		return nil, nil
	}
	if j.IsEnded() {
		events.JobEnded.Log(ctx, m.Log, "job", status.Job)
	}
	return m.rows.record(j), nil
}
