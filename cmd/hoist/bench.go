package main

import (
	"os"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// benchCmd groups the benchmarks of decisions.
type benchCmd struct {
	Placement benchPlacementCmd `cmd:"" help:"Fill cells with seeded work under each placement policy and print a table."`
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
