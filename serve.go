package hoist

import "context"

// RequestService answers requests, whatever the front end. Its methods may be
// called concurrently.
type RequestService interface {
	// Submit returns the answer, or ErrInvalid if the key belongs to another
	// request.
	Submit(ctx context.Context, r Request) (Answer, error)
	// Poll returns the answer to a request with NoWait: Accepted until it has
	// ended, or ErrNotFound if the customer has none of that key.
	Poll(ctx context.Context, customer CustomerID, key RequestKey) (Answer, error)
	// Cancel returns nil if a request with NoWait has not started and will not,
	// ErrConflict if it has, and ErrNotFound as Poll.
	Cancel(ctx context.Context, customer CustomerID, key RequestKey) error
}

// JobService accepts and shows jobs, whatever the front end. Its methods may be
// called concurrently.
type JobService interface {
	// Submit returns nil when the job is recorded for good.
	Submit(ctx context.Context, s JobSpec) error
	// Cancel returns nil when nothing of the job starts any more.
	Cancel(ctx context.Context, ref JobRef) error
	// Show returns the jobs of a team, oldest first.
	Show(ctx context.Context, team TeamID) ([]JobState, error)
}

// HeartbeatHandler composes and receives heartbeats.
type HeartbeatHandler interface {
	// FillHeartbeat fills in what this host tells the others.
	FillHeartbeat(h *Heartbeat)
	// HandleHeartbeat receives what another host told.
	HandleHeartbeat(h Heartbeat)
}

// Closer is implemented by clients that hold connections.
type Closer interface {
	Close()
}
