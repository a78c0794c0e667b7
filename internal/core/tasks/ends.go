package tasks

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
)

const (
	// endsPerCall bounds the ends that one call reports.
	endsPerCall = 256
	// maxEndPause is the longest wait before ends that the table could not
	// record are reported again.
	maxEndPause = 10 * time.Second
)

// end is an end on its way to the owner of its job.
type end struct {
	status hoist.TaskStatus
	// isListed is set if the worker lists it and waits for an acknowledgement.
	isListed bool
	isTried  bool
}

// endLoop reports the ends on one worker to the owners of the jobs. Ends that
// were not reported yet go first; the others wait longer and longer while the
// table cannot record them.
func (m *Manager) endLoop(ctx context.Context, id hoist.WorkerID, h *handle) {
	wait := renewEvery
	var retried time.Time
	for clock.PauseOr(ctx, renewEvery, h.endsDue) {
		now := m.Clock.Now()
		ends := m.untold(h, id, now.Sub(retried) >= wait)
		if len(ends) == 0 {
			continue
		}
		if m.tell(ctx, h, ends) {
			wait = renewEvery
			if len(ends) == endsPerCall {
				clock.Signal(h.endsDue)
			}
			continue
		}
		retried = now
		wait = min(2*wait, maxEndPause)
	}
}

// untold returns ends to report: those that were not tried, and if withTried is
// set the others.
func (m *Manager) untold(h *handle, id hoist.WorkerID, withTried bool) []hoist.WorkerTask {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []hoist.WorkerTask
	for _, tried := range []bool{false, true} {
		for _, e := range h.ends {
			if len(out) == endsPerCall || (tried && !withTried) {
				return out
			}
			if e.isTried == tried {
				out = append(out, hoist.WorkerTask{Worker: id, Status: e.status})
			}
		}
	}
	return out
}

// tell reports ends to the owners of their jobs. It reports whether all were
// acknowledged.
func (m *Manager) tell(ctx context.Context, h *handle, ends []hoist.WorkerTask) bool {
	byOwner := make(map[hoist.HostID][]hoist.WorkerTask)
	for _, e := range ends {
		host, _ := m.Own.OwnerOf(teamShardOf(e.Status.Team))
		byOwner[host] = append(byOwner[host], e)
	}
	isAll := true
	for host, group := range byOwner {
		errs := m.tellOwner(ctx, host, group)
		m.mu.Lock()
		for i, e := range group {
			isAll = h.told(attemptOf(e.Status), errs == nil || errs[i] != nil) && isAll
		}
		m.mu.Unlock()
	}
	return isAll
}

// tellOwner reports ends to one host. It returns nil if the host cannot be
// called.
func (m *Manager) tellOwner(ctx context.Context, host hoist.HostID, ends []hoist.WorkerTask) []error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if host == m.Own.Self() {
		return m.TaskEnded(ctx, ends)
	}
	peer, ok := m.Own.Peer(host)
	if !ok {
		return nil
	}
	return peer.TaskEnded(ctx, ends)
}

// told records the result of reporting an end. It reports whether the end was
// acknowledged.
func (h *handle) told(a hoist.TaskAttempt, hasFailed bool) bool {
	e, ok := h.ends[a]
	if !ok {
		return true
	}
	e.isTried = true
	if hasFailed {
		return false
	}
	delete(h.ends, a)
	if e.isListed {
		h.acked[a] = true
	}
	return true
}
