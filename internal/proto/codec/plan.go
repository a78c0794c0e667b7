package codec

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// EncodeStoreRow encodes v, one of the types of package rows, as the value of a row
// in the store.
func EncodeStoreRow[T any](v T) []byte {
	// The fields of these types have only types that json.Marshal accepts.
	value, _ := json.Marshal(v)
	return value
}

// DecodeStoreRow decodes the value of a row in the store. It returns hoist.ErrInvalid
// if value is not a valid encoding of T.
func DecodeStoreRow[T any](value []byte) (T, error) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return v, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	return v, nil
}

// EncodePlan encodes a plan as the value of its row. The id of the plan is not
// part of the value: it is the key of the row.
func EncodePlan(p hoist.Plan) []byte {
	return EncodeStoreRow(rows.Plan{
		Queue:       planQueue(p.Queue),
		Team:        string(p.Team),
		Payload:     p.Payload,
		Steps:       Map(p.Steps, planStep),
		Occurrences: p.Occurrences,
		StartMs:     unixMillis(p.Start),
		IntervalMs:  millis(p.Interval),
		AcceptedMs:  unixMillis(p.Accepted),
	})
}

// DecodePlan decodes the plan with the given id. It returns hoist.ErrInvalid if
// value is not a valid encoding.
func DecodePlan(id hoist.JobID, value []byte) (hoist.Plan, error) {
	r, err := DecodeStoreRow[rows.Plan](value)
	if err != nil {
		return hoist.Plan{}, err
	}
	start := timeFromUnixMillis(r.StartMs)
	if r.Occurrences > 0 && r.StartMs == 0 {
		// Here 0 is a time: occurrences may be due since 1970.
		start = time.UnixMilli(0)
	}
	return hoist.Plan{
		ID:          id,
		Queue:       toPlanQueue(r.Queue),
		Team:        hoist.TeamID(r.Team),
		Payload:     r.Payload,
		Steps:       Map(r.Steps, toPlanStep),
		Occurrences: r.Occurrences,
		Start:       start,
		Interval:    durationFromMillis(r.IntervalMs),
		Accepted:    timeFromUnixMillis(r.AcceptedMs),
	}, nil
}

func millis(d time.Duration) int {
	return int(d.Milliseconds())
}

func durationFromMillis(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// unixMillis returns t in Unix milliseconds, or 0 for the zero time.
func unixMillis(t time.Time) int {
	if t.IsZero() {
		return 0
	}
	return int(t.UnixMilli())
}

// timeFromUnixMillis returns the time of a Unix time in milliseconds, or the zero
// time for 0.
func timeFromUnixMillis(ms int) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms))
}

func planQueue(q hoist.Queue) rows.Queue {
	return rows.Queue{
		Name: string(q.Name), Service: string(q.Service), Priority: int(q.Priority),
		MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyMs: millis(q.Latency),
		AdviceBaseUs:      int(q.Advice.Base.Microseconds()),
		AdvicePerWorkerUs: int(q.Advice.PerWorker.Microseconds()),
		AdviceValidMs:     millis(q.Advice.ValidFor),
	}
}

func toPlanQueue(r rows.Queue) hoist.Queue {
	return hoist.Queue{
		Name: hoist.QueueName(r.Name), Service: hoist.ServiceName(r.Service), Priority: hoist.Priority(r.Priority),
		MaxAttempts: r.MaxAttempts, Stretch: r.Stretch, Latency: durationFromMillis(r.LatencyMs),
		Advice: hoist.AdviserConfig{
			Base:      time.Duration(r.AdviceBaseUs) * time.Microsecond,
			PerWorker: time.Duration(r.AdvicePerWorkerUs) * time.Microsecond,
			ValidFor:  durationFromMillis(r.AdviceValidMs),
		},
	}
}

func planStep(s hoist.Step) rows.Step {
	return rows.Step{
		Count: s.Count, CpuMillis: int(s.Need.CPU), MemoryMib: int(s.Need.Memory), Accelerators: int(s.Need.Accel),
		EstimateMs:    millis(s.Estimate),
		After:         Map(s.After, func(no hoist.StepNo) int { return int(no) }),
		SavesProgress: s.SavesProgress, Gang: s.IsGang, SameRack: s.PrefersSameRack,
		Requires: string(s.Requires), Near: string(s.PreferredRack), MaxPerWorker: s.MaxPerWorker,
		MayCopy: s.AllowsSpeculation, Lasting: s.IsLongRunning, Image: string(s.Image),
		TailTargetMs: millis(s.TailLatencyTarget), Filler: s.IsBestEffort, MayMiss: s.MaxUnavailable + 1,
	}
}

func toPlanStep(r rows.Step) hoist.Step {
	return hoist.Step{
		Count: r.Count,
		Need: hoist.Resources{
			CPU: hoist.MilliCPU(r.CpuMillis), Memory: hoist.MiB(r.MemoryMib), Accel: hoist.Accelerators(r.Accelerators),
		},
		Estimate:      durationFromMillis(r.EstimateMs),
		After:         Map(r.After, func(no int) hoist.StepNo { return hoist.StepNo(no) }),
		SavesProgress: r.SavesProgress, IsGang: r.Gang, PrefersSameRack: r.SameRack,
		Requires: hoist.Label(r.Requires), PreferredRack: hoist.RackID(r.Near), MaxPerWorker: r.MaxPerWorker,
		AllowsSpeculation: r.MayCopy, IsLongRunning: r.Lasting, Image: hoist.ImageName(r.Image),
		TailLatencyTarget: durationFromMillis(r.TailTargetMs), IsBestEffort: r.Filler, MaxUnavailable: r.MayMiss - 1,
	}
}

// MaxStateBytes bounds the value of a plan's state. A row of the store holds 65,536 bytes.
const MaxStateBytes = 62_000

// EncodePlanState encodes the state of a plan as the value of its row. The steps have the form
// that all versions read if they fit into a row in it, and the short form otherwise.
func EncodePlanState(s hoist.PlanState) []byte {
	hasEarlier := slices.ContainsFunc(s.Steps, func(step hoist.StepState) bool { return len(step.Earlier) > 0 })
	if !hasEarlier || !isPackable(s.Steps) {
		r := planStateHead(s)
		r.Steps = Map(s.Steps, stepState)
		value := EncodeStoreRow(r)
		if len(value) <= MaxStateBytes || !isPackable(s.Steps) {
			return value
		}
	}
	return EncodeStoreRow(packedState(s))
}

// planStateHead returns the fields of a state besides its steps.
func planStateHead(s hoist.PlanState) rows.PlanState {
	return rows.PlanState{
		Queue: string(s.Queue), Team: string(s.Team), Phase: string(s.Phase), Next: int(s.Next),
		EndedMs: unixMillis(s.Ended), NeverAccepted: s.IsTombstone,
	}
}

// DecodePlanState decodes the state of a plan. It returns hoist.ErrInvalid if
// value is not a valid encoding.
func DecodePlanState(value []byte) (hoist.PlanState, error) {
	r, err := DecodeStoreRow[rows.PlanState](value)
	if err != nil {
		return hoist.PlanState{}, err
	}
	s := hoist.PlanState{
		Queue: hoist.QueueName(r.Queue), Team: hoist.TeamID(r.Team), Phase: hoist.PlanPhase(r.Phase), Next: hoist.Occurrence(r.Next),
		Ended: timeFromUnixMillis(r.EndedMs), IsTombstone: r.NeverAccepted,
	}
	if r.Packed == nil {
		s.Steps = Map(r.Steps, toStepState)
		return s, nil
	}
	if s.Steps, err = unpackSteps(*r.Packed); err != nil {
		return hoist.PlanState{}, err
	}
	return s, nil
}

func invalidf(format string, args ...any) error {
	return merry.Wrap(hoist.ErrInvalid, merry.AppendMessagef(format, args...))
}

func stepState(s hoist.StepState) rows.StepState {
	return rows.StepState{
		Occurrence: int(s.Occurrence), Step: int(s.Step), Done: s.Done,
		Placed: Map(s.Placed, func(p hoist.PlacedRun) rows.Placed {
			return rows.Placed{Index: p.Index, Attempt: int(p.Attempt), Worker: string(p.Worker), Confirmed: p.IsConfirmed}
		}),
		Failed: Map(s.Failed, func(f hoist.FailedRun) rows.Failed {
			return rows.Failed{Index: f.Index, Attempt: int(f.Attempt)}
		}),
		Saved: Map(s.Saved, func(c hoist.SavedProgress) rows.Saved {
			return rows.Saved{Index: c.Index, Checkpoint: string(c.Saved)}
		}),
	}
}

func toStepState(r rows.StepState) hoist.StepState {
	return hoist.StepState{
		Occurrence: hoist.Occurrence(r.Occurrence), Step: hoist.StepNo(r.Step), Done: r.Done,
		Placed: Map(r.Placed, func(p rows.Placed) hoist.PlacedRun {
			return hoist.PlacedRun{
				Index: p.Index, Attempt: hoist.AttemptNo(p.Attempt), Worker: hoist.WorkerID(p.Worker), IsConfirmed: p.Confirmed,
			}
		}),
		Failed: Map(r.Failed, func(f rows.Failed) hoist.FailedRun {
			return hoist.FailedRun{Index: f.Index, Attempt: hoist.AttemptNo(f.Attempt)}
		}),
		Saved: Map(r.Saved, func(c rows.Saved) hoist.SavedProgress {
			return hoist.SavedProgress{Index: c.Index, Saved: hoist.Checkpoint(c.Checkpoint)}
		}),
	}
}
