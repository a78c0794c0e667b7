package tasks_test

import (
	"sync"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/work"
)

func need(cores hoist.MilliCPU) hoist.Resources {
	return hoist.Resources{CPU: cores * 1000, Memory: 64}
}

func batch(id hoist.JobID, tasks int, run time.Duration) hoist.JobSpec {
	return hoist.JobSpec{ID: id, Team: "t-" + hoist.TeamID(id), Kind: hoist.BatchJob, Tasks: tasks, Need: need(1), RunTime: run}
}

func gang(id hoist.JobID, tasks int, run time.Duration) hoist.JobSpec {
	s := batch(id, tasks, run)
	s.Kind, s.Need = hoist.GangJob, need(3)
	return s
}

func service(tasks int) hoist.JobSpec {
	s := batch("svc", tasks, 0)
	s.Kind = hoist.ServiceJob
	return s
}

// fault is a failure that a test injects.
type fault struct {
	name string
	// inject is called 1 s after the jobs were submitted.
	inject func(c *cell)
	// maySucceedTwice allows a task to succeed twice. An unreachable worker may have
	// finished the task before it could report that.
	maySucceedTwice bool
	recoveryTime    time.Duration
}

var faults = []fault{
	{name: "no fault", inject: func(*cell) {}},
	{name: "the answers of workers to starts are lost", inject: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStarts: 3})
		}
	}},
	{name: "starts do not arrive at workers", inject: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{DropStarts: 3})
		}
	}},
	{name: "starts arrive late at workers", inject: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LateStarts: 3, LateBy: lateCallDelay})
		}
	}},
	{name: "the answers of workers to stops and renewals are lost", inject: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStops: 2, LoseRenews: 5})
		}
	}},
	{name: "replies between hosts are lost", inject: func(c *cell) {
		for _, method := range []string{"start", "reserve", "stop", "ended", "survey", "submit"} {
			c.loseReplies(method, 4)
		}
	}},
	{name: "answers of the table are lost", inject: func(c *cell) { c.platform.SetTableFault(plat.Fault{LoseAnswers: 20}) }},
	{name: "a host dies", inject: func(c *cell) { c.kill(c.hosts[1]) }},
	{name: "two hosts die one after the other", inject: func(c *cell) {
		c.kill(c.hosts[1])
		c.kill(c.hosts[2])
	}},
	{name: "a host dies while the table is slow", inject: func(c *cell) {
		c.platform.SetTableFault(plat.Fault{Delay: 1500 * time.Millisecond})
		c.kill(c.hosts[0])
	}},
	{name: "the lease of a paused host expires", inject: func(c *cell) { c.takeOverShards(c.hosts[1]) }},
	{name: "a worker is unreachable", maySucceedTwice: true, recoveryTime: time.Minute, inject: func(c *cell) {
		c.workers[0].SetFault(work.Fault{Down: true})
	}},
	{name: "a worker is unreachable for less than its lease", inject: func(c *cell) {
		c.workers[0].SetFault(work.Fault{Down: true})
		time.Sleep(6 * time.Second)
		c.workers[0].SetFault(work.Fault{})
	}},
	{name: "a data centre is lost", maySucceedTwice: true, recoveryTime: time.Minute, inject: func(c *cell) {
		for i, w := range c.workers {
			if i%3 == 0 {
				w.SetFault(work.Fault{Down: true})
			}
		}
		c.kill(c.hosts[0])
	}},
	{name: "a host dies and a worker is unreachable", maySucceedTwice: true, recoveryTime: time.Minute, inject: func(c *cell) {
		c.workers[1].SetFault(work.Fault{Down: true})
		c.kill(c.hosts[1])
	}},
	{name: "two hosts cannot reach each other", recoveryTime: time.Minute, inject: func(c *cell) {
		c.setPartitioned(c.hosts[0], c.hosts[1], true)
		time.Sleep(40 * time.Second)
		c.setPartitioned(c.hosts[0], c.hosts[1], false)
	}},
	{name: "workers report that they are leaving", inject: func(c *cell) {
		c.workers[0].SetLeaving(true)
		c.workers[1].SetLeaving(true)
	}},
	{name: "workers leave while their reports hang", maySucceedTwice: true, inject: func(c *cell) {
		time.Sleep(10 * time.Second)
		for i := range 3 {
			c.workers[i].SetFault(work.Fault{HangReports: true})
			c.workers[i].SetLeaving(true)
		}
		time.Sleep(3 * time.Second)
		c.submit(batch("more", 200, 2*time.Second))
	}},
	{name: "starts between hosts arrive late", inject: func(c *cell) {
		c.delayCalls("start", 6)
		c.submit(batch("more", 40, 500*time.Millisecond))
	}},
	{name: "starts of a dead host arrive after the takeover", inject: func(c *cell) {
		time.Sleep(10 * time.Second)
		c.delayCalls("start", 6)
		more := batch("more", 30, 20*time.Second)
		c.submit(more)
		time.Sleep(15 * time.Millisecond)
		// The filler job occupies the first workers at the takeover, so that
		// tasks are placed on others, and has ended when the late starts
		// arrive. Those workers could then run a task a second time.
		c.submit(batch("filler", 20, 6500*time.Millisecond))
		c.kill(c.jobOwner(more.Team))
	}},
	{name: "a worker is leaving according to the host list", inject: func(c *cell) {
		w := c.workers[2]
		c.history.Record(work.Change{Worker: w.ID, Kind: work.Leaves, IsLeaving: true})
		c.listWorker(w, true)
	}},
	{name: "a worker disappears from the host list", inject: func(c *cell) {
		c.platform.Remove(hoist.HostKindWorker, string(c.workers[2].ID))
	}},
	// A restarted worker has lost the ends that it had not reported.
	{name: "workers restart", maySucceedTwice: true, inject: func(c *cell) {
		for _, w := range c.workers[:3] {
			w.Restart()
			time.Sleep(4 * time.Second)
		}
	}},
	{name: "starts are refused", inject: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{RefuseStarts: 2})
		}
	}},
	{name: "the table is down for a minute and a host dies afterwards", inject: func(c *cell) {
		c.platform.SetTableFault(plat.Fault{Down: true})
		time.Sleep(time.Minute)
		c.platform.SetTableFault(plat.Fault{})
		c.kill(c.hosts[2])
	}},
}

// TestInvariantsUnderFaults guards against violated invariants, jobs that never end
// and missing replicas after a fault. It injects each fault while a service, a batch
// job and two gangs run.
func TestInvariantsUnderFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) { runWithFaults(t, 3, f) })
	}
}

// TestInvariantsUnderFaultPairs guards against the failures that
// TestInvariantsUnderFaults names when two faults occur at the same time. It needs
// four hosts, because two faults may kill three of them.
func TestInvariantsUnderFaultPairs(t *testing.T) {
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			t.Run(f.name+" and "+g.name, func(t *testing.T) { runWithFaults(t, 4, f, g) })
		}
	}
}

func runWithFaults(t *testing.T, hosts int, injected ...fault) {
	runCell(t, hosts, 9, func(c *cell) {
		specs := []hoist.JobSpec{
			service(6), batch("batch", 80, 2*time.Second), gang("gang", 6, 25*time.Second), gang("late", 10, 3*time.Second),
		}
		for _, s := range specs {
			c.submit(s)
		}
		time.Sleep(time.Second)
		recoveryTime, maySucceedTwice := time.Duration(len(injected))*time.Minute, false
		var wg sync.WaitGroup
		for _, f := range injected {
			recoveryTime += f.recoveryTime
			maySucceedTwice = maySucceedTwice || f.maySucceedTwice
			wg.Go(func() { f.inject(c) })
		}
		wg.Wait()
		time.Sleep(recoveryTime)
		c.checkInvariants(specs)
		for _, s := range specs[1:] {
			if state := c.jobState(s); maySucceedTwice && state.Phase == hoist.JobDone {
				continue
			}
			c.checkDone(s)
		}
		if n := len(c.runningTasks("svc")); n != 6 {
			t.Errorf("%d of 6 replicas of the service run", n)
		}
	})
}
