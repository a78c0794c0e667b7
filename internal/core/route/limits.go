package route

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
)

// Limits is what the configuration says about requests.
type Limits struct {
	Queue queue.Limits
	// Weights are the shares of customers at a peak; a customer that it does
	// not name has weight 1.
	Weights map[hoist.CustomerID]int
	// RetryPercent is how many retries 100 requests allow.
	RetryPercent int
}

// SetLimits puts limits in force for what arrives from now on.
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

// costOf returns what a call costs its customer in the queue: the learned
// service time, divided by the weight of the customer. The mutex is held.
func (r *Router) costOf(c *call) queue.VirtualTime {
	cost := r.pool.ServiceTime(c.request.Service, c.request.Class).Seconds()
	if weight := r.limits.Weights[c.request.Customer]; weight > 1 {
		cost /= float64(weight)
	}
	return queue.VirtualTime(cost)
}
