package place

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	hoist "fuchsiahoist.example/hoist"
)

// Cause is the reason why a task does not fit on a worker. Its text follows a
// number of workers in messages to operators.
type Cause string

// The causes, in the order in which a Verdict lists them. Those from TooFewCores
// on depend on the size of the task.
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

// Obstacle summarises the workers on which a task does not fit for one cause.
type Obstacle struct {
	Cause   Cause
	Workers int
	// Nearest is the worker with the smallest shortage, and Shortage what it
	// lacks. For the last two causes Nearest is empty and Shortage is the need of
	// the tasks that do not fit. Shortage is zero for causes that do not depend
	// on the size of the task.
	Nearest  hoist.WorkerID
	Shortage hoist.Resources
}

// String formats o for messages to operators.
func (o Obstacle) String() string {
	s := fmt.Sprintf("%d %s", o.Workers, o.Cause)
	switch {
	case o.Shortage == hoist.Resources{}:
		return s
	case o.Nearest == "":
		return fmt.Sprintf("%s (%s more needed)", s, formatAmounts(o.Shortage))
	default:
		return fmt.Sprintf("%s (%s lacks %s)", s, o.Nearest, formatAmounts(o.Shortage))
	}
}

// formatAmounts lists the amounts in r that are not zero.
func formatAmounts(r hoist.Resources) string {
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

// Verdict states whether a number of tasks fit together and, if not, why.
type Verdict struct {
	// FitNow is set if all tasks fit now, FitEmpty if they would fit if nothing
	// else ran. Leaving workers count for neither, failing workers only for
	// FitEmpty.
	FitNow, FitEmpty bool
	// Workers is the number of known workers.
	Workers int
	// Obstacles is sorted in the order of the causes. A worker that lacks several
	// resources counts for each of them.
	Obstacles []Obstacle
}

// IsImpossible reports whether the tasks can never run on the known workers. It
// returns false if no worker is known, as the list may not have arrived yet.
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

// causes lists the causes in the order of Verdict.Obstacles.
var causes = []Cause{
	OtherDataCentre, Leaving, Failing, TooFewCores, TooLittleMemory, TooFewAccelerators,
	NoCoresFree, NoMemoryFree, NoAcceleratorsFree, NotEnoughForAllNow, NotEnoughForAllEver,
}

// Explain reports whether a number of tasks fit together and, if not, why. It
// examines all candidates, so it is meant for waiting jobs, not for each
// placement decision.
func Explain(query hoist.PlacementQuery, tasks int, candidates []hoist.Candidate) Verdict {
	e := explainer{query: query, obstacles: make(map[Cause]*Obstacle)}
	for i := range candidates {
		e.addCandidate(&candidates[i])
	}
	v := Verdict{Workers: len(candidates), FitNow: e.fitNow >= tasks, FitEmpty: e.fitEmpty >= tasks}
	switch {
	case e.fitEmpty > 0 && !v.FitEmpty:
		e.obstacles[NotEnoughForAllEver] = &Obstacle{Cause: NotEnoughForAllEver, Workers: e.workersEmpty, Shortage: multiply(query.Need, tasks-e.fitEmpty)}
	case e.fitNow > 0 && !v.FitNow:
		e.obstacles[NotEnoughForAllNow] = &Obstacle{Cause: NotEnoughForAllNow, Workers: e.workersNow, Shortage: multiply(query.Need, tasks-e.fitNow)}
	}
	for _, cause := range causes {
		if o, ok := e.obstacles[cause]; ok {
			v.Obstacles = append(v.Obstacles, *o)
		}
	}
	return v
}

// explainer collects the obstacles and counts the tasks that fit.
type explainer struct {
	query     hoist.PlacementQuery
	obstacles map[Cause]*Obstacle
	// fitNow and fitEmpty count the tasks that fit now, and if nothing else ran.
	// They fit on workersNow and workersEmpty workers.
	fitNow, fitEmpty         int
	workersNow, workersEmpty int
}

func (e *explainer) addCandidate(c *hoist.Candidate) {
	switch {
	case !isInDataCentre(e.query, c):
		e.addObstacle(OtherDataCentre, c, hoist.Resources{})
		return
	case c.State == hoist.WorkerLeaving:
		e.addObstacle(Leaving, c, hoist.Resources{})
		return
	}
	if n := FitCount(e.query.Need, c.Capacity); n > 0 {
		e.fitEmpty += n
		e.workersEmpty++
	} else {
		e.addShortages(c, e.query.Need.Sub(c.Capacity), TooFewCores, TooLittleMemory, TooFewAccelerators)
		return
	}
	if c.State != hoist.WorkerReady {
		e.addObstacle(Failing, c, hoist.Resources{})
		return
	}
	if n := FitCount(e.query.Need, c.Free); n > 0 {
		e.fitNow += n
		e.workersNow++
	} else {
		e.addShortages(c, e.query.Need.Sub(c.Free), NoCoresFree, NoMemoryFree, NoAcceleratorsFree)
	}
}

// addShortages records an obstacle for each resource of which a worker has too
// little.
func (e *explainer) addShortages(c *hoist.Candidate, short hoist.Resources, cores, memory, accelerators Cause) {
	if short.CPU > 0 {
		e.addObstacle(cores, c, hoist.Resources{CPU: short.CPU})
	}
	if short.Memory > 0 {
		e.addObstacle(memory, c, hoist.Resources{Memory: short.Memory})
	}
	if short.Accel > 0 {
		e.addObstacle(accelerators, c, hoist.Resources{Accel: short.Accel})
	}
}

// addObstacle records that a cause applies to a worker. At most one resource of
// shortage is set, so shortages of one cause can be compared resource by
// resource.
func (e *explainer) addObstacle(cause Cause, c *hoist.Candidate, shortage hoist.Resources) {
	o, ok := e.obstacles[cause]
	if !ok {
		o = &Obstacle{Cause: cause, Nearest: c.Worker, Shortage: shortage}
		e.obstacles[cause] = o
	}
	o.Workers++
	if cmp.Or(cmp.Compare(shortage.CPU, o.Shortage.CPU), cmp.Compare(shortage.Memory, o.Shortage.Memory), cmp.Compare(shortage.Accel, o.Shortage.Accel)) < 0 {
		o.Nearest, o.Shortage = c.Worker, shortage
	}
}

// FitCount returns how many times need fits into free. It returns 0 if need is not
// valid.
func FitCount(need, free hoist.Resources) int {
	if !need.IsValid() {
		return 0
	}
	var counts []int64
	if need.CPU > 0 {
		counts = append(counts, int64(free.CPU/need.CPU))
	}
	if need.Memory > 0 {
		counts = append(counts, int64(free.Memory/need.Memory))
	}
	if need.Accel > 0 {
		counts = append(counts, int64(free.Accel/need.Accel))
	}
	return int(max(slices.Min(counts), 0))
}

func multiply(r hoist.Resources, n int) hoist.Resources {
	return hoist.Resources{CPU: r.CPU * hoist.MilliCPU(n), Memory: r.Memory * hoist.MiB(n), Accel: r.Accel * hoist.Accelerators(n)}
}
