package drive

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// askMargin is the time for an answer of an adviser, besides the time that
	// it needs by its own account.
	askMargin = 800 * time.Millisecond
	// helperPause is how long a host that did not help is not asked again.
	helperPause = 2 * time.Second
	// maxQueue is how long a question may wait at a host for those before it.
	maxQueue = 40 * time.Millisecond
	// longQuestion is from where a question counts as long. Long ones leave a
	// quarter of the hosts to the others.
	longQuestion = 200 * time.Millisecond
)

// AdviserPool are the hosts that can put questions to advisers. An adviser answers
// the questions of each host one after the other, and refuses them when many
// wait, so that more hosts get more answers. Its methods may be called
// concurrently.
type AdviserPool struct {
	mu    sync.Mutex
	hosts map[hoist.HostID]*helperHost
}

type helperHost struct {
	adviser hoist.Adviser
	// busyUntil is when the questions that were put through the host are likely
	// to be answered, and open how many of them are not.
	busyUntil time.Time
	open      int
	isLong    bool
	avoid     time.Time
}

// Set replaces the host's way to an adviser; nil removes the host.
func (h *AdviserPool) Set(host hoist.HostID, adviser hoist.Adviser) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts == nil {
		h.hosts = make(map[hoist.HostID]*helperHost)
	}
	if adviser == nil {
		delete(h.hosts, host)
		return
	}
	h.hosts[host] = &helperHost{adviser: adviser}
}

// Reserve takes the time for a question from the host that is free first. It
// reports false if the question would have to wait.
func (h *AdviserPool) Reserve(need time.Duration, now time.Time) (hoist.HostID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *helperHost
	var bestID hoist.HostID
	usable, long := 0, 0
	for id, host := range h.hosts {
		if now.Before(host.avoid) {
			continue
		}
		usable++
		if host.isLong && host.open > 0 {
			long++
		}
		if best == nil || host.busyUntil.Before(best.busyUntil) {
			best, bestID = host, id
		}
	}
	isLong := need >= longQuestion
	if best == nil || best.busyUntil.Sub(now) > maxQueue || (isLong && long >= max(1, usable-usable/4)) {
		return "", false
	}
	best.busyUntil = now.Add(max(0, best.busyUntil.Sub(now)) + need)
	best.open++
	best.isLong = isLong
	return bestID, true
}

// Advise puts a question through the host that was reserved for it. It returns the
// time that the answer took.
func (h *AdviserPool) Advise(ctx context.Context, ask sched.AdviceRequest) (hoist.Advice, time.Duration, error) {
	began := time.Now()
	h.mu.Lock()
	host, ok := h.hosts[ask.Host]
	h.mu.Unlock()
	if !ok {
		return hoist.Advice{}, 0, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessagef("host %s has gone", ask.Host))
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueue+ask.Time+askMargin)
	defer cancel()
	advice, err := host.adviser.Advise(ctx, ask.Step, ask.Workers)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	host.open--
	if err != nil {
		// The adviser may still be busy with the question.
		host.avoid = now.Add(helperPause)
	} else if host.open == 0 {
		host.busyUntil = now
	}
	return advice, now.Sub(began), err
}
