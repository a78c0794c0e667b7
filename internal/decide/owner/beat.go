package owner

import (
	"cmp"
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// SpreadAbove is the largest cell in which every host sends heartbeats to
	// every other: two data centres of 8 hosts.
	SpreadAbove = 16
	// farTargets is how many hosts of each other data centre get heartbeats in
	// larger cells. Two leave one if a host dies.
	farTargets = 2
)

// HeartbeatTargets returns the hosts that self sends heartbeats to: all in a small
// cell, else the hosts of its own data centre and a few of each other one,
// which differ from host to host.
func HeartbeatTargets(self hoist.Member, members []hoist.Member) map[hoist.HostID]bool {
	out := make(map[hoist.HostID]bool)
	far := make(map[hoist.DataCentreID][]hoist.HostID)
	running := 0
	for _, m := range members {
		if m.Host == self.Host || m.State.HasEnded() {
			continue
		}
		running++
		if m.DataCentre == self.DataCentre {
			out[m.Host] = true
		} else {
			far[m.DataCentre] = append(far[m.DataCentre], m.Host)
		}
	}
	isSmall := running < SpreadAbove
	for _, hosts := range far {
		slices.SortFunc(hosts, func(a, b hoist.HostID) int {
			return cmp.Compare(rank(self.Host, a), rank(self.Host, b))
		})
		if !isSmall {
			hosts = hosts[:min(farTargets, len(hosts))]
		}
		for _, host := range hosts {
			out[host] = true
		}
	}
	return out
}
