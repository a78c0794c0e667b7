package load

import (
	"container/heap"
	"math/rand/v2"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/slots"
)

// request is one arrival in a simulation.
type request struct {
	Arrival
	handle  queue.Handle[*request]
	request hoist.Request
	runs    int
	ended   bool
}

// event is a function that is called at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventHeap orders events by time, then in the order in which they were added.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim is one run on virtual time.
type sim struct {
	in            Input
	result        *Result
	queue         *queue.Queue[*request]
	pool          *slots.Pool
	rng           *rand.Rand
	events        eventHeap
	seq           uint64
	now           time.Duration
	executorIndex map[hoist.ExecutorID]int
	// waiting counts the waiting requests of each group, so that refusals are
	// checked independently of the queue.
	waiting   map[group]int
	executors []simExecutor
}

// simExecutor is a stand-in executor. It keeps its running requests independently
// of the slot account that is under test.
type simExecutor struct {
	spec    ExecutorSpec
	running map[hoist.RequestKey]*request
}

// virtualStart is the wall time at which virtual time starts.
var virtualStart = time.Unix(1_000_000_000, 0)

// Simulate runs an input under a policy on virtual time until every request has
// an outcome.
func Simulate(in Input, p Policy, seed uint64) *Result {
	s := &sim{
		in: in, result: newResult(in, p.Name), queue: p.newQueue(), pool: p.newPool(),
		rng: rand.New(rand.NewPCG(seed, 1)), executorIndex: make(map[hoist.ExecutorID]int), waiting: make(map[group]int),
	}
	for i, spec := range in.Executors {
		s.executorIndex[spec.ID] = i
		s.executors = append(s.executors, simExecutor{spec, make(map[hoist.RequestKey]*request)})
		s.pool.Adopt(hoist.ExecutorReport{Executor: spec.ID, Slots: slotsPerExecutor}, service)
	}
	requests := make([]*request, len(in.Arrivals))
	for i, a := range in.Arrivals {
		requests[i] = newRequest(a)
		s.at(a.At, func() { s.arrive(requests[i]) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.countOutcomes(requests)
	return s.result
}

func newRequest(a Arrival) *request {
	return &request{Arrival: a, request: hoist.Request{
		Key: a.Key, Customer: a.Customer, Service: service, Class: a.Class,
		IssuedAt: virtualStart.Add(a.At), Deadline: virtualStart.Add(a.At + a.Timeout),
	}}
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at, s.seq, do})
}

func (s *sim) arrive(r *request) {
	cost := queue.VirtualTime(s.pool.ServiceTime(service, r.Class).Seconds())
	pushed, err := s.queue.Push(r.request, cost, r, virtualStart.Add(s.now))
	if err != nil {
		s.refuse(r)
		return
	}
	if pushed.HasEvicted {
		s.waiting[group{pushed.Evicted.Class, pushed.Evicted.Customer}]--
		s.refuse(pushed.Evicted)
	}
	r.handle = pushed.Handle
	s.waiting[group{r.Class, r.Customer}]++
	s.at(r.At+r.Timeout, func() { s.expire(r) })
	s.assign()
}

// expire refuses a request that still waits at its deadline.
func (s *sim) expire(r *request) {
	if s.queue.Remove(r.handle) {
		s.waiting[group{r.Class, r.Customer}]--
		s.result.Late++
		s.refuse(r)
	}
}

func (s *sim) refuse(r *request) {
	if r.ended || r.runs > 0 {
		s.result.Duplicated++
	}
	r.ended = true
	if r.Class == hoist.Quick && s.isUnfair(r) {
		s.result.Unfair++
	}
	s.result.refuse(r.Arrival)
}

// isUnfair reports whether the customer of a refused request has less than an
// equal share of all waiting requests of the class while another customer has more
// than that.
func (s *sim) isUnfair(r *request) bool {
	own := group{r.Class, r.Customer}
	total, customers, largestCount := 0, 1, 0
	for g, n := range s.waiting {
		if g.class != r.Class || n == 0 {
			continue
		}
		total += n
		largestCount = max(largestCount, n)
		if g != own {
			customers++
		}
	}
	share := float64(total) / float64(customers)
	return float64(s.waiting[own]) < share && float64(largestCount) > share
}

// assign assigns free slots to waiting requests, as the coordinator does.
func (s *sim) assign() {
	s.pool.Advance(virtualStart.Add(s.now))
	for _, class := range classes {
		for {
			r, ok := s.queue.Peek(class)
			if !ok {
				break
			}
			id, ok := s.pool.Take(service, r.Class, r.Key, s.rng)
			if !ok {
				break
			}
			s.queue.Pop(class, virtualStart.Add(s.now))
			s.waiting[group{r.Class, r.Customer}]--
			s.start(r, id)
		}
	}
}

func (s *sim) start(r *request, id hoist.ExecutorID) {
	i := s.executorIndex[id]
	e := s.executors[i]
	r.runs++
	s.result.Executors[i]++
	e.running[r.Key] = r
	if len(e.running) > slotsPerExecutor {
		s.result.Overcommitted++
	}
	wait := s.now - r.At
	serviceTime := e.spec.ServiceTime(r.Work, s.now)
	s.at(s.now+serviceTime, func() { s.finish(r, id, wait, serviceTime) })
}

func (s *sim) finish(r *request, id hoist.ExecutorID, wait, serviceTime time.Duration) {
	e := s.executors[s.executorIndex[id]]
	if e.running[r.Key] != r {
		s.result.Mismatched++
	}
	delete(e.running, r.Key)
	if r.ended {
		s.result.Duplicated++
	}
	r.ended = true
	s.result.answer(r.Arrival, wait)
	s.pool.Give(id, r.Key, serviceTime)
	s.assign()
}

// countOutcomes records the changes of the reserve and counts the requests without an
// outcome and those that ran more than once.
func (s *sim) countOutcomes(requests []*request) {
	_, s.result.Reserves = s.pool.Reserved(service)
	for _, r := range requests {
		if !r.ended {
			s.result.Lost++
		}
		if r.runs > 1 {
			s.result.Duplicated++
		}
	}
}
