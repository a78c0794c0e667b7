// Package keys defines the keys of the rows that the scheduler of plans keeps in the
// platform's store.
//
// # Usage
//
//	ref := keys.State(keys.PartsOf(id)[0], id)
//
// # Layout
//
// The plans are distributed over parts by the hash of their id, so that the store can
// process them in parallel. Each part has a fence row, which only a new owner of the
// cell writes: a transaction that expects the version of the fence has no effect once
// there is a later owner.
//
// A plan whose home part cannot be written is accepted in a spare part. If it was
// accepted in several parts, because an answer was lost or it was submitted again, the
// owner runs one copy and removes the others, which have not started.
//
//	table  part   key          value
//	cell   ""     owner        the host that owns the cell, and its term
//	cell   ""     beat         the renewal row, which the owner writes regularly
//	leases ""     account      the leases that workers may hold
//	cell   <part> fence        the owner and its term
//	hosts  ""     <host>       the address of a host for the other hosts
//	plans  <part> <id>         an accepted plan, until it has ended and nothing runs
//	plans  <part> <id>/cancel  a request to cancel the plan
//	plans  <part> <id>/quarantine  the plan is not handled, and why
//	states <part> <id>         the state of the plan
package keys

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Names of the tables.
const (
	Cell   hoist.TableName = "cell"
	Leases hoist.TableName = "leases"
	Hosts  hoist.TableName = "hosts"
	Plans  hoist.TableName = "plans"
	States hoist.TableName = "states"
)

// The rows of the cell as a whole.
var (
	Owner   = hoist.RowRef{Table: Cell, Key: "owner"}
	Renewal = hoist.RowRef{Table: Cell, Key: "beat"}
	// LeaseAccount has a table of its own, as hosts that follow the owner read the whole
	// table of the cell.
	LeaseAccount = hoist.RowRef{Table: Leases, Key: "account"}
)

const (
	cancelSuffix     = "/cancel"
	quarantineSuffix = "/quarantine"
)

// numParts is the number of parts. While the store is slow, each part accepts only a few
// transactions a second, so many parts are needed.
const numParts = 32

// Parts returns the parts that plans are distributed over.
func Parts() []hoist.PartName {
	parts := make([]hoist.PartName, numParts)
	for i := range parts {
		parts[i] = partName(i)
	}
	return parts
}

func partName(i int) hoist.PartName {
	return hoist.PartName(fmt.Sprintf("%02x", i))
}

// partsPerPlan is the number of parts in which a plan can be recorded. With a third of
// the parts unavailable, one plan in 27 finds none of three parts available.
const partsPerPlan = 3

// PartsOf returns the parts in which a plan can be recorded: its home part first, then
// its spare parts, each of which is used while those before it cannot be written.
func PartsOf(id hoist.JobID) []hoist.PartName {
	var out []hoist.PartName
	for i := 0; len(out) < partsPerPlan; i++ {
		part := partName(int(xxhash.Sum64String(fmt.Sprintf("%s/%d", id, i)) % numParts))
		if !slices.Contains(out, part) {
			out = append(out, part)
		}
	}
	return out
}

// Fence returns the fence row of a part.
func Fence(part hoist.PartName) hoist.RowRef {
	return hoist.RowRef{Table: Cell, Part: part, Key: "fence"}
}

// Host returns the row of a host.
func Host(id hoist.HostID) hoist.RowRef {
	return hoist.RowRef{Table: Hosts, Key: hoist.RowKey(id)}
}

// Plan returns the row of a plan that was accepted in a part.
func Plan(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	return hoist.RowRef{Table: Plans, Part: part, Key: hoist.RowKey(id)}
}

// Cancel returns the row that requests the cancellation of a plan.
func Cancel(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	ref := Plan(part, id)
	ref.Key += cancelSuffix
	return ref
}

// TombstoneCancel is the value of a row that requests the cancellation of a plan that has not
// been accepted. Nothing refers to the plan but this row and its state.
const TombstoneCancel = `{"never-accepted":true}`

// CancelOf returns the plan whose cancellation a row of the table of plans requests. It
// reports false if the row is that of a plan.
func CancelOf(key hoist.RowKey) (hoist.JobID, bool) {
	id, isCancel := strings.CutSuffix(string(key), cancelSuffix)
	return hoist.JobID(id), isCancel
}

// Quarantine returns the row that tells that a plan is quarantined.
func Quarantine(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	ref := Plan(part, id)
	ref.Key += quarantineSuffix
	return ref
}

// QuarantineOf returns the plan to whose quarantine a row of the table of plans
// belongs. It reports false if the row is another one.
func QuarantineOf(key hoist.RowKey) (hoist.JobID, bool) {
	id, ok := strings.CutSuffix(string(key), quarantineSuffix)
	return hoist.JobID(id), ok
}

// State returns the row with the state of a plan.
func State(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	return hoist.RowRef{Table: States, Part: part, Key: hoist.RowKey(id)}
}
