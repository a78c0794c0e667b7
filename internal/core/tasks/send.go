package tasks

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
)

const (
	// maxPlacementsPerCall bounds the size of a call, so that its reply arrives
	// well within callTimeout.
	maxPlacementsPerCall = 256
	// maxCallsPerHost is the number of unanswered calls to one host at which no
	// further tasks are placed there. An unresponsive host thus delays only the
	// tasks that were already sent to it.
	maxCallsPerHost = 8
	// stopRetryDelay is the delay before an unconfirmed stop is repeated.
	stopRetryDelay = 200 * time.Millisecond
)

// callKind is the kind of a call with placements.
type callKind int

const (
	callStart callKind = iota
	callReserve
	callStop
)

// calls tracks the calls to the owners of workers.
type calls struct {
	running sync.WaitGroup
	// inFlight are the tasks with an unanswered start or stop.
	inFlight map[hoist.TaskID]bool
	perHost  map[hoist.HostID]int
	// unknownStarts are the starts with an unknown outcome; they are repeated.
	unknownStarts map[hoist.TaskID]hoist.Placement
	stopSentAt    map[hoist.TaskID]time.Time
	waiters       map[hoist.JobID][]chan struct{}
}

func newCalls() *calls {
	return &calls{
		inFlight:      make(map[hoist.TaskID]bool),
		perHost:       make(map[hoist.HostID]int),
		unknownStarts: make(map[hoist.TaskID]hoist.Placement),
		stopSentAt:    make(map[hoist.TaskID]time.Time),
		waiters:       make(map[hoist.JobID][]chan struct{}),
	}
}

func (c *calls) isAtLimit(host hoist.HostID) bool {
	return c.perHost[host] >= maxCallsPerHost
}

// awaitResolved returns a channel that is closed when the outcome of each start
// of the job is known.
func (c *calls) awaitResolved(j *jobs.Job) <-chan struct{} {
	resolved := make(chan struct{})
	c.waiters[j.Spec.ID] = append(c.waiters[j.Spec.ID], resolved)
	c.checkResolved(j)
	return resolved
}

func (c *calls) checkResolved(j *jobs.Job) {
	if j.UnknownStarts() == 0 {
		c.closeWaiters(j.Spec.ID)
	}
}

func (c *calls) closeWaiters(id hoist.JobID) {
	for _, waiter := range c.waiters[id] {
		close(waiter)
	}
	delete(c.waiters, id)
}

// isOutcomeUnknown reports whether a call that returned err may still have had an
// effect.
func isOutcomeUnknown(err error) bool {
	for _, certain := range []error{
		hoist.ErrUnavailable, hoist.ErrNotOwner, hoist.ErrStaleTerm, hoist.ErrNoCapacity, hoist.ErrLeaving,
		hoist.ErrConflict, hoist.ErrNotFound, hoist.ErrOverLimit, hoist.ErrInvalid,
	} {
		if errors.Is(err, certain) {
			return false
		}
	}
	return err != nil
}

// groupByOwner groups placements by the host that owns their worker. Those whose
// worker has no owner are under the empty id.
func (m *Manager) groupByOwner(ps []hoist.Placement) map[hoist.HostID][]hoist.Placement {
	out := make(map[hoist.HostID][]hoist.Placement)
	for _, p := range ps {
		host, _ := m.Ownership.OwnerOf(workerShardOf(p.Worker))
		out[host] = append(out[host], p)
	}
	return out
}

// send makes the calls for placements without waiting for them. The results are
// applied as they arrive.
func (m *Manager) send(ctx context.Context, ps []hoist.Placement, kind callKind) {
	for host, group := range m.groupByOwner(ps) {
		for part := range slices.Chunk(group, maxPlacementsPerCall) {
			m.mu.Lock()
			m.calls.perHost[host]++
			m.mu.Unlock()
			m.calls.running.Go(func() {
				errs := m.callOwner(ctx, host, part, kind)
				m.mu.Lock()
				m.calls.perHost[host]--
				m.mu.Unlock()
				m.applyResults(ctx, part, errs, kind)
			})
		}
	}
}

// callAll calls all owners of the workers concurrently and waits for the results,
// which it returns by task.
func (m *Manager) callAll(ctx context.Context, ps []hoist.Placement, kind callKind) map[hoist.TaskID]error {
	results := make(map[hoist.TaskID]error, len(ps))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for host, group := range m.groupByOwner(ps) {
		for part := range slices.Chunk(group, maxPlacementsPerCall) {
			wg.Go(func() {
				errs := m.callOwner(ctx, host, part, kind)
				mu.Lock()
				defer mu.Unlock()
				for i, p := range part {
					results[p.Grant.Task] = errs[i]
				}
			})
		}
	}
	wg.Wait()
	return results
}

// callOwner makes one call to an owner of workers. The lease of this host is
// checked immediately before the call. If the host is paused after the check, the
// receiver refuses the placements by their terms.
func (m *Manager) callOwner(ctx context.Context, host hoist.HostID, ps []hoist.Placement, kind callKind) []error {
	errs := make([]error, len(ps))
	var owned []hoist.Placement
	var indices []int
	peer, err := m.placerAt(host)
	for i, p := range ps {
		switch {
		case err != nil:
			errs[i] = err
		case !m.owns(p.TeamShard, p.TeamTerm):
			errs[i] = errJobsNotOwned(p.Grant.Team)
		default:
			owned = append(owned, p)
			indices = append(indices, i)
		}
	}
	if len(owned) == 0 {
		return errs
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for i, err := range callPlacer(ctx, peer, owned, kind) {
		errs[indices[i]] = err
	}
	return errs
}

// placerAt returns the hoist.Placer of a host, which is m for this host. It
// returns hoist.ErrUnavailable if there is no connection to the host.
func (m *Manager) placerAt(host hoist.HostID) (hoist.Placer, error) {
	if host == m.Ownership.Self() {
		return m, nil
	}
	if peer, ok := m.Ownership.Peer(host); ok {
		return peer, nil
	}
	return nil, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("no connection to host %q", host))
}

func callPlacer(ctx context.Context, peer hoist.Placer, ps []hoist.Placement, kind callKind) []error {
	switch kind {
	case callReserve:
		return peer.Reserve(ctx, ps)
	case callStop:
		return peer.Stop(ctx, ps, hoist.StopNow)
	default:
		return peer.Start(ctx, ps)
	}
}

// unreserve releases reservations. A reservation whose release fails expires.
func (m *Manager) unreserve(ctx context.Context, ps []hoist.Placement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for host, group := range m.groupByOwner(ps) {
		if peer, err := m.placerAt(host); err == nil {
			_ = peer.Unreserve(ctx, group)
		}
	}
}

// applyResults applies the results of starts or stops.
func (m *Manager) applyResults(ctx context.Context, ps []hoist.Placement, errs []error, kind callKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hasRefusal := false
	for i, p := range ps {
		delete(m.calls.inFlight, p.Grant.Task)
		if kind == callStop {
			m.applyStop(p, errs[i])
		} else {
			m.applyStart(ctx, p, errs[i])
		}
		hasRefusal = hasRefusal || errs[i] != nil
		if j, ok := m.jobTracker.Get(p.Grant.Job); ok {
			m.calls.checkResolved(j)
		}
	}
	if hasRefusal {
		m.requestPass()
	}
}

// applyStart applies the result of a start. The mutex is held.
func (m *Manager) applyStart(ctx context.Context, p hoist.Placement, err error) {
	task, attempt, now := p.Grant.Task, p.Grant.Attempt, m.Clock.Now()
	_, isRepeat := m.calls.unknownStarts[task]
	delete(m.calls.unknownStarts, task)
	switch {
	case err == nil:
		m.jobTracker.RecordStart(task, attempt, now)
	case isOutcomeUnknown(err):
		m.calls.unknownStarts[task] = p
		events.StartOutcomeUnknown.Log(ctx, m.Log, "task", task, "worker", p.Worker, "error", err)
	case isRepeat:
		// An earlier send of this start may still take effect.
		m.jobTracker.StopUnresolved(task, attempt, now)
	default:
		m.jobTracker.RecordNotStarted(task, attempt, now)
		m.refusedAt[p.Worker] = now
	}
}

// applyStop applies the result of a stop. The mutex is held.
func (m *Manager) applyStop(p hoist.Placement, err error) {
	if err != nil {
		return
	}
	delete(m.calls.stopSentAt, p.Grant.Task)
	delete(m.calls.unknownStarts, p.Grant.Task)
	end := hoist.WorkerTask{Worker: p.Worker, Status: stoppedStatus(p.Grant, "stopped")}
	if j := m.jobTracker.RecordEnd(end, m.Clock.Now()); j != nil {
		m.rows.markDirty(j)
	}
}

// retryUnknownStarts repeats the starts with an unknown outcome. They carry the
// same attempt number, so repeating a start that took effect changes nothing.
func (m *Manager) retryUnknownStarts(ctx context.Context) {
	m.mu.Lock()
	var due []hoist.Placement
	for id, p := range m.calls.unknownStarts {
		t, ok := m.jobTracker.Task(id)
		if !ok || t.Phase != jobs.Starting || t.Attempt != p.Grant.Attempt {
			delete(m.calls.unknownStarts, id)
			continue
		}
		if !m.calls.inFlight[id] {
			m.calls.inFlight[id] = true
			due = append(due, p)
		}
	}
	m.mu.Unlock()
	m.send(ctx, due, callStart)
}

// sendStops sends the stops that are due.
func (m *Manager) sendStops(ctx context.Context) {
	m.mu.Lock()
	now := m.Clock.Now()
	var due []hoist.Placement
	for _, t := range m.jobTracker.ToStop() {
		s, ok := m.readyShard(t.Job.Spec.Team)
		if !ok || m.calls.inFlight[t.ID] || now.Sub(m.calls.stopSentAt[t.ID]) < stopRetryDelay {
			continue
		}
		m.calls.inFlight[t.ID] = true
		m.calls.stopSentAt[t.ID] = now
		due = append(due, placementOf(t, jobs.Choice{Worker: t.Worker}, t.Attempt, s.term))
	}
	m.mu.Unlock()
	m.send(ctx, due, callStop)
}
