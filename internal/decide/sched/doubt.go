package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// doubtMemory is how long a start that may still arrive is remembered for its worker.
	// TCP sends the bytes of a closed connection again for up to 102 s.
	doubtMemory = 2 * time.Minute
	// resolvedDoubtMemory is the same once the worker has answered the stop, for a relay
	// that was paused and passes the start on to a later incarnation.
	resolvedDoubtMemory = 30 * time.Second
	// maxDoubtStops bounds the stops in flight to one worker, which accepts few
	// connections.
	maxDoubtStops = 4
	// doubtCheckInterval is the shortest time between two checks for old doubts.
	doubtCheckInterval = time.Second
)

// doubt is an attempt that counts as ended and whose start the worker has not confirmed. The
// start may still arrive, and a worker with a lease would carry it out. So the worker gets no
// lease until it has answered a stop of the attempt, in each of its incarnations.
type doubt struct {
	since time.Time
	// isResolved is set once the present incarnation of the worker has answered a stop.
	isResolved bool
	stop       stopState
}

// doubts are the doubts about one worker.
type doubts struct {
	byRun map[hoist.TaskRun]*doubt
	// unresolved counts those that are not resolved.
	unresolved int
}

// addDoubt records that a start may still arrive at a worker. isResolved tells that the
// worker has answered a stop of the attempt.
func (sc *Scheduler) addDoubt(w *Worker, run hoist.TaskRun, isResolved bool, now time.Time) {
	if w.doubts.byRun == nil {
		w.doubts.byRun = make(map[hoist.TaskRun]*doubt)
	}
	w.doubts.byRun[run] = &doubt{since: now, isResolved: isResolved}
	if !isResolved {
		w.doubts.unresolved++
	}
	sc.doubted[w.entry.Worker] = w
}

// revive begins the doubts anew after a restart of the worker, which remembers no stop. A
// stop in flight may be answered by the earlier incarnation.
func (ds *doubts) revive() {
	for _, d := range ds.byRun {
		d.isResolved = false
		d.stop = d.stop.afterRestart()
	}
	ds.unresolved = len(ds.byRun)
}

// recordStop records the outcome of the stop of an attempt in doubt. A worker that has
// answered it, or was replaced, does not carry the start out any more.
func (ds *doubts) recordStop(run hoist.TaskRun, isAnswered bool) {
	d, ok := ds.byRun[run]
	if !ok {
		return
	}
	isStale := d.stop.isStale
	d.stop.isInFlight, d.stop.isStale = false, false
	if isAnswered && !isStale && !d.isResolved {
		d.isResolved = true
		ds.unresolved--
	}
}

// expire forgets doubts that are too old.
func (ds *doubts) expire(now time.Time) {
	for run, d := range ds.byRun {
		memory := doubtMemory
		if d.isResolved {
			memory = resolvedDoubtMemory
		}
		if now.Sub(d.since) <= memory {
			continue
		}
		if !d.isResolved {
			ds.unresolved--
		}
		delete(ds.byRun, run)
	}
}

// expireDoubts forgets doubts that are too old.
func (sc *Scheduler) expireDoubts(now time.Time) {
	if now.Sub(sc.doubtsCheckedAt) < doubtCheckInterval {
		return
	}
	sc.doubtsCheckedAt = now
	for id, w := range sc.doubted {
		w.doubts.expire(now)
		if len(w.doubts.byRun) == 0 {
			delete(sc.doubted, id)
		}
	}
}

// doubtStops returns the stops to send to workers that answer again.
func (sc *Scheduler) doubtStops(now time.Time) []Stop {
	var out []Stop
	for id, w := range sc.doubted {
		if w.doubts.unresolved == 0 {
			continue
		}
		for _, run := range w.doubts.dueStops(w.lastPolledAt, now) {
			out = append(out, Stop{id, run})
		}
	}
	return out
}

// dueStops returns the attempts to stop now at a worker whose last answered poll was sent at
// the given time.
func (ds *doubts) dueStops(polledAt, now time.Time) []hoist.TaskRun {
	inFlight := 0
	var due []hoist.TaskRun
	for run, d := range ds.byRun {
		switch {
		case d.stop.isInFlight:
			inFlight++
		case !d.isResolved && polledAt.After(d.since) && now.Sub(d.stop.sentAt) >= stopRetryDelay:
			due = append(due, run)
		}
	}
	slices.SortFunc(due, compareRuns)
	due = due[:max(0, min(len(due), maxDoubtStops-inFlight))]
	for _, run := range due {
		ds.byRun[run].stop.sentAt, ds.byRun[run].stop.isInFlight = now, true
	}
	return due
}

// MayGrantLease reports whether a worker may get a lease: no start may still arrive there
// whose task runs elsewhere by now.
func (sc *Scheduler) MayGrantLease(id hoist.WorkerID) bool {
	w, ok := sc.workers[id]
	return !ok || !w.isDoubted()
}

// isDoubted reports whether a start may still arrive at the worker that it would carry out.
func (w *Worker) isDoubted() bool {
	return w.doubts.unresolved > 0
}
