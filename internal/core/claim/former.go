package claim

import (
	"context"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// formerCheckEvery is the interval between two questions to the previous owner, which may be
// frozen for some seconds.
const formerCheckEvery = 250 * time.Millisecond

// toldLease is what the previous owner has told about a worker: the incarnation that has answered
// it last, when the leases of confirmed attempts end, and further ones that are confirmed.
type toldLease struct {
	incarnation hoist.Incarnation
	end         time.Time
	confirmed   []hoist.TaskRun
}

// endedLeases returns the leases of a term in which this process owned the cell, of which it keeps
// the last one. It returns nil if the term has not ended or the leases are not known.
func (m *Manager) endedLeases(term hoist.Term) *hoist.EndedLeases {
	o := m.ended.Load()
	if o == nil || o.Term != term {
		return nil
	}
	return o.endedLeases()
}

// endedLeases returns the leases in the final account, with the times left from now. It returns
// nil if there is no final account, or only a partial one.
func (o *Ownership) endedLeases() *hoist.EndedLeases {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.final == nil || o.final.IsPartial {
		return nil
	}
	passed := now.Sub(o.finalAt)
	out := &hoist.EndedLeases{Term: o.Term}
	for _, w := range o.final.Workers {
		out.Workers = append(out.Workers, hoist.EndedLease{
			Worker: w.Worker, Incarnation: w.Incarnation, ConfirmedLeft: max(0, w.ConfirmedLeft-passed), Confirmed: w.Confirmed,
		})
	}
	return out
}

// AskFormerOwner asks the process of the previous owner when its leases end, until it tells, its
// leases have ended, the process is known to have ended, or ctx ends. It returns the term that has
// ended, and reports whether the process has told; EarlierAccount counts that from then on.
//
// A process keeps the leases of its own terms in memory only, so that no other process than that
// of the previous owner answers for its term.
func (o *Ownership) AskFormerOwner(ctx context.Context) (hoist.Term, bool) {
	previous := o.earlier.previous
	if o.dial == nil || string(o.host) == previous.Host {
		return 0, false
	}
	checker := o.dial(previous.Addr)
	defer checker.Close()
	term := hoist.Term(previous.Term)
	for o.needsFormerOwner() {
		if o.askOnce(ctx, checker, term) {
			return term, true
		}
		if !clock.Sleep(ctx, formerCheckEvery) {
			return 0, false
		}
	}
	return 0, false
}

// needsFormerOwner reports whether the previous owner may tell that leases end sooner.
func (o *Ownership) needsFormerOwner() bool {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &o.earlier
	isOpen := func(entry codec.LeaseEntry) bool { return entry.IsOpen }
	// A release records when the leases end.
	return !e.previous.Released && !e.row.IsPartial && slices.ContainsFunc(e.row.Workers, isOpen) &&
		!e.hasPreviousExited && now.Before(e.grantsEnd)
}

// askOnce asks the previous owner once, and reports whether it has told when its leases end.
func (o *Ownership) askOnce(ctx context.Context, checker hoist.HealthChecker, term hoist.Term) bool {
	callCtx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	health, err := checker.CheckHealth(callCtx, hoist.HealthCheck{From: o.host, EndedTerm: term})
	if err != nil || health.Ended == nil || health.Ended.Term != term {
		return false
	}
	// The times left were those of a moment before.
	now := o.clock.Now()
	told := make(map[hoist.WorkerID]toldLease)
	for _, w := range health.Ended.Workers {
		told[w.Worker] = toldLease{incarnation: w.Incarnation, end: now.Add(w.ConfirmedLeft), confirmed: w.Confirmed}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.earlier.told = told
	return true
}

// toldAbout returns what the previous owner has told about the worker of an open entry. It counts
// for the incarnation that the account lists: if another one has answered the previous owner since,
// a worker may hold a lease of which the entry says nothing.
func (e *earlierOwners) toldAbout(entry codec.LeaseEntry) (toldLease, bool) {
	told, ok := e.told[entry.Worker]
	if !ok || entry.Incarnation == 0 || told.incarnation != entry.Incarnation {
		return toldLease{}, false
	}
	return told, true
}

// confirmedEnd returns when the leases end that earlier owners may have granted under an open
// entry.
func (e *earlierOwners) confirmedEnd(entry codec.LeaseEntry) time.Time {
	if told, ok := e.toldAbout(entry); ok && told.end.Before(e.grantsEnd) {
		return told.end
	}
	return e.grantsEnd
}
