package sched_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// shortWait is the threshold of waits in tests.
const shortWait = 10 * time.Millisecond

// waits runs a pass without recording it and returns the waits after a while.
func (c *cell) waits(after time.Duration) []sched.Wait {
	c.scheduler.LongRunningWaits(shortWait, c.now) // finds tasks that may start for the first time
	c.now = c.now.Add(after)
	c.requests = c.scheduler.Pass(c.now, c.reserve).AdviceRequests
	return c.scheduler.LongRunningWaits(shortWait, c.now)
}

// runOne submits a plan with one long-running task and starts it.
func (c *cell) runOne() sched.Start {
	c.t.Helper()
	c.submit("p", queue, step(1, longRunning))
	starts := c.run()
	c.wantStarts(starts, 1)
	return starts[0]
}

// restoreOne restores a plan with one long-running task on a worker that has not reported.
func (c *cell) restoreOne() {
	placed := []hoist.PlacedRun{{Attempt: 1, Worker: "w9"}}
	state := hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{Placed: placed}}}
	c.scheduler.Restore(hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(1, longRunning)}}, state, 1, c.now)
}

// refuse answers the request for advice of a pass: no worker may run the step.
func (c *cell) refuse() {
	c.pass()
	c.scheduler.RecordAdvice(c.requests[0], hoist.Advice{}, nil, c.now)
}

// TestLongRunningWaits guards against a long-running task without a run that nothing tells of,
// and against a wrong reason, worker or end of its wait.
func TestLongRunningWaits(t *testing.T) {
	const soon = 20 * time.Millisecond
	label := func(s *hoist.Step) { s.Requires = "none" }
	cases := []struct {
		name    string
		prepare func(c *cell)
		after   time.Duration
		reason  hoist.WaitReason
		worker  hoist.WorkerID
		// until is how long after the check the wait ends at the latest, rounded to 10 ms.
		until time.Duration
	}{
		{"silent worker", func(c *cell) { c.runOne() }, 3 * time.Second, sched.WaitLease, "w1", 3120 * time.Millisecond},
		{"silent worker of an earlier owner", func(c *cell) {
			c.scheduler = sched.NewScheduler(2, start.Add(9*time.Second))
			c.addWorkers("w2")
			c.restoreOne()
		}, 3 * time.Second, sched.WaitLease, "w9", 6 * time.Second},
		{"lost start", func(c *cell) {
			c.submit("p", queue, step(1, longRunning))
			s := c.pass()[0]
			c.scheduler.RecordLostStart("w1", c.scheduler.GrantLease("w1", time.Second, c.now), c.now)
			c.scheduler.RecordStart("w1", s.Run, hoist.ErrOutcomeUnknown, c.now)
		}, 3 * time.Second, sched.WaitStartInDoubt, "w1", 7710 * time.Millisecond},
		{"start that is on its way", func(c *cell) {
			c.submit("p", queue, step(1, longRunning))
			c.pass()
		}, soon, sched.WaitStartInDoubt, "w1", 0},
		{"stop that is not answered", func(c *cell) {
			c.runOne()
			c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.IsLeaving = true })
		}, soon, sched.WaitStop, "w1", 0},
		{"start that is not recorded", func(c *cell) {
			c.submit("p", queue, step(1, longRunning))
			c.scheduler.Pass(c.now, c.reserve)
			c.scheduler.DeferRecording("p", c.now.Add(time.Second))
		}, soon, sched.WaitRecording, "w1", 980 * time.Millisecond},
		{"workers that have not reported", func(c *cell) {
			c.scheduler = sched.NewScheduler(2, c.now)
			c.changeEntry("w1", func(*hoist.WorkerEntry) {})
			c.submit("p", queue, step(1, longRunning))
		}, soon, sched.WaitReports, "", 380 * time.Millisecond},
		{"unknown teams", func(c *cell) { c.submitAs("a", "p", step(1, longRunning)) }, soon, sched.WaitQuota, "", 0},
		{"full quota", func(c *cell) {
			c.scheduler.SetTeams([]hoist.TeamConfig{quotaOfA(1000)})
			c.submitAs("a", "o", step(1))
			c.run()
			c.submitAs("a", "p", step(1, longRunning))
		}, soon, sched.WaitQuota, "", 0},
		{"failure", func(c *cell) { c.reportEnd(1, c.runOne(), hoist.EndFailed) }, soon, sched.WaitFailureDelay, "", 30 * time.Millisecond},
		{"failure on the only worker", func(c *cell) { c.reportEnd(1, c.runOne(), hoist.EndFailed) }, 200 * time.Millisecond, sched.WaitOtherWorker, "", 800 * time.Millisecond},
		{"earlier attempt on another worker", func(c *cell) {
			s := c.runOne()
			c.addWorkers("w2")
			c.reportEnd(1, s, hoist.EndStopped)
			c.report("w2", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
		}, soon, sched.WaitOrphan, "w2", 0},
		{"no worker with the label", func(c *cell) { c.submit("p", queue, step(1, longRunning, label)) }, soon, sched.WaitNoWorker, "", 0},
		{"large task", func(c *cell) { c.submit("p", queue, step(1, longRunning, needs(9000))) }, soon, sched.WaitNoRoom, "", 0},
		{"large gang", func(c *cell) { c.submit("p", queue, step(9, longRunning, gang)) }, soon, sched.WaitNoRoom, "", 0},
		{"adviser", func(c *cell) { c.submit("p", advised, step(1, longRunning)) }, soon, sched.WaitAdvice, "", 4 * time.Second},
		{"no host for the adviser", func(c *cell) {
			c.reserve = func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false }
			c.submit("p", advised, step(1, longRunning))
		}, soon, sched.WaitAdviceHost, "", 0},
		{"adviser that allows nothing", func(c *cell) {
			c.submit("p", advised, step(1, longRunning))
			c.refuse()
		}, soon, sched.WaitNotAllowed, "", 0},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1")
			k.prepare(c)
			waits := c.waits(k.after)
			c.is.True(len(waits) > 0)
			w := waits[0]
			c.is.Equal(w.Reason, k.reason)
			c.is.Equal(w.Worker, k.worker)
			c.is.True(c.now.Sub(w.Since) >= k.after && c.now.Sub(w.Since) < k.after+shortWait)
			var until time.Duration
			if !w.Until.IsZero() {
				until = w.Until.Sub(c.now).Round(10 * time.Millisecond)
			}
			c.is.Equal(until, k.until)
		})
	}
}

// TestNoWait guards against tasks that are reported although they run or are not to run.
func TestNoWait(t *testing.T) {
	for _, k := range []struct {
		name    string
		prepare func(c *cell)
		after   time.Duration
	}{
		{"running", func(c *cell) {
			s := c.runOne()
			c.advance(time.Minute)
			c.report("w1", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
		}, shortWait / 2},
		{"cancelled", func(c *cell) {
			c.runOne()
			c.scheduler.Cancel("p", c.now)
		}, time.Second},
		{"waiting for an earlier step", func(c *cell) {
			c.submit("p", queue, step(1), step(1, longRunning, after))
			c.run()
		}, time.Second},
		{"not long-running", func(c *cell) { c.submit("p", queue, step(1, needs(9000))) }, time.Second},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, "w1")
			k.prepare(c)
			c.is.Equal(len(c.waits(k.after)), 0)
		})
	}
}

// TestWaitLastsUntilRun guards against a wait that begins anew when its reason changes, and
// against one whose end is not noticed.
func TestWaitLastsUntilRun(t *testing.T) {
	c := newCell(t, "w1")
	ref := c.runOne().Run.Task
	since := c.waits(3 * time.Second)[0].Since
	c.now = c.now.Add(4 * time.Second)
	c.pass()
	waits := c.waits(0)
	c.is.Equal(waits[0].Reason, sched.WaitNoWorker)
	c.is.Equal(waits[0].Since, since)
	_, _, ok := c.scheduler.RanSince(ref, since)
	c.is.True(!ok)
	c.addWorkers("w2")
	c.wantStarts(c.run(), 1)
	at, worker, ok := c.scheduler.RanSince(ref, since)
	c.is.True(ok)
	c.is.Equal(worker, hoist.WorkerID("w2"))
	c.is.Equal(at, c.now.Add(-time.Millisecond))
	c.is.Equal(len(c.waits(0)), 0)
}

// TestWaitBeginsWithRecovery guards against a wait that begins with the first check only, although
// the owner has recovered the task before.
func TestWaitBeginsWithRecovery(t *testing.T) {
	c := newCell(t, "w1")
	c.restoreOne()
	recovered := c.now
	c.now = c.now.Add(time.Second)
	waits := c.scheduler.LongRunningWaits(shortWait, c.now)
	c.is.Equal(len(waits), 1)
	c.is.Equal(waits[0].Since, recovered)
	c.is.True(waits[0].AnsweredAt.IsZero())
}

// TestWaitsChangeNothing guards against a check that has an effect on the decisions: one of two
// equal cells is checked, and both must go on alike.
func TestWaitsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checked, other := newCell(t, "w1", "w2", "w3", "w4"), newCell(t, "w1", "w2", "w3", "w4")
		quota := []hoist.TeamConfig{quotaOfA(3000)}
		for i := range rapid.IntRange(1, 8).Draw(rt, "plans") {
			id, s := hoist.JobID(fmt.Sprint("p", i)), drawStep(rt)
			s.IsLongRunning = rapid.Bool().Draw(rt, "lasting")
			team := rapid.SampledFrom([]hoist.TeamID{"", "a", "b"}).Draw(rt, "team")
			q := rapid.SampledFrom([]hoist.Queue{queue, advised}).Draw(rt, "queue")
			for _, c := range []*cell{checked, other} {
				c.scheduler.SetTeams(quota)
				c.scheduler.Add(hoist.Plan{ID: id, Team: team, Queue: q, Steps: []hoist.Step{s}, Accepted: c.now}, 1, c.now)
			}
			if a, b := checked.run(), other.run(); fmt.Sprint(a, checked.requests) != fmt.Sprint(b, other.requests) {
				rt.Fatalf("the checked cell starts %v, the other one %v", a, b)
			}
			checked.advance(100 * time.Millisecond)
			other.advance(100 * time.Millisecond)
			checked.scheduler.LongRunningWaits(0, checked.now)
		}
	})
}
