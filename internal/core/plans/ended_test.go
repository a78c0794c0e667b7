package plans

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// wantGone fails the test unless a row does not exist.
func (q *quarantineTest) wantGone(ref hoist.RowRef) {
	q.t.Helper()
	row, err := q.store.Get(q.t.Context(), ref)
	is.New(q.t).NoErr(err)
	is.New(q.t).Equal(row.Version, hoist.RowVersion(0))
}

// TestEndedPlanIsRemoved guards against the row of a plan that stays after the plan has ended,
// and that a later owner takes for a new plan once the state has expired.
func TestEndedPlanIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantineTest(t)
		q.accept(goodID, "q", 1)
		part := keys.PartsOf(goodID)[0]
		// The earlier owner was lost while a superseded attempt still ran.
		ended := hoist.PlanState{Queue: "q", Phase: hoist.PlanDone, Next: 1, Ended: time.Now(), Steps: []hoist.StepState{{Done: []int{0}}}}
		q.commit(hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.State(part, goodID), Value: codec.EncodePlanState(ended)}}})
		q.run()
		q.wantGone(keys.Plan(part, goodID))
		is.New(t).Equal(q.phase(goodID), hoist.PlanDone)
	})
}

// TestTombstoneExpires guards against rows of cancelled submissions that are never removed.
func TestTombstoneExpires(t *testing.T) {
	for name, isEarlier := range map[string]bool{"written before the owner began": true, "written while it acts": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantineTest(t)
				part := keys.PartsOf(goodID)[0]
				tombstone := hoist.PlanState{Queue: "q", Phase: hoist.PlanCancelled, Ended: time.Now(), IsTombstone: true}
				write := func() {
					q.commit(hoist.Transaction{Writes: []hoist.Write{
						{RowRef: keys.State(part, goodID), Value: codec.EncodePlanState(tombstone)},
						{RowRef: keys.Cancel(part, goodID), Value: []byte(keys.TombstoneCancel)},
					}})
				}
				if isEarlier {
					write()
				}
				q.run(func(*Driver) {
					if !isEarlier {
						write()
					}
					time.Sleep(30 * time.Second)
					is.New(t).Equal(q.phase(goodID), hoist.PlanCancelled)
					time.Sleep(40 * time.Second)
				})
				q.wantGone(keys.State(part, goodID))
				q.wantGone(keys.Cancel(part, goodID))
			})
		})
	}
}
