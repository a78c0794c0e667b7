package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// A worker that has restarted under its id also carries out requests that were meant for its
// earlier incarnation. A lease in them is a time on a clock that was further on, so that the new
// incarnation takes it for the longest lease: a stray lease.
//
// Such requests are told apart by their fencing tokens, as a worker refuses a lower token than it
// has seen. The requests to a worker belong to sessions, each with a higher token than the one
// before. A session ends when a request may be lost or the worker may have restarted. The next
// one begins with polls that bring no lease and acknowledge nothing. Once one of them is answered,
// no request of an earlier session or owner takes effect in the incarnation that has answered.

// session numbers the sessions of one worker within a term.
type session uint64

// Poll is what has to be known of a poll when its answer arrives.
type Poll struct {
	SentAt time.Time
	Token  hoist.FencingToken
}

// NewPoll returns a poll of a worker that is sent now.
func (sc *Scheduler) NewPoll(id hoist.WorkerID, now time.Time) Poll {
	return Poll{SentAt: now, Token: sc.Token(id)}
}

// Token returns the fencing token of the requests to a worker.
func (sc *Scheduler) Token(id hoist.WorkerID) hoist.FencingToken {
	w, ok := sc.workers[id]
	if !ok {
		return sc.tokenOf(sc.firstSession)
	}
	return sc.tokenOf(w.session)
}

func (sc *Scheduler) tokenOf(s session) hoist.FencingToken {
	return hoist.FirstToken(sc.term) + hoist.FencingToken(s)
}

// IsTokenCurrent reports whether requests to a worker still carry the given token.
func (sc *Scheduler) IsTokenCurrent(id hoist.WorkerID, token hoist.FencingToken) bool {
	return token == sc.Token(id)
}

// HasTokens reports whether the term has tokens for further sessions. The owner has to step
// down once it has none, and the next one begins a new term.
func (sc *Scheduler) HasTokens() bool {
	return !sc.isOutOfTokens
}

// endSession ends the session of a worker. The worker gets neither starts nor leases until it
// answers a poll of the next one.
func (sc *Scheduler) endSession(w *Worker, now time.Time) {
	if !w.awaitsReport {
		w.silentSince = now
	}
	w.awaitsReport, w.silentAt = true, now
	sc.raiseToken(w)
}

// raiseToken takes the next token for a worker, unless no start, lease or acknowledgement was
// sent with the present one.
func (sc *Scheduler) raiseToken(w *Worker) {
	switch {
	case !w.isSessionUsed:
	case w.session+1 >= hoist.TokensPerTerm:
		sc.isOutOfTokens = true
	default:
		w.session++
		w.isSessionUsed = false
	}
}

// isFirstAnswer reports whether an answered poll is the first one of the present session of its
// worker. A session that was used has ended, and there was no token for the next one.
func (sc *Scheduler) isFirstAnswer(w *Worker, poll Poll) bool {
	return w.awaitsReport && !w.isSessionUsed && poll.Token == sc.tokenOf(w.session) && !poll.SentAt.Before(w.silentAt)
}

// endsStrayLeases reports whether an answered poll shows that a worker which restarted in the
// present session, before that was used, has seen its token.
func (sc *Scheduler) endsStrayLeases(w *Worker, poll Poll) bool {
	return w.mayHoldStrayLease && !w.awaitsReport && sc.tokenOf(w.session) == poll.Token
}

// beginSession lets a worker get starts and leases again: it has answered a poll of the present
// session, so that no earlier request takes effect any more.
func (sc *Scheduler) beginSession(w *Worker, now time.Time) {
	w.awaitsReport = false
	if w.mayHoldStrayLease {
		sc.countLongestLease(w, now)
		w.mayHoldStrayLease = false
	}
}

// suspectStrayLease ends the session of a worker that has restarted in the course of it. Until
// the next one begins, the new incarnation may receive leases on the clock of the earlier one.
func (sc *Scheduler) suspectStrayLease(w *Worker, now time.Time) {
	w.restartShownAt = now
	w.mayHoldStrayLease = true
	sc.countLongestLease(w, now)
	sc.endSession(w, now)
}

// countLongestLease records that the worker may hold the longest lease that it accepts, from a
// request of another session or owner.
func (sc *Scheduler) countLongestLease(w *Worker, since time.Time) {
	w.extendLease(since, sc.MaxLease+longestCall)
	w.longestLeaseUntil = w.leaseExpiresAt
	sc.closeWorker(w, since)
}

// mayRunUnseen reports whether an attempt may run on another incarnation of its worker than
// the one whose lease is known: its start, or a lease, got no answer, and may have reached a
// worker that has restarted.
func (sc *Scheduler) mayRunUnseen(t *Task, now time.Time) bool {
	switch {
	case t.isStartInDoubt:
		return now.Before(sc.unseenUntil(t.Worker))
	case t.isRecovered && !t.isConfirmed:
		return now.Before(t.Worker.unconfirmedUntil)
	default:
		return false
	}
}

// unseenUntil returns when attempts of this owner have certainly ended whose start, or a lease
// of whose worker, got no answer.
func (sc *Scheduler) unseenUntil(w *Worker) time.Time {
	if w.lostRequestAt.IsZero() {
		return time.Time{}
	}
	return w.lostRequestAt.Add(onSlowClock(sc.MaxLease + longestCall))
}

// forget removes a worker of which nothing is known that matters. If it comes back, its
// sessions go on.
func (sc *Scheduler) forget(w *Worker) {
	sc.raiseToken(w)
	sc.firstSession = max(sc.firstSession, w.session)
	delete(sc.workers, w.entry.Worker)
}

// latest returns the later of two times.
func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
