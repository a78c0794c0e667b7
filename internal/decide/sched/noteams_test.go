package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// runMixedLoad runs a load of jobs of all kinds without teams, and returns the starts.
func runMixedLoad(t *testing.T, configs []hoist.TeamConfig, seed uint64) []sched.Start {
	r := newReplay(t, 4, configs)
	random := rand.New(rand.NewPCG(seed, 1))
	r.runFor(8*time.Second, func(time.Duration) {
		for range random.IntN(4) {
			steps := []hoist.Step{shortStep(50 + 10*random.IntN(60))}
			steps[0].Count = 1 + random.IntN(6)
			steps[0].IsGang = random.IntN(4) == 0
			steps[0].Need.CPU = hoist.MilliCPU(250 * (1 + random.IntN(8)))
			if random.IntN(3) == 0 {
				steps = append(steps, shortStep(100))
				after(&steps[1])
			}
			r.submitPlan("", hoist.Priority(random.IntN(3)), steps...)
		}
	})
	return r.order
}

// TestCellWithoutTeams guards against other decisions than before for jobs without a team,
// whether or not the configuration has teams.
func TestCellWithoutTeams(t *testing.T) {
	for seed := range uint64(4) {
		want := runMixedLoad(t, nil, seed)
		got := runMixedLoad(t, weights(map[hoist.TeamID]float64{"a": 1, "b": 2}), seed)
		is.New(t).True(len(want) > 500)
		is.New(t).Equal(got, want)
	}
}
