// Package limit decides which plans, recorded states and workers the scheduler
// accepts. Their values come from other parties: a value that is out of range
// could overflow a sum, exhaust memory or exceed the size of a row, and so stop
// every owner of the cell one after the other.
//
// # Usage
//
//	limits := limit.DefaultPlans
//	if err := limits.Check(plan); err != nil {
//		return err // a *limit.Violation, which is a hoist.ErrInvalid
//	}
//
// The limits of plans are settings of a host; docs/configuration.md lists them.
package limit

import (
	"cmp"
	"fmt"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Field names a field that is checked. Fields of a step are relative to it.
type Field string

// The fields of a plan and of its steps.
const (
	FieldSteps          Field = "steps"
	FieldTasks          Field = "tasks"
	FieldPayload        Field = "payload"
	FieldOccurrences    Field = "occurrences"
	FieldStart          Field = "start"
	FieldInterval       Field = "interval"
	FieldCount          Field = "count"
	FieldCPU            Field = "cpu"
	FieldMemory         Field = "memory"
	FieldAccelerators   Field = "accelerators"
	FieldEstimate       Field = "estimate"
	FieldAfter          Field = "after"
	FieldMaxPerWorker   Field = "max-per-worker"
	FieldMaxUnavailable Field = "max-unavailable"
	FieldTailTarget     Field = "tail-latency-target"
	FieldRequires       Field = "requires"
	FieldPreferredRack  Field = "preferred-rack"
	FieldImage          Field = "image"
)

// noStep is the Step of a violation that does not concern one step.
const noStep = -1

// Violation reports a value that is out of range. errors.Is reports true for
// hoist.ErrInvalid.
type Violation struct {
	// Step is the step that the value belongs to, or -1.
	Step  int
	Field Field
	Value string
	// Bound describes the values that are allowed.
	Bound string
}

// Error implements error.
func (v *Violation) Error() string {
	if v.Step == noStep {
		return fmt.Sprintf("%s is %s, expected %s", v.Field, v.Value, v.Bound)
	}
	return fmt.Sprintf("step %d: %s is %s, expected %s", v.Step, v.Field, v.Value, v.Bound)
}

// Unwrap makes a violation an hoist.ErrInvalid.
func (v *Violation) Unwrap() error {
	return hoist.ErrInvalid
}

// Plans are the limits of a plan. The zero value accepts nothing; DefaultPlans
// has the defaults.
type Plans struct {
	MaxSteps int
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks int
	// MaxGang bounds the tasks of a gang, which are recorded in one row when all of
	// them are placed.
	MaxGang int
	// MaxPayload is in bytes.
	MaxPayload int
	// MaxName bounds the length of a label, a rack or an image, in bytes.
	MaxName int
	// MaxCPU, MaxMemory and MaxAccel bound what one task needs.
	MaxCPU    hoist.MilliCPU
	MaxMemory hoist.MiB
	MaxAccel  hoist.Accelerators
	// MaxRunTime bounds the estimated run time of a task.
	MaxRunTime     time.Duration
	MaxOccurrences int
	// MaxSpan bounds the time from the acceptance of a plan to its first and to its
	// last occurrence.
	MaxSpan time.Duration
}

// DefaultPlans are the default limits. The largest sums of resources, over all
// tasks that an owner holds, stay far below the range of their types.
var DefaultPlans = Plans{
	MaxSteps: 200, MaxTasks: 2000, MaxGang: 300, MaxPayload: 8 << 10, MaxName: 200,
	MaxCPU: 10_000_000, MaxMemory: 1 << 28, MaxAccel: 10_000,
	MaxRunTime: 30 * 24 * time.Hour, MaxOccurrences: 1_000_000, MaxSpan: 10 * 366 * 24 * time.Hour,
}

// between returns a violation unless low <= value <= high.
func between[T cmp.Ordered](step int, field Field, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &Violation{step, field, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high)}
}

// first returns the first of errs that is not nil.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Check returns a *Violation if a value of the plan is out of range.
func (l Plans) Check(p hoist.Plan) error {
	err := first(
		between(noStep, FieldSteps, len(p.Steps), 1, l.MaxSteps),
		l.checkLength(noStep, FieldPayload, p.Payload, l.MaxPayload),
		l.checkOccurrences(p),
	)
	if err != nil {
		return err
	}
	tasks := 0
	for no, s := range p.Steps {
		if err := l.checkStep(no, s); err != nil {
			return err
		}
		tasks += s.Count
	}
	return between(noStep, FieldTasks, tasks, 1, l.MaxTasks)
}

// CheckSteps returns a *Violation if a plan has more than limit steps.
func CheckSteps(steps, limit int) error {
	if steps <= limit {
		return nil
	}
	return between(noStep, FieldSteps, steps, 1, limit)
}

// CheckSize returns a *Violation if the encoding of a plan is longer than limit bytes.
func CheckSize(size, limit int) error {
	if size <= limit {
		return nil
	}
	return &Violation{noStep, "plan", fmt.Sprintf("%d bytes long", size), fmt.Sprintf("at most %d bytes", limit)}
}

func (l Plans) checkOccurrences(p hoist.Plan) error {
	err := between(noStep, FieldOccurrences, p.Occurrences, 0, l.MaxOccurrences)
	if err != nil || p.Occurrences == 0 {
		return err
	}
	untilStart := p.Start.Sub(p.Accepted)
	err = first(
		between(noStep, FieldInterval, p.Interval, 0, l.MaxSpan),
		between(noStep, FieldStart, untilStart, -maxOverdue, l.MaxSpan),
	)
	if err != nil {
		return err
	}
	longest := l.MaxSpan / time.Duration(p.Occurrences)
	return between(noStep, FieldInterval, p.Interval, 0, longest)
}

// maxOverdue is how long before its acceptance a plan may have been due. It
// covers times since 1970.
const maxOverdue = 200 * 366 * 24 * time.Hour

func (l Plans) checkStep(no int, s hoist.Step) error {
	for _, earlier := range s.After {
		if err := between(no, FieldAfter, int(earlier), 0, no-1); err != nil {
			return err
		}
	}
	maxTasks := l.MaxTasks
	if s.IsGang {
		maxTasks = min(maxTasks, l.MaxGang)
	}
	return first(
		between(no, FieldCount, s.Count, 1, maxTasks),
		between(no, FieldCPU, s.Need.CPU, 0, l.MaxCPU),
		between(no, FieldMemory, s.Need.Memory, 0, l.MaxMemory),
		between(no, FieldAccelerators, s.Need.Accel, 0, l.MaxAccel),
		between(no, FieldEstimate, s.Estimate, 0, l.MaxRunTime),
		between(no, FieldTailTarget, s.TailLatencyTarget, 0, l.MaxRunTime),
		between(no, FieldMaxPerWorker, s.MaxPerWorker, 0, maxCount),
		between(no, FieldMaxUnavailable, s.MaxUnavailable, -1, maxCount),
		between(no, FieldAfter, len(s.After), 0, l.MaxSteps),
		l.checkLength(no, FieldRequires, string(s.Requires), l.MaxName),
		l.checkLength(no, FieldPreferredRack, string(s.PreferredRack), l.MaxName),
		l.checkLength(no, FieldImage, string(s.Image), l.MaxName),
	)
}

// maxCount bounds counts that only limit something, so that any larger value
// has the same effect.
const maxCount = 1 << 30

func (l Plans) checkLength(step int, field Field, value string, limit int) error {
	if len(value) <= limit {
		return nil
	}
	return &Violation{step, field, fmt.Sprintf("%d bytes long", len(value)), fmt.Sprintf("at most %d bytes", limit)}
}

// maxAttempt is above every attempt number that an owner assigns.
const maxAttempt hoist.AttemptNo = 1 << 62

// CheckState returns an hoist.ErrInvalid if a recorded state does not belong to the
// plan: a phase, step, task or attempt in it does not exist.
func CheckState(p hoist.Plan, s hoist.PlanState) error {
	switch s.Phase {
	case hoist.PlanQueued, hoist.PlanRunning, hoist.PlanDone, hoist.PlanFailed, hoist.PlanCancelled:
	default:
		return &Violation{noStep, "phase", fmt.Sprintf("%q", s.Phase), "a phase of a plan"}
	}
	occurrences := hoist.Occurrence(max(1, p.Occurrences))
	if err := between(noStep, "next", s.Next, 0, occurrences); err != nil {
		return err
	}
	seen := make(map[[2]int]bool, len(s.Steps))
	for _, step := range s.Steps {
		err := first(
			between(noStep, "step", int(step.Step), 0, len(p.Steps)-1),
			between(noStep, "occurrence", step.Occurrence, 0, s.Next-1),
		)
		if err != nil {
			return err
		}
		key := [2]int{int(step.Occurrence), int(step.Step)}
		if seen[key] {
			return &Violation{int(step.Step), "occurrence", fmt.Sprint(step.Occurrence), "each occurrence once"}
		}
		seen[key] = true
		if err := checkTasks(p.Steps[step.Step].Count, step); err != nil {
			return err
		}
	}
	return checkComplete(p, seen)
}

// checkComplete checks that all steps of an occurrence are recorded if any is.
func checkComplete(p hoist.Plan, seen map[[2]int]bool) error {
	for key := range seen {
		for step := range p.Steps {
			if !seen[[2]int{key[0], step}] {
				return &Violation{step, "occurrence", fmt.Sprint(key[0]), "all steps of an occurrence"}
			}
		}
	}
	return nil
}

func checkTasks(count int, s hoist.StepState) error {
	step := int(s.Step)
	for _, i := range s.Done {
		if err := between(step, "done", i, 0, count-1); err != nil {
			return err
		}
	}
	for _, r := range s.Placed {
		if err := first(between(step, "placed", r.Index, 0, count-1), between(step, "attempt", r.Attempt, 1, maxAttempt)); err != nil {
			return err
		}
		if r.Worker == "" {
			return &Violation{step, "worker", "empty", "the id of a worker"}
		}
	}
	for _, r := range s.Failed {
		if err := first(between(step, "failed", r.Index, 0, count-1), between(step, "attempt", r.Attempt, 1, maxAttempt)); err != nil {
			return err
		}
	}
	for _, e := range s.Earlier {
		if err := first(between(step, "earlier", e.Index, 0, count-1), between(step, "failures", e.Count, 1, maxCount)); err != nil {
			return err
		}
	}
	for _, c := range s.Saved {
		if err := between(step, "saved", c.Index, 0, count-1); err != nil {
			return err
		}
	}
	return nil
}
