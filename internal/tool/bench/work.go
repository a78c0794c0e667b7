package bench

import (
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

// weighted is a value and how often it is drawn.
type weighted struct {
	weight int
	value  int64
}

// Mix is a kind of work.
type Mix struct {
	Name string
	// cpus are the sizes of tasks in millicores, memoryPerCore is in MiB.
	cpus, memoryPerCore []weighted
}

// Small tasks are common in every mix.
var (
	smallCPUs = []weighted{{15, 250}, {20, 500}, {25, 1000}, {20, 2000}, {13, 4000}, {7, 8000}}
	// largeCPUs has some tasks that need a whole worker of the smaller classes
	// or half of the largest.
	largeCPUs = []weighted{{20, 250}, {20, 500}, {25, 1000}, {15, 2000}, {10, 4000}, {6, 8000}, {3, 16_000}, {1, 32_000}}
)

// Mixes are the kinds of work that are measured. The cell has 3.7 GiB for each
// core.
var Mixes = []Mix{
	// The mean is 3.25 GiB for each core: processors run out first on the
	// whole, memory on some workers.
	{"mixed", smallCPUs, []weighted{{25, 1 * gib}, {30, 2 * gib}, {30, 4 * gib}, {15, 8 * gib}}},
	{"large", largeCPUs, []weighted{{25, 1 * gib}, {30, 2 * gib}, {35, 4 * gib}, {10, 8 * gib}}},
	// The mean is 4.9 GiB: memory runs out first.
	{"memory", smallCPUs, []weighted{{20, 1 * gib}, {20, 2 * gib}, {30, 4 * gib}, {20, 8 * gib}, {10, 15 * gib}}},
}

const (
	// servicePercent of the jobs are services of serviceReplicas tasks, which
	// are kept apart.
	servicePercent  = 7
	serviceReplicas = 3
	// accelPerMille of the tasks need an accelerator: about two thirds of the
	// accelerators are taken when the processors run out.
	accelPerMille = 15
)

// accelNeed is the size of a task with an accelerator.
var accelNeed = hoist.Resources{CPU: 4000, Memory: 16 * gib, Accel: 1}

func draw(from []weighted, rng *rand.Rand) int64 {
	total := 0
	for _, w := range from {
		total += w.weight
	}
	n := rng.IntN(total)
	for _, w := range from {
		if n < w.weight {
			return w.value
		}
		n -= w.weight
	}
	return 0
}

// job is a number of equal tasks.
type job struct {
	ask   hoist.PlacementQuery
	tasks int
}

// newJob draws the next job.
func (m Mix) newJob(rng *rand.Rand) job {
	if rng.IntN(1000) < accelPerMille {
		return job{hoist.PlacementQuery{Need: accelNeed}, 1}
	}
	cpu := draw(m.cpus, rng)
	memory := cpu * draw(m.memoryPerCore, rng) / 1000
	j := job{hoist.PlacementQuery{Need: hoist.Resources{CPU: hoist.MilliCPU(cpu), Memory: hoist.MiB(memory)}}, 1}
	if rng.IntN(100) < servicePercent {
		j.ask.Spread = true
		j.tasks = serviceReplicas
	}
	return j
}
