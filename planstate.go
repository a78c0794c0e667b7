package hoist

import "time"

// PlanState is the recorded state of a job besides its plan.
type PlanState struct {
	Queue QueueName
	// Team is the team of the plan, or empty if there is none.
	Team  TeamID
	Phase PlanPhase
	// Next is the first occurrence that has not begun.
	Next Occurrence
	// Ended is when the job reached its final phase; it is zero before.
	Ended time.Time
	// IsTombstone tells that the plan was cancelled before it was accepted, and must not be
	// accepted any more.
	IsTombstone bool
	// Steps holds the steps of the occurrences that have begun and not ended.
	Steps []StepState
}

// StepState is the recorded state of the tasks of one step.
type StepState struct {
	Occurrence Occurrence
	Step       StepNo
	// Done lists the tasks that succeeded.
	Done []int
	// Placed lists the attempts that may run.
	Placed []PlacedRun
	Failed []FailedRun
	// Earlier counts failures of tasks beside those in Failed, whose attempts are later.
	Earlier []EarlierFailures
	Saved   []SavedProgress
}

// PlacedRun is an attempt that may run on a worker.
type PlacedRun struct {
	Index   int
	Attempt AttemptNo
	Worker  WorkerID
	// IsConfirmed tells that the worker has confirmed the start, in an incarnation that the
	// lease account lists. The short form of a state leaves it out.
	IsConfirmed bool
}

// FailedRun is an attempt that ended with a failure.
type FailedRun struct {
	Index   int
	Attempt AttemptNo
}

// EarlierFailures counts the failures of a task whose attempts are not listed.
type EarlierFailures struct {
	Index int
	Count int
}

// SavedProgress is the last checkpoint of a task.
type SavedProgress struct {
	Index int
	Saved Checkpoint
}
