// Package slots keeps account of the slots of executors and chooses the executor
// for an attempt. Only the owner of an executor keeps its account, so that all
// hosts together never use more slots than the executor has.
//
// # Usage
//
//	pool := slots.New(slots.FastestFree{})
//	pool.Adopt(report, service)
//	pool.Advance(now)
//	executor, ok := pool.Take(service, hoist.Quick, key, rng)
//	...
//	pool.Give(executor, key, took)
//
// # Reserve
//
// Some slots of a service are reserved for quick work. Their number follows the
// quick attempts in flight; see reserve. Patient work and watches together use at
// most the other slots, and watches at most half of those, as they hold a slot
// for hours. Running attempts are never stopped for the reserve: after it has
// grown, its slots become free as patient work ends.
//
// # Learning
//
// The mean service time of each class is learned for the whole service, and for
// each executor one factor by which it is slower than that mean. An executor that
// is far slower than the others only gets single attempts as probes, which show
// when it has recovered.
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

// Pool holds the accounts of all executors that a host owns.
type Pool struct {
	policy     hoist.ExecutorPolicy
	isBaseline bool
	now        time.Time
	executors  map[hoist.ExecutorID]*account
	services   map[hoist.ServiceName]*group
	candidates []hoist.ExecutorSlots
}

// account is the slot account of one executor.
type account struct {
	id       hoist.ExecutorID
	group    *group
	slots    int
	leaving  bool
	inFlight map[hoist.RequestKey]hoist.Class
	slowdown slowdown
	// lastAttempt is when the executor was last given an attempt.
	lastAttempt time.Time
}

// group holds the executors of one service.
type group struct {
	service hoist.ServiceName
	// accounts is sorted by id, so that policies see a fixed order.
	accounts []*account
	// inFlight counts the attempts of each class over all accounts.
	inFlight     map[hoist.Class]int
	means        map[hoist.Class]*meanTime
	reserve      reserve
	cachedMedian cachedMedian
}

// New returns an empty pool that chooses executors by policy.
func New(policy hoist.ExecutorPolicy) *Pool {
	return &Pool{
		policy: policy, executors: make(map[hoist.ExecutorID]*account), services: make(map[hoist.ServiceName]*group),
	}
}

// NewBaseline returns an empty pool that reserves no slots and treats slow
// executors like the others. It is a baseline for comparisons.
func NewBaseline(policy hoist.ExecutorPolicy) *Pool {
	p := New(policy)
	p.isBaseline = true
	return p
}

// Advance sets the time and updates the reserves. Call it before Take and after
// changes of demand.
func (p *Pool) Advance(now time.Time) {
	p.now = now
	for _, g := range p.services {
		g.reserve.observe(g.inFlight[hoist.Quick], g.slots(), now)
	}
}

// Adopt opens the account of an executor with the attempts that it reports as
// running. If the account is already open, the learned slowdown and the classes
// of known attempts are kept; all other attempts count as patient.
func (p *Pool) Adopt(r hoist.ExecutorReport, service hoist.ServiceName) {
	old := p.executors[r.Executor]
	p.Remove(r.Executor)
	a := &account{
		id: r.Executor, group: p.group(service), slots: r.Slots, leaving: r.Leaving,
		inFlight: make(map[hoist.RequestKey]hoist.Class), slowdown: newSlowdown(),
	}
	if old != nil {
		a.slowdown, a.lastAttempt = old.slowdown, old.lastAttempt
	}
	for _, running := range r.Running {
		class := hoist.Patient
		if old != nil && old.inFlight[running.Key] != "" {
			class = old.inFlight[running.Key]
		}
		a.acquire(running.Key, class)
	}
	p.executors[r.Executor] = a
	a.group.add(a)
}

func (p *Pool) group(service hoist.ServiceName) *group {
	g, ok := p.services[service]
	if !ok {
		g = &group{service: service, inFlight: make(map[hoist.Class]int), means: make(map[hoist.Class]*meanTime)}
		p.services[service] = g
	}
	return g
}

func (g *group) add(a *account) {
	i, _ := slices.BinarySearchFunc(g.accounts, a.id, func(b *account, id hoist.ExecutorID) int { return cmp.Compare(b.id, id) })
	g.accounts = slices.Insert(g.accounts, i, a)
	g.cachedMedian.invalidate()
}

// Remove closes the account of an executor.
func (p *Pool) Remove(id hoist.ExecutorID) {
	a, ok := p.executors[id]
	if !ok {
		return
	}
	delete(p.executors, id)
	for key := range a.inFlight {
		a.release(key)
	}
	g := a.group
	g.accounts = slices.DeleteFunc(g.accounts, func(b *account) bool { return b == a })
	g.cachedMedian.invalidate()
	if len(g.accounts) == 0 {
		delete(p.services, g.service)
	}
}

// SetLeaving records whether an executor is leaving and takes no new work.
func (p *Pool) SetLeaving(id hoist.ExecutorID, leaving bool) {
	if a, ok := p.executors[id]; ok && a.leaving != leaving {
		a.leaving = leaving
		a.group.cachedMedian.invalidate()
	}
}

func (a *account) acquire(key hoist.RequestKey, class hoist.Class) {
	a.inFlight[key] = class
	a.group.inFlight[class]++
}

func (a *account) release(key hoist.RequestKey) (hoist.Class, bool) {
	class, ok := a.inFlight[key]
	if ok {
		delete(a.inFlight, key)
		a.group.inFlight[class]--
	}
	return class, ok
}

// Take acquires a slot of an executor of the service for the request key. It
// reports false if no slot is free for the class.
func (p *Pool) Take(service hoist.ServiceName, class hoist.Class, key hoist.RequestKey, rng *rand.Rand) (hoist.ExecutorID, bool) {
	g, ok := p.services[service]
	if !ok || p.available(g, class) <= 0 {
		return "", false
	}
	base := g.serviceTime(class)
	p.candidates = p.candidates[:0]
	for _, a := range g.accounts {
		// A second attempt of the key at one executor would share the entry of the
		// first.
		_, holdsKey := a.inFlight[key]
		if free := p.free(a); free > 0 && !holdsKey {
			p.candidates = append(p.candidates, hoist.ExecutorSlots{Executor: a.id, Free: free, InFlight: len(a.inFlight), Service: a.slowdown.scale(base)})
		}
	}
	i := p.pick(rng)
	if i < 0 {
		return "", false
	}
	a := p.executors[p.candidates[i].Executor]
	a.acquire(key, class)
	a.lastAttempt = p.now
	return a.id, true
}

// pick returns the index of the chosen candidate, or -1. An executor that is due for a
// probe comes first: a policy would not choose one that seems slow, so its
// slowdown would never be learned again.
func (p *Pool) pick(rng *rand.Rand) int {
	for i, c := range p.candidates {
		if !p.isBaseline && p.isProbeDue(p.executors[c.Executor]) {
			return i
		}
	}
	return p.policy.Pick(p.candidates, rng)
}

// available returns how many more attempts of a class the reserve allows. It does
// not consider whether that many slots are free.
func (p *Pool) available(g *group, class hoist.Class) int {
	total := g.slots()
	if class == hoist.Quick || p.isBaseline {
		return total
	}
	unreserved := total - g.reserve.sizeFor(total)
	available := unreserved - g.inFlight[hoist.Patient] - g.inFlight[hoist.Watch]
	if class == hoist.Watch {
		available = min(available, max(unreserved/2, 1)-g.inFlight[hoist.Watch])
	}
	return max(available, 0)
}

// slots returns the number of slots of the executors that take new work.
func (g *group) slots() int {
	total := 0
	for _, a := range g.accounts {
		if !a.leaving {
			total += a.slots
		}
	}
	return total
}

// free returns how many slots of an executor may be taken. If it is far slower
// than the others, that is one slot when a probe is due and none otherwise.
func (p *Pool) free(a *account) int {
	free := a.slots - len(a.inFlight)
	if a.leaving || free <= 0 {
		return 0
	}
	if p.isBaseline || !a.isSlow() {
		return free
	}
	if !p.isProbeDue(a) {
		return 0
	}
	return 1
}

// isProbeDue reports whether an executor has had no attempt for probeInterval.
func (p *Pool) isProbeDue(a *account) bool {
	return len(a.inFlight) == 0 && p.now.Sub(a.lastAttempt) >= probeInterval
}

// Give releases a slot after an attempt that took the given time; zero means that
// the attempt did not run.
func (p *Pool) Give(id hoist.ExecutorID, key hoist.RequestKey, took time.Duration) {
	a, ok := p.executors[id]
	if !ok {
		return
	}
	class, ok := a.release(key)
	if ok && took > 0 {
		a.learn(class, took)
	}
}

// Reconcile releases the slots of the requests that the executor no longer lists
// and for which isLive is false. isLive reports whether this host still waits for
// a request.
func (p *Pool) Reconcile(r hoist.ExecutorReport, isLive func(hoist.RequestKey) bool) {
	a, ok := p.executors[r.Executor]
	if !ok {
		return
	}
	p.SetLeaving(r.Executor, r.Leaving)
	listed := make(map[hoist.RequestKey]bool, len(r.Running))
	for _, running := range r.Running {
		listed[running.Key] = true
	}
	for key := range a.inFlight {
		if !listed[key] && !isLive(key) {
			a.release(key)
		}
	}
}

// Summary returns the free slots of each service, sorted by name.
func (p *Pool) Summary() []hoist.ServiceSlots {
	out := make([]hoist.ServiceSlots, 0, len(p.services))
	for _, g := range p.services {
		free := 0
		for _, a := range g.accounts {
			free += p.free(a)
		}
		out = append(out, hoist.ServiceSlots{Service: g.service, Quick: free, Patient: min(free, p.available(g, hoist.Patient))})
	}
	slices.SortFunc(out, func(a, b hoist.ServiceSlots) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ServiceTime returns the learned mean service time of a class, which is the cost
// of a request.
func (p *Pool) ServiceTime(service hoist.ServiceName, class hoist.Class) time.Duration {
	g, ok := p.services[service]
	if !ok {
		return initialServiceTime
	}
	return g.serviceTime(class)
}

// Reserved returns the number of slots of a service that are reserved for quick
// work, and how often the reserve has changed.
func (p *Pool) Reserved(service hoist.ServiceName) (size, changes int) {
	g, ok := p.services[service]
	if !ok || p.isBaseline {
		return 0, 0
	}
	return g.reserve.sizeFor(g.slots()), g.reserve.changes
}

// Running returns the keys of the attempts in flight at all executors.
func (p *Pool) Running() []hoist.RequestKey {
	var out []hoist.RequestKey
	for _, a := range p.executors {
		for key := range a.inFlight {
			out = append(out, key)
		}
	}
	return out
}
