// Package slots keeps the account of the slots of executors and chooses the
// executor for an attempt. Only the owner of an executor keeps its account, so
// that the slots in use over all hosts never pass what the executor has.
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
// A part of the slots of a service is reserved for quick work. Its size follows
// the quick attempts in flight; see reserve. Patient work and watches together
// hold at most the other slots, and watches at most half of those, as they hold
// a slot for hours. Attempts that run are never stopped for the reserve: when
// it grows, the slots beyond it come free as patient work ends.
//
// # Learning
//
// The mean service time of each class is learned for the whole service, and one
// factor for each executor tells how much slower than that it is. An executor
// that is far slower than the others is only probed, so that it can recover.
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
	policy    hoist.ExecutorPolicy
	isPlain   bool
	now       time.Time
	executors map[hoist.ExecutorID]*account
	services  map[hoist.ServiceName]*group
	views     []hoist.SlotView
}

// account is the slot account of one executor.
type account struct {
	id       hoist.ExecutorID
	group    *group
	slots    int
	leaving  bool
	inFlight map[hoist.RequestKey]hoist.Class
	speed    speed
	// probed is when the executor was last given an attempt.
	probed time.Time
}

// group holds the executors of one service.
type group struct {
	service hoist.ServiceName
	// accounts are in order of id, so that policies see a fixed order.
	accounts []*account
	// inFlight counts the attempts of each class at all accounts.
	inFlight map[hoist.Class]int
	means    map[hoist.Class]*mean
	reserve  reserve
	typical  typical
}

// New returns an empty pool that chooses by policy.
func New(policy hoist.ExecutorPolicy) *Pool {
	return &Pool{
		policy: policy, executors: make(map[hoist.ExecutorID]*account), services: make(map[hoist.ServiceName]*group),
	}
}

// NewPlain returns an empty pool that reserves no slots and treats slow
// executors like the others. It is a baseline.
func NewPlain(policy hoist.ExecutorPolicy) *Pool {
	p := New(policy)
	p.isPlain = true
	return p
}

// Advance tells the time. Call it before Take and after changes of demand.
func (p *Pool) Advance(now time.Time) {
	p.now = now
	for _, g := range p.services {
		g.reserve.observe(g.inFlight[hoist.Quick], g.slots(), now)
	}
}

// Adopt opens the account of an executor with what it reports to run. An
// account that is open already keeps its learned speed and the classes of its
// attempts; other attempts count as patient.
func (p *Pool) Adopt(r hoist.ExecutorReport, service hoist.ServiceName) {
	old := p.executors[r.Executor]
	p.Remove(r.Executor)
	a := &account{
		id: r.Executor, group: p.group(service), slots: r.Slots, leaving: r.Leaving,
		inFlight: make(map[hoist.RequestKey]hoist.Class), speed: newSpeed(),
	}
	if old != nil {
		a.speed, a.probed = old.speed, old.probed
	}
	for _, running := range r.Running {
		class := hoist.Patient
		if old != nil && old.inFlight[running.Key] != "" {
			class = old.inFlight[running.Key]
		}
		a.hold(running.Key, class)
	}
	p.executors[r.Executor] = a
	a.group.add(a)
}

func (p *Pool) group(service hoist.ServiceName) *group {
	g, ok := p.services[service]
	if !ok {
		g = &group{service: service, inFlight: make(map[hoist.Class]int), means: make(map[hoist.Class]*mean)}
		p.services[service] = g
	}
	return g
}

func (g *group) add(a *account) {
	i, _ := slices.BinarySearchFunc(g.accounts, a.id, func(b *account, id hoist.ExecutorID) int { return cmp.Compare(b.id, id) })
	g.accounts = slices.Insert(g.accounts, i, a)
	g.typical.expire()
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
	g.typical.expire()
	if len(g.accounts) == 0 {
		delete(p.services, g.service)
	}
}

// SetLeaving records that an executor takes no new work.
func (p *Pool) SetLeaving(id hoist.ExecutorID, leaving bool) {
	if a, ok := p.executors[id]; ok && a.leaving != leaving {
		a.leaving = leaving
		a.group.typical.expire()
	}
}

func (a *account) hold(key hoist.RequestKey, class hoist.Class) {
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

// Take takes a slot of an executor of the service for the request key. It
// reports false if no slot is free for the class.
func (p *Pool) Take(service hoist.ServiceName, class hoist.Class, key hoist.RequestKey, rng *rand.Rand) (hoist.ExecutorID, bool) {
	g, ok := p.services[service]
	if !ok || p.room(g, class) <= 0 {
		return "", false
	}
	base := g.mean(class)
	p.views = p.views[:0]
	for _, a := range g.accounts {
		// An attempt of the key that still holds a slot would share its entry.
		_, isHere := a.inFlight[key]
		if free := p.free(a); free > 0 && !isHere {
			p.views = append(p.views, hoist.SlotView{Executor: a.id, Free: free, InFlight: len(a.inFlight), Service: a.speed.scale(base)})
		}
	}
	i := p.pick(rng)
	if i < 0 {
		return "", false
	}
	a := p.executors[p.views[i].Executor]
	a.hold(key, class)
	a.probed = p.now
	return a.id, true
}

// pick returns the index of a view. An executor that is due for a probe goes
// first: a policy would not choose one that seems slow, whose speed would then
// never be learned again.
func (p *Pool) pick(rng *rand.Rand) int {
	for i, v := range p.views {
		if !p.isPlain && p.isDue(p.executors[v.Executor]) {
			return i
		}
	}
	return p.policy.Pick(p.views, rng)
}

// room returns how many more attempts of a class the service may hold by the
// reserve. Slots may be taken nonetheless.
func (p *Pool) room(g *group, class hoist.Class) int {
	total := g.slots()
	if class == hoist.Quick || p.isPlain {
		return total
	}
	open := total - g.reserve.of(total)
	room := open - g.inFlight[hoist.Patient] - g.inFlight[hoist.Watch]
	if class == hoist.Watch {
		room = min(room, max(open/2, 1)-g.inFlight[hoist.Watch])
	}
	return max(room, 0)
}

// slots returns the slots of the executors that take new work.
func (g *group) slots() int {
	total := 0
	for _, a := range g.accounts {
		if !a.leaving {
			total += a.slots
		}
	}
	return total
}

// free returns how many slots of an executor may be taken: one at a time, and
// not often, if it is far slower than the others.
func (p *Pool) free(a *account) int {
	free := a.slots - len(a.inFlight)
	if a.leaving || free <= 0 {
		return 0
	}
	if p.isPlain || !a.isSlow() {
		return free
	}
	if !p.isDue(a) {
		return 0
	}
	return 1
}

// isDue reports whether an executor has had no attempt for probeEvery.
func (p *Pool) isDue(a *account) bool {
	return len(a.inFlight) == 0 && p.now.Sub(a.probed) >= probeEvery
}

// Give returns a slot after an attempt that took the given time; zero means
// that it did not run.
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

// Reconcile drops the in-flight requests that the executor no longer lists and
// that are not in live, the requests that this host still waits for.
func (p *Pool) Reconcile(r hoist.ExecutorReport, live func(hoist.RequestKey) bool) {
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
		if !listed[key] && !live(key) {
			a.release(key)
		}
	}
}

// Summary returns the free slots by service, in order of name.
func (p *Pool) Summary() []hoist.ServiceSlots {
	out := make([]hoist.ServiceSlots, 0, len(p.services))
	for _, g := range p.services {
		free := 0
		for _, a := range g.accounts {
			free += p.free(a)
		}
		out = append(out, hoist.ServiceSlots{Service: g.service, Quick: free, Patient: min(free, p.room(g, hoist.Patient))})
	}
	slices.SortFunc(out, func(a, b hoist.ServiceSlots) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ServiceTime returns the learned mean service time of a class, as the cost of
// a request.
func (p *Pool) ServiceTime(service hoist.ServiceName, class hoist.Class) time.Duration {
	g, ok := p.services[service]
	if !ok {
		return initialService
	}
	return g.mean(class)
}

// Reserved returns how many slots of a service are reserved for quick work, and
// how often that number has changed.
func (p *Pool) Reserved(service hoist.ServiceName) (size, changes int) {
	g, ok := p.services[service]
	if !ok || p.isPlain {
		return 0, 0
	}
	return g.reserve.of(g.slots()), g.reserve.changes
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
