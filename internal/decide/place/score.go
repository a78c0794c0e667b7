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

// imbalance is the difference between the shares of processors and memory that
// stay free. A worker that keeps it small runs out of both at once and strands
// neither.
func imbalance(need hoist.Resources, c *hoist.Candidate) float64 {
	left := c.Free.Sub(need)
	return math.Abs(share(left.CPU, c.Capacity.CPU) - share(left.Memory, c.Capacity.Memory))
}
