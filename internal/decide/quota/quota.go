// Package quota tracks the resources that the tasks of each team use, and admits
// new tasks only within the team's quota.
//
// # Usage
//
//	tr := quota.NewTracker()
//	tr.SetLimits(limits, quota.Unlimited)       // from the configuration
//	err := tr.Admit(charge)                     // before capacity is reserved for a task
//	err = tr.Admit(charges...)                  // a gang: all tasks or none
//	tr.Release(charge.Task, charge.Attempt)     // the attempt ended or was not started
//	tr.Rebuild(team, running)                   // after the team's shard was acquired
//	tr.Drop(team)                               // after the shard was released
//
// The scheduler of plans holds the attempts of each team itself and uses only the
// account of a team:
//
//	account.SetLimit(quota.LimitOf(config.Quota))
//	n := account.Startable(need) // how many more tasks may start
//	account.Charge(need)         // an attempt holds capacity from now on
//	account.Refund(need)         // it certainly holds none any more
//
// Admit never lets the usage exceed the quota. Usage above the quota arises only
// from Rebuild, or when the configuration lowers the quota. No task is stopped
// because of it, but the team gets no more of that resource until its usage is
// below the quota. A Tracker is not safe for concurrent use.
package quota

import (
	"fmt"
	"math"
	"strings"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Unlimited is the quota of a team whose usage is not limited.
var Unlimited = hoist.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, Accel: math.MaxInt64}

// Charge is the amount that one attempt at a task takes from its team's quota.
type Charge struct {
	Team    hoist.TeamID
	Task    hoist.TaskID
	Attempt hoist.AttemptNo
	Need    hoist.Resources
}

// Usage is what a team uses and its quota.
type Usage struct {
	Used  hoist.Resources
	Limit hoist.Resources
	Tasks int
}

// IsOverQuota reports whether the team uses more than its quota of any resource.
func (u Usage) IsOverQuota() bool {
	return !u.Used.Fits(u.Limit)
}

// Tracker tracks the usage of the teams whose shards a host owns.
type Tracker struct {
	limits       map[hoist.TeamID]hoist.Resources
	defaultLimit hoist.Resources
	// accounts holds the accounts of the teams that use anything.
	accounts map[hoist.TeamID]*Account
	charges  map[hoist.TaskID]Charge
}

// NewTracker returns a Tracker without charges, in which every team is unlimited.
func NewTracker() *Tracker {
	return &Tracker{
		defaultLimit: Unlimited,
		accounts:     make(map[hoist.TeamID]*Account),
		charges:      make(map[hoist.TaskID]Charge),
	}
}

// SetLimits replaces all quotas. Teams that are not in limits get defaultLimit.
// Running tasks are not affected. The Tracker keeps limits, which must not be
// modified afterwards.
func (tr *Tracker) SetLimits(limits map[hoist.TeamID]hoist.Resources, defaultLimit hoist.Resources) {
	tr.limits = limits
	tr.defaultLimit = defaultLimit
	for team, a := range tr.accounts {
		a.SetLimit(tr.limit(team))
	}
}

// Usage returns the usage and the quota of a team.
func (tr *Tracker) Usage(team hoist.TeamID) Usage {
	if a, ok := tr.accounts[team]; ok {
		return a.Usage()
	}
	return Usage{Limit: tr.limit(team)}
}

func (tr *Tracker) limit(team hoist.TeamID) hoist.Resources {
	if l, ok := tr.limits[team]; ok {
		return l
	}
	return tr.defaultLimit
}

// Admit charges all the given attempts or none. An attempt that is charged
// already is not charged again. It returns hoist.ErrOverLimit with the
// resources that exceed the quota, hoist.ErrConflict if a different charge of a
// task exists, or hoist.ErrInvalid for a need that is negative or zero.
func (tr *Tracker) Admit(charges ...Charge) error {
	var admitted []Charge
	for _, c := range charges {
		isNew, err := tr.admit(c)
		if err != nil {
			for _, a := range admitted {
				tr.Release(a.Task, a.Attempt)
			}
			return err
		}
		if isNew {
			admitted = append(admitted, c)
		}
	}
	return nil
}

// admit charges one attempt. It reports true unless the attempt was charged
// before.
func (tr *Tracker) admit(c Charge) (bool, error) {
	if !c.Need.IsValid() {
		return false, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("task %s needs %v, expected no negative and at least one positive amount", c.Task, c.Need))
	}
	if have, ok := tr.charges[c.Task]; ok {
		if have != c {
			return false, merry.Wrap(hoist.ErrConflict,
				merry.PrependMessagef("attempt %d of task %s is charged to team %s", have.Attempt, c.Task, have.Team))
		}
		return false, nil
	}
	if err := tr.check(c); err != nil {
		return false, err
	}
	tr.charge(c)
	return true, nil
}

// check returns hoist.ErrOverLimit if a charge exceeds the quota of its team. It
// compares the need with the remaining quota, because the sum of usage and need
// can overflow.
func (tr *Tracker) check(c Charge) error {
	u := tr.Usage(c.Team)
	left := u.Limit.Sub(u.Used)
	if shortage := formatShortage(c.Need, left); shortage != "" {
		return merry.Wrap(hoist.ErrOverLimit,
			merry.PrependMessagef("team %s, task %s: the quota lacks %s", c.Team, c.Task, shortage))
	}
	return nil
}

// formatShortage lists by how much need exceeds left. A resource that is not
// needed is not listed, even if its quota is exceeded.
func formatShortage(need, left hoist.Resources) string {
	var out []string
	if need.CPU > 0 && need.CPU > left.CPU {
		out = append(out, fmt.Sprintf("%.3f cores", float64(need.CPU-left.CPU)/1000))
	}
	if need.Memory > 0 && need.Memory > left.Memory {
		out = append(out, fmt.Sprintf("%d MiB", need.Memory-left.Memory))
	}
	if need.Accel > 0 && need.Accel > left.Accel {
		out = append(out, fmt.Sprintf("%d accelerators", need.Accel-left.Accel))
	}
	return strings.Join(out, ", ")
}

func (tr *Tracker) charge(c Charge) {
	a, ok := tr.accounts[c.Team]
	if !ok {
		a = &Account{limit: tr.limit(c.Team)}
		tr.accounts[c.Team] = a
	}
	a.Charge(c.Need)
	tr.charges[c.Task] = c
}

// Release removes the charge of an attempt. Releasing an attempt that is not
// charged has no effect.
func (tr *Tracker) Release(task hoist.TaskID, attempt hoist.AttemptNo) {
	c, ok := tr.charges[task]
	if !ok || c.Attempt != attempt {
		return
	}
	delete(tr.charges, task)
	a := tr.accounts[c.Team]
	a.Refund(c.Need)
	if a.tasks == 0 {
		delete(tr.accounts, c.Team)
	}
}

// Rebuild replaces the usage of a team by that of its running tasks, even if it
// exceeds the quota. It ignores tasks of other teams and tasks with an invalid
// need.
func (tr *Tracker) Rebuild(team hoist.TeamID, running []hoist.TaskStatus) {
	tr.Drop(team)
	for _, t := range running {
		_, isCharged := tr.charges[t.Task]
		if t.Team != team || isCharged || !t.Need.IsValid() {
			continue
		}
		tr.charge(Charge{Team: team, Task: t.Task, Attempt: t.Attempt, Need: t.Need})
	}
}

// Drop removes the usage and all charges of a team.
func (tr *Tracker) Drop(team hoist.TeamID) {
	if _, ok := tr.accounts[team]; !ok {
		return
	}
	for task, c := range tr.charges {
		if c.Team == team {
			delete(tr.charges, task)
		}
	}
	delete(tr.accounts, team)
}
