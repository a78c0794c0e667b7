package hoist

import "time"

// JobKind selects how the tasks of a job are placed.
type JobKind string

// The kinds of jobs.
const (
	// ServiceJob keeps a number of replicas running until it is cancelled.
	ServiceJob JobKind = "service"
	// BatchJob runs each task once and has a deadline.
	BatchJob JobKind = "batch"
	// GangJob starts all its tasks together or none of them.
	GangJob JobKind = "gang"
)

// IsValid reports whether k is one of the defined kinds.
func (k JobKind) IsValid() bool {
	return k == ServiceJob || k == BatchJob || k == GangJob
}

// Priority orders jobs; a higher one comes first. An urgent job may preempt
// tasks of a lower priority.
type Priority int

// JobSpec describes a job as its submitter declared it.
type JobSpec struct {
	ID       JobID
	Team     TeamID
	Kind     JobKind
	Tasks    int
	Need     Resources
	Priority Priority
	// Urgent jobs may preempt tasks of lower priority, by a checkpoint or a
	// stop.
	Urgent bool
	// Deadline is zero for jobs without one.
	Deadline time.Time
	// RunTime is the declared run time of one task; it can be far off.
	RunTime time.Duration
	// Group names jobs with similar run times and sizes, whose records are
	// shared for learning.
	Group string
	// DataCentre restricts placement to one data centre unless it is empty.
	DataCentre DataCentreID
}

// JobPhase is the state of a job that operators see.
type JobPhase string

// The phases of a job.
const (
	JobWaiting    JobPhase = "waiting"
	JobRunning    JobPhase = "running"
	JobCancelling JobPhase = "cancelling"
	JobCancelled  JobPhase = "cancelled"
	JobDone       JobPhase = "done"
)

// JobState describes a job to operators.
type JobState struct {
	Spec     JobSpec
	Accepted time.Time
	Phase    JobPhase
	Waiting  int
	Running  int
	Done     int
	// IsLate tells that the deadline was missed or is expected to be missed.
	IsLate bool
	// Reason explains why tasks wait.
	Reason string
}

// PriorityUse is the capacity that the running tasks of one priority use on a
// worker.
type PriorityUse struct {
	Priority Priority
	Used     Resources
}

// Grant allows a worker to run one task under a lease.
type Grant struct {
	Task     TaskID
	Job      JobID
	Team     TeamID
	Attempt  AttemptNo
	Need     Resources
	Priority Priority
	RunTime  time.Duration
	// Term is the granting owner's term for the shard of the worker.
	Term Term
	// Lease is how long the task may run without a renewal.
	Lease time.Duration
}

// TaskAttempt identifies one attempt at a task.
type TaskAttempt struct {
	Task    TaskID
	Attempt AttemptNo
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task on its worker.
const (
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
)

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	Task     TaskID
	Job      JobID
	Team     TeamID
	Attempt  AttemptNo
	State    TaskState
	Need     Resources
	Usage    Resources
	Priority Priority
	Started  time.Time
	Reason   string
}

// WorkerReport is a worker's report of its state. Ended lists the tasks whose
// end the owner has not yet acknowledged.
type WorkerReport struct {
	Worker     WorkerID
	DataCentre DataCentreID
	Rack       RackID
	Capacity   Resources
	Leaving    bool
	Running    []TaskStatus
	Ended      []TaskStatus
}

// StopMode selects how a worker ends a task.
type StopMode string

// The ways to end a task.
const (
	// StopCheckpoint saves the progress of the task first.
	StopCheckpoint StopMode = "checkpoint"
	// StopNow ends the task at once.
	StopNow StopMode = "now"
)
