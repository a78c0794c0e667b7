package claim

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// healthCheckEvery is the interval between health checks of the owner.
	healthCheckEvery = 200 * time.Millisecond
	// successorCheckEvery replaces it for a host that may be named as the successor: it
	// notices a release alone, where otherwise the first of maxStandbys hosts does.
	successorCheckEvery = 50 * time.Millisecond
	// healthCheckRetryDelay is the delay after a health check that failed.
	healthCheckRetryDelay = 50 * time.Millisecond
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = 250 * time.Millisecond
	// minFailedChecks is how many consecutive health checks must fail before
	// shortUnresponsiveAfter applies in place of unresponsiveAfter.
	minFailedChecks = 2
	// shortUnresponsiveAfter is the age of the last renewal at which an owner that
	// fails its health checks counts as unresponsive.
	shortUnresponsiveAfter = 900 * time.Millisecond
	// unresponsiveAfter is the age of the last renewal at which any owner counts as
	// unresponsive: a renewal takes a second on a slow store.
	unresponsiveAfter = 2200 * time.Millisecond
	// storeOutageLimit is how long the owner may report that the store has not
	// answered it, with calls that failed since, before another host claims the
	// cell.
	storeOutageLimit = 300 * time.Millisecond
	// storeAgeLimit is the same limit if no call has failed since. An owner that works
	// gets an answer of the store at each renewal.
	storeAgeLimit = 1500 * time.Millisecond
	// slowCheckLatency is the latency from which the answer to a health check counts
	// as slow: an owner with enough processor time answers within a few milliseconds.
	slowCheckLatency = 80 * time.Millisecond
	// minSlowChecks is how many consecutive slow health checks, failed ones included,
	// make the owner count as slow.
	minSlowChecks = 4
	// maxPauseOverrun is how much longer than requested a pause of this host may
	// take. If it takes longer, this host is the slow one.
	maxPauseOverrun = 40 * time.Millisecond
	// slowCheckWindow is how long after the last slow answer failed health checks
	// count as slow ones.
	slowCheckWindow = 3 * time.Second
	// slowOwnerMinTenure is how long an owner is kept before it is replaced for being
	// slow: if the load is what slows it down, another owner would be no faster.
	slowOwnerMinTenure = 10 * time.Second
)

// healthMonitor sends health checks to the owner of the cell over a connection of
// its own.
type healthMonitor struct {
	manager *Manager
	owner   rows.Owner
	checker hoist.HealthChecker
	// failedChecks counts the consecutive health checks that failed.
	failedChecks int
	// isConnRefused is set if nothing listens at the owner's address.
	isConnRefused bool
	// hasHealth is set once health has an answer of this owner.
	hasHealth bool
	health    hoist.HostHealth
	// slowChecks counts the consecutive slow health checks, failed ones included.
	slowChecks int
	// lastSlowAnswer is when the last slow health check was answered.
	lastSlowAnswer time.Time
}

// run sends health checks until one gives a reason to read the owner's rows, or until the
// rows are due to be read again.
func (h *healthMonitor) run(ctx context.Context) {
	h.setOwner(h.manager.observed.owner)
	if h.checker == nil {
		clock.Sleep(ctx, standbyPollInterval)
		return
	}
	readInterval := h.manager.readInterval()
	for began := h.manager.Clock.Now(); h.manager.Clock.Now().Sub(began) < readInterval; {
		interval := h.manager.checkInterval()
		if h.failedChecks > 0 {
			interval = healthCheckRetryDelay
		}
		pausedAt := h.manager.Clock.Now()
		if !clock.Sleep(ctx, interval) {
			return
		}
		if h.manager.Clock.Now().Sub(pausedAt) > interval+maxPauseOverrun {
			h.slowChecks = 0
		}
		if !h.check(ctx) {
			return
		}
	}
}

// setOwner switches to another owner, and drops what is known about the one before.
func (h *healthMonitor) setOwner(owner rows.Owner) {
	if h.owner == owner {
		return
	}
	h.close()
	*h = healthMonitor{manager: h.manager, owner: owner}
	if h.manager.Dial != nil {
		h.checker = h.manager.Dial(owner.Addr)
	}
}

func (h *healthMonitor) close() {
	if h.checker != nil {
		h.checker.Close()
		h.checker = nil
	}
}

// check sends one health check. It reports whether the owner answered and has no
// problem.
func (h *healthMonitor) check(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	sentAt := h.manager.Clock.Now()
	p, err := h.checker.CheckHealth(callCtx, hoist.HealthCheck{From: h.manager.Host})
	if ctx.Err() != nil {
		return false
	}
	h.recordLatency(sentAt, err == nil)
	if err != nil {
		if h.failedChecks == 0 {
			events.OwnerUnresponsive.Log(ctx, h.manager.Log, "owner", h.owner.Host, "term", h.owner.Term, "error", err)
		}
		h.failedChecks++
		h.isConnRefused = errors.Is(err, hoist.ErrNotListening)
		return false
	}
	h.failedChecks, h.isConnRefused, h.hasHealth, h.health = 0, false, true, p
	if int(p.Term) == h.owner.Term {
		h.manager.observed.recordRenewal(p.RenewalVersion, h.manager.Clock.Now().Add(-p.SinceRenewal))
	}
	return !h.ownerDisconnected(h.owner) && !h.ownerSlow(h.owner)
}

// recordLatency updates the count of slow health checks after one that was sent at a
// time.
func (h *healthMonitor) recordLatency(sentAt time.Time, isAnswered bool) {
	now := h.manager.Clock.Now()
	isSlow := now.Sub(sentAt) > slowCheckLatency
	if isAnswered && !isSlow {
		h.slowChecks = 0
		return
	}
	if isAnswered && now.Sub(h.lastSlowAnswer) < healthCheckEvery {
		// A host that checks more often must not find the owner slow any sooner.
		return
	}
	if isAnswered {
		h.lastSlowAnswer = now
	}
	h.slowChecks++
}

// ownerSlow reports whether the owner answers health checks, but slowly, for lack of
// processor time.
func (h *healthMonitor) ownerSlow(owner rows.Owner) bool {
	return h.owner == owner && h.slowChecks >= minSlowChecks && h.manager.Clock.Now().Sub(h.lastSlowAnswer) < slowCheckWindow
}

// recordRenewal records a renewal that the owner reported: when it was sent, and the
// version of the row that it wrote.
func (s *observation) recordRenewal(version hoist.RowVersion, renewed time.Time) {
	if version > s.reportedVersion && version >= s.renewalVersion {
		s.reportedVersion, s.renewed = version, renewed
	}
}

// ownerExited reports whether the process of the owner has ended in all likelihood,
// since its address refuses connections.
func (h *healthMonitor) ownerExited(owner rows.Owner) bool {
	return h.owner == owner && h.isConnRefused
}

// ownerDisconnected reports whether the owner answers but cannot act for the cell.
func (h *healthMonitor) ownerDisconnected(owner rows.Owner) bool {
	if h.owner != owner || !h.hasHealth || h.failedChecks > 0 {
		return false
	}
	p := h.health
	return int(p.Term) != owner.Term || p.StoreAge > storeAgeLimit || (p.IsStoreUnavailable && p.StoreAge > storeOutageLimit)
}

// unresponsiveAfter returns how old the owner's last renewal must be before another
// host claims the cell.
func (h *healthMonitor) unresponsiveAfter() time.Duration {
	if h.failedChecks >= minFailedChecks {
		return shortUnresponsiveAfter
	}
	return unresponsiveAfter
}
