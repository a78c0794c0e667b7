package hoist

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// RowKey names one row of the table, for instance "config/current".
type RowKey string

// RowVersion numbers the writes to one row. 0 means that the row is absent.
type RowVersion uint64

// Row is one row of the table.
type Row struct {
	Key     RowKey
	Value   []byte
	Version RowVersion
	// Txn is the transaction that last wrote the row.
	Txn TxnID
}

// Check requires a row to be at a version when a transaction commits.
type Check struct {
	Key     RowKey
	Version RowVersion
}

// Put writes one row. A nil Value deletes the row.
type Put struct {
	Key   RowKey
	Value []byte
}

// Txn is a transaction: if all checks hold, all puts take effect, else none.
type Txn struct {
	ID     TxnID
	Checks []Check
	Puts   []Put
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows that exist among keys.
	Read(ctx context.Context, keys ...RowKey) ([]Row, error)
	// Scan returns the rows whose keys start with prefix, in key order.
	Scan(ctx context.Context, prefix RowKey) ([]Row, error)
	// Commit applies txn. It returns ErrConflict if a check failed,
	// ErrUnavailable if txn certainly did not take effect, and
	// ErrOutcomeUnknown if it may have. Every row written carries txn.ID.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's store for large values.
type ObjectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	// Get returns ErrNotFound if there is no object with that name.
	Get(ctx context.Context, name string) ([]byte, error)
}

// HostKind is the role of a host on the platform's list.
type HostKind string

// The kinds of hosts on the platform's list.
const (
	HostKindEntry    HostKind = "entry"
	HostKindWorker   HostKind = "worker"
	HostKindExecutor HostKind = "executor"
)

// HostEntry is one entry of the platform's host list.
type HostEntry struct {
	Kind       HostKind
	ID         string
	Addr       string
	DataCentre DataCentreID
	Rack       RackID
	Service    ServiceName
	Leaving    bool
}

// HostList is the platform's list of live and leaving hosts. The list may be
// out of date.
type HostList interface {
	List(ctx context.Context) ([]HostEntry, error)
}

// Executor runs requests.
type Executor interface {
	// Adopt sets the term below which the executor refuses attempts, and returns
	// what the executor runs. It returns ErrStaleTerm if a higher term was set
	// before.
	Adopt(ctx context.Context, term Term) (ExecutorReport, error)
	// Run runs one attempt to its end. ErrNoSlot, ErrStaleTerm, ErrLeaving and
	// ErrUnavailable mean that the attempt certainly did not run.
	Run(ctx context.Context, term Term, a Attempt) (Answer, error)
	// ResolveOutcome asks for the outcome of an attempt whose connection failed.
	// The outcome is Done with the complete answer, NotRun if the attempt did
	// not arrive and will be refused from now on, or Unknown while it runs.
	ResolveOutcome(ctx context.Context, term Term, key RequestKey, no AttemptNo) (Answer, error)
	// Report returns what the executor currently runs.
	Report(ctx context.Context) (ExecutorReport, error)
}

// Worker runs tasks under leases.
type Worker interface {
	// Adopt sets the term below which the worker refuses grants, and returns
	// what the worker runs. It returns ErrStaleTerm if a higher term was set
	// before.
	Adopt(ctx context.Context, term Term) (WorkerReport, error)
	// Start starts a task. Starting the same attempt again has no further
	// effect.
	Start(ctx context.Context, g Grant) error
	// Renew extends the leases of all running tasks and acknowledges the end
	// of the attempts in acked.
	Renew(ctx context.Context, term Term, lease time.Duration, acked []TaskAttempt) (WorkerReport, error)
	// Stop ends an attempt at a task. It is no error if the attempt does not
	// run; the worker refuses it from then on, so that a start still in flight
	// has no effect.
	Stop(ctx context.Context, term Term, a TaskAttempt, mode StopMode) error
}

// WorkerState tells whether a worker accepts new work.
type WorkerState string

// The states of a worker.
const (
	WorkerReady   WorkerState = ""
	WorkerLeaving WorkerState = "leaving"
	// WorkerFailing workers get no tasks for a time because tasks fail on them.
	WorkerFailing WorkerState = "failing"
)

// Candidate describes a worker to a placement policy.
type Candidate struct {
	Worker     WorkerID
	DataCentre DataCentreID
	Rack       RackID
	State      WorkerState
	Capacity   Resources
	// Free is the capacity that can still be granted, by declared sizes.
	Free Resources
	// Usage is what the tasks on the worker use, as reported or learned. It is
	// zero if unknown.
	Usage Resources
	// UsedByPriority is the capacity in use by priority, which urgent work of a
	// higher priority may preempt.
	UsedByPriority []PriorityUse
	// Replicas is the number of tasks of the job in the worker's rack.
	Replicas int
	// WorkerReplicas and DataCentreReplicas are the numbers of tasks of the job
	// on the worker and in its data centre.
	WorkerReplicas     int
	DataCentreReplicas int
}

// PlacementQuery describes the task to place to a placement policy.
type PlacementQuery struct {
	// Need is the declared size, which decides where the task fits.
	Need Resources
	// Size is the learned size, which ranks workers. It is zero if unknown.
	Size Resources
	// DataCentre restricts the choice to one data centre unless it is empty.
	DataCentre DataCentreID
	// Spread asks for replicas to be separated by data centre, then by rack,
	// then by worker.
	Spread bool
}

// PlacementPolicy chooses a worker for a task.
type PlacementPolicy interface {
	// Choose returns the index of the chosen candidate, or -1 if none fits.
	Choose(query PlacementQuery, candidates []Candidate, rng *rand.Rand) int
	// ChooseByDeclaredSize is Choose for a task whose learned size is unknown and
	// whose placement is not restricted.
	ChooseByDeclaredSize(need Resources, candidates []Candidate, rng *rand.Rand) int
}

// ExecutorSlots describes an executor to an executor policy.
type ExecutorSlots struct {
	Executor ExecutorID
	// Free is the number of slots that the class of the request may take now.
	Free     int
	InFlight int
	// Service is the learned mean service time.
	Service time.Duration
}

// ExecutorPolicy chooses an executor for an attempt.
type ExecutorPolicy interface {
	// Pick returns the index of the chosen executor, or -1 if none has a free
	// slot.
	Pick(executors []ExecutorSlots, rng *rand.Rand) int
}
