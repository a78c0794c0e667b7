package tasks_test

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// maxLeavingDelay is how long a leaving worker may still get new tasks.
const maxLeavingDelay = 2 * time.Second

// checkInvariants asserts what must hold in every scenario, from the history of
// the workers.
func (c *cell) checkInvariants(specs []hoist.JobSpec) {
	c.t.Helper()
	c.checkCapacity()
	c.checkSingleRun()
	c.checkLeaving()
	for _, s := range specs {
		if s.Kind == hoist.GangJob {
			c.checkGang(s)
		}
	}
}

// checkCapacity asserts that no worker was overcommitted at any instant.
func (c *cell) checkCapacity() {
	c.t.Helper()
	for _, w := range c.workers {
		if w.IsOvercommitted() {
			c.t.Errorf("worker %s was overcommitted", w.ID)
		}
	}
}

// checkSingleRun asserts that at most one attempt of each task ran at any instant.
func (c *cell) checkSingleRun() {
	c.t.Helper()
	runningOn := make(map[hoist.TaskID]work.Change)
	for _, ch := range c.history.Changes() {
		switch ch.Kind {
		case work.Starts:
			if other, ok := runningOn[ch.Task]; ok {
				c.t.Errorf("task %s started on %s (attempt %x) while it ran on %s (attempt %x)", ch.Task, ch.Worker, ch.Attempt, other.Worker, other.Attempt)
			}
			runningOn[ch.Task] = ch
		case work.Ends:
			delete(runningOn, ch.Task)
		}
	}
}

// checkLeaving asserts that no task was started on a worker that had been leaving
// for longer than maxLeavingDelay.
func (c *cell) checkLeaving() {
	c.t.Helper()
	since := make(map[hoist.WorkerID]time.Time)
	for _, ch := range c.history.Changes() {
		switch {
		case ch.Kind == work.Leaves && ch.IsLeaving:
			since[ch.Worker] = ch.At
		case ch.Kind == work.Leaves:
			delete(since, ch.Worker)
		case ch.Kind == work.Starts && !since[ch.Worker].IsZero() && ch.At.Sub(since[ch.Worker]) > maxLeavingDelay:
			c.t.Errorf("task %s was started on %s, which had been leaving for %s", ch.Task, ch.Worker, ch.At.Sub(since[ch.Worker]))
		}
	}
}

// checkGang asserts that a gang never ran in part for longer than
// jobs.GangStartWindow.
func (c *cell) checkGang(spec hoist.JobSpec) {
	c.t.Helper()
	running, done := 0, 0
	var partialSince time.Time
	checkPartial := func(now time.Time) {
		isPartial := running > 0 && running+done < spec.Tasks
		if !partialSince.IsZero() && now.Sub(partialSince) > jobs.GangStartWindow {
			c.t.Errorf("gang %s ran in part for %s", spec.ID, now.Sub(partialSince))
		}
		if !isPartial {
			partialSince = time.Time{}
		} else if partialSince.IsZero() {
			partialSince = now
		}
	}
	for _, ch := range c.history.Changes() {
		if ch.Job != spec.ID {
			continue
		}
		if ch.Kind == work.Starts {
			running++
		} else {
			running--
			if ch.State == hoist.TaskSucceeded {
				done++
			}
		}
		checkPartial(ch.At)
	}
	checkPartial(time.Now())
}

// checkDone asserts that a job is done and that each of its tasks succeeded exactly
// once.
func (c *cell) checkDone(spec hoist.JobSpec) {
	c.t.Helper()
	if s := c.jobState(spec); s.Phase != hoist.JobDone || s.Done != spec.Tasks {
		c.t.Errorf("job %s is in phase %s with %d of %d tasks done, reason for waiting: %q", spec.ID, s.Phase, s.Done, spec.Tasks, s.Reason)
	}
	succeeded := make(map[hoist.TaskID]int)
	for _, ch := range c.history.Changes() {
		if ch.Job == spec.ID && ch.State == hoist.TaskSucceeded {
			succeeded[ch.Task]++
		}
	}
	for task, n := range succeeded {
		if n != 1 {
			c.t.Errorf("task %s succeeded %d times", task, n)
		}
	}
	if len(succeeded) != spec.Tasks {
		c.t.Errorf("%d of %d tasks of job %s succeeded", len(succeeded), spec.Tasks, spec.ID)
	}
}

// countStarts returns the number of starts of a job's tasks since a point in time.
func (c *cell) countStarts(job hoist.JobID, from time.Time) int {
	n := 0
	for _, ch := range c.history.Changes() {
		if ch.Job == job && ch.Kind == work.Starts && !ch.At.Before(from) {
			n++
		}
	}
	return n
}
