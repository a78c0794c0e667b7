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
	// placementsPerCall bounds the size of a call, so that its reply comes
	// well within callTimeout.
	placementsPerCall = 256
	// callsPerHost bounds the unanswered calls with starts to one host; a host
	// that does not answer thus holds back only tasks that were sent to it.
	callsPerHost = 8
	// stopAgain is the wait before a stop that was not confirmed is repeated.
	stopAgain = 200 * time.Millisecond
)

// callKind tells what is asked for placements.
type callKind int

const (
	callStart callKind = iota
	callReserve
	callStop
)

// calls keeps what is under way at the owners of workers.
type calls struct {
	running sync.WaitGroup
	// busy are the tasks that a start or stop under way is about.
	busy    map[hoist.TaskID]bool
	perHost map[hoist.HostID]int
	// unknown are the starts whose answer was lost; they are repeated.
	unknown map[hoist.TaskID]hoist.Placement
	stopped map[hoist.TaskID]time.Time
	waits   map[hoist.JobID][]chan struct{}
}

func newCalls() *calls {
	return &calls{
		busy:    make(map[hoist.TaskID]bool),
		perHost: make(map[hoist.HostID]int),
		unknown: make(map[hoist.TaskID]hoist.Placement),
		stopped: make(map[hoist.TaskID]time.Time),
		waits:   make(map[hoist.JobID][]chan struct{}),
	}
}

func (c *calls) isFull(host hoist.HostID) bool {
	return c.perHost[host] >= callsPerHost
}

// awaitOpen returns a channel that is closed when the outcome of each start of
// the job is known.
func (c *calls) awaitOpen(j *jobs.Job) <-chan struct{} {
	settled := make(chan struct{})
	c.waits[j.Spec.ID] = append(c.waits[j.Spec.ID], settled)
	c.checkOpen(j)
	return settled
}

func (c *calls) checkOpen(j *jobs.Job) {
	if j.Open() == 0 {
		c.settle(j.Spec.ID)
	}
}

func (c *calls) settle(id hoist.JobID) {
	for _, settled := range c.waits[id] {
		close(settled)
	}
	delete(c.waits, id)
}

// isUnknown reports whether a call may have had an effect.
func isUnknown(err error) bool {
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

// byOwner groups placements by the host that owns their worker. Those without
// an owner are under the empty id.
func (m *Manager) byOwner(ps []hoist.Placement) map[hoist.HostID][]hoist.Placement {
	out := make(map[hoist.HostID][]hoist.Placement)
	for _, p := range ps {
		host, _ := m.Own.OwnerOf(workerShardOf(p.Worker))
		out[host] = append(out[host], p)
	}
	return out
}

// send makes the calls for placements without waiting for them. The results
// are applied as they come.
func (m *Manager) send(ctx context.Context, ps []hoist.Placement, kind callKind) {
	for host, group := range m.byOwner(ps) {
		for part := range slices.Chunk(group, placementsPerCall) {
			m.mu.Lock()
			m.calls.perHost[host]++
			m.mu.Unlock()
			m.calls.running.Go(func() {
				errs := m.callOwner(ctx, host, part, kind)
				m.mu.Lock()
				m.calls.perHost[host]--
				m.mu.Unlock()
				m.apply(ctx, part, errs, kind)
			})
		}
	}
}

// callAll makes the calls for placements at all owners at once and waits for
// the results, which are by task.
func (m *Manager) callAll(ctx context.Context, ps []hoist.Placement, kind callKind) map[hoist.TaskID]error {
	results := make(map[hoist.TaskID]error, len(ps))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for host, group := range m.byOwner(ps) {
		for part := range slices.Chunk(group, placementsPerCall) {
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

// callOwner makes one call at an owner of workers. The lease of this host is
// checked right before; the terms in the placements cover a pause after that.
func (m *Manager) callOwner(ctx context.Context, host hoist.HostID, ps []hoist.Placement, kind callKind) []error {
	errs := make([]error, len(ps))
	var due []hoist.Placement
	var at []int
	peer, err := m.ownerPeer(host)
	for i, p := range ps {
		switch {
		case err != nil:
			errs[i] = err
		case !m.owns(p.TeamShard, p.TeamTerm):
			errs[i] = notKept(p.Grant.Team)
		default:
			due = append(due, p)
			at = append(at, i)
		}
	}
	if len(due) == 0 {
		return errs
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for i, err := range callPeer(ctx, peer, due, kind) {
		errs[at[i]] = err
	}
	return errs
}

// ownerPeer returns the host as a hoist.Peer; this host is its own.
func (m *Manager) ownerPeer(host hoist.HostID) (hoist.Placer, error) {
	if host == m.Own.Self() {
		return m, nil
	}
	if peer, ok := m.Own.Peer(host); ok {
		return peer, nil
	}
	return nil, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("no connection to host %q", host))
}

func callPeer(ctx context.Context, peer hoist.Placer, ps []hoist.Placement, kind callKind) []error {
	switch kind {
	case callReserve:
		return peer.Reserve(ctx, ps)
	case callStop:
		return peer.Stop(ctx, ps, hoist.StopNow)
	default:
		return peer.Start(ctx, ps)
	}
}

// unreserve gives reservations back; one that cannot be given back expires.
func (m *Manager) unreserve(ctx context.Context, ps []hoist.Placement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for host, group := range m.byOwner(ps) {
		if peer, err := m.ownerPeer(host); err == nil {
			_ = peer.Unreserve(ctx, group)
		}
	}
}

// apply records the results of starts or stops.
func (m *Manager) apply(ctx context.Context, ps []hoist.Placement, errs []error, kind callKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hasRefusal := false
	for i, p := range ps {
		delete(m.calls.busy, p.Grant.Task)
		if kind == callStop {
			m.applyStop(p, errs[i])
		} else {
			m.applyStart(ctx, p, errs[i])
		}
		hasRefusal = hasRefusal || errs[i] != nil
		if j, ok := m.book.Get(p.Grant.Job); ok {
			m.calls.checkOpen(j)
		}
	}
	if hasRefusal {
		m.wake()
	}
}

// applyStart records the result of a start. The mutex is held.
func (m *Manager) applyStart(ctx context.Context, p hoist.Placement, err error) {
	task, attempt, now := p.Grant.Task, p.Grant.Attempt, m.Clock.Now()
	_, isRepeat := m.calls.unknown[task]
	delete(m.calls.unknown, task)
	switch {
	case err == nil:
		m.book.Confirm(task, attempt, now)
	case isUnknown(err):
		m.calls.unknown[task] = p
		events.StartUnknown.Log(ctx, m.Log, "task", task, "worker", p.Worker, "error", err)
	case isRepeat:
		// An earlier try of this start may still have an effect.
		m.book.StopUnresolved(task, attempt, now)
	default:
		m.book.NotStarted(task, attempt, now)
		m.refused[p.Worker] = now
	}
}

// applyStop records the result of a stop. The mutex is held.
func (m *Manager) applyStop(p hoist.Placement, err error) {
	if err != nil {
		return
	}
	delete(m.calls.stopped, p.Grant.Task)
	delete(m.calls.unknown, p.Grant.Task)
	end := hoist.WorkerTask{Worker: p.Worker, Status: stoppedStatus(p.Grant, "stopped")}
	if j := m.book.Ended(end, m.Clock.Now()); j != nil {
		m.rows.mark(j)
	}
}

// retryOpen repeats the starts whose answers were lost. They carry the same
// attempt, so a start that took effect has no further one.
func (m *Manager) retryOpen(ctx context.Context) {
	m.mu.Lock()
	var due []hoist.Placement
	for id, p := range m.calls.unknown {
		t, ok := m.book.Task(id)
		if !ok || t.Phase != jobs.Starting || t.Attempt != p.Grant.Attempt {
			delete(m.calls.unknown, id)
			continue
		}
		if !m.calls.busy[id] {
			m.calls.busy[id] = true
			due = append(due, p)
		}
	}
	m.mu.Unlock()
	m.send(ctx, due, callStart)
}

// stopDue sends the stops that are due.
func (m *Manager) stopDue(ctx context.Context) {
	m.mu.Lock()
	now := m.Clock.Now()
	var due []hoist.Placement
	for _, t := range m.book.ToStop() {
		s, ok := m.shardOf(t.Job.Spec.Team)
		if !ok || m.calls.busy[t.ID] || now.Sub(m.calls.stopped[t.ID]) < stopAgain {
			continue
		}
		m.calls.busy[t.ID] = true
		m.calls.stopped[t.ID] = now
		due = append(due, placementOf(t, jobs.Choice{Worker: t.Worker}, t.Attempt, s.term))
	}
	m.mu.Unlock()
	m.send(ctx, due, callStop)
}
