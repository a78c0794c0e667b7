// Package jobs keeps the state of the jobs of the teams that a host owns:
// which tasks wait, which run where, and what is due next.
//
// # Usage
//
//	b := jobs.NewBook()
//	err := b.Add(spec, now)
//	for _, t := range b.Waiting(now) {
//		// place t, then
//		b.Started(t.Task, worker, attempt)
//	}
//	b.Ended(end)
//
// The type is not safe for concurrent use and reads no clock.
package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Task is one task of a job.
type Task struct {
	ID      hoist.TaskID
	Attempt hoist.AttemptNo
	Worker  hoist.WorkerID
	IsDone  bool
}

// Job is one accepted job.
type Job struct {
	Spec     hoist.JobSpec
	Accepted time.Time
	Tasks    []*Task
	Done     int
	// Reason tells why the job waits, for operators.
	Reason string
}

// IsEnded reports whether all tasks of the job are done.
func (j *Job) IsEnded() bool {
	return j.Done == len(j.Tasks)
}

// waiting returns the tasks that neither run nor are done.
func (j *Job) waiting() []*Task {
	var out []*Task
	for _, t := range j.Tasks {
		if !t.IsDone && t.Worker == "" {
			out = append(out, t)
		}
	}
	return out
}

// Book holds the jobs of one host.
type Book struct {
	jobs  map[hoist.JobID]*Job
	tasks map[hoist.TaskID]*taskRef
}

// taskRef finds a task and its job.
type taskRef struct {
	job  *Job
	task *Task
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{jobs: make(map[hoist.JobID]*Job), tasks: make(map[hoist.TaskID]*taskRef)}
}

// CheckSpec returns hoist.ErrInvalid with the reason if a job can never be
// accepted.
func CheckSpec(s hoist.JobSpec) error {
	var reason string
	switch {
	case s.ID == "":
		reason = "has no id"
	case s.Team == "":
		reason = "has no team"
	case !s.Kind.IsValid():
		reason = fmt.Sprintf("has unknown kind %q", s.Kind)
	case s.Tasks < 1:
		reason = fmt.Sprintf("has %d tasks", s.Tasks)
	case !s.Need.IsValid():
		reason = fmt.Sprintf("needs %v", s.Need)
	default:
		return nil
	}
	return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("job %q %s", s.ID, reason))
}

// Add accepts a job. Adding a job of the same id again has no effect.
func (b *Book) Add(s hoist.JobSpec, now time.Time) {
	if _, ok := b.jobs[s.ID]; ok {
		return
	}
	j := &Job{Spec: s, Accepted: now}
	for i := range s.Tasks {
		t := &Task{ID: hoist.TaskID(fmt.Sprintf("%s/%d", s.ID, i))}
		j.Tasks = append(j.Tasks, t)
		b.tasks[t.ID] = &taskRef{j, t}
	}
	b.jobs[s.ID] = j
}

// Remove drops a job.
func (b *Book) Remove(id hoist.JobID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for _, t := range j.Tasks {
		delete(b.tasks, t.ID)
	}
	delete(b.jobs, id)
}

// Get returns the job of the given id.
func (b *Book) Get(id hoist.JobID) (*Job, bool) {
	j, ok := b.jobs[id]
	return j, ok
}

// Jobs returns all jobs, most urgent first: urgent ones, then by priority,
// then by slack, then by time of acceptance.
func (b *Book) Jobs(now time.Time) []*Job {
	out := make([]*Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *Job) int {
		return cmp.Or(
			-compareBool(x.Spec.Urgent, y.Spec.Urgent),
			-cmp.Compare(x.Spec.Priority, y.Spec.Priority),
			cmp.Compare(x.slack(now), y.slack(now)),
			x.Accepted.Compare(y.Accepted),
			cmp.Compare(x.Spec.ID, y.Spec.ID),
		)
	})
	return out
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// slack is the time by which the job can wait and still meet its deadline.
func (j *Job) slack(now time.Time) time.Duration {
	const none = 1000 * time.Hour
	if j.Spec.Deadline.IsZero() {
		return none
	}
	return j.Spec.Deadline.Sub(now) - j.Spec.RunTime
}

// Waiting returns the tasks of a job to place now. For a gang it is all tasks
// or none.
func (b *Book) Waiting(j *Job) []*Task {
	waiting := j.waiting()
	if j.Spec.Kind == hoist.GangJob && len(waiting) != len(j.Tasks) {
		return nil
	}
	return waiting
}

// MarkDone records the tasks, by number, that the table lists as done.
func (b *Book) MarkDone(id hoist.JobID, done []int) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for _, i := range done {
		if i >= 0 && i < len(j.Tasks) && !j.Tasks[i].IsDone {
			j.Tasks[i].IsDone = true
			j.Done++
		}
	}
}

// Started records where a task runs.
func (b *Book) Started(task hoist.TaskID, worker hoist.WorkerID, attempt hoist.AttemptNo) {
	if ref, ok := b.tasks[task]; ok && !ref.task.IsDone {
		ref.task.Worker = worker
		ref.task.Attempt = max(ref.task.Attempt, attempt)
	}
}

// Ended records the end of a task's attempt. It reports whether the job has
// ended with it. A task that failed or was stopped waits again.
func (b *Book) Ended(e hoist.WorkerTask) (*Job, bool) {
	ref, ok := b.tasks[e.Status.Task]
	if !ok || ref.task.IsDone || ref.task.Worker != e.Worker || ref.task.Attempt != e.Status.Attempt {
		return nil, false
	}
	ref.task.Worker = ""
	if e.Status.State == hoist.TaskSucceeded {
		ref.task.IsDone = true
		ref.job.Done++
	}
	return ref.job, ref.job.IsEnded()
}

// Lost records that the worker of tasks is gone: what ran there waits again.
func (b *Book) Lost(worker hoist.WorkerID) {
	for _, ref := range b.tasks {
		if ref.task.Worker == worker && !ref.task.IsDone {
			ref.task.Worker = ""
		}
	}
}
