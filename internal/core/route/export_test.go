package route

// Limits for tests.
const (
	MaxRowBody       = maxRowBody
	QueuePerCustomer = queuePerCustomer
)

// Waiting counts the requests that wait for a slot.
func (r *Router) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, q := range r.queues {
		for _, class := range classes {
			n += q.Len(class)
		}
	}
	return n
}
