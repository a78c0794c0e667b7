package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// taking returns the outcome of tasks that take a fixed time.
func taking(d time.Duration) func(order) (time.Duration, string) {
	return func(order) (time.Duration, string) { return d, "done" }
}

// watch writes what the executors hold to the record, for some time.
func (c *cell) watch(every, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(every) {
		for _, e := range c.executors {
			e.mu.Lock()
			running, waiting := len(e.running), len(e.ends)
			e.mu.Unlock()
			c.log.printf("%s: %d tasks run, %d ends wait to be taken note of", e.id, running, waiting)
		}
	}
}

// manyEnds keeps three executors busy with short tasks while a share of the parts of the
// store is down.
func manyEnds(c *cell, hasTrouble bool) ([]string, error) {
	if err := c.start(3, 3); err != nil {
		return nil, err
	}
	const (
		clients  = 40
		duration = 12 * time.Second
	)
	go c.watch(500*time.Millisecond, duration)
	var wg sync.WaitGroup
	if hasTrouble {
		wg.Go(func() {
			time.Sleep(3 * time.Second)
			c.log.printf("store: a share of 0.3 of the parts is down")
			c.store.setDown(0.3)
			time.Sleep(4500 * time.Millisecond)
			c.store.setDown(0)
			c.log.printf("store: all parts are up")
		})
	}
	var mu sync.Mutex
	var ids []string
	for client := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(client) * 20 * time.Millisecond)
			for began, n := time.Now(), 0; time.Since(began) < duration; n++ {
				j := &job{
					ID: fmt.Sprintf("%08x%08x", client+1, n), Spec: "short", outcome: taking(250 * time.Millisecond),
					Steps: []step{{Count: 16, CPU: 125, Memory: 64, Estimate: 250}},
				}
				c.book.add(j)
				h := c.hosts[client%len(c.hosts)]
				status, out, err := c.call(h, http.MethodPost, j.ID, j)
				c.log.printf("client: POST %s at %s -> %d %s %s", j.ID, h.name, status, out, errText(err))
				if err == nil && status == http.StatusOK {
					mu.Lock()
					ids = append(ids, j.ID)
					mu.Unlock()
				}
				time.Sleep(800 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	states := make(map[string]int)
	for _, id := range ids {
		_, out, err := c.call(c.hosts[0], http.MethodGet, id, nil)
		states[out+errText(err)]++
	}
	c.log.printf("%d jobs accepted, their states %v; %d tasks, %d starts", len(ids), states, 16*len(ids), c.book.starts)
	return c.book.twice(), nil
}

// refusedWhileDraining cuts an executor off that drains.
func refusedWhileDraining(c *cell, hasTrouble bool) ([]string, error) {
	for i := range 16 {
		e, err := newExecutor(c, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("r1-%d", 1+i/8))
		if err != nil {
			return nil, err
		}
		c.executors = append(c.executors, e)
	}
	e := c.executors[0]
	p, err := newProxy(e)
	if err != nil {
		return nil, err
	}
	if err := c.startHosts(3); err != nil {
		return nil, err
	}
	j := &job{
		ID: "00000000000000d1", Spec: "batch", outcome: taking(14 * time.Second),
		Steps: []step{{Count: 160, CPU: 2500, Memory: 1024, Estimate: 14000}},
	}
	if err := c.submit(j); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	e.drain()
	time.Sleep(time.Second + time.Duration(rand.IntN(1500))*time.Millisecond)
	if hasTrouble {
		c.log.printf("%s: is cut off for 5.5 s, connections to it are refused", e.id)
		e.cutFromStore(true)
		p.cut()
		time.Sleep(5500 * time.Millisecond)
		if err := p.heal(); err != nil {
			return nil, err
		}
		e.cutFromStore(false)
		c.log.printf("%s: is reached again", e.id)
	}
	time.Sleep(8 * time.Second)
	return c.book.twice(), nil
}

// crashLoop lets the tasks of a lasting job fail for some time.
func crashLoop(c *cell, hasTrouble bool) ([]string, error) {
	if err := c.start(24, 3); err != nil {
		return nil, err
	}
	const (
		id       = "00000000000000c1"
		numTasks = 96
	)
	healthyFrom := time.Now().Add(40 * time.Second)
	lasting := &job{
		ID: id, Spec: "watch", Steps: []step{{Count: numTasks, CPU: 500, Memory: 256, Estimate: 1000, LongRunning: true}},
		outcome: func(order) (time.Duration, string) {
			if hasTrouble && time.Now().Before(healthyFrom) {
				return 700 * time.Millisecond, "failed"
			}
			return 0, ""
		},
	}
	if err := c.submit(lasting); err != nil {
		return nil, err
	}
	for range 7 {
		time.Sleep(10 * time.Second)
		c.log.printf("%d of %d tasks run, %d starts so far", c.book.numRunning(id), numTasks, c.book.starts)
	}
	state, err := c.state(id)
	if err != nil {
		return nil, err
	}
	if n := c.book.numRunning(id); n < numTasks {
		return []string{fmt.Sprintf("job %s is %s; %d of its %d tasks do not run, the last start was %.1f s ago",
			id, state, numTasks-n, numTasks, c.book.sinceLastStart().Seconds())}, nil
	}
	return nil, nil
}

// savedGang crashes an executor that runs tasks of a gang which saves its progress.
func savedGang(c *cell, hasTrouble bool) ([]string, error) {
	if err := c.start(12, 3); err != nil {
		return nil, err
	}
	const id = "00000000000000a1"
	gang := &job{
		ID: id, Spec: "gang", outcome: taking(15 * time.Second),
		Steps: []step{{Count: 252, CPU: 250, Memory: 128, Estimate: 15000, Gang: true, SavesProgress: true}},
	}
	if err := c.submit(gang); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	c.log.printf("%d tasks run", c.book.numRunning(id))
	if hasTrouble {
		c.executors[0].crash()
		time.Sleep(4500 * time.Millisecond)
		if err := c.executors[0].restart(); err != nil {
			return nil, err
		}
	}
	for range 15 {
		time.Sleep(2 * time.Second)
		c.log.printf("%d tasks run, %d starts so far", c.book.numRunning(id), c.book.starts)
	}
	return c.stuck(id)
}

// manyOccurrences kills all hosts, and starts them again after some time, while the
// occurrences of a job become due.
func manyOccurrences(c *cell, hasTrouble bool) ([]string, error) {
	if err := c.start(4, 3); err != nil {
		return nil, err
	}
	const (
		id             = "00000000000000b1"
		numSteps       = 28
		numOccurrences = 60
	)
	j := &job{
		ID: id, Spec: "chain", outcome: taking(30 * time.Millisecond),
		Repetitions: numOccurrences, StartAt: time.Now().Add(time.Second).UnixMilli(), Interval: 300,
	}
	for i := range numSteps {
		s := step{Count: 1, CPU: 250, Memory: 64, Estimate: 30}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	if err := c.submit(j); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if hasTrouble {
		for _, h := range c.hosts {
			c.signal(h, syscall.SIGKILL)
		}
		time.Sleep(9500 * time.Millisecond)
		for _, h := range c.hosts {
			if err := c.run(h); err != nil {
				return nil, err
			}
		}
	}
	for range 20 {
		time.Sleep(2 * time.Second)
		c.log.printf("%d tasks run, %d starts so far, of %d tasks", c.book.numRunning(id), c.book.starts, numOccurrences*numSteps)
	}
	return c.stuck(id)
}

// stuck returns a break if a job has not ended, nothing of it runs, and nothing of it
// has started for some time.
func (c *cell) stuck(id string) ([]string, error) {
	state, err := c.state(id)
	if err != nil {
		return nil, err
	}
	const longestWait = 14 * time.Second
	if since := c.book.sinceLastStart(); state != "completed" && c.book.numRunning(id) == 0 && since > longestWait {
		return []string{fmt.Sprintf("job %s is %s and none of its tasks runs; the last start was %.1f s ago", id, state, since.Seconds())}, nil
	}
	return nil, nil
}
