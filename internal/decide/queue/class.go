package queue

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// maxReusedFlows is the number of customers above which an emptied class queue
// gets a new map, as a Go map keeps the memory of its largest size.
const maxReusedFlows = 64

// classQueue holds the waiting requests of one class.
type classQueue[T any] struct {
	// flows holds the customers with waiting requests, and those without that have
	// received more than their share.
	flows map[hoist.CustomerID]*flow[T]
	// peak is the largest size of flows since the map was made.
	peak int
	// backlog orders the customers with waiting requests by virtual start time,
	// byLength by the number of these requests. idle orders the other customers by
	// virtual finish time.
	backlog, byLength, idle indexHeap[*flow[T]]
	// now is the virtual start time of the request that was served last.
	now         VirtualTime
	waiting     int
	seq         uint64
	serviceRate serviceRate
}

// flow is one customer in a class queue.
type flow[T any] struct {
	customer   hoist.CustomerID
	head, tail *item[T]
	count      int
	// start is the virtual start time of the head, finish the virtual finish
	// time of the last request that was served.
	start, finish VirtualTime
	// backlogIndex, lengthIndex and idleIndex are positions in the heaps.
	backlogIndex, lengthIndex, idleIndex int
	serviceRate                          serviceRate
}

// item is one waiting request.
type item[T any] struct {
	flow       *flow[T]
	prev, next *item[T]
	cost       VirtualTime
	seq        uint64
	pushedAt   time.Time
	isWaiting  bool
	value      T
}

func newClassQueue[T any]() *classQueue[T] {
	return &classQueue[T]{
		flows: make(map[hoist.CustomerID]*flow[T]),
		backlog: indexHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				return a.start < b.start || (a.start == b.start && a.head.seq < b.head.seq)
			},
			index: func(f *flow[T]) *int { return &f.backlogIndex },
		},
		byLength: indexHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				return a.count > b.count || (a.count == b.count && a.customer < b.customer)
			},
			index: func(f *flow[T]) *int { return &f.lengthIndex },
		},
		idle: indexHeap[*flow[T]]{
			less:  func(a, b *flow[T]) bool { return a.finish < b.finish },
			index: func(f *flow[T]) *int { return &f.idleIndex },
		},
	}
}

// count returns the number of waiting requests of a customer.
func (c *classQueue[T]) count(customer hoist.CustomerID) int {
	if f, ok := c.flows[customer]; ok {
		return f.count
	}
	return 0
}

// maxWaiting returns the largest number of waiting requests of one customer.
func (c *classQueue[T]) maxWaiting() int {
	if c.waiting == 0 {
		return 0
	}
	return c.byLength.items[0].count
}

// predictWait returns how long a new request of a customer would wait. A customer
// with a backlog is served at its own rate, once that is known, as requests of
// other customers that arrive later may be served before the backlog. Otherwise
// each waiting customer is served at most once before each request of this one.
func (c *classQueue[T]) predictWait(customer hoist.CustomerID, now time.Time) time.Duration {
	own := c.count(customer)
	active := len(c.backlog.items)
	if own == 0 {
		active++
	}
	if f, ok := c.flows[customer]; ok && own > 0 {
		f.serviceRate.advance(now, true)
		if f.serviceRate.isKnown() {
			return f.serviceRate.estimate(own + 1)
		}
	}
	return c.serviceRate.estimate(min(c.waiting, (own+1)*active))
}

func (c *classQueue[T]) push(customer hoist.CustomerID, cost VirtualTime, value T, now time.Time) *item[T] {
	f, ok := c.flows[customer]
	if !ok {
		f = &flow[T]{customer: customer, backlogIndex: notInHeap, lengthIndex: notInHeap, idleIndex: notInHeap}
		c.flows[customer] = f
		c.peak = max(c.peak, len(c.flows))
	}
	c.seq++
	it := &item[T]{flow: f, prev: f.tail, cost: cost, seq: c.seq, pushedAt: now, isWaiting: true, value: value}
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.count++
	c.waiting++
	if f.count > 1 {
		c.byLength.fix(f)
		return it
	}
	f.serviceRate.advance(now, false)
	if f.idleIndex != notInHeap {
		c.idle.remove(f)
	}
	f.start = max(c.now, f.finish)
	c.backlog.push(f)
	c.byLength.push(f)
	return it
}

func (c *classQueue[T]) pop(now time.Time) T {
	f := c.backlog.items[0]
	it := f.head
	c.serviceRate.advance(now, true)
	f.serviceRate.advance(now, true)
	if now.After(it.pushedAt) {
		c.serviceRate.served++
		f.serviceRate.served++
	}
	c.now = f.start
	f.finish = f.start + it.cost
	f.start = f.finish
	c.unlink(it)
	c.dropIdle()
	return it.value
}

// remove removes a request that was not served. Its customer is not charged.
func (c *classQueue[T]) remove(it *item[T]) {
	c.unlink(it)
	if it.flow.count == 0 {
		it.flow.serviceRate.suspend()
	}
	if c.waiting == 0 {
		c.serviceRate.suspend()
	}
	c.dropIdle()
}

// evictNewest removes the newest request of the customer with the most waiting
// requests and returns its value.
func (c *classQueue[T]) evictNewest() T {
	it := c.byLength.items[0].tail
	c.unlink(it)
	return it.value
}

// unlink removes a request from its customer's list and updates the heaps.
func (c *classQueue[T]) unlink(it *item[T]) {
	f := it.flow
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next, it.isWaiting = nil, nil, false
	f.count--
	c.waiting--
	if f.count > 0 {
		c.backlog.fix(f)
		c.byLength.fix(f)
		return
	}
	c.backlog.remove(f)
	c.byLength.remove(f)
	c.idle.push(f)
}

// dropIdle drops the customers without waiting requests that have received no
// more than their share, and all customers when nothing waits.
func (c *classQueue[T]) dropIdle() {
	if c.waiting == 0 {
		c.idle.items = nil
		if c.peak > maxReusedFlows {
			c.flows, c.peak = make(map[hoist.CustomerID]*flow[T]), 0
		}
		clear(c.flows)
		return
	}
	for len(c.idle.items) > 0 && c.idle.items[0].finish <= c.now {
		f := c.idle.items[0]
		c.idle.remove(f)
		delete(c.flows, f.customer)
	}
}
