package plans

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// waitThreshold is how long a long-running task is without a run before it is reported. A
	// worker that answers does so within pollWait and pollTimeout.
	waitThreshold = 3 * time.Second
	// waitCheckInterval is the shortest time between two checks of all tasks.
	waitCheckInterval = time.Second
	// waitLogInterval is the time in which at most maxWaitLines lines about waits are logged,
	// as many tasks are without a run at once when workers or the cell are lost.
	waitLogInterval = 10 * time.Second
	maxWaitLines    = 100
)

// waitLog is what was last reported about long-running tasks without a run.
type waitLog struct {
	checkedAt time.Time
	waits     map[hoist.TaskRef]knownWait
	// lines counts the lines since intervalBegan.
	intervalBegan time.Time
	lines         int
	// leftOut counts the waits that ended without a line 637, or without any, because there
	// were too many lines, since the last line.
	leftOut int
}

// knownWait is a wait that was found in the last check.
type knownWait struct {
	since time.Time
	// reason is what the task waited for in that check, at checkedAt, and logged what the last
	// line 636 told; it is empty if there was none.
	reason, logged hoist.WaitReason
	checkedAt      time.Time
	// times holds for how long the task was found to wait for each reason.
	times map[hoist.WaitReason]time.Duration
}

// count adds the time since the last check to the reason of that check. now is earlier than the
// last check if the task has run again before that.
func (k *knownWait) count(now time.Time) {
	if k.times == nil {
		k.times = make(map[hoist.WaitReason]time.Duration)
	}
	k.times[k.reason] = max(0, k.times[k.reason]+now.Sub(k.checkedAt))
	k.checkedAt = now
}

// timesAttr returns how long a task waited for each reason, the longest time first.
func (k *knownWait) timesAttr() slog.Attr {
	reasons := slices.SortedFunc(maps.Keys(k.times), func(x, y hoist.WaitReason) int {
		return cmp.Or(-cmp.Compare(k.times[x], k.times[y]), cmp.Compare(x, y))
	})
	attrs := make([]slog.Attr, 0, len(reasons))
	for _, r := range reasons {
		attrs = append(attrs, slog.Duration(string(r), k.times[r]))
	}
	return slog.GroupAttrs("waited-for", attrs...)
}

// mayLog reports whether another line may be logged, and counts it.
func (l *waitLog) mayLog(now time.Time) bool {
	if now.Sub(l.intervalBegan) >= waitLogInterval {
		l.intervalBegan, l.lines = now, 0
	}
	if l.lines >= maxWaitLines {
		return false
	}
	l.lines++
	return true
}

// takeLeftOut returns how many waits were left out since the last call.
func (l *waitLog) takeLeftOut() int {
	n := l.leftOut
	l.leftOut = 0
	return n
}

// reportWaits updates the metrics of long-running tasks without a run and logs the waits that
// have begun and ended, once a second. d.mu must be held.
func (d *Driver) reportWaits(ctx context.Context, now time.Time) {
	l := &d.waitLog
	if !d.isReady || now.Sub(l.checkedAt) < waitCheckInterval {
		return
	}
	l.checkedAt = now
	waits := d.scheduler.LongRunningWaits(waitThreshold, now)
	if d.Metrics != nil {
		d.Metrics.SetTaskWaits(sumWaits(waits, now))
	}
	d.logWaits(ctx, waits, now)
}

// sumWaits sums waits up by what the tasks wait for. The waits are sorted, the longest one first.
func sumWaits(waits []sched.Wait, now time.Time) []hoist.TaskWaits {
	var out []hoist.TaskWaits
	index := make(map[hoist.WaitReason]int)
	for _, w := range waits {
		i, ok := index[w.Reason]
		if !ok {
			i = len(out)
			index[w.Reason] = i
			out = append(out, hoist.TaskWaits{Reason: w.Reason, Longest: now.Sub(w.Since)})
		}
		out[i].Tasks++
	}
	return out
}

// logWaits logs the waits that have begun and ended since the last check, and those whose reason
// has changed. A wait for which there is no line left is logged later, unless it has ended by then.
func (d *Driver) logWaits(ctx context.Context, waits []sched.Wait, now time.Time) {
	l := &d.waitLog
	earlier := l.waits
	l.waits = make(map[hoist.TaskRef]knownWait, len(waits))
	for _, w := range waits {
		known, ok := earlier[w.Task]
		if ok && known.since.Equal(w.Since) {
			delete(earlier, w.Task)
		} else {
			// What it waited for before the first check is taken to be the same.
			known = knownWait{since: w.Since, reason: w.Reason, checkedAt: w.Since}
		}
		known.count(now)
		known.reason = w.Reason
		l.waits[w.Task] = known
	}
	for ref, known := range earlier {
		d.logWaitEnd(ctx, ref, known, now)
	}
	for _, w := range waits {
		known := l.waits[w.Task]
		if known.logged == w.Reason || !l.mayLog(now) {
			continue
		}
		known.logged = w.Reason
		l.waits[w.Task] = known
		d.logWait(ctx, w, now)
	}
}

// logWait logs a wait.
func (d *Driver) logWait(ctx context.Context, w sched.Wait, now time.Time) {
	attrs := []any{
		"plan", w.Task.Job, "task", taskName(w.Task), "worker", w.Worker, "why", w.Reason,
		"since", w.Since, "waited", now.Sub(w.Since), "term", d.Claim.Term, "waits", len(d.waitLog.waits), "left-out", d.waitLog.takeLeftOut(),
	}
	if !w.Until.IsZero() {
		attrs = append(attrs, "until", w.Until, "left", w.Until.Sub(now))
	}
	if !w.AnsweredAt.IsZero() {
		attrs = append(attrs, "since-poll", now.Sub(w.AnsweredAt))
	}
	if r := w.Room; r != nil {
		attrs = append(attrs, "listed", r.Listed, "usable", r.Usable, "allowed", r.Allowed, "free-cpu", r.MostFree.CPU, "free-memory", r.MostFree.Memory)
	}
	events.TaskWithoutRun.Log(ctx, d.Log, attrs...)
}

// logWaitEnd logs the end of a wait if the task runs again, rather than that its plan has ended.
func (d *Driver) logWaitEnd(ctx context.Context, ref hoist.TaskRef, known knownWait, now time.Time) {
	l := &d.waitLog
	at, worker, ok := d.scheduler.RanSince(ref, known.since)
	if !ok {
		return
	}
	if known.logged == "" || !l.mayLog(now) {
		l.leftOut++
		return
	}
	known.count(at)
	events.TaskRunsAgain.Log(ctx, d.Log, "plan", ref.Job, "task", taskName(ref), "worker", worker, "why", known.reason,
		"waited", at.Sub(known.since), known.timesAttr(), "term", d.Claim.Term, "waits", len(l.waits), "left-out", l.takeLeftOut())
}
