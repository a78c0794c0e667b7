package place

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	hoist "fuchsiahoist.example/hoist"
)

// Cause is why a task does not fit on a worker.
type Cause string

// The causes. Those from TooFewCores on depend on the size of the task.
const (
	OtherDataCentre     Cause = "in another data centre"
	Leaving             Cause = "leaving"
	Failing             Cause = "backed off because tasks fail on them"
	TooFewCores         Cause = "with too few cores even when empty"
	TooLittleMemory     Cause = "with too little memory even when empty"
	TooFewAccelerators  Cause = "with too few accelerators even when empty"
	NoCoresFree         Cause = "with too few cores free"
	NoMemoryFree        Cause = "with too little memory free"
	NoAcceleratorsFree  Cause = "with too few accelerators free"
	NotEnoughForAllNow  Cause = "with room for some of the tasks, but not for all at once now"
	NotEnoughForAllEver Cause = "with room for some of the tasks, but not for all at once even when empty"
)

// Obstacle is one cause, with the workers that it concerns.
type Obstacle struct {
	Cause   Cause
	Workers int
	// Nearest is the worker that lacks the least, and Lacks what it lacks. For
	// the last two causes Lacks is the need of the tasks that do not fit.
	Nearest hoist.WorkerID
	Lacks   hoist.Resources
}

// String formats o for messages to people.
func (o Obstacle) String() string {
	s := fmt.Sprintf("%d %s", o.Workers, o.Cause)
	switch {
	case o.Lacks == hoist.Resources{}:
		return s
	case o.Nearest == "":
		return fmt.Sprintf("%s (%s more needed)", s, amounts(o.Lacks))
	default:
		return fmt.Sprintf("%s (%s lacks %s)", s, o.Nearest, amounts(o.Lacks))
	}
}

// amounts lists the parts of r that are not zero.
func amounts(r hoist.Resources) string {
	var out []string
	if r.CPU != 0 {
		out = append(out, fmt.Sprintf("%.3f cores", float64(r.CPU)/1000))
	}
	if r.Memory != 0 {
		out = append(out, fmt.Sprintf("%d MiB", r.Memory))
	}
	if r.Accel != 0 {
		out = append(out, fmt.Sprintf("%d accelerators", r.Accel))
	}
	return strings.Join(out, ", ")
}

// Verdict tells whether tasks fit, and what is in the way.
type Verdict struct {
	// FitNow is whether all tasks fit now, FitEmpty whether they would if
	// nothing else ran. Workers that are leaving do not count for either,
	// workers that are failing count for FitEmpty.
	FitNow, FitEmpty bool
	// Workers is the number of workers known.
	Workers int
	// Obstacles are in the order of the causes. A worker that lacks several
	// resources counts for each.
	Obstacles []Obstacle
}

// IsImpossible reports whether the tasks can never run on the workers known. It
// is false if none is known, as the list may not have arrived yet.
func (v Verdict) IsImpossible() bool {
	return v.Workers > 0 && !v.FitEmpty
}

// String formats v for operators.
func (v Verdict) String() string {
	if v.FitNow {
		return "fits now"
	}
	if v.Workers == 0 {
		return "no worker is known"
	}
	parts := make([]string, len(v.Obstacles))
	for i, o := range v.Obstacles {
		parts[i] = o.String()
	}
	if v.IsImpossible() {
		return fmt.Sprintf("can never run on these %d workers: %s", v.Workers, strings.Join(parts, "; "))
	}
	return fmt.Sprintf("fits nowhere now: of %d workers, %s", v.Workers, strings.Join(parts, "; "))
}

// causes is the order of obstacles.
var causes = []Cause{
	OtherDataCentre, Leaving, Failing, TooFewCores, TooLittleMemory, TooFewAccelerators,
	NoCoresFree, NoMemoryFree, NoAcceleratorsFree, NotEnoughForAllNow, NotEnoughForAllEver,
}

// Explain tells whether a number of tasks fit together, and why not. It looks at
// all candidates; call it for jobs that wait, not for each decision.
func Explain(ask hoist.PlacementQuery, tasks int, candidates []hoist.Candidate) Verdict {
	e := explanation{ask: ask, found: make(map[Cause]*Obstacle)}
	for i := range candidates {
		e.add(&candidates[i])
	}
	v := Verdict{Workers: len(candidates), FitNow: e.now >= tasks, FitEmpty: e.empty >= tasks}
	switch {
	case e.empty > 0 && !v.FitEmpty:
		e.found[NotEnoughForAllEver] = &Obstacle{Cause: NotEnoughForAllEver, Workers: e.workersEmpty, Lacks: times(ask.Need, tasks-e.empty)}
	case e.now > 0 && !v.FitNow:
		e.found[NotEnoughForAllNow] = &Obstacle{Cause: NotEnoughForAllNow, Workers: e.workersNow, Lacks: times(ask.Need, tasks-e.now)}
	}
	for _, cause := range causes {
		if o, ok := e.found[cause]; ok {
			v.Obstacles = append(v.Obstacles, *o)
		}
	}
	return v
}

// explanation collects the obstacles.
type explanation struct {
	ask   hoist.PlacementQuery
	found map[Cause]*Obstacle
	// now and empty count the tasks that fit, on workersNow and workersEmpty.
	now, empty               int
	workersNow, workersEmpty int
}

func (e *explanation) add(c *hoist.Candidate) {
	switch {
	case !isInPlace(e.ask, c):
		e.obstacle(OtherDataCentre, c, hoist.Resources{})
		return
	case c.State == hoist.WorkerLeaving:
		e.obstacle(Leaving, c, hoist.Resources{})
		return
	}
	if n := Copies(e.ask.Need, c.Capacity); n > 0 {
		e.empty += n
		e.workersEmpty++
	} else {
		e.lacks(c, e.ask.Need.Sub(c.Capacity), TooFewCores, TooLittleMemory, TooFewAccelerators)
		return
	}
	if c.State != hoist.WorkerReady {
		e.obstacle(Failing, c, hoist.Resources{})
		return
	}
	if n := Copies(e.ask.Need, c.Free); n > 0 {
		e.now += n
		e.workersNow++
	} else {
		e.lacks(c, e.ask.Need.Sub(c.Free), NoCoresFree, NoMemoryFree, NoAcceleratorsFree)
	}
}

// lacks records each resource of which something is missing.
func (e *explanation) lacks(c *hoist.Candidate, missing hoist.Resources, cores, memory, accelerators Cause) {
	if missing.CPU > 0 {
		e.obstacle(cores, c, hoist.Resources{CPU: missing.CPU})
	}
	if missing.Memory > 0 {
		e.obstacle(memory, c, hoist.Resources{Memory: missing.Memory})
	}
	if missing.Accel > 0 {
		e.obstacle(accelerators, c, hoist.Resources{Accel: missing.Accel})
	}
}

// obstacle records a cause. Only one part of lacks is set, so that the parts
// can be compared one after the other.
func (e *explanation) obstacle(cause Cause, c *hoist.Candidate, lacks hoist.Resources) {
	o, ok := e.found[cause]
	if !ok {
		o = &Obstacle{Cause: cause, Nearest: c.Worker, Lacks: lacks}
		e.found[cause] = o
	}
	o.Workers++
	if cmp.Or(cmp.Compare(lacks.CPU, o.Lacks.CPU), cmp.Compare(lacks.Memory, o.Lacks.Memory), cmp.Compare(lacks.Accel, o.Lacks.Accel)) < 0 {
		o.Nearest, o.Lacks = c.Worker, lacks
	}
}

// Copies returns how many times need fits into room; 0 if need is not valid.
func Copies(need, room hoist.Resources) int {
	if !need.IsValid() {
		return 0
	}
	var counts []int64
	if need.CPU > 0 {
		counts = append(counts, int64(room.CPU/need.CPU))
	}
	if need.Memory > 0 {
		counts = append(counts, int64(room.Memory/need.Memory))
	}
	if need.Accel > 0 {
		counts = append(counts, int64(room.Accel/need.Accel))
	}
	return int(max(slices.Min(counts), 0))
}

func times(r hoist.Resources, n int) hoist.Resources {
	return hoist.Resources{CPU: r.CPU * hoist.MilliCPU(n), Memory: r.Memory * hoist.MiB(n), Accel: r.Accel * hoist.Accelerators(n)}
}
