package owner_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/owner"
)

// newMembers returns hosts with 4, 8, 12 and 16 cores in turn. The name of the
// cell is part of the host ids.
func newMembers(name string, hosts int) []hoist.Member {
	var out []hoist.Member
	for i := range hosts {
		host := hoist.HostID(fmt.Sprintf("%s-%d", name, i))
		out = append(out, hoist.Member{Host: host, Epoch: 1, Weight: 4 + 4*(i%4), State: hoist.MemberLive})
	}
	return out
}

func preferredOwners(members []hoist.Member) (owners [hoist.NumShards]hoist.HostID) {
	for shard := range owners {
		owners[shard] = owner.Preferred(hoist.ShardID(shard), members)
	}
	return owners
}

// expectedShards returns the mean and the standard deviation of the number of
// shards of a member: each shard is assigned to it with probability weight/total.
func expectedShards(m hoist.Member, members []hoist.Member) (mean, deviation float64) {
	total := 0
	for _, other := range members {
		total += other.Weight
	}
	p := float64(m.Weight) / float64(total)
	return hoist.NumShards * p, math.Sqrt(hoist.NumShards * p * (1 - p))
}

// countMoved counts the shards whose owner differs, and those among them that
// moved neither to nor from host.
func countMoved(before, after [hoist.NumShards]hoist.HostID, host hoist.HostID) (n, needless int) {
	for shard := range before {
		if before[shard] == after[shard] {
			continue
		}
		n++
		if before[shard] != host && after[shard] != host {
			needless++
		}
	}
	return n, needless
}

// TestShardDistribution guards against a join or leave that moves shards between the
// other hosts, and against shares that do not follow the weight of the hosts. The
// bound is four standard deviations, which a fair hash exceeds with a probability of
// one in 16,000 for each share.
func TestShardDistribution(t *testing.T) {
	for _, hosts := range []int{3, 8, 120} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			all := newMembers("cell", hosts+1)
			joiner := all[hosts]
			before, after := preferredOwners(all[:hosts]), preferredOwners(all)
			n, needless := countMoved(before, after, joiner.Host)
			is.Equal(needless, 0) // only shards of the joining host move
			mean, deviation := expectedShards(joiner, all)
			is.True(math.Abs(float64(n)-mean) <= 4*deviation) // the moved share follows the weight
			counts := make(map[hoist.HostID]int)
			for _, host := range after {
				counts[host]++
			}
			for _, m := range all {
				mean, deviation := expectedShards(m, all)
				is.True(math.Abs(float64(counts[m.Host])-mean) <= 4*deviation) // every share follows the weight
			}
		})
	}
}

// TestClaimable guards against a claim of a shard whose owner may still act.
func TestClaimable(t *testing.T) {
	cases := []struct {
		name  string
		owner hoist.HostID
		epoch hoist.Epoch
		state hoist.MemberState
		want  bool
	}{
		{"never owned", "", 0, hoist.MemberLive, true},
		{"owner acts", "other", 3, hoist.MemberLive, false},
		{"owner is leaving", "other", 3, hoist.MemberLeaving, false},
		{"owner was fenced", "other", 3, hoist.MemberFenced, true},
		{"owner has a later epoch", "other", 2, hoist.MemberLive, true},
		{"owner joined after the members were read", "other", 4, hoist.MemberFenced, false},
		{"owner is not known yet", "new", 1, hoist.MemberLive, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var m owner.Map
			m.Set(7, owner.ShardState{Owner: c.owner, Epoch: c.epoch, Term: 1, Version: 1})
			other := hoist.Member{Host: "other", Epoch: 3, State: c.state}
			self := hoist.Member{Host: "self", Epoch: 1, Weight: 8, State: hoist.MemberLive}
			got := m.Claimable("self", []hoist.Member{self, other})
			want := hoist.NumShards - 1
			if c.want {
				want = hoist.NumShards
			}
			is.Equal(len(got), want)
		})
	}
}

// TestHeartbeatTargets guards against heartbeats that grow with the square of the
// number of hosts in a large cell, and against a data centre that receives none.
func TestHeartbeatTargets(t *testing.T) {
	cases := []struct{ centres, hosts, want int }{{1, 8, 7}, {3, 5, 14}, {15, 8, 7 + 14*2}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d of %d", c.centres, c.hosts), func(t *testing.T) {
			is := is.New(t)
			members := newMembers("cell", c.centres*c.hosts)
			for i := range members {
				members[i].DataCentre = hoist.DataCentreID(fmt.Sprint(i % c.centres))
			}
			got := owner.HeartbeatTargets(members[0], members)
			is.Equal(len(got), c.want)
			is.True(!got[members[0].Host]) // a host sends no heartbeats to itself
		})
	}
}

// BenchmarkShardMoves reports how many shards one join and one leave move, as a mean
// over cells with different host ids, and how many must move.
func BenchmarkShardMoves(b *testing.B) {
	for _, hosts := range []int{3, 8, 120} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var joined, left, mustJoin, mustLeave float64
			for i := range b.N {
				all := newMembers(fmt.Sprint(i), hosts+1)
				before, after := preferredOwners(all[:hosts]), preferredOwners(all)
				n, _ := countMoved(before, after, all[hosts].Host)
				mean, _ := expectedShards(all[hosts], all)
				joined, mustJoin = joined+float64(n), mustJoin+mean
				n, _ = countMoved(before, preferredOwners(all[1:hosts]), all[0].Host)
				mean, _ = expectedShards(all[0], all[:hosts])
				left, mustLeave = left+float64(n), mustLeave+mean
			}
			b.ReportMetric(joined/float64(b.N), "joined-shards/op")
			b.ReportMetric(mustJoin/float64(b.N), "must-join-shards/op")
			b.ReportMetric(left/float64(b.N), "left-shards/op")
			b.ReportMetric(mustLeave/float64(b.N), "must-leave-shards/op")
		})
	}
}
