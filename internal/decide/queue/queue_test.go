package queue_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
)

var start = time.Unix(1_000_000_000, 0)

// entry is a waiting request of the model.
type entry struct {
	customer hoist.CustomerID
	no       int
	handle   queue.Handle[*entry]
}

// model holds the waiting requests of each customer in order of arrival.
type model struct {
	q       *queue.Queue[*entry]
	limits  queue.Limits
	waiting map[hoist.CustomerID][]*entry
	total   int
	no      int
	now     time.Time
}

func newModel(limits queue.Limits) *model {
	return &model{q: queue.New[*entry](limits), limits: limits, waiting: make(map[hoist.CustomerID][]*entry), now: start}
}

// request returns a patient request: those are never refused for their deadline.
func request(customer hoist.CustomerID) hoist.Request {
	return hoist.Request{Customer: customer, Class: hoist.Patient, Deadline: start.Add(time.Hour)}
}

func (m *model) maxWaiting() int {
	maxWaiting := 0
	for _, w := range m.waiting {
		maxWaiting = max(maxWaiting, len(w))
	}
	return maxWaiting
}

func (m *model) drop(e *entry) {
	w := m.waiting[e.customer]
	for i := range w {
		if w[i] == e {
			m.waiting[e.customer] = append(w[:i:i], w[i+1:]...)
			m.total--
			return
		}
	}
}

func (m *model) push(t *rapid.T, customer hoist.CustomerID, cost queue.VirtualTime) {
	m.no++
	e := &entry{customer: customer, no: m.no}
	own, maxWaiting := len(m.waiting[customer]), m.maxWaiting()
	pushed, err := m.q.Push(request(customer), cost, e, m.now)
	switch isFull := m.total >= m.limits.Total; {
	case errors.Is(err, hoist.ErrOverLimit):
		if own < m.limits.PerCustomer && (!isFull || own < maxWaiting) {
			t.Fatalf("customer %s with %d of %d waiting requests was refused, the most requests of one customer are %d", customer, own, m.total, maxWaiting)
		}
		return
	case pushed.HasEvicted:
		d := pushed.Evicted
		w := m.waiting[d.customer]
		if !isFull || len(w) != maxWaiting || w[len(w)-1] != d {
			t.Fatalf("request %d of customer %s with %d waiting requests was evicted, expected the last request of a customer with %d", d.no, d.customer, len(w), maxWaiting)
		}
		m.drop(d)
	}
	e.handle = pushed.Handle
	m.waiting[customer] = append(m.waiting[customer], e)
	m.total++
}

func (m *model) pop(t *rapid.T) {
	e, ok := m.q.Pop(hoist.Patient, m.now)
	if !ok {
		return
	}
	if w := m.waiting[e.customer]; len(w) == 0 || w[0] != e {
		t.Fatalf("request %d of customer %s was served out of order", e.no, e.customer)
	}
	m.drop(e)
}

func (m *model) remove(t *rapid.T, i int) {
	customer := name(i)
	if w := m.waiting[customer]; len(w) > 0 {
		e := rapid.SampledFrom(w).Draw(t, "entry")
		if !m.q.Remove(e.handle) || m.q.Remove(e.handle) {
			t.Fatal("a waiting request must be removed exactly once")
		}
		m.drop(e)
	}
}

func (m *model) check(t *rapid.T) {
	if n := m.q.Len(hoist.Patient); n != m.total || n > m.limits.Total || m.maxWaiting() > m.limits.PerCustomer {
		t.Fatalf("%d requests wait, expected %d, limits %+v", n, m.total, m.limits)
	}
	if n := m.q.Customers(hoist.Patient); m.total == 0 && n > 0 {
		t.Fatalf("the queue keeps %d customers although nothing waits", n)
	}
}

func name(i int) hoist.CustomerID {
	return hoist.CustomerID(fmt.Sprintf("c%d", i))
}

// TestQueueInvariants guards against requests of a customer that are served out of
// order, exceeded limits, unfair refusals and customers that are never dropped.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(queue.Limits{PerCustomer: rapid.IntRange(1, 12).Draw(t, "per"), Total: rapid.IntRange(1, 20).Draw(t, "total")})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			customer := rapid.IntRange(0, 4).Draw(t, "customer")
			m.now = m.now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				m.push(t, name(customer), queue.VirtualTime(rapid.IntRange(1, 5).Draw(t, "cost")))
			case 3, 4:
				m.pop(t)
			default:
				m.remove(t, customer)
			}
			m.check(t)
		}
		for m.total > 0 {
			m.pop(t)
		}
		m.check(t)
	})
}

// TestFairQueueingBound guards against customers with a backlog whose received
// service differs by more than one request of each, the bound of start-time fair
// queueing.
func TestFairQueueingBound(t *testing.T) {
	const maxCost = 5
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[*entry](queue.Limits{PerCustomer: 1000})
		served := make([]float64, 3)
		costs := make(map[*entry]float64)
		push := func(i int) {
			e := &entry{customer: name(i), no: i}
			costs[e] = float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			_, _ = q.Push(request(e.customer), queue.VirtualTime(costs[e]), e, start)
		}
		for i := range served {
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			e, _ := q.Pop(hoist.Patient, start)
			served[e.no] += costs[e]
			push(e.no)
			for i := range served {
				for j := range served {
					if math.Abs(served[i]-served[j]) > 2*maxCost {
						t.Fatalf("service %v differs by more than %d", served, 2*maxCost)
					}
				}
			}
		}
	})
}

// TestIdleCustomersAreRemoved guards against memory held for customers that no
// longer wait: thousands of them are removed out of order, or served while another
// customer waits.
func TestIdleCustomersAreRemoved(t *testing.T) {
	const wave = 5000
	cases := []struct {
		name       string
		emptyQueue func(q *queue.Queue[int], handles []queue.Handle[int])
	}{
		{"requests are removed", func(q *queue.Queue[int], handles []queue.Handle[int]) {
			for i := range handles {
				q.Remove(handles[i*7%wave])
			}
		}},
		{"requests are served", func(q *queue.Queue[int], _ []queue.Handle[int]) {
			for range wave + 100 {
				q.Pop(hoist.Patient, start)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := queue.New[int](queue.Limits{PerCustomer: 500})
			for range 200 {
				_, err := q.Push(request("steady"), 1, 0, start)
				is.NoErr(err)
			}
			handles := make([]queue.Handle[int], wave)
			for i := range handles {
				pushed, err := q.Push(request(name(i)), 1, i, start)
				is.NoErr(err)
				handles[i] = pushed.Handle
			}
			c.emptyQueue(q, handles)
			is.True(q.Len(hoist.Patient) > 0)       // the steady customer waits
			is.Equal(q.Customers(hoist.Patient), 1) // no other customer is kept
		})
	}
}

// TestRefusalByPredictedWait guards against quick requests that wait although they
// cannot be served in time, and against refusals of customers that have no part in
// the backlog.
func TestRefusalByPredictedWait(t *testing.T) {
	q := queue.New[int](queue.Limits{PerCustomer: 1000})
	push := func(customer hoist.CustomerID, class hoist.Class, now time.Time, timeout time.Duration) error {
		_, err := q.Push(hoist.Request{Customer: customer, Class: class, Deadline: now.Add(timeout)}, 1, 0, now)
		return err
	}
	now := start
	for range 300 {
		_ = push("large", hoist.Quick, now, time.Hour)
		_ = push("large", hoist.Patient, now, time.Hour)
	}
	for range 100 { // one request of each class leaves in 10 ms
		now = now.Add(10 * time.Millisecond)
		q.Pop(hoist.Quick, now)
		q.Pop(hoist.Patient, now)
	}
	cases := []struct {
		name     string
		customer hoist.CustomerID
		class    hoist.Class
		timeout  time.Duration
		// minHint and maxHint bound the hint of a refusal; 0 means no refusal.
		minHint, maxHint time.Duration
	}{
		{"backlog of two seconds, deadline in one", "large", hoist.Quick, time.Second, 900 * time.Millisecond, 1500 * time.Millisecond},
		{"patient work waits", "large", hoist.Patient, time.Second, 0, 0},
		{"another customer is served next", "small", hoist.Quick, time.Second, 0, 0},
		{"long deadline", "large", hoist.Quick, 3 * time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := push(c.customer, c.class, now, c.timeout)
			is.Equal(errors.Is(err, hoist.ErrOverLimit), c.maxHint > 0)
			hint := queue.RetryAfter(err)
			is.True(hint >= c.minHint && hint <= c.maxHint)
		})
	}
}

// TestRefusalBehindStalledBacklog guards against quick requests that wait until
// their deadline on a host without slots, which serves nothing from which to learn a
// rate.
func TestRefusalBehindStalledBacklog(t *testing.T) {
	is := is.New(t)
	q := queue.New[int](queue.Limits{PerCustomer: 1000})
	accepted := 0
	for i := range 200 { // one request in 10 ms, none is served
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := hoist.Request{Customer: "c", Class: hoist.Quick, Deadline: now.Add(time.Second)}
		if _, err := q.Push(r, 1, 0, now); err == nil {
			accepted++
		}
	}
	is.True(accepted < 50) // those of the first half second, before the stall is detected
}
