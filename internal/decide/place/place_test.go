package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

var policies = []hoist.PlacementPolicy{place.Default, place.BestFit{}, place.FirstFit{}, place.RandomFit{}, place.Aligned{}}

var (
	size  = hoist.Resources{CPU: 8000, Memory: 8000}
	accel = hoist.Resources{CPU: 8000, Memory: 8000, Accel: 1}
	need  = hoist.Resources{CPU: 1000, Memory: 1000}
)

func idle(id string, capacity hoist.Resources) hoist.Candidate {
	return hoist.Candidate{Worker: hoist.WorkerID(id), DataCentre: "dc1", Rack: "r1", Capacity: capacity, Free: capacity}
}

func with(c hoist.Candidate, change func(*hoist.Candidate)) hoist.Candidate {
	change(&c)
	return c
}

// TestPoliciesChoosePreferredWorker guards against policies that choose a worker on
// which the task must not run, or that break the order of preferences. The candidate
// "good" is the expected choice.
func TestPoliciesChoosePreferredWorker(t *testing.T) {
	small := with(idle("small", size), func(c *hoist.Candidate) { c.Free.CPU = 999 })
	leaving := with(idle("leaving", size), func(c *hoist.Candidate) { c.State = hoist.WorkerLeaving })
	busy := with(idle("busy", size), func(c *hoist.Candidate) { c.Usage = hoist.Resources{CPU: 6000, Memory: 1} })
	far := with(idle("far", size), func(c *hoist.Candidate) { c.DataCentre = "dc2" })
	replica := with(idle("replica", size), func(c *hoist.Candidate) { c.WorkerReplicas, c.Replicas, c.DataCentreReplicas = 1, 1, 1 })
	sameRack := with(idle("rack", size), func(c *hoist.Candidate) { c.Replicas, c.DataCentreReplicas = 1, 1 })
	sameDataCentre := with(idle("site", size), func(c *hoist.Candidate) { c.DataCentreReplicas = 1 })
	good := idle("good", size)
	cases := []struct {
		name       string
		query      hoist.PlacementQuery
		candidates []hoist.Candidate
		want       hoist.WorkerID
	}{
		{"no candidates", hoist.PlacementQuery{Need: need}, nil, ""},
		{"none fits", hoist.PlacementQuery{Need: need}, []hoist.Candidate{small, leaving}, ""},
		{"one fits", hoist.PlacementQuery{Need: need}, []hoist.Candidate{small, good, leaving}, "good"},
		{"another data centre is excluded", hoist.PlacementQuery{Need: need, DataCentre: "dc1"}, []hoist.Candidate{far, good, far}, "good"},
		{"accelerators are kept for tasks that need them", hoist.PlacementQuery{Need: need}, []hoist.Candidate{idle("a", accel), good, idle("a", accel)}, "good"},
		{"accelerators are used if nothing else fits", hoist.PlacementQuery{Need: need}, []hoist.Candidate{small, idle("good", accel)}, "good"},
		{"accelerators are needed", hoist.PlacementQuery{Need: hoist.Resources{Accel: 1}}, []hoist.Candidate{idle("c", size), idle("good", accel)}, "good"},
		{"worker that the learned size overloads is avoided", hoist.PlacementQuery{Need: need, Size: hoist.Resources{CPU: 3000}}, []hoist.Candidate{busy, good, busy}, "good"},
		{"declared size fits although the learned one overloads", hoist.PlacementQuery{Need: need, Size: size}, []hoist.Candidate{small, with(busy, func(c *hoist.Candidate) { c.Worker = "good" })}, "good"},
		{"worker with a replica is avoided", hoist.PlacementQuery{Need: need, Spread: true}, []hoist.Candidate{replica, with(sameRack, func(c *hoist.Candidate) { c.Worker = "good" }), replica}, "good"},
		{"rack with a replica is avoided", hoist.PlacementQuery{Need: need, Spread: true}, []hoist.Candidate{sameRack, with(sameDataCentre, func(c *hoist.Candidate) { c.Worker = "good" }), sameRack}, "good"},
		{"data centre with a replica is avoided", hoist.PlacementQuery{Need: need, Spread: true}, []hoist.Candidate{sameDataCentre, replica, good, sameRack}, "good"},
	}
	for _, c := range cases {
		for _, p := range policies {
			t.Run(fmt.Sprintf("%s/%T", c.name, p), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, 1))
				for range 20 {
					var got hoist.WorkerID
					if i := p.Choose(c.query, c.candidates, rng); i >= 0 {
						got = c.candidates[i].Worker
					}
					if got != c.want {
						t.Fatalf("chose %q, expected %q", got, c.want)
					}
				}
			})
		}
	}
}

// TestCountReplicas guards against counting racks with the same name in different
// data centres as one, and against AddReplica and CountReplicas disagreeing.
func TestCountReplicas(t *testing.T) {
	var cell []hoist.Candidate
	for _, dc := range []string{"dc1", "dc1", "dc2"} {
		cell = append(cell, with(idle(fmt.Sprint("w", len(cell)), size), func(c *hoist.Candidate) { c.DataCentre = hoist.DataCentreID(dc) }))
	}
	check := func(want [][3]int) {
		t.Helper()
		for i, c := range cell {
			if got := [3]int{c.WorkerReplicas, c.Replicas, c.DataCentreReplicas}; got != want[i] {
				t.Errorf("candidate %d has replicas %v, expected %v", i, got, want[i])
			}
		}
	}
	place.CountReplicas(cell, map[hoist.WorkerID]int{"w0": 2, "gone": 1})
	check([][3]int{{2, 2, 2}, {0, 2, 2}, {0, 0, 0}})
	place.AddReplica(cell, 1)
	check([][3]int{{2, 3, 3}, {1, 3, 3}, {0, 0, 0}})
	place.CountReplicas(cell, nil)
	check([][3]int{{}, {}, {}})
}

// TestPoliciesFindOnlyFittingWorker guards against policies that miss the only
// workers on which a task fits, or that choose a worker on which it does not fit.
func TestPoliciesFindOnlyFittingWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := make([]hoist.Candidate, rapid.IntRange(0, 40).Draw(t, "workers"))
		fits := false
		for i := range cell {
			cell[i] = idle("w", size)
			cell[i].Free.CPU = hoist.MilliCPU(rapid.IntRange(0, 1100).Draw(t, "free"))
			fits = fits || need.Fits(cell[i].Free)
		}
		query := hoist.PlacementQuery{Need: need, Spread: rapid.Bool().Draw(t, "spread")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, p := range policies {
			if i := p.Choose(query, cell, rng); (i >= 0) != fits || i >= 0 && !need.Fits(cell[i].Free) {
				t.Fatalf("%T chose %d of %v", p, i, cell)
			}
		}
	})
}

// TestExplain guards against verdicts that give a wrong cause, miss the nearest
// worker, or tell operators to wait for a job that can never run.
func TestExplain(t *testing.T) {
	cell := []hoist.Candidate{
		with(idle("full", size), func(c *hoist.Candidate) { c.Free = hoist.Resources{CPU: 500} }),
		with(idle("fuller", size), func(c *hoist.Candidate) { c.Free = hoist.Resources{Memory: 900} }),
		with(idle("leaving", accel), func(c *hoist.Candidate) { c.State = hoist.WorkerLeaving }),
		with(idle("failing", size), func(c *hoist.Candidate) { c.State = hoist.WorkerFailing }),
		with(idle("far", size), func(c *hoist.Candidate) { c.DataCentre = "dc2" }),
	}
	inDC1 := func(need hoist.Resources) hoist.PlacementQuery {
		return hoist.PlacementQuery{Need: need, DataCentre: "dc1"}
	}
	cases := []struct {
		name       string
		query      hoist.PlacementQuery
		tasks      int
		cell       []hoist.Candidate
		impossible bool
		want       string
	}{
		{"task fits now", hoist.PlacementQuery{Need: need}, 1, cell, false, "fits now"},
		{"no worker", hoist.PlacementQuery{Need: need}, 1, nil, false, "no worker is known"},
		{"fits on no worker now", inDC1(need), 1, cell, false, "fits nowhere now: of 5 workers, 1 in another data centre; 1 leaving; " + "1 backed off because tasks fail on them; 2 with too few cores free (full lacks 0.500 cores); " + "2 with too little memory free (fuller lacks 100 MiB)"},
		{"too large", hoist.PlacementQuery{Need: hoist.Resources{CPU: 9000, Memory: 8001}}, 1, cell[4:], true, "can never run on these 1 workers: 1 with too few cores even when empty (far lacks 1.000 cores); " + "1 with too little memory even when empty (far lacks 1 MiB)"},
		{"accelerators only on a leaving worker", inDC1(accel), 1, cell[2:4], true, "can never run on these 2 workers: 1 leaving; " + "1 with too few accelerators even when empty (failing lacks 1 accelerators)"},
		{"gang does not fit now", hoist.PlacementQuery{Need: need}, 9, cell[3:], false, "fits nowhere now: of 2 workers, 1 backed off because tasks fail on them; " + "1 with room for some of the tasks, but not for all at once now (1.000 cores, 1000 MiB more needed)"},
		{"gang can never fit", hoist.PlacementQuery{Need: need}, 10, cell[4:], true, "can never run on these 1 workers: 1 with room for some of the tasks, but not for all at once even when empty (2.000 cores, 2000 MiB more needed)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := place.Explain(c.query, c.tasks, c.cell)
			if v.String() != c.want || v.IsImpossible() != c.impossible {
				t.Errorf("verdict is %q (impossible: %v), expected %q", v, v.IsImpossible(), c.want)
			}
		})
	}
}
