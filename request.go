package hoist

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Class determines how long a request can wait.
type Class string

// The classes of requests.
const (
	// Quick requests are interactive: a person waits for the answer.
	Quick Class = "quick"
	// Patient requests are batch work; they wait for free slots.
	Patient Class = "patient"
	// Watch requests hold a connection for hours and receive updates.
	Watch Class = "watch"
)

// IsValid reports whether c is one of the defined classes.
func (c Class) IsValid() bool {
	return c == Quick || c == Patient || c == Watch
}

// Request is one request of a caller.
type Request struct {
	Key        RequestKey
	Customer   CustomerID
	Service    ServiceName
	Class      Class
	Idempotent bool
	// FirstTry tells that every earlier try of the caller under this key was
	// answered as not run. It is false if the caller does not specify it.
	FirstTry bool
	// IssuedAt is the time of the caller's first try that was not answered as
	// not run.
	IssuedAt time.Time
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	Body     []byte
	// NoWait asks for an answer of Accepted once the request is durably
	// recorded; the caller polls for the outcome.
	NoWait bool
}

// Content returns the digest of everything in the request except its key and
// its times. Two requests with the same key and different content are
// different requests.
func (r Request) Content() Digest {
	head := make([]byte, 0, 128)
	for _, field := range []string{string(r.Customer), string(r.Service), string(r.Class)} {
		// The length prefix keeps adjacent fields distinct.
		head = strconv.AppendInt(head, int64(len(field)), 10)
		head = append(head, '/')
		head = append(head, field...)
	}
	head = strconv.AppendBool(head, r.Idempotent)
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash do not fail.
	_, _ = d.Write(head)
	_, _ = d.Write(r.Body)
	return Digest(d.Sum64())
}

// Outcome tells a caller whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the request ran and the answer is complete.
	Done Outcome = "done"
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "not-run"
	// Accepted means that the request is recorded and will be answered.
	Accepted Outcome = "accepted"
	// Unknown means that the request may have run.
	Unknown Outcome = "outcome-unknown"
)

// Answer is the reply that a caller receives for a request.
type Answer struct {
	Key     RequestKey
	Attempt AttemptNo
	Outcome Outcome
	// Reason explains an outcome other than Done.
	Reason string
	// RetryAfter is a hint for requests that were not run; 0 means no hint.
	RetryAfter time.Duration
	// Executor is the executor that ran the request; it is empty unless Outcome
	// is Done.
	Executor ExecutorID
	// Waited is the time from arrival to the start at an executor.
	Waited time.Duration
	Body   []byte
}

// Attempt is one dispatch of a request to an executor.
type Attempt struct {
	Request Request
	No      AttemptNo
	// ShardTerm is the coordinator's term for the shard of the request key.
	// Owners of executors refuse terms lower than the highest they have seen.
	ShardTerm Term
}

// RunningAttempt is an attempt that an executor reports as running.
type RunningAttempt struct {
	Key     RequestKey
	Attempt AttemptNo
}

// ExecutorReport is an executor's report of its state.
type ExecutorReport struct {
	Executor ExecutorID
	// Term is the term that was last set; 0 if none was set in this process.
	Term    Term
	Slots   int
	Leaving bool
	Running []RunningAttempt
}
