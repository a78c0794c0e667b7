package hoist

import (
	"context"
	"time"
)

// Pulse is what the owner of the cell tells the hosts that watch it.
type Pulse struct {
	// Term is the term in which the host owns the cell; 0 if it does not.
	Term Term
	// Renewed is the time since it sent the last renewal that succeeded, and Beat
	// the version of the row that this wrote.
	Renewed time.Duration
	Beat    RowVersion
	// StoreAge is the time since the store answered it, and IsStoreLost tells
	// that calls have failed since.
	StoreAge    time.Duration
	IsStoreLost bool
}

// Watched is a host that may own the cell, as the hosts that watch it see it.
type Watched interface {
	Closer
	// Pulse asks the host whether it lives. It returns ErrNotListening if no
	// process listens at its address, and ErrUnavailable if it does not answer.
	Pulse(ctx context.Context, from HostID) (Pulse, error)
}
