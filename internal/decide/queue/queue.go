// Package queue orders the requests that wait for a slot. Between customers it
// is start-time fair queueing: each customer's next request carries a virtual
// start time that grows with the cost of the customer's work, and the lowest is
// served first. The requests of one customer are served in order of arrival.
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
// The requests of each class are bounded for each customer and over all
// customers. When a class is full, the newest request of the customer with the
// most waiting requests gives way, which may be the one that arrives: a customer
// with less than an equal share is never refused while another has more.
//
// A quick request that would wait for more than four fifths of the time to its
// deadline is refused at once, with
// the time after which the backlog will be short enough as a hint. Other
// classes wait.
//
// # Cost
//
// Push, Pop and Remove take time logarithmic in the number of customers that
// wait. A customer is forgotten as soon as it is not behind the others.
//
// The type is not safe for concurrent use and reads no clock.
package queue

import (
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// defaultTotal bounds a class if Limits does not: at some kilobytes for each
// waiting request it stays well below 100 MB.
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

// VirtualTime is the service, in units of cost, that a customer has received
// at a fair share.
type VirtualTime float64

// Queue holds waiting requests with a value of type T for each.
type Queue[T any] struct {
	limits  Limits
	isFIFO  bool
	classes map[hoist.Class]*lane[T]
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	if limits.Total == 0 {
		limits.Total = defaultTotal
	}
	return &Queue[T]{limits: limits, classes: make(map[hoist.Class]*lane[T])}
}

// SetLimits changes the limits. Requests that wait already stay.
func (q *Queue[T]) SetLimits(limits Limits) {
	if limits.Total == 0 {
		limits.Total = defaultTotal
	}
	q.limits = limits
}

// NewFIFO returns an empty queue that serves all classes and customers in the
// order of arrival, bounded by Limits.Total only, and refuses nothing early. It
// is a baseline.
func NewFIFO[T any](limits Limits) *Queue[T] {
	q := New[T](limits)
	q.isFIFO = true
	q.limits.PerCustomer = q.limits.Total
	return q
}

// Handle names a waiting request, so that it can be removed.
type Handle[T any] struct {
	lane *lane[T]
	item *item[T]
}

// Pushed is what came of a Push.
type Pushed[T any] struct {
	Ticket Handle[T]
	// Dropped was waiting and had to give way, if HasDropped.
	Dropped    T
	HasDropped bool
}

// Push adds a request of the given cost. It returns hoist.ErrOverLimit if the
// request is refused; RetryAfter of the error is a hint for the caller.
func (q *Queue[T]) Push(r hoist.Request, cost VirtualTime, value T, now time.Time) (Pushed[T], error) {
	customer := r.Customer
	if q.isFIFO {
		cost, customer = 0, ""
	}
	l := q.lane(r.Class)
	l.drain.advance(now, l.waiting > 0)
	if err := q.admit(l, r, customer, now); err != nil {
		return Pushed[T]{}, err
	}
	var pushed Pushed[T]
	if l.waiting >= q.limits.Total {
		pushed.Dropped, pushed.HasDropped = l.dropNewest(), true
	}
	pushed.Ticket = Handle[T]{l, l.push(customer, cost, value, now)}
	return pushed, nil
}

// admit returns the error of a request that must not wait.
func (q *Queue[T]) admit(l *lane[T], r hoist.Request, customer hoist.CustomerID, now time.Time) error {
	own := l.count(customer)
	wait := l.predict(customer, now)
	if own >= q.limits.PerCustomer {
		return refuse(wait/2, "customer %q has %d %s requests waiting", r.Customer, own, r.Class)
	}
	if l.waiting >= q.limits.Total && own >= l.most() {
		return refuse(wait/2, "%d %s requests wait, %d of customer %q", l.waiting, r.Class, own, r.Customer)
	}
	if left := usable(r.Deadline.Sub(now)); r.Class == hoist.Quick && !q.isFIFO && wait > left {
		return refuse(wait-left, "predicted wait of %s exceeds the %s that the deadline leaves", wait, left)
	}
	return nil
}

// usable returns how much of the time to a deadline may be spent on waiting. A
// fifth is kept for the service and for the error of the prediction: without
// it, one refusal in eight at 1.3 times overload came after the whole wait.
func usable(left time.Duration) time.Duration {
	return left * 4 / 5
}

// minRetry is the least hint. A shorter one would bring the caller back before
// anything has changed.
const minRetry = 100 * time.Millisecond

// hintKey is the key of the hint in an error.
type hintKey struct{}

func refuse(hint time.Duration, format string, args ...any) error {
	return merry.Wrap(hoist.ErrOverLimit, merry.PrependMessagef(format, args...),
		merry.WithValue(hintKey{}, max(hint, minRetry)))
}

// RetryAfter returns the hint of a refusal; 0 means that err has none.
func RetryAfter(err error) time.Duration {
	hint, _ := merry.Value(err, hintKey{}).(time.Duration)
	return hint
}

func (q *Queue[T]) lane(class hoist.Class) *lane[T] {
	if q.isFIFO {
		class = hoist.Quick
	}
	l, ok := q.classes[class]
	if !ok {
		l = newLane[T]()
		q.classes[class] = l
	}
	return l
}

// Peek returns the next request of the class without removing it.
func (q *Queue[T]) Peek(class hoist.Class) (T, bool) {
	l := q.lane(class)
	if l.waiting == 0 {
		var zero T
		return zero, false
	}
	return l.backlog.items[0].head.value, true
}

// Pop removes the next request of the class.
func (q *Queue[T]) Pop(class hoist.Class, now time.Time) (T, bool) {
	l := q.lane(class)
	if l.waiting == 0 {
		var zero T
		return zero, false
	}
	return l.pop(now), true
}

// Remove takes a request out of the queue. It reports false if the request has
// left it already.
func (q *Queue[T]) Remove(t Handle[T]) bool {
	if t.item == nil || !t.item.isWaiting {
		return false
	}
	t.lane.remove(t.item)
	return true
}

// Len returns how many requests of the class wait.
func (q *Queue[T]) Len(class hoist.Class) int {
	return q.lane(class).waiting
}

// Customers returns how many customers the queue remembers for a class.
func (q *Queue[T]) Customers(class hoist.Class) int {
	return len(q.lane(class).flows)
}
