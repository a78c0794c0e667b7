package tasks

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
)

const (
	// maxEndsPerCall bounds the number of ends in one call.
	maxEndsPerCall = 256
	// maxEndRetryDelay bounds the delay before ends that could not be recorded
	// are reported again.
	maxEndRetryDelay = 10 * time.Second
)

// endReport is the end of a task that the owner of its job has not acknowledged.
type endReport struct {
	status hoist.TaskStatus
	// isListed is set if the worker's reports list the end until it is
	// acknowledged.
	isListed bool
	wasSent  bool
}

// endLoop reports the ended tasks of one worker to the owners of the jobs. Ends
// that were never sent go first; the others are retried with an exponential
// backoff while they cannot be recorded.
func (m *Manager) endLoop(ctx context.Context, id hoist.WorkerID, h *workerHandle) {
	retryDelay := renewInterval
	var retriedAt time.Time
	for clock.SleepOr(ctx, renewInterval, h.endsDue) {
		now := m.Clock.Now()
		ends := m.endsToReport(h, id, now.Sub(retriedAt) >= retryDelay)
		if len(ends) == 0 {
			continue
		}
		if m.reportEnds(ctx, h, ends) {
			retryDelay = renewInterval
			if len(ends) == maxEndsPerCall {
				clock.Signal(h.endsDue)
			}
			continue
		}
		retriedAt = now
		retryDelay = min(2*retryDelay, maxEndRetryDelay)
	}
}

// endsToReport returns up to maxEndsPerCall ends to report: those that were never
// sent and, if withSent is set, the others too.
func (m *Manager) endsToReport(h *workerHandle, id hoist.WorkerID, withSent bool) []hoist.WorkerTask {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []hoist.WorkerTask
	for _, sent := range []bool{false, true} {
		for _, e := range h.ends {
			if len(out) == maxEndsPerCall || (sent && !withSent) {
				return out
			}
			if e.wasSent == sent {
				out = append(out, hoist.WorkerTask{Worker: id, Status: e.status})
			}
		}
	}
	return out
}

// reportEnds sends ends to the owners of their jobs. It reports whether all were
// acknowledged.
func (m *Manager) reportEnds(ctx context.Context, h *workerHandle, ends []hoist.WorkerTask) bool {
	byOwner := make(map[hoist.HostID][]hoist.WorkerTask)
	for _, e := range ends {
		host, _ := m.Ownership.OwnerOf(teamShardOf(e.Status.Team))
		byOwner[host] = append(byOwner[host], e)
	}
	allAcked := true
	for host, group := range byOwner {
		errs := m.reportEndsTo(ctx, host, group)
		m.mu.Lock()
		for i, e := range group {
			allAcked = h.recordEndReport(attemptOf(e.Status), errs == nil || errs[i] != nil) && allAcked
		}
		m.mu.Unlock()
	}
	return allAcked
}

// reportEndsTo sends ends to one host and returns a result for each. It returns
// nil if there is no connection to the host.
func (m *Manager) reportEndsTo(ctx context.Context, host hoist.HostID, ends []hoist.WorkerTask) []error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if host == m.Ownership.Self() {
		return m.TaskEnded(ctx, ends)
	}
	peer, ok := m.Ownership.Peer(host)
	if !ok {
		return nil
	}
	return peer.TaskEnded(ctx, ends)
}

// recordEndReport records the result of reporting an end. It reports whether the
// end was acknowledged.
func (h *workerHandle) recordEndReport(a hoist.TaskAttempt, hasFailed bool) bool {
	e, ok := h.ends[a]
	if !ok {
		return true
	}
	e.wasSent = true
	if hasFailed {
		return false
	}
	delete(h.ends, a)
	if e.isListed {
		h.acked[a] = true
	}
	return true
}
