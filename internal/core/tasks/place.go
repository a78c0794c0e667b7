package tasks

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

func isUnknown(err error) bool {
	return errors.Is(err, hoist.ErrOutcomeUnknown)
}

// placeLoop places waiting tasks whenever something changed.
func (m *Manager) placeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.kick:
		case <-time.After(passEvery):
		}
		m.pass(ctx)
	}
}

// plan is a set of placements that start together or not at all.
type plan struct {
	job        *jobs.Job
	placements []hoist.Placement
}

func (m *Manager) pass(ctx context.Context) {
	for _, p := range m.plans() {
		m.execute(ctx, p)
	}
}

// plans chooses a worker for every waiting task that fits somewhere.
func (m *Manager) plans() []plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates()
	var out []plan
	for _, j := range m.book.Jobs(m.Clock.Now()) {
		shard := teamShardOf(j.Spec.Team)
		s, ok := m.shards[shard]
		if !ok || !s.isReady {
			continue
		}
		waiting := m.book.Waiting(j)
		if j.Spec.Kind == hoist.GangJob {
			out = m.planGang(out, j, waiting, s, candidates)
			continue
		}
		for _, t := range waiting {
			p, ok := m.choose(j, t, s, candidates)
			if !ok {
				j.Reason = "no worker has " + j.Spec.Need.String() + " free"
				break
			}
			j.Reason = ""
			out = append(out, plan{j, []hoist.Placement{p}})
		}
	}
	return out
}

func (m *Manager) planGang(out []plan, j *jobs.Job, waiting []*jobs.Task, s *teamShard, candidates []hoist.Candidate) []plan {
	g := plan{job: j}
	for _, t := range waiting {
		p, ok := m.choose(j, t, s, candidates)
		if !ok {
			j.Reason = "no place for all tasks at once"
			restore(candidates, g.placements)
			return out
		}
		g.placements = append(g.placements, p)
	}
	if len(g.placements) == 0 {
		return out
	}
	j.Reason = ""
	return append(out, g)
}

// choose picks a worker for one task and takes its need from the candidate.
func (m *Manager) choose(j *jobs.Job, t *jobs.Task, s *teamShard, candidates []hoist.Candidate) (hoist.Placement, bool) {
	i := m.Policy.Pick(j.Spec.Need, candidates, m.rng)
	if i < 0 {
		return hoist.Placement{}, false
	}
	candidates[i].Free = candidates[i].Free.Sub(j.Spec.Need)
	return hoist.Placement{
		Worker: candidates[i].Worker,
		Grant: hoist.Grant{
			Task: t.ID, Job: j.Spec.ID, Team: j.Spec.Team, Attempt: t.Attempt + 1,
			Need: j.Spec.Need, Priority: j.Spec.Priority, RunTime: runTime(j.Spec),
		},
		TeamShard: teamShardOf(j.Spec.Team),
		TeamTerm:  s.term,
	}, true
}

// runTime is how long a worker runs a task; services run until stopped.
func runTime(s hoist.JobSpec) time.Duration {
	if s.Kind == hoist.ServiceJob {
		return 0
	}
	return s.RunTime
}

func restore(candidates []hoist.Candidate, placements []hoist.Placement) {
	for _, p := range placements {
		for i := range candidates {
			if candidates[i].Worker == p.Worker {
				candidates[i].Free = candidates[i].Free.Add(p.Grant.Need)
			}
		}
	}
}

// candidates returns the workers of all hosts as far as known.
func (m *Manager) candidates() []hoist.Candidate {
	out := m.localCandidates()
	for host, workers := range m.remote {
		if _, ok := m.Own.Peer(host); ok {
			out = append(out, workers...)
		}
	}
	return out
}

// execute reserves all placements of a plan and, if all are granted, starts
// them.
func (m *Manager) execute(ctx context.Context, p plan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for i, placement := range p.placements {
		if err := m.reserve(ctx, placement); err != nil {
			for _, done := range p.placements[:i+1] {
				m.unreserve(ctx, done)
			}
			return
		}
	}
	for _, placement := range p.placements {
		m.started(placement)
		if err := m.start(ctx, placement); err != nil && !isUnknown(err) {
			m.notStarted(placement)
		}
	}
}

func (m *Manager) started(p hoist.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Started(p.Grant.Task, p.Worker, p.Grant.Attempt)
}

func (m *Manager) notStarted(p hoist.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Ended(hoist.WorkerTask{Worker: p.Worker, Status: stoppedStatus(p.Grant, "not started")})
}

// peerOf returns the owner of a worker, or nil for this host.
func (m *Manager) peerOf(p hoist.Placement) (hoist.Peer, error) {
	host, ok := m.Own.OwnerOf(workerShardOf(p.Worker))
	if ok && host == m.Own.Self() {
		return nil, nil
	}
	peer, ok := m.Own.Peer(host)
	if !ok {
		return nil, hoist.ErrNotOwner
	}
	return peer, nil
}

func (m *Manager) reserve(ctx context.Context, p hoist.Placement) error {
	peer, err := m.peerOf(p)
	if err != nil {
		return err
	}
	if peer == nil {
		return m.Reserve(p)
	}
	return peer.Reserve(ctx, p)
}

// unreserve gives a reservation back; one that cannot be given back expires.
func (m *Manager) unreserve(ctx context.Context, p hoist.Placement) {
	peer, err := m.peerOf(p)
	switch {
	case err != nil:
	case peer == nil:
		_ = m.Unreserve(p)
	default:
		_ = peer.Unreserve(ctx, p)
	}
}

func (m *Manager) start(ctx context.Context, p hoist.Placement) error {
	peer, err := m.peerOf(p)
	if err != nil {
		return err
	}
	if peer == nil {
		return m.Start(ctx, p)
	}
	return peer.Start(ctx, p)
}

// recover reads the jobs of new shards from the table and learns from the
// workers which of their tasks run.
func (m *Manager) recover(ctx context.Context) {
	pending, listed := m.pendingShards()
	if len(pending) == 0 {
		return
	}
	tasks, isComplete := m.surveyAll(ctx, pending, listed)
	for _, shard := range pending {
		m.recoverShard(ctx, shard, tasks, isComplete)
	}
	m.wake()
}

// pendingShards returns the shards that are not ready, and the listed workers.
func (m *Manager) pendingShards() ([]hoist.ShardID, []hoist.WorkerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []hoist.ShardID
	for shard, s := range m.shards {
		if !s.isReady {
			pending = append(pending, shard)
		}
	}
	var listed []hoist.WorkerID
	for _, l := range m.listed {
		if l.Kind == hoist.ListedWorker {
			listed = append(listed, hoist.WorkerID(l.ID))
		}
	}
	return pending, listed
}

// surveyAll asks every host what its workers run for the shards. It reports
// whether every listed worker was looked at.
func (m *Manager) surveyAll(ctx context.Context, shards []hoist.ShardID, listed []hoist.WorkerID) ([]hoist.WorkerTask, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := []hoist.SurveyReply{m.Survey(shards)}
	for _, peer := range m.Own.Peers() {
		if reply, err := peer.Survey(ctx, shards); err == nil {
			replies = append(replies, reply)
		}
	}
	seen := make(map[hoist.WorkerID]bool)
	var tasks []hoist.WorkerTask
	for _, reply := range replies {
		for _, id := range reply.Workers {
			seen[id] = true
		}
		tasks = append(tasks, reply.Tasks...)
	}
	for _, id := range listed {
		if !seen[id] {
			return tasks, false
		}
	}
	return tasks, true
}

// recoverShard makes a shard ready. A worker that nobody could look at may
// still run tasks of an earlier term until their leases lapse, so an incomplete
// survey makes the shard wait that long.
func (m *Manager) recoverShard(ctx context.Context, shard hoist.ShardID, tasks []hoist.WorkerTask, isComplete bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.Table.Scan(callCtx, shardPrefix(shard))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.shards[shard]
	if !ok {
		return
	}
	hasLapsed := m.Clock.Now().Sub(s.acquired) > TaskLease+TaskLeaseDrift
	if len(rows) > 0 && !isComplete && !hasLapsed {
		return
	}
	for _, row := range rows {
		m.recoverJob(ctx, row)
	}
	for _, t := range tasks {
		if teamShardOf(t.Status.Team) == shard && t.Status.State == hoist.TaskRunning {
			m.book.Started(t.Status.Task, t.Worker, t.Status.Attempt)
		}
	}
	s.isReady = true
	if len(rows) > 0 {
		events.JobsRecovered.Log(ctx, m.Log, "shard", shard, "jobs", len(rows))
	}
}

func (m *Manager) recoverJob(ctx context.Context, row hoist.Row) {
	w, err := codec.DecodeValue[wire.JobRow](row)
	if err != nil {
		events.RowUnreadable.Log(ctx, m.Log, "error", err)
		return
	}
	spec := codec.ToJobSpec(w.Spec)
	m.book.Add(spec, w.Accepted)
	m.book.MarkDone(spec.ID, w.Done)
}
