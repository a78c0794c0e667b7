// Package bench measures the decision time and packing of the placement policies on
// seeded input, without a network and without other processes.
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
	// rackSize is the number of workers in a rack in the cells of both users.
	rackSize = 8
	// numDataCentres is the number of data centres of each user.
	numDataCentres = 3

	mibPerGiB = 1024
)

// workerClass is a kind of worker, with its share of all workers in percent.
type workerClass struct {
	percent  int
	capacity hoist.Resources
}

// workerClasses mixes the worker sizes of both users with larger ones and some with
// accelerators. On average a worker has 28 cores and 3.7 GiB of memory per core.
var workerClasses = []workerClass{
	{25, hoist.Resources{CPU: 16_000, Memory: 32 * mibPerGiB}},
	{20, hoist.Resources{CPU: 16_000, Memory: 64 * mibPerGiB}},
	{35, hoist.Resources{CPU: 32_000, Memory: 128 * mibPerGiB}},
	{10, hoist.Resources{CPU: 64_000, Memory: 256 * mibPerGiB}},
	{10, hoist.Resources{CPU: 32_000, Memory: 128 * mibPerGiB, Accel: 4}},
}

// newCell returns idle workers of all classes in a seeded random order.
func newCell(workers int, rng *rand.Rand) []hoist.Candidate {
	out := make([]hoist.Candidate, workers)
	for i := range out {
		capacity := capacityAt(i * 100 / workers)
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

// capacityAt returns the capacity of the worker class in which a percentile falls.
func capacityAt(percentile int) hoist.Resources {
	for _, c := range workerClasses {
		if percentile < c.percent {
			return c.capacity
		}
		percentile -= c.percent
	}
	return workerClasses[0].capacity
}
