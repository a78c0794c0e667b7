// Package delta decides what a host reports about its workers in each heartbeat
// to another host: all of them at first, then only the changes since a heartbeat
// that the other host has certainly applied.
//
// # Usage
//
// The side that sends heartbeats keeps a Sender for each link:
//
//	d := sender.Next(workers)
//	reply, err := peer.Heartbeat(ctx, hoist.Heartbeat{Host: self, Delta: d})
//	sender.RecordResult(err == nil && !reply.Delta.NeedAll)
//
// The other side keeps a Receiver for each host from which it receives heartbeats:
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

// usageSteps is the resolution of the reported usage of a worker: a change of at
// most 1/16 of the capacity is not reported. Usage changes with every report of
// the worker, so without steps every heartbeat would carry every worker.
const usageSteps = 16

// Sender composes the deltas of one link. The zero value is ready to use.
type Sender struct {
	seq     hoist.HeartbeatSeq
	base    hoist.HeartbeatSeq
	applied map[hoist.WorkerID]hoist.Candidate
	sent    map[hoist.WorkerID]hoist.Candidate
}

// Next returns the delta to send, given the present state of the workers. RecordResult
// must be called before the next call of Next.
func (s *Sender) Next(workers []hoist.Candidate) hoist.WorkerDelta {
	s.seq++
	d := hoist.WorkerDelta{Seq: s.seq, Base: s.base}
	s.sent = make(map[hoist.WorkerID]hoist.Candidate, len(workers))
	for _, w := range workers {
		old, isKnown := s.applied[w.Worker]
		if s.base != 0 && isKnown && !hasChanged(old, w) {
			s.sent[w.Worker] = old
			continue
		}
		s.sent[w.Worker] = w
		d.Changed = append(d.Changed, w)
	}
	if s.base == 0 {
		return d
	}
	for id := range s.applied {
		if _, ok := s.sent[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.Sort(d.Removed)
	return d
}

// RecordResult records whether the other side certainly applied the last delta. If
// not, the next delta lists all workers.
func (s *Sender) RecordResult(isApplied bool) {
	if !isApplied {
		s.base, s.applied = 0, nil
		return
	}
	s.base, s.applied = s.seq, s.sent
}

// hasChanged reports whether a worker has changed enough to be reported.
func hasChanged(old, w hoist.Candidate) bool {
	if !slices.Equal(old.UsedByPriority, w.UsedByPriority) || hasUsageChanged(old.Usage, w.Usage, w.Capacity) {
		return true
	}
	old.UsedByPriority, w.UsedByPriority = nil, nil
	old.Usage = w.Usage
	return old.Worker != w.Worker || old.DataCentre != w.DataCentre || old.Rack != w.Rack ||
		old.State != w.State || old.Capacity != w.Capacity || old.Free != w.Free
}

func hasUsageChanged(old, usage, capacity hoist.Resources) bool {
	return exceedsStep(int64(old.CPU), int64(usage.CPU), int64(capacity.CPU)) ||
		exceedsStep(int64(old.Memory), int64(usage.Memory), int64(capacity.Memory)) ||
		exceedsStep(int64(old.Accel), int64(usage.Accel), int64(capacity.Accel))
}

func exceedsStep(old, now, capacity int64) bool {
	difference := max(old-now, now-old)
	return difference*usageSteps > capacity
}

// Receiver combines the deltas of one host into the state of its workers. The zero
// value is ready to use.
type Receiver struct {
	epoch   hoist.Epoch
	seq     hoist.HeartbeatSeq
	workers map[hoist.WorkerID]hoist.Candidate
}

// Apply applies a delta from the host's process with the given epoch and returns
// all workers, sorted by id. It reports false if the delta is based on another
// delta than the last applied one; the sender must then list all workers.
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
	for _, id := range d.Removed {
		delete(r.workers, id)
	}
	return slices.SortedFunc(maps.Values(r.workers), func(a, b hoist.Candidate) int {
		return strings.Compare(string(a.Worker), string(b.Worker))
	}), true
}
