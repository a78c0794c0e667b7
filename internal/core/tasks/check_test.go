package tasks_test

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// leavingTime is how long a leaving worker may still get new tasks.
const leavingTime = 2 * time.Second

// check asserts what must hold in every scenario, on the history of the workers.
func (c *cell) check(specs []hoist.JobSpec) {
	c.t.Helper()
	c.checkCapacity()
	c.checkOnePlace()
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
			c.t.Errorf("worker %s was given more than it holds", w.ID)
		}
	}
}

// checkOnePlace asserts that each task ran in at most one place at any instant.
func (c *cell) checkOnePlace() {
	c.t.Helper()
	at := make(map[hoist.TaskID]work.Change)
	for _, ch := range c.history.Changes() {
		switch ch.Kind {
		case work.Starts:
			if other, ok := at[ch.Task]; ok {
				c.t.Errorf("task %s started on %s (attempt %x) while it ran on %s (attempt %x)", ch.Task, ch.Worker, ch.Attempt, other.Worker, other.Attempt)
			}
			at[ch.Task] = ch
		case work.Ends:
			delete(at, ch.Task)
		}
	}
}

// checkLeaving asserts that nothing was started on a worker that had been
// leaving for 2 s.
func (c *cell) checkLeaving() {
	c.t.Helper()
	since := make(map[hoist.WorkerID]time.Time)
	for _, ch := range c.history.Changes() {
		switch {
		case ch.Kind == work.Leaves && ch.On:
			since[ch.Worker] = ch.At
		case ch.Kind == work.Leaves:
			delete(since, ch.Worker)
		case ch.Kind == work.Starts && !since[ch.Worker].IsZero() && ch.At.Sub(since[ch.Worker]) > leavingTime:
			c.t.Errorf("task %s was started on %s, which had been leaving for %s", ch.Task, ch.Worker, ch.At.Sub(since[ch.Worker]))
		}
	}
}

// checkGang asserts that an all-at-once job never ran in part for longer than
// the start window.
func (c *cell) checkGang(spec hoist.JobSpec) {
	c.t.Helper()
	running, done := 0, 0
	var partly time.Time
	see := func(now time.Time) {
		isPartly := running > 0 && running+done < spec.Tasks
		if !partly.IsZero() && now.Sub(partly) > jobs.GangStartWindow {
			c.t.Errorf("job %s ran in part for %s", spec.ID, now.Sub(partly))
		}
		if !isPartly {
			partly = time.Time{}
		} else if partly.IsZero() {
			partly = now
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
		see(ch.At)
	}
	see(time.Now())
}

// checkDone asserts that a job ended, and each of its tasks exactly once.
func (c *cell) checkDone(spec hoist.JobSpec) {
	c.t.Helper()
	if s := c.state(spec); s.Phase != hoist.JobDone || s.Done != spec.Tasks {
		c.t.Errorf("job %s is %s with %d of %d tasks done: %s", spec.ID, s.Phase, s.Done, spec.Tasks, s.Reason)
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

// starts counts the starts of a job's tasks from a time on.
func (c *cell) starts(job hoist.JobID, from time.Time) int {
	n := 0
	for _, ch := range c.history.Changes() {
		if ch.Job == job && ch.Kind == work.Starts && !ch.At.Before(from) {
			n++
		}
	}
	return n
}
