package place

import (
	"math"

	hoist "fuchsiahoist.example/hoist"
)

// equalScore gives all candidates the same score, so that the first one with the
// smallest rank is chosen.
func equalScore(hoist.Resources, *hoist.Candidate) float64 {
	return 0
}

// share returns part divided by whole, or 0 if whole is not positive.
func share[T ~int64](part, whole T) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// freeShares returns the sum of the shares of the resources that stay free once
// the task is placed.
func freeShares(need hoist.Resources, c *hoist.Candidate) float64 {
	free := c.Free.Sub(need)
	return share(free.CPU, c.Capacity.CPU) + share(free.Memory, c.Capacity.Memory) + share(free.Accel, c.Capacity.Accel)
}

const (
	// referenceCPU and referenceMemory are the size of the largest common worker.
	// Sizes are expressed relative to it, so that workers of different sizes can
	// be compared without examining all of them.
	referenceCPU    hoist.MilliCPU = 64_000
	referenceMemory hoist.MiB      = 256 * 1024
	// freeWeight is the weight of what stays free against its imbalance. At 0.02
	// large tasks did not fit on half of the cell; at 0.5 small tasks left CPU
	// that no task could use.
	freeWeight = 0.1
	// idleWeight is the penalty for idle workers, which are kept for tasks that
	// need a whole worker.
	idleWeight = 0.1
)

// wasteScore returns the imbalance between the shares of CPU and memory that stay
// free, plus a term for how much stays free. A worker with a small imbalance runs
// out of both at the same time, so neither is left unusable. The second term
// prefers workers that the task fills up, which keeps capacity for large tasks on
// the others. Idle workers get a penalty by size, so large ones are used last.
func wasteScore(need hoist.Resources, c *hoist.Candidate) float64 {
	free := c.Free.Sub(need)
	cpu, memory := share(free.CPU, c.Capacity.CPU), share(free.Memory, c.Capacity.Memory)
	size := share(c.Capacity.CPU, referenceCPU) + share(c.Capacity.Memory, referenceMemory)
	w := math.Abs(cpu-memory) + freeWeight*size*(cpu+memory)
	if c.Free == c.Capacity {
		w += idleWeight * size
	}
	return w
}
