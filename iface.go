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
	// Txn is the transaction that wrote the row last.
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

// Txn is a transaction: all puts take effect if all checks hold, else none.
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
	// Get returns ErrNotFound if there is no object of that name.
	Get(ctx context.Context, name string) ([]byte, error)
}

// HostKind tells what a listed host is for.
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

// HostList is the platform's list of live and leaving hosts. It lags behind.
type HostList interface {
	List(ctx context.Context) ([]HostEntry, error)
}

// Executor is the back end that runs requests.
type Executor interface {
	// Adopt sets the term below which the executor refuses attempts, and
	// returns what it runs. It returns ErrStaleTerm if term is too low.
	Adopt(ctx context.Context, term Term) (ExecutorReport, error)
	// Run runs one attempt to its end. ErrNoSlot, ErrStaleTerm, ErrLeaving
	// and ErrUnavailable mean that it certainly did not run.
	Run(ctx context.Context, term Term, a Attempt) (Answer, error)
	// ResolveOutcome asks what became of an attempt whose connection failed. The
	// outcome is Done with the whole answer, NotRun if the attempt did not
	// arrive and will be refused from now on, or Unknown while it runs.
	ResolveOutcome(ctx context.Context, term Term, key RequestKey, no AttemptNo) (Answer, error)
	// Report returns what the executor runs now.
	Report(ctx context.Context) (ExecutorReport, error)
}

// Worker runs tasks under leases.
type Worker interface {
	// Adopt sets the term below which the worker refuses grants, and returns
	// what it runs. It returns ErrStaleTerm if term is too low.
	Adopt(ctx context.Context, term Term) (WorkerReport, error)
	// Start starts a task. A second start of the same task and attempt has no
	// further effect.
	Start(ctx context.Context, g Grant) error
	// Renew extends the leases of all running tasks and acknowledges the end
	// of the attempts in acked.
	Renew(ctx context.Context, term Term, lease time.Duration, acked []TaskAttempt) (WorkerReport, error)
	// Stop ends an attempt at a task. One that does not run is not an error;
	// the worker refuses it from then on, so that a start which is still on its
	// way has no effect.
	Stop(ctx context.Context, term Term, a TaskAttempt, mode StopMode) error
}

// WorkerState tells whether a worker takes new work.
type WorkerState string

// The states of a worker.
const (
	WorkerReady   WorkerState = ""
	WorkerLeaving WorkerState = "leaving"
	// WorkerFailing is backed off, because tasks fail on it.
	WorkerFailing WorkerState = "failing"
)

// Candidate is a worker as a placement policy sees it.
type Candidate struct {
	Worker     WorkerID
	DataCentre DataCentreID
	Rack       RackID
	State      WorkerState
	Capacity   Resources
	// Free is what can be granted, by declared sizes.
	Free Resources
	// Usage is what the tasks on the worker take, as reported or learned. It
	// is zero if unknown.
	Usage Resources
	// Lower is what tasks hold there, by priority, for urgent work.
	Lower []PriorityUse
	// Replicas is how many tasks of the job run in the worker's rack.
	Replicas int
	// WorkerReplicas and DataCentreReplicas are how many of them run on the
	// worker and in its data centre.
	WorkerReplicas     int
	DataCentreReplicas int
}

// PlacementQuery is what a placement policy knows about the task to place.
type PlacementQuery struct {
	// Need is the declared size; it decides where the task fits.
	Need Resources
	// Size is the learned size; it ranks workers. It is zero if unknown.
	Size Resources
	// DataCentre limits the choice unless empty.
	DataCentre DataCentreID
	// Spread keeps replicas apart, by data centre, then rack, then worker.
	Spread bool
}

// PlacementPolicy chooses a worker for a task.
type PlacementPolicy interface {
	// Choose returns the index of the chosen candidate, or -1 if none fits.
	Choose(ask PlacementQuery, candidates []Candidate, rng *rand.Rand) int
	// Pick is Choose for a task of which only the declared size is known.
	Pick(need Resources, candidates []Candidate, rng *rand.Rand) int
}

// SlotView is an executor as an executor policy sees it.
type SlotView struct {
	Executor ExecutorID
	// Free is how many slots the class of the request may take now.
	Free     int
	InFlight int
	// Service is the learned mean service time.
	Service time.Duration
}

// ExecutorPolicy chooses an executor for an attempt.
type ExecutorPolicy interface {
	// Pick returns the index of the chosen executor, or -1 if none is free.
	Pick(views []SlotView, rng *rand.Rand) int
}
