// Package events defines the log events of the daemons. Each event has a fixed
// number, level and message. docs/EVENTS.md lists them, and a test checks that the
// two agree.
//
// # Usage
//
//	events.ShardsClaimed.Log(ctx, logger, "shards", len(claimed))
//
// The record carries the number as the attribute "event".
package events

import (
	"context"
	"log/slog"
)

// Event describes one kind of log record.
type Event struct {
	Number  int
	Level   slog.Level
	Message string
}

// Log writes a record of the event with the given attributes. With a nil logger
// it does nothing.
func (e Event) Log(ctx context.Context, logger *slog.Logger, args ...any) {
	if logger == nil {
		return
	}
	logger.Log(ctx, e.Level, e.Message, append([]any{"event", e.Number}, args...)...)
}

// Events of membership and ownership: 100 to 199.
var (
	Joined                  = register(100, slog.LevelInfo, "joined the cell")
	JoinWaiting             = register(101, slog.LevelInfo, "waiting for the lease of an earlier process to expire")
	RenewalFailed           = register(102, slog.LevelWarn, "lease renewal at the table failed")
	LeaseExtendedByPromises = register(103, slog.LevelWarn, "lease extended by promises of a majority")
	LeaseExpired            = register(104, slog.LevelError, "lease expired; this host grants nothing")
	Fenced                  = register(105, slog.LevelError, "fenced by another host; starting a new epoch")
	MemberLeaseExpired      = register(106, slog.LevelWarn, "lease of a member expired")
	MemberFenced            = register(107, slog.LevelWarn, "fenced a member whose lease expired")
	ReleaseRefused          = register(108, slog.LevelInfo, "too few releases to fence a member whose lease expired")
	ShardsClaimed           = register(109, slog.LevelInfo, "claimed shards")
	ShardsHandedOver        = register(110, slog.LevelInfo, "handed shards over")
	ShardsLost              = register(111, slog.LevelWarn, "lost shards")
	PeerUnreachable         = register(112, slog.LevelWarn, "heartbeat to a member failed")
	Left                    = register(113, slog.LevelInfo, "left the cell")
	RowUnreadable           = register(114, slog.LevelError, "row of the table cannot be decoded")

	FencedByOperator       = register(115, slog.LevelWarn, "fenced a member at the operator's request, without a vote")
	ClaimFailed            = register(116, slog.LevelWarn, "shards could not be claimed")
	HandoverWriteFailed    = register(117, slog.LevelWarn, "shards could not be handed over")
	HandoverUndelivered    = register(118, slog.LevelWarn, "handover did not reach the new owner")
	FenceFailed            = register(119, slog.LevelWarn, "member whose lease expired could not be fenced")
	LeaveFailed            = register(120, slog.LevelWarn, "leaving the cell could not be recorded")
	OwnershipClaimed       = register(121, slog.LevelInfo, "claimed ownership of the cell")
	OwnerUnresponsive      = register(126, slog.LevelWarn, "owner of the cell does not answer")
	OwnershipLost          = register(122, slog.LevelWarn, "no longer the owner of the cell")
	StoreUnavailable       = register(123, slog.LevelWarn, "store is unavailable")
	StoreRecovered         = register(124, slog.LevelInfo, "store recovered")
	AdviserHostUnreachable = register(125, slog.LevelWarn, "adviser host cannot be reached")
	FormerOwnerAnswered    = register(127, slog.LevelInfo, "former owner of the cell told when its leases end")
)

// Events of executors and requests: 200 to 299.
var (
	ExecutorAdopted     = register(200, slog.LevelInfo, "adopted an executor")
	ExecutorUnreachable = register(201, slog.LevelWarn, "executor cannot be reached")
	ExecutorLeaving     = register(202, slog.LevelInfo, "executor is leaving")
	AttemptUnresolved   = register(203, slog.LevelWarn, "outcome of an attempt is unknown")
	AttemptResolved     = register(205, slog.LevelInfo, "an attempt of unknown outcome has ended and its slot is free")
	RequestRecordFailed = register(206, slog.LevelWarn, "row of an accepted request could not be written or read")
	RequestsUndrained   = register(204, slog.LevelError, "requests still in flight at the end of the drain time")
)

// Events of workers and jobs: 300 to 399.
var (
	WorkerAdopted       = register(300, slog.LevelInfo, "adopted a worker")
	WorkerUnreachable   = register(301, slog.LevelWarn, "worker cannot be reached")
	WorkerLeaving       = register(302, slog.LevelInfo, "worker is leaving")
	JobAccepted         = register(303, slog.LevelInfo, "accepted a job")
	JobEnded            = register(304, slog.LevelInfo, "job ended")
	TaskFailed          = register(305, slog.LevelWarn, "task failed")
	JobsRecovered       = register(306, slog.LevelInfo, "recovered jobs from the table")
	ProgressWriteFailed = register(307, slog.LevelWarn, "progress of jobs could not be written")
	JobLate             = register(308, slog.LevelWarn, "job has missed its deadline or will miss it")
	JobUnplaceable      = register(309, slog.LevelWarn, "job can never run in this cell")
	JobCancelled        = register(310, slog.LevelInfo, "cancelled a job")
	GangReserving       = register(311, slog.LevelInfo, "waiting gang reserves capacity")
	TaskPreempted       = register(312, slog.LevelInfo, "preempted a task for urgent work")
	TaskSlow            = register(313, slog.LevelWarn, "task runs far longer than expected")
	WorkerTimedOut      = register(314, slog.LevelWarn, "worker is lost; its tasks are waiting again")
	StartOutcomeUnknown = register(315, slog.LevelWarn, "outcome of a start is unknown")
	SurveyWaiting       = register(316, slog.LevelWarn, "jobs wait for workers that cannot be surveyed")
	TaskOrphaned        = register(317, slog.LevelWarn, "stopped an orphaned task, or a task of a gang that did not start as a whole")
	TaskMissing         = register(318, slog.LevelWarn, "worker does not run a task that was placed on it")
)

// Events of the daemon: 400 to 499.
var (
	Started  = register(400, slog.LevelInfo, "daemon started")
	Stopping = register(401, slog.LevelInfo, "daemon is stopping")
	Stopped  = register(402, slog.LevelInfo, "daemon stopped")
	Reloaded = register(404, slog.LevelInfo, "settings were reloaded")

	ReloadFailed = register(405, slog.LevelWarn, "settings could not be reloaded; the previous settings stay in force")
	LinesDropped = register(408, slog.LevelWarn, "log lines dropped")
	Panicked     = register(409, slog.LevelError, "panic; the piece of work is given up")
	HostReady    = register(406, slog.LevelInfo, "host accepts new callers")
	HostNotReady = register(407, slog.LevelWarn, "host accepts no new callers")

	ClientsRefused = register(420, slog.LevelWarn, "clients were refused or their connections closed")
	AcceptFailed   = register(421, slog.LevelWarn, "connection could not be accepted; accepting is tried again")
)

// DeployFailed is logged for each service of the configuration whose job could
// not be submitted or cancelled; the change is retried.
var DeployFailed = register(403, slog.LevelWarn, "job of a configured service could not be submitted or cancelled")

// Events of plans: 600 to 699.
var (
	PlanAccepted         = register(600, slog.LevelInfo, "accepted a plan")
	PlanRefused          = register(601, slog.LevelWarn, "plan was not accepted")
	PlanOutcomeUnknown   = register(602, slog.LevelWarn, "outcome of accepting a plan is unknown")
	PlanEnded            = register(603, slog.LevelInfo, "plan ended")
	PlanCancelRecorded   = register(604, slog.LevelInfo, "recorded the cancellation of a plan")
	PlansRecovered       = register(605, slog.LevelInfo, "recovered the plans of the cell")
	RunStarted           = register(606, slog.LevelInfo, "worker started a task")
	RunRefused           = register(607, slog.LevelWarn, "worker refused a start")
	RunOutcomeUnknown    = register(608, slog.LevelWarn, "outcome of a start is unknown; the attempt is stopped")
	RunEnded             = register(609, slog.LevelInfo, "attempt at a task ended")
	RunStopped           = register(610, slog.LevelInfo, "worker answered the stop of an attempt")
	RunStopFailed        = register(611, slog.LevelWarn, "worker did not answer the stop of an attempt")
	WorkerUnresponsive   = register(612, slog.LevelWarn, "worker does not answer polls")
	WorkerResponsive     = register(613, slog.LevelInfo, "worker answers polls")
	AdviceReceived       = register(614, slog.LevelInfo, "adviser named the workers that may run a step")
	AdviceFailed         = register(615, slog.LevelWarn, "adviser did not answer")
	PlanStateWriteFailed = register(616, slog.LevelWarn, "states of plans could not be written to the store")
	PlanUnreadable       = register(617, slog.LevelError, "plan cannot be decoded and is skipped")
	PlanQueryFailed      = register(618, slog.LevelWarn, "query or cancellation of a plan could not be answered")
	PlanDuplicate        = register(620, slog.LevelInfo, "plan was accepted in two parts of the store; one is removed")
	PlanQuarantined      = register(621, slog.LevelError, "plan is quarantined")
	PlanReleased         = register(622, slog.LevelInfo, "plan is released from quarantine")
	OccurrencesDelayed   = register(623, slog.LevelWarn, "occurrences that are due wait, as too many tasks are open")
	OccurrencesResumed   = register(624, slog.LevelInfo, "no occurrence that is due waits any more")
	QuarantineFailed     = register(625, slog.LevelWarn, "quarantine of a plan could not be recorded, released or dropped")
	WorkerEntryInvalid   = register(626, slog.LevelWarn, "registry entry is not valid; it names no worker to use")
	RelayLost            = register(627, slog.LevelWarn, "relay does not work; its workers move to others")
	RelaysChanged        = register(628, slog.LevelInfo, "workers were assigned to relays")
	RunPresumedEnded     = register(629, slog.LevelWarn, "attempt counts as ended although no worker listed its end")
	RunMissing           = register(630, slog.LevelWarn, "worker no longer lists an attempt that it had confirmed; the attempt is stopped")
	RunStillRunning      = register(631, slog.LevelWarn, "attempt that counted as ended still runs; it is stopped")
	RunEndedLate         = register(632, slog.LevelWarn, "worker listed the end of an attempt that had counted as ended")
	CheckpointsOmitted   = register(633, slog.LevelWarn, "state of a plan is recorded without some checkpoints, as it would not fit into a row")
	WorkerRestarted      = register(634, slog.LevelInfo, "worker has restarted under its id")
	AccountWriteFailed   = register(635, slog.LevelWarn, "lease account could not be written to the store")
	TaskWithoutRun       = register(636, slog.LevelWarn, "long-running task is without a run")
	TaskRunsAgain        = register(637, slog.LevelInfo, "long-running task runs again")
)

// Events of teams: 640 to 659.
var (
	TeamAtQuota      = register(640, slog.LevelInfo, "jobs of a team wait for its quota")
	TeamBelowQuota   = register(641, slog.LevelInfo, "no job of a team waits for its quota any more")
	TeamBeyondRate   = register(642, slog.LevelInfo, "jobs of a team are beyond its rate and wait behind all others")
	TeamWithinRate   = register(643, slog.LevelInfo, "no waiting job of a team is beyond its rate any more")
	TeamJobsTooLarge = register(644, slog.LevelWarn, "gangs of a team need more than its whole quota and cannot start")
	TeamsUnknown     = register(645, slog.LevelWarn, "jobs of teams wait until the configuration can be read")
	TeamsKnown       = register(646, slog.LevelInfo, "configuration of the teams was read")
)

// Events of the configuration: 500 to 599.
var (
	ConfigAccepted    = register(500, slog.LevelInfo, "accepted a configuration")
	ConfigInForce     = register(501, slog.LevelInfo, "configuration is in force on this host")
	ConfigReadFailed  = register(502, slog.LevelWarn, "configuration could not be read from the table")
	ConfigFetchFailed = register(503, slog.LevelWarn, "configuration could not be fetched from a host")
	ConfigTooOld      = register(504, slog.LevelWarn, "configuration is too old to accept keys; calls that need one are refused")
	ConfigConfirmed   = register(505, slog.LevelInfo, "configuration is new enough to accept keys")
	ConfigTeamInvalid = register(506, slog.LevelWarn, "part of the entry of a team is not valid and is left out")
)

var all []Event

// All returns every registered event, in the order of registration.
func All() []Event {
	return all
}

func register(number int, level slog.Level, message string) Event {
	e := Event{number, level, message}
	all = append(all, e)
	return e
}
