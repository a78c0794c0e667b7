package quota

import (
	"math"

	hoist "fuchsiahoist.example/hoist"
)

// Account is what the running tasks of one team use, and the team's quota. The zero
// value has used nothing and a quota of nothing.
type Account struct {
	used  hoist.Resources
	limit hoist.Resources
	tasks int
}

// LimitOf returns the quota of a team from its configuration, in which 0 means that a
// resource is not limited. Negative amounts are not valid and limit nothing.
func LimitOf(configured hoist.Resources) hoist.Resources {
	limit := Unlimited
	if configured.CPU > 0 {
		limit.CPU = configured.CPU
	}
	if configured.Memory > 0 {
		limit.Memory = configured.Memory
	}
	if configured.Accel > 0 {
		limit.Accel = configured.Accel
	}
	return limit
}

// Usage returns what the tasks of the team use, and its quota.
func (a *Account) Usage() Usage {
	return Usage{Used: a.used, Limit: a.limit, Tasks: a.tasks}
}

// SetLimit sets the quota. What is charged is not affected.
func (a *Account) SetLimit(limit hoist.Resources) {
	a.limit = limit
}

// Charge adds one task, even beyond the quota.
func (a *Account) Charge(need hoist.Resources) {
	a.used = a.used.Add(need)
	a.tasks++
}

// Refund removes one task that was charged.
func (a *Account) Refund(need hoist.Resources) {
	a.used = a.used.Sub(need)
	a.tasks--
}

// Room returns how many tasks with the given need fit into the rest of the quota. It is 0
// while any resource exceeds its quota, also one that the tasks do not need: a start must
// not leave the team above its quota.
func (a *Account) Room(need hoist.Resources) int {
	if !a.used.Fits(a.limit) {
		return 0
	}
	left := a.limit.Sub(a.used)
	room := int64(math.MaxInt32)
	for _, r := range [...]struct{ need, left int64 }{
		{int64(need.CPU), int64(left.CPU)},
		{int64(need.Memory), int64(left.Memory)},
		{int64(need.Accel), int64(left.Accel)},
	} {
		if r.need > 0 {
			room = min(room, r.left/r.need)
		}
	}
	return int(room)
}

// Startable returns how many tasks with the given need may start now. It is Room, but at
// least 1 while the team has nothing running: a task larger than the whole quota would
// otherwise wait forever.
func (a *Account) Startable(need hoist.Resources) int {
	if a.tasks == 0 {
		return max(1, a.Room(need))
	}
	return a.Room(need)
}

// CanStart reports whether n tasks with the given need may start together. It is Startable
// without its divisions, as the scheduler asks for each waiting job in each pass.
func (a *Account) CanStart(need hoist.Resources, n int) bool {
	if a.tasks == 0 && n == 1 {
		return true
	}
	if !a.used.Fits(a.limit) {
		return false
	}
	left, count := a.limit.Sub(a.used), int64(n)
	return int64(need.CPU)*count <= int64(left.CPU) && int64(need.Memory)*count <= int64(left.Memory) && int64(need.Accel)*count <= int64(left.Accel)
}
