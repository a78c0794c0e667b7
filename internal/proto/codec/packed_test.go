package codec_test

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/limit"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// packedState returns a state of a plan with steps of four tasks, in the form and order in
// which the scheduler records it. It has an entry that only the short form can hold.
func packedState(t *rapid.T) hoist.PlanState {
	const count = 4
	s := hoist.PlanState{Queue: "q", Team: "t", Phase: hoist.PlanRunning, Next: 9}
	for _, k := range rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 1, 3, rapid.ID[int]).Draw(t, "occurrences") {
		for no := range rapid.IntRange(2, 2).Draw(t, "steps") {
			s.Steps = append(s.Steps, stepOf(t, hoist.Occurrence(k), hoist.StepNo(no), count))
		}
	}
	s.Steps[0].Earlier = append(s.Steps[0].Earlier, hoist.EarlierFailures{Index: count, Count: 3})
	return s
}

func stepOf(t *rapid.T, k hoist.Occurrence, no hoist.StepNo, count int) hoist.StepState {
	step := hoist.StepState{
		Occurrence: k, Step: no, Done: []int{}, Placed: []hoist.PlacedRun{}, Failed: []hoist.FailedRun{}, Saved: []hoist.SavedProgress{},
	}
	attempt := func() hoist.AttemptNo { return hoist.AttemptNo(rapid.Uint64Range(1, 1<<40).Draw(t, "attempt")) }
	for i := range count {
		if rapid.Bool().Draw(t, "done") {
			step.Done = append(step.Done, i)
			continue
		}
		if rapid.Bool().Draw(t, "placed") {
			name := rapid.SampledFrom([]hoist.WorkerID{"w1", "w2", "w3"}).Draw(t, "worker")
			step.Placed = append(step.Placed, hoist.PlacedRun{Index: i, Attempt: attempt(), Worker: name})
		}
		failed := []hoist.AttemptNo{}
		for range rapid.IntRange(0, 2).Draw(t, "failed") {
			failed = append(failed, attempt())
		}
		slices.Sort(failed)
		for _, a := range failed {
			step.Failed = append(step.Failed, hoist.FailedRun{Index: i, Attempt: a})
		}
		if n := rapid.IntRange(0, 2).Draw(t, "earlier"); n > 0 {
			step.Earlier = append(step.Earlier, hoist.EarlierFailures{Index: i, Count: n})
		}
		if rapid.Bool().Draw(t, "saved") {
			step.Saved = append(step.Saved, hoist.SavedProgress{Index: i, Saved: hoist.Checkpoint(rapid.String().Draw(t, "checkpoint"))})
		}
	}
	return step
}

// TestPackedStateRoundTrip guards against entries of a state that are lost or changed in the
// short form.
func TestPackedStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := packedState(t)
		value := codec.EncodePlanState(s)
		if !strings.Contains(string(value), `"packed"`) {
			t.Fatalf("the state is not in the short form: %s", value)
		}
		got, err := codec.DecodePlanState(value)
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(got, s)
	})
}

// TestEarlierVersionRefusesShortForm guards against an owner of the previous version, which
// does not know the short form, that takes the state for one in which everything is done.
func TestEarlierVersionRefusesShortForm(t *testing.T) {
	is := is.New(t)
	p := hoist.Plan{Steps: []hoist.Step{{Count: 4}}}
	value := codec.EncodePlanState(hoist.PlanState{
		Queue: "q", Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{{Earlier: []hoist.EarlierFailures{{Index: 1, Count: 2}}}},
	})
	var fields map[string]json.RawMessage
	is.NoErr(json.Unmarshal(value, &fields))
	delete(fields, "packed")
	withoutPacked, err := json.Marshal(fields)
	is.NoErr(err)
	got, err := codec.DecodePlanState(withoutPacked)
	is.NoErr(err)
	is.Equal(got.Phase, hoist.PlanRunning) // a host that only shows the phase can read it
	is.True(errors.Is(limit.CheckState(p, got), hoist.ErrInvalid))
}

// TestSmallStateKeepsItsForm guards against states that an owner of the previous version would
// refuse although they fit into a row in the form that it reads.
func TestSmallStateKeepsItsForm(t *testing.T) {
	is := is.New(t)
	state := func(n int) hoist.PlanState {
		step := hoist.StepState{Done: []int{}, Failed: []hoist.FailedRun{}, Saved: []hoist.SavedProgress{}}
		for i := range n {
			step.Placed = append(step.Placed, hoist.PlacedRun{Index: i, Attempt: 1 << 20, Worker: "i-0a1b2c3d4e5f67890"})
		}
		return hoist.PlanState{Queue: "q", Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{step}}
	}
	is.True(!strings.Contains(string(codec.EncodePlanState(state(600))), "packed"))
	large := codec.EncodePlanState(state(2000))
	is.True(strings.Contains(string(large), "packed"))
	is.True(len(large) <= codec.MaxStateBytes)
	got, err := codec.DecodePlanState(large)
	is.NoErr(err)
	is.Equal(got, state(2000))
}

// TestOddShortFormIsRefused guards against numbers in a stored state that stand for tasks or
// names that do not exist, or for so many that an owner runs out of memory.
func TestOddShortFormIsRefused(t *testing.T) {
	const good = `{"occurrences":[0],"steps":1,"widths":[2],"done":[],"workers":["w"],"placed":[1,0,0],"failed":[],"earlier":[],"checkpoints":[],"saved":[]}`
	decode := func(packed string) error {
		_, err := codec.DecodePlanState([]byte(`{"queue":"q","phase":"running","next":1,"ended-ms":0,"steps":[],"packed":` + packed + `}`))
		return err
	}
	is.New(t).NoErr(decode(good))
	for _, change := range [][2]string{
		{`"widths":[2]`, `"widths":[900000000]`},
		{`"widths":[2]`, `"widths":[]`},
		{`"widths":[2]`, `"widths":[-1]`},
		{`"steps":1`, `"steps":0`},
		{`"done":[]`, `"done":[0,900000000000]`},
		{`"done":[]`, `"done":[-1,1]`},
		{`"done":[]`, `"done":[1]`},
		{`"done":[]`, `"done":[1,2]`},
		{`"placed":[1,0,0]`, `"placed":[1,0,1]`},
		{`"placed":[1,0,0]`, `"placed":[1,2,0]`},
		{`"placed":[1,0,0]`, `"placed":[1,0]`},
		{`"saved":[]`, `"saved":[0,0]`},
		{`"earlier":[]`, `"earlier":[2,1]`},
		{`"failed":[]`, `"failed":[1,-1]`},
	} {
		t.Run(change[1], func(t *testing.T) {
			is.New(t).True(errors.Is(decode(strings.Replace(good, change[0], change[1], 1)), hoist.ErrInvalid))
		})
	}
}
