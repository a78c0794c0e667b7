package hoist

import (
	"context"
	"time"
)

// StartRequest asks a worker to start an attempt.
type StartRequest struct {
	Run     TaskRun
	Term    Term
	Payload string
	// Lease is when everything on the worker ends, on the worker's clock.
	Lease  WorkerClock
	Saved  Checkpoint
	Ticket Ticket
}

// PollRequest renews the lease of a worker and asks what it runs.
type PollRequest struct {
	Term Term
	// Acked is the last end that the worker may forget; 0 acknowledges none.
	Acked EndNo
	// EnablesAcks tells that later looks may acknowledge ends over the connection of
	// this one.
	EnablesAcks bool
	// Lease is when everything on the worker ends, on the worker's clock; 0
	// leaves the lease as it is.
	Lease WorkerClock
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Runner is a worker that runs the tasks of plans. Its methods may be called
// concurrently. Their errors are ErrUnavailable or ErrNotListening if the order
// certainly had no effect, ErrOutcomeUnknown if it may still take effect, ErrStaleTerm if the
// worker has seen a higher term, and ErrReplaced if another worker answers at
// the address.
type Runner interface {
	// Start starts an attempt. Besides the errors above it returns ErrConflict
	// if this or a later attempt has ended there, ErrNoCapacity, ErrLeaseExpired if
	// the lease is over, ErrTicket, and ErrInvalid.
	Start(ctx context.Context, o StartRequest) (WorkerClock, error)
	// Stop ends an attempt, and refuses it from then on if it has not arrived.
	Stop(ctx context.Context, run TaskRun, term Term) error
	// Poll renews the lease and returns what runs and what ended. Ends are
	// acknowledged only over the connection that the last look was answered on: a
	// worker that has started again numbers its ends anew, and would forget new
	// ones for old ones. If that connection is gone, Poll fails; with ErrUnavailable
	// if that was known before. Of the looks that acknowledge or that open the way for it,
	// one may be in progress at a time.
	Poll(ctx context.Context, o PollRequest) (RunnerReport, error)
	// Throttle sets the share of its speed that a task may use.
	Throttle(ctx context.Context, run TaskRun, term Term, share Percent) error
}

// Advice is what an adviser says about the workers that it was asked about.
type Advice struct {
	// Good maps the workers that may run the step to their tickets.
	Good map[WorkerID]Ticket
	// Valid is how long the tickets may be used from now on.
	Valid time.Duration
}

// Adviser knows which workers may run a step. It answers the calls of one host
// one after the other; ErrOverLimit means that too many wait.
type Adviser interface {
	Advise(ctx context.Context, step StepRef, workers []WorkerID) (Advice, error)
}

// WorkerChanges is what changed in the platform's registry of workers.
type WorkerChanges struct {
	// IsAll tells that Changed lists all workers.
	IsAll   bool
	Changed []WorkerEntry
	Gone    []WorkerID
	// Next is the version to go on from.
	Next RowVersion
}

// Registry is the platform's registry of workers.
type Registry interface {
	// Workers waits up to wait for changes after a version; 0 asks for all
	// workers. It returns ErrHistoryLost like Store.Changes.
	Workers(ctx context.Context, after RowVersion, wait time.Duration) (WorkerChanges, error)
}

// QueueConfig is the configuration of the queues in one version.
type QueueConfig struct {
	Version ConfigVersion
	Queues  []QueueEntry
}

// QueueEntry is a queue and where submitters reach it.
type QueueEntry struct {
	Queue
	// HostName and Prefix select the queue of a submission.
	HostName string
	Prefix   string
}

// QueueSource is where the operators' configuration of the queues is read.
type QueueSource interface {
	// Config waits up to wait for a configuration after a version of the store;
	// 0 asks for the present one. It returns a configuration of version 0 if
	// nothing changed, and ErrHistoryLost like Store.Changes.
	Config(ctx context.Context, after RowVersion, wait time.Duration) (QueueConfig, RowVersion, error)
}

// PlanService accepts and shows plans, whatever the front end. Its methods may
// be called concurrently.
type PlanService interface {
	// Queue returns the queue of a submission. It returns ErrNotFound if the
	// configuration has none, and ErrUnavailable before there is one.
	Queue(hostName, path string) (QueueEntry, error)
	// Submit returns nil when the plan is recorded, ErrUnavailable if it is not
	// and never will be, and ErrOutcomeUnknown if it may be.
	Submit(ctx context.Context, p Plan) error
	// Phase returns the phase of a plan of a queue, or ErrNotFound.
	Phase(ctx context.Context, queue QueueName, id JobID) (PlanPhase, error)
	// Cancel returns nil when the cancellation is recorded or the plan is over.
	Cancel(ctx context.Context, queue QueueName, id JobID) error
	// Waiting returns how many plans of a queue have not begun.
	Waiting(ctx context.Context, queue QueueName) (int, error)
}

// PlanCounter counts what the owner of a cell does. Its methods may be called
// concurrently.
type PlanCounter interface {
	// Start counts a start by its outcome: started, refused or unknown.
	Start(outcome string)
	End(kind EndKind)
	// Waited is the time from the acceptance of a plan to its first start.
	Waited(queue QueueName, d time.Duration)
}
