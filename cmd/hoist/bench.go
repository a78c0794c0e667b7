package main

import (
	"os"
	"runtime/pprof"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// benchCmd groups the benchmarks of decisions.
type benchCmd struct {
	Placement benchPlacementCmd `cmd:"" help:"Fill cells with seeded work under each placement policy and print a table."`
	Plans     benchPlansCmd     `cmd:"" help:"Run one owner of plans with simulated workers and print what it costs."`
}

// benchPlacementCmd compares the placement policies on seeded work.
type benchPlacementCmd struct {
	Workers []int `help:"Sizes of the cells." default:"50,1300"`
	Seeds   int   `help:"Number of seeds; the table has the mean." default:"5"`
}

// Run executes hoist bench placement.
func (c *benchPlacementCmd) Run() error {
	return bench.Placement(os.Stdout, c.Workers, c.Seeds)
}

// benchPlansCmd shows how the cost of an owner of plans grows with its workers.
type benchPlansCmd struct {
	Workers  []int         `help:"Numbers of workers." default:"300,1000,3000"`
	Hosts    int           `help:"Number of hosts that send requests for advice." default:"97"`
	Rate     float64       `help:"Starts a second for each worker." default:"0.5"`
	Duration time.Duration `help:"Time for which plans are submitted, for each number of workers." default:"10s"`
	Profile  string        `help:"File for a CPU profile." type:"path"`
}

// Run executes hoist bench plans.
func (c *benchPlansCmd) Run() error {
	if c.Rate <= 0 || c.Duration <= 0 || c.Hosts < 1 || slices.Min(c.Workers) < 1 {
		return merry.New("workers, hosts, rate and duration must be positive")
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	return bench.Plans(os.Stdout, c.Workers, bench.PlansInput{Hosts: c.Hosts, StartsPerWorker: c.Rate, Duration: c.Duration, Seed: 1})
}
