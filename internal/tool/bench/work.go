package bench

import (
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

// weightedValue is a value with its relative frequency.
type weightedValue struct {
	weight int
	value  int64
}

// Mix is a distribution of the sizes of tasks.
type Mix struct {
	Name string
	// cpus holds the sizes of tasks in millicores, memoryPerCore the memory in MiB
	// per core.
	cpus, memoryPerCore []weightedValue
}

// Small tasks are common in every mix.
var (
	smallCPUs = []weightedValue{{15, 250}, {20, 500}, {25, 1000}, {20, 2000}, {13, 4000}, {7, 8000}}
	// largeCPUs has some tasks that need a whole worker of the smaller classes
	// or half of the largest.
	largeCPUs = []weightedValue{{20, 250}, {20, 500}, {25, 1000}, {15, 2000}, {10, 4000}, {6, 8000}, {3, 16_000}, {1, 32_000}}
)

// Mixes are the mixes that are measured. The cell has 3.7 GiB of memory per core.
var Mixes = []Mix{
	// The mean is 3.25 GiB per core: processors run out first in the cell as a
	// whole, memory on some workers.
	{"mixed", smallCPUs, []weightedValue{{25, 1 * mibPerGiB}, {30, 2 * mibPerGiB}, {30, 4 * mibPerGiB}, {15, 8 * mibPerGiB}}},
	{"large", largeCPUs, []weightedValue{{25, 1 * mibPerGiB}, {30, 2 * mibPerGiB}, {35, 4 * mibPerGiB}, {10, 8 * mibPerGiB}}},
	// The mean is 4.9 GiB per core: memory runs out first.
	{"memory", smallCPUs, []weightedValue{{20, 1 * mibPerGiB}, {20, 2 * mibPerGiB}, {30, 4 * mibPerGiB}, {20, 8 * mibPerGiB}, {10, 15 * mibPerGiB}}},
}

const (
	// servicePercent is the percentage of jobs that are services.
	servicePercent = 7
	// serviceReplicas is the number of tasks of a service, which are spread over
	// data centres, racks and workers.
	serviceReplicas = 3
	// accelPerMille is the part per thousand of the jobs whose task needs an
	// accelerator. About two thirds of the accelerators are then allocated when the
	// processors run out.
	accelPerMille = 15
)

// accelNeed is the need of a task that uses an accelerator.
var accelNeed = hoist.Resources{CPU: 4000, Memory: 16 * mibPerGiB, Accel: 1}

func draw(from []weightedValue, rng *rand.Rand) int64 {
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

// job is a number of tasks with the same placement query.
type job struct {
	query hoist.PlacementQuery
	tasks int
}

// newJob draws the next job at random.
func (m Mix) newJob(rng *rand.Rand) job {
	if rng.IntN(1000) < accelPerMille {
		return job{hoist.PlacementQuery{Need: accelNeed}, 1}
	}
	cpu := draw(m.cpus, rng)
	memory := cpu * draw(m.memoryPerCore, rng) / 1000
	j := job{hoist.PlacementQuery{Need: hoist.Resources{CPU: hoist.MilliCPU(cpu), Memory: hoist.MiB(memory)}}, 1}
	if rng.IntN(100) < servicePercent {
		j.query.Spread = true
		j.tasks = serviceReplicas
	}
	return j
}
