package hoist

import (
	"context"
	"time"
)

// HealthCheck is what a host asks another one in a health check.
type HealthCheck struct {
	From HostID
	// EndedTerm asks for the leases of a term in which the other host owned the cell; 0 asks
	// for none.
	EndedTerm Term
}

// HostHealth is a host's answer to a health check.
type HostHealth struct {
	// Term is the term in which the host owns the cell; 0 if it does not own it.
	Term Term
	// SinceRenewal is the time since the host sent its last successful renewal
	// of the ownership, and RenewalVersion is the version of the row that this
	// renewal wrote.
	SinceRenewal   time.Duration
	RenewalVersion RowVersion
	// StoreAge is the time since the store last answered the host.
	// IsStoreUnavailable tells that calls to the store have failed since.
	StoreAge           time.Duration
	IsStoreUnavailable bool
	// Ended holds the leases of the term that the check asked for. It is nil if the host did
	// not own the cell in that term, still acts in it, or does not know them.
	Ended *EndedLeases
}

// EndedLeases are the leases that workers may hold of a term that has ended, and of those
// before it. Its owner grants no more, and has no call in flight.
type EndedLeases struct {
	Term    Term
	Workers []EndedLease
}

// EndedLease tells how long attempts that a worker has confirmed may run on at most.
type EndedLease struct {
	Worker        WorkerID
	Incarnation   Incarnation
	ConfirmedLeft time.Duration
	// Confirmed holds long-running attempts that the worker has confirmed, of which the recorded
	// states may not tell it.
	Confirmed []TaskRun
}

// HealthChecker is a host that may own the cell, seen from a standby host.
type HealthChecker interface {
	Closer
	// CheckHealth asks the host for its health. It returns ErrNotListening if no
	// process listens at its address, and ErrUnavailable if it does not answer.
	CheckHealth(ctx context.Context, check HealthCheck) (HostHealth, error)
}
