package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
)

// A long-running task has to run again within maxWaitAfterRun of its last run, or within
// maxWaitAfterFault of the last disruption, whichever is later, while there is room. A release of
// the cell is no disruption.
//
// No owner can keep to this in some cases, as the attempt may still run. They have bounds of
// their own; see holdOf:
//   - The account lists the worker as open when the owner is killed or cut off: the worker was
//     lost less than about 3 s before. The earlier owner may reach the worker alone and grant
//     leases until grantTime after its last renewal. With each further owner that is killed before
//     it has recorded its first account, this counts from its last renewal.
//   - The worker has not confirmed the attempt, or this is not recorded: the start may have reached
//     another incarnation of the worker, which took the longest lease. It counts from when the
//     worker fell silent, or from the last owner that ended while the account listed the worker
//     as open, with the time for calls in flight.
//   - The worker has restarted shortly before it was lost, and may have taken the longest lease.
//   - An owner of an earlier build has kept no account: the longest lease counts from the claim.
const (
	maxWaitAfterRun   = 9 * time.Second
	maxWaitAfterFault = 7 * time.Second
	// restartTime is how long it takes an owner to start a task again that may run no more, in
	// steps of workInterval.
	restartTime = time.Second
)

// hold is how long an owner has to wait for the attempts on a worker that earlier owners may
// have extended: confirmed ones, those in doubt, and all of them if an account told nothing.
type hold struct {
	confirmedUntil, doubtfulUntil, unknownUntil time.Time
}

// mayBeOpen reports whether the account may list a worker as open as an owner ends.
func (fx *fixture) mayBeOpen(f *fakeWorker, o *fakeOwner) bool {
	return fx.account.entry(f.entry.Worker).isOpen && (o == nil || o.links[f].lostFor <= closeIntervals)
}

// recordHolds records the holds that begin with a claim.
func (fx *fixture) recordHolds(earlier *fakeOwner, isEarlierBuild bool, grantsEnd, longestEnd time.Time) {
	for _, f := range fx.workers {
		h := fx.holds[f]
		if fx.mayBeOpen(f, earlier) {
			h.confirmedUntil, h.doubtfulUntil = laterOf(h.confirmedUntil, grantsEnd), laterOf(h.doubtfulUntil, grantsEnd, longestEnd)
		}
		if isEarlierBuild || fx.account.isPartial {
			h.unknownUntil = laterOf(h.unknownUntil, grantsEnd, longestEnd)
		}
		fx.holds[f] = h
	}
}

// recordReleaseHolds records the holds that begin with a release: polls in flight may still reach
// another incarnation of the workers that are open.
func (fx *fixture) recordReleaseHolds() {
	for _, f := range fx.workers {
		h := fx.holds[f]
		if fx.mayBeOpen(f, fx.owner()) {
			h.doubtfulUntil = laterOf(h.doubtfulUntil, expiry(fx.now.Add(earlierCallTime), hoist.MaxLease))
		}
		fx.holds[f] = h
	}
}

// The reasons why a task waits.
const (
	waitPlain   = "none of these"
	waitOpen    = "the worker was open as its owner ended"
	waitDoubt   = "the attempt is in doubt"
	waitRestart = "the worker had restarted"
	waitUnknown = "an owner of an earlier build kept no account"
)

// waits holds the longest times without a run after the last run or the last disruption, by
// reason.
type waits map[string]time.Duration

func (w waits) log(t *testing.T) {
	for _, reason := range slices.Sorted(maps.Keys(w)) {
		t.Logf("longest time without a run, %s: %v", reason, w[reason])
	}
}

// calm is a time without faults. It checks that long-running tasks run again.
type calm struct {
	*fixture
	begin time.Time
	// lastRuns holds when each task was last seen to run, and roomSince is since when a worker
	// has room; it is zero while none has.
	lastRuns  map[hoist.TaskRef]time.Time
	roomSince time.Time
	// lastPlaced holds the last attempts according to the store.
	lastPlaced map[hoist.TaskRef]hoist.PlacedRun
	longest    waits
}

// drawCalm ends all faults by a takeover. Some time before, or within the time that follows, a
// worker with a long-running task is lost for good if there is one. The cell may be released some
// times.
func (fx *fixture) drawCalm(longest waits) {
	if rapid.Bool().Draw(fx.draws, "lost before") {
		fx.lose(fx.lastingHolder())
		fx.work(rapid.IntRange(0, 20).Draw(fx.draws, "intervals"), true)
	}
	switch rapid.IntRange(0, 2).Draw(fx.draws, "last takeover") {
	case 0:
		fx.takeOver(false)
	case 1:
		fx.owner().kill(fx)
		fx.takeOver(false)
	default:
		fx.handOver(true)
	}
	c := fx.beginCalm(longest)
	lossAt := fx.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(fx.draws, "loss")) * time.Millisecond)
	for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 4).Draw(fx.draws, "releases") {
		c.workFor(time.Duration(ms)*time.Millisecond, lossAt)
		fx.handOver(true)
	}
	c.workFor(25*time.Second, lossAt)
}

// beginCalm ends all faults, and cancels the plans without long-running tasks, which would take
// the room of others.
func (fx *fixture) beginCalm(longest waits) *calm {
	for _, o := range fx.owners {
		for _, l := range o.links {
			l.fault = 0
		}
	}
	inFlight := fx.requests
	fx.requests = nil
	for _, req := range inFlight {
		if !req.isGivenUp && !req.owner.hasEnded {
			fx.deliver(req, true)
		}
	}
	for len(fx.reports) > 0 {
		fx.deliverReport(0)
	}
	fx.deliverAnswers()
	for _, f := range fx.workers {
		fx.setListed(f, true, false)
	}
	for _, id := range slices.Sorted(maps.Keys(fx.store)) {
		if !fx.store[id].plan.Steps[0].IsLongRunning {
			fx.cancelPlan(id)
		}
	}
	return &calm{
		fixture: fx, begin: fx.now, lastRuns: make(map[hoist.TaskRef]time.Time), lastPlaced: make(map[hoist.TaskRef]hoist.PlacedRun),
		longest: longest,
	}
}

// deliverAnswers delivers all answers to starts and stops that are on their way.
func (fx *fixture) deliverAnswers() {
	answers := fx.answers
	fx.answers = nil
	for _, a := range answers {
		a.request.owner.answer(fx, a)
	}
}

// workFor lets the owner work, loses a worker at a time, and checks the long-running tasks.
func (c *calm) workFor(d time.Duration, lossAt time.Time) {
	for end := c.now.Add(d); c.now.Before(end); {
		if !c.now.Before(lossAt) {
			c.lose(c.lastingHolder())
		}
		c.work(1, true)
		c.deliverAnswers()
		c.check()
	}
}

// check fails the test if a long-running task has no run for too long.
func (c *calm) check() {
	c.t.Helper()
	hasRoom := slices.ContainsFunc(c.workers, func(f *fakeWorker) bool {
		return !f.isLost() && f.used(c.fixture)+int64(need.CPU) <= int64(f.entry.Capacity.CPU)
	})
	switch {
	case !hasRoom:
		c.roomSince = time.Time{}
	case c.roomSince.IsZero():
		c.roomSince = c.now
	}
	for _, id := range slices.Sorted(maps.Keys(c.store)) {
		s := c.store[id]
		if !s.plan.Steps[0].IsLongRunning || s.plan.Team != "" || s.isCancelled || s.state.Phase.IsFinal() {
			continue
		}
		for i := range s.plan.Steps[0].Count {
			c.checkTask(hoist.TaskRef{StepRef: hoist.StepRef{Job: id}, Index: i})
		}
	}
}

func (c *calm) checkTask(task hoist.TaskRef) {
	c.t.Helper()
	if placed, ok := c.placedRun(task); ok {
		c.lastPlaced[task] = placed
	}
	if slices.ContainsFunc(c.workers, func(f *fakeWorker) bool { return f.running[task] > 0 }) {
		c.lastRuns[task] = c.now
		return
	}
	due := c.begin.Add(maxWaitAfterFault)
	if last, ok := c.lastRuns[task]; ok {
		due = laterOf(due, last.Add(maxWaitAfterRun))
	}
	if c.roomSince.IsZero() || c.now.Sub(c.roomSince) < 3*time.Second {
		return
	}
	since := laterOf(c.begin, c.lastRuns[task])
	reason, until := c.holdOf(task)
	if !until.Add(restartTime).After(due) {
		reason = waitPlain
	} else {
		// A release shortly after it begins the start anew.
		due = laterOf(until, c.owner().claimedAt).Add(restartTime)
	}
	c.longest[reason] = max(c.longest[reason], c.now.Sub(since))
	if c.now.After(due) {
		c.t.Fatalf("task %v has no run for %v although there is room, and %v after the last fault (%s)",
			task, c.now.Sub(since), c.now.Sub(c.begin), reason)
	}
}

// holdOf returns until when the last attempt at a task may run according to what can be known, and
// why. The time is zero if nothing but the last lease counts.
func (c *calm) holdOf(task hoist.TaskRef) (reason string, until time.Time) {
	placed, ok := c.lastPlaced[task]
	if !ok || !c.worker(placed.Worker).isLost() {
		return waitPlain, time.Time{}
	}
	f := c.worker(placed.Worker)
	h := c.holds[f]
	consider := func(why string, at time.Time) {
		if at.After(until) {
			reason, until = why, at
		}
	}
	consider(waitOpen, h.confirmedUntil)
	consider(waitUnknown, h.unknownUntil)
	consider(waitRestart, expiry(f.newSeenAt, hoist.MaxLease+longestCall))
	if !placed.IsConfirmed {
		silent := laterOf(c.begin, f.lostAt).Add(earlierCallTime)
		consider(waitDoubt, laterOf(h.doubtfulUntil, expiry(silent, hoist.MaxLease)))
	}
	return reason, until
}

// placedRun returns the attempt at a task of a first step according to the store.
func (fx *fixture) placedRun(task hoist.TaskRef) (hoist.PlacedRun, bool) {
	for _, s := range fx.store[task.Job].state.Steps {
		for _, p := range s.Placed {
			if s.Step == task.Step && p.Index == task.Index {
				return p, true
			}
		}
	}
	return hoist.PlacedRun{}, false
}

// addLasting accepts a plan with one long-running task.
func (fx *fixture) addLasting() hoist.JobID {
	fx.plans++
	id := hoist.JobID(fmt.Sprintf("p%d", fx.plans))
	p := hoist.Plan{ID: id, Queue: queue, Steps: []hoist.Step{step(1, longRunning)}, Accepted: fx.now}
	fx.store[id] = storedPlan{plan: p, state: hoist.PlanState{Queue: queue.Name, Phase: hoist.PlanQueued}}
	fx.owner().scheduler.Add(p, 1, fx.now)
	return id
}

// submitLasting accepts a plan with one long-running task and lets the owner work until it runs.
func (fx *fixture) submitLasting() hoist.TaskRef {
	fx.t.Helper()
	task := hoist.TaskRef{StepRef: hoist.StepRef{Job: fx.addLasting()}}
	fx.work(5, true)
	if fx.holder(task) == nil {
		fx.t.Fatalf("task %v does not run", task)
	}
	return task
}

// lastingHolder returns a worker that runs a long-running task, or any worker if there is none.
func (fx *fixture) lastingHolder() *fakeWorker {
	for _, f := range fx.workers {
		for _, task := range f.tasks() {
			if fx.store[task.Job].plan.Steps[task.Step].IsLongRunning {
				return f
			}
		}
	}
	return fx.workers[0]
}

// holder returns the worker that runs a task, or nil.
func (fx *fixture) holder(task hoist.TaskRef) *fakeWorker {
	for _, f := range fx.workers {
		if f.running[task] > 0 {
			return f
		}
	}
	return nil
}
