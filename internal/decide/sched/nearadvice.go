package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// typicalWorkers is how many workers a request for advice is assumed to name.
const typicalWorkers = 20

// ticketChance is what is expected of the ticket of a step for a worker.
type ticketChance struct {
	// share is the probability that the step has a ticket, until it expires.
	share        float64
	expiresAfter time.Duration
}

// expectedTickets is what is expected of the tickets of a step for near workers: those
// that it holds, or those that it would hold after another request. The zero value allows
// all workers.
type expectedTickets struct {
	step *StepTasks
	now  time.Time
	// unknownShare is the share of the workers that are allowed among those that no
	// request has named.
	unknownShare float64
	// renewedUntil is when the tickets of another request expire. It is zero if there is
	// none.
	renewedUntil time.Time
}

// heldTickets returns what is expected without another request.
func (sc *Scheduler) heldTickets(s *StepTasks, now time.Time) expectedTickets {
	return expectedTickets{step: s, now: now}
}

// chance returns what is expected of the ticket for a worker.
func (e expectedTickets) chance(w *Worker) ticketChance {
	s := e.step
	if s == nil || !s.Job.Plan.Queue.Advice.IsUsed() {
		return ticketChance{1, maxDuration}
	}
	if s.isAllowedOn(w, e.now) {
		return ticketChance{1, s.advice.tickets[w.entry.Worker].validUntil.Add(-ticketMargin).Sub(e.now)}
	}
	isGood, isKnown := s.advice.isGood[w.entry.Worker]
	share := e.unknownShare
	if isKnown {
		share = 0
		if isGood {
			share = 1
		}
	}
	if e.renewedUntil.IsZero() || share == 0 {
		return ticketChance{}
	}
	return ticketChance{share, e.renewedUntil.Add(-ticketMargin).Sub(e.now)}
}

// latestNearWait returns the latest end of a wait of a step with an adviser, and zero for
// other steps: the tickets for the remote workers must still be valid then. The limit on
// the wait counts from when room was first seen for the step, as it has stayed idle for the
// answer as well.
func (sc *Scheduler) latestNearWait(s *StepTasks, now time.Time, remote []*Worker) time.Time {
	if !s.Job.Plan.Queue.Advice.IsUsed() {
		return time.Time{}
	}
	latest := now.Add(sc.MaxNearWait)
	if !s.advice.wantedSince.IsZero() {
		latest = s.advice.wantedSince.Add(sc.MaxNearWait)
	}
	for _, w := range remote {
		latest = earlier(latest, s.advice.tickets[w.entry.Worker].validUntil.Add(-ticketMargin))
	}
	return latest
}

// adviceTime is how long the answer to a typical request takes.
func adviceTime(adviser hoist.AdviserConfig) time.Duration {
	return answerTime(adviser, typicalWorkers)
}

// answerTime is how long the answer to a request about a number of workers takes.
func answerTime(adviser hoist.AdviserConfig, workers int) time.Duration {
	return adviser.Base + time.Duration(workers)*adviser.PerWorker
}

// expectedNearWorkers returns near workers that a request names in addition
// to the chosen ones, so that the step has tickets once they have room. There are none
// unless a wait for them is expected to pay once the answer is there.
func (sc *Scheduler) expectedNearWorkers(s *StepTasks, chosen []hoist.WorkerID, now time.Time) []hoist.WorkerID {
	if !s.hasNear() || !sc.mayWaitNear(s) {
		return nil
	}
	adviser := s.Job.Plan.Queue.Advice
	limit := min(cheapWorkerCount(adviser), maxAdvisedWorkers-len(chosen))
	answeredAt := now.Add(adviser.Base + time.Duration(len(chosen)+limit)*adviser.PerWorker)
	tickets := expectedTickets{
		step: s, now: now, unknownShare: sc.speeds.goodShare(s.Job.Plan.Queue.Name), renewedUntil: answeredAt.Add(adviser.ValidFor),
	}
	var best []hoist.WorkerID
	shortest := maxDuration
	for _, rack := range sc.nearRacks(s) {
		workers, wait, ok := sc.nearWorkersWithin(s, rackKey{s.Job.Plan.Queue.Service, rack}, tickets, answeredAt, limit, chosen)
		if ok && wait < shortest {
			best, shortest = workers, wait
		}
	}
	return best
}

// nearWorkersWithin returns the workers of a rack that are not chosen yet and are expected
// to have room for tasks of a step while it may wait, and how long after now all waiting
// tasks are expected to have a place there. It reports false if the wait would not pay.
func (sc *Scheduler) nearWorkersWithin(s *StepTasks, key rackKey, tickets expectedTickets, answeredAt time.Time, limit int, chosen []hoist.WorkerID) ([]hoist.WorkerID, time.Duration, bool) {
	f := sc.forecast(key, tickets.now)
	near := sc.runTime(s, f.slowness)
	c := sc.choice(s, near, time.Duration(float64(near)*sc.RemoteFactor), nil, answeredAt)
	answerTime := answeredAt.Sub(tickets.now)
	latest := min(answerTime+(c.Remote-c.Near)/maxWaitDivisor, c.Latest.Sub(tickets.now))
	wanted := placesPerTask * float64(s.waiting)
	var named []hoist.WorkerID
	wait := maxDuration
	for g := range f.growth(sc, s, tickets, sc.claimedPlaces(key, s)) {
		if g.after > latest || len(named) == limit {
			break
		}
		id := g.worker.entry.Worker
		if !s.isAllowedOn(g.worker, tickets.now) && !slices.Contains(chosen, id) && !slices.Contains(named, id) {
			named = append(named, id)
		}
		if wait == maxDuration && g.places >= float64(s.waiting) {
			wait = g.after
		}
		if g.places >= wanted {
			break
		}
	}
	if wait == maxDuration {
		return nil, 0, false
	}
	if c.Wait = max(0, wait-answerTime); c.Wait > 0 {
		if _, ok := c.WaitUntil(); !ok {
			return nil, 0, false
		}
	}
	return named, wait, true
}
