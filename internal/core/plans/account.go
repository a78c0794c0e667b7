package plans

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

const (
	// accountInterval is the interval at which workers without an answer are looked for, which
	// the account then lists as closed.
	accountInterval = 400 * time.Millisecond
	// accountGather is how long further workers are waited for once one has answered, so that
	// one transaction opens all of them. accountGatherPerWorker is added to it for each worker,
	// as each account lists all of them.
	accountGather          = 4 * time.Millisecond
	accountGatherPerWorker = 50 * time.Microsecond
	// openingWait is how long a poll is delayed until the account that opens its worker is
	// recorded, so that it can bring a lease.
	openingWait = 300 * time.Millisecond
)

// accountLoop records the lease account when it changes. While the store does not answer,
// workers that are listed as open go on getting leases.
func (d *Driver) accountLoop(ctx context.Context) {
	failures, workers := 0, 0
	for {
		n, err := d.recordAccount(ctx)
		switch {
		case err == nil:
			failures = 0
		case ctx.Err() == nil:
			if failures%failuresPerLogLine == 0 {
				events.AccountWriteFailed.Log(ctx, d.Log, "term", d.Claim.Term, "failures", failures, "error", err)
			}
			failures++
			clock.Sleep(ctx, retryDelay)
			clock.Signal(d.accountDue)
		}
		workers = max(workers, n)
		gather := accountGather + time.Duration(workers)*accountGatherPerWorker
		if !clock.SleepOr(ctx, accountInterval, d.accountDue) || !clock.Sleep(ctx, gather) {
			return
		}
	}
}

// recordAccount records the lease account if it has changed. It returns how many workers that
// lists, and 0 if it has not changed.
func (d *Driver) recordAccount(ctx context.Context) (int, error) {
	var record sched.AccountRecord
	isDue := false
	d.update(ctx, workAccount, func() { record, isDue = d.scheduler.TakeAccount(d.Clock.Now()) })
	if !isDue {
		return 0, nil
	}
	workers := len(record.Account.Workers)
	if err := d.Claim.RecordLeases(ctx, record.Account); err != nil {
		return workers, err
	}
	d.update(ctx, workAccount, func() {
		d.scheduler.MarkAccountRecorded(record)
		close(d.accountRecorded)
		d.accountRecorded = make(chan struct{})
	})
	d.requestPass()
	return workers, nil
}

// awaitOpening waits until the account is recorded that lists a worker as open, for at most
// openingWait.
func (d *Driver) awaitOpening(ctx context.Context, id hoist.WorkerID) {
	deadline := d.Clock.Now().Add(openingWait)
	for ctx.Err() == nil {
		isWaiting, left := false, deadline.Sub(d.Clock.Now())
		var recorded <-chan struct{}
		d.update(ctx, workPoll, func() {
			isWaiting = left > 0 && d.scheduler.AwaitsOpening(id)
			recorded = d.accountRecorded
		})
		if !isWaiting {
			return
		}
		clock.SleepOr(ctx, left, recorded)
	}
}

// RecordHostStart records that a process of a host has started, which the row of the host in the
// given version tells. If it is that of the previous owner, the leases that its earlier process
// granted end sooner.
func (d *Driver) RecordHostStart(ctx context.Context, host hoist.HostID, epoch hoist.Epoch, version hoist.RowVersion) {
	if !d.Claim.RecordHostStart(host, epoch, version) {
		return
	}
	if !d.isPrepared() {
		// prepare reads the account.
		return
	}
	d.lowerAccount(ctx)
}

// lowerAccount passes to the scheduler that leases of earlier owners end sooner. It returns how
// many do, and by how much at most.
func (d *Driver) lowerAccount(ctx context.Context) (lowered int, most time.Duration) {
	account := d.Claim.EarlierAccount()
	d.update(ctx, workAccount, func() { lowered, most = d.scheduler.LowerAccount(account, d.Clock.Now()) })
	clock.Signal(d.accountDue)
	return lowered, most
}

// askFormerOwner asks the previous owner when its leases end, and lowers the account by what it
// tells.
func (d *Driver) askFormerOwner(ctx context.Context) {
	ended, ok := d.Claim.AskFormerOwner(ctx)
	if !ok {
		return
	}
	lowered, most := d.lowerAccount(ctx)
	events.FormerOwnerAnswered.Log(ctx, d.Log, "term", d.Claim.Term, "ended-term", ended, "lowered", lowered, "most", most)
}

// isPrepared reports whether the scheduler exists.
func (d *Driver) isPrepared() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler != nil
}

// setFinalAccount passes the account of this owner, which has ended, to the release of the cell.
func (d *Driver) setFinalAccount(ctx context.Context) {
	d.update(ctx, workAccount, func() {
		d.Claim.SetFinalAccount(d.scheduler.FinalAccount(d.Clock.Now()))
	})
}
