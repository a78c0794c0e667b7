package hoist

import (
	"context"
	"time"
)

// Member is one entry host as recorded in the table.
type Member struct {
	Host       HostID
	Epoch      Epoch
	Addr       string
	DataCentre DataCentreID
	// Weight determines the host's share of the shards, in cores.
	Weight int
	State  MemberState
	// Renewals counts the renewals of the host's lease.
	Renewals uint64
	// Electorate lists the members that the host knew when it renewed its lease.
	// Only they vote on this lease.
	Electorate []VoterID
}

// Voter returns the voter id of the member.
func (m Member) Voter() VoterID {
	return VoterOf(m.Host, m.Addr)
}

// LeaseRef identifies one renewal of one host's lease.
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
	// MemberLeft is the state of a member that has handed its shards over. Its
	// process may still answer requests in flight.
	MemberLeft MemberState = "left"
)

// HasEnded reports whether a member in this state can never again act for
// shards in the epoch of its row.
func (s MemberState) HasEnded() bool {
	return s == MemberFenced || s == MemberLeft
}

// ShardTerm is a shard with a term in which it is owned.
type ShardTerm struct {
	Shard ShardID
	Term  Term
}

// Heartbeat is the message that hosts exchange at a regular interval.
type Heartbeat struct {
	Host    HostID
	Epoch   Epoch
	Config  ConfigVersion
	Leaving bool
	// TableAge is the time since the table last answered successfully.
	TableAge time.Duration
	// Workers are the workers that the host owns. Only Delta is sent between
	// hosts; the receiver reconstructs Workers from it.
	Workers []Candidate
	Delta   WorkerDelta
	Slots   []ServiceSlots
	// Gang is the host's gang that has waited longest.
	Gang WaitingGang
}

// HeartbeatSeq numbers the heartbeats on one link. 0 means that a heartbeat
// contains nothing about workers.
type HeartbeatSeq uint64

// WorkerDelta lists the changes of a host's workers since an earlier heartbeat
// on the same link.
type WorkerDelta struct {
	Seq HeartbeatSeq
	// Base is the heartbeat to which the changes apply; 0 means that Changed
	// lists all workers.
	Base    HeartbeatSeq
	Changed []Candidate
	Removed []WorkerID
	// NeedAll, in a reply, asks for all workers.
	NeedAll bool
}

// ServiceSlots summarises the free slots of the executors of one service that
// a host owns.
type ServiceSlots struct {
	Service ServiceName
	// Quick and Patient are the numbers of free slots that each class may take.
	Quick   int
	Patient int
}

// Claim announces that a host owns shards in new terms.
type Claim struct {
	Host   HostID
	Shards []ShardTerm
}

// KeyRecord is a coordinator's record of one request key.
type KeyRecord struct {
	Key RequestKey
	// Content distinguishes the request from another one with the same key.
	Content  Digest
	IssuedAt time.Time
	// Answer is nil while the request runs.
	Answer *Answer
	// AnsweredAt is when the answer was stored.
	AnsweredAt time.Time
}

// Handover passes shards to their next owner, in the terms that the next owner
// will hold, with the request keys of these shards. Horizon is the cut-off of
// issue times: requests issued before it may have run unless Keys tells
// otherwise.
type Handover struct {
	Host    HostID
	Shards  []ShardTerm
	Keys    []KeyRecord
	Horizon time.Time
}

// Placement asks the owner of a worker to reserve capacity for a task or to
// start it.
type Placement struct {
	Worker WorkerID
	Grant  Grant
	// TeamShard and TeamTerm let the owner of the worker refuse a stale owner of
	// the job.
	TeamShard ShardID
	TeamTerm  Term
	// ReserveFreed reserves for the job the capacity that becomes free on a full
	// worker.
	ReserveFreed bool
	// Preempt lets the owner stop tasks of lower priority to free capacity.
	Preempt bool
	// IsTentative marks a tentative start: the owner stops the task again unless
	// the same attempt is reserved without IsTentative in time. The job owner does
	// that once all tasks of the job have started.
	IsTentative bool
}

// JobRef identifies one job of a team.
type JobRef struct {
	Team TeamID
	Job  JobID
}

// WaitingGang is a waiting gang with the time since which it waits.
type WaitingGang struct {
	Job   JobID
	Since time.Time
}

// WorkerTask is the status of a task on its worker.
type WorkerTask struct {
	Worker WorkerID
	Status TaskStatus
}

// SurveyReply lists the tasks of a set of team shards that run on the adopted
// workers of a host, and the ends there that are not acknowledged.
type SurveyReply struct {
	// Workers are the adopted workers.
	Workers []WorkerID
	// Unadopted are the workers that the host owns and cannot reach. It renews
	// no lease there, and no earlier owner can.
	Unadopted []WorkerID
	Tasks     []WorkerTask
}

// Placer provides the operations on workers that their owner performs for the
// owners of jobs.
type Placer interface {
	// Reserve, Start and Stop return one result for each placement. Reserve
	// reserves capacity. Start starts tasks, and reserves capacity for those
	// without a reservation. After Stop returned nil, the attempt does not run
	// and will not be started.
	Reserve(ctx context.Context, ps []Placement) []error
	Start(ctx context.Context, ps []Placement) []error
	Stop(ctx context.Context, ps []Placement, mode StopMode) []error
	// Unreserve releases reservations.
	Unreserve(ctx context.Context, ps []Placement) error
}

// Peer is another entry host.
type Peer interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// Promise asks the peer not to release the lease for one lease time.
	Promise(ctx context.Context, lease LeaseRef) (bool, error)
	// Release asks the peer to agree that the lease has expired.
	Release(ctx context.Context, lease LeaseRef) (bool, error)
	// Claim announces new terms, so that messages with stale terms are refused.
	Claim(ctx context.Context, c Claim) error
	// Handover passes the state of shards to their next owner.
	Handover(ctx context.Context, h Handover) error
	// Submit sends a request to its coordinator and waits for the answer.
	Submit(ctx context.Context, r Request) (Answer, error)
	// Dispatch sends an attempt to the owner of a free slot of the service and
	// waits for the answer.
	Dispatch(ctx context.Context, a Attempt) (Answer, error)
	SubmitJob(ctx context.Context, spec JobSpec) error
	// CancelJob cancels a job. When it returns nil, the cancellation is
	// recorded and no task of the job starts any more.
	CancelJob(ctx context.Context, ref JobRef) error
	// ShowJobs returns the jobs of a team.
	ShowJobs(ctx context.Context, team TeamID) ([]JobState, error)
	Placer
	// TaskEnded reports ended tasks to the owner of their job. It returns one
	// result for each; nil means that the end is durably recorded.
	TaskEnded(ctx context.Context, ends []WorkerTask) []error
	// Survey lists the tasks of team shards on the workers of the peer, for
	// recovery after a takeover. From then on the peer refuses placements with
	// lower terms of these shards.
	Survey(ctx context.Context, shards []ShardTerm) (SurveyReply, error)
	Config(ctx context.Context, version ConfigVersion) ([]byte, error)
	// Report returns the peer's contribution to the reports of the cell.
	Report(ctx context.Context) (HostReport, error)
}

// Ownership tells which host owns each shard. Its methods may be called
// concurrently.
type Ownership interface {
	// Self returns the id of this host.
	Self() HostID
	// Owns returns the term in which this host owns the shard, and whether it
	// may act as its owner now. Check it immediately before each action.
	Owns(shard ShardID) (Term, bool)
	// OwnerOf returns the host that owns the shard, as far as this host knows.
	OwnerOf(shard ShardID) (HostID, bool)
	// Peer returns another host.
	Peer(host HostID) (Peer, bool)
	// Peers returns all other hosts that may own shards.
	Peers() map[HostID]Peer
	// Accepts reports whether the given term of the shard's owner is not stale,
	// and remembers the term.
	Accepts(shard ShardID, term Term) bool
}

// ShardHolder keeps state for the shards that a host owns.
type ShardHolder interface {
	// Acquire starts acting for shards in their new terms. Requests issued
	// before horizon may have been run by an earlier owner, unless keys, which
	// come from a handover, tell otherwise.
	Acquire(shards []ShardTerm, keys []KeyRecord, horizon time.Time)
	// Release stops acting for shards and returns the keys to hand over.
	Release(shards []ShardID) []KeyRecord
}
