package queue

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// shrinkAbove is the number of customers above which an emptied lane gets a new
// map, as a Go map keeps the memory of its largest size.
const shrinkAbove = 64

// lane holds the waiting requests of one class.
type lane[T any] struct {
	// flows holds the customers that wait, and those that do not wait but have
	// received more than their share.
	flows map[hoist.CustomerID]*flow[T]
	// most customers at one time since the map was made.
	peak int
	// backlog orders the customers that wait by virtual start, longest by the
	// number of their requests, ahead the others by virtual finish.
	backlog, longest, ahead indexHeap[*flow[T]]
	now                     VirtualTime
	waiting                 int
	seq                     uint64
	drain                   drain
}

// flow is one customer in a lane.
type flow[T any] struct {
	customer   hoist.CustomerID
	head, tail *item[T]
	count      int
	// start is the virtual start time of the head, finish the virtual finish
	// time of the last request that was served.
	start, finish VirtualTime
	// inBacklog, inLongest and inAhead are positions in the heaps.
	inBacklog, inLongest, inAhead int
	drain                         drain
}

// item is one waiting request.
type item[T any] struct {
	flow       *flow[T]
	prev, next *item[T]
	cost       VirtualTime
	seq        uint64
	pushed     time.Time
	isWaiting  bool
	value      T
}

func newLane[T any]() *lane[T] {
	return &lane[T]{
		flows: make(map[hoist.CustomerID]*flow[T]),
		backlog: indexHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				return a.start < b.start || (a.start == b.start && a.head.seq < b.head.seq)
			},
			index: func(f *flow[T]) *int { return &f.inBacklog },
		},
		longest: indexHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				return a.count > b.count || (a.count == b.count && a.customer < b.customer)
			},
			index: func(f *flow[T]) *int { return &f.inLongest },
		},
		ahead: indexHeap[*flow[T]]{
			less:  func(a, b *flow[T]) bool { return a.finish < b.finish },
			index: func(f *flow[T]) *int { return &f.inAhead },
		},
	}
}

// count returns how many requests of a customer wait.
func (l *lane[T]) count(customer hoist.CustomerID) int {
	if f, ok := l.flows[customer]; ok {
		return f.count
	}
	return 0
}

// most returns the largest number of waiting requests of one customer.
func (l *lane[T]) most() int {
	if l.waiting == 0 {
		return 0
	}
	return l.longest.items[0].count
}

// predict returns how long a new request of a customer would wait. A customer
// with a backlog is served at its own rate, as later requests of others go
// ahead of it. For another one, each customer that waits is served at most once
// before each of its requests.
func (l *lane[T]) predict(customer hoist.CustomerID, now time.Time) time.Duration {
	own := l.count(customer)
	active := len(l.backlog.items)
	if own == 0 {
		active++
	}
	if f, ok := l.flows[customer]; ok && own > 0 {
		f.drain.advance(now, true)
		if f.drain.isKnown() {
			return f.drain.wait(own + 1)
		}
	}
	return l.drain.wait(min(l.waiting, (own+1)*active))
}

func (l *lane[T]) push(customer hoist.CustomerID, cost VirtualTime, value T, now time.Time) *item[T] {
	f, ok := l.flows[customer]
	if !ok {
		f = &flow[T]{customer: customer, inBacklog: none, inLongest: none, inAhead: none}
		l.flows[customer] = f
		l.peak = max(l.peak, len(l.flows))
	}
	l.seq++
	it := &item[T]{flow: f, prev: f.tail, cost: cost, seq: l.seq, pushed: now, isWaiting: true, value: value}
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.count++
	l.waiting++
	if f.count > 1 {
		l.longest.fix(f)
		return it
	}
	f.drain.advance(now, false)
	if f.inAhead != none {
		l.ahead.remove(f)
	}
	f.start = max(l.now, f.finish)
	l.backlog.push(f)
	l.longest.push(f)
	return it
}

func (l *lane[T]) pop(now time.Time) T {
	f := l.backlog.items[0]
	it := f.head
	l.drain.advance(now, true)
	f.drain.advance(now, true)
	if now.After(it.pushed) {
		l.drain.served++
		f.drain.served++
	}
	l.now = f.start
	f.finish = f.start + it.cost
	f.start = f.finish
	l.unlink(it)
	l.forget()
	return it.value
}

// remove takes out a request that was not served. Its customer is not charged.
func (l *lane[T]) remove(it *item[T]) {
	l.unlink(it)
	if it.flow.count == 0 {
		it.flow.drain.pause()
	}
	if l.waiting == 0 {
		l.drain.pause()
	}
	l.forget()
}

// dropNewest takes out the newest request of the customer with the most.
func (l *lane[T]) dropNewest() T {
	it := l.longest.items[0].tail
	l.unlink(it)
	return it.value
}

// unlink takes a request out of its customer's list and keeps the heaps right.
func (l *lane[T]) unlink(it *item[T]) {
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
	l.waiting--
	if f.count > 0 {
		l.backlog.fix(f)
		l.longest.fix(f)
		return
	}
	l.backlog.remove(f)
	l.longest.remove(f)
	l.ahead.push(f)
}

// forget drops the customers that are not ahead of the others, and all of them
// when nothing waits.
func (l *lane[T]) forget() {
	if l.waiting == 0 {
		l.ahead.items = nil
		if l.peak > shrinkAbove {
			l.flows, l.peak = make(map[hoist.CustomerID]*flow[T]), 0
		}
		clear(l.flows)
		return
	}
	for len(l.ahead.items) > 0 && l.ahead.items[0].finish <= l.now {
		f := l.ahead.items[0]
		l.ahead.remove(f)
		delete(l.flows, f.customer)
	}
}
