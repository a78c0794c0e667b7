package sched_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// simAdviserHosts is how many hosts of a simulation send requests for advice.
	simAdviserHosts = 8
	// simAdviceQueue is how long a request may wait at a host for those before it.
	simAdviceQueue = 40 * time.Millisecond
)

// simAdviser is the adviser of a simulation. It answers the requests of each host one after
// the other.
type simAdviser struct {
	config hoist.AdviserConfig
	// allowed is the share of the workers that may run a step.
	allowed   float64
	busyUntil [simAdviserHosts]time.Time
	// reserved holds when the requests of the present pass will be answered.
	reserved []time.Time
	answers  []simAnswer
}

type simAnswer struct {
	request sched.AdviceRequest
	at      time.Time
}

func newSimAdviser(base, perWorker time.Duration, allowed float64) *simAdviser {
	return &simAdviser{config: hoist.AdviserConfig{Base: base, PerWorker: perWorker, ValidFor: 2500 * time.Millisecond}, allowed: allowed}
}

// reserve reserves an answer time on the host that is free first. The long requests leave
// a quarter of the hosts free.
func (a *simAdviser) reserve(need time.Duration, now time.Time) (hoist.HostID, bool) {
	best := 0
	for i, t := range a.busyUntil {
		if t.Before(a.busyUntil[best]) {
			best = i
		}
	}
	if a.busyUntil[best].Sub(now) > simAdviceQueue {
		return "", false
	}
	begin := now
	if a.busyUntil[best].After(now) {
		begin = a.busyUntil[best]
	}
	a.busyUntil[best] = begin.Add(need)
	a.reserved = append(a.reserved, a.busyUntil[best])
	return hoist.HostID(fmt.Sprintf("host-%d", best)), true
}

// ask begins the requests of a pass, in the order in which their times were reserved.
func (a *simAdviser) ask(requests []sched.AdviceRequest) {
	for i, r := range requests {
		a.answers = append(a.answers, simAnswer{r, a.reserved[i]})
	}
	a.reserved = a.reserved[:0]
}

// allows tells whether a worker may run a step, which does not change.
func (a *simAdviser) allows(step hoist.StepRef, w hoist.WorkerID) bool {
	h := fnv.New64a()
	fmt.Fprint(h, step, w)
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64() < a.allowed
}

// answerAdvice passes the answers that are due to the scheduler.
func (s *simulation) answerAdvice() {
	if s.adviser == nil {
		return
	}
	s.adviser.answers = slices.DeleteFunc(s.adviser.answers, func(answer simAnswer) bool {
		if answer.at.After(s.now) {
			return false
		}
		advice := hoist.Advice{Tickets: make(map[hoist.WorkerID]hoist.Ticket), ValidFor: s.adviser.config.ValidFor}
		for _, w := range answer.request.Workers {
			if s.adviser.allows(answer.request.Step, w) {
				advice.Tickets[w] = hoist.Ticket(s.now.Add(advice.ValidFor).Format(time.RFC3339Nano))
			}
		}
		s.scheduler.RecordAdvice(answer.request, advice, nil, s.now)
		return true
	})
}

// checkTicket fails unless a start has a valid ticket for an allowed worker, if its queue has
// the adviser.
func (s *simulation) checkTicket(st sched.Start) {
	if !s.plans[st.Run.Task.Job].Queue.Advice.IsUsed() {
		return
	}
	validUntil, err := time.Parse(time.RFC3339Nano, string(st.Ticket))
	if err != nil || !s.now.Before(validUntil) || !s.adviser.allows(st.Run.Task.StepRef, st.Worker) {
		s.t.Fatalf("%v: start with the ticket %q for %v on %s", s.now, st.Ticket, st.Run.Task, st.Worker)
	}
}

// named returns how many workers the requests named.
func (s *simulation) named() int {
	n := 0
	for _, r := range s.requested {
		n += len(r.Workers)
	}
	return n
}

// answerTime returns the total answer time of the requests.
func (s *simulation) answerTime() time.Duration {
	var total time.Duration
	for _, r := range s.requested {
		total += r.AnswerTime
	}
	return total
}
