// Package keys lays out the rows that the scheduler of plans keeps in the
// platform's store.
//
// # Usage
//
//	ref := keys.State(keys.PartsOf(id)[0], id)
//
// # Layout
//
// The plans are spread over parts by their id, so that the store can work on
// them at the same time. Each part has a fence row, which only a new owner of
// the cell writes: a transaction that expects the version of the fence has no
// effect once there is a later owner.
//
// A plan whose home part cannot be written is accepted in a spare part. If it was
// accepted in several, as an answer was lost or it was handed in again, the owner
// runs one of them and removes the others, which have not begun.
//
//	table  part   key          value
//	cell   ""     owner        who owns the cell, in which term
//	cell   ""     beat         written by the owner while it lives
//	cell   <part> fence        the term of the owner
//	hosts  ""     <host>       where a host serves the others
//	plans  <part> <id>         an accepted plan, until nothing of it runs
//	plans  <part> <id>/cancel  the plan is to be cancelled
//	states <part> <id>         what became of the plan
package keys

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	hoist "fuchsiahoist.example/hoist"
)

// The tables.
const (
	Cell   hoist.TableName = "cell"
	Hosts  hoist.TableName = "hosts"
	Plans  hoist.TableName = "plans"
	States hoist.TableName = "states"
)

// The rows of the cell as a whole.
var (
	Owner   = hoist.RowRef{Table: Cell, Key: "owner"}
	Renewal = hoist.RowRef{Table: Cell, Key: "beat"}
)

const cancelSuffix = "/cancel"

// numParts is the number of parts. While the store is slow, each part takes only
// a few transactions a second.
const numParts = 32

// Parts returns the parts that plans are spread over.
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

// numCopies is how many parts a plan can be recorded in. With a third of the parts
// away, one plan in 27 finds none of three.
const numCopies = 3

// PartsOf returns the parts in which a plan can be recorded: its home first, then
// its spare parts, for while the earlier ones cannot be written.
func PartsOf(id hoist.JobID) []hoist.PartName {
	var out []hoist.PartName
	for i := 0; len(out) < numCopies; i++ {
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

// Plan returns the row of a plan that is accepted in a part.
func Plan(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	return hoist.RowRef{Table: Plans, Part: part, Key: hoist.RowKey(id)}
}

// Cancel returns the row that asks for the cancellation of a plan.
func Cancel(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	ref := Plan(part, id)
	ref.Key += cancelSuffix
	return ref
}

// CancelOf returns the plan whose cancellation a row of the table of plans asks
// for.
func CancelOf(key hoist.RowKey) (hoist.JobID, bool) {
	id, isCancel := strings.CutSuffix(string(key), cancelSuffix)
	return hoist.JobID(id), isCancel
}

// State returns the row of what became of a plan.
func State(part hoist.PartName, id hoist.JobID) hoist.RowRef {
	return hoist.RowRef{Table: States, Part: part, Key: hoist.RowKey(id)}
}
