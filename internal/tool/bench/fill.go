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
	// CPU and Memory are the allocated shares of the resources of the cell.
	CPU, Memory float64
	// Refused is the need of the task that fitted on no worker.
	Refused hoist.Resources
	Tasks   int
	// DecisionTimes holds the decision times in nanoseconds.
	DecisionTimes *hdrhistogram.Histogram
}

// Packed returns the allocated share of the resource that is scarcer in the whole
// cell. It is at most 1 under any policy.
func (r Result) Packed() float64 {
	return max(r.CPU, r.Memory)
}

// maxDecisionTime is the longest decision time that the histogram holds.
const maxDecisionTime = 10 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxDecisionTime), 3)
}

// Fill places jobs one after the other until a task fits on no worker. No task ends
// meanwhile.
func Fill(policy hoist.PlacementPolicy, in Input) Result {
	rng := rand.New(rand.NewPCG(in.Seed, uint64(in.Workers)))
	policyRNG := rand.New(rand.NewPCG(in.Seed, 0))
	cell := newCell(in.Workers, rng)
	r := Result{DecisionTimes: newHistogram()}
	for {
		j := in.Mix.newJob(rng)
		if !r.place(policy, j, cell, policyRNG) {
			r.Refused = j.query.Need
			r.CPU, r.Memory = allocatedShares(cell)
			return r
		}
	}
}

// place places the tasks of a job and records the decision times. It reports whether
// all tasks fitted.
func (r *Result) place(policy hoist.PlacementPolicy, j job, cell []hoist.Candidate, rng *rand.Rand) bool {
	for n := range j.tasks {
		start := time.Now()
		if j.query.Spread && n == 0 {
			place.CountReplicas(cell, nil)
		}
		i := policy.Choose(j.query, cell, rng)
		if j.query.Spread && i >= 0 {
			place.AddReplica(cell, i)
		}
		// RecordValue fails only for values above maxDecisionTime.
		_ = r.DecisionTimes.RecordValue(int64(time.Since(start)))
		if i < 0 {
			return false
		}
		cell[i].Free = cell[i].Free.Sub(j.query.Need)
		r.Tasks++
	}
	return true
}

// allocatedShares returns the allocated shares of processors and memory.
func allocatedShares(cell []hoist.Candidate) (cpu, memory float64) {
	var free, capacity hoist.Resources
	for _, c := range cell {
		free, capacity = free.Add(c.Free), capacity.Add(c.Capacity)
	}
	return 1 - float64(free.CPU)/float64(capacity.CPU), 1 - float64(free.Memory)/float64(capacity.Memory)
}
