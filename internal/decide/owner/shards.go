package owner

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ShardState tells who owns a shard.
type ShardState struct {
	Owner hoist.HostID
	Epoch hoist.Epoch
	Term  hoist.Term
	// Version is the version of the shard's row, 0 if it has none.
	Version hoist.RowVersion
}

// Map tells who owns each shard, as the table last said. The zero value has no
// owners.
type Map struct {
	shards [hoist.NumShards]ShardState
}

// Get returns the state of shard.
func (m *Map) Get(shard hoist.ShardID) ShardState {
	return m.shards[shard]
}

// Set records the state of shard. It reports false and changes nothing if the
// map has a higher term already: terms only grow.
func (m *Map) Set(shard hoist.ShardID, s ShardState) bool {
	if s.Term < m.shards[shard].Term {
		return false
	}
	m.shards[shard] = s
	return true
}

// Preferred returns the member that ranks first for shard: weighted rendezvous
// hashing, so that a change of members moves only the share that must move. It
// returns "" if no member is live.
func Preferred(shard hoist.ShardID, members []hoist.Member) hoist.HostID {
	var best hoist.HostID
	bestScore := math.Inf(-1)
	for _, m := range members {
		if m.State != hoist.MemberLive || m.Weight <= 0 {
			continue
		}
		score := score(shard, m)
		if score > bestScore || (score == bestScore && m.Host < best) {
			best, bestScore = m.Host, score
		}
	}
	return best
}

// score is -weight/ln(h) with h uniform in (0,1), which makes each member rank
// first in proportion to its weight.
func score(shard hoist.ShardID, m hoist.Member) float64 {
	h := xxhash.Sum64String(strconv.Itoa(int(shard)) + "/" + string(m.Host))
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(m.Weight) / math.Log(uniform)
}

// Claimable returns the shards that self ranks first for and that certainly
// have no acting owner: they never had one, or their owner was fenced, has left
// or is in a later epoch. An owner that members does not show, or not yet in
// its epoch, may have joined since they were read, so its shards are left out.
func (m *Map) Claimable(self hoist.HostID, members []hoist.Member) []hoist.ShardID {
	known := make(map[hoist.HostID]hoist.Member, len(members))
	for _, member := range members {
		known[member.Host] = member
	}
	var out []hoist.ShardID
	for i, s := range m.shards {
		shard := hoist.ShardID(i)
		if s.Owner != "" && !hasGone(known[s.Owner], s.Epoch) {
			continue
		}
		if Preferred(shard, members) == self {
			out = append(out, shard)
		}
	}
	return out
}

// hasGone reports whether the process of the host in the given epoch can never
// act again. Once true it stays true, however old member is.
func hasGone(member hoist.Member, epoch hoist.Epoch) bool {
	return member.Epoch > epoch || (member.Epoch == epoch && member.State == hoist.MemberFenced)
}

// Surplus returns the shards that self owns and another live member ranks
// first for, with that member.
func (m *Map) Surplus(self hoist.HostID, epoch hoist.Epoch, members []hoist.Member) map[hoist.ShardID]hoist.HostID {
	out := make(map[hoist.ShardID]hoist.HostID)
	for i, s := range m.shards {
		shard := hoist.ShardID(i)
		if s.Owner != self || s.Epoch != epoch {
			continue
		}
		if to := Preferred(shard, members); to != "" && to != self {
			out[shard] = to
		}
	}
	return out
}
