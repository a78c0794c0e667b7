package member

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

// link is the connection to one other host.
type link struct {
	addr   string
	peer   hoist.Peer
	cancel context.CancelFunc
}

// closer is implemented by peers that hold a connection.
type closer interface {
	Close()
}

// connect keeps one link, with one goroutine, to each other member.
func (m *Manager) connect(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[hoist.HostID]string)
	for _, member := range m.members {
		if member.Host != m.Member.Host && member.State != hoist.MemberFenced {
			wanted[member.Host] = member.Addr
		}
	}
	for host, l := range m.peers {
		if wanted[host] != l.addr {
			m.closeLink(host, l)
		}
	}
	for host, addr := range wanted {
		if _, ok := m.peers[host]; !ok {
			m.openLink(ctx, host, addr)
		}
	}
}

func (m *Manager) openLink(ctx context.Context, host hoist.HostID, addr string) {
	// The link outlives the shutdown signal: leaving needs it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l := &link{addr: addr, peer: m.Dial(addr), cancel: cancel}
	m.peers[host] = l
	go m.beatLoop(ctx, host, l.peer)
}

func (m *Manager) closeLink(host hoist.HostID, l *link) {
	l.cancel()
	if c, ok := l.peer.(closer); ok {
		c.Close()
	}
	delete(m.peers, host)
}

func (m *Manager) closePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, l := range m.peers {
		m.closeLink(host, l)
	}
}

// beatLoop exchanges heartbeats with one other host.
func (m *Manager) beatLoop(ctx context.Context, host hoist.HostID, peer hoist.Peer) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		m.messages.Add(1)
		reply, err := peer.Heartbeat(callCtx, m.heartbeat())
		cancel()
		if err == nil {
			m.Beat.Heard(reply)
		} else if ctx.Err() == nil {
			events.PeerLost.Log(ctx, m.Log, "host", host, "error", err)
		}
		sleep(ctx, heartbeatEvery)
	}
}

func (m *Manager) heartbeat() hoist.Heartbeat {
	m.mu.Lock()
	h := hoist.Heartbeat{
		Host:     m.Member.Host,
		Epoch:    m.Member.Epoch,
		Leaving:  m.isLeaving,
		TableAge: m.Clock.Now().Sub(m.tableOK),
	}
	m.mu.Unlock()
	m.Beat.Beat(&h)
	return h
}

// Heartbeat answers another host's heartbeat.
func (m *Manager) Heartbeat(h hoist.Heartbeat) hoist.Heartbeat {
	m.messages.Add(1)
	m.Beat.Heard(h)
	return m.heartbeat()
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

func (m *Manager) peerIDs() []hoist.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]hoist.HostID, 0, len(m.peers))
	for host := range m.peers {
		out = append(out, host)
	}
	return out
}
