package codec

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Candidate converts c for the wire.
func Candidate(c hoist.Candidate) wire.Candidate {
	return wire.Candidate{
		Worker:     string(c.Worker),
		DataCentre: string(c.DataCentre),
		Rack:       string(c.Rack),
		Capacity:   Resources(c.Capacity),
		Free:       Resources(c.Free),
		State:      nilIfZero(string(c.State)),
		Usage:      nilIfZero(Resources(c.Usage)),
		Lower: Map(c.UsedByPriority, func(u hoist.PriorityUse) wire.PriorityUse {
			return wire.PriorityUse{Priority: int(u.Priority), Used: Resources(u.Used)}
		}),
	}
}

// ToCandidate converts c from the wire.
func ToCandidate(c wire.Candidate) hoist.Candidate {
	return hoist.Candidate{
		Worker:     hoist.WorkerID(c.Worker),
		DataCentre: hoist.DataCentreID(c.DataCentre),
		Rack:       hoist.RackID(c.Rack),
		Capacity:   ToResources(c.Capacity),
		Free:       ToResources(c.Free),
		State:      hoist.WorkerState(valueOrZero(c.State)),
		Usage:      ToResources(valueOrZero(c.Usage)),
		UsedByPriority: Map(c.Lower, func(u wire.PriorityUse) hoist.PriorityUse {
			return hoist.PriorityUse{Priority: hoist.Priority(u.Priority), Used: ToResources(u.Used)}
		}),
	}
}

// ServiceSlots converts s for the wire.
func ServiceSlots(s hoist.ServiceSlots) wire.ServiceSlots {
	return wire.ServiceSlots{Service: string(s.Service), Quick: s.Quick, Patient: s.Patient}
}

// ToServiceSlots converts s from the wire.
func ToServiceSlots(s wire.ServiceSlots) hoist.ServiceSlots {
	return hoist.ServiceSlots{Service: hoist.ServiceName(s.Service), Quick: s.Quick, Patient: s.Patient}
}

// Heartbeat converts h for the wire.
func Heartbeat(h hoist.Heartbeat) wire.Heartbeat {
	return wire.Heartbeat{
		Host:       string(h.Host),
		Epoch:      int(h.Epoch),
		Config:     int(h.Config),
		Leaving:    nilIfZero(h.Leaving),
		TableAgeUs: nilIfZero(micros(h.TableAge)),
		Delta:      workerDelta(h.Delta),
		Slots:      Map(h.Slots, ServiceSlots),
		Gang:       &wire.GangTurn{Job: string(h.Gang.Job), Since: h.Gang.Since},
	}
}

func workerDelta(d hoist.WorkerDelta) *wire.WorkerDelta {
	return &wire.WorkerDelta{
		Seq:     int(d.Seq),
		Base:    nilIfZero(int(d.Base)),
		Changed: Map(d.Changed, Candidate),
		Gone:    Strings(d.Removed),
		NeedAll: nilIfZero(d.NeedAll),
	}
}

func toWorkerDelta(d wire.WorkerDelta) hoist.WorkerDelta {
	return hoist.WorkerDelta{
		Seq:     hoist.HeartbeatSeq(d.Seq),
		Base:    hoist.HeartbeatSeq(valueOrZero(d.Base)),
		Changed: Map(d.Changed, ToCandidate),
		Removed: IDs[hoist.WorkerID](d.Gone),
		NeedAll: valueOrZero(d.NeedAll),
	}
}

// ToHeartbeat converts h from the wire.
func ToHeartbeat(h wire.Heartbeat) hoist.Heartbeat {
	return hoist.Heartbeat{
		Host:     hoist.HostID(h.Host),
		Epoch:    hoist.Epoch(h.Epoch),
		Config:   hoist.ConfigVersion(h.Config),
		Leaving:  valueOrZero(h.Leaving),
		TableAge: durationFromMicros(valueOrZero(h.TableAgeUs)),
		Delta:    toWorkerDelta(valueOrZero(h.Delta)),
		Slots:    Map(h.Slots, ToServiceSlots),
		Gang:     hoist.WaitingGang{Job: hoist.JobID(valueOrZero(h.Gang).Job), Since: valueOrZero(h.Gang).Since},
	}
}

// LeaseRef converts l for the wire.
func LeaseRef(l hoist.LeaseRef) wire.LeaseRef {
	return wire.LeaseRef{Host: string(l.Host), Epoch: int(l.Epoch), Renewals: int(l.Renewals)}
}

// ToLeaseRef converts l from the wire.
func ToLeaseRef(l wire.LeaseRef) hoist.LeaseRef {
	return hoist.LeaseRef{
		Host:     hoist.HostID(l.Host),
		Epoch:    hoist.Epoch(l.Epoch),
		Renewals: uint64(l.Renewals),
	}
}

// ShardTerm converts s for the wire.
func ShardTerm(s hoist.ShardTerm) wire.ShardTerm {
	return wire.ShardTerm{Shard: int(s.Shard), Term: int(s.Term)}
}

// ToShardTerm converts s from the wire.
func ToShardTerm(s wire.ShardTerm) hoist.ShardTerm {
	return hoist.ShardTerm{Shard: hoist.ShardID(s.Shard), Term: hoist.Term(s.Term)}
}

// Claim converts c for the wire.
func Claim(c hoist.Claim) wire.Claim {
	return wire.Claim{Host: string(c.Host), Shards: Map(c.Shards, ShardTerm)}
}

// ToClaim converts c from the wire.
func ToClaim(c wire.Claim) hoist.Claim {
	return hoist.Claim{Host: hoist.HostID(c.Host), Shards: Map(c.Shards, ToShardTerm)}
}

// KeyRecord converts r for the wire.
func KeyRecord(r hoist.KeyRecord) wire.KeyRecord {
	out := wire.KeyRecord{Key: string(r.Key), Content: Digest(r.Content), IssuedAt: r.IssuedAt, AnsweredAt: nilIfZero(r.AnsweredAt)}
	if r.Answer != nil {
		answer := Answer(*r.Answer)
		out.Answer = &answer
	}
	return out
}

// ToKeyRecord converts r from the wire. An answer that does not match its
// digest is dropped: the request then counts as still running on another host,
// with an unknown outcome.
func ToKeyRecord(r wire.KeyRecord) hoist.KeyRecord {
	out := hoist.KeyRecord{
		Key: hoist.RequestKey(r.Key), Content: ToDigest(r.Content), IssuedAt: r.IssuedAt, AnsweredAt: valueOrZero(r.AnsweredAt),
	}
	if r.Answer == nil {
		return out
	}
	if answer, err := ToAnswer(*r.Answer); err == nil {
		out.Answer = &answer
	}
	return out
}

// Handover converts h for the wire.
func Handover(h hoist.Handover) wire.Handover {
	return wire.Handover{
		Host:    string(h.Host),
		Shards:  Map(h.Shards, ShardTerm),
		Keys:    Map(h.Keys, KeyRecord),
		Horizon: h.Horizon,
	}
}

// ToHandover converts h from the wire.
func ToHandover(h wire.Handover) hoist.Handover {
	return hoist.Handover{
		Host:    hoist.HostID(h.Host),
		Shards:  Map(h.Shards, ToShardTerm),
		Keys:    Map(h.Keys, ToKeyRecord),
		Horizon: h.Horizon,
	}
}

// Member converts m for the wire.
func Member(m hoist.Member) wire.Member {
	return wire.Member{
		Host:       string(m.Host),
		Epoch:      int(m.Epoch),
		Addr:       m.Addr,
		DataCentre: string(m.DataCentre),
		Weight:     m.Weight,
		State:      string(m.State),
		Renewals:   int(m.Renewals),
		Electorate: Strings(m.Electorate),
	}
}

// ToMember converts m from the wire.
func ToMember(m wire.Member) hoist.Member {
	return hoist.Member{
		Host:       hoist.HostID(m.Host),
		Epoch:      hoist.Epoch(m.Epoch),
		Addr:       m.Addr,
		DataCentre: hoist.DataCentreID(m.DataCentre),
		Weight:     m.Weight,
		State:      hoist.MemberState(m.State),
		Renewals:   uint64(m.Renewals),
		Electorate: IDs[hoist.VoterID](m.Electorate),
	}
}
