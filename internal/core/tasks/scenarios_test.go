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

// maxUrgentStartTime is the limit for starting the tasks of an urgent job.
const maxUrgentStartTime = 9400 * time.Millisecond

// TestJobScenarios guards against a wrong outcome, violated invariants and expected
// jobs that have not ended, in one scenario for each case.
func TestJobScenarios(t *testing.T) {
	cases := []struct {
		name           string
		hosts, workers int
		specs          []hoist.JobSpec
		// run returns when the scenario is over.
		run func(c *cell)
		// done are the indices of the specs whose jobs must have ended by then.
		done []int
	}{
		{"replicas are spread and replaced before they are stopped", 3, 12, []hoist.JobSpec{service(6)}, replaceReplicasOfLeavingWorker, nil},
		{"urgent work starts in a full cell", 3, 3, []hoist.JobSpec{batch("low", 24, 30*time.Second)}, startUrgentJob, []int{0}},
		{"small jobs do not starve a gang", 3, 4, nil, startGangAmongSmallJobs, nil},
		{"two gangs do not block each other", 3, 4, []hoist.JobSpec{gang("one", 6, 3*time.Second), gang("two", 6, 3*time.Second)}, sleep(40 * time.Second), []int{0, 1}},
		{"a gang that cannot run does not block others", 2, 3, []hoist.JobSpec{gang("vast", 100, time.Second), gang("small", 4, time.Second)}, checkImpossibleGang, []int{1}},
		{"the start of one task of a gang is refused", 2, 4, nil, refuseOneStart, nil},
		{"a job owner dies while a gang starts", 3, 6, []hoist.JobSpec{gang("gang", 8, 5*time.Second)}, killJobOwnerDuringGangStart, []int{0}},
		{"owners cannot reach each other while a gang starts", 2, 6, nil, partitionOwnersDuringGangStart, nil},
		{"thousands of jobs are cancelled at the same time", 3, 9, nil, cancelConcurrently, nil},
		{"jobs are cancelled while messages are lost", 3, 9, nil, cancelWithLostMessages, nil},
		{"the table cannot record a cancellation", 2, 3, []hoist.JobSpec{batch("batch", 4, 20*time.Second)}, cancelWithoutTable, []int{0}},
		{"the new owner of jobs cannot reach the owner of workers", 3, 6, []hoist.JobSpec{batch("batch", 40, 50*time.Second)}, partitionOwnersAfterTakeover, []int{0}},
		{"the table is down for an hour", 3, 3, []hoist.JobSpec{batch("batch", 200, 4*time.Minute), service(3)}, stopTableForAnHour, []int{0}},
		{"a deadline that will be missed is reported early", 1, 1, []hoist.JobSpec{lateBatch("late", 16, 30*time.Second, 50*time.Second)}, awaitLateJob, nil},
		{"a worker fails every task", 2, 3, []hoist.JobSpec{batch("batch", 60, time.Second)}, failAllTasksOnWorker, []int{0}},
		{"a worker runs ten times slower than declared", 2, 3, []hoist.JobSpec{batch("batch", 60, time.Second), gang("gang", 4, time.Second)}, slowDownWorker, []int{0, 1}},
		{"a team does not exceed its quota", 2, 3, nil, checkQuota, nil},
		{"a new owner uses higher attempt numbers", 2, 2, []hoist.JobSpec{service(2)}, checkAttemptNumbers, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCell(t, tc.hosts, tc.workers, func(c *cell) {
				for _, s := range tc.specs {
					c.submit(s)
				}
				time.Sleep(time.Second)
				tc.run(c)
				c.checkInvariants(tc.specs)
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

func lateBatch(id hoist.JobID, tasks int, run, deadline time.Duration) hoist.JobSpec {
	s := batch(id, tasks, run)
	// A synctest bubble starts at midnight UTC on 2000-01-01, and the job is
	// submitted 3 s later.
	s.Deadline = time.Date(2000, 1, 1, 0, 0, 3, 0, time.UTC).Add(deadline)
	return s
}

func replaceReplicasOfLeavingWorker(c *cell) {
	racks := make(map[hoist.RackID]int)
	for _, id := range c.runningTasks("svc") {
		for _, w := range c.workers {
			if w.ID == id {
				racks[w.Rack]++
			}
		}
	}
	if len(racks) != 6 {
		c.t.Errorf("6 replicas run in %d racks, want 6", len(racks))
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
			if len(c.runningTasks("svc")) < 6 {
				c.t.Fatal("fewer than 6 replicas run")
			}
			if len(w.Running()) > 0 && c.isLeaving(w.ID) {
				return false
			}
		}
		return true
	})
	if n := c.countStarts("svc", begin); n != 1 {
		c.t.Errorf("%d replicas were started to replace one on a leaving worker, want 1", n)
	}
}

func (c *cell) isLeaving(id hoist.WorkerID) bool {
	isLeaving := false
	for _, ch := range c.history.Changes() {
		if ch.Worker == id && ch.Kind == work.Leaves {
			isLeaving = ch.IsLeaving
		}
	}
	return isLeaving
}

func startUrgentJob(c *cell) {
	urgent := batch("urgent", 4, 5*time.Second)
	urgent.Need, urgent.Urgent, urgent.Priority = need(2), true, 9
	c.submit(urgent)
	c.waitFor("started", maxUrgentStartTime, func() bool { return len(c.runningTasks("urgent")) == 4 })
	time.Sleep(90 * time.Second)
	c.checkDone(urgent)
}

func startGangAmongSmallJobs(c *cell) {
	s := gang("gang", 8, time.Second)
	var wg sync.WaitGroup
	for i := range 600 {
		// The run times differ so that the tasks end one at a time. Together they
		// keep the cell busy for about a minute.
		small := batch(hoist.JobID(fmt.Sprintf("small-%d", i)), 1, time.Duration(2000+i*37%2000)*time.Millisecond)
		wg.Go(func() { c.submit(small) })
	}
	wg.Wait()
	c.submit(s)
	time.Sleep(25 * time.Second)
	c.checkInvariants([]hoist.JobSpec{s})
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
		c.t.Errorf("%d of 600 small jobs have ended, so the cell was not full all the time", small)
	}
}

func checkImpossibleGang(c *cell) {
	time.Sleep(20 * time.Second)
	want := "can never run on these 3 workers: 3 with room for some of the tasks, " +
		"but not for all at once even when empty (282.000 cores, 6016 MiB more needed)"
	if got := c.jobState(gang("vast", 100, time.Second)).Reason; got != want {
		c.t.Errorf("the reason of the waiting gang is %q, want %q", got, want)
	}
}

func refuseOneStart(c *cell) {
	s := gang("gang", 6, time.Minute)
	c.workers[0].SetFault(work.Fault{RefuseStarts: 1, LoseStops: 1})
	c.submit(s)
	time.Sleep(90 * time.Second)
	c.checkInvariants([]hoist.JobSpec{s})
	c.checkDone(s)
}

func killJobOwnerDuringGangStart(c *cell) {
	s := gang("second", 8, 5*time.Second)
	for i, w := range c.workers {
		w.SetFault(work.Fault{Delay: time.Duration(i) * 100 * time.Millisecond})
	}
	time.Sleep(20 * time.Second)
	c.submit(s)
	c.waitFor("starting", 20*time.Second, func() bool { return len(c.runningTasks("second")) > 2 })
	c.kill(c.jobOwner(s.Team))
	time.Sleep(60 * time.Second)
	c.checkInvariants([]hoist.JobSpec{s})
	c.checkDone(s)
}

func partitionOwnersDuringGangStart(c *cell) {
	s := gang("gang", 10, 40*time.Second)
	for _, w := range c.workers {
		if c.workerOwner(w.ID) != c.jobOwner(s.Team) {
			w.SetFault(work.Fault{Delay: 200 * time.Millisecond})
		}
	}
	c.submit(s)
	time.Sleep(150 * time.Millisecond)
	c.setPartitioned(c.hosts[0], c.hosts[1], true)
	time.Sleep(time.Minute)
	c.checkGang(s)
	c.setPartitioned(c.hosts[0], c.hosts[1], false)
	time.Sleep(2 * time.Minute)
	c.checkInvariants([]hoist.JobSpec{s})
	c.checkDone(s)
}

// cancelMany submits and cancels n jobs concurrently. It guards against a job that
// starts a task after its cancellation was acknowledged.
func cancelMany(c *cell, n int, delay time.Duration, injectFaults func()) {
	specs := make([]hoist.JobSpec, n)
	ackedAt := make([]time.Time, n)
	var wg sync.WaitGroup
	for i := range n {
		specs[i] = batch(hoist.JobID(fmt.Sprintf("j%d", i)), 2, time.Minute)
		specs[i].Team = hoist.TeamID(fmt.Sprintf("team%d", i%20))
		specs[i].Need = hoist.Resources{CPU: 100}
	}
	injectFaults()
	for i, s := range specs {
		wg.Go(func() {
			c.submit(s)
			time.Sleep(delay + time.Duration(i%50)*time.Millisecond)
			for range 30 {
				if c.hosts[i%len(c.hosts)].manager.Cancel(context.Background(), hoist.JobRef{Team: s.Team, Job: s.ID}) == nil {
					ackedAt[i] = time.Now()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	lastStart := make(map[hoist.JobID]time.Time)
	for _, ch := range c.history.Changes() {
		if ch.Kind == work.Starts {
			lastStart[ch.Job] = ch.At
		}
	}
	for i, s := range specs {
		if ackedAt[i].IsZero() {
			c.t.Fatalf("the cancellation of job %s was not acknowledged", s.ID)
		}
		if lastStart[s.ID].After(ackedAt[i]) {
			c.t.Fatalf("job %s started a task %s after its cancellation was acknowledged", s.ID, lastStart[s.ID].Sub(ackedAt[i]))
		}
		if len(c.runningTasks(s.ID)) > 0 || c.jobState(s).Phase != hoist.JobCancelled {
			c.t.Fatalf("job %s is in phase %s with %d running tasks, want a cancelled job without any", s.ID, c.jobState(s).Phase, len(c.runningTasks(s.ID)))
		}
	}
}

func cancelConcurrently(c *cell) {
	cancelMany(c, 3000, 3*time.Second, func() {})
}

func cancelWithLostMessages(c *cell) {
	cancelMany(c, 300, 0, func() {
		for _, method := range []string{"start", "stop", "cancel", "ended"} {
			c.loseReplies(method, 10)
		}
		c.delayCalls("start", 10)
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStarts: 2, LoseStops: 2, Delay: 100 * time.Millisecond})
		}
		c.platform.SetTableFault(plat.Fault{LoseAnswers: 5})
	})
}

func cancelWithoutTable(c *cell) {
	c.platform.SetTableFault(plat.Fault{Down: true})
	if c.hosts[0].manager.Cancel(context.Background(), hoist.JobRef{Team: "t-batch", Job: "batch"}) == nil {
		c.t.Error("a cancellation was acknowledged although the table was down")
	}
	c.platform.SetTableFault(plat.Fault{})
	if n := len(c.runningTasks("batch")); n != 4 {
		c.t.Errorf("%d of 4 tasks run after a failed cancellation", n)
	}
	time.Sleep(30 * time.Second)
}

func partitionOwnersAfterTakeover(c *cell) {
	old := c.jobOwner("t-batch")
	var others []*host
	for _, h := range c.hosts {
		if h != old {
			others = append(others, h)
		}
	}
	c.setPartitioned(others[0], others[1], true)
	c.kill(old)
	time.Sleep(40 * time.Second)
	c.checkSingleRun()
	c.setPartitioned(others[0], others[1], false)
	time.Sleep(2 * time.Minute)
}

func stopTableForAnHour(c *cell) {
	c.platform.SetTableFault(plat.Fault{Down: true})
	begin := time.Now()
	time.Sleep(30 * time.Minute)
	// Replicas must still be moved: this worker's replica goes to another one.
	c.workers[0].SetLeaving(true)
	time.Sleep(30 * time.Minute)
	if n := c.countStarts("batch", begin); n < 100 {
		c.t.Errorf("%d tasks started while the table was down, want at least 100", n)
	}
	if len(c.runningTasks("svc")) != 3 {
		c.t.Errorf("%d of 3 replicas run", len(c.runningTasks("svc")))
	}
	unacked := 0
	for _, w := range c.workers {
		report, _ := w.Direct().Adopt(context.Background(), 1<<40)
		unacked += len(report.Ended)
	}
	if unacked < 100 {
		c.t.Errorf("the workers list %d ends that the table does not record, want at least 100", unacked)
	}
	c.platform.SetTableFault(plat.Fault{})
	for i, w := range c.workers {
		// The term above fenced the owners, so they get higher ones.
		c.mu.Lock()
		shard := hoist.ShardOf(hoist.KindWorker, string(w.ID))
		c.terms[shard] = 1<<40 + hoist.Term(i)
		c.mu.Unlock()
		c.assignShard(shard, c.workerOwner(w.ID))
	}
	time.Sleep(2 * time.Minute)
}

func awaitLateJob(c *cell) {
	c.waitFor("late", 40*time.Second, func() bool { return c.jobState(lateBatch("late", 16, 0, 0)).IsLate })
}

func failAllTasksOnWorker(c *cell) {
	c.workers[0].SetFailAll(true)
	time.Sleep(4 * time.Minute)
	failed := 0
	for _, ch := range c.history.Changes() {
		if ch.State == hoist.TaskFailed {
			failed++
		}
	}
	// One task for each of the 8 cores may start before the first report. After
	// that only single probe tasks start.
	if failed == 0 || failed > 16 {
		c.t.Errorf("%d tasks failed on the worker, want 1 to 16", failed)
	}
}

func checkQuota(c *cell) {
	for _, h := range c.hosts {
		h.manager.SetQuotas(map[hoist.TeamID]hoist.Resources{"t-big": {CPU: 4000, Memory: 8192}}, quota.Unlimited)
	}
	big, other := batch("big", 20, 2*time.Second), batch("other", 8, 2*time.Second)
	c.submit(big)
	c.submit(other)
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		if n := len(c.runningTasks("big")); n > 4 {
			c.t.Errorf("the team runs %d tasks of one core each with a quota of 4 cores", n)
		}
	}
	c.checkDone(big)
	c.checkDone(other)
}

func slowDownWorker(c *cell) {
	c.workers[0].SetSlowFactor(10)
	time.Sleep(2 * time.Minute)
}

func checkAttemptNumbers(c *cell) {
	before := c.history.Changes()
	c.kill(c.jobOwner("t-svc"))
	time.Sleep(5 * time.Second)
	if n := len(c.history.Changes()); n != len(before) {
		c.t.Errorf("%d changes on workers during a takeover, want none", n-len(before))
	}
	for _, w := range c.workers {
		w.Close()
	}
	c.waitFor("restarted", 10*time.Second, func() bool { return len(c.runningTasks("svc")) == 2 })
	for _, ch := range c.history.Changes()[len(before):] {
		if ch.Kind == work.Starts && ch.Attempt <= before[0].Attempt+1 {
			c.t.Errorf("attempt %x of task %s started after attempt %x, want a number that is higher by more than 1", ch.Attempt, ch.Task, before[0].Attempt)
		}
	}
}

// TestLateEndReportOfEarlierAttempt guards against the end of an attempt of an
// earlier owner being taken for the end of the current attempt, when its report
// arrives late.
func TestLateEndReportOfEarlierAttempt(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	end := func(attempt hoist.AttemptNo) hoist.WorkerTask {
		return hoist.WorkerTask{Worker: "w", Status: hoist.TaskStatus{Task: "b/0", Job: "b", Attempt: attempt, State: hoist.TaskSucceeded}}
	}
	var attempts [3]hoist.AttemptNo
	for term := range attempts {
		tracker := jobs.NewTracker()
		j := tracker.Add(batch("b", 1, time.Second), hoist.Term(term+1), now)
		attempts[term] = j.NewAttempt()
		tracker.Begin(j.Tasks[0], "w", attempts[term], now)
		for _, earlier := range attempts[:term] {
			if tracker.RecordEnd(end(earlier), now) != nil || j.HasEnded() {
				t.Errorf("term %d: the end of attempt %x was taken for the end of attempt %x", term+1, earlier, attempts[term])
			}
		}
		if tracker.RecordEnd(end(attempts[term]), now); !j.HasEnded() {
			t.Errorf("term %d: the end of attempt %x was ignored", term+1, attempts[term])
		}
	}
}
