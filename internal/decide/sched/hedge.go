package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// HedgeDelay is how much later than expected an answer about a step with long-running
	// tasks is when the step is asked about again, through another host.
	HedgeDelay = 250 * time.Millisecond
	// maxUnanswered is the most requests in flight for a step.
	maxUnanswered = 2
)

// unansweredRequest is a request for advice in flight.
type unansweredRequest struct {
	sentAt time.Time
	// lateAt is when the step may be asked about again without an answer. It is zero if it
	// may not.
	lateAt time.Time
}

// inFlight returns the unanswered requests. Those that were sent longer than adviceTimeout
// ago do not count.
func (a *adviceState) inFlight(now time.Time) []unansweredRequest {
	return slices.DeleteFunc(slices.Clone(a.unanswered), func(r unansweredRequest) bool { return now.Sub(r.sentAt) >= adviceTimeout })
}

// awaitsAnswer reports whether the step waits for the answer to a request, which may be late.
func (a *adviceState) awaitsAnswer(now time.Time) bool {
	return !a.pendingSince.IsZero() && now.Sub(a.pendingSince) < adviceTimeout
}

// isPending reports whether the step has to wait for an answer before it is asked about
// again.
func (a *adviceState) isPending(now time.Time) bool {
	unanswered := a.inFlight(now)
	if len(unanswered) >= maxUnanswered {
		return true
	}
	isLate := slices.ContainsFunc(unanswered, func(r unansweredRequest) bool {
		return r.sentAt.Equal(a.pendingSince) && !r.lateAt.IsZero() && !now.Before(r.lateAt)
	})
	return a.awaitsAnswer(now) && !isLate
}

// newAdviceRequest composes a request about a step, which waits for its answer from now on.
func (s *StepTasks) newAdviceRequest(workers []hoist.WorkerID, host hoist.HostID, answerTime time.Duration, now time.Time) AdviceRequest {
	a := &s.advice
	r := AdviceRequest{
		Step: s.Ref(), Workers: workers, Host: host, AnswerTime: answerTime, SentAt: now, IsHedge: a.awaitsAnswer(now),
	}
	sent := unansweredRequest{sentAt: now}
	if s.Step.IsLongRunning {
		sent.lateAt = now.Add(answerTime + HedgeDelay)
	}
	a.unanswered = append(a.inFlight(now), sent)
	a.pendingSince, a.refusedSince = now, time.Time{}
	return r
}

// recordOutcome records that a request has been answered or has failed. The first answer
// ends the wait; after a failure the step goes on waiting for the other request, if that is
// the later one.
func (a *adviceState) recordOutcome(r AdviceRequest, isAnswered bool) {
	a.unanswered = slices.DeleteFunc(a.unanswered, func(u unansweredRequest) bool { return u.sentAt.Equal(r.SentAt) })
	awaitsOther := slices.ContainsFunc(a.unanswered, func(u unansweredRequest) bool { return u.sentAt.Equal(a.pendingSince) })
	if isAnswered || !awaitsOther {
		a.pendingSince = time.Time{}
	}
	switch {
	case isAnswered:
		a.refusedSince = time.Time{}
	case a.refusedSince.IsZero():
		// The step has waited since then, so that its next request is soon overdue.
		a.refusedSince = r.SentAt
	}
}
