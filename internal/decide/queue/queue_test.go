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
	ticket   queue.Handle[*entry]
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

// request returns a patient request, which is never refused for its deadline.
func request(customer hoist.CustomerID) hoist.Request {
	return hoist.Request{Customer: customer, Class: hoist.Patient, Deadline: start.Add(time.Hour)}
}

func (m *model) most() int {
	most := 0
	for _, w := range m.waiting {
		most = max(most, len(w))
	}
	return most
}

func (m *model) take(e *entry) {
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
	own, most := len(m.waiting[customer]), m.most()
	pushed, err := m.q.Push(request(customer), cost, e, m.now)
	switch isFull := m.total >= m.limits.Total; {
	case errors.Is(err, hoist.ErrOverLimit):
		if own < m.limits.PerCustomer && (!isFull || own < most) {
			t.Fatalf("customer %s with %d of %d waiting was refused, the most is %d", customer, own, m.total, most)
		}
		return
	case pushed.HasDropped:
		d := pushed.Dropped
		w := m.waiting[d.customer]
		if !isFull || len(w) != most || w[len(w)-1] != d {
			t.Fatalf("request %d of customer %s with %d waiting was dropped, the most is %d", d.no, d.customer, len(w), most)
		}
		m.take(d)
	}
	e.ticket = pushed.Ticket
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
	m.take(e)
}

func (m *model) remove(t *rapid.T, i int) {
	customer := name(i)
	if w := m.waiting[customer]; len(w) > 0 {
		e := rapid.SampledFrom(w).Draw(t, "entry")
		if !m.q.Remove(e.ticket) || m.q.Remove(e.ticket) {
			t.Fatal("a waiting request must be removed exactly once")
		}
		m.take(e)
	}
}

func (m *model) check(t *rapid.T) {
	if n := m.q.Len(hoist.Patient); n != m.total || n > m.limits.Total || m.most() > m.limits.PerCustomer {
		t.Fatalf("%d requests wait, expected %d, limits %+v", n, m.total, m.limits)
	}
	if n := m.q.Customers(hoist.Patient); m.total == 0 && n > 0 {
		t.Fatalf("%d customers are remembered though nothing waits", n)
	}
}

func name(i int) hoist.CustomerID {
	return hoist.CustomerID(fmt.Sprintf("c%d", i))
}

// TestQueue guards against requests served out of order within a customer,
// limits that are passed, unfair refusals and customers that are never
// forgotten.
func TestQueue(t *testing.T) {
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

// TestFairness guards against customers with a backlog whose service drifts
// apart by more than one request of each, the bound of start-time fair queueing.
func TestFairness(t *testing.T) {
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

// TestIdle guards against memory for customers that came once: a wave of
// thousands is removed in any order, or served while another customer waits.
func TestIdle(t *testing.T) {
	const wave = 5000
	cases := []struct {
		name  string
		leave func(q *queue.Queue[int], tickets []queue.Handle[int])
	}{
		{"removed", func(q *queue.Queue[int], tickets []queue.Handle[int]) {
			for i := range tickets {
				q.Remove(tickets[i*7%wave])
			}
		}},
		{"served", func(q *queue.Queue[int], _ []queue.Handle[int]) {
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
			tickets := make([]queue.Handle[int], wave)
			for i := range tickets {
				pushed, err := q.Push(request(name(i)), 1, i, start)
				is.NoErr(err)
				tickets[i] = pushed.Ticket
			}
			c.leave(q, tickets)
			is.True(q.Len(hoist.Patient) > 0)       // the steady customer waits
			is.Equal(q.Customers(hoist.Patient), 1) // and is the only one remembered
		})
	}
}

// TestPredictedWait guards against quick requests that wait for nothing, and
// against refusals of customers that have no part in the backlog.
func TestPredictedWait(t *testing.T) {
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
		// least and most bound the hint of a refusal; 0 means no refusal.
		least, most time.Duration
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
			is.Equal(errors.Is(err, hoist.ErrOverLimit), c.most > 0)
			hint := queue.RetryAfter(err)
			is.True(hint >= c.least && hint <= c.most)
		})
	}
}

// TestStalledBacklog guards against quick requests that wait for their deadline
// on a host that has no slots, whose rate is never learned from what it serves.
func TestStalledBacklog(t *testing.T) {
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
	is.True(accepted < 50) // those of the first half second, before the stall shows
}
