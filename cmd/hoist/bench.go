package main

import (
	"os"

	"fuchsiahoist.example/hoist/internal/tool/bench"
)

// benchCmd measures decisions.
type benchCmd struct {
	Placement benchPlacementCmd `cmd:"" help:"Fill cells with seeded work under each placement policy and print a table."`
}

// benchPlacementCmd compares the placement policies.
type benchPlacementCmd struct {
	Workers []int `help:"Sizes of the cells." default:"50,1300"`
	Seeds   int   `help:"Number of seeds; the table has the mean." default:"5"`
}

// Run implements the command.
func (c *benchPlacementCmd) Run() error {
	return bench.Placement(os.Stdout, c.Workers, c.Seeds)
}
