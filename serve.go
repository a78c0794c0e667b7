package hoist

import "context"

// RequestService answers requests, independently of the front end. Its methods
// may be called concurrently.
type RequestService interface {
	// Submit returns the answer, or ErrInvalid if the key is already used by a
	// different request.
	Submit(ctx context.Context, r Request) (Answer, error)
	// Poll returns the answer to a request with NoWait: Accepted until it has
	// ended, or ErrNotFound if the customer has no request with that key.
	Poll(ctx context.Context, customer CustomerID, key RequestKey) (Answer, error)
	// Cancel returns nil if a request with NoWait has not started and will not
	// start, ErrConflict if it has started, and ErrNotFound like Poll.
	Cancel(ctx context.Context, customer CustomerID, key RequestKey) error
}

// JobService accepts and shows jobs, independently of the front end. Its
// methods may be called concurrently.
type JobService interface {
	// Submit returns nil when the job is durably recorded.
	Submit(ctx context.Context, s JobSpec) error
	// Cancel returns nil when no task of the job starts any more.
	Cancel(ctx context.Context, ref JobRef) error
	// Show returns the jobs of a team, oldest first.
	Show(ctx context.Context, team TeamID) ([]JobState, error)
}

// HeartbeatHandler composes and receives heartbeats.
type HeartbeatHandler interface {
	// FillHeartbeat fills in this host's part of a heartbeat to the other hosts.
	FillHeartbeat(h *Heartbeat)
	// HandleHeartbeat handles a heartbeat from another host.
	HandleHeartbeat(h Heartbeat)
}

// Closer is implemented by clients that hold connections.
type Closer interface {
	Close()
}
