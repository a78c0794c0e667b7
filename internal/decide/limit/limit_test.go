package limit_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/limit"
)

var accepted = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// plan returns a valid plan of two steps, three occurrences included.
func plan() hoist.Plan {
	need := hoist.Resources{CPU: 500, Memory: 256}
	return hoist.Plan{
		ID: "p", Accepted: accepted, Payload: "x", Occurrences: 3, Start: accepted, Interval: time.Second,
		Steps: []hoist.Step{
			{Count: 4, Need: need, MaxUnavailable: -1},
			{Count: 2, Need: need, After: []hoist.StepNo{0}, MaxUnavailable: -1},
		},
	}
}

// wantViolation fails the test unless err names the field.
func wantViolation(t *testing.T, err error, field limit.Field) {
	t.Helper()
	var v *limit.Violation
	if !errors.As(err, &v) || v.Field != field {
		t.Fatalf("error %v, expected a violation of %s", err, field)
	}
	is.New(t).True(errors.Is(err, hoist.ErrInvalid))
}

// TestPlanLimits guards against values of a plan that overflow a sum, exhaust memory
// or index a step that does not exist.
func TestPlanLimits(t *testing.T) {
	is.New(t).NoErr(limit.DefaultPlans.Check(plan()))
	cases := []struct {
		name   string
		field  limit.Field
		change func(p *hoist.Plan)
	}{
		{"no step", limit.FieldSteps, func(p *hoist.Plan) { p.Steps = nil }},
		{"too many steps", limit.FieldSteps, func(p *hoist.Plan) { p.Steps = make([]hoist.Step, 201) }},
		{"no task", limit.FieldCount, func(p *hoist.Plan) { p.Steps[1].Count = 0 }},
		{"negative count", limit.FieldCount, func(p *hoist.Plan) { p.Steps[1].Count = -1 }},
		{"too many tasks in a step", limit.FieldCount, func(p *hoist.Plan) { p.Steps[1].Count = 3_000_000 }},
		{"too many tasks", limit.FieldTasks, func(p *hoist.Plan) { p.Steps[0].Count, p.Steps[1].Count = 1500, 501 }},
		{"gang that does not fit into a row", limit.FieldCount, func(p *hoist.Plan) { p.Steps[0].IsGang, p.Steps[0].Count = true, 301 }},
		{"negative CPU", limit.FieldCPU, func(p *hoist.Plan) { p.Steps[0].Need.CPU = -1 }},
		{"CPU that overflows a sum", limit.FieldCPU, func(p *hoist.Plan) { p.Steps[0].Need.CPU = math.MaxInt64 }},
		{"negative memory", limit.FieldMemory, func(p *hoist.Plan) { p.Steps[0].Need.Memory = -1 }},
		{"negative accelerators", limit.FieldAccelerators, func(p *hoist.Plan) { p.Steps[0].Need.Accel = -1 }},
		{"endless estimate", limit.FieldEstimate, func(p *hoist.Plan) { p.Steps[0].Estimate = math.MaxInt64 }},
		{"negative estimate", limit.FieldEstimate, func(p *hoist.Plan) { p.Steps[0].Estimate = -1 }},
		{"negative target", limit.FieldTailTarget, func(p *hoist.Plan) { p.Steps[0].TailLatencyTarget = -1 }},
		{"negative tasks per worker", limit.FieldMaxPerWorker, func(p *hoist.Plan) { p.Steps[0].MaxPerWorker = -1 }},
		{"negative unavailable tasks", limit.FieldMaxUnavailable, func(p *hoist.Plan) { p.Steps[0].MaxUnavailable = -2 }},
		{"step after itself", limit.FieldAfter, func(p *hoist.Plan) { p.Steps[1].After = []hoist.StepNo{1} }},
		{"step after a negative one", limit.FieldAfter, func(p *hoist.Plan) { p.Steps[1].After = []hoist.StepNo{-1} }},
		{"first step after another", limit.FieldAfter, func(p *hoist.Plan) { p.Steps[0].After = []hoist.StepNo{0} }},
		{"long label", limit.FieldRequires, func(p *hoist.Plan) { p.Steps[0].Requires = hoist.Label(strings.Repeat("l", 201)) }},
		{"long payload", limit.FieldPayload, func(p *hoist.Plan) { p.Payload = strings.Repeat("x", 8193) }},
		{"a billion occurrences", limit.FieldOccurrences, func(p *hoist.Plan) { p.Occurrences = 1_000_000_000 }},
		{"negative occurrences", limit.FieldOccurrences, func(p *hoist.Plan) { p.Occurrences = -1 }},
		{"negative interval", limit.FieldInterval, func(p *hoist.Plan) { p.Interval = -1 }},
		{"occurrences beyond all times", limit.FieldInterval, func(p *hoist.Plan) { p.Interval = math.MaxInt64 / 2 }},
		{"start beyond all times", limit.FieldStart, func(p *hoist.Plan) { p.Start = time.UnixMilli(math.MaxInt64) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := plan()
			c.change(&p)
			wantViolation(t, limit.DefaultPlans.Check(p), c.field)
		})
	}
	t.Run("what the platform allows", func(t *testing.T) {
		p := plan()
		p.Payload, p.Interval, p.Occurrences, p.Start = strings.Repeat("x", 4000), 0, 5, time.UnixMilli(1)
		is.New(t).NoErr(limit.DefaultPlans.Check(p))
	})
}

// TestStateLimits guards against a recorded state that refers to steps, tasks or
// attempts that its plan does not have.
func TestStateLimits(t *testing.T) {
	state := func() hoist.PlanState {
		return hoist.PlanState{Phase: hoist.PlanRunning, Next: 1, Steps: []hoist.StepState{
			{Step: 0, Done: []int{0}, Placed: []hoist.PlacedRun{{Index: 1, Attempt: 1, Worker: "w"}}}, {Step: 1},
		}}
	}
	is.New(t).NoErr(limit.CheckState(plan(), state()))
	cases := map[string]func(s *hoist.PlanState){
		"unknown phase":          func(s *hoist.PlanState) { s.Phase = "odd" },
		"next out of range":      func(s *hoist.PlanState) { s.Next = 4 },
		"negative step":          func(s *hoist.PlanState) { s.Steps[0].Step = -1 },
		"unknown step":           func(s *hoist.PlanState) { s.Steps[0].Step = 2 },
		"occurrence not begun":   func(s *hoist.PlanState) { s.Steps[0].Occurrence = 1 },
		"step twice":             func(s *hoist.PlanState) { s.Steps[1].Step = 0 },
		"step missing":           func(s *hoist.PlanState) { s.Steps = s.Steps[:1] },
		"task out of range":      func(s *hoist.PlanState) { s.Steps[0].Done[0] = 4 },
		"placed out of range":    func(s *hoist.PlanState) { s.Steps[0].Placed[0].Index = -1 },
		"placed without worker":  func(s *hoist.PlanState) { s.Steps[0].Placed[0].Worker = "" },
		"attempt out of range":   func(s *hoist.PlanState) { s.Steps[0].Placed[0].Attempt = math.MaxUint64 },
		"failed task that isn't": func(s *hoist.PlanState) { s.Steps[0].Failed = []hoist.FailedRun{{Index: 9, Attempt: 1}} },
		"saved task that isn't":  func(s *hoist.PlanState) { s.Steps[0].Saved = []hoist.SavedProgress{{Index: 9}} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := state()
			change(&s)
			is.New(t).True(errors.Is(limit.CheckState(plan(), s), hoist.ErrInvalid))
		})
	}
}

// TestWorkerLimits guards against registry entries that would be polled at an address
// that is none, or add a capacity that is none.
func TestWorkerLimits(t *testing.T) {
	entry := func() hoist.WorkerEntry {
		return hoist.WorkerEntry{Worker: "i-1", Addr: "10.0.0.1:80", Capacity: hoist.Resources{CPU: 16000, Memory: 32768}}
	}
	is.New(t).NoErr(limit.CheckWorker(entry()))
	for _, addr := range []string{
		"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "host:80",
		"0.0.0.0:80", "224.0.0.1:80", "10.0.0.1:80/x", "http://10.0.0.1:80", "10.0.0.256:80",
	} {
		t.Run("address "+addr, func(t *testing.T) {
			e := entry()
			e.Addr = addr
			wantViolation(t, limit.CheckWorker(e), "address")
		})
	}
	changes := map[string]func(e *hoist.WorkerEntry){
		"negative CPU":           func(e *hoist.WorkerEntry) { e.Capacity.CPU = -1 },
		"CPU overflows a sum":    func(e *hoist.WorkerEntry) { e.Capacity.CPU = math.MaxInt64 },
		"negative memory":        func(e *hoist.WorkerEntry) { e.Capacity.Memory = -1 },
		"negative accelerators":  func(e *hoist.WorkerEntry) { e.Capacity.Accel = -1 },
		"negative time left":     func(e *hoist.WorkerEntry) { e.Remaining = -1 },
		"endless time left":      func(e *hoist.WorkerEntry) { e.Remaining = math.MaxInt64 },
		"thousands of labels":    func(e *hoist.WorkerEntry) { e.Labels = make([]hoist.Label, 5000) },
		"label of a million":     func(e *hoist.WorkerEntry) { e.Labels = []hoist.Label{hoist.Label(strings.Repeat("l", 1_000_000))} },
		"accelerators in excess": func(e *hoist.WorkerEntry) { e.Capacity.Accel = 1 << 40 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			e := entry()
			change(&e)
			is.New(t).True(errors.Is(limit.CheckWorker(e), hoist.ErrInvalid))
		})
	}
}
