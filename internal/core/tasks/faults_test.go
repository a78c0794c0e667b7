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

// fault is a failure that a test brings about.
type fault struct {
	name string
	// faults is called 1 s after the jobs were submitted.
	faults func(c *cell)
	// isRerun allows a task to succeed twice: a worker that is lost may have
	// finished it without anyone hearing of it.
	isRerun bool
	settle  time.Duration
}

var faults = []fault{
	{name: "no fault", faults: func(*cell) {}},
	{name: "answers of starts at workers are lost", faults: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStarts: 3})
		}
	}},
	{name: "starts do not arrive at workers", faults: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{DropStarts: 3})
		}
	}},
	{name: "starts arrive late at workers", faults: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LateStarts: 3, LateBy: lateTime})
		}
	}},
	{name: "answers of stops and renewals are lost", faults: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{LoseStops: 2, LoseRenews: 5})
		}
	}},
	{name: "replies between hosts are lost", faults: func(c *cell) {
		for _, method := range []string{"start", "reserve", "stop", "ended", "survey", "submit"} {
			c.lose(method, 4)
		}
	}},
	{name: "answers of the table are lost", faults: func(c *cell) { c.plat.SetTableFault(plat.Fault{LoseAnswers: 20}) }},
	{name: "a host dies", faults: func(c *cell) { c.kill(c.hosts[1]) }},
	{name: "two hosts die one after the other", faults: func(c *cell) {
		c.kill(c.hosts[1])
		c.kill(c.hosts[2])
	}},
	{name: "a host dies while the table is slow", faults: func(c *cell) {
		c.plat.SetTableFault(plat.Fault{Delay: 1500 * time.Millisecond})
		c.kill(c.hosts[0])
	}},
	{name: "a lease lapses during a pause of the owner", faults: func(c *cell) { c.takeOver(c.hosts[1]) }},
	{name: "a worker cannot be reached", isRerun: true, settle: time.Minute, faults: func(c *cell) {
		c.workers[0].SetFault(work.Fault{Down: true})
	}},
	{name: "a worker cannot be reached for less than its lease", faults: func(c *cell) {
		c.workers[0].SetFault(work.Fault{Down: true})
		time.Sleep(6 * time.Second)
		c.workers[0].SetFault(work.Fault{})
	}},
	{name: "a data centre is lost", isRerun: true, settle: time.Minute, faults: func(c *cell) {
		for i, w := range c.workers {
			if i%3 == 0 {
				w.SetFault(work.Fault{Down: true})
			}
		}
		c.kill(c.hosts[0])
	}},
	{name: "a host dies and a worker is unreachable", isRerun: true, settle: time.Minute, faults: func(c *cell) {
		c.workers[1].SetFault(work.Fault{Down: true})
		c.kill(c.hosts[1])
	}},
	{name: "two hosts are cut off from each other", settle: time.Minute, faults: func(c *cell) {
		c.setCut(c.hosts[0], c.hosts[1], true)
		time.Sleep(40 * time.Second)
		c.setCut(c.hosts[0], c.hosts[1], false)
	}},
	{name: "workers leave by their own word", faults: func(c *cell) {
		c.workers[0].SetLeaving(true)
		c.workers[1].SetLeaving(true)
	}},
	{name: "a worker leaves while its reports do not come", isRerun: true, faults: func(c *cell) {
		time.Sleep(10 * time.Second)
		for i := range 3 {
			c.workers[i].SetFault(work.Fault{HangReports: true})
			c.workers[i].SetLeaving(true)
		}
		time.Sleep(3 * time.Second)
		c.submit(batch("more", 200, 2*time.Second))
	}},
	{name: "starts arrive late", faults: func(c *cell) {
		c.delay("start", 6)
		c.submit(batch("more", 40, 500*time.Millisecond))
	}},
	{name: "starts of a dead host arrive after the takeover", faults: func(c *cell) {
		time.Sleep(10 * time.Second)
		c.delay("start", 6)
		more := batch("more", 30, 20*time.Second)
		c.submit(more)
		time.Sleep(15 * time.Millisecond)
		// The first workers are full at the takeover, so that tasks are
		// placed elsewhere, and free again when the late starts arrive.
		c.submit(batch("filler", 20, 6500*time.Millisecond))
		c.kill(c.jobOwner(more.Team))
	}},
	{name: "a worker leaves by the host list", faults: func(c *cell) {
		w := c.workers[2]
		c.history.Record(work.Change{Worker: w.ID, Kind: work.Leaves, On: true})
		c.list(w, true)
	}},
	{name: "a worker disappears from the host list", faults: func(c *cell) {
		c.plat.Remove(hoist.HostKindWorker, string(c.workers[2].ID))
	}},
	{name: "starts are refused", faults: func(c *cell) {
		for _, w := range c.workers {
			w.SetFault(work.Fault{RefuseStarts: 2})
		}
	}},
	{name: "the table is down for a minute and a host dies after it", faults: func(c *cell) {
		c.plat.SetTableFault(plat.Fault{Down: true})
		time.Sleep(time.Minute)
		c.plat.SetTableFault(plat.Fault{})
		c.kill(c.hosts[2])
	}},
}

// TestFaults brings about failures while a service, a batch and two all-at-once
// jobs run, and checks that the invariants hold and that all work ends.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) { withFaults(t, 3, f) })
	}
}

// TestFaultPairs brings about two failures at once. Four hosts leave one when
// three are killed.
func TestFaultPairs(t *testing.T) {
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			t.Run(f.name+" and "+g.name, func(t *testing.T) { withFaults(t, 4, f, g) })
		}
	}
}

func withFaults(t *testing.T, hosts int, list ...fault) {
	runCell(t, hosts, 9, func(c *cell) {
		specs := []hoist.JobSpec{
			service(6), batch("batch", 80, 2*time.Second), gang("gang", 6, 25*time.Second), gang("late", 10, 3*time.Second),
		}
		for _, s := range specs {
			c.submit(s)
		}
		time.Sleep(time.Second)
		settle, isRerun := time.Duration(len(list))*time.Minute, false
		var wg sync.WaitGroup
		for _, f := range list {
			settle += f.settle
			isRerun = isRerun || f.isRerun
			wg.Go(func() { f.faults(c) })
		}
		wg.Wait()
		time.Sleep(settle)
		c.check(specs)
		for _, s := range specs[1:] {
			if state := c.state(s); isRerun && state.Phase == hoist.JobDone {
				continue
			}
			c.checkDone(s)
		}
		if n := len(c.running("svc")); n != 6 {
			t.Errorf("the service has %d of 6 replicas", n)
		}
	})
}
