package place

import (
	"math"

	hoist "fuchsiahoist.example/hoist"
)

// same scores all candidates alike: the first one that fits is chosen.
func same(hoist.Resources, *hoist.Candidate) float64 {
	return 0
}

// share returns part as a share of whole; it is 0 of nothing.
func share[T ~int64](part, whole T) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// leftShares is the sum of the shares that stay free.
func leftShares(need hoist.Resources, c *hoist.Candidate) float64 {
	left := c.Free.Sub(need)
	return share(left.CPU, c.Capacity.CPU) + share(left.Memory, c.Capacity.Memory) + share(left.Accel, c.Capacity.Accel)
}

const (
	// largeCPU and largeMemory are the largest common worker. They make the
	// sizes of unlike workers comparable without a look at all of them.
	largeCPU    hoist.MilliCPU = 64_000
	largeMemory hoist.MiB      = 256 * 1024
	// leftWeight weighs what stays free against its imbalance. At 0.02 large
	// tasks found no room in half of the cell, at 0.5 small tasks stranded
	// processors.
	leftWeight = 0.1
	// idleWeight keeps idle workers for tasks that need a whole one.
	idleWeight = 0.1
)

// waste is the imbalance of the shares of processors and memory that stay free,
// and a part for how much stays free. A worker that keeps the imbalance small
// runs out of both at once and strands neither; the part prefers workers that
// the task fills up, which keeps room for large tasks on the others. Large idle
// workers are used last.
func waste(need hoist.Resources, c *hoist.Candidate) float64 {
	left := c.Free.Sub(need)
	cpu, memory := share(left.CPU, c.Capacity.CPU), share(left.Memory, c.Capacity.Memory)
	size := share(c.Capacity.CPU, largeCPU) + share(c.Capacity.Memory, largeMemory)
	w := math.Abs(cpu-memory) + leftWeight*size*(cpu+memory)
	if c.Free == c.Capacity {
		w += idleWeight * size
	}
	return w
}
