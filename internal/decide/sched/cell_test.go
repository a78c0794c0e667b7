package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

var (
	start       = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	size        = hoist.Resources{CPU: 8000, Memory: 8000}
	need        = hoist.Resources{CPU: 1000, Memory: 1000}
	queue       = hoist.Queue{Name: "checks", Service: "lids", MaxAttempts: 2, Stretch: 1.5, Latency: time.Second}
	advised     = withAdvice(queue)
	adviserHost = hoist.HostID("host-1")
)

func withAdvice(q hoist.Queue) hoist.Queue {
	q.Advice = hoist.AdviserConfig{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	return q
}

// cell is a scheduler under test with its clock. It acts as the owner of the
// cell that uses the scheduler.
type cell struct {
	t         *testing.T
	is        *is.I
	scheduler *sched.Scheduler
	now       time.Time
	entries   []hoist.WorkerEntry
	requests  []sched.AdviceRequest
	// reserve finds the host of a request for advice.
	reserve sched.Reserve
	stops   []sched.Stop
}

func newCell(t *testing.T, workers ...hoist.WorkerID) *cell {
	c := &cell{t: t, is: is.New(t), now: start}
	c.reserve = func(time.Duration, time.Time) (hoist.HostID, bool) { return adviserHost, true }
	c.scheduler = sched.NewScheduler(1, start)
	c.addWorkers(workers...)
	return c
}

// addWorkers lists workers that have reported and run nothing.
func (c *cell) addWorkers(workers ...hoist.WorkerID) {
	for i, id := range workers {
		c.entries = append(c.entries, hoist.WorkerEntry{
			Worker: id, Service: "lids", Addr: string(id), Capacity: size, Class: "a",
			Rack: hoist.RackID(fmt.Sprintf("r%d", i/2)), Labels: []hoist.Label{"a", hoist.Label(fmt.Sprintf("r%d", i/2))},
		})
	}
	c.scheduler.SetWorkers(c.entries, c.now)
	for _, id := range workers {
		c.report(id, hoist.RunnerReport{Incarnation: 1})
		c.scheduler.GrantLease(id, 6*time.Second, c.now)
	}
}

func (c *cell) changeEntry(id hoist.WorkerID, change func(*hoist.WorkerEntry)) {
	for i := range c.entries {
		if c.entries[i].Worker == id {
			change(&c.entries[i])
		}
	}
	c.scheduler.SetWorkers(c.entries, c.now)
}

// report passes a report of a worker to the scheduler, polled and answered
// now.
func (c *cell) report(id hoist.WorkerID, r hoist.RunnerReport) {
	c.now = c.now.Add(time.Millisecond)
	c.scheduler.RecordReport(id, r, c.scheduler.NewPoll(id, c.now), c.now)
}

// submit adds a plan with the given steps.
func (c *cell) submit(id hoist.JobID, q hoist.Queue, steps ...hoist.Step) hoist.Plan {
	p := hoist.Plan{ID: id, Queue: q, Steps: steps, Accepted: c.now}
	c.scheduler.Add(p, 1, c.now)
	return p
}

// pass decides, records all states, and returns the starts to send.
func (c *cell) pass() []sched.Start {
	c.now = c.now.Add(time.Millisecond)
	c.scheduler.Tick(c.now)
	d := c.scheduler.Pass(c.now, c.reserve)
	c.requests, c.stops = d.AdviceRequests, d.Stops
	return c.record()
}

func (c *cell) record() []sched.Start {
	var out []sched.Start
	for _, u := range c.scheduler.Unrecorded("", true, 1000, c.now) {
		out = append(out, c.scheduler.MarkRecorded(u.Job, u.Change, u.Version+1, c.now)...)
	}
	return out
}

// run runs a pass and confirms all starts.
func (c *cell) run() []sched.Start {
	starts := c.pass()
	for _, s := range starts {
		c.scheduler.RecordStart(s.Worker, s.Run, nil, c.now)
	}
	c.now = c.now.Add(time.Millisecond)
	return starts
}

// reportEnd reports the end of a run, and only those of the others as running
// that are on the same worker.
func (c *cell) reportEnd(no hoist.EndNo, s sched.Start, kind hoist.EndKind, others ...sched.Start) {
	r := hoist.RunnerReport{Incarnation: 1, Ends: []hoist.RunEnd{{No: no, Run: s.Run, Kind: kind}}}
	for _, o := range others {
		if o.Worker == s.Worker {
			r.Running = append(r.Running, hoist.RunStatus{Run: o.Run})
		}
	}
	c.report(s.Worker, r)
}

func (c *cell) phase(id hoist.JobID) hoist.PlanPhase {
	j, ok := c.scheduler.Job(id)
	if !ok {
		return ""
	}
	return j.Phase
}

// wantAckable fails unless the ends of a worker up to no may be acknowledged.
func (c *cell) wantAckable(id hoist.WorkerID, no hoist.EndNo) {
	c.t.Helper()
	acked, _ := c.scheduler.AckableEnd(id)
	c.is.Equal(acked, no)
}

func (c *cell) wantStarts(starts []sched.Start, n int) {
	c.t.Helper()
	if len(starts) != n {
		c.t.Fatalf("%d starts, expected %d: %v", len(starts), n, starts)
	}
}

// wantPhase fails unless the plan "p" is in the given phase.
func (c *cell) wantPhase(want hoist.PlanPhase) {
	c.t.Helper()
	if got := c.phase("p"); got != want {
		c.t.Fatalf("plan p is %q, expected %q", got, want)
	}
}

func step(count int, change ...func(*hoist.Step)) hoist.Step {
	s := hoist.Step{Count: count, Need: need, Estimate: time.Second, MaxUnavailable: -1}
	for _, f := range change {
		f(&s)
	}
	return s
}

func gang(s *hoist.Step)        { s.IsGang = true }
func longRunning(s *hoist.Step) { s.IsLongRunning = true }
func after(s *hoist.Step)       { s.After = []hoist.StepNo{0} }
