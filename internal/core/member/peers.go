package member

import (
	"context"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/delta"
)

// link is the connection to one other host.
type link struct {
	addr   string
	peer   hoist.Peer
	cancel context.CancelFunc
	// heardAt is when the host last answered a heartbeat.
	heardAt time.Time
	// leftAt is when the host was first seen to have left.
	leftAt time.Time
}

// connect keeps one link, with one goroutine, to each other member.
func (m *Manager) connect(ctx context.Context) {
	m.mu.Lock()
	wanted := make(map[hoist.HostID]string)
	for _, member := range m.members {
		if member.Host != m.Member.Host && !member.State.HasEnded() {
			wanted[member.Host] = member.Addr
		}
	}
	var closed []*link
	for host, l := range m.peers {
		if wanted[host] != l.addr {
			delete(m.peers, host)
			delete(m.workers, host)
			closed = append(closed, l)
		}
	}
	closed = m.keepLeft(closed)
	for host, addr := range wanted {
		if _, ok := m.peers[host]; !ok {
			m.openLink(ctx, host, addr)
		}
	}
	m.mu.Unlock()
	closeLinks(closed)
}

// keepLeft takes the links to members that left out of closed and adds those
// that left long ago: a host answers what is in flight after it has left.
func (m *Manager) keepLeft(closed []*link) []*link {
	now := m.Clock.Now()
	left := make(map[string]bool)
	for _, member := range m.members {
		if member.State == hoist.MemberLeft {
			left[member.Addr] = true
		}
	}
	var out []*link
	for _, l := range closed {
		if !left[l.addr] {
			out = append(out, l)
			continue
		}
		l.cancel()
		l.leftAt = now
		m.leftLinks = append(m.leftLinks, l)
	}
	m.leftLinks = slices.DeleteFunc(m.leftLinks, func(l *link) bool {
		isOver := now.Sub(l.leftAt) > keepLeftFor
		if isOver {
			out = append(out, l)
		}
		return isOver
	})
	return out
}

func (m *Manager) openLink(ctx context.Context, host hoist.HostID, addr string) {
	// The link outlives the shutdown signal: leaving needs it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l := &link{addr: addr, peer: m.Dial(addr), cancel: cancel}
	m.peers[host] = l
	m.links.Go(func() { m.beatLoop(ctx, host, l) })
}

// closeLinks must not be called with the lock held: closing waits for a
// connection that is being made.
func closeLinks(links []*link) {
	for _, l := range links {
		l.cancel()
		if c, ok := l.peer.(hoist.Closer); ok {
			c.Close()
		}
	}
}

func (m *Manager) closePeers() {
	m.mu.Lock()
	var closed []*link
	for _, l := range m.peers {
		closed = append(closed, l)
	}
	clear(m.peers)
	closed = append(closed, m.leftLinks...)
	m.leftLinks = nil
	m.mu.Unlock()
	closeLinks(closed)
}

// beatLoop exchanges heartbeats with one other host. A peer that stops
// answering is logged once.
func (m *Manager) beatLoop(ctx context.Context, host hoist.HostID, l *link) {
	isLost := false
	var sender delta.Sender
	for n := 0; ctx.Err() == nil; n++ {
		if n%farBeatEvery != 0 && !m.isTarget(host) {
			sleep(ctx, heartbeatEvery)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		m.messages.Add(1)
		h := m.heartbeat()
		h.Delta = sender.Next(h.Workers)
		reply, err := l.peer.Heartbeat(callCtx, h)
		cancel()
		sender.Answered(err == nil && !reply.Delta.NeedAll)
		if err == nil {
			m.heard(l)
			// A reply says nothing about workers; the other host's own
			// heartbeats do.
			reply.Workers = m.workersOf(reply)
			m.Heartbeats.HandleHeartbeat(reply)
		} else if ctx.Err() == nil && !isLost {
			events.PeerLost.Log(ctx, m.Log, "host", host, "error", err)
		}
		isLost = err != nil
		sleep(ctx, heartbeatEvery)
	}
}

func (m *Manager) isTarget(host hoist.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[host]
}

func (m *Manager) heard(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.heardAt = m.Clock.Now()
}

// reachable returns the link to a host that answered a heartbeat lately.
func (m *Manager) reachable(host hoist.HostID) (hoist.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.peers[host]
	if !ok {
		return nil, false
	}
	lately := 3 * heartbeatEvery
	if !m.targets[host] {
		lately *= farBeatEvery
	}
	return l.peer, m.Clock.Now().Sub(l.heardAt) <= lately
}

func (m *Manager) heartbeat() hoist.Heartbeat {
	m.mu.Lock()
	h := hoist.Heartbeat{
		Host:     m.Member.Host,
		Epoch:    m.epoch,
		Leaving:  m.isLeaving,
		TableAge: m.Clock.Now().Sub(m.tableOK),
	}
	m.mu.Unlock()
	m.Heartbeats.FillHeartbeat(&h)
	return h
}

// Heartbeat answers another host's heartbeat.
func (m *Manager) Heartbeat(h hoist.Heartbeat) hoist.Heartbeat {
	m.messages.Add(1)
	isApplied := m.applyDelta(&h)
	m.Heartbeats.HandleHeartbeat(h)
	reply := m.heartbeat()
	reply.Delta = hoist.WorkerDelta{NeedAll: !isApplied}
	return reply
}

// heardWorkers is what another host told about its workers.
type heardWorkers struct {
	receiver delta.Receiver
	epoch    hoist.Epoch
	workers  []hoist.Candidate
}

// applyDelta puts the workers of a heartbeat together. It reports false if all
// workers are needed; the last known ones of the same process stand in until
// they come.
func (m *Manager) applyDelta(h *hoist.Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workers == nil {
		// A host may call before this one runs.
		h.Workers = nil
		return false
	}
	known, ok := m.workers[h.Host]
	if !ok {
		known = &heardWorkers{}
		m.workers[h.Host] = known
	}
	workers, ok := known.receiver.Apply(h.Epoch, h.Delta)
	if ok || known.epoch != h.Epoch {
		known.epoch, known.workers = h.Epoch, workers
	}
	h.Workers = known.workers
	return ok
}

// workersOf returns the workers that the process of a reply told about.
func (m *Manager) workersOf(reply hoist.Heartbeat) []hoist.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.workers[reply.Host]
	if !ok || known.epoch != reply.Epoch {
		return nil
	}
	return known.workers
}

// Peer implements hoist.Ownership.
func (m *Manager) Peer(host hoist.HostID) (hoist.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.peers[host]
	if !ok {
		return nil, false
	}
	return l.peer, true
}

// Peers implements hoist.Ownership.
func (m *Manager) Peers() map[hoist.HostID]hoist.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[hoist.HostID]hoist.Peer, len(m.peers))
	for host, l := range m.peers {
		out[host] = l.peer
	}
	return out
}
