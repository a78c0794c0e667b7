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

func task(id hoist.TaskID, attempt hoist.AttemptNo, need hoist.Resources) hoist.TaskStatus {
	return hoist.TaskStatus{Task: id, Attempt: attempt, Need: need, Started: start.Add(time.Hour)}
}

func report(running ...hoist.TaskStatus) hoist.WorkerReport {
	return hoist.WorkerReport{Worker: "w", Capacity: capacity, Running: running}
}

func want(id hoist.TaskID, attempt hoist.AttemptNo, need hoist.Resources) hoist.Grant {
	return hoist.Grant{Task: id, Attempt: attempt, Need: need}
}

// TestReserve guards against grants that a worker cannot hold, and against
// refusals of the wrong kind, which the caller acts on.
func TestReserve(t *testing.T) {
	cases := []struct {
		name    string
		running []hoist.TaskStatus
		leaving bool
		grant   hoist.Grant
		kind    error
	}{
		{"fits", nil, false, want("n", 1, capacity), nil},
		{"same attempt", []hoist.TaskStatus{task("n", 1, small)}, false, want("n", 1, small), nil},
		{"other attempt", []hoist.TaskStatus{task("n", 1, small)}, false, want("n", 2, small), hoist.ErrConflict},
		{"other need", []hoist.TaskStatus{task("n", 1, small)}, false, want("n", 1, capacity), hoist.ErrConflict},
		{"leaving", nil, true, want("n", 1, small), hoist.ErrLeaving},
		{"zero need", nil, false, want("n", 1, hoist.Resources{}), hoist.ErrInvalid},
		{"negative need", nil, false, want("n", 1, hoist.Resources{CPU: -1, Memory: 1}), hoist.ErrInvalid},
		{"listed twice", []hoist.TaskStatus{task("a", 1, small), task("a", 1, small)}, false, want("n", 1, small), nil},
		{"listed as negative", []hoist.TaskStatus{task("a", 1, hoist.Resources{CPU: -500})}, false, want("n", 1, hoist.Resources{CPU: 1001}), hoist.ErrNoCapacity},
		{"worker is over in another resource", []hoist.TaskStatus{task("a", 1, hoist.Resources{CPU: 1001})}, false, want("n", 1, hoist.Resources{Accel: 1}), hoist.ErrNoCapacity},
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

// committed returns an account on which attempt 2 of a task was committed.
func committed(t *testing.T) *grant.Account {
	t.Helper()
	a := grant.NewAccount(report())
	is.New(t).NoErr(a.Reserve(want("n", 2, small), start))
	is.New(t).NoErr(a.Commit("n", 2, start))
	return a
}

// TestLateMessages guards against messages of an earlier attempt, or from
// before a start, that give the capacity of a task that runs away.
func TestLateMessages(t *testing.T) {
	later := start.Add(time.Second)
	cases := []struct {
		name  string
		apply func(*grant.Account)
	}{
		{"unreserve after commit", func(a *grant.Account) { a.Unreserve("n", 2) }},
		{"release of another attempt", func(a *grant.Account) { a.ReleaseAttempt("n", 1) }},
		{"answer to another attempt", func(a *grant.Account) { a.AnsweredAttempt("n", 1, start); a.Reconcile(report(), later) }},
		{"report while the start is under way", func(a *grant.Account) { a.Reconcile(report(), later) }},
		{"report asked before the answer", func(a *grant.Account) { a.Answered("n", later); a.Reconcile(report(), start) }},
		{"expiry after commit", func(a *grant.Account) { a.FreeAt(start.Add(time.Hour)) }},
		{"report older than the last", func(a *grant.Account) {
			a.Answered("n", start)
			a.Reconcile(report(task("n", 2, small)), later)
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
		is.NoErr(a.Reserve(want("n", 2, small), start))
		a.Answered("n", start)
		is.NoErr(a.Commit("n", 2, start))
		a.Reconcile(report(), later)
		is.Equal(a.Free(), capacity.Sub(small))
	})
	t.Run("second commit", func(t *testing.T) {
		is.New(t).True(errors.Is(committed(t).Commit("n", 2, start), hoist.ErrOutcomeUnknown))
	})
}

// TestReconcile guards against capacity that is lost to tasks which do not run,
// and against tasks that run without being counted.
func TestReconcile(t *testing.T) {
	later := start.Add(time.Second)
	leaving := report()
	leaving.Leaving = true
	halved := report(task("n", 2, small))
	halved.Capacity = hoist.Resources{CPU: 500, Memory: 500}
	ended := report()
	ended.Ended = []hoist.TaskStatus{task("n", 2, small)}
	cases := []struct {
		name    string
		report  hoist.WorkerReport
		missing int
		free    hoist.Resources
	}{
		{"never arrived", report(), 1, capacity},
		{"ended", ended, 0, capacity},
		{"runs", report(task("n", 2, small)), 0, capacity.Sub(small)},
		{"another attempt runs", report(task("n", 1, small)), 1, capacity.Sub(small)},
		{"unknown task runs", report(task("n", 2, small), task("x", 1, small)), 0, capacity.Sub(small).Sub(small)},
		{"worker shrank", halved, 0, hoist.Resources{CPU: 100, Memory: 100}},
		{"worker leaves", leaving, 1, hoist.Resources{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := committed(t)
			a.Answered("n", start)
			missing := a.Reconcile(c.report, later)
			is.Equal(len(missing), c.missing)
			release(t, a, missing)
			a.Reconcile(c.report, later.Add(time.Second))
			is.Equal(a.Free(), c.free)
		})
	}
	t.Run("adopted task ends although the worker's clock is ahead", func(t *testing.T) {
		is := is.New(t)
		a := grant.NewAccount(report(task("n", 2, small)))
		missing := a.Reconcile(report(), later)
		is.Equal(len(missing), 1)
		release(t, a, missing)
		is.Equal(a.Free(), capacity)
	})
}

// release gives missing attempts back, as after the worker has refused them.
// Until then their starts may arrive, so they keep their capacity.
func release(t *testing.T, a *grant.Account, missing []hoist.Grant) {
	t.Helper()
	for _, g := range missing {
		before := a.Free()
		a.ReleaseAttempt(g.Task, g.Attempt)
		if a.Free() == before && before != (hoist.Resources{}) {
			t.Errorf("task %s held no capacity while its start could arrive", g.Task)
		}
	}
}

// TestExpiry guards against reservations that hold capacity for good, and
// against starts on a worker that began to leave.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	a := grant.NewAccount(report())
	is.NoErr(a.Reserve(want("a", 1, small), start))
	is.NoErr(a.Reserve(want("b", 1, small), start.Add(time.Second)))
	is.Equal(a.FreeAt(start.Add(grant.HoldTime)), capacity.Sub(small).Sub(small))
	is.Equal(a.FreeAt(start.Add(grant.HoldTime+1)), capacity.Sub(small))
	is.Equal(len(a.Committed()), 0)
	is.True(errors.Is(a.Commit("a", 1, start), hoist.ErrNotFound))
	a.SetLeaving(true)
	is.True(errors.Is(a.Commit("b", 1, start), hoist.ErrLeaving))
	a.SetLeaving(false)
	is.Equal(a.FreeAt(start.Add(time.Hour)), capacity)
}

// cell is a worker with its owner, and the messages between them.
type cell struct {
	account *grant.Account
	now     time.Time
	term    hoist.Term
	running map[hoist.TaskID]hoist.TaskStatus
	ended   []hoist.TaskStatus
	leaving bool
	made    []hoist.Grant
	starts  []hoist.Grant
	reports []askedReport
	// bound is what the worker held, or ran before any grant.
	bound hoist.Resources
}

type askedReport struct {
	report hoist.WorkerReport
	asked  time.Time
}

func (c *cell) report() hoist.WorkerReport {
	r := report()
	r.Leaving, r.Ended = c.leaving, c.ended
	for _, t := range c.running {
		r.Running = append(r.Running, t)
	}
	return r
}

func (c *cell) reserve(t *rapid.T) {
	n := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
	g := want(hoist.TaskID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "task")), hoist.AttemptNo(len(c.made)+1),
		hoist.Resources{CPU: hoist.MilliCPU(n(100, 700, "cpu")), Memory: hoist.MiB(n(0, 500, "memory"))})
	if len(c.made) > 0 && n(0, 4, "duplicate") == 0 {
		g = rapid.SampledFrom(c.made).Draw(t, "made")
	}
	if c.account.Reserve(g, c.now) == nil {
		c.made = append(c.made, g)
		if c.account.IsOver() && len(c.account.Committed()) < len(c.account.Grants()) {
			t.Fatalf("reserved %v although the worker is over", g)
		}
	}
}

func (c *cell) commit(t *rapid.T) {
	g := c.made[len(c.made)-1-rapid.IntRange(0, min(3, len(c.made)-1)).Draw(t, "made")]
	if c.account.Commit(g.Task, g.Attempt, c.now) == nil {
		g.Term = c.term
		c.starts = append(c.starts, g)
	}
}

// deliver lets a start arrive, be refused or be dropped, and its answer be lost.
func (c *cell) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(c.starts)-1).Draw(t, "start")
	g := c.starts[i]
	c.starts = append(c.starts[:i], c.starts[i+1:]...)
	isDropped := rapid.IntRange(0, 3).Draw(t, "dropped") == 0
	isRefused := g.Term < c.term || c.leaving
	if !isDropped && !isRefused {
		c.running[g.Task] = task(g.Task, g.Attempt, g.Need)
	}
	switch {
	case g.Term < c.term:
	case isRefused && !isDropped:
		c.account.ReleaseAttempt(g.Task, g.Attempt)
	default:
		c.account.AnsweredAttempt(g.Task, g.Attempt, c.now)
	}
}

func (c *cell) end(t *rapid.T) {
	id := hoist.TaskID(rapid.SampledFrom([]string{"a", "b", "c", "d", "old"}).Draw(t, "task"))
	if status, ok := c.running[id]; ok {
		delete(c.running, id)
		c.ended = append(c.ended, status)
	}
}

// actions returns what can happen next; what is listed more often happens more
// often.
func (c *cell) actions() []func(*rapid.T) {
	commit, deliver := ifAny(&c.made, c.commit), ifAny(&c.starts, c.deliver)
	wait := func(t *rapid.T) {
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	}
	ask := func(*rapid.T) { c.reports = append(c.reports, askedReport{c.report(), c.now}) }
	reconcile := ifAny(&c.reports, func(t *rapid.T) {
		r := c.reports[len(c.reports)-1-rapid.IntRange(0, min(2, len(c.reports)-1)).Draw(t, "report")]
		c.account.Reconcile(r.report, r.asked)
	})
	unreserve := ifAny(&c.made, func(t *rapid.T) {
		g := rapid.SampledFrom(c.made).Draw(t, "made")
		c.account.Unreserve(g.Task, g.Attempt)
	})
	adopt := func(*rapid.T) {
		c.term++
		c.account, c.reports = grant.NewAccount(c.report()), nil
	}
	leave := func(t *rapid.T) { c.leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0 }
	return []func(*rapid.T){
		c.reserve, c.reserve, c.reserve, c.reserve, commit, commit, commit, commit, deliver, deliver, deliver,
		wait, wait, ask, ask, reconcile, reconcile, unreserve, c.end, adopt, leave,
	}
}

// ifAny runs action only if there is something to act on.
func ifAny[T any](items *[]T, action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(*items) > 0 {
			action(t)
		}
	}
}

func (c *cell) check(t *rapid.T) {
	var counted, used hoist.Resources
	for _, g := range c.account.Grants() {
		counted = counted.Add(g.Need)
	}
	committed := make(map[hoist.TaskID]hoist.AttemptNo)
	for _, g := range c.account.Committed() {
		committed[g.Task] = g.Attempt
	}
	for _, status := range c.running {
		used = used.Add(status.Need)
		if committed[status.Task] != status.Attempt {
			t.Fatalf("task %s runs without being counted", status.Task)
		}
	}
	for _, g := range c.starts {
		if g.Term == c.term && committed[g.Task] != g.Attempt {
			t.Fatalf("task %s is being started without being counted", g.Task)
		}
	}
	free := c.account.Free()
	switch {
	case free.CPU < 0 || free.Memory < 0 || free.Accel < 0:
		t.Fatalf("free is %v", free)
	case !counted.Add(free).Fits(c.bound):
		t.Fatalf("granted %v and free %v exceed %v", counted, free, c.bound)
	case !used.Fits(c.bound):
		t.Fatalf("the tasks on the worker take %v of %v", used, c.bound)
	}
}

// TestNeverOver guards against any order of messages, lost, late or doubled,
// and changes of owner, that puts more on a worker than it holds.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cell{now: start, running: make(map[hoist.TaskID]hoist.TaskStatus), bound: capacity}
		old := hoist.MilliCPU(rapid.IntRange(0, 1500).Draw(t, "old"))
		if old > 0 {
			c.running["old"] = task("old", 1, hoist.Resources{CPU: old})
			c.bound.CPU = max(c.bound.CPU, old)
		}
		c.account = grant.NewAccount(c.report())
		for range 150 {
			actions := c.actions()
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			c.check(t)
		}
	})
}
