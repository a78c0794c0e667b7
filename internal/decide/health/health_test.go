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

// trackerWithFailures returns a Tracker in which different attempts at one task
// have failed on worker w1. Each attempt must count as a failure.
func trackerWithFailures(failures int) *health.Tracker {
	tr := health.NewTracker()
	for i := range failures {
		r := run(1, 1, "g")
		r.Attempt = hoist.AttemptNo(i)
		tr.RecordFailure(r, start)
	}
	return tr
}

func checkAllows(t *testing.T, tr *health.Tracker, now time.Time, want bool) {
	t.Helper()
	if got := tr.Allows("w1", now); got != want {
		t.Errorf("after %v Allows is %v, expected %v (%+v)", now.Sub(start), got, want, tr.Status("w1", now))
	}
}

// TestBackoffDoubles guards against a failing worker that attracts tasks because it
// looks idle: each backoff must be twice as long as the last, with one probe at a
// time.
func TestBackoffDoubles(t *testing.T) {
	is := is.New(t)
	checkAllows(t, trackerWithFailures(2), start, true)
	tr := trackerWithFailures(3)
	now, wait := start, 5*time.Second
	for i := range 10 {
		checkAllows(t, tr, now.Add(wait-1), false)
		now = now.Add(wait)
		checkAllows(t, tr, now, true)
		probe := run(1, 100+i, "probe")
		tr.RecordStart(probe, now)
		checkAllows(t, tr, now, false) // one probe at a time
		tr.RecordFailure(probe, now)
		tr.RecordFailure(probe, now)             // a duplicate report
		tr.RecordFailure(run(1, 0, "late"), now) // a task started before the backoff
		tr.RecordSuccess(run(1, 7, "old"), now)  // a task started before the backoff
		wait = min(2*wait, 10*time.Minute)
	}
	s := tr.Status("w1", now)
	is.Equal(s.State, health.BackedOff)
	is.True(strings.Contains(s.Reason, "failed 13 tasks in a row")) // operators see the reason
	is.Equal(len(tr.Failing(now)), 1)
}

// TestBackoffEndsAfterRecovery guards against workers that stay backed off although
// tasks succeed on them again, and against a relapse that starts with the initial
// backoff.
func TestBackoffEndsAfterRecovery(t *testing.T) {
	probe, at := run(1, 100, "probe"), start.Add(5*time.Second)
	cases := []struct {
		name  string
		end   func(*health.Tracker)
		after time.Time
		want  bool
	}{
		{"probe succeeds", func(tr *health.Tracker) { tr.RecordSuccess(probe, at) }, at, true},
		{"probe keeps running", func(*health.Tracker) {}, at.Add(time.Minute), true},
		{"probe is stopped", func(tr *health.Tracker) { tr.RecordStop(probe) }, at, true},
		{"probe has not run long enough", func(*health.Tracker) {}, at.Add(59 * time.Second), false},
		{"another task succeeds", func(tr *health.Tracker) { tr.RecordSuccess(run(1, 50, "old"), at) }, at, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := trackerWithFailures(3)
			tr.RecordStart(probe, at)
			c.end(tr)
			checkAllows(t, tr, c.after, c.want)
		})
	}
	t.Run("relapse", func(t *testing.T) {
		tr := trackerWithFailures(3)
		tr.RecordStart(probe, at)
		tr.RecordSuccess(probe, at)
		for i := range 3 {
			tr.RecordFailure(run(1, 200+i, fmt.Sprint("r", i)), at)
		}
		checkAllows(t, tr, at.Add(9*time.Second), false)
		checkAllows(t, tr, at.Add(10*time.Second), true)
	})
}

// TestGroupAtFault guards against backing off workers because of tasks that fail
// everywhere, and against groups found at fault because of failing workers.
func TestGroupAtFault(t *testing.T) {
	key := learn.Key{Group: "bad"}
	t.Run("tasks fail on all workers", func(t *testing.T) {
		is := is.New(t)
		tr := health.NewTracker()
		for i := range 100 {
			tr.RecordFailure(run(i/3, i, "bad"), start) // three failures on each worker in turn
		}
		is.True(tr.IsGroupAtFault(key, start))
		is.Equal(len(tr.Failing(start)), 0)
		is.True(!tr.IsGroupAtFault(key, start.Add(time.Hour))) // earlier failures no longer count
	})
	t.Run("tasks succeed on other workers", func(t *testing.T) {
		is := is.New(t)
		tr := health.NewTracker()
		for i := range 12 {
			tr.RecordFailure(run(i%3, i, "good"), start)
			tr.RecordSuccess(run(9, 100+i, "good"), start)
		}
		is.Equal(len(tr.Failing(start)), 3)
	})
	t.Run("tasks fail on failing workers only", func(t *testing.T) {
		is := is.New(t)
		tr := health.NewTracker()
		for i := range 12 {
			tr.RecordFailure(run(i%4, i, fmt.Sprint("other", i)), start)
		}
		for i := range 4 {
			tr.RecordFailure(run(i, 100+i, "bad"), start)
		}
		is.True(!tr.IsGroupAtFault(key, start))
		is.Equal(len(tr.Failing(start)), 4)
	})
}

// TestBackedOffWorkerIsProbed guards against sequences of events after which a
// backed off worker never gets a probe again.
func TestBackedOffWorkerIsProbed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, now := health.NewTracker(), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := run(rapid.IntRange(0, 4).Draw(t, "worker"), rapid.IntRange(0, 9).Draw(t, "task"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"))
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tr.RecordStart(r, now)
			case 1:
				tr.RecordSuccess(r, now)
			case 2:
				tr.RecordStop(r)
			default:
				tr.RecordFailure(r, now)
			}
		}
		for _, s := range tr.Failing(now) {
			if s.Reason == "" || !tr.Allows(s.Worker, now.Add(11*time.Minute)) {
				t.Fatalf("worker %+v gets no probe after the maximum backoff", s)
			}
		}
	})
}
