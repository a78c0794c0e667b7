package plans

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// The kinds of work of an owner, in logs and metrics.
const (
	workPass     guard.Work = "pass"
	workRecord   guard.Work = "record"
	workRegistry guard.Work = "registry"
	workPlans    guard.Work = "plans"
	workPoll     guard.Work = "poll"
	workStart    guard.Work = "start"
	workStop     guard.Work = "stop"
	workAdvice   guard.Work = "advice"
	workRemove   guard.Work = "remove"
	workRelay    guard.Work = "relay"
	workExplain  guard.Work = "explain"
	workWaits    guard.Work = "waits"
	workAccount  guard.Work = "account"
	workFormer   guard.Work = "former-owner"
)

// update runs f while no one else uses the scheduler or the fields that d.mu guards. It
// reports whether f ran to its end. A panic in f may leave the scheduler half changed:
// from then on nothing uses it, the plan that was being handled gets a failure in its
// quarantine, and the ownership ends. The next owner begins with the recorded states.
func (d *Driver) update(ctx context.Context, work guard.Work, f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isBroken {
		return false
	}
	d.scheduler.Handling = ""
	err := d.Guard.Do(ctx, work, f)
	d.logPresumedEnds(ctx)
	d.logLateSigns(ctx)
	d.logRestarts(ctx)
	if err == nil {
		return true
	}
	d.isBroken = true
	suspect := d.suspect(err)
	d.calls.Go(func() { d.giveUp(ctx, suspect) })
	return false
}

// logPresumedEnds logs and counts the attempts that count as ended although no worker
// listed their end. d.mu must be held.
func (d *Driver) logPresumedEnds(ctx context.Context) {
	for _, e := range d.scheduler.TakePresumedEnds() {
		event := events.RunPresumedEnded
		if e.Reason == sched.Missing {
			event = events.RunMissing
		}
		event.Log(ctx, d.Log, "plan", e.Run.Task.Job, "task", taskName(e.Run.Task), "attempt", e.Run.Attempt,
			"worker", e.Worker, "why", e.Reason, "since-poll", e.SincePoll, "since-lease", e.SinceLease,
			"since-restart", e.SinceRestart, "life", e.Incarnation, "confirmed", e.IsConfirmed,
			"listed", e.IsListed, "leaving", e.IsLeaving)
		if d.Metrics != nil {
			d.Metrics.RecordPresumedEnd(string(e.Reason))
		}
	}
}

// logLateSigns logs and counts the attempts that counted as ended and that a worker lists
// again. d.mu must be held.
func (d *Driver) logLateSigns(ctx context.Context) {
	for _, s := range d.scheduler.TakeLateSigns() {
		event, state := events.RunEndedLate, string(s.Kind)
		if s.Kind == "" {
			event, state = events.RunStillRunning, "running"
		}
		event.Log(ctx, d.Log, "plan", s.Run.Task.Job, "task", taskName(s.Run.Task), "attempt", s.Run.Attempt,
			"worker", s.Worker, "how", s.Kind, "why", s.Reason, "after", s.After, "other-attempt", s.Other, "other-worker", s.OtherWorker)
		if d.Metrics != nil {
			d.Metrics.RecordLateSign(string(s.Reason), state)
		}
	}
}

// logRestarts logs and counts the restarts of workers under their ids. d.mu must be held.
func (d *Driver) logRestarts(ctx context.Context) {
	for _, r := range d.scheduler.TakeRestarts() {
		events.WorkerRestarted.Log(ctx, d.Log, "worker", r.Worker, "sign", r.Sign, "earlier-life", r.Earlier, "life", r.Incarnation,
			"lease-left", r.LeaseLeft, "term", d.Claim.Term)
		if d.Metrics != nil {
			d.Metrics.RecordRestart(string(r.Sign))
		}
	}
}

// suspect returns the new quarantine entry of the plan that was being handled, or
// the zero value if there is none. d.mu must be held.
func (d *Driver) suspect(err error) quar.Entry {
	id := d.scheduler.Handling
	job, ok := d.scheduler.Job(id)
	if !ok {
		return quar.Entry{}
	}
	failures := d.failures[id] + 1
	return quar.Entry{
		Ref: quar.Ref{Part: job.Plan.Part, Job: id}, Queue: job.Plan.Queue.Name, Reason: err.Error(),
		Failures: failures, IsHeld: failures >= quar.MaxFailures, At: d.Clock.Now(),
	}
}

// giveUp records the failure of a plan, if one is suspected, and ends the ownership.
func (d *Driver) giveUp(ctx context.Context, suspect quar.Entry) {
	defer d.Claim.StepDown()
	if suspect.Ref.Job == "" {
		return
	}
	if err := d.writeQuarantine(ctx, suspect); err != nil {
		events.QuarantineFailed.Log(ctx, d.Log, "plan", suspect.Ref.Job, "error", err)
		return
	}
	events.PlanQuarantined.Log(ctx, d.Log, "plan", suspect.Ref.Job, "failures", suspect.Failures, "held", suspect.IsHeld, "reason", suspect.Reason)
}

func (d *Driver) writeQuarantine(ctx context.Context, e quar.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.Store.Commit(ctx, hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.Fence(e.Ref.Part), Version: d.Claim.Version}},
		Writes:        []hoist.Write{e.Write()},
	})
	return err
}

// goCall runs a call to another process in a goroutine that Run waits for.
func (d *Driver) goCall(ctx context.Context, work guard.Work, f func()) {
	d.calls.Go(func() {
		// A panic is logged; the calls that follow are not affected.
		_ = d.Guard.Do(ctx, work, f)
	})
}
