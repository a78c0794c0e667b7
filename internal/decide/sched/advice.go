package sched

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// ticketMargin is how long before its end a ticket is no longer used, for
	// the recording and sending of the start.
	ticketMargin = 300 * time.Millisecond
	// maxAsked is the most workers that one call to an adviser may name.
	maxAsked = 100
	// askPatience is when an adviser that has not answered is asked again.
	askPatience = 4 * time.Second
	// askPause is the wait after a question without an answer.
	askPause = 200 * time.Millisecond
	// spareFactor is how many places a question is to yield for each waiting
	// task. Other steps take some of them before the answer is there, and a
	// second question takes longer than more workers in the first one.
	spareFactor = 2.5
	// baseShare is the share of the fixed time of an answer that may be spent
	// on workers beyond those needed.
	baseShare = 0.2
)

// adviceState is what the adviser said about one set.
type adviceState struct {
	tickets map[hoist.WorkerID]ticket
	// isGood holds every worker that was asked about; the answer stays true.
	isGood map[hoist.WorkerID]bool
	// asked is when an adviser was asked that has not answered; zero if none is.
	asked time.Time
	// notBefore delays the next question after one without an answer.
	notBefore time.Time
}

type ticket struct {
	value hoist.Ticket
	until time.Time
}

func newAdviceState() adviceState {
	return adviceState{tickets: make(map[hoist.WorkerID]ticket), isGood: make(map[hoist.WorkerID]bool)}
}

// AdviceRequest is a question to the adviser of a queue.
type AdviceRequest struct {
	Step    hoist.StepRef
	Workers []hoist.WorkerID
	// Host is the host that puts the question.
	Host hoist.HostID
	// Time is how long the answer takes, without waiting for others.
	Time time.Duration
}

// RecordAdvice takes over the answer of an adviser, or the lack of one.
func (b *Scheduler) RecordAdvice(ask AdviceRequest, advice hoist.Advice, err error, now time.Time) {
	j, ok := b.jobs[ask.Step.Job]
	if !ok {
		return
	}
	s, ok := j.sets[setKey{ask.Step.Occurrence, ask.Step.Step}]
	if !ok {
		return
	}
	s.advice.asked = time.Time{}
	if err != nil {
		s.advice.notBefore = now.Add(askPause)
		return
	}
	good := 0
	for _, id := range ask.Workers {
		value, isGood := advice.Good[id]
		s.advice.isGood[id] = isGood
		if isGood {
			s.advice.tickets[id] = ticket{value, now.Add(advice.Valid)}
			good++
		}
	}
	b.speeds.noteAdvice(j.Plan.Queue.Name, good, len(ask.Workers))
}

// mayRun reports whether the set may start on the worker now.
func (s *StepTasks) mayRun(w *Worker, now time.Time) bool {
	if !s.Job.Plan.Queue.Advice.IsUsed() {
		return true
	}
	t, ok := s.advice.tickets[w.entry.Worker]
	return ok && now.Add(ticketMargin).Before(t.until)
}

// ask asks the adviser about workers that could take waiting tasks of a set. It
// reports false if there is nothing to ask. isAhead tells that the set cannot
// start yet, so that the room of today does not count.
func (b *Scheduler) ask(s *StepTasks, isAhead bool, reserve Reserve, now time.Time) (AdviceRequest, bool) {
	isOpen := !s.advice.asked.IsZero() && now.Sub(s.advice.asked) < askPatience
	if isOpen || now.Before(s.advice.notBefore) {
		return AdviceRequest{}, false
	}
	terms := s.Job.Plan.Queue.Advice
	need := demand(s.Step)
	if terms.Base+terms.PerWorker >= b.refused || (!isAhead && !need.Fits(b.mostFree)) {
		return AdviceRequest{}, false
	}
	known, unknown := b.askable(s, isAhead, now)
	var list []hoist.WorkerID
	places := 0.0
	wanted := spareFactor * float64(s.waiting)
	least := min(maxAsked, cheapWorkers(terms))
	add := func(workers []*Worker, share float64) {
		for _, w := range workers {
			if len(list) == maxAsked || (places >= wanted && len(list) >= least) {
				return
			}
			list = append(list, w.entry.Worker)
			places += float64(min(s.waiting, s.places(w, isAhead))) * share
		}
	}
	add(known, 1)
	if places < float64(s.waiting) {
		add(unknown, b.speeds.goodShare(s.Job.Plan.Queue.Name))
	}
	if len(list) == 0 {
		return AdviceRequest{}, false
	}
	ask := AdviceRequest{Step: s.Ref(), Workers: list, Time: terms.Base + time.Duration(len(list))*terms.PerWorker}
	var ok bool
	if ask.Host, ok = reserve(ask.Time, now); !ok {
		return AdviceRequest{}, false
	}
	s.advice.asked = now
	return ask, true
}

// cheapWorkers is how many workers a question may name at little cost beside the
// fixed time of its answer.
func cheapWorkers(terms hoist.AdviceTerms) int {
	if terms.PerWorker <= 0 {
		return maxAsked
	}
	return int(baseShare * float64(terms.Base) / float64(terms.PerWorker))
}

// places is how many more tasks of the set a worker could take, now or once it is
// empty.
func (s *StepTasks) places(w *Worker, isAhead bool) int {
	n := w.copies(demand(s.Step), isAhead)
	if s.Step.MaxPerWorker > 0 {
		n = min(n, s.Step.MaxPerWorker-s.on(w))
	}
	return max(0, n)
}

// askable returns the workers that are worth asking about, best first: those
// known as good whose ticket is over, and those never asked about.
func (b *Scheduler) askable(s *StepTasks, isAhead bool, now time.Time) (known, unknown []*Worker) {
	for _, w := range b.open {
		if !b.isCandidate(s, w) || s.places(w, isAhead) == 0 || s.mayRun(w, now) {
			continue
		}
		isGood, wasAsked := s.advice.isGood[w.entry.Worker]
		switch {
		case !wasAsked:
			unknown = append(unknown, w)
		case isGood:
			known = append(known, w)
		}
	}
	byRank := func(x, y *Worker) int {
		return cmp.Or(cmp.Compare(b.rank(s, x), b.rank(s, y)), cmp.Compare(x.entry.Worker, y.entry.Worker))
	}
	slices.SortFunc(known, byRank)
	slices.SortFunc(unknown, byRank)
	return known, unknown
}
