package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// viewAge is the largest age of a worker's last view with which anything is
	// started there.
	viewAge = 2500 * time.Millisecond
	// clockSlowness is by how much the clock of a worker may run slow.
	clockSlowness = 0.02
	// failuresToAvoid is after how many failures in a row, of unlike jobs, a
	// worker is given nothing for a while.
	failuresToAvoid = 2
	// avoidTime is how long that lasts at first; it doubles each time.
	avoidTime = 1500 * time.Millisecond
	maxAvoid  = 12 * time.Second
)

// Worker is a worker and what it holds.
type Worker struct {
	entry    hoist.WorkerEntry
	isListed bool
	// isSeen is set once the worker was looked at by this owner, in this life.
	isSeen bool
	life   hoist.Incarnation
	// viewed is when the last answered look was sent.
	viewed time.Time
	used   hoist.Resources
	tasks  map[*Task]bool
	// strays are attempts that run there and that no task expects, and when a stop
	// was sent last.
	strays map[hoist.TaskRun]time.Time
	// leaseEnd is when everything there has certainly ended unless the lease is
	// renewed.
	leaseEnd time.Time
	ends     endLog
	health   health
}

// endLog tells which ends of a worker may be acknowledged.
type endLog struct {
	// taken is the last end that was taken note of, and acked the last one that
	// is recorded with all before it.
	taken, acked hoist.EndNo
	open         []openEnd
}

// openEnd is an end that is not recorded yet.
type openEnd struct {
	no     hoist.EndNo
	job    *Job
	change uint64
}

// health is how tasks fare on a worker.
type health struct {
	lastFailed hoist.JobID
	failures   int
	avoids     int
	avoidUntil time.Time
	ratio      float64
}

// SetWorkers takes over the platform's registry. A worker that is no longer
// listed is kept while something may run there.
func (b *Scheduler) SetWorkers(entries []hoist.WorkerEntry, now time.Time) {
	if b.listedAt.IsZero() {
		b.listedAt = now
	}
	listed := make(map[hoist.WorkerID]bool, len(entries))
	for _, e := range entries {
		listed[e.Worker] = true
		w := b.worker(e.Worker)
		w.entry = e
		w.isListed = true
	}
	for id, w := range b.workers {
		if !listed[id] {
			w.isListed = false
		}
		if w.isListed && w.entry.IsLeaving {
			b.moveOff(w, now)
		}
		if !w.isListed && len(w.tasks) == 0 && len(w.strays) == 0 {
			delete(b.workers, id)
		}
	}
}

// moveOff stops the tasks of a leaving worker that would not end before it has
// left: those that last, and those that go on elsewhere from their checkpoint.
func (b *Scheduler) moveOff(w *Worker, now time.Time) {
	for t := range w.tasks {
		if t.Phase != Running {
			continue
		}
		left := b.expected(t.Set, w) - now.Sub(t.since)
		if t.Set.Step.IsLongRunning || (t.Set.Step.SavesProgress && left > w.entry.Remaining) {
			b.drop(t, now)
			b.settleGang(t.Set, now)
		}
	}
}

// worker returns the worker of an id, which need not be listed.
func (b *Scheduler) worker(id hoist.WorkerID) *Worker {
	w, ok := b.workers[id]
	if !ok {
		w = &Worker{
			entry: hoist.WorkerEntry{Worker: id},
			tasks: make(map[*Task]bool), strays: make(map[hoist.TaskRun]time.Time),
			leaseEnd: b.lapse,
		}
		w.health.ratio = 1
		b.workers[id] = w
	}
	return w
}

// Entry returns the registry's entry of a worker that is listed or still holds
// tasks.
func (b *Scheduler) Entry(id hoist.WorkerID) (hoist.WorkerEntry, bool) {
	w, ok := b.workers[id]
	if !ok {
		return hoist.WorkerEntry{}, false
	}
	return w.entry, true
}

// WorkerIDs returns the workers that have an address to look at.
func (b *Scheduler) WorkerIDs() []hoist.WorkerID {
	ids := make([]hoist.WorkerID, 0, len(b.workers))
	for id, w := range b.workers {
		if w.entry.Addr != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// Acked returns the last end of a worker that it may forget.
func (b *Scheduler) Acked(id hoist.WorkerID) hoist.EndNo {
	w, ok := b.workers[id]
	if !ok {
		return 0
	}
	return w.ends.advance()
}

// advance moves acked over the ends that are recorded.
func (l *endLog) advance() hoist.EndNo {
	for len(l.open) > 0 && l.open[0].change <= l.open[0].job.recorded {
		l.acked = l.open[0].no
		l.open = l.open[1:]
	}
	if len(l.open) == 0 {
		l.acked = l.taken
	}
	return l.acked
}

// HasUnrecordedEnds reports whether ends of a worker wait for being recorded.
func (b *Scheduler) HasUnrecordedEnds(id hoist.WorkerID) bool {
	w, ok := b.workers[id]
	return ok && w.ends.advance() < w.ends.taken
}

// RecordLease notes that the lease of a worker may have been extended: it is over
// when the worker's clock, which showed clock at the time read, has passed
// lease.
func (b *Scheduler) RecordLease(id hoist.WorkerID, lease, clock hoist.WorkerClock, read time.Time) {
	w, ok := b.workers[id]
	if !ok || lease <= clock {
		return
	}
	left := time.Duration(float64(lease-clock) / (1 - clockSlowness))
	if end := read.Add(left); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// RecordExit takes note that no process listens at the address of a worker. If the
// worker had announced that it leaves, and its entry was removed, it has left
// and runs nothing any more. RecordExit reports whether that is so.
func (b *Scheduler) RecordExit(id hoist.WorkerID, now time.Time) bool {
	w, ok := b.workers[id]
	if !ok || w.isListed || !w.entry.IsLeaving || len(w.tasks) == 0 {
		return false
	}
	b.releaseAll(w, now)
	return true
}

// releaseAll makes the tasks of a worker wait again that runs nothing any more.
// A start that is only being recorded will not be sent.
func (b *Scheduler) releaseAll(w *Worker, now time.Time) {
	for t := range w.tasks {
		if t.Phase == Recording {
			continue
		}
		set := t.Set
		b.release(t, now)
		b.settleGang(set, now)
	}
}

// free is what the worker has left.
func (w *Worker) free() hoist.Resources {
	return w.entry.Capacity.Sub(w.used)
}

// copies is how many tasks of a size fit into what is free, or into the whole
// worker.
func (w *Worker) copies(need hoist.Resources, isWhole bool) int {
	free := w.free()
	if isWhole {
		free = w.entry.Capacity
	}
	n := 1 << 20
	for _, part := range [...]struct{ need, free int64 }{
		{int64(need.CPU), int64(free.CPU)},
		{int64(need.Memory), int64(free.Memory)},
		{int64(need.Accel), int64(free.Accel)},
	} {
		if part.need > 0 {
			n = min(n, int(max(0, part.free)/part.need))
		}
	}
	return n
}

// isUsable reports whether tasks may start on the worker at all.
func (w *Worker) isUsable(now time.Time) bool {
	return w.isListed && w.isSeen && !w.entry.IsLeaving && len(w.strays) == 0 &&
		now.Sub(w.viewed) <= viewAge && !now.Before(w.health.avoidUntil)
}

// isCandidate reports whether a set may use a usable worker, room and tickets
// aside.
func (b *Scheduler) isCandidate(s *StepTasks, w *Worker) bool {
	if w.entry.Service != s.Job.Plan.Queue.Service {
		return false
	}
	return s.Step.Requires == "" || hasLabel(w.entry.Labels, s.Step.Requires)
}

func hasLabel(labels []hoist.Label, want hoist.Label) bool {
	for _, l := range labels {
		if l == want {
			return true
		}
	}
	return false
}

// failed notes a failure on the worker. The tasks of one job fail or succeed
// alike, so a job counts once in a row.
func (h *health) failed(job hoist.JobID, now time.Time) {
	if h.lastFailed == job {
		return
	}
	h.lastFailed = job
	h.failures++
	if h.failures < failuresToAvoid {
		return
	}
	h.failures = failuresToAvoid - 1
	h.avoidUntil = now.Add(min(maxAvoid, avoidTime<<h.avoids))
	h.avoids = min(h.avoids+1, 4)
}

// refused notes that the worker accepts no starts at present.
func (h *health) refused(now time.Time) {
	h.avoidUntil = now.Add(avoidTime / 3)
}

func (h *health) succeeded() {
	h.lastFailed, h.failures, h.avoids = "", 0, 0
}
