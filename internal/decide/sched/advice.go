package sched

import (
	"errors"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// ticketMargin is how long before its expiry a ticket is no longer used. It
	// leaves time to record and send the start.
	ticketMargin = 300 * time.Millisecond
	// maxAdvisedWorkers is the most workers that one call to an adviser may
	// name.
	maxAdvisedWorkers = 100
	// adviceTimeout is the time after which an unanswered request for advice is
	// sent again.
	adviceTimeout = 4 * time.Second
	// adviceRetryDelay is the delay before the next request after a failed one.
	adviceRetryDelay = 200 * time.Millisecond
	// placesPerTask is how many places a request should yield for each waiting
	// task. Other steps take some of the places before the answer arrives, and a
	// second request takes longer than a first one that names more workers.
	placesPerTask = 2.5
	// extraWorkersShare is the share of the fixed answer time that may be spent
	// on workers beyond those needed.
	extraWorkersShare = 0.2
	// longRunningExtraShare is the same for workers without room that a request for
	// long-running tasks names. Such tasks have to run again within 3 s, so two answers
	// must do, and a step asks seldom.
	longRunningExtraShare = 1.0
	// maxBusyRenewal is for how long a step renews tickets for workers without room after
	// the last of its tasks has begun to wait. It bounds the load on the adviser in a cell
	// that stays full.
	maxBusyRenewal = 10 * time.Second
	// maxRefusedWait is how long a long-running task waits for a host that is free for its
	// request before it comes first. With two answers, it starts within 3 s.
	maxRefusedWait = 500 * time.Millisecond
)

// adviceState is what the adviser has answered about the tasks of one step.
type adviceState struct {
	tickets map[hoist.WorkerID]ticket
	// isGood holds the answer for every worker that a request has named. Whether
	// a worker may run the step does not change, but its ticket expires.
	isGood map[hoist.WorkerID]bool
	// pendingSince is when the last request was sent while none has been answered since;
	// it is zero if the step waits for no answer.
	pendingSince time.Time
	// unanswered holds the requests in flight, oldest first.
	unanswered []unansweredRequest
	// wantedSince is when a request was first wanted for workers with room, whether or not
	// a host was free to send it.
	wantedSince time.Time
	// refusedSince is since when a request has been wanted for workers with room without a
	// host that was free to send it, or when the last request was sent, if that was lost.
	refusedSince time.Time
	// notBefore is the earliest time of the next request after a failed one.
	notBefore time.Time
}

type ticket struct {
	value      hoist.Ticket
	validUntil time.Time
	// requestedAt is when the request for it was sent.
	requestedAt time.Time
}

func newAdviceState() adviceState {
	return adviceState{tickets: make(map[hoist.WorkerID]ticket), isGood: make(map[hoist.WorkerID]bool)}
}

// AdviceRequest asks the adviser of a queue which workers may run a step.
type AdviceRequest struct {
	Step    hoist.StepRef
	Workers []hoist.WorkerID
	// Host is the host that sends the request.
	Host hoist.HostID
	// AnswerTime is how long the answer takes once the adviser works on it, without
	// queueing behind other requests.
	AnswerTime time.Duration
	// SentAt is when the request was sent; it identifies it among those of the step.
	SentAt time.Time
	// IsHedge tells that the answer to another request of the step is late.
	IsHedge bool
}

// RecordAdvice records the answer of an adviser. If err is not nil, there is
// no answer and the step may send its next request after a delay, or at once if the
// request was refused by a host that is about to stop.
func (sc *Scheduler) RecordAdvice(request AdviceRequest, advice hoist.Advice, err error, now time.Time) {
	j, ok := sc.jobs[request.Step.Job]
	if !ok {
		return
	}
	s, ok := j.steps[stepKey{request.Step.Occurrence, request.Step.Step}]
	if !ok {
		return
	}
	s.advice.recordOutcome(request, err == nil)
	if errors.Is(err, hoist.ErrLeaving) {
		return
	}
	if err != nil {
		s.advice.notBefore = now.Add(adviceRetryDelay)
		return
	}
	good, asked := 0, 0
	for _, id := range request.Workers {
		value, isGood := advice.Tickets[id]
		if _, isKnown := s.advice.isGood[id]; !isKnown {
			asked++
			if isGood {
				good++
			}
		}
		s.advice.isGood[id] = isGood
		// A late answer does not replace the tickets of a later request, which expire later.
		if isGood && !s.advice.tickets[id].requestedAt.After(request.SentAt) {
			s.advice.tickets[id] = ticket{value, now.Add(advice.ValidFor), request.SentAt}
		}
	}
	// The share is that of workers that no request has named, so that renewed tickets do
	// not count.
	sc.speeds.recordGoodShare(j.Plan.Queue.Name, good, asked)
}

// isAllowedOn reports whether the tasks may start on the worker now: either
// the queue has no adviser, or there is a ticket that is valid for long
// enough.
func (s *StepTasks) isAllowedOn(w *Worker, now time.Time) bool {
	if !s.Job.Plan.Queue.Advice.IsUsed() {
		return true
	}
	t, ok := s.advice.tickets[w.entry.Worker]
	return ok && now.Add(ticketMargin).Before(t.validUntil)
}

// adviceRequest composes a request about workers that could take the waiting
// tasks of a step. It reports false if there is nothing to request or no host
// is free to send the request. isPrefetch tells that the step cannot start
// yet, so that the capacity of the whole worker counts instead of what is free
// now.
func (sc *Scheduler) adviceRequest(s *StepTasks, isPrefetch bool, reserve Reserve, now time.Time) (AdviceRequest, bool) {
	// A step that waits for a near placement has the tickets for it.
	if s.advice.isPending(now) || now.Before(s.advice.notBefore) || sc.considersNearOnly(s) {
		return AdviceRequest{}, false
	}
	adviser := s.Job.Plan.Queue.Advice
	need := demand(s.Step)
	if !isPrefetch && !sc.mayFit(s, need) {
		return AdviceRequest{}, false
	}
	if !isPrefetch && s.advice.wantedSince.IsZero() {
		s.advice.wantedSince = now
	}
	if !isPrefetch && s.advice.refusedSince.IsZero() {
		s.advice.refusedSince = now
	}
	if adviser.Base+adviser.PerWorker >= sc.shortestRefused {
		return AdviceRequest{}, false
	}
	choice := sc.adviceCandidates(s, isPrefetch, now)
	chosen := choice.workers
	var busy []hoist.WorkerID
	if !isPrefetch && (len(chosen) > 0 || s.hasBegunToWait(now.Add(-maxBusyRenewal))) {
		busy = sc.busyWorkers(s, choice, now)
	}
	if len(chosen) == 0 {
		chosen, busy = busy, nil
	}
	if len(chosen) == 0 {
		s.advice.refusedSince = time.Time{}
		return AdviceRequest{}, false
	}
	if answerTime(adviser, len(chosen)) >= sc.shortestRefused {
		return AdviceRequest{}, false
	}
	named := chosen
	if !isPrefetch {
		named = append(named, sc.expectedNearWorkers(s, chosen, now)...)
	}
	named = append(named, busy...)
	host, ok := reserve(answerTime(adviser, len(named)), now)
	if !ok && len(named) > len(chosen) {
		named = chosen
		host, ok = reserve(answerTime(adviser, len(named)), now)
	}
	if !ok {
		return AdviceRequest{}, false
	}
	return s.newAdviceRequest(named, host, answerTime(adviser, len(named)), now), true
}

// overdueRequests composes the requests of steps with long-running tasks that have waited
// too long for a free host. They come before those of all other jobs: a request takes a
// host for one answer only, and the tasks are placed in the order of the jobs.
func (sc *Scheduler) overdueRequests(jobs []*Job, reserve Reserve, now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for _, j := range jobs {
		if !j.Plan.Queue.Advice.IsUsed() {
			continue
		}
		sc.Handling = j.Plan.ID
		for _, s := range j.readySteps() {
			isOverdue := !s.advice.refusedSince.IsZero() && now.Sub(s.advice.refusedSince) >= maxRefusedWait
			if !s.Step.IsLongRunning || !isOverdue || !sc.fitsQuota(s) {
				continue
			}
			if request, ok := sc.adviceRequest(s, false, reserve, now); ok {
				out = append(out, request)
			}
		}
	}
	return out
}

// cheapWorkerCount returns how many workers a request may name without adding
// much to the fixed time of its answer.
func cheapWorkerCount(adviser hoist.AdviserConfig) int {
	return workersWithin(adviser, extraWorkersShare)
}

// workersWithin returns how many workers a request may name within a share of the fixed
// time of its answer.
func workersWithin(adviser hoist.AdviserConfig, share float64) int {
	if adviser.PerWorker <= 0 {
		return maxAdvisedWorkers
	}
	return int(min(maxAdvisedWorkers, share*float64(adviser.Base)/float64(adviser.PerWorker)))
}

// places returns how many more tasks of the step a worker could take: now, or
// for a prefetch once it is empty.
func (s *StepTasks) places(w *Worker, isPrefetch bool) int {
	n := w.maxTasks(demand(s.Step), isPrefetch)
	if s.Step.MaxPerWorker > 0 {
		n = min(n, s.Step.MaxPerWorker-s.countOn(w))
	}
	return max(0, n)
}

// adviceCandidates returns the workers that a request names, best first: those known
// to be good whose ticket has expired, then those that no request has named yet.
func (sc *Scheduler) adviceCandidates(s *StepTasks, isPrefetch bool, now time.Time) adviceChoice {
	chosen := adviceChoice{
		wanted:     placesPerTask * float64(s.waiting),
		minWorkers: min(maxAdvisedWorkers, cheapWorkerCount(s.Job.Plan.Queue.Advice)),
	}
	for _, w := range sc.expiredWorkers(s, now) {
		places := min(s.waiting, s.places(w, isPrefetch))
		if places > 0 && !chosen.add(w, float64(places)) {
			return chosen
		}
	}
	if chosen.places >= float64(s.waiting) {
		return chosen
	}
	share := sc.speeds.goodShare(s.Job.Plan.Queue.Name)
	for w := range sc.ranked(s) {
		if _, isKnown := s.advice.isGood[w.entry.Worker]; isKnown {
			continue
		}
		places := min(s.waiting, s.places(w, isPrefetch))
		if places > 0 && !chosen.add(w, float64(places)*share) {
			break
		}
	}
	return chosen
}

// busyWorkers returns workers that a request for long-running tasks names in addition to
// the chosen ones, best first, unless those are expected to take all tasks. They have no
// room now, and no ticket that is valid until the answer. Without their tickets, other steps
// could take the room on each of them before the answer about it arrives.
func (sc *Scheduler) busyWorkers(s *StepTasks, chosen adviceChoice, now time.Time) []hoist.WorkerID {
	adviser := s.Job.Plan.Queue.Advice
	limit := workersWithin(adviser, longRunningExtraShare) - len(chosen.workers)
	if !s.Step.IsLongRunning || chosen.places >= chosen.wanted || limit <= 0 {
		return nil
	}
	var busy []hoist.WorkerID
	add := func(w *Worker) {
		isFull := s.Step.MaxPerWorker > 0 && s.countOn(w) >= s.Step.MaxPerWorker
		if len(busy) < limit && !isFull && w.maxTasks(demand(s.Step), true) > 0 && !slices.Contains(chosen.workers, w.entry.Worker) {
			busy = append(busy, w.entry.Worker)
		}
	}
	for _, w := range sc.expiredWorkers(s, now.Add(adviceTime(adviser))) {
		add(w)
	}
	for w := range sc.ranked(s) {
		if len(busy) == limit {
			break
		}
		if _, isKnown := s.advice.isGood[w.entry.Worker]; !isKnown {
			add(w)
		}
	}
	return busy
}

// hasBegunToWait reports whether a task of the step has begun to wait after the given time,
// or the step has begun to want advice.
func (s *StepTasks) hasBegunToWait(after time.Time) bool {
	return s.advice.wantedSince.After(after) ||
		slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Phase == Waiting && t.phaseSince.After(after) })
}

// adviceChoice collects the workers that a request names.
type adviceChoice struct {
	workers []hoist.WorkerID
	// places is how many tasks the workers are expected to take.
	places     float64
	wanted     float64
	minWorkers int
}

// add adds a worker. It reports whether another one is wanted.
func (c *adviceChoice) add(w *Worker, places float64) bool {
	c.workers = append(c.workers, w.entry.Worker)
	c.places += places
	return len(c.workers) < maxAdvisedWorkers && (c.places < c.wanted || len(c.workers) < c.minWorkers)
}

// expiredWorkers returns the usable workers that may run the step but whose ticket has
// expired at the given time, best first.
func (sc *Scheduler) expiredWorkers(s *StepTasks, at time.Time) []*Worker {
	var out []*Worker
	for id, isGood := range s.advice.isGood {
		w, ok := sc.workers[id]
		if isGood && ok && sc.isUsableNow(w) && sc.isCandidate(s, w) && !s.isAllowedOn(w, at) {
			out = append(out, w)
		}
	}
	sc.sortRanked(s, out)
	return out
}
