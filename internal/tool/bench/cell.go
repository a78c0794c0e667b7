// Package bench measures decisions on seeded input, without a network and
// without other processes.
//
// # Usage
//
//	r := bench.Fill(policy, bench.Input{Workers: 1300, Seed: 1})
//	err := bench.Placement(os.Stdout, []int{50, 1300}, 3)
//
// The input of one size and seed is the same for every policy.
package bench

import (
	"fmt"
	"math/rand/v2"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// rackSize is the number of workers in a rack at both users.
	rackSize = 8
	// numDataCentres is the number of data centres at each user.
	numDataCentres = 3

	gib = 1024
)

// class is a kind of worker, with its share of all workers in percent.
type class struct {
	percent  int
	capacity hoist.Resources
}

// classes mixes the workers of both users with larger ones and some with
// accelerators. On average a worker has 28 cores and 3.7 GiB for each.
var classes = []class{
	{25, hoist.Resources{CPU: 16_000, Memory: 32 * gib}},
	{20, hoist.Resources{CPU: 16_000, Memory: 64 * gib}},
	{35, hoist.Resources{CPU: 32_000, Memory: 128 * gib}},
	{10, hoist.Resources{CPU: 64_000, Memory: 256 * gib}},
	{10, hoist.Resources{CPU: 32_000, Memory: 128 * gib, Accel: 4}},
}

// newCell returns idle workers, mixed in a seeded order.
func newCell(workers int, rng *rand.Rand) []hoist.Candidate {
	out := make([]hoist.Candidate, workers)
	for i := range out {
		capacity := classOf(i * 100 / workers)
		out[i].Capacity, out[i].Free = capacity, capacity
	}
	rng.Shuffle(workers, func(i, j int) { out[i], out[j] = out[j], out[i] })
	for i := range out {
		rack := i / rackSize
		out[i].Worker = hoist.WorkerID(fmt.Sprintf("w%05d", i))
		out[i].Rack = hoist.RackID(fmt.Sprintf("r%04d", rack))
		out[i].DataCentre = hoist.DataCentreID(fmt.Sprintf("dc%d", rack%numDataCentres))
	}
	return out
}

// classOf returns the capacity of the class in which a percentile falls.
func classOf(percentile int) hoist.Resources {
	for _, c := range classes {
		if percentile < c.percent {
			return c.capacity
		}
		percentile -= c.percent
	}
	return classes[0].capacity
}
