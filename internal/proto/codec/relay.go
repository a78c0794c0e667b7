package codec

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// RelayRun encodes an attempt in a call through a relay.
func RelayRun(r hoist.TaskRun) rows.RelayRun {
	return rows.RelayRun{
		Job: string(r.Task.Job), Occurrence: int(r.Task.Occurrence), Step: int(r.Task.Step), Index: r.Task.Index, Attempt: int(r.Attempt),
	}
}

// ToTaskRun decodes an attempt in a call through a relay.
func ToTaskRun(r rows.RelayRun) hoist.TaskRun {
	step := hoist.StepRef{Job: hoist.JobID(r.Job), Occurrence: hoist.Occurrence(r.Occurrence), Step: hoist.StepNo(r.Step)}
	return hoist.TaskRun{Task: hoist.TaskRef{StepRef: step, Index: r.Index}, Attempt: hoist.AttemptNo(r.Attempt)}
}

// ClockMicros encodes a time on the clock of a worker.
func ClockMicros(c hoist.WorkerClock) int {
	return int(time.Duration(c).Microseconds())
}

// ToWorkerClock decodes a time on the clock of a worker.
func ToWorkerClock(us int) hoist.WorkerClock {
	return hoist.WorkerClock(time.Duration(us) * time.Microsecond)
}

// RelayReport encodes the report of a worker.
func RelayReport(r hoist.RunnerReport) rows.RelayReport {
	return rows.RelayReport{
		ClockUs: ClockMicros(r.Clock), Incarnation: int(r.Incarnation),
		Running: Map(r.Running, func(s hoist.RunStatus) rows.RelayStatus {
			return rows.RelayStatus{
				Run: RelayRun(s.Run), Saved: string(s.Saved), SpeedLimit: float64(s.SpeedLimit), Measurement: s.Measurement,
			}
		}),
		Ends: Map(r.Ends, func(e hoist.RunEnd) rows.RelayEnd {
			return rows.RelayEnd{No: int(e.No), Run: RelayRun(e.Run), Kind: string(e.Kind), Saved: string(e.Saved)}
		}),
	}
}

// ToRunnerReport decodes the report of a worker.
func ToRunnerReport(r rows.RelayReport) hoist.RunnerReport {
	return hoist.RunnerReport{
		Clock: ToWorkerClock(r.ClockUs), Incarnation: hoist.Incarnation(r.Incarnation),
		Running: Map(r.Running, func(s rows.RelayStatus) hoist.RunStatus {
			return hoist.RunStatus{
				Run: ToTaskRun(s.Run), Saved: hoist.Checkpoint(s.Saved), SpeedLimit: hoist.Percent(s.SpeedLimit), Measurement: s.Measurement,
			}
		}),
		Ends: Map(r.Ends, func(e rows.RelayEnd) hoist.RunEnd {
			return hoist.RunEnd{No: hoist.EndNo(e.No), Run: ToTaskRun(e.Run), Kind: hoist.EndKind(e.Kind), Saved: hoist.Checkpoint(e.Saved)}
		}),
	}
}

// The bounds of a message between an owner and a relay.
const (
	maxRelayItems = 1 << 17
	maxRelayDepth = 16
)

// NewRelayDecoder returns a decoder of the messages between an owner and a relay, which
// are in CBOR: thousands of items a second cost a third of what they do as JSON.
func NewRelayDecoder(r io.Reader) *cbor.Decoder {
	// The options are constant and valid.
	mode, _ := cbor.DecOptions{MaxArrayElements: maxRelayItems, MaxNestedLevels: maxRelayDepth}.DecMode()
	return mode.NewDecoder(r)
}

// EncodeRelayMessage encodes calls through a relay or their answers.
func EncodeRelayMessage[T rows.RelayCalls | rows.RelayAnswers](v T) ([]byte, error) {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return nil, hoist.ConvertError(hoist.ErrInvalid, err)
	}
	return encoded, nil
}
