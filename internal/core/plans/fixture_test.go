package plans

import (
	"context"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/memory"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// commit commits a transaction, which must succeed.
func commit(t *testing.T, store *memory.Store, txn hoist.Transaction) hoist.RowVersion {
	t.Helper()
	version, err := store.Commit(context.Background(), txn)
	is.New(t).NoErr(err)
	return version
}

// writeFences writes the fences of all parts, as a claim does, and returns their version.
func writeFences(t *testing.T, store *memory.Store) hoist.RowVersion {
	t.Helper()
	var fences hoist.Transaction
	for _, part := range keys.Parts() {
		fences.Writes = append(fences.Writes, hoist.Write{RowRef: keys.Fence(part)})
	}
	return commit(t, store, fences)
}

// accept records a plan in a part, as a host does that accepts it.
func accept(t *testing.T, store *memory.Store, part hoist.PartName, p hoist.Plan) {
	t.Helper()
	queued := codec.EncodePlanState(hoist.PlanState{Queue: p.Queue.Name, Phase: hoist.PlanQueued})
	acceptRow(t, store, part, p.ID, codec.EncodePlan(p), queued)
}

// acceptRow records the rows of a plan and its state.
func acceptRow(t *testing.T, store *memory.Store, part hoist.PartName, id hoist.JobID, plan, state []byte) {
	t.Helper()
	commit(t, store, hoist.Transaction{Writes: []hoist.Write{
		{RowRef: keys.Plan(part, id), Value: plan}, {RowRef: keys.State(part, id), Value: state},
	}})
}
