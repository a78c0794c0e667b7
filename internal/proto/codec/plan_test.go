package codec_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// TestPlanRoundTrip guards against fields of plans and plan states that are lost
// when they are encoded and decoded.
func TestPlanRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(name string) int { return rapid.IntRange(0, 5000).Draw(t, name) }
		yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
		p := hoist.Plan{
			ID: "p", Payload: rapid.String().Draw(t, "payload"), Occurrences: n("occurrences"),
			Start: time.UnixMilli(int64(1 + n("start"))), Interval: time.Duration(n("interval")) * time.Millisecond,
			Accepted: time.UnixMilli(int64(1 + n("accepted"))),
			Queue: hoist.Queue{
				Name: "q", Service: "s", Priority: -hoist.Priority(n("priority")), MaxAttempts: n("attempts"), Stretch: 1.5,
				Latency: time.Duration(n("latency")) * time.Millisecond,
				Advice: hoist.AdviserConfig{
					Base: time.Duration(n("base")) * time.Microsecond, PerWorker: time.Duration(n("each")) * time.Microsecond,
					ValidFor: time.Duration(n("valid")) * time.Millisecond,
				},
			},
			Steps: []hoist.Step{{
				Count: n("count"), Need: hoist.Resources{CPU: 1, Memory: 2, Accel: 3}, Estimate: time.Duration(n("estimate")) * time.Millisecond,
				After: []hoist.StepNo{hoist.StepNo(n("after"))}, SavesProgress: yes("saves"), IsGang: yes("gang"), PrefersSameRack: yes("rack"),
				Requires: "l", PreferredRack: "r", MaxPerWorker: n("max"), AllowsSpeculation: yes("copy"), IsLongRunning: yes("lasting"), Image: "i",
				TailLatencyTarget: time.Duration(n("target")) * time.Millisecond, IsBestEffort: yes("filler"), MaxUnavailable: n("miss") - 1,
			}},
		}
		got, err := codec.DecodePlan("p", codec.EncodePlan(p))
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(got, p)
		s := hoist.PlanState{
			Queue: "q", Phase: hoist.PlanRunning, Next: hoist.Occurrence(n("next")), Ended: time.UnixMilli(int64(1 + n("ended"))),
			Steps: []hoist.StepState{{
				Occurrence: hoist.Occurrence(n("k")), Step: hoist.StepNo(n("step")), Done: []int{n("done")},
				Placed: []hoist.PlacedRun{{Index: n("index"), Attempt: hoist.AttemptNo(n("attempt")), Worker: "w"}},
				Failed: []hoist.FailedRun{{Index: n("index"), Attempt: hoist.AttemptNo(n("attempt"))}},
				Saved:  []hoist.SavedProgress{{Index: n("index"), Saved: "c"}},
			}},
		}
		state, err := codec.DecodePlanState(codec.EncodePlanState(s))
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(state, s)
	})
}

// TestInvalidRowsAreRefused guards against invalid rows that are decoded as empty
// plans or plan states.
func TestInvalidRowsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", "{", "[]", `{"steps":7}`} {
		_, err := codec.DecodePlan("p", []byte(value))
		is.True(errors.Is(err, hoist.ErrInvalid))
		_, err = codec.DecodePlanState([]byte(value))
		is.True(errors.Is(err, hoist.ErrInvalid))
	}
}
