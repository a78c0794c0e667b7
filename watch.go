package hoist

import (
	"context"
	"time"
)

// HostHealth is a host's answer to a health check by a standby host.
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
}

// HealthChecker is a host that may own the cell, seen from a standby host.
type HealthChecker interface {
	Closer
	// CheckHealth asks the host for its health. It returns ErrNotListening if no
	// process listens at its address, and ErrUnavailable if it does not answer.
	CheckHealth(ctx context.Context, from HostID) (HostHealth, error)
}
