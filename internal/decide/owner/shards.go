package owner

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ShardState is the owner of a shard, with the epoch and term in which it owns
// the shard.
type ShardState struct {
	Owner hoist.HostID
	Epoch hoist.Epoch
	Term  hoist.Term
	// Version is the version of the shard's row, 0 if it has none.
	Version hoist.RowVersion
}

// Map holds the state of each shard as last read from the table. In the zero
// value no shard has an owner.
type Map struct {
	shards [hoist.NumShards]ShardState
}

// Get returns the state of shard.
func (m *Map) Get(shard hoist.ShardID) ShardState {
	return m.shards[shard]
}

// Set records the state of shard. If the map already holds a higher term, it
// changes nothing and returns false, as terms only grow.
func (m *Map) Set(shard hoist.ShardID, s ShardState) bool {
	if s.Term < m.shards[shard].Term {
		return false
	}
	m.shards[shard] = s
	return true
}

// Preferred returns the member that ranks first for shard. It uses weighted
// rendezvous hashing, so that a change of members moves only the shards that must
// move. It returns "" if no member with a positive weight is live.
func Preferred(shard hoist.ShardID, members []hoist.Member) hoist.HostID {
	var best hoist.HostID
	bestScore := math.Inf(-1)
	for _, m := range members {
		if m.State != hoist.MemberLive || m.Weight <= 0 {
			continue
		}
		score := Score(strconv.Itoa(int(shard)), m.Host, m.Weight)
		if score > bestScore || (score == bestScore && m.Host < best) {
			best, bestScore = m.Host, score
		}
	}
	return best
}

// Score ranks a host for a key in weighted rendezvous hashing: the host with the
// highest score comes first. The score is -weight/ln(h) with h uniform in (0,1), which
// makes each host rank first in proportion to its weight.
func Score(key string, host hoist.HostID, weight int) float64 {
	h := xxhash.Sum64String(key + "/" + string(host))
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(uniform)
}

// Claimable returns the shards for which self ranks first and that certainly
// have no acting owner: they never had one, or their owner was fenced, has left
// or is in a later epoch. If members does not list the owner of a shard, or lists
// it in an earlier epoch, the owner may have joined after members was read, so the
// shard is left out.
func (m *Map) Claimable(self hoist.HostID, members []hoist.Member) []hoist.ShardID {
	known := make(map[hoist.HostID]hoist.Member, len(members))
	for _, member := range members {
		known[member.Host] = member
	}
	var out []hoist.ShardID
	for i, s := range m.shards {
		shard := hoist.ShardID(i)
		if s.Owner != "" && !hasEnded(known[s.Owner], s.Epoch) {
			continue
		}
		if Preferred(shard, members) == self {
			out = append(out, shard)
		}
	}
	return out
}

// hasEnded reports whether the process of the host in the given epoch can never
// act again. The result true is final, even if member is outdated.
func hasEnded(member hoist.Member, epoch hoist.Epoch) bool {
	return member.Epoch > epoch || (member.Epoch == epoch && member.State.HasEnded())
}

// Surplus returns the shards that self owns in the given epoch although another
// live member ranks first for them, with that member.
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
