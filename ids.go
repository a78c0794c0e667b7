package hoist

import "github.com/cespare/xxhash/v2"

// HostID names one entry host of the scheduler.
type HostID string

// VoterID names one voter on host leases: a host at one address. Only one
// process at a time can listen at an address, so two processes that run under
// one host id are never taken for the same voter.
type VoterID string

// VoterOf returns the voter at addr that runs as host.
func VoterOf(host HostID, addr string) VoterID {
	return VoterID(string(host) + "@" + addr)
}

// WorkerID names one worker of the platform.
type WorkerID string

// ExecutorID names one executor of a service.
type ExecutorID string

// DataCentreID names one data centre.
type DataCentreID string

// RackID names one rack inside a data centre.
type RackID string

// ServiceName names a service that executors answer requests for.
type ServiceName string

// CustomerID names the customer on whose behalf a request is made.
type CustomerID string

// TeamID names the team that a job is charged to.
type TeamID string

// JobID names one accepted job.
type JobID string

// TaskID names one task of a job.
type TaskID string

// RequestKey identifies a request over all its retries. The caller chooses it.
type RequestKey string

// AttemptNo numbers the attempts at one request, starting at 1, or at one task,
// where it only grows over all owners of the job.
type AttemptNo uint64

// TxnID identifies one transaction on the table, so that its outcome can be
// read back after a lost answer.
type TxnID string

// ChangeID identifies one change of the configuration.
type ChangeID string

// Term numbers the ownerships of one shard. It only grows.
type Term uint64

// Epoch numbers the process starts of one host. It only grows.
type Epoch uint64

// ConfigVersion numbers the accepted configurations. It only grows.
type ConfigVersion uint64

// ShardID numbers one shard of the key space, from 0 to NumShards-1.
type ShardID uint16

// NumShards is the number of shards of a cell. 256 gives each of 120 hosts at
// least two shards, so that ownership can follow the size of a host.
const NumShards = 256

// KeyKind keeps the key spaces of unlike entities apart.
type KeyKind string

// The kinds of keys that are assigned to shards.
const (
	KindWorker   KeyKind = "worker"
	KindExecutor KeyKind = "executor"
	KindTeam     KeyKind = "team"
	KindRequest  KeyKind = "request"
)

// ShardOf returns the shard that the entity of the given kind and id is in.
func ShardOf(kind KeyKind, id string) ShardID {
	return ShardID(xxhash.Sum64String(string(kind)+"/"+id) % NumShards)
}

// Digest is the xxHash64 of a body. It detects truncated and crossed answers.
type Digest uint64

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	return Digest(xxhash.Sum64(body))
}
