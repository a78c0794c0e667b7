package plans

import (
	"bytes"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/core/quar"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/decide/sched"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// FuzzStoredPlan guards against rows of a plan and its state that make an owner panic,
// that are accepted beyond the limits, or whose encoding changes each time they are
// stored.
func FuzzStoredPlan(f *testing.F) {
	plan := hoist.Plan{ID: "p", Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 2, MaxUnavailable: -1}}}
	state := hoist.PlanState{Queue: "q", Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{
		Done: []int{0}, Placed: []hoist.PlacedRun{{Index: 1, Attempt: 1, Worker: "w"}}, Failed: []hoist.FailedRun{{Index: 1, Attempt: 1}},
	}}}
	f.Add(codec.EncodePlan(plan), codec.EncodePlanState(state))
	f.Add([]byte(`{"occurrences":1000000000,"steps":[{"count":2000}]}`), []byte(`{"phase":"queued","next":-1}`))
	f.Fuzz(func(t *testing.T, planRow, stateRow []byte) {
		d := &Driver{Limits: limit.DefaultPlans, Queue: func(hoist.QueueName) (hoist.Queue, bool) { return hoist.Queue{}, false }}
		ref := keys.State("00", "p")
		states := map[hoist.RowRef]hoist.StoredRow{ref: {RowRef: ref, Value: stateRow, Version: 2}}
		stored, err := d.decodePlan(hoist.StoredRow{RowRef: keys.Plan("00", "p"), Value: planRow, Version: 1}, states)
		if err != nil {
			return
		}
		now := time.UnixMilli(1_800_000_000_000)
		sc := sched.NewScheduler(1, now)
		sc.Restore(stored.plan, *stored.state, stored.version, now)
		sc.Tick(now)
		sc.Pass(now, func(time.Duration, time.Time) (hoist.HostID, bool) { return "", false })
		for _, u := range sc.Unrecorded("00", true, 1, now) {
			encoded := codec.EncodePlanState(u.State)
			again, err := codec.DecodePlanState(encoded)
			if err != nil || limit.CheckState(stored.plan, again) != nil || !bytes.Equal(codec.EncodePlanState(again), encoded) {
				t.Fatalf("state %s is not stable (%v)", encoded, err)
			}
		}
	})
}

// FuzzCellRows guards against rows of the owner, its renewal, a host or a quarantine
// that make a host panic.
func FuzzCellRows(f *testing.F) {
	f.Add([]byte(`{"host":"h","epoch":1,"addr":"a","term":1,"weight":1,"released":false}`))
	f.Add([]byte(`{"queue":"q","reason":"r","failures":-1,"held":true,"at-ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		// Only a panic is a failure: each of these may refuse the row.
		_, _ = codec.DecodeStoreRow[rows.Owner](value)
		_, _ = codec.DecodeStoreRow[rows.Beat](value)
		_, _ = codec.DecodeStoreRow[rows.Host](value)
		e, ok := quar.Decode(hoist.StoredRow{RowRef: keys.Quarantine("00", "p"), Value: value})
		if !ok || e.Ref.Job != "p" {
			t.Fatalf("the row of a quarantine names %+v", e.Ref)
		}
	})
}
