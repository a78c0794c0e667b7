package owner

import (
	"cmp"
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// MaxFullMeshHosts is the largest number of hosts in a cell in which every
	// host sends heartbeats to every other one: two data centres of 8 hosts.
	MaxFullMeshHosts = 16
	// remoteTargets is the number of hosts of each other data centre to which a
	// host of a larger cell sends heartbeats. With two, one is left if a host fails.
	remoteTargets = 2
)

// HeartbeatTargets returns the hosts to which self sends heartbeats: all other
// hosts in a small cell, else the hosts of its own data centre and a few of each
// other one, which differ from host to host.
func HeartbeatTargets(self hoist.Member, members []hoist.Member) map[hoist.HostID]bool {
	out := make(map[hoist.HostID]bool)
	remote := make(map[hoist.DataCentreID][]hoist.HostID)
	running := 0
	for _, m := range members {
		if m.Host == self.Host || m.State.HasEnded() {
			continue
		}
		running++
		if m.DataCentre == self.DataCentre {
			out[m.Host] = true
		} else {
			remote[m.DataCentre] = append(remote[m.DataCentre], m.Host)
		}
	}
	isFullMesh := running < MaxFullMeshHosts
	for _, hosts := range remote {
		slices.SortFunc(hosts, func(a, b hoist.HostID) int {
			return cmp.Compare(rank(self.Host, a), rank(self.Host, b))
		})
		if !isFullMesh {
			hosts = hosts[:min(remoteTargets, len(hosts))]
		}
		for _, host := range hosts {
			out[host] = true
		}
	}
	return out
}
