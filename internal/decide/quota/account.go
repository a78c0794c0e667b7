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
	// arriving counts the charged tasks whose start may still arrive.
	arriving int
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

// ExpectStart records that the start of a charged task may still arrive.
func (a *Account) ExpectStart() {
	a.arriving++
}

// SettleStart undoes ExpectStart: the task has started, or certainly does not start.
func (a *Account) SettleStart() {
	a.arriving--
}

// HasArriving reports whether the start of any charged task may still arrive.
func (a *Account) HasArriving() bool {
	return a.arriving > 0
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
// least 1 if one task may start whatever it needs.
func (a *Account) Startable(need hoist.Resources) int {
	if a.MayExceed() {
		return max(1, a.Room(need))
	}
	return a.Room(need)
}

// CanStart reports whether n tasks with the given need may start together. It is Startable
// without its divisions, as the scheduler asks for each waiting job in each pass.
func (a *Account) CanStart(need hoist.Resources, n int) bool {
	if n == 1 && a.MayExceed() {
		return true
	}
	if !a.used.Fits(a.limit) {
		return false
	}
	left, count := a.limit.Sub(a.used), int64(n)
	return int64(need.CPU)*count <= int64(left.CPU) && int64(need.Memory)*count <= int64(left.Memory) && int64(need.Accel)*count <= int64(left.Accel)
}

// MayExceed reports whether one task may start that exceeds the quota: the team has nothing
// running, or less than half of its quota of each resource. No task may wait while its team
// uses less than half. A start that still arrives must not find the quota exceeded, so there
// may be none.
func (a *Account) MayExceed() bool {
	return a.tasks == 0 || a.arriving == 0 && a.isBelowHalf(a.used)
}

// AwaitsArrivals reports whether MayExceed is false only because starts may still arrive.
func (a *Account) AwaitsArrivals() bool {
	return a.arriving > 0 && a.isBelowHalf(a.used)
}

// MaySend reports whether the start of a charged task may be sent: the quota may have been
// lowered since it was chosen.
func (a *Account) MaySend(need hoist.Resources) bool {
	return a.used.Fits(a.limit) || a.tasks == 1 || a.arriving == 1 && a.isBelowHalf(a.used.Sub(need))
}

// isBelowHalf reports whether an amount is less than half of the quota of each resource.
func (a *Account) isBelowHalf(used hoist.Resources) bool {
	left := a.limit.Sub(used)
	return used.CPU < left.CPU && used.Memory < left.Memory && used.Accel < left.Accel
}
