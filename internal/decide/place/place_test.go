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

// TestChoose guards against policies that choose what is not allowed, or prefer
// what they must avoid. The candidate "good" is the one to choose.
func TestChoose(t *testing.T) {
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
		ask        hoist.Ask
		candidates []hoist.Candidate
		want       hoist.WorkerID
	}{
		{"none", hoist.Ask{Need: need}, nil, ""},
		{"none fits", hoist.Ask{Need: need}, []hoist.Candidate{small, leaving}, ""},
		{"one fits", hoist.Ask{Need: need}, []hoist.Candidate{small, good, leaving}, "good"},
		{"data centre", hoist.Ask{Need: need, DataCentre: "dc1"}, []hoist.Candidate{far, good, far}, "good"},
		{"accelerators are kept", hoist.Ask{Need: need}, []hoist.Candidate{idle("a", accel), good, idle("a", accel)}, "good"},
		{"accelerators are used if nothing else fits", hoist.Ask{Need: need}, []hoist.Candidate{small, idle("good", accel)}, "good"},
		{"accelerators are needed", hoist.Ask{Need: hoist.Resources{Accel: 1}}, []hoist.Candidate{idle("c", size), idle("good", accel)}, "good"},
		{"learned size overloads", hoist.Ask{Need: need, Size: hoist.Resources{CPU: 3000}}, []hoist.Candidate{busy, good, busy}, "good"},
		{"declared size fits although the learned one overloads", hoist.Ask{Need: need, Size: size}, []hoist.Candidate{small, with(busy, func(c *hoist.Candidate) { c.Worker = "good" })}, "good"},
		{"worker of a replica", hoist.Ask{Need: need, Spread: true}, []hoist.Candidate{replica, with(sameRack, func(c *hoist.Candidate) { c.Worker = "good" }), replica}, "good"},
		{"rack of a replica", hoist.Ask{Need: need, Spread: true}, []hoist.Candidate{sameRack, with(sameDataCentre, func(c *hoist.Candidate) { c.Worker = "good" }), sameRack}, "good"},
		{"data centre of a replica", hoist.Ask{Need: need, Spread: true}, []hoist.Candidate{sameDataCentre, replica, good, sameRack}, "good"},
	}
	for _, c := range cases {
		for _, p := range policies {
			t.Run(fmt.Sprintf("%s/%T", c.name, p), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, 1))
				for range 20 {
					var got hoist.WorkerID
					if i := p.Choose(c.ask, c.candidates, rng); i >= 0 {
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

// TestCountReplicas guards against counting racks of one name in two data
// centres as one.
func TestCountReplicas(t *testing.T) {
	var cell []hoist.Candidate
	for _, dc := range []string{"dc1", "dc1", "dc2"} {
		cell = append(cell, with(idle(fmt.Sprint("w", len(cell)), size), func(c *hoist.Candidate) { c.DataCentre = hoist.DataCentreID(dc) }))
	}
	place.CountReplicas(cell, map[hoist.WorkerID]int{"w0": 2, "gone": 1})
	for i, want := range [][3]int{{2, 2, 2}, {0, 2, 2}, {0, 0, 0}} {
		if got := [3]int{cell[i].WorkerReplicas, cell[i].Replicas, cell[i].DataCentreReplicas}; got != want {
			t.Errorf("candidate %d has replicas %v, expected %v", i, got, want)
		}
	}
}

// TestFindsFit guards against policies that miss the only workers that fit, or
// choose one that does not.
func TestFindsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := make([]hoist.Candidate, rapid.IntRange(0, 40).Draw(t, "workers"))
		fits := false
		for i := range cell {
			cell[i] = idle("w", size)
			cell[i].Free.CPU = hoist.MilliCPU(rapid.IntRange(0, 1100).Draw(t, "free"))
			fits = fits || need.Fits(cell[i].Free)
		}
		ask := hoist.Ask{Need: need, Spread: rapid.Bool().Draw(t, "spread")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, p := range policies {
			if i := p.Choose(ask, cell, rng); (i >= 0) != fits || i >= 0 && !need.Fits(cell[i].Free) {
				t.Fatalf("%T chose %d of %v", p, i, cell)
			}
		}
	})
}
