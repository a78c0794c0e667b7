package hoist

import "github.com/cespare/xxhash/v2"

// HostID identifies one entry host of the scheduler.
type HostID string

// VoterID identifies one voter on host leases: a host at one address. Only one
// process at a time can listen at an address, so two processes that run under
// the same host id are always different voters.
type VoterID string

// VoterOf returns the id of the voter that runs as host at addr.
func VoterOf(host HostID, addr string) VoterID {
	return VoterID(string(host) + "@" + addr)
}

// WorkerID identifies one worker of the platform.
type WorkerID string

// ExecutorID identifies one executor of a service.
type ExecutorID string

// DataCentreID identifies one data centre.
type DataCentreID string

// RackID identifies one rack in a data centre.
type RackID string

// ServiceName names a service that executors answer requests for.
type ServiceName string

// CustomerID identifies the customer on whose behalf a request is made.
type CustomerID string

// TeamID identifies the team that a job is charged to.
type TeamID string

// JobID identifies one accepted job.
type JobID string

// TaskID identifies one task of a job.
type TaskID string

// RequestKey identifies a request over all its retries. The caller chooses it.
type RequestKey string

// AttemptNo numbers the attempts at one request or one task. For a request it
// starts at 1. For a task it only increases, across all owners of the job.
type AttemptNo uint64

// TxnID identifies one transaction on the table, so that its outcome can be
// read back after a lost answer.
type TxnID string

// ChangeID identifies one change of the configuration.
type ChangeID string

// Term numbers the successive ownerships of one shard. It only increases.
type Term uint64

// FencingToken is part of each request to a worker. A worker refuses requests with a lower
// token than the highest one that it has seen since it started.
type FencingToken uint64

// TokensPerTerm is how many tokens the owner of a cell has in its term. The last of them equals
// the term: owners of earlier versions use that as their token, so that the terms which
// follow theirs, and those which they claim, have higher tokens.
const TokensPerTerm = 1 << 14

// FirstToken returns the lowest token of a term. Terms below TokensPerTerm are of earlier builds,
// which have one token each.
func FirstToken(t Term) FencingToken {
	if t < TokensPerTerm {
		return FencingToken(t)
	}
	return FencingToken(t - TokensPerTerm + 1)
}

// Epoch numbers the process starts of one host. It only increases.
type Epoch uint64

// ConfigVersion numbers the accepted configurations. It only increases.
type ConfigVersion uint64

// ShardID numbers one shard of the key space, from 0 to NumShards-1.
type ShardID uint16

// NumShards is the number of shards of a cell. 256 gives each of 120 hosts at
// least two shards, so that ownership can follow the size of a host.
const NumShards = 256

// KeyKind separates the key spaces of different kinds of entities.
type KeyKind string

// The kinds of keys that are assigned to shards.
const (
	KindWorker   KeyKind = "worker"
	KindExecutor KeyKind = "executor"
	KindTeam     KeyKind = "team"
	KindRequest  KeyKind = "request"
)

// ShardOf returns the shard that contains the entity of the given kind and id.
func ShardOf(kind KeyKind, id string) ShardID {
	return ShardID(xxhash.Sum64String(string(kind)+"/"+id) % NumShards)
}

// Digest is the xxHash64 of a body. It detects truncated answers and answers
// to another request.
type Digest uint64

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	return Digest(xxhash.Sum64(body))
}
