package slots_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/slots"
)

const service hoist.ServiceName = "matching"

var (
	start   = time.Unix(1_000_000_000, 0)
	classes = []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch}
)

// model holds the attempts that hold slots, with which the pool must agree.
type model struct {
	pool    *slots.Pool
	rng     *rand.Rand
	now     time.Time
	sizes   map[hoist.ExecutorID]int
	leaving map[hoist.ExecutorID]bool
	held    map[hoist.RequestKey]attempt
	picks   []hoist.ExecutorID
}

type attempt struct {
	executor  hoist.ExecutorID
	class     hoist.Class
	startedAt time.Time
}

func newModel() *model {
	return &model{
		pool: slots.New(slots.FastestFree{}), rng: rand.New(rand.NewPCG(1, 2)), now: start,
		sizes: make(map[hoist.ExecutorID]int), leaving: make(map[hoist.ExecutorID]bool),
		held: make(map[hoist.RequestKey]attempt),
	}
}

// report returns the report of an executor on the attempts that it runs.
func (m *model) report(id hoist.ExecutorID) hoist.ExecutorReport {
	r := hoist.ExecutorReport{Executor: id, Slots: m.sizes[id], Leaving: m.leaving[id]}
	for key, a := range m.held {
		if a.executor == id {
			r.Running = append(r.Running, hoist.RunningAttempt{Key: key, Attempt: 1})
		}
	}
	return r
}

func (m *model) adopt(id hoist.ExecutorID, size int) {
	m.sizes[id] = size
	m.pool.Adopt(m.report(id), service)
}

func (m *model) take(class hoist.Class, key hoist.RequestKey) bool {
	id, ok := m.pool.Take(service, class, key, m.rng)
	if ok {
		m.held[key] = attempt{id, class, m.now}
		m.picks = append(m.picks, id)
	}
	return ok
}

// give ends an attempt that has run since its slot was taken.
func (m *model) give(key hoist.RequestKey) {
	a := m.held[key]
	m.pool.Give(a.executor, key, m.now.Sub(a.startedAt))
	delete(m.held, key)
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.pool.Advance(m.now)
}

// count returns the held slots of an executor, or of all if id is empty, over
// the given classes.
func (m *model) count(id hoist.ExecutorID, of ...hoist.Class) int {
	n := 0
	for _, a := range m.held {
		if (id == "" || a.executor == id) && slices.Contains(of, a.class) {
			n++
		}
	}
	return n
}

func (m *model) activeSlots() int {
	n := 0
	for id, size := range m.sizes {
		if !m.leaving[id] {
			n += size
		}
	}
	return n
}

// step draws and performs one operation, then checks the accounts.
func (m *model) step(t *rapid.T, i int) {
	id := hoist.ExecutorID(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "executor")))
	class := rapid.SampledFrom(classes).Draw(t, "class")
	switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
	case op == 0 && m.sizes[id] == 0:
		m.adopt(id, rapid.IntRange(1, 8).Draw(t, "slots"))
	case op == 0:
		m.leaving[id] = !m.leaving[id]
		m.pool.SetLeaving(id, m.leaving[id])
	case op == 1 && m.sizes[id] > 0:
		m.adopt(id, m.sizes[id]) // a restarted executor is adopted again
	case op == 2:
		m.pool.Reconcile(m.report(id), func(hoist.RequestKey) bool { return false })
	case op <= 4 && len(m.held) > 0:
		keys := m.pool.Running()
		slices.Sort(keys)
		m.give(rapid.SampledFrom(keys).Draw(t, "key"))
	case op == 5:
		m.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	default:
		m.checkTake(t, class, hoist.RequestKey(fmt.Sprintf("k%d", i)))
	}
	m.checkAccount(t)
}

func (m *model) checkTake(t *rapid.T, class hoist.Class, key hoist.RequestKey) {
	if !m.take(class, key) {
		return
	}
	reserved, _ := m.pool.Reserved(service)
	if patient := m.count("", hoist.Patient, hoist.Watch); class != hoist.Quick && patient > m.activeSlots()-reserved {
		t.Fatalf("patient work holds %d slots although %d of %d are reserved", patient, reserved, m.activeSlots())
	}
	if m.leaving[m.held[key].executor] {
		t.Fatalf("executor %s was picked although it is leaving", m.held[key].executor)
	}
}

func (m *model) checkAccount(t *rapid.T) {
	for id, size := range m.sizes {
		if n := m.count(id, classes...); n > size {
			t.Fatalf("executor %s holds %d of %d slots", id, n, size)
		}
	}
	if n := len(m.pool.Running()); n != len(m.held) {
		t.Fatalf("the pool counts %d running attempts, expected %d", n, len(m.held))
	}
}

// TestPoolInvariants guards against more attempts than slots, patient work in
// reserved slots, and slots that are never released.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t, i)
		}
		for key := range m.held {
			m.give(key)
		}
		m.advance(time.Hour)
		if n := m.pool.Summary(); len(m.sizes) > 0 && m.activeSlots() > 0 && n[0].Quick == 0 {
			t.Fatal("no slot is free after every attempt has ended")
		}
		m.checkAccount(t)
	})
}

// TestDeterministicPicks guards against choices that depend on the order of a map.
func TestDeterministicPicks(t *testing.T) {
	is := is.New(t)
	run := func() []hoist.ExecutorID {
		m := newModel()
		m.runLoad(200, func(hoist.ExecutorID, int) time.Duration { return 5 * time.Millisecond })
		return m.picks
	}
	is.Equal(run(), run())
}

// runLoad runs quick attempts at ten executors. Each step of a millisecond ends
// the attempts that are due and starts one.
func (m *model) runLoad(steps int, serviceTime func(id hoist.ExecutorID, i int) time.Duration) {
	for i := range 10 {
		if id := hoist.ExecutorID(fmt.Sprintf("e%d", i)); m.sizes[id] == 0 {
			m.adopt(id, 8)
		}
	}
	first := len(m.picks)
	for i := range steps {
		m.advance(time.Millisecond)
		keys := m.pool.Running()
		slices.Sort(keys)
		for _, key := range keys {
			if a := m.held[key]; m.now.Sub(a.startedAt) >= serviceTime(a.executor, i) {
				m.give(key)
			}
		}
		m.take(hoist.Quick, hoist.RequestKey(fmt.Sprintf("q%d", first+i)))
	}
}

func shareOf(picks []hoist.ExecutorID, id hoist.ExecutorID) float64 {
	n := 0
	for _, p := range picks {
		if p == id {
			n++
		}
	}
	return float64(n) / float64(len(picks))
}

// TestSlowExecutorGetsLessWork guards against work for an executor that has become
// ten times slower, and against an executor that gets no work after it has
// recovered.
func TestSlowExecutorGetsLessWork(t *testing.T) {
	is := is.New(t)
	m := newModel()
	constantTime := func(hoist.ExecutorID, int) time.Duration { return 20 * time.Millisecond }
	m.runLoad(2000, constantTime)
	m.runLoad(2000, func(id hoist.ExecutorID, i int) time.Duration {
		if id == "e0" {
			return 10 * constantTime(id, i)
		}
		return constantTime(id, i)
	})
	after := len(m.picks)
	m.runLoad(2000, func(id hoist.ExecutorID, i int) time.Duration {
		if id == "e0" {
			return 10 * constantTime(id, i)
		}
		return constantTime(id, i)
	})
	is.True(shareOf(m.picks[after:], "e0") > 0)    // the slow executor is probed
	is.True(shareOf(m.picks[after:], "e0") < 0.01) // the slow executor gets less than 1% of the work
	m.runLoad(4000, constantTime)
	is.True(shareOf(m.picks[len(m.picks)-2000:], "e0") > 0.05) // the recovered executor gets work again
}

// TestServiceTimeIgnoresOutliers guards against a mean service time that follows
// outliers.
func TestServiceTimeIgnoresOutliers(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.runLoad(5000, func(_ hoist.ExecutorID, i int) time.Duration {
		if i%50 == 0 { // attempts that would end at this step run on
			return time.Second
		}
		return 5 * time.Millisecond
	})
	mean := m.pool.ServiceTime(service, hoist.Quick)
	is.True(mean >= 5*time.Millisecond && mean < 7*time.Millisecond)
}

// TestReservedSlotsFollowDemand guards against a number of reserved slots that
// follows the demand of quick work too late or keeps changing.
func TestReservedSlotsFollowDemand(t *testing.T) {
	m := newModel()
	for i := range 10 {
		m.adopt(hoist.ExecutorID(fmt.Sprintf("e%d", i)), 8)
	}
	n := 0
	setDemand := func(want int) {
		for ; m.count("", hoist.Quick) < want; n++ {
			m.take(hoist.Quick, hoist.RequestKey(fmt.Sprintf("q%04d", n)))
		}
		keys := m.pool.Running()
		slices.Sort(keys)
		for _, key := range keys[:len(keys)-want] {
			m.give(key)
		}
	}
	cases := []struct {
		name             string
		demand, noise    int
		duration         time.Duration
		minSize, maxSize int
		maxChanges       int
	}{
		{"little demand", 10, 0, 10 * time.Second, 11, 16, 10},
		{"demand grows fivefold within a second", 50, 0, time.Second, 50, 70, 60},
		{"steady demand with noise", 50, 4, 10 * time.Second, 50, 70, 5},
		{"demand falls back within ten seconds", 10, 0, 10 * time.Second, 11, 18, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, before := m.pool.Reserved(service)
			for i := range int(c.duration / (20 * time.Millisecond)) {
				setDemand(c.demand + (i%3-1)*c.noise)
				m.advance(20 * time.Millisecond)
			}
			size, after := m.pool.Reserved(service)
			is.True(size >= c.minSize && size <= c.maxSize)
			is.True(after-before <= c.maxChanges)
		})
	}
}
