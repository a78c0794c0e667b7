// Package jobs tracks the state of the jobs of the teams that a host owns: which
// tasks wait, which run on which worker, which must be stopped, and which jobs
// are placed next.
//
// # Usage
//
//	tr := jobs.NewTracker()
//	tr.Add(spec, term, now)
//	for _, j := range tr.Due(now) {
//		for _, t := range tr.Ready(j, now) {
//			// choose a worker for t, then
//			attempt := j.NewAttempt()
//			tr.Begin(t, worker, attempt, now)
//			// send the start, then call one of
//			tr.RecordStart(t.ID, attempt, now)
//			tr.RecordNotStarted(t.ID, attempt, now)
//		}
//	}
//	tr.RecordEnd(end, now)
//	tr.Tick(now)
//
// # Phases of a task
//
// A task is Waiting, Starting (a start was sent and its outcome is not known),
// Running, Stopping (a stop is due and not confirmed) or Done. Only a waiting
// task may be placed, so a task is placed on at most one worker at a time. A
// stopping task waits again once the end of its attempt is certain.
//
// A Tracker is not safe for concurrent use. It does not read the clock; callers
// pass the current time.
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

// attemptBits is the number of low bits of an attempt number that count the
// attempts within one term of the job's owner. The term is in the bits above, so
// attempts of a later term always have higher numbers. One term has numbers for
// 16 million attempts of a job.
const attemptBits = 24

// Task is one task of a job.
type Task struct {
	ID      hoist.TaskID
	Job     *Job
	No      int
	Phase   Phase
	Attempt hoist.AttemptNo
	Worker  hoist.WorkerID
	// Since is when the task entered its phase.
	Since time.Time
	// NotBefore is the earliest time of the next start after a failure.
	NotBefore time.Time
	failures  int
	// hasUnknownStart is set while the outcome of a start is not known.
	hasUnknownStart bool
	// isRetired is set for a replica that must not be started again.
	isRetired bool
}

// IsPlaced reports whether the task occupies, or may occupy, a worker.
func (t *Task) IsPlaced() bool {
	return t.Phase == Starting || t.Phase == Running || t.Phase == Stopping
}

// Job is an accepted job.
type Job struct {
	Spec     hoist.JobSpec
	Accepted time.Time
	// Version is the version of the job's row in the table. It is 0 until the
	// row is written; no task is placed before that.
	Version hoist.RowVersion
	Tasks   []*Task
	// Reason explains to operators why the job waits.
	Reason string
	// IsCancelled prevents further starts of the job's tasks.
	IsCancelled bool
	// IsCancelRecorded is set once the cancellation is recorded in the table.
	// Until then running tasks are not stopped, as the cancellation may be
	// reverted.
	IsCancelRecorded bool
	// IsGangConfirmed is set once the owners of the workers have been told that
	// all tasks of a gang run.
	IsGangConfirmed bool
	// IsLate is set once the job has missed its deadline or is expected to.
	IsLate bool
	// Ended is when the job ended. It is zero before.
	Ended time.Time

	term          hoist.Term
	lastAttempt   hoist.AttemptNo
	counts        [Done + 1]int
	unknownStarts int
	firstStart    time.Time
	gangStartedAt time.Time
}

// Count returns the number of tasks in a phase.
func (j *Job) Count(p Phase) int {
	return j.counts[p]
}

// UnknownStarts returns the number of starts whose outcome is not known.
func (j *Job) UnknownStarts() int {
	return j.unknownStarts
}

// HasEnded reports whether the job has ended: all its tasks are done, or it was
// cancelled and no task is placed.
func (j *Job) HasEnded() bool {
	placed := j.counts[Starting] + j.counts[Running] + j.counts[Stopping]
	if placed > 0 {
		return false
	}
	return j.IsCancelled || j.counts[Done] == len(j.Tasks)
}

// PhaseName returns the phase of the job as shown to operators.
func (j *Job) PhaseName() hoist.JobPhase {
	switch {
	case j.IsCancelled && j.HasEnded():
		return hoist.JobCancelled
	case j.IsCancelled:
		return hoist.JobCancelling
	case j.HasEnded():
		return hoist.JobDone
	case j.counts[Running] > 0:
		return hoist.JobRunning
	default:
		return hoist.JobWaiting
	}
}

// Tracker holds the state of the jobs that one host owns.
type Tracker struct {
	// Estimate returns the learned run time of one task of a job. If it is nil,
	// the declared run time is used.
	Estimate func(hoist.JobSpec) time.Duration
	// OnRelease, if not nil, is called when an attempt no longer occupies a worker.
	OnRelease func(hoist.TaskAttempt)

	jobs     map[hoist.JobID]*Job
	tasks    map[hoist.TaskID]*Task
	onWorker map[hoist.WorkerID]map[hoist.TaskID]*Task
	stopping map[hoist.TaskID]*Task
	// active holds the jobs that have not ended.
	active map[hoist.JobID]*Job
}

// NewTracker returns a Tracker without jobs.
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
	// maxTasksPerJob bounds the memory of one job. Larger work must be submitted
	// as several jobs.
	maxTasksPerJob = 100_000
	// maxNameBytes is the maximum length of an id or team name. The messages
	// between hosts do not accept longer ones.
	maxNameBytes = 100
)

// CheckSpec checks a job before it is accepted. It returns hoist.ErrInvalid with
// the first reason for which the job can never be accepted.
func CheckSpec(s hoist.JobSpec) error {
	var reason string
	switch {
	case s.ID == "":
		reason = "has no id"
	case s.Team == "":
		reason = "has no team"
	case len(s.ID) > maxNameBytes || len(s.Team) > maxNameBytes:
		reason = fmt.Sprintf("has an id or team of more than %d bytes", maxNameBytes)
	case !s.Kind.IsValid():
		reason = fmt.Sprintf("has unknown kind %q", s.Kind)
	case s.Tasks < 1 || s.Tasks > maxTasksPerJob:
		reason = fmt.Sprintf("has %d tasks, expected 1 to %d", s.Tasks, maxTasksPerJob)
	case s.RunTime < 0:
		reason = fmt.Sprintf("has a negative run time of %s", s.RunTime)
	case !s.Need.IsValid():
		reason = fmt.Sprintf("needs %v, expected no negative and at least one positive amount", s.Need)
	default:
		return nil
	}
	return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("job %q %s", s.ID, reason))
}

// Add adds a job that was accepted in the given term of its owner, and returns
// it. Adding a job with the same id again has no effect and returns the existing
// job.
func (tr *Tracker) Add(s hoist.JobSpec, term hoist.Term, accepted time.Time) *Job {
	if j, ok := tr.jobs[s.ID]; ok {
		return j
	}
	j := &Job{Spec: s, Accepted: accepted, term: term}
	tr.jobs[s.ID] = j
	tr.active[s.ID] = j
	for i := range s.Tasks {
		tr.addTask(j, i)
	}
	return j
}

func (tr *Tracker) addTask(j *Job, no int) *Task {
	t := &Task{ID: taskID(j, no), Job: j, No: no}
	j.Tasks = append(j.Tasks, t)
	j.counts[Waiting]++
	tr.tasks[t.ID] = t
	return t
}

// Remove removes a job and its tasks.
func (tr *Tracker) Remove(id hoist.JobID) {
	j, ok := tr.jobs[id]
	if !ok {
		return
	}
	for _, t := range j.Tasks {
		tr.removeTask(t)
	}
	delete(tr.jobs, id)
	delete(tr.active, id)
}

func (tr *Tracker) removeTask(t *Task) {
	tr.unassign(t)
	delete(tr.stopping, t.ID)
	delete(tr.tasks, t.ID)
}

// Get returns the job with the given id.
func (tr *Tracker) Get(id hoist.JobID) (*Job, bool) {
	j, ok := tr.jobs[id]
	return j, ok
}

// Task returns the task with the given id.
func (tr *Tracker) Task(id hoist.TaskID) (*Task, bool) {
	t, ok := tr.tasks[id]
	return t, ok
}

// All returns all jobs in unspecified order.
func (tr *Tracker) All() []*Job {
	out := make([]*Job, 0, len(tr.jobs))
	for _, j := range tr.jobs {
		out = append(out, j)
	}
	return out
}

// OnWorker returns the tasks placed on a worker, in unspecified order.
func (tr *Tracker) OnWorker(id hoist.WorkerID) []*Task {
	out := make([]*Task, 0, len(tr.onWorker[id]))
	for _, t := range tr.onWorker[id] {
		out = append(out, t)
	}
	return out
}

// Workers returns the workers on which tasks are placed, in unspecified order.
func (tr *Tracker) Workers() []hoist.WorkerID {
	out := make([]hoist.WorkerID, 0, len(tr.onWorker))
	for id := range tr.onWorker {
		out = append(out, id)
	}
	return out
}

// setPhase moves a task to another phase and updates the counts and indexes.
func (tr *Tracker) setPhase(t *Task, p Phase, now time.Time) {
	j := t.Job
	j.counts[t.Phase]--
	j.counts[p]++
	t.Phase = p
	t.Since = now
	if p == Stopping {
		tr.stopping[t.ID] = t
	} else {
		delete(tr.stopping, t.ID)
	}
	if !t.IsPlaced() {
		tr.unassign(t)
	}
}

func (tr *Tracker) setUnknownStart(t *Task, hasUnknownStart bool) {
	if t.hasUnknownStart == hasUnknownStart {
		return
	}
	t.hasUnknownStart = hasUnknownStart
	if hasUnknownStart {
		t.Job.unknownStarts++
	} else {
		t.Job.unknownStarts--
	}
}

func (tr *Tracker) assign(t *Task, worker hoist.WorkerID) {
	tr.unassign(t)
	t.Worker = worker
	if tr.onWorker[worker] == nil {
		tr.onWorker[worker] = make(map[hoist.TaskID]*Task)
	}
	tr.onWorker[worker][t.ID] = t
}

func (tr *Tracker) unassign(t *Task) {
	if t.Worker == "" {
		return
	}
	delete(tr.onWorker[t.Worker], t.ID)
	if len(tr.onWorker[t.Worker]) == 0 {
		delete(tr.onWorker, t.Worker)
	}
	t.Worker = ""
	tr.setUnknownStart(t, false)
	if tr.OnRelease != nil {
		tr.OnRelease(hoist.TaskAttempt{Task: t.ID, Attempt: t.Attempt})
	}
}

// taskNo returns the task number from the id of a task of the job. It reports
// false if the id does not belong to the job.
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
