// Package sched decides which tasks of plans start where. It keeps the plans of
// a cell, the workers with what they hold, and what is known of each attempt.
//
// # Usage
//
//	b := sched.NewScheduler(term, lapse)
//	b.SetWorkers(entries, now)
//	b.Add(plan, now)
//	d := b.Pass(now)             // chosen starts are not sent yet
//	// write the states of b.Unrecorded(part, isAll, limit), then
//	orders := b.Recorded(job, change, version, now) // starts to send
//	b.RecordStart(run, clock, err, now)
//	b.RecordReport(worker, report, asked, now)
//	b.Tick(now)
//
// # Certainty
//
// A task is in at most one place. A start is recorded before it is sent, so that
// a later owner of the cell knows every worker on which an attempt may run. An
// attempt without an answer keeps its task and its capacity until it was
// stopped, until the worker was seen without it after the stop, until the
// worker started a new life, or until its lease has run out on a slow clock.
// An end may be acknowledged to the worker only after it was recorded.
//
// The type is not safe for concurrent use and reads no clock.
package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	// Waiting tasks run nowhere and may be placed.
	Waiting Phase = iota
	// Recording tasks have a worker; the start is not recorded yet.
	Recording
	// Sending tasks have a start on its way.
	Sending
	// Inherited tasks were started by an earlier owner, as far as is recorded.
	Inherited
	Running
	// Stopping tasks must be ended; it is not certain that they run.
	Stopping
	Done
)

// attemptBits is the part of an attempt number that counts within one term, so
// that the attempts of a later owner are always higher.
const attemptBits = 20

// Task is one task of a plan.
type Task struct {
	Set     *StepTasks
	Index   int
	Phase   Phase
	Attempt hoist.AttemptNo
	Worker  *Worker
	Saved   hoist.Checkpoint
	// Failed lists the attempts that ended as failed.
	Failed []hoist.AttemptNo

	since time.Time
	// notBefore delays the next start after a failure.
	notBefore time.Time
	// change is the change of the job that recorded the start.
	change uint64
	ticket ticket
	stop   stopState
	figure float64
	// isInherited is set for an attempt that an earlier owner started.
	isInherited bool
	// failedOn are the workers that the task failed on.
	failedOn []hoist.WorkerID
	// isSuperseded is set for an attempt that must be stopped because an earlier
	// one turned out to have succeeded. It stands for itself, not for its task.
	isSuperseded bool
}

// stopState is what is known of the stop of an attempt.
type stopState struct {
	sent     time.Time
	isBusy   bool
	answered time.Time
}

// Ref returns the name of the task.
func (t *Task) Ref() hoist.TaskRef {
	return hoist.TaskRef{StepRef: t.Set.Ref(), Index: t.Index}
}

// Run returns the name of the task's current attempt.
func (t *Task) Run() hoist.TaskRun {
	return hoist.TaskRun{Task: t.Ref(), Attempt: t.Attempt}
}

// IsPlaced reports whether the task holds capacity on a worker.
func (t *Task) IsPlaced() bool {
	return t.Phase != Waiting && t.Phase != Done
}

// StepTasks is the tasks of one step in one occurrence of a plan.
type StepTasks struct {
	Job        *Job
	Occurrence hoist.Occurrence
	No         hoist.StepNo
	Step       *hoist.Step
	Tasks      []*Task
	left       int
	waiting    int
	// saved is the newest checkpoint of a gang.
	saved  hoist.Checkpoint
	advice adviceState
}

// Ref returns the name of the set.
func (s *StepTasks) Ref() hoist.StepRef {
	return hoist.StepRef{Job: s.Job.Plan.ID, Occurrence: s.Occurrence, Step: s.No}
}

// IsDone reports whether all tasks have succeeded.
func (s *StepTasks) IsDone() bool {
	return s.left == 0
}

// failures counts the failed attempts at a task, or at a gang as a whole.
func (s *StepTasks) failures(t *Task) int {
	if !s.Step.IsGang {
		return len(t.Failed)
	}
	attempts := make(map[hoist.AttemptNo]bool)
	for _, member := range s.Tasks {
		for _, a := range member.Failed {
			attempts[a] = true
		}
	}
	return len(attempts)
}

// Job is an accepted plan and what became of it.
type Job struct {
	Plan  hoist.Plan
	Phase hoist.PlanPhase
	// Version is the version of the job's state row.
	Version hoist.RowVersion
	// Ended is when the job reached its last phase.
	Ended time.Time

	sets map[setKey]*StepTasks
	// next is the first occurrence that has not begun, and open the number of
	// occurrences that have begun and not ended.
	next     hoist.Occurrence
	open     map[hoist.Occurrence]int
	placed   int
	attempts hoist.AttemptNo
	due      time.Time
	gaveUp   time.Time
	// change counts the changes of the state; those up to recorded are in the
	// store.
	change, recorded uint64
	// urgent is the last change that something waits for: starts, and the end of
	// a step. Ends stay listed at their workers until they are recorded.
	urgent uint64
	// changed is the book's set of jobs whose state is not recorded.
	changed map[hoist.JobID]*Job
}

type setKey struct {
	occurrence hoist.Occurrence
	step       hoist.StepNo
}

// touch notes that the state of the job differs from what is recorded.
func (j *Job) touch() {
	j.change++
	j.changed[j.Plan.ID] = j
}

// touchNow notes a change that must be recorded at once.
func (j *Job) touchNow() {
	j.touch()
	j.urgent = j.change
}

// occurrences is how often the steps run in all.
func (j *Job) occurrences() hoist.Occurrence {
	return hoist.Occurrence(max(1, j.Plan.Occurrences))
}

// IsClosed reports whether the job has ended and nothing of it runs.
func (j *Job) IsClosed() bool {
	return j.Phase.IsFinal() && j.placed == 0
}

// Scheduler holds the plans and workers of one cell.
type Scheduler struct {
	term hoist.Term
	jobs map[hoist.JobID]*Job
	// changed are the jobs whose state is not recorded.
	changed map[hoist.JobID]*Job
	workers map[hoist.WorkerID]*Worker
	// superseded are attempts to stop at tasks that are done.
	superseded map[hoist.TaskRun]*Task
	speeds     speeds
	// began is when this owner began; inherited attempts on workers that stay
	// unreachable count as lapsed at the time lapse.
	lapse time.Time
	// RemoteFactor is how much slower a task is away from its data.
	RemoteFactor float64
	// listedAt is when the registry was taken over first, and isOpen is set once
	// most of its workers were seen.
	listedAt time.Time
	isOpen   bool
	// open, mostFree and refused hold for one pass: the usable workers, the most
	// that one of them has free, and the shortest question that no host was free
	// for.
	open     []*Worker
	mostFree hoist.Resources
	refused  time.Duration
}

// NewScheduler returns an empty book of the owner in a term. The leases that earlier
// owners granted have all run out at lapse.
func NewScheduler(term hoist.Term, lapse time.Time) *Scheduler {
	return &Scheduler{
		term: term, lapse: lapse, RemoteFactor: 2,
		jobs:    make(map[hoist.JobID]*Job),
		changed: make(map[hoist.JobID]*Job),
		workers: make(map[hoist.WorkerID]*Worker),

		superseded: make(map[hoist.TaskRun]*Task),
		speeds:     newSpeeds(),
	}
}

// Job returns a job that has not been forgotten.
func (b *Scheduler) Job(id hoist.JobID) (*Job, bool) {
	j, ok := b.jobs[id]
	return j, ok
}

// Jobs returns the number of jobs.
func (b *Scheduler) Jobs() int {
	return len(b.jobs)
}

// Waiting returns, for each queue, how many accepted jobs have not begun.
func (b *Scheduler) Waiting() map[hoist.QueueName]int {
	counts := make(map[hoist.QueueName]int)
	for _, j := range b.jobs {
		if j.Phase == hoist.PlanQueued {
			counts[j.Plan.Queue.Name]++
		}
	}
	return counts
}

// Add takes over an accepted plan that has not begun, whose state row has the
// given version. A plan that is known stays as it is.
func (b *Scheduler) Add(p hoist.Plan, version hoist.RowVersion, now time.Time) *Job {
	if j, ok := b.jobs[p.ID]; ok {
		return j
	}
	j := &Job{
		Plan: p, Phase: hoist.PlanQueued, Version: version,
		sets: make(map[setKey]*StepTasks),
		open: make(map[hoist.Occurrence]int), changed: b.changed,
	}
	chain := longestChain(p.Steps)
	j.due = p.Accepted.Add(p.Queue.Latency + time.Duration(float64(chain)*p.Queue.Stretch))
	j.gaveUp = p.Accepted.Add(3 * j.due.Sub(p.Accepted))
	b.jobs[p.ID] = j
	b.beginOccurrences(j, now)
	return j
}

// SetQueue puts the present parameters of a queue in force for its jobs.
func (b *Scheduler) SetQueue(q hoist.Queue) {
	for _, j := range b.jobs {
		if j.Plan.Queue.Name == q.Name {
			j.Plan.Queue = q
		}
	}
}

// longestChain is the longest declared time of steps that follow each other.
func longestChain(steps []hoist.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// beginOccurrences makes the sets of the occurrences that are due.
func (b *Scheduler) beginOccurrences(j *Job, now time.Time) {
	for j.next < j.occurrences() && !j.Phase.IsFinal() && !now.Before(j.dueAt(j.next)) {
		for no := range j.Plan.Steps {
			j.addSet(j.next, hoist.StepNo(no))
		}
		j.next++
		j.touch()
	}
}

// dueAt is when an occurrence may begin.
func (j *Job) dueAt(k hoist.Occurrence) time.Time {
	if j.Plan.Occurrences == 0 {
		return j.Plan.Accepted.Add(-time.Hour)
	}
	return j.Plan.Start.Add(time.Duration(k) * j.Plan.Interval)
}

func (j *Job) addSet(k hoist.Occurrence, no hoist.StepNo) *StepTasks {
	step := &j.Plan.Steps[no]
	s := &StepTasks{Job: j, Occurrence: k, No: no, Step: step, left: step.Count, waiting: step.Count, advice: newAdviceState()}
	s.Tasks = make([]*Task, step.Count)
	for i := range s.Tasks {
		s.Tasks[i] = &Task{Set: s, Index: i}
	}
	j.sets[setKey{k, no}] = s
	if step.Count > 0 {
		j.open[k]++
	}
	return s
}

// Cancel ends a job: nothing of it starts any more and what runs is stopped. It
// reports whether the job was not over yet.
func (b *Scheduler) Cancel(id hoist.JobID, now time.Time) bool {
	j, ok := b.jobs[id]
	if !ok || j.Phase.IsFinal() {
		return false
	}
	b.finish(j, hoist.PlanCancelled, now)
	return true
}

// finish puts a job into its last phase.
func (b *Scheduler) finish(j *Job, phase hoist.PlanPhase, now time.Time) {
	j.Phase = phase
	j.Ended = now
	j.touchNow()
	for _, s := range j.sets {
		for _, t := range s.Tasks {
			b.drop(t, now)
		}
	}
}

// drop ends the attempt of a task, wherever it may be.
func (b *Scheduler) drop(t *Task, now time.Time) {
	switch t.Phase {
	case Recording:
		b.release(t, now)
	case Running, Inherited, Sending:
		t.Phase = Stopping
		t.stop = stopState{}
	default:
	}
}

// task finds a task by its name.
func (b *Scheduler) task(ref hoist.TaskRef) (*Task, bool) {
	j, ok := b.jobs[ref.Job]
	if !ok {
		return nil, false
	}
	s, ok := j.sets[setKey{ref.Occurrence, ref.Step}]
	if !ok || ref.Index < 0 || ref.Index >= len(s.Tasks) {
		return nil, false
	}
	return s.Tasks[ref.Index], true
}

// place reserves a worker for an attempt at a waiting task.
func (b *Scheduler) place(t *Task, w *Worker, attempt hoist.AttemptNo, phase Phase, now time.Time) {
	t.Phase, t.Worker, t.Attempt, t.since = phase, w, attempt, now
	t.isInherited = phase == Inherited
	t.stop = stopState{}
	t.Set.waiting--
	t.Set.Job.placed++
	w.tasks[t] = true
	w.used = w.used.Add(demand(t.Set.Step))
}

// release makes a placed task wait again: no attempt at it runs.
func (b *Scheduler) release(t *Task, now time.Time) {
	b.free(t)
	if t.isSuperseded {
		delete(b.superseded, t.Run())
		t.Set.Job.touch()
		return
	}
	t.Phase = Waiting
	t.since = now
	t.Set.waiting++
	t.Set.Job.touch()
}

// free gives back what a placed task holds on its worker.
func (b *Scheduler) free(t *Task) {
	if t.Worker != nil {
		delete(t.Worker.tasks, t)
		t.Worker.used = t.Worker.used.Sub(demand(t.Set.Step))
	}
	t.Worker = nil
	t.Set.Job.placed--
}

// demand is what a task counts against the capacity of a worker.
func demand(s *hoist.Step) hoist.Resources {
	need := s.Need
	if s.IsBestEffort {
		need.CPU = 0
	}
	return need
}

// newAttempt numbers the next attempt of a job.
func (b *Scheduler) newAttempt(j *Job) hoist.AttemptNo {
	j.attempts++
	return hoist.AttemptNo(b.term-1)<<attemptBits + j.attempts
}

// supersede parts a task from its present attempt, which may run on and holds its
// capacity until it has certainly ended.
func (b *Scheduler) supersede(t *Task) {
	old := &Task{
		Set: t.Set, Index: t.Index, Phase: Stopping, Attempt: t.Attempt, Worker: t.Worker, since: t.since, isSuperseded: true,
	}
	delete(t.Worker.tasks, t)
	t.Worker.tasks[old] = true
	t.Worker = nil
	b.superseded[old.Run()] = old
}

// complete records the success of a task in an attempt.
func (b *Scheduler) complete(t *Task, attempt hoist.AttemptNo, now time.Time) {
	if t.Phase == Done {
		return
	}
	switch {
	case !t.IsPlaced():
		t.Set.waiting--
	case t.Attempt == attempt || t.Phase == Recording:
		b.free(t)
	default:
		b.supersede(t)
	}
	t.Phase = Done
	s, j := t.Set, t.Set.Job
	s.left--
	j.touch()
	if s.left > 0 {
		return
	}
	j.touchNow()
	j.open[s.Occurrence]--
	if j.open[s.Occurrence] == 0 {
		b.endOccurrence(j, s.Occurrence, now)
	}
}

// endOccurrence forgets the tasks of an occurrence that succeeded as a whole.
func (b *Scheduler) endOccurrence(j *Job, k hoist.Occurrence, now time.Time) {
	delete(j.open, k)
	if j.occurrences() > 1 {
		for no := range j.Plan.Steps {
			delete(j.sets, setKey{k, hoist.StepNo(no)})
		}
	}
	if len(j.open) == 0 && j.next == j.occurrences() && !j.Phase.IsFinal() {
		b.finish(j, hoist.PlanDone, now)
	}
}

// Forget drops a job whose last state is recorded and of which nothing runs.
func (b *Scheduler) Forget(id hoist.JobID) {
	delete(b.jobs, id)
	delete(b.changed, id)
}
