package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

func onRack(rack hoist.RackID) func(*hoist.Step) {
	return func(s *hoist.Step) { s.PreferredRack = rack }
}

func oneRackGang(s *hoist.Step) { s.IsGang, s.PrefersSameRack = true, true }

func taking(d time.Duration) func(*hoist.Step) {
	return func(s *hoist.Step) { s.Estimate = d }
}

var (
	// patient is a queue with time for a wait, and exact one with just enough for a remote
	// run of a second.
	patient = hoist.Queue{Name: "checks", Service: "lids", MaxAttempts: 2, Stretch: 2, Latency: 3 * time.Second}
	exact   = hoist.Queue{Name: "checks", Service: "lids", MaxAttempts: 2, Stretch: 2, Latency: 50 * time.Millisecond}
	// other is a queue of work that only fills the workers.
	other = hoist.Queue{Name: "other", Service: "lids", MaxAttempts: 2, Stretch: 100, Latency: time.Hour}
)

// unevenRacks names the preferred racks of a load of which half wants one rack.
var unevenRacks = []hoist.RackID{"r0", "r0", "r0", "r0", "r1", "r1", "r2", "r3"}

// TestNearWaitGain guards against waits for near placements that cost time, and against
// remote placements where a wait would save time. Each case replays a load with waits and
// with taking the remote place at once.
func TestNearWaitGain(t *testing.T) {
	for _, tc := range nearLoads {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			atOnce, waiting := simulate(t, tc.racks, 0, nil, tc.load), simulate(t, tc.racks, sched.DefaultMaxNearWait, nil, tc.load)
			before, after := atOnce.result(), waiting.result()
			t.Logf("at once: %v", before)
			t.Logf("waiting: %v, %+v, longest idle %v", after, waiting.waits, waiting.longestIdle)
			is.True(before.mean-after.mean >= tc.saving)                           // the mean is shorter
			is.True(after.inTime-before.inTime >= tc.gain)                         // plans end in time
			is.Equal(waiting.waits.Begun > 0, tc.hasWaits)                         // steps wait only where it pays
			is.True(waiting.longestIdle < 2*time.Second)                           // no plan idles beside free room
			is.Equal(atOnce.waits, sched.NearWaits{})                              // a limit of 0 allows no wait
			is.Equal(waiting.waits.Begun, waiting.waits.Near+waiting.waits.Remote) // each wait ends
		})
	}
}

// nearLoads are loads with preferences, and what waits for near placements must change.
var nearLoads = []struct {
	name  string
	racks int
	load  func(*simulation)
	// saving is how much shorter the mean time to completion has to be with waits, and
	// gain is how many more plans of the queue "checks" have to end in time.
	saving time.Duration
	gain   int
	// hasWaits tells that steps wait.
	hasWaits bool
}{
	// The objective of 2.5 s is the longest that a remote run takes, so that each wait
	// that ends remote is late.
	{"40 jobs of 10 tasks want one rack and have little time", 4, func(s *simulation) {
		for i := range 40 {
			s.arrive(time.Duration(i)*50*time.Millisecond, fmt.Sprintf("p%02d", i), queue, step(10, onRack("r0")))
		}
	}, 100 * time.Millisecond, -1, true},
	{"40 jobs of 10 tasks want one rack and have time", 4, func(s *simulation) {
		for i := range 40 {
			s.arrive(time.Duration(i)*50*time.Millisecond, fmt.Sprintf("p%02d", i), patient, step(10, onRack("r0")))
		}
	}, 150 * time.Millisecond, 0, true},
	{"40 jobs of 10 tasks want one rack at the same moment", 4, func(s *simulation) {
		for i := range 40 {
			s.arrive(0, fmt.Sprintf("p%02d", i), queue, step(10, onRack("r0")))
		}
	}, 0, 0, false},
	{"jobs want racks unevenly while other work fills the cell", 4, func(s *simulation) {
		for i := range 300 {
			at := time.Duration(i) * 60 * time.Millisecond
			s.arrive(at, fmt.Sprintf("p%03d", i), queue, step(10, onRack(unevenRacks[i%8])))
			s.arrive(at, fmt.Sprintf("q%03d", i), queue, step(10))
		}
	}, time.Second, 300, true},
	{"a rack is full of long tasks", 2, func(s *simulation) {
		s.arrive(0, "long", other, step(96, onRack("r0"), taking(30*time.Second)))
		for i := range 8 {
			s.arrive(time.Duration(i+1)*100*time.Millisecond, fmt.Sprintf("p%02d", i), patient, step(10, onRack("r0")))
		}
	}, 0, 0, false},
	{"a rack frees soon", 2, func(s *simulation) {
		s.arrive(0, "short", other, step(96, onRack("r0")))
		for i := range 8 {
			s.arrive(700*time.Millisecond, fmt.Sprintf("p%02d", i), queue, step(10, onRack("r0")))
		}
	}, 500 * time.Millisecond, 0, true},
	{"a rack frees soon, and the jobs have no slack", 2, func(s *simulation) {
		s.arrive(0, "short", other, step(96, onRack("r0")))
		for i := range 8 {
			s.arrive(700*time.Millisecond, fmt.Sprintf("p%02d", i), exact, step(10, onRack("r0")))
		}
	}, 0, 0, false},
	{"two gangs want one rack each, and both racks free soon", 2, func(s *simulation) {
		s.arrive(0, "short0", other, step(60, onRack("r0")))
		s.arrive(0, "short1", other, step(60, onRack("r1"), taking(2*time.Second)))
		for i := range 2 {
			s.arrive(700*time.Millisecond, fmt.Sprintf("p%02d", i), queue, step(48, oneRackGang, taking(2*time.Second)))
		}
	}, 500 * time.Millisecond, 1, true},
	{"gangs on one rack beside single tasks", 4, func(s *simulation) {
		for i := range 100 {
			at := time.Duration(i) * 200 * time.Millisecond
			s.arrive(at, fmt.Sprintf("p%03d", i), patient, step(40, oneRackGang))
			s.arrive(at, fmt.Sprintf("q%03d", i), patient, step(20))
		}
	}, 300 * time.Millisecond, 0, true},
	{"jobs want racks unevenly in a cell that is partly full", 4, func(s *simulation) {
		for i := range 100 {
			at := time.Duration(i) * 180 * time.Millisecond
			s.arrive(at, fmt.Sprintf("p%03d", i), queue, step(20, onRack(unevenRacks[i%8])))
			s.arrive(at, fmt.Sprintf("q%03d", i), queue, step(20))
		}
	}, 50 * time.Millisecond, 0, true},
	{"gangs on one rack, some of them on a given one, beside others", 4, func(s *simulation) {
		for i := range 60 {
			at := time.Duration(i) * 300 * time.Millisecond
			s.arrive(at, fmt.Sprintf("p%03d", i), patient, step(12, oneRackGang, taking(2*time.Second)))
			s.arrive(at, fmt.Sprintf("q%03d", i), patient, step(12, taking(2*time.Second)))
			s.arrive(at, fmt.Sprintf("r%03d", i), patient, step(12, oneRackGang, onRack(unevenRacks[i%8]), taking(2*time.Second)))
		}
	}, 20 * time.Millisecond, 0, true},
}

// advisers are the simulated advisers: one that answers fast and allows most workers, and
// a slow one that allows few.
var advisers = []struct {
	name            string
	base, perWorker time.Duration
	allowed         float64
}{
	{"fast adviser", 33 * time.Millisecond, 500 * time.Microsecond, 0.7},
	{"slow adviser", 500 * time.Millisecond, 7 * time.Millisecond, 0.35},
}

// advisedSavings is how much shorter the mean time to completion of nearLoads has to be
// with each of the advisers. Without an entry, it must not be longer by more than 3%.
var advisedSavings = map[string][2]time.Duration{
	"40 jobs of 10 tasks want one rack and have little time":   {50 * time.Millisecond},
	"40 jobs of 10 tasks want one rack and have time":          {100 * time.Millisecond},
	"jobs want racks unevenly while other work fills the cell": {time.Second},
	"a rack frees soon": {250 * time.Millisecond, 200 * time.Millisecond},
	"jobs want racks unevenly in a cell that is partly full":        {80 * time.Millisecond, 80 * time.Millisecond},
	"gangs on one rack, some of them on a given one, beside others": {100 * time.Millisecond, 300 * time.Millisecond},
}

// saturating names the loads that keep the slow adviser busy for minutes. Hardly any step
// waits in them, as the time that goes by until the answer counts as waiting.
var saturating = map[string]bool{
	"jobs want racks unevenly while other work fills the cell": true,
	"gangs on one rack beside single tasks":                    true,
}

// TestAdvisedNearWaitGain guards against waits of steps with an adviser that cost time,
// noticeably more calls to the adviser, or idle time beyond the limit.
func TestAdvisedNearWaitGain(t *testing.T) {
	for i, a := range advisers {
		for _, tc := range nearLoads {
			if a.name == "slow adviser" && saturating[tc.name] {
				continue
			}
			t.Run(a.name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				atOnce := simulate(t, tc.racks, 0, newSimAdviser(a.base, a.perWorker, a.allowed), tc.load)
				waiting := simulate(t, tc.racks, sched.DefaultMaxNearWait, newSimAdviser(a.base, a.perWorker, a.allowed), tc.load)
				before, after := atOnce.result(), waiting.result()
				t.Logf("at once: %v, %d calls, %d workers, longest idle %v", before, len(atOnce.requested), atOnce.named(), atOnce.longestIdle)
				t.Logf("waiting: %v, %d calls, %d workers, longest idle %v, %+v", after, len(waiting.requested), waiting.named(), waiting.longestIdle, waiting.waits)
				saving, ok := advisedSavings[tc.name]
				if !ok {
					saving[i] = -before.mean * 3 / 100
				}
				is.True(before.mean-after.mean >= saving[i])                                  // the mean is shorter
				is.True(after.inTime >= before.inTime)                                        // plans end in time
				is.True(20*len(waiting.requested) <= 21*len(atOnce.requested))                // no noticeably larger number of calls
				is.True(waiting.longestIdle < max(3*time.Second, atOnce.longestIdle+simTick)) // no plan idles beside free room for longer
				is.Equal(atOnce.waits, sched.NearWaits{})                                     // a limit of 0 allows no wait
				is.Equal(waiting.waits.Begun, waiting.waits.Near+waiting.waits.Remote)        // each wait ends
			})
		}
	}
}

func simulate(t *testing.T, racks int, maxWait time.Duration, adviser *simAdviser, load func(*simulation)) *simulation {
	s := newSimulation(t, racks, maxWait, adviser)
	load(s)
	s.runUntilEnd()
	return s
}

// TestPlacementWithoutPreference guards against another placement of jobs that prefer no
// rack, and other requests for advice, in a cell that is full at times.
func TestPlacementWithoutPreference(t *testing.T) {
	load := func(s *simulation) {
		for i := range 60 {
			at := time.Duration(i) * 30 * time.Millisecond
			s.arrive(at, fmt.Sprintf("s%02d", i), queue, step(10))
			s.arrive(at, fmt.Sprintf("g%02d", i), queue, step(5, gang), step(2, after))
			s.arrive(at, fmt.Sprintf("m%02d", i), patient, step(4, func(s *hoist.Step) { s.MaxPerWorker = 1 }))
		}
	}
	check := func(t *testing.T, atOnce, waiting *simulation) {
		is := is.New(t)
		is.Equal(atOnce.started, waiting.started)
		is.Equal(atOnce.requested, waiting.requested)
		is.Equal(waiting.waits, sched.NearWaits{})
	}
	t.Run("no adviser", func(t *testing.T) {
		check(t, simulate(t, 2, 0, nil, load), simulate(t, 2, sched.DefaultMaxNearWait, nil, load))
	})
	for _, a := range advisers {
		t.Run(a.name, func(t *testing.T) {
			atOnce := simulate(t, 2, 0, newSimAdviser(a.base, a.perWorker, a.allowed), load)
			waiting := simulate(t, 2, sched.DefaultMaxNearWait, newSimAdviser(a.base, a.perWorker, a.allowed), load)
			check(t, atOnce, waiting)
		})
	}
}

// waitingCell returns a cell of two racks. The step "p" waits for rack r0, which is full
// of tasks that end after the given time.
func waitingCell(t *testing.T, runTime, at time.Duration) *cell {
	c := newCell(t, "w1", "w2", "w3", "w4")
	c.submit("short", other, step(16, onRack("r0"), taking(runTime)))
	c.wantStarts(c.run(), 16)
	c.advance(at)
	c.submit("p", patient, step(2, onRack("r0")))
	c.wantStarts(c.run(), 0)
	return c
}

// advance lets time pass in which the workers are polled.
func (c *cell) advance(d time.Duration) {
	for _, e := range c.entries {
		c.scheduler.GrantLease(e.Worker, 6*time.Second, c.now)
	}
	c.now = c.now.Add(d)
}

// TestNearWaitLimit guards against a step that waits for ever, or again, beside free room.
func TestNearWaitLimit(t *testing.T) {
	c := waitingCell(t, time.Second, 800*time.Millisecond)
	c.advance(400 * time.Millisecond)
	c.wantStarts(c.run(), 0)
	c.advance(200 * time.Millisecond)
	starts := c.run()
	c.wantStarts(starts, 2)
	counts := c.scheduler.TakeNearWaits()
	c.is.Equal(counts, sched.NearWaits{Begun: 1, Remote: 1})
	for i, st := range starts {
		c.reportEnd(hoist.EndNo(i+1), st, hoist.EndFailed, starts[i+1:]...)
	}
	c.advance(100 * time.Millisecond)
	c.wantStarts(c.run(), 2)
}

// TestNearWaitBlocksNoOther guards against free room that is kept from other jobs while a
// step waits, and against such a step missing the room that becomes free near.
func TestNearWaitBlocksNoOther(t *testing.T) {
	c := waitingCell(t, time.Second, 800*time.Millisecond)
	c.submit("q", queue, step(4))
	c.wantStarts(c.run(), 4)
	c.submit("r", queue, step(12, func(s *hoist.Step) { s.Need = need }))
	c.wantStarts(c.run(), 12)
	c.is.Equal(c.scheduler.TakeNearWaits(), sched.NearWaits{Begun: 1})
}

// TestNearWaitOfEarlierOwner guards against a step that waits once more under the next
// owner, and so stays idle for longer than is allowed.
func TestNearWaitOfEarlierOwner(t *testing.T) {
	c := newCell(t, "w1", "w2", "w3", "w4")
	c.submit("short", other, step(16, onRack("r0")))
	c.wantStarts(c.run(), 16)
	c.advance(800 * time.Millisecond)
	p := hoist.Plan{ID: "p", Queue: patient, Steps: []hoist.Step{step(2, onRack("r0")), step(2, onRack("r0"), after)}, Accepted: c.now}
	c.scheduler.Restore(p, hoist.PlanState{Queue: patient.Name, Phase: hoist.PlanQueued}, 1, c.now)
	starts := c.run()
	c.wantStarts(starts, 2)
	c.is.Equal(c.scheduler.TakeNearWaits(), sched.NearWaits{})
}

// TestAdvisedNearWait guards against a step with an adviser that does not ask for near
// workers before they have room, waits for workers without a ticket that will be valid, or
// repeats requests while it waits.
func TestAdvisedNearWait(t *testing.T) {
	cases := []struct {
		name     string
		allowed  []hoist.WorkerID
		validFor time.Duration
		waits    bool
	}{
		{"near workers are allowed", []hoist.WorkerID{"w1", "w2", "w3", "w4"}, 2500 * time.Millisecond, true},
		{"no near worker is allowed", []hoist.WorkerID{"w3", "w4"}, 2500 * time.Millisecond, false},
		{"the near tickets expire too early", []hoist.WorkerID{"w1", "w2", "w3", "w4"}, 306 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t, "w1", "w2", "w3", "w4")
			c.submit("short", other, step(16, onRack("r0")))
			c.wantStarts(c.run(), 16)
			c.advance(800 * time.Millisecond)
			c.submit("p", withAdvice(patient), step(2, onRack("r0")))
			c.wantStarts(c.run(), 0)
			c.is.Equal(len(c.requests), 1)
			request := c.requests[0]
			c.is.True(slices.Contains(request.Workers, "w1") && slices.Contains(request.Workers, "w3")) // near and remote
			c.advance(request.AnswerTime)
			advice := hoist.Advice{Tickets: make(map[hoist.WorkerID]hoist.Ticket), ValidFor: tc.validFor}
			for _, w := range tc.allowed {
				advice.Tickets[w] = "t"
			}
			c.scheduler.RecordAdvice(request, advice, nil, c.now)
			if !tc.waits {
				c.wantStarts(c.run(), 2)
				c.is.Equal(c.scheduler.TakeNearWaits(), sched.NearWaits{})
				return
			}
			for range 5 {
				c.wantStarts(c.run(), 0)
				c.is.Equal(len(c.requests), 0) // the step has the tickets that it waits with
			}
			c.advance(600 * time.Millisecond)
			c.wantStarts(c.run(), 2)
			c.is.Equal(c.scheduler.TakeNearWaits(), sched.NearWaits{Begun: 1, Remote: 1})
		})
	}
}

// TestNearChoice guards against waits that cost a deadline which the remote placement
// meets, that are longer than allowed, or that are not expected to pay.
func TestNearChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(limit int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		c := sched.NearChoice{
			Now: start, Near: millis(5000, "near"), Remote: millis(10_000, "remote"), Wait: millis(5000, "wait"), Rest: millis(3000, "rest"),
			MaxWait: sched.DefaultMaxNearWait, Since: start.Add(-millis(2000, "waited")),
		}
		if rapid.Bool().Draw(t, "advised") {
			c.Latest = start.Add(millis(2000, "latest"))
		}
		due := start.Add(millis(15_000, "slack") - 2*time.Second)
		c.Deadlines = [2]time.Time{due, due.Add(millis(10_000, "more"))}
		until, ok := c.WaitUntil()
		if !ok {
			return
		}
		is := is.NewRelaxed(t)
		is.True(c.Wait+c.Near < c.Remote)                               // the wait pays
		is.True(until.After(c.Now) && !until.Before(c.Now.Add(c.Wait))) // the near place comes before its end
		is.True(until.Sub(c.Since) <= c.MaxWait)                        // it is bounded
		is.True(c.Latest.IsZero() || !until.After(c.Latest))            // the tickets are still valid
		for _, d := range c.Deadlines {
			if !c.Now.Add(c.Remote + c.Rest).After(d) {
				is.True(!until.Add(c.Remote + c.Rest).After(d)) // the remote placement still meets the deadline
				break
			}
			if !c.Now.Add(c.Wait + c.Near + c.Rest).After(d) {
				break
			}
		}
	})
}
