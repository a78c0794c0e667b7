package hoist

import "time"

// QueueName names a queue that submitters hand plans in at.
type QueueName string

// StepNo numbers the steps of a plan, starting at 0.
type StepNo int

// Occurrence numbers the repetitions of a plan, starting at 0.
type Occurrence int

// Label is a property of a worker that a step may require.
type Label string

// ImageName names the program that the tasks of a step run. Tasks of one image
// disturb their neighbours alike.
type ImageName string

// Checkpoint is the progress that a worker saved for a task. It is opaque; an
// empty one means none.
type Checkpoint string

// AdviceTerms describe the adviser of a queue, which alone knows the workers
// that may run a step. The zero value means that the queue has none.
type AdviceTerms struct {
	// Base and PerWorker make up the time of one answer.
	Base      time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket may be used.
	Valid time.Duration
}

// IsUsed reports whether the queue has an adviser.
func (a AdviceTerms) IsUsed() bool {
	return a != AdviceTerms{}
}

// Queue is a queue as the configuration describes it.
type Queue struct {
	Name    QueueName
	Service ServiceName
	// Priority orders the plans of unlike queues; a higher one comes first.
	Priority Priority
	// MaxAttempts is how often a task may fail before its plan fails.
	MaxAttempts int
	// Stretch and Latency make up the objective of a plan: Stretch times its
	// longest chain of work, and Latency more.
	Stretch float64
	Latency time.Duration
	Advice  AdviceTerms
}

// Step is a number of like tasks of a plan.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the declared run time of a task; it can be far off.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []StepNo
	// SavesProgress tells that a stopped task can go on from a checkpoint.
	SavesProgress bool
	// IsGang tells that the tasks only work when all of them are present.
	IsGang bool
	// IsSameRack tells that the tasks are much slower across racks.
	IsSameRack bool
	// Requires is a label that the worker must have, unless it is empty.
	Requires Label
	// PreferredRack is the rack where the tasks are fastest, unless it is empty.
	PreferredRack RackID
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int
	// AllowsSpeculation allows several attempts at a task at the same time.
	AllowsSpeculation bool
	// IsLongRunning tells that the tasks run until the plan is cancelled.
	IsLongRunning bool
	Image         ImageName
	// TailLatencyTarget bounds the response times of a lasting task that serves users
	// of its own; 0 means that it serves none.
	TailLatencyTarget time.Duration
	// IsBestEffort tells that the tasks take the processor that others leave.
	IsBestEffort bool
	// MaxUnavailable is how many tasks of a lasting step the scheduler may have away
	// at the same time; -1 means that there is no bound.
	MaxUnavailable int
}

// Plan is a job of several steps.
type Plan struct {
	ID    JobID
	Queue Queue
	// Payload is handed to the tasks unchanged.
	Payload string
	Steps   []Step
	// Occurrences is how often the steps run, Interval apart from Start on; 0
	// means once, at once.
	Occurrences int
	Start       time.Time
	Interval    time.Duration
	// Accepted is when the plan was recorded, and Part where.
	Accepted time.Time
	Part     PartName
}

// PlanPhase is the state of a plan as its submitter sees it.
type PlanPhase string

// The phases of a plan.
const (
	PlanQueued    PlanPhase = "queued"
	PlanRunning   PlanPhase = "running"
	PlanDone      PlanPhase = "done"
	PlanFailed    PlanPhase = "failed"
	PlanCancelled PlanPhase = "cancelled"
)

// IsFinal reports whether a plan in the phase starts nothing any more.
func (p PlanPhase) IsFinal() bool {
	return p == PlanDone || p == PlanFailed || p == PlanCancelled
}

// StepRef names one occurrence of a step of a plan.
type StepRef struct {
	Job        JobID
	Occurrence Occurrence
	Step       StepNo
}

// TaskRef names one task of a plan.
type TaskRef struct {
	StepRef
	Index int
}

// Ticket is an adviser's permission to run a step on a worker.
type Ticket string

// TaskRun names one attempt at a task of a plan.
type TaskRun struct {
	Task    TaskRef
	Attempt AttemptNo
}

// EndKind tells how an attempt ended.
type EndKind string

// The ends of an attempt.
const (
	// EndDone is a success.
	EndDone EndKind = "done"
	// EndFailed is a failure of the task or of its worker.
	EndFailed EndKind = "failed"
	// EndStopped follows a stop.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired follows the end of the lease.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangFailed follows the end of another task of the gang.
	EndGangFailed EndKind = "broken"
	// EndGangTimedOut is the end of a gang's task that waited for the others in vain.
	EndGangTimedOut EndKind = "alone"
)

// EndNo numbers the ends on a worker within one of its lives.
type EndNo uint64

// RunEnd is an end that a worker lists until it is acknowledged.
type RunEnd struct {
	No    EndNo
	Run   TaskRun
	Kind  EndKind
	Saved Checkpoint
}

// RunStatus is an attempt that runs on a worker.
type RunStatus struct {
	Run   TaskRun
	Saved Checkpoint
	// SpeedLimit is the share of its speed that the task may use.
	SpeedLimit Percent
	// Measurement is the recent tail of response times in milliseconds for a task
	// that serves users, and the recent use of processor in thousandths of a
	// core for any other.
	Measurement float64
}

// WorkerClock is a time on the steady clock of a worker.
type WorkerClock time.Duration

// Incarnation tells the lives of a worker apart: it changes when the worker starts
// again and has forgotten everything.
type Incarnation int64

// RunnerReport is a worker's own account of what it runs.
type RunnerReport struct {
	Clock       WorkerClock
	Incarnation Incarnation
	Running     []RunStatus
	Ends        []RunEnd
}

// WorkerEntry is a worker as the platform's registry shows it.
type WorkerEntry struct {
	Worker     WorkerID
	Service    ServiceName
	Addr       string
	DataCentre DataCentreID
	Capacity   Resources
	// Class is the kind of hardware, and Rack where it is.
	Class  Label
	Rack   RackID
	Labels []Label
	// IsLeaving tells that the worker takes no new tasks, and Remaining how
	// long it goes on at least.
	IsLeaving   bool
	Remaining   time.Duration
	Incarnation Incarnation
}
