package tasks_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/quota"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

// urgentTime is the limit for the start of urgent work.
const urgentTime = 9400 * time.Millisecond

// TestScenes brings about one situation for each case and checks what is
// particular to it, besides what must always hold.
func TestScenes(t *testing.T) {
	cases := []struct {
		name           string
		hosts, workers int
		specs          []hoist.JobSpec
		// scene returns when the situation is over.
		scene func(c *cell)
		// done are the jobs that must have ended by then.
		done []int
	}{
		{"replicas are spread and replaced before they are stopped", 3, 12, []hoist.JobSpec{service(6)}, replaceReplicas, nil},
		{"urgent work starts in a full cell", 3, 3, []hoist.JobSpec{batch("low", 24, 30*time.Second)}, startUrgent, []int{0}},
		{"small work does not starve a gang", 3, 4, nil, streamSmall, nil},
		{"two gangs do not block each other", 3, 4, []hoist.JobSpec{gang("one", 6, 3*time.Second), gang("two", 6, 3*time.Second)}, sleep(40 * time.Second), []int{0, 1}},
		{"a gang that cannot run does not block others", 2, 3, []hoist.JobSpec{gang("vast", 100, time.Second), gang("small", 4, time.Second)}, seeStuck, []int{1}},
		{"the start of one task of a gang is refused", 2, 4, nil, refuseOne, nil},
		{"a job owner dies while a gang starts", 3, 6, []hoist.JobSpec{gang("gang", 8, 5*time.Second)}, dieInGang, []int{0}},
		{"owners are cut off while a gang starts", 2, 6, nil, cutInGang, nil},
		{"a wave of cancellations", 3, 9, nil, cancelWave, nil},
		{"cancellations while messages are lost", 3, 9, nil, cancelLossy, nil},
		{"a cancellation that the table cannot record", 2, 3, []hoist.JobSpec{batch("batch", 4, 20*time.Second)}, cancelDown, []int{0}},
		{"the new owner of jobs cannot reach the owner of workers", 3, 6, []hoist.JobSpec{batch("batch", 40, 50*time.Second)}, cutOwners, []int{0}},
		{"the table is down for an hour", 3, 3, []hoist.JobSpec{batch("batch", 200, 4*time.Minute), service(3)}, tableHour, []int{0}},
		{"a deadline that will be missed is reported early", 1, 1, []hoist.JobSpec{missing("late", 16, 30*time.Second, 50*time.Second)}, seeLate, nil},
		{"a worker fails every task", 2, 3, []hoist.JobSpec{batch("batch", 60, time.Second)}, failAll, []int{0}},
		{"a worker runs ten times slower than declared", 2, 3, []hoist.JobSpec{batch("batch", 60, time.Second), gang("gang", 4, time.Second)}, slowWorker, []int{0, 1}},
		{"a team keeps to its quota", 2, 3, nil, keepQuota, nil},
		{"a new owner numbers attempts higher", 2, 2, []hoist.JobSpec{service(2)}, numberAttempts, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCell(t, tc.hosts, tc.workers, func(c *cell) {
				for _, s := range tc.specs {
					c.submit(s)
				}
				time.Sleep(time.Second)
				tc.scene(c)
				c.check(tc.specs)
				for _, i := range tc.done {
					c.checkDone(tc.specs[i])
				}
			})
		})
	}
}

func sleep(d time.Duration) func(*cell) {
	return func(*cell) { time.Sleep(d) }
}

func missing(id hoist.JobID, tasks int, run, deadline time.Duration) hoist.JobSpec {
	s := batch(id, tasks, run)
	// Bubbles start at this time, and the job is submitted 3 s later.
	s.Deadline = time.Date(2000, 1, 1, 0, 0, 3, 0, time.UTC).Add(deadline)
	return s
}

func replaceReplicas(c *cell) {
	racks := make(map[hoist.RackID]int)
	for _, id := range c.running("svc") {
		for _, w := range c.workers {
			if w.ID == id {
				racks[w.Rack]++
			}
		}
	}
	if len(racks) != 6 {
		c.t.Errorf("6 replicas are in %d of 6 racks", len(racks))
	}
	for _, w := range c.workers {
		if len(w.Running()) > 0 {
			w.SetLeaving(true)
			break
		}
	}
	begin := time.Now()
	c.waitFor("moved", 20*time.Second, func() bool {
		for _, w := range c.workers {
			if len(c.running("svc")) < 6 {
				c.t.Fatal("fewer than 6 replicas run")
			}
			if len(w.Running()) > 0 && c.isLeaving(w.ID) {
				return false
			}
		}
		return true
	})
	if n := c.starts("svc", begin); n != 1 {
		c.t.Errorf("%d replicas were started for one leaving worker", n)
	}
}

func (c *cell) isLeaving(id hoist.WorkerID) bool {
	isLeaving := false
	for _, ch := range c.history.Changes() {
		if ch.Worker == id && ch.Kind == work.Leaves {
			isLeaving = ch.On
		}
	}
	return isLeaving
}

func startUrgent(c *cell) {
	urgent := batch("urgent", 4, 5*time.Second)
	urgent.Need, urgent.Urgent, urgent.Priority = need(2), true, 9
	c.submit(urgent)
	c.waitFor("started", urgentTime, func() bool { return len(c.running("urgent")) == 4 })
	time.Sleep(90 * time.Second)
	c.checkDone(urgent)
}

func streamSmall(c *cell) {
	s := gang("gang", 8, time.Second)
	var wg sync.WaitGroup
	for i := range 600 {
		// A minute of work in tasks that end one by one.
		small := batch(hoist.JobID(fmt.Sprintf("small-%d", i)), 1, time.Duration(2000+i*37%2000)*time.Millisecond)
		wg.Go(func() { c.submit(small) })
	}
	wg.Wait()
	c.submit(s)
	time.Sleep(25 * time.Second)
	c.check([]hoist.JobSpec{s})
	c.checkDone(s)
	small := 0
	for _, w := range c.workers {
		for job := range w.Succeeded() {
			if job != s.ID {
				small++
			}
		}
	}
	if small > 500 {
		c.t.Errorf("%d of 600 small jobs have ended; the cell was not full", small)
	}
}

func seeStuck(c *cell) {
	time.Sleep(20 * time.Second)
	want := "can never run on these 3 workers: 3 with room for some of the tasks, " +
		"but not for all at once even when empty (282.000 cores, 6016 MiB more needed)"
	if got := c.state(gang("vast", 100, time.Second)).Reason; got != want {
		c.t.Errorf("reason %q, want %q", got, want)
	}
}

func refuseOne(c *cell) {
	s := gang("gang", 6, time.Minute)
	c.workers[0].SetFault(work.Fault{RefuseStarts: 1, LoseStops: 1})
	c.submit(s)
	time.Sleep(90 * time.Second)
	c.check([]hoist.JobSpec{s})
	c.checkDone(s)
}

func dieInGang(c *cell) {
	s := gang("second", 8, 5*time.Second)
	for i, w := range c.workers {
		w.SetFault(work.Fault{Delay: time.Duration(i) * 100 * time.Millisecond})
	}
	time.Sleep(20 * time.Second)
	c.submit(s)
	c.waitFor("starting", 20*time.Second, func() bool { return len(c.running("second")) > 2 })
	c.kill(c.jobOwner(s.Team))
	time.Sleep(60 * time.Second)
	c.check([]hoist.JobSpec{s})
	c.checkDone(s)
}

func cutInGang(c *cell) {
	s := gang("gang", 10, 40*time.Second)
	for _, w := range c.workers {
		if c.workerOwner(w.ID) != c.jobOwner(s.Team) {
			w.SetFault(work.Fault{Delay: 200 * time.Millisecond})
		}
	}
	c.submit(s)
	time.Sleep(150 * time.Millisecond)
	c.setCut(c.hosts[0], c.hosts[1], true)
	time.Sleep(time.Minute)
	c.checkGang(s)
	c.setCut(c.hosts[0], c.hosts[1], false)
	time.Sleep(2 * time.Minute)
	c.check([]hoist.JobSpec{s})
	c.checkDone(s)
}

// cancelMany submits and cancels jobs at once, and checks that none of them
// starts anything after the cancellation was acknowledged.
func cancelMany(c *cell, n int, pause time.Duration, faults func()) {
	specs := make([]hoist.JobSpec, n)
	acked := make([]time.Time, n)
	var wg sync.WaitGroup
	for i := range n {
		specs[i] = batch(hoist.JobID(fmt.Sprintf("j%d", i)), 2, time.Minute)
		specs[i].Team = hoist.TeamID(fmt.Sprintf("team%d", i%20))
		specs[i].Need = hoist.Resources{CPU: 100}
	}
	faults()
	for i, s := range specs {
		wg.Go(func() {
			c.submit(s)
			time.Sleep(pause + time.Duration(i%50)*time.Millisecond)
			for range 30 {
				if c.hosts[i%len(c.hosts)].m.Cancel(context.Background(), hoist.JobRef{Team: s.Team, Job: s.ID}) == nil {
					acked[i] = time.Now()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	last := make(map[hoist.JobID]time.Time)
	for _, ch := range c.history.Changes() {
		if ch.Kind == work.Starts {
			last[ch.Job] = ch.At
		}
	}
	for i, s := range specs {
		if acked[i].IsZero() {
			c.t.Fatalf("the cancellation of %s was not acknowledged", s.ID)
		}
		if last[s.ID].After(acked[i]) {
			c.t.Fatalf("%s started a task %s after its cancellation was acknowledged", s.ID, last[s.ID].Sub(acked[i]))
		}
		if len(c.running(s.ID)) > 0 || c.state(s).Phase != hoist.JobCancelled {
			c.t.Fatalf("%s is %s with %d running tasks", s.ID, c.state(s).Phase, len(c.running(s.ID)))
		}
	}
}

func cancelWave(c *cell) {
	cancelMany(c, 3000, 3*time.Second, func() {})
}

func cancelLossy(c *cell) {
	cancelMany(c, 300, 0, func() {
		for _, method := range []string{"start", "stop", "cancel", "ended"} {
			c.lose(method, 10)
		}
		c.delay("start", 10)
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStarts: 2, LoseStops: 2, Delay: 100 * time.Millisecond})
		}
		c.plat.SetTableFault(plat.Fault{LoseAnswers: 5})
	})
}

func cancelDown(c *cell) {
	c.plat.SetTableFault(plat.Fault{Down: true})
	if c.hosts[0].m.Cancel(context.Background(), hoist.JobRef{Team: "t-batch", Job: "batch"}) == nil {
		c.t.Error("a cancellation was acknowledged without the table")
	}
	c.plat.SetTableFault(plat.Fault{})
	if n := len(c.running("batch")); n != 4 {
		c.t.Errorf("%d of 4 tasks run after a cancellation that failed", n)
	}
	time.Sleep(30 * time.Second)
}

func cutOwners(c *cell) {
	old := c.jobOwner("t-batch")
	var others []*host
	for _, h := range c.hosts {
		if h != old {
			others = append(others, h)
		}
	}
	c.setCut(others[0], others[1], true)
	c.kill(old)
	time.Sleep(40 * time.Second)
	c.checkOnePlace()
	c.setCut(others[0], others[1], false)
	time.Sleep(2 * time.Minute)
}

func tableHour(c *cell) {
	c.plat.SetTableFault(plat.Fault{Down: true})
	begin := time.Now()
	time.Sleep(30 * time.Minute)
	// Restarts go on: a worker that leaves loses its replica to another one.
	c.workers[0].SetLeaving(true)
	time.Sleep(30 * time.Minute)
	if n := c.starts("batch", begin); n < 100 {
		c.t.Errorf("%d tasks started while the table was down", n)
	}
	if len(c.running("svc")) != 3 {
		c.t.Errorf("%d of 3 replicas run", len(c.running("svc")))
	}
	unacked := 0
	for _, w := range c.workers {
		report, _ := w.Direct().Adopt(context.Background(), 1<<40)
		unacked += len(report.Ended)
	}
	if unacked < 100 {
		c.t.Errorf("the workers keep %d ends that the table does not record", unacked)
	}
	c.plat.SetTableFault(plat.Fault{})
	for i, w := range c.workers {
		// The term above fenced the owners; they get a new one.
		c.mu.Lock()
		shard := hoist.ShardOf(hoist.KindWorker, string(w.ID))
		c.terms[shard] = 1<<40 + hoist.Term(i)
		c.mu.Unlock()
		c.give(shard, c.workerOwner(w.ID))
	}
	time.Sleep(2 * time.Minute)
}

func seeLate(c *cell) {
	c.waitFor("late", 40*time.Second, func() bool { return c.state(missing("late", 16, 0, 0)).IsLate })
}

func failAll(c *cell) {
	c.workers[0].SetFailAll(true)
	time.Sleep(4 * time.Minute)
	failed := 0
	for _, ch := range c.history.Changes() {
		if ch.State == hoist.TaskFailed {
			failed++
		}
	}
	// The 8 cores may be filled once before the first report; then come probes.
	if failed == 0 || failed > 16 {
		c.t.Errorf("%d tasks failed on the worker", failed)
	}
}

func keepQuota(c *cell) {
	for _, h := range c.hosts {
		h.m.SetQuotas(map[hoist.TeamID]hoist.Resources{"t-big": {CPU: 4000, Memory: 8192}}, quota.Unlimited)
	}
	big, other := batch("big", 20, 2*time.Second), batch("other", 8, 2*time.Second)
	c.submit(big)
	c.submit(other)
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		if n := len(c.running("big")); n > 4 {
			c.t.Errorf("the team runs %d tasks of a core with a quota of 4", n)
		}
	}
	c.checkDone(big)
	c.checkDone(other)
}

func slowWorker(c *cell) {
	c.workers[0].SetSlow(10)
	time.Sleep(2 * time.Minute)
}

func numberAttempts(c *cell) {
	before := c.history.Changes()
	c.kill(c.jobOwner("t-svc"))
	time.Sleep(5 * time.Second)
	if n := len(c.history.Changes()); n != len(before) {
		c.t.Errorf("a takeover moved running tasks: %d changes", n-len(before))
	}
	for _, w := range c.workers {
		w.Close()
	}
	c.waitFor("restarted", 10*time.Second, func() bool { return len(c.running("svc")) == 2 })
	for _, ch := range c.history.Changes()[len(before):] {
		if ch.Kind == work.Starts && ch.Attempt <= before[0].Attempt+1 {
			c.t.Errorf("attempt %x of %s after attempt %x", ch.Attempt, ch.Task, before[0].Attempt)
		}
	}
}

// TestLateReport guards against a report on an attempt of an earlier owner that
// is taken for the current one.
func TestLateReport(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	end := func(attempt hoist.AttemptNo) hoist.WorkerTask {
		return hoist.WorkerTask{Worker: "w", Status: hoist.TaskStatus{Task: "b/0", Job: "b", Attempt: attempt, State: hoist.TaskSucceeded}}
	}
	var attempts [3]hoist.AttemptNo
	for term := range attempts {
		b := jobs.NewTracker()
		j := b.Add(batch("b", 1, time.Second), hoist.Term(term+1), now)
		attempts[term] = j.NewAttempt()
		b.Begin(j.Tasks[0], "w", attempts[term], now)
		for _, earlier := range attempts[:term] {
			if b.Ended(end(earlier), now) != nil || j.IsEnded() {
				t.Errorf("term %d: the report on attempt %x ended attempt %x", term+1, earlier, attempts[term])
			}
		}
		if b.Ended(end(attempts[term]), now); !j.IsEnded() {
			t.Errorf("term %d: the report on attempt %x was ignored", term+1, attempts[term])
		}
	}
}
