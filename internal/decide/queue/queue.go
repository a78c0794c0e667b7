// Package queue orders the requests that wait for a slot. Customers share the
// slots by start-time fair queueing: each customer's next request has a virtual
// start time that grows with the cost of the customer's work, and the request
// with the lowest one is served first. The requests of one customer are served in
// order of arrival.
//
// # Usage
//
//	q := queue.New[*waiter](queue.Limits{PerCustomer: 1000, Total: 4000})
//	pushed, err := q.Push(req, cost, w, now)
//	if err != nil {
//		hint := queue.RetryAfter(err)
//	}
//	if w, ok := q.Peek(hoist.Quick); ok && hasSlot(w) {
//		q.Pop(hoist.Quick, now)
//	}
//
// # Limits
//
// The number of waiting requests of each class is bounded for each customer and
// over all customers. When a class is full, the newest request of the customer
// with the most waiting requests is evicted, or refused if it is the one that
// arrives: a customer with less than an equal share is never refused while another
// has more.
//
// A quick request that would wait for more than four fifths of the time to its
// deadline is refused at once. The error has a hint: the time after which the
// backlog will be short enough. Other classes wait.
//
// # Cost
//
// Push, Pop and Remove take time logarithmic in the number of customers in the
// queue. A customer without waiting requests is dropped as soon as it has received
// no more than its share.
//
// The type is not safe for concurrent use and reads no clock.
package queue

import (
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// defaultTotal bounds a class if Limits.Total is 0. At a few kilobytes for each
// waiting request the memory stays well below 100 MB.
const defaultTotal = 20_000

// Limits bounds a queue.
type Limits struct {
	// PerCustomer is the largest number of requests of one class that wait
	// for one customer.
	PerCustomer int
	// Total is the largest number of requests of one class that wait; 0 means
	// 20,000.
	Total int
}

// VirtualTime is the service, in units of cost, that a customer receives at a
// fair share.
type VirtualTime float64

// Queue holds waiting requests with a value of type T for each.
type Queue[T any] struct {
	limits  Limits
	isFIFO  bool
	classes map[hoist.Class]*classQueue[T]
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	if limits.Total == 0 {
		limits.Total = defaultTotal
	}
	return &Queue[T]{limits: limits, classes: make(map[hoist.Class]*classQueue[T])}
}

// SetLimits changes the limits. Requests that are already waiting stay in the
// queue.
func (q *Queue[T]) SetLimits(limits Limits) {
	if limits.Total == 0 {
		limits.Total = defaultTotal
	}
	q.limits = limits
}

// NewFIFO returns an empty queue that serves all classes and customers in the
// order of arrival, is bounded by Limits.Total only, and refuses no request for
// its deadline. It is a baseline for comparisons.
func NewFIFO[T any](limits Limits) *Queue[T] {
	q := New[T](limits)
	q.isFIFO = true
	q.limits.PerCustomer = q.limits.Total
	return q
}

// Handle identifies a waiting request, for Remove. The zero value identifies
// none.
type Handle[T any] struct {
	classQueue *classQueue[T]
	item       *item[T]
}

// PushResult is the result of a Push.
type PushResult[T any] struct {
	Handle Handle[T]
	// Evicted is the value of the request that was evicted. It is set only if
	// HasEvicted is.
	Evicted    T
	HasEvicted bool
}

// Push adds a request of the given cost. It returns hoist.ErrOverLimit if the
// request is refused; RetryAfter returns the hint in that error.
func (q *Queue[T]) Push(r hoist.Request, cost VirtualTime, value T, now time.Time) (PushResult[T], error) {
	customer := r.Customer
	if q.isFIFO {
		cost, customer = 0, ""
	}
	c := q.classQueue(r.Class)
	c.serviceRate.advance(now, c.waiting > 0)
	if err := q.admit(c, r, customer, now); err != nil {
		return PushResult[T]{}, err
	}
	var pushed PushResult[T]
	if c.waiting >= q.limits.Total {
		pushed.Evicted, pushed.HasEvicted = c.evictNewest(), true
	}
	pushed.Handle = Handle[T]{c, c.push(customer, cost, value, now)}
	return pushed, nil
}

// admit returns an error if the request is refused.
func (q *Queue[T]) admit(c *classQueue[T], r hoist.Request, customer hoist.CustomerID, now time.Time) error {
	own := c.count(customer)
	wait := c.predictWait(customer, now)
	if own >= q.limits.PerCustomer {
		return overLimitError(wait/2, "customer %q has %d %s requests waiting", r.Customer, own, r.Class)
	}
	if c.waiting >= q.limits.Total && own >= c.maxWaiting() {
		return overLimitError(wait/2, "%d %s requests wait, %d of customer %q", c.waiting, r.Class, own, r.Customer)
	}
	if left := usableWait(r.Deadline.Sub(now)); r.Class == hoist.Quick && !q.isFIFO && wait > left {
		return overLimitError(wait-left, "predicted wait of %s exceeds the %s that the deadline leaves", wait, left)
	}
	return nil
}

// usableWait returns how much of the time to a deadline may be spent on waiting.
// A fifth is kept for the service and for the error of the prediction: without
// it, one refusal in eight at a load of 1.3 times the capacity came after the
// whole wait.
func usableWait(left time.Duration) time.Duration {
	return left * 4 / 5
}

// minRetryAfter is the smallest hint. With a shorter one the caller would retry
// before anything has changed.
const minRetryAfter = 100 * time.Millisecond

// retryAfterKey is the key of the hint in an error.
type retryAfterKey struct{}

func overLimitError(hint time.Duration, format string, args ...any) error {
	return merry.Wrap(hoist.ErrOverLimit, merry.PrependMessagef(format, args...),
		merry.WithValue(retryAfterKey{}, max(hint, minRetryAfter)))
}

// RetryAfter returns the time after which to retry a refused request, or 0 if err
// has no such hint.
func RetryAfter(err error) time.Duration {
	hint, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return hint
}

func (q *Queue[T]) classQueue(class hoist.Class) *classQueue[T] {
	if q.isFIFO {
		class = hoist.Quick
	}
	c, ok := q.classes[class]
	if !ok {
		c = newClassQueue[T]()
		q.classes[class] = c
	}
	return c
}

// Peek returns the next request of the class without removing it. It reports
// false if none waits.
func (q *Queue[T]) Peek(class hoist.Class) (T, bool) {
	c := q.classQueue(class)
	if c.waiting == 0 {
		var zero T
		return zero, false
	}
	return c.backlog.items[0].head.value, true
}

// Pop removes and returns the next request of the class. It reports false if none
// waits.
func (q *Queue[T]) Pop(class hoist.Class, now time.Time) (T, bool) {
	c := q.classQueue(class)
	if c.waiting == 0 {
		var zero T
		return zero, false
	}
	return c.pop(now), true
}

// Remove removes a request from the queue. It reports false if the request no
// longer waits.
func (q *Queue[T]) Remove(h Handle[T]) bool {
	if h.item == nil || !h.item.isWaiting {
		return false
	}
	h.classQueue.remove(h.item)
	return true
}

// Len returns the number of waiting requests of the class.
func (q *Queue[T]) Len(class hoist.Class) int {
	return q.classQueue(class).waiting
}

// Customers returns the number of customers for which the queue keeps state in a
// class.
func (q *Queue[T]) Customers(class hoist.Class) int {
	return len(q.classQueue(class).flows)
}
