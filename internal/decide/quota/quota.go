// Package quota counts what the tasks of each team take, and admits new tasks
// only within the team's quota.
//
// # Usage
//
//	b := quota.NewTracker()
//	b.SetLimits(limits, quota.Unlimited)        // from the configuration
//	err := b.Admit(charge)                      // before a task is reserved
//	err = b.Admit(charges...)                   // a gang: all tasks or none
//	b.Release(charge.Task, charge.Attempt)      // the attempt ended or was not started
//	b.Rebuild(team, running)                    // after the team's shard was acquired
//	b.Drop(team)                                // after it was released
//
// Usage above the quota is possible only where it was not admitted here: after
// a rebuild, or after the configuration lowered the quota. Nothing is stopped
// for it; the team is admitted nothing more of that resource until its usage
// has fallen below. The type is not safe for concurrent use.
package quota

import (
	"fmt"
	"math"
	"strings"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Unlimited is the quota of a team that may take whatever is free.
var Unlimited = hoist.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, Accel: math.MaxInt64}

// Charge is what one attempt at a task takes from the quota of its team.
type Charge struct {
	Team    hoist.TeamID
	Task    hoist.TaskID
	Attempt hoist.AttemptNo
	Need    hoist.Resources
}

// Usage is what a team takes and may take.
type Usage struct {
	Used  hoist.Resources
	Limit hoist.Resources
	Tasks int
}

// IsOver reports whether the team takes more than its quota.
func (u Usage) IsOver() bool {
	return !u.Used.Fits(u.Limit)
}

// Tracker counts the usage of the teams that a host owns.
type Tracker struct {
	limits   map[hoist.TeamID]hoist.Resources
	fallback hoist.Resources
	used     map[hoist.TeamID]*account
	charges  map[hoist.TaskID]Charge
}

// account is the usage of one team.
type account struct {
	used  hoist.Resources
	tasks int
}

// NewTracker returns an empty book without quotas.
func NewTracker() *Tracker {
	return &Tracker{
		fallback: Unlimited,
		used:     make(map[hoist.TeamID]*account),
		charges:  make(map[hoist.TaskID]Charge),
	}
}

// SetLimits replaces all quotas. Teams that limits does not name get fallback.
// Running tasks are not affected. The book keeps limits; do not change it.
func (b *Tracker) SetLimits(limits map[hoist.TeamID]hoist.Resources, fallback hoist.Resources) {
	b.limits = limits
	b.fallback = fallback
}

// Usage returns what a team takes and may take.
func (b *Tracker) Usage(team hoist.TeamID) Usage {
	u := Usage{Limit: b.limit(team)}
	if a, ok := b.used[team]; ok {
		u.Used, u.Tasks = a.used, a.tasks
	}
	return u
}

func (b *Tracker) limit(team hoist.TeamID) hoist.Resources {
	if l, ok := b.limits[team]; ok {
		return l
	}
	return b.fallback
}

// Admit charges all the given attempts or none. An attempt that is charged
// already is not charged again. It returns hoist.ErrOverLimit with the
// resources that are missing, hoist.ErrConflict if another attempt of a task is
// charged, or hoist.ErrInvalid for a need that is negative or zero.
func (b *Tracker) Admit(charges ...Charge) error {
	var added []Charge
	for _, c := range charges {
		isNew, err := b.admit(c)
		if err != nil {
			for _, a := range added {
				b.Release(a.Task, a.Attempt)
			}
			return err
		}
		if isNew {
			added = append(added, c)
		}
	}
	return nil
}

// admit charges one attempt. It reports whether the attempt was not charged
// before.
func (b *Tracker) admit(c Charge) (bool, error) {
	if !c.Need.IsValid() {
		return false, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("task %s needs %v", c.Task, c.Need))
	}
	if have, ok := b.charges[c.Task]; ok {
		if have != c {
			return false, merry.Wrap(hoist.ErrConflict,
				merry.PrependMessagef("attempt %d of task %s is charged to team %s", have.Attempt, c.Task, have.Team))
		}
		return false, nil
	}
	if err := b.check(c); err != nil {
		return false, err
	}
	b.charge(c)
	return true, nil
}

// check compares what is left with the need, because the sum of both can
// overflow.
func (b *Tracker) check(c Charge) error {
	u := b.Usage(c.Team)
	left := u.Limit.Sub(u.Used)
	if missing := lacking(c.Need, left); missing != "" {
		return merry.Wrap(hoist.ErrOverLimit,
			merry.PrependMessagef("team %s, task %s: the quota lacks %s", c.Team, c.Task, missing))
	}
	return nil
}

// lacking names the resources of need that left does not cover. A resource that
// is not needed never lacks, even if its quota is passed.
func lacking(need, left hoist.Resources) string {
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

func (b *Tracker) charge(c Charge) {
	a, ok := b.used[c.Team]
	if !ok {
		a = &account{}
		b.used[c.Team] = a
	}
	a.used = a.used.Add(c.Need)
	a.tasks++
	b.charges[c.Task] = c
}

// Release gives back what an attempt was charged. Releasing an attempt that is
// not charged has no effect.
func (b *Tracker) Release(task hoist.TaskID, attempt hoist.AttemptNo) {
	c, ok := b.charges[task]
	if !ok || c.Attempt != attempt {
		return
	}
	delete(b.charges, task)
	a := b.used[c.Team]
	a.used = a.used.Sub(c.Need)
	a.tasks--
	if a.tasks == 0 {
		delete(b.used, c.Team)
	}
}

// Rebuild replaces the usage of a team by what its tasks that run take. It
// counts them even above the quota. Tasks of other teams are ignored.
func (b *Tracker) Rebuild(team hoist.TeamID, running []hoist.TaskStatus) {
	b.Drop(team)
	for _, t := range running {
		_, isCharged := b.charges[t.Task]
		if t.Team != team || isCharged || !t.Need.IsValid() {
			continue
		}
		b.charge(Charge{Team: team, Task: t.Task, Attempt: t.Attempt, Need: t.Need})
	}
}

// Drop forgets the usage of a team.
func (b *Tracker) Drop(team hoist.TeamID) {
	if _, ok := b.used[team]; !ok {
		return
	}
	for task, c := range b.charges {
		if c.Team == team {
			delete(b.charges, task)
		}
	}
	delete(b.used, team)
}
