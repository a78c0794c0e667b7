package member

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// ballot is the vote of one elector.
type ballot struct {
	elector hoist.VoterID
	granted bool
}

// vote asks all electors at the same time and returns who granted the vote. It
// returns as soon as there is a majority of each electorate, and after
// peerTimeout at the latest. self is the vote of this host.
func (m *Manager) vote(
	ctx context.Context, electorates [][]hoist.VoterID, self bool,
	ask func(context.Context, hoist.Peer) (bool, error),
) map[hoist.VoterID]bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted := make(map[hoist.VoterID]bool)
	if self {
		granted[m.Member.Voter()] = true
	}
	asked := m.electors(electorates)
	// A vote that comes after the return must not keep its goroutine waiting.
	ballots := make(chan ballot, len(asked))
	for elector, peer := range asked {
		m.links.Go(func() {
			ok, err := ask(ctx, peer)
			ballots <- ballot{elector, ok && err == nil}
		})
	}
	for range asked {
		if owner.HasMajorities(electorates, granted) {
			return granted
		}
		select {
		case b := <-ballots:
			if b.granted {
				granted[b.elector] = true
			}
		case <-ctx.Done():
			return granted
		}
	}
	return granted
}

// electors returns the links to the voters of the electorates. A host that has
// moved to another address since is not the voter that it was.
func (m *Manager) electors(electorates [][]hoist.VoterID) map[hoist.VoterID]hoist.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make(map[hoist.VoterID]hoist.Peer, len(m.peers))
	for host, l := range m.peers {
		links[hoist.VoterOf(host, l.addr)] = l.peer
	}
	out := make(map[hoist.VoterID]hoist.Peer)
	for _, electorate := range electorates {
		for _, elector := range electorate {
			if peer, ok := links[elector]; ok {
				out[elector] = peer
			}
		}
	}
	return out
}

// Promise answers another host's Promise call.
func (m *Manager) Promise(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter != nil && m.voter.Promise(lease, m.Clock.Now())
}

// Release answers another host's Release call.
func (m *Manager) Release(lease hoist.LeaseRef) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter != nil && m.voter.Release(lease, m.Clock.Now())
}
