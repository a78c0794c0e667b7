package sched_test

import (
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// TestUnknownStartIsNotRepeated guards against starting a task again while its first
// start, whose outcome is unknown, may still take effect.
func TestUnknownStartIsNotRepeated(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.submit("p", queue, step(1))
	starts := c.pass()
	run, on := starts[0].Run, starts[0].Worker
	c.scheduler.RecordStart(on, run, hoist.ErrOutcomeUnknown, c.now)
	c.wantStarts(c.pass(), 0)
	c.is.Equal(c.stops, []sched.Stop{{Worker: on, Run: run}})
	c.report(on, hoist.RunnerReport{Incarnation: 1})
	c.wantStarts(c.pass(), 0) // the stop is not answered yet
	c.scheduler.RecordStop(on, run, nil, c.now)
	c.wantStarts(c.pass(), 0) // no report since the stop
	c.report(on, hoist.RunnerReport{Incarnation: 1})
	again := c.pass()
	c.wantStarts(again, 1)
	c.is.True(again[0].Run.Attempt > run.Attempt)
}

// TestAnsweredStopEndsAttempt guards against an attempt that counts as running for ever:
// while its worker accepts no new connections, only the polls that wait for an end are
// answered, and a stop is answered during each of them.
func TestAnsweredStopEndsAttempt(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.submit("p", queue, step(1))
	s := c.pass()[0]
	c.scheduler.RecordStart(s.Worker, s.Run, hoist.ErrOutcomeUnknown, c.now)
	c.wantStarts(c.pass(), 0)
	c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
	poll := c.scheduler.NewPoll(s.Worker, c.now.Add(10*time.Millisecond))
	c.now = poll.SentAt.Add(500 * time.Millisecond)
	c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
	c.now = poll.SentAt.Add(time.Second)
	c.scheduler.RecordReport(s.Worker, hoist.RunnerReport{Incarnation: 1}, poll, c.now)
	c.wantStarts(c.pass(), 1)
}

// TestLateReportOfEarlierIncarnation guards against acknowledging ends to a worker that
// has restarted by the numbers of its earlier incarnation: it would discard new ends that
// nobody has read.
func TestLateReportOfEarlierIncarnation(t *testing.T) {
	c := newCell(t, "w1")
	c.submit("p", queue, step(1))
	s := c.run()[0]
	poll := c.scheduler.NewPoll("w1", c.now)
	c.report("w1", hoist.RunnerReport{Incarnation: 2})
	late := hoist.RunnerReport{Incarnation: 1, Ends: []hoist.RunEnd{{No: 3, Run: s.Run, Kind: hoist.EndFailed}}}
	c.is.True(!c.scheduler.RecordReport("w1", late, poll, c.now))
	c.record()
	c.wantAckable("w1", 0)
	c.report("w1", hoist.RunnerReport{Incarnation: 2})
	c.wantStarts(c.pass(), 1)
}

// TestRestartAfterReplacedAnswer guards against skipping, and then acknowledging, the ends
// of a new incarnation that is first seen after another worker has answered a start.
func TestRestartAfterReplacedAnswer(t *testing.T) {
	c := newCell(t, "w1")
	c.submit("q", queue, step(1))
	c.reportEnd(1, c.run()[0], hoist.EndDone)
	c.submit("p", queue, step(1))
	s := c.pass()[0]
	c.scheduler.RecordStart("w1", s.Run, hoist.ErrReplaced, c.now)
	c.report("w1", hoist.RunnerReport{Incarnation: 2})
	c.report("w1", hoist.RunnerReport{Incarnation: 2}) // in its new session
	again := c.run()[0]
	c.report("w1", hoist.RunnerReport{Incarnation: 2, Ends: []hoist.RunEnd{{No: 1, Run: again.Run, Kind: hoist.EndDone}}})
	c.wantPhase(hoist.PlanDone)
}

// TestMissingAttemptIsStoppedFirst guards against starting a task again that a worker has
// confirmed and leaves out of one report, although it runs.
func TestMissingAttemptIsStoppedFirst(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.submit("p", queue, step(1))
	s := c.run()[0]
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 1})
	c.wantStarts(c.pass(), 0)
	c.is.Equal(c.stops, []sched.Stop{{Worker: s.Worker, Run: s.Run}})
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
	c.wantStarts(c.pass(), 0) // it runs after all
	c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 1})
	c.wantStarts(c.pass(), 1)
}

// TestReportedAttemptIsNotStopped guards against stopping an attempt that a report
// lists as running because the answer to its start was lost.
func TestReportedAttemptIsNotStopped(t *testing.T) {
	c := newCell(t, "w1")
	c.submit("p", queue, step(1))
	s := c.pass()[0]
	c.report("w1", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: s.Run}}})
	c.scheduler.RecordStart("w1", s.Run, hoist.ErrOutcomeUnknown, c.now)
	c.wantStarts(c.pass(), 0)
	c.is.Equal(len(c.stops), 0)
	c.wantPhase(hoist.PlanRunning)
}

// TestRestartFromUnreachableWorker guards against starting a task elsewhere while it
// may still run on a worker that cannot be reached.
func TestRestartFromUnreachableWorker(t *testing.T) {
	t.Run("starts elsewhere after the lease has expired", func(t *testing.T) {
		c := newCell(t, "w1")
		c.submit("p", queue, step(1))
		c.wantStarts(c.run(), 1)
		c.now = start.Add(2 * time.Second)
		c.addWorkers("w2")
		c.wantStarts(c.pass(), 0)
		c.now = start.Add(6 * time.Second)
		c.report("w2", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 0) // the lease of 6 s has not expired on a clock that runs 2% slow
		c.now = start.Add(6200 * time.Millisecond)
		c.report("w2", hoist.RunnerReport{Incarnation: 1})
		c.wantStarts(c.pass(), 1)
	})
	t.Run("starts again on the next incarnation of the worker", func(t *testing.T) {
		c := newCell(t, "w1")
		c.submit("p", queue, step(1))
		c.wantStarts(c.run(), 1)
		c.report("w1", hoist.RunnerReport{Incarnation: 2})
		c.wantStarts(c.pass(), 0) // requests of the earlier incarnation may still arrive
		c.report("w1", hoist.RunnerReport{Incarnation: 2})
		c.wantStarts(c.pass(), 1)
	})
	t.Run("keeps what started on the next incarnation after the poll was sent", func(t *testing.T) {
		c := newCell(t, "w1")
		c.submit("p", queue, step(1))
		poll := c.scheduler.NewPoll("w1", c.now)
		c.wantStarts(c.run(), 1) // the next incarnation answers the poll first, then the start
		c.now = c.now.Add(time.Millisecond)
		c.scheduler.RecordReport("w1", hoist.RunnerReport{Incarnation: 2}, poll, c.now)
		c.wantStarts(c.pass(), 0)
	})
	for _, isLeaving := range []bool{false, true} {
		name := "the registry has removed the worker"
		if isLeaving {
			name += ", which leaves"
		}
		t.Run(name, func(t *testing.T) {
			c := newCell(t, "w1")
			c.submit("p", queue, step(1))
			c.wantStarts(c.run(), 1)
			c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.IsLeaving = isLeaving })
			c.entries = nil
			c.now = start.Add(5 * time.Second)
			c.addWorkers("w2") // the list no longer names w1
			c.wantStarts(c.pass(), 0)
			c.now = start.Add(6200 * time.Millisecond)
			c.report("w2", hoist.RunnerReport{Incarnation: 1})
			c.wantStarts(c.pass(), 1)
		})
	}
}

// TestLateSuccessKeepsCapacityReserved guards against using capacity twice when a
// worker that was unreachable reports the success of an attempt after its task was
// started elsewhere.
func TestLateSuccessKeepsCapacityReserved(t *testing.T) {
	c := newCell(t, "w1")
	c.submit("p", queue, step(1))
	first := c.run()
	c.now = start.Add(6200 * time.Millisecond)
	c.addWorkers("w2")
	second := c.run()
	c.wantStarts(second, 1)
	c.is.Equal(second[0].Worker, hoist.WorkerID("w2"))
	c.reportEnd(1, first[0], hoist.EndDone)
	c.wantPhase(hoist.PlanDone)
	c.is.True(!c.scheduler.IsEndRecorded("p")) // the second attempt may still run
	c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.IsLeaving = true })
	c.submit("q", queue, step(8))
	c.wantStarts(c.pass(), 7)
	c.is.Equal(c.stops, []sched.Stop{{Worker: "w2", Run: second[0].Run}})
	c.scheduler.RecordStop("w2", second[0].Run, nil, c.now)
	c.report("w2", hoist.RunnerReport{Incarnation: 1, Ends: []hoist.RunEnd{{No: 1, Run: second[0].Run, Kind: hoist.EndStopped}}})
	c.record()
	c.is.True(c.scheduler.IsEndRecorded("p"))
	c.wantStarts(c.pass(), 1)
}

// TestCutListOfEndsProvesNothing guards against starting a task again whose end is beyond
// the ends that a worker lists in one report.
func TestCutListOfEndsProvesNothing(t *testing.T) {
	const page = 2
	// cutReport returns a report that lists the ends of the first attempts and has no room
	// for that of the last one.
	cutReport := func(starts []sched.Start) hoist.RunnerReport {
		r := hoist.RunnerReport{Incarnation: 1}
		for i, s := range starts[:page] {
			r.Ends = append(r.Ends, hoist.RunEnd{No: hoist.EndNo(i + 1), Run: s.Run, Kind: hoist.EndFailed})
		}
		return r
	}
	// startThree starts three tasks on a worker that lists two ends at a time.
	startThree := func(t *testing.T) (*cell, []sched.Start) {
		c := newCell(t, "w1")
		q := queue
		q.MaxAttempts = 5
		c.submit("p", q, step(page+1))
		starts := c.run()
		c.wantStarts(starts, page+1)
		c.scheduler.MaxReportedEnds = page
		return c, starts
	}
	t.Run("attempt that the worker has confirmed", func(t *testing.T) {
		c, starts := startThree(t)
		c.report("w1", cutReport(starts))
		c.pass()
		c.is.Equal(len(c.stops), 0)
		c.is.Equal(len(c.scheduler.TakePresumedEnds()), 0)
	})
	t.Run("attempt whose stop was answered", func(t *testing.T) {
		c, starts := startThree(t)
		c.scheduler.Cancel("p", c.now)
		c.pass()
		for _, s := range starts {
			c.scheduler.RecordStop("w1", s.Run, nil, c.now)
		}
		c.report("w1", cutReport(starts))
		c.record()
		c.is.True(!c.scheduler.IsEndRecorded("p"))
		c.report("w1", hoist.RunnerReport{Incarnation: 1, Ends: []hoist.RunEnd{{No: 3, Run: starts[2].Run, Kind: hoist.EndStopped}}})
		c.record()
		c.is.True(c.scheduler.IsEndRecorded("p"))
	})
	t.Run("attempt of an earlier owner", func(t *testing.T) {
		c, starts := startThree(t)
		c.scheduler = sched.NewScheduler(2, c.now)
		c.scheduler.MaxReportedEnds = page
		c.scheduler.SetWorkers(c.entries, c.now)
		state := hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{}}}
		for i, s := range starts {
			state.Steps[0].Placed = append(state.Steps[0].Placed, hoist.PlacedRun{Index: i, Attempt: s.Run.Attempt, Worker: "w1"})
		}
		c.scheduler.Restore(hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(page + 1)}}, state, 1, c.now)
		c.report("w1", cutReport(starts))
		c.is.Equal(len(c.scheduler.TakePresumedEnds()), 0)
	})
}

// TestNoStartsBeyondListOfEnds guards against starting so many tasks on a worker, whose ends
// cannot be acknowledged, that it has no room to list the ends of all.
func TestNoStartsBeyondListOfEnds(t *testing.T) {
	c := newCell(t, "w1")
	c.scheduler.MaxReportedEnds = 5
	c.submit("p", queue, step(8))
	starts := c.run()
	c.wantStarts(starts, 4) // a list of 5 would count as cut
	c.reportEnd(1, starts[0], hoist.EndDone, starts[1:]...)
	c.wantStarts(c.pass(), 0)
	c.report("w1", hoist.RunnerReport{Incarnation: 1, Running: []hoist.RunStatus{{Run: starts[1].Run}, {Run: starts[2].Run}, {Run: starts[3].Run}}})
	c.wantStarts(c.pass(), 1)
}

// TestStopAnsweredByEarlierIncarnation guards against an answer to a stop that counts for the
// next incarnation of its worker: a start that is still in flight may reach that one.
func TestStopAnsweredByEarlierIncarnation(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.submit("p", queue, step(1))
	s := c.pass()[0]
	c.scheduler.RecordStart(s.Worker, s.Run, hoist.ErrOutcomeUnknown, c.now)
	c.wantStarts(c.pass(), 0) // sends a stop
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 2})
	c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 2})
	c.wantStarts(c.pass(), 0)
	c.is.Equal(c.stops, []sched.Stop{{Worker: s.Worker, Run: s.Run}})
	c.scheduler.RecordStop(s.Worker, s.Run, nil, c.now)
	c.report(s.Worker, hoist.RunnerReport{Incarnation: 2})
	c.wantStarts(c.pass(), 1)
}

// TestListedEndOfSupersededAttempt guards against an attempt that keeps its capacity, and
// later counts as ended without a listed end, although its worker has listed its end: its
// occurrence had ended with another attempt.
func TestListedEndOfSupersededAttempt(t *testing.T) {
	c := newCell(t, "w1")
	p := hoist.Plan{
		ID: "p", Queue: queue, Steps: []hoist.Step{step(1)}, Accepted: c.now,
		Occurrences: 2, Start: c.now, Interval: time.Hour,
	}
	c.scheduler.Add(p, 1, c.now)
	first := c.run()
	c.now = start.Add(6200 * time.Millisecond)
	c.addWorkers("w2")
	second := c.run()
	c.wantStarts(second, 1)
	c.reportEnd(1, first[0], hoist.EndDone) // the occurrence ends
	c.scheduler.TakePresumedEnds()
	c.reportEnd(1, second[0], hoist.EndStopped)
	c.changeEntry("w1", func(e *hoist.WorkerEntry) { e.IsLeaving = true })
	c.submit("q", queue, step(8))
	c.wantStarts(c.pass(), 8)
	c.is.Equal(len(c.stops), 0)
	c.is.Equal(len(c.scheduler.TakePresumedEnds()), 0)
}

// TestReportWithoutIncarnation guards against an odd answer of a worker, without what it
// runs and when it was started, that counts as a restart and ends its attempts.
func TestReportWithoutIncarnation(t *testing.T) {
	c := newCell(t, "w1", "w2")
	c.submit("p", queue, step(1))
	s := c.run()[0]
	c.now = c.now.Add(time.Millisecond)
	c.is.True(!c.scheduler.RecordReport(s.Worker, hoist.RunnerReport{}, c.scheduler.NewPoll(s.Worker, c.now), c.now))
	c.wantStarts(c.pass(), 0)
	c.is.Equal(len(c.scheduler.TakePresumedEnds()), 0)
}

// TestLateStartUnderNewLease guards against a start without an answer that a worker carries
// out late: its task has started elsewhere after the lease had expired, and the worker has
// a new lease.
func TestLateStartUnderNewLease(t *testing.T) {
	c := newCell(t, "w1")
	hasLease := func() bool { return c.scheduler.GrantLease("w1", 6*time.Second, c.now).Until > 0 }
	c.submit("p", queue, step(1))
	s := c.pass()[0]
	c.scheduler.RecordStart("w1", s.Run, hoist.ErrOutcomeUnknown, c.now)
	c.now = start.Add(6200 * time.Millisecond)
	c.addWorkers("w2")
	c.wantStarts(c.pass(), 1)
	c.report("w1", hoist.RunnerReport{Incarnation: 1})
	c.is.True(!hasLease())
	c.wantStarts(c.pass(), 0)
	c.is.Equal(c.stops, []sched.Stop{{Worker: "w1", Run: s.Run}}) // once the worker answers again
	c.scheduler.RecordStop("w1", s.Run, hoist.ErrOutcomeUnknown, c.now)
	c.is.True(!hasLease())
	c.scheduler.RecordStop("w1", s.Run, nil, c.now)
	c.is.True(hasLease())
}
