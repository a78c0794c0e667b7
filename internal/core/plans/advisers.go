package plans

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// adviceMargin is added to the time that an answer of the adviser is expected to
	// take, to bound the call.
	adviceMargin = 800 * time.Millisecond
	// hostBackoff is how long a host is not used after a request through it failed.
	hostBackoff = 2 * time.Second
	// maxAdviceQueue is how long a request may wait at a host for those before it.
	maxAdviceQueue = 40 * time.Millisecond
	// maxAnswerDelay is how late an answer may be before its host gets no further requests
	// until then. It is shorter than sched.HedgeDelay even for a request that has queued, so
	// that a hedged request goes through another host.
	maxAnswerDelay = sched.HedgeDelay - 2*maxAdviceQueue
	// longRequest is the expected time from which a request counts as long. Long
	// requests leave a quarter of the hosts free for short ones.
	longRequest = 200 * time.Millisecond
)

// AdviserPool holds the hosts through which advice can be requested. An adviser
// answers the requests of each host one after the other, and refuses them when many
// are waiting, so more hosts get more answers. Its methods may be called
// concurrently.
type AdviserPool struct {
	mu    sync.Mutex
	hosts map[hoist.HostID]*adviserHost
}

type adviserHost struct {
	adviser hoist.Adviser
	// busyUntil is when all requests through the host are expected to be answered.
	busyUntil time.Time
	// due holds when the answers to the unanswered requests are expected, in the order in
	// which the adviser gives them.
	due []time.Time
	// isLong is set if the last request through the host is long.
	isLong bool
	// backoffUntil is the time before which the host is not used.
	backoffUntil time.Time
	// isLeaving is set once the host has refused a request because it is about to stop.
	isLeaving bool
}

// isUsable reports whether requests may be sent through the host.
func (h *adviserHost) isUsable(now time.Time) bool {
	isLate := len(h.due) > 0 && now.Sub(h.due[0]) >= maxAnswerDelay
	return !h.isLeaving && !isLate && !now.Before(h.backoffUntil)
}

// Set sets the client for advice through the present process of a host; nil removes the
// host. Failures and refusals of an earlier process do not count for it.
func (p *AdviserPool) Set(host hoist.HostID, adviser hoist.Adviser) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[hoist.HostID]*adviserHost)
	}
	if adviser == nil {
		delete(p.hosts, host)
		return
	}
	p.hosts[host] = &adviserHost{adviser: adviser}
}

// Reserve reserves time for a request at the host that is expected to be free first,
// and returns that host. It reports false if the request would have to wait longer
// than maxAdviceQueue, or is long and too many hosts have long requests.
func (p *AdviserPool) Reserve(need time.Duration, now time.Time) (hoist.HostID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *adviserHost
	var bestID hoist.HostID
	usable, long := 0, 0
	for id, host := range p.hosts {
		if !host.isUsable(now) {
			continue
		}
		usable++
		if host.isLong && len(host.due) > 0 {
			long++
		}
		if best == nil || host.busyUntil.Before(best.busyUntil) {
			best, bestID = host, id
		}
	}
	isLong := need >= longRequest
	if best == nil || best.busyUntil.Sub(now) > maxAdviceQueue || (isLong && long >= max(1, usable-usable/4)) {
		return "", false
	}
	best.busyUntil = now.Add(max(0, best.busyUntil.Sub(now)) + need)
	best.due = append(best.due, best.busyUntil)
	best.isLong = isLong
	return bestID, true
}

// Advise sends a request through the host that was reserved for it. It returns the
// answer and how long it took. The error is hoist.ErrLeaving if the process of the host
// is about to stop or has been removed or replaced, else that of the adviser.
func (p *AdviserPool) Advise(ctx context.Context, request sched.AdviceRequest) (hoist.Advice, time.Duration, error) {
	began := time.Now()
	p.mu.Lock()
	host, ok := p.hosts[request.Host]
	p.mu.Unlock()
	if !ok {
		return hoist.Advice{}, 0, merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("host %s is no longer in the adviser pool", request.Host))
	}
	ctx, cancel := context.WithTimeout(ctx, maxAdviceQueue+request.AnswerTime+adviceMargin)
	defer cancel()
	advice, err := host.adviser.Advise(ctx, request.Step, request.Workers)
	now := time.Now()
	return advice, now.Sub(began), p.recordOutcome(request.Host, host, err, now)
}

// recordOutcome records the outcome of a request through a process of a host, and returns
// the error for the caller.
func (p *AdviserPool) recordOutcome(id hoist.HostID, host *adviserHost, err error, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The request may have been reserved at an earlier process.
	if len(host.due) > 0 {
		host.due = host.due[1:]
	}
	switch {
	case err == nil:
		if len(host.due) == 0 {
			host.busyUntil = now
		}
	case p.hosts[id] != host:
		return hoist.ConvertErrorf(hoist.ErrLeaving, err, "host %s was removed or replaced", id)
	case errors.Is(err, hoist.ErrLeaving):
		host.isLeaving = true
	default:
		// The adviser may still be working on the request.
		host.backoffUntil = now.Add(hostBackoff)
	}
	return err
}
