package hoist

import (
	"context"
	"time"
)

// Member is one entry host as the table knows it.
type Member struct {
	Host       HostID
	Epoch      Epoch
	Addr       string
	DataCentre DataCentreID
	// Weight is the share of shards the host takes, in cores.
	Weight int
	State  MemberState
	// Renewals counts the renewals of the host's lease.
	Renewals uint64
	// Electorate lists the members that the host knew when it renewed. Only
	// they vote on this host's lease.
	Electorate []VoterID
}

// Voter returns the voter that the member is.
func (m Member) Voter() VoterID {
	return VoterOf(m.Host, m.Addr)
}

// LeaseRef names one renewal of one host's lease.
type LeaseRef struct {
	Host     HostID
	Epoch    Epoch
	Renewals uint64
}

// MemberState tells whether a member may own shards.
type MemberState string

// The states of a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
	MemberFenced  MemberState = "fenced"
	// MemberLeft is the state of a member that handed its shards over. Its
	// process may still answer what is in flight.
	MemberLeft MemberState = "left"
)

// HasEnded reports whether a member in the state can never again act for shards
// in the epoch of its row.
func (s MemberState) HasEnded() bool {
	return s == MemberFenced || s == MemberLeft
}

// ShardTerm names a shard and the term in which it is owned.
type ShardTerm struct {
	Shard ShardID
	Term  Term
}

// Heartbeat is what hosts tell each other regularly.
type Heartbeat struct {
	Host    HostID
	Epoch   Epoch
	Config  ConfigVersion
	Leaving bool
	// TableAge is the time since the last successful answer of the table.
	TableAge time.Duration
	// Workers are the workers that the host owns. Between hosts only Delta
	// travels; the receiver puts Workers together from it.
	Workers []Candidate
	Delta   WorkerDelta
	Slots   []ServiceSlots
	// Gang is the all-at-once job of the host that has waited longest.
	Gang WaitingGang
}

// HeartbeatSeq numbers the heartbeats on one link. 0 means that a heartbeat says
// nothing about workers.
type HeartbeatSeq uint64

// WorkerDelta is what changed about a host's workers since an earlier heartbeat
// on the same link.
type WorkerDelta struct {
	Seq HeartbeatSeq
	// Base is the heartbeat that the changes follow; 0 means that Changed
	// lists all workers.
	Base    HeartbeatSeq
	Changed []Candidate
	Gone    []WorkerID
	// NeedAll, in a reply, asks for all workers.
	NeedAll bool
}

// ServiceSlots summarises the free slots of the executors of one service that
// a host owns.
type ServiceSlots struct {
	Service ServiceName
	// Quick and Patient are the free slots that each class may take.
	Quick   int
	Patient int
}

// Claim announces that a host owns shards in new terms.
type Claim struct {
	Host   HostID
	Shards []ShardTerm
}

// KeyRecord is what a coordinator knows about one request key.
type KeyRecord struct {
	Key RequestKey
	// Content tells the request from another one under the same key.
	Content  Digest
	IssuedAt time.Time
	// Answer is nil while the request runs.
	Answer *Answer
	// AnsweredAt is when the answer was stored.
	AnsweredAt time.Time
}

// Handover passes shards to their next owner, in the terms that the next owner
// will hold, with the request keys of these shards and their horizon.
type Handover struct {
	Host    HostID
	Shards  []ShardTerm
	Keys    []KeyRecord
	Horizon time.Time
}

// Placement asks the owner of a worker to hold capacity for a task, then to
// start it.
type Placement struct {
	Worker WorkerID
	Grant  Grant
	// TeamShard and TeamTerm let the owner refuse an outdated job owner.
	TeamShard ShardID
	TeamTerm  Term
	// Hold keeps what becomes free on a full worker for the job.
	Hold bool
	// Preempt lets the owner stop tasks of lower priority to make room.
	Preempt bool
	// Trial lets the owner stop the task again unless the same attempt is
	// reserved without it in time, when all tasks of the job have started.
	Trial bool
}

// JobRef names one job of a team.
type JobRef struct {
	Team TeamID
	Job  JobID
}

// WaitingGang names an all-at-once job that waits, and since when.
type WaitingGang struct {
	Job   JobID
	Since time.Time
}

// WorkerTask is a task on its worker.
type WorkerTask struct {
	Worker WorkerID
	Status TaskStatus
}

// SurveyReply lists what the adopted workers of a host run for a set of team
// shards, and what ended there without being acknowledged.
type SurveyReply struct {
	// Workers are the adopted workers.
	Workers []WorkerID
	// Unadopted are the workers that the host owns and cannot reach: it renews
	// no lease there, and no earlier owner can.
	Unadopted []WorkerID
	Tasks     []WorkerTask
}

// Placer is what the owner of workers does for the owners of jobs.
type Placer interface {
	// Reserve, Start and Stop return one result for each placement. Reserve
	// holds capacity, Start starts tasks and reserves for those without a
	// reservation. After Stop returned nil, the attempt does not run and will
	// not be started.
	Reserve(ctx context.Context, ps []Placement) []error
	Start(ctx context.Context, ps []Placement) []error
	Stop(ctx context.Context, ps []Placement, mode StopMode) []error
	// Unreserve gives reservations back.
	Unreserve(ctx context.Context, ps []Placement) error
}

// Peer is another entry host.
type Peer interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// Promise asks the peer not to release the lease for one lease time.
	Promise(ctx context.Context, lease LeaseRef) (bool, error)
	// Release asks the peer to agree that the lease has lapsed.
	Release(ctx context.Context, lease LeaseRef) (bool, error)
	// Claim announces new terms, so that outdated messages are refused.
	Claim(ctx context.Context, c Claim) error
	// Handover passes the state of shards to their next owner.
	Handover(ctx context.Context, h Handover) error
	// Submit hands a request to its coordinator and waits for the answer.
	Submit(ctx context.Context, r Request) (Answer, error)
	// Dispatch hands an attempt to the owner of a free slot of the service.
	Dispatch(ctx context.Context, a Attempt) (Answer, error)
	SubmitJob(ctx context.Context, spec JobSpec) error
	// CancelJob cancels a job. When it returns nil, the cancellation is
	// recorded and no task of the job starts any more.
	CancelJob(ctx context.Context, ref JobRef) error
	// ShowJobs returns the jobs of a team.
	ShowJobs(ctx context.Context, team TeamID) ([]JobState, error)
	Placer
	// TaskEnded tells a job's owner that tasks ended. It returns one result for
	// each; nil means that the end is recorded for good.
	TaskEnded(ctx context.Context, ends []WorkerTask) []error
	// Survey lists the tasks of team shards on the workers of the peer. From
	// then on the peer refuses placements of lower terms of these shards.
	Survey(ctx context.Context, shards []ShardTerm) (SurveyReply, error)
	Config(ctx context.Context, version ConfigVersion) ([]byte, error)
	// Report returns what the peer contributes to the reports of the cell.
	Report(ctx context.Context) (HostReport, error)
}

// Ownership tells which host owns which shard. Its methods may be called
// concurrently.
type Ownership interface {
	// Self returns the id of this host.
	Self() HostID
	// Owns returns the term in which this host owns the shard, and whether it
	// may act as its owner at this moment. Check it right before each action.
	Owns(shard ShardID) (Term, bool)
	// OwnerOf returns the host that owns the shard, as far as this host knows.
	OwnerOf(shard ShardID) (HostID, bool)
	// Peer returns another host.
	Peer(host HostID) (Peer, bool)
	// Peers returns all other hosts that may own shards.
	Peers() map[HostID]Peer
	// Accepts reports whether a message of the shard's owner with the given
	// term is not outdated, and remembers the term.
	Accepts(shard ShardID, term Term) bool
}

// ShardHolder keeps state for the shards that a host owns.
type ShardHolder interface {
	// Acquire starts to act for shards in their new terms. Requests issued
	// before horizon may have been run by an earlier owner, unless keys, which
	// a handover brought, tell otherwise.
	Acquire(shards []ShardTerm, keys []KeyRecord, horizon time.Time)
	// Release stops acting for shards and returns the keys to hand over.
	Release(shards []ShardID) []KeyRecord
}
