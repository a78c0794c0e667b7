package health_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/health"
	"fuchsiahoist.example/hoist/internal/decide/learn"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func run(worker, task int, group string) health.Run {
	return health.Run{
		Worker: hoist.WorkerID(fmt.Sprint("w", worker)), Task: hoist.TaskID(fmt.Sprint("t", task)),
		Attempt: 1, Group: learn.Key{Group: group},
	}
}

// failing returns a book with worker w1 failing attempts at one task, each of
// which must count.
func failing(failures int) *health.Tracker {
	b := health.NewTracker()
	for i := range failures {
		r := run(1, 1, "g")
		r.Attempt = hoist.AttemptNo(i)
		b.Failed(r, start)
	}
	return b
}

func checkAllows(t *testing.T, b *health.Tracker, now time.Time, want bool) {
	t.Helper()
	if got := b.Allows("w1", now); got != want {
		t.Errorf("after %v Allows is %v, expected %v (%+v)", now.Sub(start), got, want, b.Status("w1", now))
	}
}

// TestBackOff guards against a failing worker that attracts work: it is left
// alone, each time twice as long, and takes one probe at a time.
func TestBackOff(t *testing.T) {
	is := is.New(t)
	checkAllows(t, failing(2), start, true)
	b := failing(3)
	now, wait := start, 5*time.Second
	for i := range 10 {
		checkAllows(t, b, now.Add(wait-1), false)
		now = now.Add(wait)
		checkAllows(t, b, now, true)
		probe := run(1, 100+i, "probe")
		b.Started(probe, now)
		checkAllows(t, b, now, false) // one probe at a time
		b.Failed(probe, now)
		b.Failed(probe, now)               // a duplicate
		b.Failed(run(1, 0, "late"), now)   // of a task started before
		b.Succeeded(run(1, 7, "old"), now) // of a task started before
		wait = min(2*wait, 10*time.Minute)
	}
	s := b.Status("w1", now)
	is.Equal(s.State, health.BackedOff)
	is.True(strings.Contains(s.Reason, "failed 13 tasks in a row")) // the reason for operators
	is.Equal(len(b.Failing(now)), 1)
}

// TestRecovery guards against workers that stay aside although they work again,
// and against a relapse that starts from the shortest back-off.
func TestRecovery(t *testing.T) {
	probe, at := run(1, 100, "probe"), start.Add(5*time.Second)
	cases := []struct {
		name  string
		end   func(*health.Tracker)
		after time.Time
		want  bool
	}{
		{"probe succeeds", func(b *health.Tracker) { b.Succeeded(probe, at) }, at, true},
		{"probe keeps running", func(*health.Tracker) {}, at.Add(time.Minute), true},
		{"probe is stopped", func(b *health.Tracker) { b.Stopped(probe) }, at, true},
		{"probe is still young", func(*health.Tracker) {}, at.Add(59 * time.Second), false},
		{"another task succeeds", func(b *health.Tracker) { b.Succeeded(run(1, 50, "old"), at) }, at, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := failing(3)
			b.Started(probe, at)
			c.end(b)
			checkAllows(t, b, c.after, c.want)
		})
	}
	t.Run("relapse", func(t *testing.T) {
		b := failing(3)
		b.Started(probe, at)
		b.Succeeded(probe, at)
		for i := range 3 {
			b.Failed(run(1, 200+i, fmt.Sprint("r", i)), at)
		}
		checkAllows(t, b, at.Add(9*time.Second), false)
		checkAllows(t, b, at.Add(10*time.Second), true)
	})
}

// TestGroupAtFault guards against workers that are punished for tasks that fail
// everywhere, and against groups that are blamed for failing workers.
func TestGroupAtFault(t *testing.T) {
	key := learn.Key{Group: "bad"}
	t.Run("fails everywhere", func(t *testing.T) {
		is := is.New(t)
		b := health.NewTracker()
		for i := range 100 {
			b.Failed(run(i/3, i, "bad"), start) // three on each worker in turn
		}
		is.True(b.IsGroupAtFault(key, start))
		is.Equal(len(b.Failing(start)), 0)
		is.True(!b.IsGroupAtFault(key, start.Add(time.Hour))) // judged anew
	})
	t.Run("succeeds elsewhere", func(t *testing.T) {
		is := is.New(t)
		b := health.NewTracker()
		for i := range 12 {
			b.Failed(run(i%3, i, "good"), start)
			b.Succeeded(run(9, 100+i, "good"), start)
		}
		is.Equal(len(b.Failing(start)), 3)
	})
	t.Run("fails on failing workers only", func(t *testing.T) {
		is := is.New(t)
		b := health.NewTracker()
		for i := range 12 {
			b.Failed(run(i%4, i, fmt.Sprint("other", i)), start)
		}
		for i := range 4 {
			b.Failed(run(i, 100+i, "bad"), start)
		}
		is.True(!b.IsGroupAtFault(key, start))
		is.Equal(len(b.Failing(start)), 4)
	})
}

// TestAlwaysProbed guards against any order of messages after which a worker
// never gets a probe again.
func TestAlwaysProbed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := health.NewTracker(), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := run(rapid.IntRange(0, 4).Draw(t, "worker"), rapid.IntRange(0, 9).Draw(t, "task"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"))
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				b.Started(r, now)
			case 1:
				b.Succeeded(r, now)
			case 2:
				b.Stopped(r)
			default:
				b.Failed(r, now)
			}
		}
		for _, s := range b.Failing(now) {
			if s.Reason == "" || !b.Allows(s.Worker, now.Add(11*time.Minute)) {
				t.Fatalf("worker %+v is not probed", s)
			}
		}
	})
}
