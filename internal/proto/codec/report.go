package codec

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// HostReport converts r for the wire.
func HostReport(r hoist.HostReport) wire.HostReport {
	return wire.HostReport{
		Host: string(r.Host),
		Classes: Map(r.Classes, func(c hoist.ClassReport) wire.ClassReport {
			return wire.ClassReport{Class: string(c.Class), Windows: Map(c.Windows, window), Waits: c.Waits}
		}),
		Workers:      Map(r.Workers, Candidate),
		Shards:       r.Cost.Shards,
		CpuPercent:   float64(r.Cost.CPU),
		MemoryMib:    int(r.Cost.Memory),
		MessagesPerS: r.Cost.Messages,
	}
}

func window(w hoist.Window) wire.Window {
	return wire.Window{Good: int(w.Good), Total: int(w.Total)}
}

// ToHostReport converts r from the wire.
func ToHostReport(r wire.HostReport) hoist.HostReport {
	return hoist.HostReport{
		Host: hoist.HostID(r.Host),
		Classes: Map(r.Classes, func(c wire.ClassReport) hoist.ClassReport {
			return hoist.ClassReport{Class: hoist.Class(c.Class), Windows: Map(c.Windows, toWindow), Waits: c.Waits}
		}),
		Workers: Map(r.Workers, ToCandidate),
		Cost: hoist.HostCost{
			Shards:   r.Shards,
			CPU:      hoist.Percent(r.CpuPercent),
			Memory:   hoist.MiB(r.MemoryMib),
			Messages: r.MessagesPerS,
		},
	}
}

func toWindow(w wire.Window) hoist.Window {
	return hoist.Window{Good: uint64(w.Good), Total: uint64(w.Total)}
}

// HostStatus converts s for the wire.
func HostStatus(s hoist.HostStatus) wire.HostStatus {
	return wire.HostStatus{Member: Member(s.Member), Config: int(s.Config), Heard: nilIfZero(s.Heard)}
}

// ToHostStatus converts s from the wire.
func ToHostStatus(s wire.HostStatus) hoist.HostStatus {
	return hoist.HostStatus{Member: ToMember(s.Member), Config: hoist.ConfigVersion(s.Config), Heard: valueOrZero(s.Heard)}
}

// ConfigChange converts c for the wire.
func ConfigChange(c hoist.ConfigChange) wire.ConfigChange {
	return wire.ConfigChange{Version: int(c.Version), ChangeId: string(c.ChangeID)}
}

// ToDrain converts d from the wire.
func ToDrain(d wire.Drain) hoist.Drain {
	return hoist.Drain{Kind: hoist.HostKind(d.Kind), ID: d.Id, IsDrain: d.Drain}
}
