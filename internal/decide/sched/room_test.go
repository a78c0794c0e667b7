package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// rowBytes is the size of a row of the store.
const rowBytes = 65_536

// wideCell is an owner of workers with much capacity and long names, with one plan.
type wideCell struct {
	t         testing.TB
	scheduler *sched.Scheduler
	now       time.Time
	plan      hoist.Plan
	workers   []hoist.WorkerID
	nextEnd   map[hoist.WorkerID]hoist.EndNo
	running   map[hoist.WorkerID][]hoist.RunStatus
}

func newWideCell(t testing.TB, workers, nameBytes int, p hoist.Plan) *wideCell {
	c := &wideCell{
		t: t, scheduler: sched.NewScheduler(1, start), now: start, plan: p,
		nextEnd: make(map[hoist.WorkerID]hoist.EndNo), running: make(map[hoist.WorkerID][]hoist.RunStatus),
	}
	c.scheduler.StateSize, c.scheduler.MaxState = codec.PackedStateSize, codec.MaxStateBytes
	var entries []hoist.WorkerEntry
	for i := range workers {
		id := hoist.WorkerID(fmt.Sprintf("%0*d", nameBytes, i))
		c.workers = append(c.workers, id)
		entries = append(entries, hoist.WorkerEntry{Worker: id, Service: "lids", Addr: "x", Capacity: hoist.Resources{CPU: 1 << 40, Memory: 1 << 40}})
	}
	c.scheduler.SetWorkers(entries, c.now)
	c.report(nil)
	c.scheduler.Add(p, 1, c.now)
	return c
}

// report passes a report of each worker with what runs there and the given ends.
func (c *wideCell) report(ends map[hoist.WorkerID][]hoist.RunEnd) {
	for _, id := range c.workers {
		c.now = c.now.Add(time.Millisecond)
		c.scheduler.RecordReport(id, hoist.RunnerReport{Incarnation: 1, Running: c.running[id], Ends: ends[id]}, c.scheduler.NewPoll(id, c.now), c.now)
	}
}

// pass decides, checks the recorded state, and confirms the starts. It returns how many there
// are.
func (c *wideCell) pass() int {
	c.now = c.now.Add(2 * time.Second)
	c.report(nil)
	c.scheduler.Tick(c.now)
	c.scheduler.Pass(c.now, func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false })
	n := 0
	for _, u := range c.scheduler.Unrecorded("", true, 10, c.now) {
		c.wantRecordable(u)
		for _, s := range c.scheduler.MarkRecorded(u.Job, u.Change, 1, c.now) {
			c.scheduler.RecordStart(s.Worker, s.Run, nil, c.now)
			c.running[s.Worker] = append(c.running[s.Worker], hoist.RunStatus{Run: s.Run})
			n++
		}
	}
	return n
}

// wantRecordable fails the test unless a state fits into a row, decodes to the same state
// restored by the next owner.
func (c *wideCell) wantRecordable(u sched.UnrecordedState) {
	c.t.Helper()
	s := u.State
	value := codec.EncodePlanState(s)
	if len(value) > rowBytes {
		c.t.Fatalf("the state takes %d bytes, a row %d", len(value), rowBytes)
	}
	decoded, err := codec.DecodePlanState(value)
	if err == nil {
		err = limit.CheckState(c.plan, decoded)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	if s.Phase.IsFinal() {
		return
	}
	next := sched.NewScheduler(2, c.now)
	next.Open.PlanOccurrences = 0 // begins no further occurrence
	next.StateSize, next.MaxState = codec.PackedStateSize, codec.MaxStateBytes
	next.Restore(c.plan, decoded, 1, c.now)
	next.Cancel(c.plan.ID, c.now) // makes it record its state
	restored := next.Unrecorded("", true, 1, c.now)[0].State
	// Lists that are empty or nil are alike in the encoding.
	is.New(c.t).Equal(string(codec.EncodePlanState(hoist.PlanState{Steps: restored.Steps})), string(codec.EncodePlanState(hoist.PlanState{Steps: s.Steps})))
}

// end ends what runs, each attempt in the given way; an empty kind leaves it running. Each one
// reports a checkpoint before.
func (c *wideCell) end(checkpoint func() hoist.Checkpoint, kind func() hoist.EndKind) {
	ends := make(map[hoist.WorkerID][]hoist.RunEnd)
	for _, id := range c.workers {
		var left []hoist.RunStatus
		for _, r := range c.running[id] {
			r.Saved = checkpoint()
			how := kind()
			if how == "" {
				left = append(left, r)
				continue
			}
			c.nextEnd[id]++
			ends[id] = append(ends[id], hoist.RunEnd{No: c.nextEnd[id], Run: r.Run, Kind: how, Saved: r.Saved})
		}
		c.running[id] = left
	}
	c.report(ends)
}

// limitStep draws a step up to the limits of a plan.
func limitStep(t *rapid.T, tasks int) hoist.Step {
	s := step(tasks)
	s.SavesProgress = rapid.Bool().Draw(t, "saves")
	s.IsGang = tasks <= limit.DefaultPlans.MaxGang && rapid.Bool().Draw(t, "gang")
	s.IsLongRunning = !s.IsGang && rapid.Bool().Draw(t, "lasting")
	s.Need = hoist.Resources{CPU: 1, Memory: 1}
	return s
}

// TestStateFitsIntoRow guards against a job whose recorded state outgrows a row of the store,
// so that it can never be recorded again and none of its tasks starts any more. It plays jobs up
// to the limits of tasks, gangs, steps, open occurrences, checkpoints, failures and the names of
// workers.
func TestStateFitsIntoRow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shape := rapid.SampledFrom([][2]int{{1, 2000}, {1, 300}, {2, 300}, {200, 10}, {125, 1}, {28, 1}, {4, 500}}).Draw(rt, "steps and tasks")
		p := hoist.Plan{ID: "p", Queue: queue, Accepted: start, Occurrences: 40, Start: time.UnixMilli(1)}
		p.Queue.MaxAttempts = rapid.IntRange(1, 30).Draw(rt, "attempts")
		for range shape[0] {
			p.Steps = append(p.Steps, limitStep(rt, shape[1]))
		}
		if err := limit.DefaultPlans.Check(p); err != nil {
			rt.Fatal(err)
		}
		workers := rapid.SampledFrom([]int{2, 40, 300}).Draw(rt, "workers")
		longest := rapid.IntRange(4, 128).Draw(rt, "name")
		c := newWideCell(t, workers, longest, p)
		checkpointBytes := rapid.SampledFrom([]int{0, 24, 200, sched.MaxCheckpoint, sched.MaxCheckpoint + 1}).Draw(rt, "checkpoint")
		saved := 0
		checkpoint := func() hoist.Checkpoint {
			saved++
			return hoist.Checkpoint(strings.Repeat("c", max(0, checkpointBytes-6)) + fmt.Sprintf("%06d", saved)[:min(6, checkpointBytes)])
		}
		failing := rapid.IntRange(0, 100).Draw(rt, "failing")
		drawn := 0
		kind := func() hoist.EndKind {
			drawn += 37
			switch n := drawn % 100; {
			case n < failing:
				return hoist.EndFailed
			case n < failing+(100-failing)/3:
				return hoist.EndDone
			case n < failing+(100-failing)/2:
				return hoist.EndStopped
			default:
				return ""
			}
		}
		isStuck := true
		for range rapid.IntRange(1, 6).Draw(rt, "rounds") {
			isStuck = c.pass() == 0 && isStuck
			c.end(checkpoint, kind)
		}
		if isStuck {
			rt.Fatal("no task was ever placed")
		}
	})
}

// TestFailuresOfLongRunningTasksAreForgotten guards against failures without a bound that
// accumulate in the state of a job, also those that an earlier version recorded.
func TestFailuresOfLongRunningTasksAreForgotten(t *testing.T) {
	c := newCell(t, "w1")
	p := hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(1, longRunning)}, Accepted: c.now}
	old := hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{Failed: []hoist.FailedRun{{Attempt: 1}, {Attempt: 2}}}}}
	c.scheduler.Restore(p, old, 1, c.now)
	for no := hoist.EndNo(1); no <= 20; no++ {
		c.now = c.now.Add(2 * time.Second)
		c.report("w1", hoist.RunnerReport{Incarnation: 1})
		starts := c.run()
		c.wantStarts(starts, 1)
		c.reportEnd(no, starts[0], hoist.EndFailed)
	}
	c.is.Equal(len(c.scheduler.Unrecorded("", true, 1, c.now)[0].State.Steps[0].Failed), 0)
}

// TestFailuresAreCounted guards against failures that are counted twice, or not at all, once
// a job has too many to list them.
func TestFailuresAreCounted(t *testing.T) {
	const tasks, attempts = 300, 4
	p := hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(tasks)}, Accepted: start}
	p.Queue.MaxAttempts = attempts
	p.Steps[0].Need = hoist.Resources{CPU: 1, Memory: 1}
	c := newWideCell(t, 4, 20, p)
	fail := func() hoist.EndKind { return hoist.EndFailed }
	none := func() hoist.Checkpoint { return "" }
	for range attempts - 1 {
		is.New(t).Equal(c.pass(), tasks)
		c.end(none, fail)
		c.report(nil)
	}
	job, _ := c.scheduler.Job("p")
	is.New(t).Equal(job.Phase, hoist.PlanRunning)
	is.New(t).Equal(c.pass(), tasks)
	c.end(none, fail)
	is.New(t).Equal(job.Phase, hoist.PlanFailed)
}

// TestAcceptedWorkRuns guards against accepted tasks that never start because the size of the
// state of their job is overestimated.
func TestAcceptedWorkRuns(t *testing.T) {
	const nameBytes = 20
	t.Run("600 long-running tasks on 12 workers", func(t *testing.T) {
		p := hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(600, longRunning)}, Accepted: start}
		is.New(t).Equal(newWideCell(t, 12, nameBytes, p).pass(), 600)
	})
	t.Run("largest gang restarts from its checkpoints", func(t *testing.T) {
		p := hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(limit.DefaultPlans.MaxGang, gang)}, Accepted: start}
		p.Steps[0].SavesProgress = true
		c := newWideCell(t, 300, 128, p)
		is.New(t).Equal(c.pass(), limit.DefaultPlans.MaxGang)
		saved := 0
		c.end(func() hoist.Checkpoint {
			saved++
			return hoist.Checkpoint(fmt.Sprintf("%0*d", sched.MaxCheckpoint, saved))
		}, func() hoist.EndKind { return hoist.EndGangFailed })
		is.New(t).Equal(c.pass(), limit.DefaultPlans.MaxGang)
	})
	t.Run("60 overdue occurrences of 28 steps", func(t *testing.T) {
		p := hoist.Plan{ID: "p", Queue: queue, Accepted: start, Occurrences: 60, Start: time.UnixMilli(1)}
		for range 28 {
			p.Steps = append(p.Steps, step(1))
		}
		c := newWideCell(t, 12, nameBytes, p)
		started := 0
		for range 3 {
			started += c.pass()
			c.end(func() hoist.Checkpoint { return "" }, func() hoist.EndKind { return hoist.EndDone })
		}
		is.New(t).Equal(started, 60*28)
	})
	t.Run("2000 tasks of one step", func(t *testing.T) {
		p := hoist.Plan{ID: "p", Queue: queue, Steps: []hoist.Step{step(2000)}, Accepted: start}
		if n := newWideCell(t, 100, nameBytes, p).pass(); n < 1500 {
			t.Fatalf("%d of 2000 tasks are placed at a time, expected 1500 or more", n)
		}
	})
}
