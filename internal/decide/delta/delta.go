// Package delta decides what a host tells another about its workers in each
// heartbeat: all of them at first, then only what changed since a heartbeat
// that certainly arrived.
//
// # Usage
//
// The side that sends heartbeats keeps a Sender for each link:
//
//	d := sender.Next(workers)
//	reply, err := peer.Heartbeat(ctx, beatWith(d))
//	sender.Answered(err == nil && !reply.Delta.NeedAll)
//
// The other side keeps a Receiver for each host that it hears from:
//
//	workers, ok := receiver.Apply(epoch, d)
//	if !ok {
//		// answer with NeedAll
//	}
//
// The types are not safe for concurrent use.
package delta

import (
	"maps"
	"slices"
	"strings"

	hoist "fuchsiahoist.example/hoist"
)

// usageSteps is how finely the measured usage of a worker is told: a change of
// less than 1/16 of the capacity is no news. Usage changes with every report,
// so without steps every heartbeat would carry every worker.
const usageSteps = 16

// Sender composes the deltas of one link. The zero value is ready to use.
type Sender struct {
	seq     hoist.HeartbeatSeq
	base    hoist.HeartbeatSeq
	arrived map[hoist.WorkerID]hoist.Candidate
	sent    map[hoist.WorkerID]hoist.Candidate
}

// Next returns what to tell about the workers now. Answered must follow before
// the next call.
func (s *Sender) Next(workers []hoist.Candidate) hoist.WorkerDelta {
	s.seq++
	d := hoist.WorkerDelta{Seq: s.seq, Base: s.base}
	s.sent = make(map[hoist.WorkerID]hoist.Candidate, len(workers))
	for _, w := range workers {
		old, isKnown := s.arrived[w.Worker]
		if s.base != 0 && isKnown && !isNews(old, w) {
			s.sent[w.Worker] = old
			continue
		}
		s.sent[w.Worker] = w
		d.Changed = append(d.Changed, w)
	}
	if s.base == 0 {
		return d
	}
	for id := range s.arrived {
		if _, ok := s.sent[id]; !ok {
			d.Gone = append(d.Gone, id)
		}
	}
	slices.Sort(d.Gone)
	return d
}

// Answered records whether the last delta was applied by the other side. If
// not, or if that is unknown, the next one lists all workers.
func (s *Sender) Answered(isApplied bool) {
	if !isApplied {
		s.base, s.arrived = 0, nil
		return
	}
	s.base, s.arrived = s.seq, s.sent
}

// isNews reports whether the change of a worker is worth telling.
func isNews(old, w hoist.Candidate) bool {
	if !slices.Equal(old.Lower, w.Lower) || isUsageNews(old.Usage, w.Usage, w.Capacity) {
		return true
	}
	old.Lower, w.Lower = nil, nil
	old.Usage = w.Usage
	return old.Worker != w.Worker || old.DataCentre != w.DataCentre || old.Rack != w.Rack ||
		old.State != w.State || old.Capacity != w.Capacity || old.Free != w.Free
}

func isUsageNews(old, usage, capacity hoist.Resources) bool {
	return moved(int64(old.CPU), int64(usage.CPU), int64(capacity.CPU)) ||
		moved(int64(old.Memory), int64(usage.Memory), int64(capacity.Memory)) ||
		moved(int64(old.Accel), int64(usage.Accel), int64(capacity.Accel))
}

func moved(old, now, capacity int64) bool {
	difference := max(old-now, now-old)
	return difference*usageSteps > capacity
}

// Receiver puts the workers of one host together. The zero value knows nothing.
type Receiver struct {
	epoch   hoist.Epoch
	seq     hoist.HeartbeatSeq
	workers map[hoist.WorkerID]hoist.Candidate
}

// Apply applies a delta of a process of the host and returns all workers, in
// order of their ids. It reports false if the delta follows one that did not
// arrive; all workers are needed then.
func (r *Receiver) Apply(epoch hoist.Epoch, d hoist.WorkerDelta) ([]hoist.Candidate, bool) {
	if d.Base != 0 && (r.epoch != epoch || r.seq != d.Base) {
		return nil, false
	}
	if d.Base == 0 {
		r.workers = make(map[hoist.WorkerID]hoist.Candidate, len(d.Changed))
	}
	r.epoch, r.seq = epoch, d.Seq
	for _, w := range d.Changed {
		r.workers[w.Worker] = w
	}
	for _, id := range d.Gone {
		delete(r.workers, id)
	}
	return slices.SortedFunc(maps.Values(r.workers), func(a, b hoist.Candidate) int {
		return strings.Compare(string(a.Worker), string(b.Worker))
	}), true
}
