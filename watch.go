package hoist

import (
	"context"
	"time"
)

// HostHealth is what the owner of the cell tells the hosts that watch it.
type HostHealth struct {
	// Term is the term in which the host owns the cell; 0 if it does not.
	Term Term
	// SinceRenewal is the time since it sent the last renewal that succeeded, and RenewalVersion
	// the version of the row that this wrote.
	SinceRenewal   time.Duration
	RenewalVersion RowVersion
	// StoreAge is the time since the store answered it, and IsStoreLost tells
	// that calls have failed since.
	StoreAge    time.Duration
	IsStoreLost bool
}

// HealthChecker is a host that may own the cell, as the hosts that watch it see it.
type HealthChecker interface {
	Closer
	// CheckHealth asks the host whether it lives. It returns ErrNotListening if no
	// process listens at its address, and ErrUnavailable if it does not answer.
	CheckHealth(ctx context.Context, from HostID) (HostHealth, error)
}
