package route

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
)

// Limits holds the configured limits on requests.
type Limits struct {
	Queue queue.Limits
	// Weights are the shares of customers under overload; a customer without an
	// entry has weight 1.
	Weights map[hoist.CustomerID]int
	// RetryPercent is the number of retries allowed per 100 requests.
	RetryPercent int
}

// SetLimits applies limits to all requests that arrive from now on.
func (r *Router) SetLimits(l Limits) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = l
	r.retries.SetPercent(l.RetryPercent)
	for _, q := range r.queues {
		q.SetLimits(l.Queue)
	}
}

// costOf returns the cost of a call in the queue: the estimated service time,
// divided by the weight of the customer. The mutex must be held.
func (r *Router) costOf(c *call) queue.VirtualTime {
	cost := r.pool.ServiceTime(c.request.Service, c.request.Class).Seconds()
	if weight := r.limits.Weights[c.request.Customer]; weight > 1 {
		cost /= float64(weight)
	}
	return queue.VirtualTime(cost)
}
