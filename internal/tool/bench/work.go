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

var (
	// cpus are the sizes of tasks in millicores. Small tasks are common, a
	// task of 8 cores is half of the smallest worker.
	cpus = []weighted{{15, 250}, {20, 500}, {25, 1000}, {20, 2000}, {13, 4000}, {7, 8000}}
	// memoryPerCore is in MiB. The mean is below the cell's 3.7 GiB, so that
	// processors run out first on the whole and memory on some workers.
	memoryPerCore = []weighted{{25, 1 * gib}, {30, 2 * gib}, {30, 4 * gib}, {15, 8 * gib}}
)

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
	ask   hoist.Ask
	tasks int
}

// newJob draws the next job.
func newJob(rng *rand.Rand) job {
	if rng.IntN(1000) < accelPerMille {
		return job{hoist.Ask{Need: accelNeed}, 1}
	}
	cpu := draw(cpus, rng)
	memory := cpu * draw(memoryPerCore, rng) / 1000
	j := job{hoist.Ask{Need: hoist.Resources{CPU: hoist.MilliCPU(cpu), Memory: hoist.MiB(memory)}}, 1}
	if rng.IntN(100) < servicePercent {
		j.ask.Spread = true
		j.tasks = serviceReplicas
	}
	return j
}
