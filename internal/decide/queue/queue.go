// Package queue orders the requests that wait for a slot. Between customers it
// is start-time fair queueing: each customer's requests carry virtual start
// times that grow with the cost of its work, and the lowest is served first.
// Queues are bounded for each customer and class.
//
// # Usage
//
//	q := queue.New[*waiter](queue.Limits{PerCustomer: 1000})
//	err := q.Push(req, cost, w)
//	if w, ok := q.Peek(hoist.Quick); ok && hasSlot(w) {
//		q.Pop(hoist.Quick)
//	}
//
// The type is not safe for concurrent use and reads no clock.
package queue

import (
	"container/heap"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Limits bounds a queue.
type Limits struct {
	// PerCustomer is the largest number of requests of one class that wait
	// for one customer.
	PerCustomer int
}

// VirtualTime is the service, in units of cost, that a customer has received
// at a fair share.
type VirtualTime float64

// Queue holds waiting requests with a value of type T for each.
type Queue[T any] struct {
	limits  Limits
	isFIFO  bool
	classes map[hoist.Class]*lane[T]
}

// lane holds the waiting requests of one class.
type lane[T any] struct {
	items   itemHeap[T]
	now     VirtualTime
	finish  map[hoist.CustomerID]VirtualTime
	waiting map[hoist.CustomerID]int
	seq     uint64
}

// item is one waiting request.
type item[T any] struct {
	start    VirtualTime
	seq      uint64
	customer hoist.CustomerID
	value    T
	index    int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, classes: make(map[hoist.Class]*lane[T])}
}

// NewFIFO returns an empty queue that serves all classes and customers in the
// order of arrival. It is a baseline.
func NewFIFO[T any](limits Limits) *Queue[T] {
	q := New[T](limits)
	q.isFIFO = true
	return q
}

// Ticket names a waiting request, so that it can be removed.
type Ticket[T any] struct {
	class hoist.Class
	item  *item[T]
}

// Push adds a request of the given cost. It returns hoist.ErrOverLimit if too
// many requests of its customer and class wait.
func (q *Queue[T]) Push(r hoist.Request, cost VirtualTime, value T) (Ticket[T], error) {
	l := q.lane(r.Class)
	if q.isFIFO {
		cost = 0
	}
	if l.waiting[r.Customer] >= q.limits.PerCustomer {
		return Ticket[T]{}, merry.Wrap(hoist.ErrOverLimit,
			merry.PrependMessagef("customer %q has %d %s requests waiting", r.Customer, l.waiting[r.Customer], r.Class))
	}
	start := max(l.now, l.finish[r.Customer])
	l.finish[r.Customer] = start + cost
	l.waiting[r.Customer]++
	l.seq++
	it := &item[T]{start: start, seq: l.seq, customer: r.Customer, value: value}
	heap.Push(&l.items, it)
	return Ticket[T]{r.Class, it}, nil
}

func (q *Queue[T]) lane(class hoist.Class) *lane[T] {
	if q.isFIFO {
		class = hoist.Quick
	}
	l, ok := q.classes[class]
	if !ok {
		l = &lane[T]{finish: make(map[hoist.CustomerID]VirtualTime), waiting: make(map[hoist.CustomerID]int)}
		q.classes[class] = l
	}
	return l
}

// Peek returns the next request of the class without removing it.
func (q *Queue[T]) Peek(class hoist.Class) (T, bool) {
	l := q.lane(class)
	if l.items.Len() == 0 {
		var zero T
		return zero, false
	}
	return l.items[0].value, true
}

// Pop removes the next request of the class.
func (q *Queue[T]) Pop(class hoist.Class) (T, bool) {
	l := q.lane(class)
	if l.items.Len() == 0 {
		var zero T
		return zero, false
	}
	it := heap.Pop(&l.items).(*item[T])
	l.now = it.start
	l.left(it.customer)
	return it.value, true
}

// left updates the count of a customer whose request left the lane, and drops
// what is kept on a customer that is not behind the others.
func (l *lane[T]) left(customer hoist.CustomerID) {
	l.waiting[customer]--
	if l.waiting[customer] > 0 {
		return
	}
	delete(l.waiting, customer)
	if l.finish[customer] <= l.now {
		delete(l.finish, customer)
	}
}

// Remove takes a request out of the queue. It reports false if the request has
// left it already.
func (q *Queue[T]) Remove(t Ticket[T]) bool {
	if t.item.index < 0 {
		return false
	}
	l := q.lane(t.class)
	heap.Remove(&l.items, t.item.index)
	l.left(t.item.customer)
	return true
}

// Len returns how many requests of the class wait.
func (q *Queue[T]) Len(class hoist.Class) int {
	return q.lane(class).items.Len()
}

// itemHeap orders items by virtual start time, then by arrival.
type itemHeap[T any] []*item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.index = -1
	*h = old[:len(old)-1]
	return it
}
