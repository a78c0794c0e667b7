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

// Submit sends a job to the owner of its team's shard. A nil result means that
// the job is recorded in the table, hoist.ErrOutcomeUnknown that it may be.
// Submitting the same id again is safe.
func (m *Manager) Submit(ctx context.Context, spec hoist.JobSpec) error {
	if err := jobs.CheckSpec(spec); err != nil {
		return err
	}
	return m.forward(ctx, spec.Team,
		func() error { return m.Accept(ctx, spec) },
		func(p hoist.Peer) error { return p.SubmitJob(ctx, spec) })
}

// Cancel sends a cancellation to the owner of the job. A nil result means that
// the cancellation is recorded in the table, that no further task of the job
// starts and that the running ones are being stopped. After any error the call
// may be repeated.
func (m *Manager) Cancel(ctx context.Context, ref hoist.JobRef) error {
	return m.forward(ctx, ref.Team,
		func() error { return m.CancelLocal(ctx, ref) },
		func(p hoist.Peer) error { return p.CancelJob(ctx, ref) })
}

// Show returns the jobs of a team as their owner reports them.
func (m *Manager) Show(ctx context.Context, team hoist.TeamID) ([]hoist.JobState, error) {
	var out []hoist.JobState
	err := m.forward(ctx, team,
		func() (err error) { out, err = m.ShowLocal(team); return err },
		func(p hoist.Peer) (err error) { out, err = p.ShowJobs(ctx, team); return err })
	return out, err
}

// forward calls the owner of a team's jobs: local if it is this host, otherwise
// remote. While the owner changes, it looks the owner up again and repeats the
// call.
func (m *Manager) forward(ctx context.Context, team hoist.TeamID, local func() error, remote func(hoist.Peer) error) error {
	m.init()
	var err error
	for range maxForwardTries {
		err = m.callShardOwner(teamShardOf(team), local, remote)
		if !errors.Is(err, hoist.ErrNotOwner) {
			return err
		}
		if !clock.Sleep(ctx, forwardRetryDelay) {
			break
		}
	}
	return hoist.ConvertError(hoist.ErrUnavailable, err)
}

func (m *Manager) callShardOwner(shard hoist.ShardID, local func() error, remote func(hoist.Peer) error) error {
	host, ok := m.Ownership.OwnerOf(shard)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d has no owner", shard))
	}
	if host == m.Ownership.Self() {
		return local()
	}
	peer, ok := m.Ownership.Peer(host)
	if !ok {
		return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("no connection to host %s", host))
	}
	return remote(peer)
}

func errJobsNotOwned(team hoist.TeamID) error {
	return merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("this host does not own the jobs of team %s", team))
}

// ownedTerm returns the term in which this host owns the jobs of a team, or
// hoist.ErrNotOwner. The mutex is held.
func (m *Manager) ownedTerm(team hoist.TeamID) (hoist.Term, error) {
	s, ok := m.readyShard(team)
	if !ok || !m.owns(teamShardOf(team), s.term) {
		return 0, errJobsNotOwned(team)
	}
	return s.term, nil
}

// Accept records a job in the table and starts to place it. It returns
// hoist.ErrNotOwner if this host does not own the jobs of the team.
func (m *Manager) Accept(ctx context.Context, spec hoist.JobSpec) error {
	m.init()
	m.mu.Lock()
	term, err := m.ownedTerm(spec.Team)
	if err != nil {
		m.mu.Unlock()
		return err
	}
	j := m.jobTracker.Add(spec, term, m.Clock.Now())
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
	m.requestPass()
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

// CancelLocal cancels a job that this host owns. It first keeps further tasks from
// starting, then writes the cancellation, then stops the running tasks. It
// returns when the outcome of every start of the job is known.
func (m *Manager) CancelLocal(ctx context.Context, ref hoist.JobRef) error {
	m.init()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	m.mu.Lock()
	if _, err := m.ownedTerm(ref.Team); err != nil {
		m.mu.Unlock()
		return err
	}
	j, ok := m.jobTracker.Get(ref.Job)
	if !ok || j.Spec.Team != ref.Team {
		m.mu.Unlock()
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("team %s has no job %s", ref.Team, ref.Job))
	}
	if j.HasEnded() {
		m.mu.Unlock()
		return nil
	}
	j.IsCancelled = true
	written := m.rows.record(j)
	m.mu.Unlock()
	if err := await(ctx, written); err != nil {
		return merry.Prependf(err, "cancelling job %s", ref.Job)
	}
	return m.stopCancelled(ctx, j)
}

// stopCancelled stops the tasks of a cancelled job and waits until the outcome
// of each of its starts is known.
func (m *Manager) stopCancelled(ctx context.Context, j *jobs.Job) error {
	m.mu.Lock()
	m.jobTracker.StopAll(j, m.Clock.Now())
	resolved := m.calls.awaitResolved(j)
	m.mu.Unlock()
	m.requestPass()
	select {
	case <-resolved:
	case <-ctx.Done():
		return merry.Wrap(hoist.ErrOutcomeUnknown,
			merry.PrependMessagef("job %s is cancelled, but the outcome of a start of one of its tasks is not known", j.Spec.ID))
	}
	events.JobCancelled.Log(ctx, m.Log, "job", j.Spec.ID)
	return nil
}

// ShowLocal returns the jobs of a team that this host owns, oldest first.
func (m *Manager) ShowLocal(team hoist.TeamID) ([]hoist.JobState, error) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.ownedTerm(team); err != nil {
		return nil, err
	}
	var out []hoist.JobState
	for _, j := range m.jobTracker.All() {
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

// reasonOf returns why tasks of a job wait. It is empty for a job without
// waiting tasks.
func reasonOf(j *jobs.Job) string {
	if j.Count(jobs.Waiting) == 0 || j.HasEnded() {
		return ""
	}
	return j.Reason
}

// TaskEnded records the ends of tasks and returns one result for each. Nil means
// that the table records the end, as far as it has to, and that the worker may
// drop it from its reports.
func (m *Manager) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	m.init()
	errs := make([]error, len(ends))
	pendingWrites := make([]<-chan error, len(ends))
	m.mu.Lock()
	for i, e := range ends {
		pendingWrites[i], errs[i] = m.recordEnd(ctx, e)
	}
	m.mu.Unlock()
	m.requestPass()
	for i, written := range pendingWrites {
		if written != nil {
			errs[i] = await(ctx, written)
		}
	}
	return errs
}

// recordRunTime adds the run time and usage of a succeeded task to the
// estimates. The mutex is held.
func (m *Manager) recordRunTime(s hoist.TaskStatus) {
	t, ok := m.jobTracker.Task(s.Task)
	if ok && s.State == hoist.TaskSucceeded && t.Phase == jobs.Running && t.Attempt == s.Attempt {
		m.estimator.RecordRun(learn.KeyOf(t.Job.Spec), m.Clock.Now().Sub(t.Since), s.Usage)
	}
}

// recordEnd applies an end to the job tracker. The tracker is ahead of the table
// until the write succeeds. This is safe because the worker's owner repeats an
// end that was not acknowledged. The mutex is held.
func (m *Manager) recordEnd(ctx context.Context, e hoist.WorkerTask) (<-chan error, error) {
	if _, err := m.ownedTerm(e.Status.Team); err != nil {
		return nil, err
	}
	status := e.Status
	if status.State == hoist.TaskFailed {
		events.TaskFailed.Log(ctx, m.Log, "task", status.Task, "worker", e.Worker, "reason", status.Reason)
	}
	m.recordRunTime(status)
	j := m.jobTracker.RecordEnd(e, m.Clock.Now())
	if known, ok := m.jobTracker.Get(status.Job); ok {
		m.calls.checkResolved(known)
		if j == nil && status.State == hoist.TaskSucceeded && m.rows.isDirty(status.Job) {
			// An earlier report of this end was applied, but is not written yet.
			j = known
		}
	}
	if j == nil {
		return nil, nil
	}
	if j.HasEnded() {
		events.JobEnded.Log(ctx, m.Log, "job", status.Job)
	}
	return m.rows.record(j), nil
}
