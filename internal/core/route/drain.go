package route

import (
	"context"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

// enter counts work in flight; leave must follow.
func (r *Router) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.inFlight == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Drain waits until no request is in flight or ctx ends. It reports the keys
// that are then still in flight at this host as coordinator or as owner of an
// executor, and whether nothing was left.
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
		return r.stuck(), false
	}
}

func (r *Router) stuck() []hoist.RequestKey {
	r.mu.Lock()
	defer r.mu.Unlock()
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
	return slices.Compact(out)
}

// LogUndrained logs the requests that Drain left.
func (r *Router) LogUndrained(ctx context.Context, keys []hoist.RequestKey) {
	const shown = 20
	events.DrainStuck.Log(ctx, r.Log, "host", r.Own.Self(), "requests", len(keys), "keys", keys[:min(shown, len(keys))])
}
