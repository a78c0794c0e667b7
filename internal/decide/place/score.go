package place

import hoist "fuchsiahoist.example/hoist"

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

// misalignment is the negative scalar product of need and free, as shares of
// the worker.
func misalignment(need hoist.Resources, c *hoist.Candidate) float64 {
	return -(share(need.CPU, c.Capacity.CPU)*share(c.Free.CPU, c.Capacity.CPU) +
		share(need.Memory, c.Capacity.Memory)*share(c.Free.Memory, c.Capacity.Memory) +
		share(need.Accel, c.Capacity.Accel)*share(c.Free.Accel, c.Capacity.Accel))
}
