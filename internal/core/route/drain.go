package route

import (
	"context"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

// addInFlight counts a request as in flight until removeInFlight is called.
func (r *Router) addInFlight() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
}

func (r *Router) removeInFlight() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.inFlight == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Drain waits until no request is in flight or ctx ends. It returns the keys of the
// requests that are then still in flight at this host, as coordinator or as owner
// of an executor, and whether none are left.
func (r *Router) Drain(ctx context.Context) ([]hoist.RequestKey, bool) {
	r.init()
	r.mu.Lock()
	idle := make(chan struct{})
	if r.inFlight == 0 {
		close(idle)
	} else {
		r.idle = idle
	}
	r.mu.Unlock()
	select {
	case <-idle:
		return nil, true
	case <-ctx.Done():
		return r.undrainedKeys()
	}
}

// undrainedKeys returns the keys of the requests in flight, and whether there is none. The
// last one may have ended at the same time as the context of Drain.
func (r *Router) undrainedKeys() ([]hoist.RequestKey, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight == 0 {
		return nil, true
	}
	var out []hoist.RequestKey
	for key := range r.calls {
		out = append(out, key)
	}
	for _, attempts := range r.sent {
		for key := range attempts {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return slices.Compact(out), false
}

// LogUndrained logs the requests that were left at the end of Drain.
func (r *Router) LogUndrained(ctx context.Context, keys []hoist.RequestKey) {
	const maxLoggedKeys = 20
	events.RequestsUndrained.Log(ctx, r.Log, "host", r.Ownership.Self(), "requests", len(keys), "keys", keys[:min(maxLoggedKeys, len(keys))])
}
