package plans

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/decide/share"
)

const (
	// pingEvery is the interval between two pings of a relay, and pingTimeout bounds
	// one. A relay that is frozen or cut off is noticed within about a second, long
	// before the leases of its workers expire.
	pingEvery   = 200 * time.Millisecond
	pingTimeout = 350 * time.Millisecond
	// pingRetryDelay is the delay after a ping that failed.
	pingRetryDelay = 50 * time.Millisecond
	// downPingEvery is the interval between two pings of a relay that is not used.
	downPingEvery = 500 * time.Millisecond
	// maxPingFailures is how many consecutive pings may fail before a relay is not used.
	// One that cannot be connected to is not used at once.
	maxPingFailures = 2
	// minPingSuccesses is how many consecutive pings must succeed before a relay that
	// failed is used again.
	minPingSuccesses = 3
	// maxPingOverrun is how much longer than requested a pause of this host may take. If
	// it takes longer, a failed ping tells nothing about the relay.
	maxPingOverrun = 60 * time.Millisecond
	// relayWait is how long the owner of a large cell waits for its first relays.
	relayWait = 600 * time.Millisecond
	// candidateFactor is how many times as many workers as there are the pinged hosts
	// have room for.
	candidateFactor = 1.5
)

// RelayPool holds the hosts that can call workers for the owner. It pings those that
// are or may soon be relays. Set the exported fields before use; its methods may be
// called concurrently.
type RelayPool struct {
	Clock hoist.Clock
	Log   *slog.Logger
	Guard *guard.Guard

	mu    sync.Mutex
	hosts map[hoist.HostID]*relayHost
	// changed is a flag that is set when the hosts, or those that are up, have changed.
	changed chan struct{}
}

// changes returns the flag that is set when the hosts, or those that are up, have changed.
func (p *RelayPool) changes() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changeFlag()
}

// changeFlag is changes with p.mu held.
func (p *RelayPool) changeFlag() chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{}, 1)
	}
	return p.changed
}

// relayHost is a host that can be a relay.
type relayHost struct {
	relay  hoist.Relay
	weight int
	// stop ends the pings; it is nil while the host is not pinged.
	stop context.CancelFunc
	// isUp is set while the host answers pings.
	isUp bool
	// hasAnswer is set once the outcome of a ping is known.
	hasAnswer bool
	// failures and successes count the last consecutive pings of each kind.
	failures, successes int
}

// Set adds or replaces a host; a nil relay removes it. The workers of the host move, or
// are called through its new client, at the next assignment.
func (p *RelayPool) Set(id hoist.HostID, weight int, relay hoist.Relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clock.Signal(p.changeFlag())
	if p.hosts == nil {
		p.hosts = make(map[hoist.HostID]*relayHost)
	}
	if old, ok := p.hosts[id]; ok && old.stop != nil {
		old.stop()
	}
	delete(p.hosts, id)
	if relay != nil {
		p.hosts[id] = &relayHost{relay: relay, weight: weight}
	}
}

// relay returns the client for calls through a host.
func (p *RelayPool) relay(id hoist.HostID) (hoist.Relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return nil, false
	}
	return h.relay, true
}

// isUp reports whether a host answers pings.
func (p *RelayPool) isUp(id hoist.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	return ok && h.isUp
}

// IsDown reports whether a host is known not to answer pings, or to be leaving.
func (p *RelayPool) IsDown(id hoist.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	return ok && h.hasAnswer && !h.isUp
}

// up returns the hosts that answer pings.
func (p *RelayPool) up() []share.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []share.Host
	for id, h := range p.hosts {
		if h.isUp {
			out = append(out, share.Host{ID: id, Weight: h.weight})
		}
	}
	return out
}

// watch pings the hosts that are or may become relays for the given number of workers,
// until ctx ends or they are no longer needed. 0 means that no relay is needed.
func (p *RelayPool) watch(ctx context.Context, workers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var wanted []share.Host
	if workers > 0 {
		wanted = share.Largest(p.list(), int(candidateFactor*float64(workers)))
	}
	for id, h := range p.hosts {
		isWanted := slices.ContainsFunc(wanted, func(c share.Host) bool { return c.ID == id })
		switch {
		case isWanted && h.stop == nil:
			pingCtx, stop := context.WithCancel(ctx)
			h.stop = stop
			go p.Guard.Loop(pingCtx, workRelay, func() { p.pingLoop(pingCtx, id, h) })
		case !isWanted && h.stop != nil:
			h.stop()
			h.stop, h.isUp, h.hasAnswer = nil, false, false
		}
	}
}

// list returns all hosts. p.mu must be held.
func (p *RelayPool) list() []share.Host {
	out := make([]share.Host, 0, len(p.hosts))
	for id, h := range p.hosts {
		out = append(out, share.Host{ID: id, Weight: h.weight})
	}
	slices.SortFunc(out, func(x, y share.Host) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// await waits until the outcome of a ping is known for each host that is pinged, for at
// most relayWait. Workers that are assigned earlier would move at once.
func (p *RelayPool) await(ctx context.Context, workers int) {
	for until := p.Clock.Now().Add(relayWait); p.Clock.Now().Before(until) && ctx.Err() == nil; {
		p.watch(ctx, workers)
		clock.Sleep(ctx, pingRetryDelay)
		if p.isSettled() {
			return
		}
	}
}

// isSettled reports whether hosts are pinged and the outcome is known for each.
func (p *RelayPool) isSettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pinged := 0
	for _, h := range p.hosts {
		if h.stop == nil {
			continue
		}
		if pinged++; !h.hasAnswer {
			return false
		}
	}
	return pinged > 0
}

// pingLoop pings a host until ctx ends.
func (p *RelayPool) pingLoop(ctx context.Context, id hoist.HostID, h *relayHost) {
	pause, overrun := pingRetryDelay, time.Duration(0)
	for {
		began := p.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := h.relay.Ping(callCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		isOwnDelay := overrun > maxPingOverrun || p.Clock.Now().Sub(began) > pingTimeout+maxPingOverrun
		if err == nil || !isOwnDelay {
			pause = p.record(ctx, id, h, err)
		}
		began = p.Clock.Now()
		if !clock.Sleep(ctx, pause) {
			return
		}
		overrun = p.Clock.Now().Sub(began) - pause
	}
}

// record records the outcome of a ping and returns the pause before the next one.
func (p *RelayPool) record(ctx context.Context, id hoist.HostID, h *relayHost, err error) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasUp := h.isUp
	if err == nil {
		h.failures = 0
		h.successes++
		h.isUp = h.isUp || !h.hasAnswer || h.successes >= minPingSuccesses
	} else {
		h.successes = 0
		h.failures++
		isCertain := errors.Is(err, hoist.ErrUnavailable) || errors.Is(err, hoist.ErrLeaving)
		h.isUp = h.isUp && !isCertain && h.failures < maxPingFailures
	}
	h.hasAnswer = true
	if h.isUp != wasUp {
		clock.Signal(p.changeFlag())
	}
	if wasUp && !h.isUp {
		events.RelayLost.Log(ctx, p.Log, "relay", id, "error", err)
	}
	switch {
	case h.isUp && err == nil:
		return pingEvery
	case h.isUp:
		return pingRetryDelay
	default:
		return downPingEvery
	}
}
