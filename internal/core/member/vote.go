package member

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// voteReply is the answer of one voter.
type voteReply struct {
	voter   hoist.VoterID
	granted bool
}

// vote asks all voters concurrently and returns those that granted the vote. It
// returns as soon as there is a majority of each electorate, and after
// peerTimeout at the latest. self is the vote of this host.
func (m *Manager) vote(
	ctx context.Context, electorates [][]hoist.VoterID, self bool,
	request func(context.Context, hoist.Peer) (bool, error),
) map[hoist.VoterID]bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted := make(map[hoist.VoterID]bool)
	if self {
		granted[m.Member.Voter()] = true
	}
	voters := m.voterPeers(electorates)
	// The buffer lets a goroutine end whose vote arrives after the return.
	replies := make(chan voteReply, len(voters))
	for voter, peer := range voters {
		m.goroutines.Go(func() {
			ok, err := request(ctx, peer)
			replies <- voteReply{voter, ok && err == nil}
		})
	}
	for range voters {
		if owner.HasMajorities(electorates, granted) {
			return granted
		}
		select {
		case r := <-replies:
			if r.granted {
				granted[r.voter] = true
			}
		case <-ctx.Done():
			return granted
		}
	}
	return granted
}

// voterPeers returns the peers that are voters of the electorates. A host that
// has moved to another address is another voter.
func (m *Manager) voterPeers(electorates [][]hoist.VoterID) map[hoist.VoterID]hoist.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make(map[hoist.VoterID]hoist.Peer, len(m.peers))
	for host, l := range m.peers {
		links[hoist.VoterOf(host, l.addr)] = l.peer
	}
	out := make(map[hoist.VoterID]hoist.Peer)
	for _, electorate := range electorates {
		for _, voter := range electorate {
			if peer, ok := links[voter]; ok {
				out[voter] = peer
			}
		}
	}
	return out
}

// Promise handles a Promise call of another host. It reports whether this host
// promises not to release the lease.
func (m *Manager) Promise(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter != nil && m.voter.Promise(lease, m.Clock.Now())
}

// Release handles a Release call of another host. It reports whether this host
// releases the lease.
func (m *Manager) Release(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter != nil && m.voter.Release(lease, m.Clock.Now())
}
