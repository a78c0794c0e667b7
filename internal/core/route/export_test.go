package route

// Limits that the tests use.
const (
	MaxRowBody       = maxRowBody
	QueuePerCustomer = queuePerCustomer
)

// Waiting returns the number of requests that wait for a slot.
func (r *Router) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, q := range r.queues {
		for _, class := range classOrder {
			n += q.Len(class)
		}
	}
	return n
}
