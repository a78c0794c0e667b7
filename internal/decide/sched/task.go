package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Phase is the scheduling state of a task.
type Phase uint8

// The phases of a task.
const (
	// Waiting tasks run on no worker and may be placed.
	Waiting Phase = iota
	// Recording tasks have a worker, but their start is not recorded yet.
	Recording
	// Starting tasks have a recorded start whose outcome is not known yet.
	Starting
	// Recovered tasks were started by an earlier owner according to the recorded
	// state. No report has confirmed them yet.
	Recovered
	Running
	// Stopping tasks must be stopped; they may or may not run.
	Stopping
	Done
)

// attemptBits is the number of low bits of an attempt number that count
// attempts within one term. The term is in the bits above, so that attempts of
// a later owner always have higher numbers.
const attemptBits = 20

// Task is one task of a plan.
type Task struct {
	StepTasks *StepTasks
	Index     int
	Phase     Phase
	Attempt   hoist.AttemptNo
	Worker    *Worker
	Saved     hoist.Checkpoint
	// Failed lists the attempts that ended with a failure, in order; it is empty for
	// long-running tasks. earlierFailures counts further ones before those.
	Failed          []hoist.AttemptNo
	earlierFailures int

	// phaseSince is when the task entered its phase.
	phaseSince time.Time
	// notBefore is the earliest time of the next start after a failure.
	notBefore time.Time
	// change is the change of the job's state that contains the start.
	change      uint64
	ticket      ticket
	stop        stopState
	measurement float64
	// isStartInDoubt is set from the start of an attempt until the worker has confirmed
	// it: the start may arrive late.
	isStartInDoubt bool
	// isArriving is set from the placement of an attempt until its start has certainly
	// arrived, also if an earlier owner sent it. Use setArriving.
	isArriving bool
	// isRecovered is set for an attempt that an earlier owner started, and isConfirmed once
	// the worker has confirmed the attempt in an incarnation that the lease account lists.
	isRecovered, isConfirmed bool
	// isDespiteBackoff is set for an attempt that was placed on a worker while that was backed
	// off.
	isDespiteBackoff bool
	// failedWorkers are the workers that the task failed on.
	failedWorkers []hoist.WorkerID
	// hasRun is set once an attempt was placed, by this owner or an earlier one, and reservation
	// is the room that is kept for the next one.
	hasRun      bool
	reservation roomReservation
	// isSuperseded is set for an attempt that must be stopped because an earlier
	// one turned out to have succeeded. This Task value then represents only the
	// attempt; the task itself is done.
	isSuperseded bool
	// ranAt is when the task was last known to run, this owner recovered it, or
	// LongRunningWaits first found that it may start.
	ranAt time.Time
}

// stopState is the progress of stopping an attempt.
type stopState struct {
	sentAt     time.Time
	isInFlight bool
	// isStale is set if the worker has restarted since the stop in flight was sent: its
	// answer may be of the earlier incarnation.
	isStale    bool
	answeredAt time.Time
}

// afterRestart returns the progress once the worker has restarted: it remembers no stop.
func (s stopState) afterRestart() stopState {
	return stopState{isInFlight: s.isInFlight, isStale: s.isInFlight}
}

// Ref identifies the task.
func (t *Task) Ref() hoist.TaskRef {
	return hoist.TaskRef{StepRef: t.StepTasks.Ref(), Index: t.Index}
}

// Run identifies the current attempt at the task.
func (t *Task) Run() hoist.TaskRun {
	return hoist.TaskRun{Task: t.Ref(), Attempt: t.Attempt}
}

// IsPlaced reports whether the task holds capacity on a worker.
func (t *Task) IsPlaced() bool {
	return t.Phase != Waiting && t.Phase != Done
}

// StepTasks holds the tasks of one step in one occurrence of a plan.
type StepTasks struct {
	Job        *Job
	Occurrence hoist.Occurrence
	No         hoist.StepNo
	Step       *hoist.Step
	Tasks      []*Task
	// unfinished counts the tasks that are not done, and waiting those that wait.
	unfinished int
	waiting    int
	// saved is the newest checkpoint of a gang.
	saved  hoist.Checkpoint
	advice adviceState
	near   nearWait
}

// Ref identifies the occurrence of the step.
func (s *StepTasks) Ref() hoist.StepRef {
	return hoist.StepRef{Job: s.Job.Plan.ID, Occurrence: s.Occurrence, Step: s.No}
}

// IsDone reports whether all tasks have succeeded.
func (s *StepTasks) IsDone() bool {
	return s.unfinished == 0
}

// failedAttempts counts the failed attempts at a task. For a gang it counts
// the attempts in which any of its tasks failed.
func (s *StepTasks) failedAttempts(t *Task) int {
	if !s.Step.IsGang {
		return len(t.Failed) + t.earlierFailures
	}
	attempts := make(map[hoist.AttemptNo]bool)
	for _, member := range s.Tasks {
		for _, a := range member.Failed {
			attempts[a] = true
		}
	}
	return len(attempts)
}
