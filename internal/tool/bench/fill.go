package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// Input selects a cell and the work that is placed on it.
type Input struct {
	Mix     Mix
	Workers int
	Seed    uint64
}

// Result is the outcome of filling a cell until the first refusal.
type Result struct {
	// CPU and Memory are the shares that were allocated.
	CPU, Memory float64
	// Refused is the need that fitted nowhere.
	Refused hoist.Resources
	Tasks   int
	// Times are the decision times in nanoseconds.
	Times *hdrhistogram.Histogram
}

// Packed is the share of the resource that is scarcest on the whole. No policy
// can bring it above 1.
func (r Result) Packed() float64 {
	return max(r.CPU, r.Memory)
}

// maxTime is the longest decision that is recorded exactly.
const maxTime = 10 * time.Second

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime), 3)
}

// Fill places jobs one after the other, with nothing ending, until a task fits
// on no worker.
func Fill(policy hoist.PlacementPolicy, in Input) Result {
	rng := rand.New(rand.NewPCG(in.Seed, uint64(in.Workers)))
	policyRNG := rand.New(rand.NewPCG(in.Seed, 0))
	cell := newCell(in.Workers, rng)
	r := Result{Times: newTimes()}
	for {
		j := in.Mix.newJob(rng)
		if !r.place(policy, j, cell, policyRNG) {
			r.Refused = j.ask.Need
			r.CPU, r.Memory = shares(cell)
			return r
		}
	}
}

// place places all tasks of a job. It reports whether all fitted.
func (r *Result) place(policy hoist.PlacementPolicy, j job, cell []hoist.Candidate, rng *rand.Rand) bool {
	for n := range j.tasks {
		began := time.Now()
		if j.ask.Spread && n == 0 {
			place.CountReplicas(cell, nil)
		}
		i := policy.Choose(j.ask, cell, rng)
		if j.ask.Spread && i >= 0 {
			place.AddReplica(cell, i)
		}
		// RecordValue refuses only values above maxTime.
		_ = r.Times.RecordValue(int64(time.Since(began)))
		if i < 0 {
			return false
		}
		cell[i].Free = cell[i].Free.Sub(j.ask.Need)
		r.Tasks++
	}
	return true
}

// shares returns the allocated shares of processors and memory.
func shares(cell []hoist.Candidate) (cpu, memory float64) {
	var free, capacity hoist.Resources
	for _, c := range cell {
		free, capacity = free.Add(c.Free), capacity.Add(c.Capacity)
	}
	return 1 - float64(free.CPU)/float64(capacity.CPU), 1 - float64(free.Memory)/float64(capacity.Memory)
}
