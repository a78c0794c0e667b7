package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/core/tasks"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/decide/deploy"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

// deployEvery is the interval of comparing the configured services with the running
// jobs.
const deployEvery = 2 * time.Second

// applyConfig applies a configuration to the components of this host.
func (d *Daemon) applyConfig(doc config.Document) {
	limits := make(map[hoist.TeamID]hoist.Resources, len(doc.Teams))
	for _, t := range doc.Teams {
		limits[t.Name] = t.Quota.Resources()
	}
	fallback := hoist.Resources{}
	if len(doc.Teams) == 0 {
		fallback = quota.Unlimited
	}
	d.tasks.SetQuotas(limits, fallback)
	weights := make(map[hoist.CustomerID]int, len(doc.Customers))
	for _, c := range doc.Customers {
		weights[c.Name] = c.Weight
	}
	d.router.SetLimits(route.Limits{
		Queue:        queue.Limits{PerCustomer: doc.Limits.QueuePerCustomer, Total: doc.Limits.QueueTotal},
		Weights:      weights,
		RetryPercent: doc.Limits.RetryPercent,
	})
}

// deployLoop keeps the configured services running. Each host handles those of the
// teams whose shards it owns.
func (d *Daemon) deployLoop(ctx context.Context) {
	ticker := time.NewTicker(deployEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range d.document().Teams {
			if _, ok := d.members.Owns(hoist.ShardOf(hoist.KindTeam, string(t.Name))); ok {
				d.deploy(ctx, t.Name)
			}
		}
	}
}

func (d *Daemon) deploy(ctx context.Context, team hoist.TeamID) {
	services := slices.DeleteFunc(slices.Clone(d.document().Services), func(s config.Service) bool { return s.Team != team })
	jobs, err := d.tasks.ShowLocal(team)
	if err != nil {
		// The shard has moved, or its jobs are not known yet.
		return
	}
	plan := deploy.MakePlan(services, jobs)
	for _, spec := range plan.Submit {
		d.logDeployError(ctx, string(spec.ID), d.tasks.Accept(ctx, spec))
	}
	for _, ref := range plan.Cancel {
		d.logDeployError(ctx, string(ref.Job), d.tasks.CancelLocal(ctx, ref))
	}
}

func (d *Daemon) logDeployError(ctx context.Context, job string, err error) {
	if err != nil && !errors.Is(err, hoist.ErrNotOwner) {
		events.DeployFailed.Log(ctx, d.Log, "job", job, "error", err)
	}
}

// checkCustomer returns an error if the configuration does not allow the customer to use
// the service.
func checkCustomer(doc config.Document, r hoist.Request) error {
	for _, s := range doc.Services {
		if s.Name == r.Service && len(s.Customers) > 0 && !slices.Contains(s.Customers, r.Customer) {
			return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("customer %q may not use service %q", r.Customer, r.Service))
		}
	}
	return nil
}

// checkedTasks is the task manager for submitters. It refuses the ids of configured
// services and enforces the configured limits of teams.
type checkedTasks struct {
	*tasks.Manager
	document func() config.Document
}

// Submit implements hoist.JobService.
func (c checkedTasks) Submit(ctx context.Context, s hoist.JobSpec) error {
	if deploy.IsReserved(s.ID) {
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("job id %q is reserved for a configured service", s.ID))
	}
	if err := checkTeam(c.document(), s); err != nil {
		return err
	}
	return c.Manager.Submit(ctx, s)
}

// checkTeam returns an error if the configuration does not allow the team to submit the
// job.
func checkTeam(doc config.Document, s hoist.JobSpec) error {
	if len(doc.Teams) == 0 {
		return nil
	}
	team, ok := doc.Team(s.Team)
	switch {
	case !ok:
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("team %q does not exist", s.Team))
	case s.Priority > team.MaxPriority:
		return merry.Wrap(hoist.ErrInvalid,
			merry.PrependMessagef("job %q has priority %d, team %q may use up to %d", s.ID, s.Priority, s.Team, team.MaxPriority))
	case s.Urgent && !team.MayBeUrgent:
		return merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("team %q may not submit urgent jobs", s.Team))
	}
	return nil
}
