package sched

import (
	"maps"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// OpenLimits bound the tasks that a scheduler holds at a time. Occurrences that
// are due wait until they fit, so that one plan with many of them can neither
// exhaust the memory of an owner nor delay the plans of others.
type OpenLimits struct {
	// PlanOccurrences and PlanTasks bound the occurrences of one plan that have
	// begun and not ended, and their tasks. One occurrence may always begin.
	PlanOccurrences int
	PlanTasks       int
	// Tasks bounds the tasks of all plans. The last tenth is kept for plans with long-running
	// tasks.
	Tasks int
}

// DefaultOpenLimits are the default limits. A task takes about 400 bytes.
var DefaultOpenLimits = OpenLimits{PlanOccurrences: 32, PlanTasks: 4000, Tasks: 100_000}

// maxBegunPerTick bounds the tasks that are created between two calls of Tick, which
// keeps the time for which the scheduler is busy short.
const maxBegunPerTick = 4000

// openTasks counts the tasks that a scheduler holds.
type openTasks struct {
	tasks int
	// beginnable is how many more tasks may be created before the next Tick.
	beginnable int
	// isFull is set if the limit on all tasks kept an occurrence from beginning.
	isFull bool
	// delayed counts the occurrences that were due at the last Tick and wait.
	delayed int
}

// Backlog returns how much the scheduler held at the last Tick, and reserved in the last pass.
func (sc *Scheduler) Backlog() hoist.PlanBacklog {
	out := hoist.PlanBacklog{OpenTasks: sc.open.tasks, DelayedOccurrences: sc.open.delayed, Reservations: len(sc.reserved)}
	for t := range sc.reserved {
		out.ReservedCPU += demand(t.StepTasks.Step).CPU
	}
	return out
}

// beginDue begins the occurrences that are due and fit. Once the limit on all tasks
// has been reached, plans begin in scheduling order.
func (sc *Scheduler) beginDue(now time.Time) {
	sc.open.beginnable, sc.open.delayed = maxBegunPerTick, 0
	jobs := maps.Values(sc.jobs)
	if sc.open.isFull {
		within, beyond := sc.inOrder(now, func(*Job) bool { return true })
		jobs = slices.Values(append(within, beyond...))
	}
	sc.open.isFull = false
	for j := range jobs {
		sc.beginOccurrences(j, now)
		sc.open.delayed += j.overdueOccurrences(now)
	}
}

// beginOccurrences creates the tasks of the occurrences of a job that are due and
// fit.
func (sc *Scheduler) beginOccurrences(j *Job, now time.Time) {
	sc.Handling = j.Plan.ID
	hasBegun := false
	for j.isOccurrenceDue(now) && sc.fitsOccurrence(j) {
		for no := range j.Plan.Steps {
			sc.addStepTasks(j, j.nextOccurrence, hoist.StepNo(no))
		}
		j.nextOccurrence++
		j.markChanged()
		hasBegun = true
	}
	if hasBegun {
		j.updateDue()
	}
}

// isOccurrenceDue reports whether the next occurrence may begin by its time.
func (j *Job) isOccurrenceDue(now time.Time) bool {
	return j.nextOccurrence < j.numOccurrences() && !j.Phase.IsFinal() && !now.Before(j.occurrenceStart(j.nextOccurrence))
}

// fitsOccurrence reports whether the limits allow another occurrence of the job to
// begin.
func (sc *Scheduler) fitsOccurrence(j *Job) bool {
	tasks, open := j.tasksPerOccurrence(), len(j.unfinishedSteps)
	if sc.open.beginnable <= 0 {
		return false
	}
	if sc.open.tasks > 0 && sc.open.tasks+tasks > sc.taskLimit(j) {
		sc.open.isFull = true
		return false
	}
	return open == 0 || (open < sc.Open.PlanOccurrences && (open+1)*tasks <= sc.Open.PlanTasks)
}

// longRunningShareDivisor divides the limit of open tasks to get the part that is kept for plans
// with long-running tasks.
const longRunningShareDivisor = 10

// taskLimit returns how many tasks of all plans there may be with those of a job. Plans whose
// tasks find no worker do not end, and must not keep long-running tasks from being created.
func (sc *Scheduler) taskLimit(j *Job) int {
	if j.hasLongRunning {
		return sc.Open.Tasks
	}
	return sc.Open.Tasks - sc.Open.Tasks/longRunningShareDivisor
}

// overdueOccurrences returns how many occurrences are due and have not begun.
func (j *Job) overdueOccurrences(now time.Time) int {
	if !j.isOccurrenceDue(now) {
		return 0
	}
	last := j.numOccurrences() - 1
	if j.Plan.Interval > 0 {
		last = min(last, hoist.Occurrence(now.Sub(j.Plan.Start)/j.Plan.Interval))
	}
	return int(last-j.nextOccurrence) + 1
}

func (j *Job) tasksPerOccurrence() int {
	n := 0
	for i := range j.Plan.Steps {
		n += j.Plan.Steps[i].Count
	}
	return n
}

// numOpenTasks returns the number of tasks that the job holds.
func (j *Job) numOpenTasks() int {
	n := 0
	for _, s := range j.steps {
		n += len(s.Tasks)
	}
	return n
}

// updateDue sets the time of the objective to that of the oldest occurrence that is
// not done.
func (j *Job) updateDue() {
	since := j.Plan.Accepted
	if j.Plan.Occurrences > 0 {
		oldest := j.nextOccurrence
		for k := range j.unfinishedSteps {
			oldest = min(oldest, k)
		}
		since = j.occurrenceStart(oldest)
	}
	j.due = since.Add(j.objective)
	j.deprioritiseAt = j.due.Add(2 * min(j.objective, maxDuration/2))
}

// numOccurrences returns how many times the steps run in total.
func (j *Job) numOccurrences() hoist.Occurrence {
	return hoist.Occurrence(max(1, j.Plan.Occurrences))
}

// occurrenceStart returns when an occurrence may begin. A plan without
// occurrences may begin at once.
func (j *Job) occurrenceStart(k hoist.Occurrence) time.Time {
	if j.Plan.Occurrences == 0 {
		return j.Plan.Accepted.Add(-time.Hour)
	}
	return j.Plan.Start.Add(time.Duration(k) * j.Plan.Interval)
}

func (sc *Scheduler) addStepTasks(j *Job, k hoist.Occurrence, no hoist.StepNo) *StepTasks {
	step := &j.Plan.Steps[no]
	s := &StepTasks{Job: j, Occurrence: k, No: no, Step: step, unfinished: step.Count, waiting: step.Count, advice: newAdviceState()}
	s.Tasks = make([]*Task, step.Count)
	for i := range s.Tasks {
		s.Tasks[i] = &Task{StepTasks: s, Index: i}
	}
	j.steps[stepKey{k, no}] = s
	sc.open.tasks += step.Count
	sc.open.beginnable -= step.Count
	if step.Count > 0 {
		j.unfinishedSteps[k]++
	}
	return s
}

// endOccurrence removes the tasks of an occurrence whose steps are all done,
// and ends the job after the last occurrence.
func (sc *Scheduler) endOccurrence(j *Job, k hoist.Occurrence, now time.Time) {
	delete(j.unfinishedSteps, k)
	if j.numOccurrences() > 1 {
		for no := range j.Plan.Steps {
			delete(j.steps, stepKey{k, hoist.StepNo(no)})
		}
		sc.open.tasks -= j.tasksPerOccurrence()
		j.updateDue()
	}
	if len(j.unfinishedSteps) == 0 && j.nextOccurrence == j.numOccurrences() && !j.Phase.IsFinal() {
		sc.finish(j, hoist.PlanDone, now)
	}
}
