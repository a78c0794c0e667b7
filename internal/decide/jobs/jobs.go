// Package jobs keeps the state of the jobs of the teams that a host owns:
// which tasks wait, which run where, what must be stopped, and what is due
// next.
//
// # Usage
//
//	b := jobs.NewTracker()
//	b.Add(spec, term, now)
//	for _, j := range b.Due(now) {
//		for _, t := range b.Ready(j, now) {
//			// choose a worker for t, then
//			attempt := j.NewAttempt()
//			b.Begin(t, worker, attempt, now)
//			// send the start, then one of
//			b.Confirm(t.ID, attempt, now)
//			b.NotStarted(t.ID, attempt, now)
//		}
//	}
//	b.Ended(end, now)
//	b.Tick(now)
//
// # Phases of a task
//
// A task waits, starts (a start was sent, its outcome is open), runs, stops (a
// stop is due and not confirmed) or is done. Only a waiting task may be placed,
// so a task is in at most one place. A task that stops waits again when the end
// of its attempt is certain.
//
// The type is not safe for concurrent use and reads no clock.
package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	Starting
	Running
	Stopping
	Done
)

// attemptBits is the part of an attempt number that counts within one term of
// the job's owner. Attempts of a later term are thus always higher, and 16
// million attempts of a job fit in one term.
const attemptBits = 24

// Task is one task of a job.
type Task struct {
	ID      hoist.TaskID
	Job     *Job
	No      int
	Phase   Phase
	Attempt hoist.AttemptNo
	Worker  hoist.WorkerID
	// Since is when the phase began.
	Since time.Time
	// NotBefore delays the next start after a failure.
	NotBefore time.Time
	failures  int
	// isOpen is set while the outcome of a start is not known.
	isOpen bool
	// isRetired is set for a replica that is stopped for good.
	isRetired bool
}

// IsPlaced reports whether the task occupies a worker, or may.
func (t *Task) IsPlaced() bool {
	return t.Phase == Starting || t.Phase == Running || t.Phase == Stopping
}

// Job is one accepted job.
type Job struct {
	Spec     hoist.JobSpec
	Accepted time.Time
	// Version is the version of the job's row in the table, 0 before it is
	// written. Nothing is placed before.
	Version hoist.RowVersion
	Tasks   []*Task
	// Reason tells why the job waits, for operators.
	Reason string
	// IsCancelled lets no task start.
	IsCancelled bool
	// IsCancelWritten is set when the table records the cancellation. Until
	// then running tasks are not stopped, as it may be taken back.
	IsCancelWritten bool
	// IsWhole is set when the owners of the workers know that all tasks of an
	// all-at-once job run.
	IsWhole bool
	// IsLate is set when the deadline was or will be missed.
	IsLate bool
	// Ended is when the job ended.
	Ended time.Time

	term        hoist.Term
	lastAttempt hoist.AttemptNo
	counts      [Done + 1]int
	open        int
	firstStart  time.Time
	gangSince   time.Time
}

// Count returns the number of tasks in a phase.
func (j *Job) Count(p Phase) int {
	return j.counts[p]
}

// Open returns the number of starts whose outcome is not known.
func (j *Job) Open() int {
	return j.open
}

// IsEnded reports whether the job is over: all tasks are done, or it was
// cancelled and nothing runs.
func (j *Job) IsEnded() bool {
	placed := j.counts[Starting] + j.counts[Running] + j.counts[Stopping]
	if placed > 0 {
		return false
	}
	return j.IsCancelled || j.counts[Done] == len(j.Tasks)
}

// PhaseName is the phase of the job as operators see it.
func (j *Job) PhaseName() hoist.JobPhase {
	switch {
	case j.IsCancelled && j.IsEnded():
		return hoist.JobCancelled
	case j.IsCancelled:
		return hoist.JobCancelling
	case j.IsEnded():
		return hoist.JobDone
	case j.counts[Running] > 0:
		return hoist.JobRunning
	default:
		return hoist.JobWaiting
	}
}

// Tracker holds the jobs of one host.
type Tracker struct {
	// Estimate returns the learned run time of one task of a job; nil means
	// the declared one.
	Estimate func(hoist.JobSpec) time.Duration
	// Freed is called when an attempt is over; nil calls nothing.
	Freed func(hoist.TaskAttempt)

	jobs     map[hoist.JobID]*Job
	tasks    map[hoist.TaskID]*Task
	onWorker map[hoist.WorkerID]map[hoist.TaskID]*Task
	stopping map[hoist.TaskID]*Task
	// active are the jobs that are not ended.
	active map[hoist.JobID]*Job
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{
		jobs:     make(map[hoist.JobID]*Job),
		tasks:    make(map[hoist.TaskID]*Task),
		onWorker: make(map[hoist.WorkerID]map[hoist.TaskID]*Task),
		stopping: make(map[hoist.TaskID]*Task),
		active:   make(map[hoist.JobID]*Job),
	}
}

const (
	// maxTasks bounds the memory of one job; larger work is submitted as
	// several jobs.
	maxTasks = 100_000
	// maxName is the largest length of an id, in bytes. The messages between
	// hosts take no longer ones.
	maxName = 100
)

// CheckSpec returns hoist.ErrInvalid with the reason if a job can never be
// accepted.
func CheckSpec(s hoist.JobSpec) error {
	var reason string
	switch {
	case s.ID == "":
		reason = "has no id"
	case s.Team == "":
		reason = "has no team"
	case len(s.ID) > maxName || len(s.Team) > maxName:
		reason = fmt.Sprintf("has an id or team of more than %d bytes", maxName)
	case !s.Kind.IsValid():
		reason = fmt.Sprintf("has unknown kind %q", s.Kind)
	case s.Tasks < 1 || s.Tasks > maxTasks:
		reason = fmt.Sprintf("has %d tasks, expected 1 to %d", s.Tasks, maxTasks)
	case s.RunTime < 0:
		reason = fmt.Sprintf("has a run time of %s", s.RunTime)
	case !s.Need.IsValid():
		reason = fmt.Sprintf("needs %v", s.Need)
	default:
		return nil
	}
	return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("job %q %s", s.ID, reason))
}

// Add accepts a job in a term of its owner. Adding a job of the same id again
// has no effect. It returns the job.
func (b *Tracker) Add(s hoist.JobSpec, term hoist.Term, accepted time.Time) *Job {
	if j, ok := b.jobs[s.ID]; ok {
		return j
	}
	j := &Job{Spec: s, Accepted: accepted, term: term}
	b.jobs[s.ID] = j
	b.active[s.ID] = j
	for i := range s.Tasks {
		b.addTask(j, i)
	}
	return j
}

func (b *Tracker) addTask(j *Job, no int) *Task {
	t := &Task{ID: taskID(j, no), Job: j, No: no}
	j.Tasks = append(j.Tasks, t)
	j.counts[Waiting]++
	b.tasks[t.ID] = t
	return t
}

// Remove drops a job.
func (b *Tracker) Remove(id hoist.JobID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for _, t := range j.Tasks {
		b.forget(t)
	}
	delete(b.jobs, id)
	delete(b.active, id)
}

func (b *Tracker) forget(t *Task) {
	b.unplace(t)
	delete(b.stopping, t.ID)
	delete(b.tasks, t.ID)
}

// Get returns the job of the given id.
func (b *Tracker) Get(id hoist.JobID) (*Job, bool) {
	j, ok := b.jobs[id]
	return j, ok
}

// Task returns the task of the given id.
func (b *Tracker) Task(id hoist.TaskID) (*Task, bool) {
	t, ok := b.tasks[id]
	return t, ok
}

// All returns all jobs in no order.
func (b *Tracker) All() []*Job {
	out := make([]*Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		out = append(out, j)
	}
	return out
}

// OnWorker returns the tasks that are placed on a worker.
func (b *Tracker) OnWorker(id hoist.WorkerID) []*Task {
	out := make([]*Task, 0, len(b.onWorker[id]))
	for _, t := range b.onWorker[id] {
		out = append(out, t)
	}
	return out
}

// Workers returns the workers that tasks are placed on.
func (b *Tracker) Workers() []hoist.WorkerID {
	out := make([]hoist.WorkerID, 0, len(b.onWorker))
	for id := range b.onWorker {
		out = append(out, id)
	}
	return out
}

// setPhase moves a task between phases and keeps the counts.
func (b *Tracker) setPhase(t *Task, p Phase, now time.Time) {
	j := t.Job
	j.counts[t.Phase]--
	j.counts[p]++
	t.Phase = p
	t.Since = now
	if p == Stopping {
		b.stopping[t.ID] = t
	} else {
		delete(b.stopping, t.ID)
	}
	if !t.IsPlaced() {
		b.unplace(t)
	}
}

func (b *Tracker) setOpen(t *Task, isOpen bool) {
	if t.isOpen == isOpen {
		return
	}
	t.isOpen = isOpen
	if isOpen {
		t.Job.open++
	} else {
		t.Job.open--
	}
}

func (b *Tracker) put(t *Task, worker hoist.WorkerID) {
	b.unplace(t)
	t.Worker = worker
	if b.onWorker[worker] == nil {
		b.onWorker[worker] = make(map[hoist.TaskID]*Task)
	}
	b.onWorker[worker][t.ID] = t
}

func (b *Tracker) unplace(t *Task) {
	if t.Worker == "" {
		return
	}
	delete(b.onWorker[t.Worker], t.ID)
	if len(b.onWorker[t.Worker]) == 0 {
		delete(b.onWorker, t.Worker)
	}
	t.Worker = ""
	b.setOpen(t, false)
	if b.Freed != nil {
		b.Freed(hoist.TaskAttempt{Task: t.ID, Attempt: t.Attempt})
	}
}

// taskNo returns the number in the id of a task of the job.
func (j *Job) taskNo(id hoist.TaskID) (int, bool) {
	text, ok := strings.CutPrefix(string(id), string(j.Spec.ID)+"/")
	if !ok {
		return 0, false
	}
	no, err := strconv.Atoi(text)
	return no, err == nil && no >= 0
}

func taskID(j *Job, no int) hoist.TaskID {
	return hoist.TaskID(fmt.Sprintf("%s/%d", j.Spec.ID, no))
}
