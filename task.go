package hoist

import "time"

// JobKind selects the policy by which the tasks of a job are placed.
type JobKind string

// The kinds of jobs.
const (
	// ServiceJob keeps a number of replicas running until it is cancelled.
	ServiceJob JobKind = "service"
	// BatchJob runs each task once and has a deadline.
	BatchJob JobKind = "batch"
	// GangJob starts all its tasks together or none.
	GangJob JobKind = "gang"
)

// IsValid reports whether k is one of the defined kinds.
func (k JobKind) IsValid() bool {
	return k == ServiceJob || k == BatchJob || k == GangJob
}

// Priority orders jobs; a higher one may stop tasks of a lower one.
type Priority int

// JobSpec describes a job as its submitter declared it.
type JobSpec struct {
	ID       JobID
	Team     TeamID
	Kind     JobKind
	Tasks    int
	Need     Resources
	Priority Priority
	// Urgent jobs may checkpoint or stop tasks of lower priority.
	Urgent bool
	// Deadline is zero for jobs without one.
	Deadline time.Time
	// RunTime is the declared run time of one task; it can be far off.
	RunTime time.Duration
	// Group names jobs with alike run times and sizes, for learning.
	Group string
	// DataCentre limits placement to one data centre unless empty.
	DataCentre DataCentreID
}

// JobPhase is the state of a job as operators see it.
type JobPhase string

// The phases of a job.
const (
	JobWaiting    JobPhase = "waiting"
	JobRunning    JobPhase = "running"
	JobCancelling JobPhase = "cancelling"
	JobCancelled  JobPhase = "cancelled"
	JobDone       JobPhase = "done"
)

// JobState is what operators see of a job.
type JobState struct {
	Spec     JobSpec
	Accepted time.Time
	Phase    JobPhase
	Waiting  int
	Running  int
	Done     int
	// IsLate tells that the deadline was or will be missed.
	IsLate bool
	// Reason tells why tasks wait.
	Reason string
}

// PriorityUse is what the running tasks of one priority hold on a worker.
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

// TaskAttempt names one attempt at a task.
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

// WorkerReport is a worker's own account of itself. Ended lists the tasks that
// ended and whose end the owner has not yet acknowledged.
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
