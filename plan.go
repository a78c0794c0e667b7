package hoist

import "time"

// QueueName names a queue to which plans are submitted.
type QueueName string

// StepNo numbers the steps of a plan, starting at 0.
type StepNo int

// Occurrence numbers the repetitions of a plan, starting at 0.
type Occurrence int

// Label is a property of a worker that a step may require.
type Label string

// ImageName names the program that the tasks of a step run. Tasks of the same
// image disturb their neighbours in the same way.
type ImageName string

// Checkpoint is the progress that a worker saved for a task. It is opaque and
// empty if there is none.
type Checkpoint string

// AdviserConfig describes the adviser of a queue. Only the adviser knows which
// workers may run a step. The zero value means that the queue has no adviser.
type AdviserConfig struct {
	// Base and PerWorker give the time of one answer: Base, and PerWorker for
	// each worker in the request.
	Base      time.Duration
	PerWorker time.Duration
	// ValidFor is how long a ticket stays valid.
	ValidFor time.Duration
}

// IsUsed reports whether the queue has an adviser.
func (a AdviserConfig) IsUsed() bool {
	return a != AdviserConfig{}
}

// Queue holds the configuration of a queue.
type Queue struct {
	Name    QueueName
	Service ServiceName
	// Priority orders the plans of different queues; a higher one comes first.
	Priority Priority
	// MaxAttempts is the number of failed attempts at a task at which its plan
	// fails.
	MaxAttempts int
	// Stretch and Latency define the objective of a plan: it should be done
	// after Stretch times its longest chain of run times, plus Latency.
	Stretch float64
	Latency time.Duration
	Advice  AdviserConfig
}

// Step is a group of identical tasks of a plan.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the declared run time of a task; it can be far off.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all be done before this
	// step begins.
	After []StepNo
	// SavesProgress tells that a stopped task can continue from a checkpoint.
	SavesProgress bool
	// IsGang tells that the tasks make progress only while all of them run.
	IsGang bool
	// PrefersSameRack tells that the tasks run much slower if spread over several
	// racks.
	PrefersSameRack bool
	// Requires is a label that the worker must have, unless it is empty.
	Requires Label
	// PreferredRack is the rack where the tasks run fastest, unless it is empty.
	PreferredRack RackID
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// AllowsSpeculation allows several attempts at a task at the same time.
	AllowsSpeculation bool
	// IsLongRunning tells that the tasks run until the plan is cancelled.
	IsLongRunning bool
	Image         ImageName
	// TailLatencyTarget is the target for the tail of the response times of a
	// long-running task that serves users of its own; 0 means that it serves
	// none.
	TailLatencyTarget time.Duration
	// IsBestEffort tells that the tasks use only the CPU time that other tasks
	// leave.
	IsBestEffort bool
	// MaxUnavailable is how many tasks of a long-running step the scheduler may
	// have stopped at the same time; -1 means no limit.
	MaxUnavailable int
}

// Plan is a job of several steps.
type Plan struct {
	ID    JobID
	Queue Queue
	// Team is the team that the plan is charged to, or empty if there is none.
	Team TeamID
	// Payload is passed to the tasks unchanged.
	Payload string
	Steps   []Step
	// Occurrences is how many times the steps run, beginning at Start and then
	// after each Interval; 0 means that they run once, immediately.
	Occurrences int
	Start       time.Time
	Interval    time.Duration
	// Accepted is when the plan was recorded, and Part is the part of the table
	// that holds it.
	Accepted time.Time
	Part     PartName
}

// PlanPhase is the state of a plan that its submitter sees.
type PlanPhase string

// The phases of a plan.
const (
	PlanQueued    PlanPhase = "queued"
	PlanRunning   PlanPhase = "running"
	PlanDone      PlanPhase = "done"
	PlanFailed    PlanPhase = "failed"
	PlanCancelled PlanPhase = "cancelled"
)

// IsFinal reports whether no task of a plan in this phase starts any more.
func (p PlanPhase) IsFinal() bool {
	return p == PlanDone || p == PlanFailed || p == PlanCancelled
}

// StepRef identifies one occurrence of a step of a plan.
type StepRef struct {
	Job        JobID
	Occurrence Occurrence
	Step       StepNo
}

// TaskRef identifies one task of a plan.
type TaskRef struct {
	StepRef
	Index int
}

// Ticket is an adviser's permission to run a step on a worker.
type Ticket string

// TaskRun identifies one attempt at a task of a plan.
type TaskRun struct {
	Task    TaskRef
	Attempt AttemptNo
}

// EndKind tells how an attempt ended.
type EndKind string

// The kinds of ends of an attempt.
const (
	// EndDone means that the attempt succeeded.
	EndDone EndKind = "done"
	// EndFailed means that the task or its worker failed.
	EndFailed EndKind = "failed"
	// EndStopped means that the attempt was stopped on request.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangFailed means that another task of the gang ended.
	EndGangFailed EndKind = "broken"
	// EndGangTimedOut means that the other tasks of the gang did not start in
	// time.
	EndGangTimedOut EndKind = "alone"
)

// EndNo numbers the ends on a worker within one of its incarnations.
type EndNo uint64

// RunEnd is the end of an attempt. A worker lists it until it is acknowledged.
type RunEnd struct {
	No    EndNo
	Run   TaskRun
	Kind  EndKind
	Saved Checkpoint
}

// RunStatus is the status of an attempt that runs on a worker.
type RunStatus struct {
	Run   TaskRun
	Saved Checkpoint
	// SpeedLimit is the share of its full speed that the task may use.
	SpeedLimit Percent
	// Measurement is a recent measurement of the attempt: for a task that serves
	// users the tail of its response times in milliseconds, and for any other
	// task its CPU use in thousandths of a core.
	Measurement float64
}

// WorkerClock is a time on the monotonic clock of a worker.
type WorkerClock time.Duration

// UnknownClock stands for the clock of a worker that did not tell it. 0 does not: a clock
// that counts whole milliseconds shows it for the first millisecond after a restart.
const UnknownClock WorkerClock = -1

// LeaseTime is how long a worker continues after the last renewal of its lease.
const LeaseTime = 6 * time.Second

// MaxLease is the longest lease of a worker by default; a worker shortens longer ones.
const MaxLease = 10 * time.Second

// Incarnation identifies one start of a worker. It changes when the worker
// restarts, which loses all of its state.
type Incarnation int64

// MaxReportedEnds is the most ends that a worker lists in one report. Later ones are
// listed once earlier ones have been acknowledged.
const MaxReportedEnds = 500

// RunnerReport is a worker's report of what it runs and which attempts have
// ended. A report with MaxReportedEnds ends may lack later ones, so that an attempt
// may be in neither list.
type RunnerReport struct {
	Clock       WorkerClock
	Incarnation Incarnation
	Running     []RunStatus
	Ends        []RunEnd
}

// WorkerEntry is a worker's entry in the platform's registry.
type WorkerEntry struct {
	Worker     WorkerID
	Service    ServiceName
	Addr       string
	DataCentre DataCentreID
	Capacity   Resources
	// Class is the hardware class of the worker.
	Class  Label
	Rack   RackID
	Labels []Label
	// IsLeaving tells that the worker accepts no new tasks. Remaining is how
	// long it continues to run at least.
	IsLeaving   bool
	Remaining   time.Duration
	Incarnation Incarnation
}
