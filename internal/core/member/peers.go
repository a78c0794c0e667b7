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
	// repliedAt is when the host last answered a heartbeat.
	repliedAt time.Time
	// leftAt is when the host was first seen to have left.
	leftAt time.Time
}

// connect opens a link, with one goroutine, to each new member and closes the
// links to hosts that are no longer members at the same address.
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
	closed = m.retainLeftLinks(closed)
	for host, addr := range wanted {
		if _, ok := m.peers[host]; !ok {
			m.openLink(ctx, host, addr)
		}
	}
	m.mu.Unlock()
	closeLinks(closed)
}

// retainLeftLinks keeps open those of the closed links that lead to members that
// left, since a host still answers the requests in flight after it has left. It
// returns the other links and those kept for longer than leftLinkRetention.
func (m *Manager) retainLeftLinks(closed []*link) []*link {
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
		isUnused := now.Sub(l.leftAt) > leftLinkRetention
		if isUnused {
			out = append(out, l)
		}
		return isUnused
	})
	return out
}

func (m *Manager) openLink(ctx context.Context, host hoist.HostID, addr string) {
	// The link outlives ctx, since the host needs it to leave the cell.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l := &link{addr: addr, peer: m.Dial(addr), cancel: cancel}
	m.peers[host] = l
	m.goroutines.Go(func() { m.heartbeatLoop(ctx, host, l) })
}

// closeLinks closes links. It must not be called with mu held, since closing
// waits for a connection that is being established.
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

// heartbeatLoop exchanges heartbeats with one other host. A peer that stops
// answering is logged once.
func (m *Manager) heartbeatLoop(ctx context.Context, host hoist.HostID, l *link) {
	isFailing := false
	var sender delta.Sender
	for n := 0; ctx.Err() == nil; n++ {
		if n%nonTargetPeriods != 0 && !m.isTarget(host) {
			sleep(ctx, heartbeatEvery)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		m.heartbeatCount.Add(1)
		h := m.heartbeat()
		h.Delta = sender.Next(h.Workers)
		reply, err := l.peer.Heartbeat(callCtx, h)
		cancel()
		sender.RecordResult(err == nil && !reply.Delta.NeedAll)
		if err == nil {
			m.recordReply(l)
			// A reply carries no workers; the other host's own heartbeats do.
			reply.Workers = m.workersOf(reply)
			m.Heartbeats.HandleHeartbeat(reply)
		} else if ctx.Err() == nil && !isFailing {
			events.PeerUnreachable.Log(ctx, m.Log, "host", host, "error", err)
		}
		isFailing = err != nil
		sleep(ctx, heartbeatEvery)
	}
}

func (m *Manager) isTarget(host hoist.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[host]
}

func (m *Manager) recordReply(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.repliedAt = m.Clock.Now()
}

// reachable returns the client for a host and whether the host answered a recent
// heartbeat.
func (m *Manager) reachable(host hoist.HostID) (hoist.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.peers[host]
	if !ok {
		return nil, false
	}
	maxReplyAge := 3 * heartbeatEvery
	if !m.targets[host] {
		maxReplyAge *= nonTargetPeriods
	}
	return l.peer, m.Clock.Now().Sub(l.repliedAt) <= maxReplyAge
}

func (m *Manager) heartbeat() hoist.Heartbeat {
	m.mu.Lock()
	h := hoist.Heartbeat{
		Host:     m.Member.Host,
		Epoch:    m.epoch,
		Leaving:  m.isLeaving,
		TableAge: m.Clock.Now().Sub(m.tableAnsweredAt),
	}
	m.mu.Unlock()
	m.Heartbeats.FillHeartbeat(&h)
	return h
}

// Heartbeat handles a heartbeat of another host and returns the reply.
func (m *Manager) Heartbeat(h hoist.Heartbeat) hoist.Heartbeat {
	m.heartbeatCount.Add(1)
	isApplied := m.applyDelta(&h)
	m.Heartbeats.HandleHeartbeat(h)
	reply := m.heartbeat()
	reply.Delta = hoist.WorkerDelta{NeedAll: !isApplied}
	return reply
}

// remoteWorkers holds the workers of another host, from its heartbeats.
type remoteWorkers struct {
	receiver delta.Receiver
	epoch    hoist.Epoch
	workers  []hoist.Candidate
}

// applyDelta restores the list of workers of a heartbeat from its delta. It
// reports false if the full list is needed; until that arrives, the last known
// workers of the same process are used.
func (m *Manager) applyDelta(h *hoist.Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workers == nil {
		// Another host may call before Run.
		h.Workers = nil
		return false
	}
	known, ok := m.workers[h.Host]
	if !ok {
		known = &remoteWorkers{}
		m.workers[h.Host] = known
	}
	workers, ok := known.receiver.Apply(h.Epoch, h.Delta)
	if ok || known.epoch != h.Epoch {
		known.epoch, known.workers = h.Epoch, workers
	}
	h.Workers = known.workers
	return ok
}

// workersOf returns the last known workers of the process that sent a reply.
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
