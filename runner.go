package hoist

import (
	"context"
	"crypto/sha256"
	"time"
)

// StartRequest asks a worker to start an attempt.
type StartRequest struct {
	Run     TaskRun
	Token   FencingToken
	Payload string
	// Lease is when the lease of all attempts on the worker expires, on the
	// worker's clock. A worker refuses a start whose lease is past.
	Lease  WorkerClock
	Saved  Checkpoint
	Ticket Ticket
}

// PollRequest renews the lease of a worker and asks for a report.
type PollRequest struct {
	Token FencingToken
	// Acked is the last end that is acknowledged, so that the worker may discard
	// it and all earlier ones; 0 acknowledges none.
	Acked EndNo
	// Incarnation is the incarnation of the worker that listed the acknowledged ends. If
	// another one answered the last poll that enabled acknowledgements, the poll fails with
	// ErrUnavailable; 0 is not compared.
	Incarnation Incarnation
	// EnablesAcks tells that later polls may acknowledge ends over the
	// connection of this one.
	EnablesAcks bool
	// Lease is when the lease of all attempts on the worker expires, on the
	// worker's clock; 0 leaves the lease unchanged.
	Lease WorkerClock
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Runner is a worker that runs the tasks of plans. Its methods may be called
// concurrently. Their errors are ErrUnavailable or ErrNotListening if the
// request certainly had no effect, ErrOutcomeUnknown if it may still take
// effect, ErrStaleTerm if the worker has received a higher token, and
// ErrReplaced if a different worker answers at the address.
type Runner interface {
	// Start starts an attempt and returns the worker's clock, or UnknownClock if no
	// answer told it. Besides the errors above it returns ErrConflict if this or a later
	// attempt has ended there, ErrNoCapacity, ErrLeaseExpired, ErrTicket, and ErrInvalid.
	Start(ctx context.Context, r StartRequest) (WorkerClock, error)
	// Stop ends an attempt. If the attempt has not arrived yet, the worker
	// refuses it from then on.
	Stop(ctx context.Context, run TaskRun, token FencingToken) error
	// Poll renews the lease and returns what runs and what ended. Ends are
	// acknowledged only over the connection on which the last poll was answered:
	// a worker that has restarted numbers its ends from the beginning again, and
	// would discard new ends in place of old ones. If that connection is closed,
	// Poll fails, with ErrUnavailable if this was known before the request was
	// sent. Only one poll at a time may acknowledge ends or set EnablesAcks.
	Poll(ctx context.Context, r PollRequest) (RunnerReport, error)
	// Throttle limits a task to a share of its full speed.
	Throttle(ctx context.Context, run TaskRun, token FencingToken, share Percent) error
	// Close closes the connections that are not in use. Calls in progress go on.
	Close()
}

// Relay is another host that calls workers on behalf of the owner of the cell. Its
// methods may be called concurrently.
type Relay interface {
	// Runner returns a client that calls a worker through the relay. If the relay
	// cannot be reached, its methods return ErrUnavailable if the call certainly was
	// not passed on, and ErrOutcomeUnknown if it may be.
	Runner(e WorkerEntry) Runner
	// Ping returns nil if the relay works, and ErrLeaving if it is about to stop.
	Ping(ctx context.Context) error
	Close()
}

// Advice is an adviser's answer about the workers in a request.
type Advice struct {
	// Tickets maps the workers that may run the step to their tickets.
	Tickets map[WorkerID]Ticket
	// ValidFor is how long the tickets stay valid from now on.
	ValidFor time.Duration
}

// Adviser knows which workers may run a step. It answers the calls of one host
// one after the other; ErrOverLimit means that too many calls wait. If it is called
// through another host, ErrLeaving means that this host is about to stop, and
// ErrNotListening that its process has ended.
type Adviser interface {
	Advise(ctx context.Context, step StepRef, workers []WorkerID) (Advice, error)
}

// WorkerChanges lists the changes in the platform's registry of workers.
type WorkerChanges struct {
	// IsAll tells that Changed lists all workers.
	IsAll   bool
	Changed []WorkerEntry
	Removed []WorkerID
	// Next is the version from which to continue.
	Next RowVersion
}

// Registry is the platform's registry of workers.
type Registry interface {
	// Workers waits up to wait for changes after a version; 0 asks for all
	// workers. It returns ErrHistoryLost like Store.Changes.
	Workers(ctx context.Context, after RowVersion, wait time.Duration) (WorkerChanges, error)
}

// QueueConfig is one version of the configuration of the queues.
type QueueConfig struct {
	Version ConfigVersion
	Queues  []QueueEntry
	// Services names the services that workers can belong to.
	Services []ServiceName
	// Teams are the teams that may submit plans. NeedsKeys tells that a call to a queue
	// that is not public must carry the key of one of them. No key belongs to two teams.
	Teams     []TeamConfig
	NeedsKeys bool
	// Invalid lists the parts of the entries of teams that are left out.
	Invalid []InvalidTeam
	// Limits are what a request of a client must keep.
	Limits RequestLimits
}

// RequestLimits are what a request of a client must keep. 0 leaves the default.
type RequestLimits struct {
	// MaxBody and MaxHeader are in bytes.
	MaxBody, MaxHeader int
	// HeaderTimeout bounds the time until the header has arrived, and IdleTimeout that
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// InvalidTeam describes a part of the configuration of a team that breaks the rules and
// is left out. It never contains a key.
type InvalidTeam struct {
	Team TeamID
	// Field is the name of the field in the operators' configuration.
	Field   string
	Problem string
}

// KeyHash is the SHA-256 hash of a team's key. The zero value stands for no key.
type KeyHash [sha256.Size]byte

// TeamConfig is the configuration of one team.
type TeamConfig struct {
	Team TeamID
	// Keys are the hashes of the keys that identify the team's calls.
	Keys []KeyHash
	// Weight is the team's relative share of the capacity when all of it is in use, and
	// the rate of plans, per second, that the team is entitled to.
	Weight float64
	// Quota bounds what the team may have running on all workers together. A component
	// of 0 means that the resource is not limited.
	Quota Resources
}

// QueueEntry is a queue with the address at which plans are submitted to it.
type QueueEntry struct {
	Queue
	// HostName and the path prefix Prefix select the queue of a submission.
	HostName string
	Prefix   string
	// IsPublic tells that calls need no key.
	IsPublic bool
}

// QueueSource provides the operators' configuration of the queues.
type QueueSource interface {
	// Config waits up to wait for a configuration after a version of the store;
	// 0 asks for the current one. It returns a configuration of version 0 if
	// nothing changed, and ErrHistoryLost like Store.Changes.
	Config(ctx context.Context, after RowVersion, wait time.Duration) (QueueConfig, RowVersion, error)
}

// PlanCaller tells on whose behalf calls about plans are made.
type PlanCaller struct {
	// Team is the team that submitted plans are charged to, or empty if there is none.
	Team TeamID
	// IsLimited tells that plans of other teams cannot be reached.
	IsLimited bool
}

// MayReach reports whether the caller may see and cancel a plan of a team. A plan
// without a team was recorded before there were teams, and everyone may reach it.
func (c PlanCaller) MayReach(team TeamID) bool {
	return !c.IsLimited || team == "" || team == c.Team
}

// PlanService accepts and shows plans, independently of the front end. Its
// methods may be called concurrently.
type PlanService interface {
	// Queue returns the queue for a submission. It returns ErrNotFound if the
	// configuration has no such queue, and ErrUnavailable before a configuration
	// was received.
	Queue(hostName, path string) (QueueEntry, error)
	// Authorize returns the calls that the holder of a key may make to a queue. It
	// returns ErrDenied if the queue needs a key and this one is unknown, and
	// ErrUnavailable if the configuration is too old to tell.
	Authorize(queue QueueEntry, key KeyHash) (PlanCalls, error)
}

// PlanCalls are the calls of an authorized caller. They return ErrOtherTeam for a plan
// of another team.
type PlanCalls interface {
	// Submit returns nil when the plan is recorded, ErrUnavailable if it is not
	// recorded and never will be, and ErrOutcomeUnknown if it may be.
	Submit(ctx context.Context, p Plan) error
	// Phase returns the phase of a plan of a queue, or ErrNotFound.
	Phase(ctx context.Context, queue QueueName, id JobID) (PlanPhase, error)
	// Cancel returns nil when the cancellation is recorded or the plan is in a
	// final phase.
	Cancel(ctx context.Context, queue QueueName, id JobID) error
	// Waiting returns the number of plans of a queue that have not begun.
	Waiting(ctx context.Context, queue QueueName) (int, error)
}

// PlanBacklog is how much the owner of a cell holds.
type PlanBacklog struct {
	// OpenTasks is the number of tasks, done ones of unfinished plans included.
	OpenTasks int
	// DelayedOccurrences is the number of occurrences that are due and wait because of the
	// limits of the owner.
	DelayedOccurrences int
	// Quarantined is the number of plans that are not handled.
	Quarantined int
	// Reservations is the number of long-running tasks that have reserved room, and ReservedCPU
	// how much.
	Reservations int
	ReservedCPU  MilliCPU
}

// PlanMetrics counts the actions of the owner of a cell for metrics. Its
// methods may be called concurrently.
type PlanMetrics interface {
	// RecordStart counts a start by its outcome: started, refused or unknown.
	RecordStart(outcome string)
	RecordEnd(kind EndKind)
	// RecordPresumedEnd counts an attempt that counts as ended although no worker
	// listed its end, by the reason.
	RecordPresumedEnd(reason string)
	// RecordLateSign counts an attempt that counted as ended, by the reason, and that a
	// worker lists afterwards: as running, or with how it ended.
	RecordLateSign(reason, state string)
	// RecordRestart counts a restart of a worker under its id, by what showed it.
	RecordRestart(sign string)
	// RecordNearWaits counts steps that waited for a placement near their data or on one
	// rack: those that began to, and those that ended near and remote.
	RecordNearWaits(begun, near, remote uint64)
	// ObserveWait records the time from the acceptance of a plan to its first start.
	ObserveWait(queue QueueName, d time.Duration)
	// SetBacklog records what the owner holds.
	SetBacklog(b PlanBacklog)
	// SetTeams records what the owner knows of the teams that have jobs.
	SetTeams(teams []TeamUsage)
	// SetTaskWaits records the long-running tasks without a run, by what they wait for. nil
	// means that there are none, or that the host is no longer the owner.
	SetTaskWaits(waits []TaskWaits)
}
