package grant_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/grant"
)

var (
	start    = time.Unix(1000, 0)
	capacity = hoist.Resources{CPU: 1000, Memory: 1000, Accel: 2}
	small    = hoist.Resources{CPU: 400, Memory: 400}
)

func taskStatus(id hoist.TaskID, attempt hoist.AttemptNo, need hoist.Resources) hoist.TaskStatus {
	return hoist.TaskStatus{Task: id, Attempt: attempt, Need: need, Started: start.Add(time.Hour)}
}

func report(running ...hoist.TaskStatus) hoist.WorkerReport {
	return hoist.WorkerReport{Worker: "w", Capacity: capacity, Running: running}
}

func newGrant(id hoist.TaskID, attempt hoist.AttemptNo, need hoist.Resources) hoist.Grant {
	return hoist.Grant{Task: id, Attempt: attempt, Need: need}
}

// TestReserve guards against reservations beyond the capacity of a worker, and
// against errors of the wrong kind, which callers act on.
func TestReserve(t *testing.T) {
	cases := []struct {
		name    string
		running []hoist.TaskStatus
		leaving bool
		grant   hoist.Grant
		kind    error
	}{
		{"fits", nil, false, newGrant("n", 1, capacity), nil},
		{"same attempt", []hoist.TaskStatus{taskStatus("n", 1, small)}, false, newGrant("n", 1, small), nil},
		{"other attempt", []hoist.TaskStatus{taskStatus("n", 1, small)}, false, newGrant("n", 2, small), hoist.ErrConflict},
		{"other need", []hoist.TaskStatus{taskStatus("n", 1, small)}, false, newGrant("n", 1, capacity), hoist.ErrConflict},
		{"worker is leaving", nil, true, newGrant("n", 1, small), hoist.ErrLeaving},
		{"zero need", nil, false, newGrant("n", 1, hoist.Resources{}), hoist.ErrInvalid},
		{"negative need", nil, false, newGrant("n", 1, hoist.Resources{CPU: -1, Memory: 1}), hoist.ErrInvalid},
		{"report lists a task twice", []hoist.TaskStatus{taskStatus("a", 1, small), taskStatus("a", 1, small)}, false, newGrant("n", 1, small), nil},
		{"report lists a negative need", []hoist.TaskStatus{taskStatus("a", 1, hoist.Resources{CPU: -500})}, false, newGrant("n", 1, hoist.Resources{CPU: 1001}), hoist.ErrNoCapacity},
		{"worker is overcommitted in another resource", []hoist.TaskStatus{taskStatus("a", 1, hoist.Resources{CPU: 1001})}, false, newGrant("n", 1, hoist.Resources{Accel: 1}), hoist.ErrNoCapacity},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := report(c.running...)
			r.Leaving = c.leaving
			if err := grant.NewAccount(r).Reserve(c.grant, start); !errors.Is(err, c.kind) {
				t.Errorf("error is %v, expected %v", err, c.kind)
			}
		})
	}
}

// committed returns an account on which attempt 2 of task n is committed.
func committed(t *testing.T) *grant.Account {
	t.Helper()
	a := grant.NewAccount(report())
	is.New(t).NoErr(a.Reserve(newGrant("n", 2, small), start))
	is.New(t).NoErr(a.Commit("n", 2, start))
	return a
}

// TestDelayedMessagesKeepCapacity guards against releasing the capacity of a running
// task because of a message about another attempt or from before the start.
func TestDelayedMessagesKeepCapacity(t *testing.T) {
	later := start.Add(time.Second)
	cases := []struct {
		name  string
		apply func(*grant.Account)
	}{
		{"unreserve after commit", func(a *grant.Account) { a.Unreserve("n", 2) }},
		{"release of another attempt", func(a *grant.Account) { a.ReleaseAttempt("n", 1) }},
		{"answer to another attempt", func(a *grant.Account) { a.RecordAttemptAnswer("n", 1, start); a.Reconcile(report(), later) }},
		{"report while the start is in flight", func(a *grant.Account) { a.Reconcile(report(), later) }},
		{"report requested before the answer", func(a *grant.Account) { a.RecordAnswer("n", later); a.Reconcile(report(), start) }},
		{"expiry after commit", func(a *grant.Account) { a.FreeAt(start.Add(time.Hour)) }},
		{"report older than the last", func(a *grant.Account) {
			a.RecordAnswer("n", start)
			a.Reconcile(report(taskStatus("n", 2, small)), later)
			a.Reconcile(report(), later.Add(-1))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := committed(t)
			c.apply(a)
			is.New(t).Equal(a.Free(), capacity.Sub(small))
		})
	}
	t.Run("answer before the commit", func(t *testing.T) {
		is := is.New(t)
		a := grant.NewAccount(report())
		is.NoErr(a.Reserve(newGrant("n", 2, small), start))
		a.RecordAnswer("n", start)
		is.NoErr(a.Commit("n", 2, start))
		a.Reconcile(report(), later)
		is.Equal(a.Free(), capacity.Sub(small))
	})
	t.Run("second commit", func(t *testing.T) {
		is.New(t).True(errors.Is(committed(t).Commit("n", 2, start), hoist.ErrOutcomeUnknown))
	})
}

// TestReconcile guards against capacity that stays granted to tasks that do not
// run, and against running tasks that are not counted.
func TestReconcile(t *testing.T) {
	later := start.Add(time.Second)
	leaving := report()
	leaving.Leaving = true
	halved := report(taskStatus("n", 2, small))
	halved.Capacity = hoist.Resources{CPU: 500, Memory: 500}
	ended := report()
	ended.Ended = []hoist.TaskStatus{taskStatus("n", 2, small)}
	cases := []struct {
		name    string
		report  hoist.WorkerReport
		missing int
		free    hoist.Resources
	}{
		{"start never arrived", report(), 1, capacity},
		{"attempt has ended", ended, 0, capacity},
		{"attempt runs", report(taskStatus("n", 2, small)), 0, capacity.Sub(small)},
		{"another attempt runs", report(taskStatus("n", 1, small)), 1, capacity.Sub(small)},
		{"unknown task runs", report(taskStatus("n", 2, small), taskStatus("x", 1, small)), 0, capacity.Sub(small).Sub(small)},
		{"worker shrank", halved, 0, hoist.Resources{CPU: 100, Memory: 100}},
		{"worker leaves", leaving, 1, hoist.Resources{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := committed(t)
			a.RecordAnswer("n", start)
			missing := a.Reconcile(c.report, later)
			is.Equal(len(missing), c.missing)
			release(t, a, missing)
			a.Reconcile(c.report, later.Add(time.Second))
			is.Equal(a.Free(), c.free)
		})
	}
	t.Run("adopted task ends although the worker's clock is ahead", func(t *testing.T) {
		is := is.New(t)
		a := grant.NewAccount(report(taskStatus("n", 2, small)))
		missing := a.Reconcile(report(), later)
		is.Equal(len(missing), 1)
		release(t, a, missing)
		is.Equal(a.Free(), capacity)
	})
}

// release releases missing attempts, as the owner does once the worker refuses
// them. It checks that they kept their capacity until then, because their starts
// could still arrive.
func release(t *testing.T, a *grant.Account, missing []hoist.Grant) {
	t.Helper()
	for _, g := range missing {
		before := a.Free()
		a.ReleaseAttempt(g.Task, g.Attempt)
		if a.Free() == before && before != (hoist.Resources{}) {
			t.Errorf("task %s had no capacity reserved while its start could still arrive", g.Task)
		}
	}
}

// TestReservationExpiry guards against reservations that never expire, and against
// starts on a worker that began to leave after the reservation.
func TestReservationExpiry(t *testing.T) {
	is := is.New(t)
	a := grant.NewAccount(report())
	is.NoErr(a.Reserve(newGrant("a", 1, small), start))
	is.NoErr(a.Reserve(newGrant("b", 1, small), start.Add(time.Second)))
	is.Equal(a.FreeAt(start.Add(grant.ReservationTime)), capacity.Sub(small).Sub(small))
	is.Equal(a.FreeAt(start.Add(grant.ReservationTime+1)), capacity.Sub(small))
	is.Equal(len(a.Committed()), 0)
	is.True(errors.Is(a.Commit("a", 1, start), hoist.ErrNotFound))
	a.SetLeaving(true)
	is.True(errors.Is(a.Commit("b", 1, start), hoist.ErrLeaving))
	a.SetLeaving(false)
	is.Equal(a.FreeAt(start.Add(time.Hour)), capacity)
}

// model is a worker, the account of its owner, and the messages in flight between
// them.
type model struct {
	account  *grant.Account
	now      time.Time
	term     hoist.Term
	running  map[hoist.TaskID]hoist.TaskStatus
	ended    []hoist.TaskStatus
	leaving  bool
	reserved []hoist.Grant
	starts   []hoist.Grant
	reports  []requestedReport
	// limit is the capacity of the worker, or what it ran before any grant if that
	// is more.
	limit hoist.Resources
}

type requestedReport struct {
	report      hoist.WorkerReport
	requestedAt time.Time
}

func (m *model) report() hoist.WorkerReport {
	r := report()
	r.Leaving, r.Ended = m.leaving, m.ended
	for _, t := range m.running {
		r.Running = append(r.Running, t)
	}
	return r
}

func (m *model) reserve(t *rapid.T) {
	n := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
	g := newGrant(hoist.TaskID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "task")), hoist.AttemptNo(len(m.reserved)+1),
		hoist.Resources{CPU: hoist.MilliCPU(n(100, 700, "cpu")), Memory: hoist.MiB(n(0, 500, "memory"))})
	if len(m.reserved) > 0 && n(0, 4, "duplicate") == 0 {
		g = rapid.SampledFrom(m.reserved).Draw(t, "made")
	}
	if m.account.Reserve(g, m.now) == nil {
		m.reserved = append(m.reserved, g)
		if m.account.IsOvercommitted() && len(m.account.Committed()) < len(m.account.Grants()) {
			t.Fatalf("reserved %v although the worker is overcommitted", g)
		}
	}
}

func (m *model) commit(t *rapid.T) {
	g := m.reserved[len(m.reserved)-1-rapid.IntRange(0, min(3, len(m.reserved)-1)).Draw(t, "made")]
	if m.account.Commit(g.Task, g.Attempt, m.now) == nil {
		g.Term = m.term
		m.starts = append(m.starts, g)
	}
}

// deliver delivers or drops one start. A delivered start runs or is refused. The
// owner handles a dropped start like one whose answer was lost.
func (m *model) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(m.starts)-1).Draw(t, "start")
	g := m.starts[i]
	m.starts = append(m.starts[:i], m.starts[i+1:]...)
	isDropped := rapid.IntRange(0, 3).Draw(t, "dropped") == 0
	isRefused := g.Term < m.term || m.leaving
	if !isDropped && !isRefused {
		m.running[g.Task] = taskStatus(g.Task, g.Attempt, g.Need)
	}
	switch {
	case g.Term < m.term:
	case isRefused && !isDropped:
		m.account.ReleaseAttempt(g.Task, g.Attempt)
	default:
		m.account.RecordAttemptAnswer(g.Task, g.Attempt, m.now)
	}
}

func (m *model) end(t *rapid.T) {
	id := hoist.TaskID(rapid.SampledFrom([]string{"a", "b", "c", "d", "old"}).Draw(t, "task"))
	if status, ok := m.running[id]; ok {
		delete(m.running, id)
		m.ended = append(m.ended, status)
	}
}

// actions returns the possible next actions. An action that is listed several times
// is chosen more often.
func (m *model) actions() []func(*rapid.T) {
	commit, deliver := ifNotEmpty(&m.reserved, m.commit), ifNotEmpty(&m.starts, m.deliver)
	wait := func(t *rapid.T) {
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	}
	requestReport := func(*rapid.T) { m.reports = append(m.reports, requestedReport{m.report(), m.now}) }
	reconcile := ifNotEmpty(&m.reports, func(t *rapid.T) {
		r := m.reports[len(m.reports)-1-rapid.IntRange(0, min(2, len(m.reports)-1)).Draw(t, "report")]
		m.account.Reconcile(r.report, r.requestedAt)
	})
	unreserve := ifNotEmpty(&m.reserved, func(t *rapid.T) {
		g := rapid.SampledFrom(m.reserved).Draw(t, "made")
		m.account.Unreserve(g.Task, g.Attempt)
	})
	adopt := func(*rapid.T) {
		m.term++
		m.account, m.reports = grant.NewAccount(m.report()), nil
	}
	leave := func(t *rapid.T) { m.leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0 }
	return []func(*rapid.T){
		m.reserve, m.reserve, m.reserve, m.reserve, commit, commit, commit, commit, deliver, deliver, deliver,
		wait, wait, requestReport, requestReport, reconcile, reconcile, unreserve, m.end, adopt, leave,
	}
}

// ifNotEmpty returns an action that does nothing while there are no items.
func ifNotEmpty[T any](items *[]T, action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(*items) > 0 {
			action(t)
		}
	}
}

func (m *model) check(t *rapid.T) {
	var counted, used hoist.Resources
	for _, g := range m.account.Grants() {
		counted = counted.Add(g.Need)
	}
	committed := make(map[hoist.TaskID]hoist.AttemptNo)
	for _, g := range m.account.Committed() {
		committed[g.Task] = g.Attempt
	}
	for _, status := range m.running {
		used = used.Add(status.Need)
		if committed[status.Task] != status.Attempt {
			t.Fatalf("running task %s is not counted in the account", status.Task)
		}
	}
	for _, g := range m.starts {
		if g.Term == m.term && committed[g.Task] != g.Attempt {
			t.Fatalf("starting task %s is not counted in the account", g.Task)
		}
	}
	free := m.account.Free()
	switch {
	case free.CPU < 0 || free.Memory < 0 || free.Accel < 0:
		t.Fatalf("free capacity %v is negative", free)
	case !counted.Add(free).Fits(m.limit):
		t.Fatalf("granted %v plus free %v exceed the capacity %v", counted, free, m.limit)
	case !used.Fits(m.limit):
		t.Fatalf("running tasks use %v of a capacity of %v", used, m.limit)
	}
}

// TestWorkerIsNeverOvercommitted guards against sequences of lost, delayed and
// duplicated messages and changes of owner that overcommit a worker.
func TestWorkerIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, running: make(map[hoist.TaskID]hoist.TaskStatus), limit: capacity}
		old := hoist.MilliCPU(rapid.IntRange(0, 1500).Draw(t, "old"))
		if old > 0 {
			m.running["old"] = taskStatus("old", 1, hoist.Resources{CPU: old})
			m.limit.CPU = max(m.limit.CPU, old)
		}
		m.account = grant.NewAccount(m.report())
		for range 150 {
			actions := m.actions()
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			m.check(t)
		}
	})
}
