// Package slots keeps the account of the slots of executors and chooses the
// executor for an attempt. Only the owner of an executor keeps its account, so
// that the slots in use over all hosts never pass what the executor has.
//
// # Usage
//
//	pool := slots.New(slots.FastestFree{})
//	pool.Adopt(report, service)
//	executor, ok := pool.Take(service, hoist.Quick, key, rng)
//	...
//	pool.Give(executor, key, took, now)
//
// The type is not safe for concurrent use and reads no clock.
package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// initialService is the assumed service time of an executor without history.
const initialService = 5 * time.Millisecond

// Pool holds the accounts of all executors that a host owns.
type Pool struct {
	policy    hoist.ExecutorPolicy
	isPlain   bool
	executors map[hoist.ExecutorID]*account
}

// account is the slot account of one executor.
type account struct {
	id       hoist.ExecutorID
	service  hoist.ServiceName
	slots    int
	leaving  bool
	inFlight map[hoist.RequestKey]hoist.Class
	mean     time.Duration
}

// New returns an empty pool that chooses by policy.
func New(policy hoist.ExecutorPolicy) *Pool {
	return &Pool{policy: policy, executors: make(map[hoist.ExecutorID]*account)}
}

// NewPlain returns an empty pool that reserves no slots. It is a baseline.
func NewPlain(policy hoist.ExecutorPolicy) *Pool {
	p := New(policy)
	p.isPlain = true
	return p
}

// Adopt opens the account of an executor with what it reports to run.
func (p *Pool) Adopt(r hoist.ExecutorReport, service hoist.ServiceName) {
	a := &account{
		id: r.Executor, service: service, slots: r.Slots, leaving: r.Leaving,
		inFlight: make(map[hoist.RequestKey]hoist.Class), mean: initialService,
	}
	for _, running := range r.Running {
		a.inFlight[running.Key] = hoist.Patient
	}
	p.executors[r.Executor] = a
}

// Remove closes the account of an executor.
func (p *Pool) Remove(id hoist.ExecutorID) {
	delete(p.executors, id)
}

// SetLeaving records that an executor takes no new work.
func (p *Pool) SetLeaving(id hoist.ExecutorID, leaving bool) {
	if a, ok := p.executors[id]; ok {
		a.leaving = leaving
	}
}

// Take takes a slot of an executor of the service for the request key. It
// reports false if no slot is free for the class.
func (p *Pool) Take(service hoist.ServiceName, class hoist.Class, key hoist.RequestKey, rng *rand.Rand) (hoist.ExecutorID, bool) {
	var views []hoist.SlotView
	for _, a := range p.executors {
		if free := p.free(a, class); a.service == service && free > 0 {
			views = append(views, hoist.SlotView{Executor: a.id, Free: free, InFlight: len(a.inFlight), Service: a.mean})
		}
	}
	// Map order is random; policies see a fixed order.
	slices.SortFunc(views, func(a, b hoist.SlotView) int { return cmp.Compare(a.Executor, b.Executor) })
	i := p.policy.Pick(views, rng)
	if i < 0 {
		return "", false
	}
	p.executors[views[i].Executor].inFlight[key] = class
	return views[i].Executor, true
}

// free returns how many slots class may take: one in four is kept for quick
// requests.
func (p *Pool) free(a *account, class hoist.Class) int {
	if a.leaving {
		return 0
	}
	free := a.slots - len(a.inFlight)
	if class != hoist.Quick && !p.isPlain {
		free -= a.slots / 4
	}
	return max(free, 0)
}

// Give returns a slot after an attempt that took the given time; zero means
// that it did not run.
func (p *Pool) Give(id hoist.ExecutorID, key hoist.RequestKey, took time.Duration) {
	a, ok := p.executors[id]
	if !ok {
		return
	}
	delete(a.inFlight, key)
	if took > 0 {
		// An exponential average over about eight attempts.
		a.mean += (took - a.mean) / 8
	}
}

// Reconcile drops the in-flight requests that the executor no longer lists and
// that are not in live, the requests that this host still waits for.
func (p *Pool) Reconcile(r hoist.ExecutorReport, live func(hoist.RequestKey) bool) {
	a, ok := p.executors[r.Executor]
	if !ok {
		return
	}
	a.leaving = r.Leaving
	listed := make(map[hoist.RequestKey]bool, len(r.Running))
	for _, running := range r.Running {
		listed[running.Key] = true
	}
	for key := range a.inFlight {
		if !listed[key] && !live(key) {
			delete(a.inFlight, key)
		}
	}
}

// Summary returns the free slots by service.
func (p *Pool) Summary() []hoist.ServiceSlots {
	byService := make(map[hoist.ServiceName]*hoist.ServiceSlots)
	for _, a := range p.executors {
		s, ok := byService[a.service]
		if !ok {
			s = &hoist.ServiceSlots{Service: a.service}
			byService[a.service] = s
		}
		s.Quick += p.free(a, hoist.Quick)
		s.Patient += p.free(a, hoist.Patient)
	}
	out := make([]hoist.ServiceSlots, 0, len(byService))
	for _, s := range byService {
		out = append(out, *s)
	}
	return out
}

// Running returns the keys in flight at all executors.
func (p *Pool) Running() []hoist.RequestKey {
	var out []hoist.RequestKey
	for _, a := range p.executors {
		for key := range a.inFlight {
			out = append(out, key)
		}
	}
	return out
}
