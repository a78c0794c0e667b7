package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/tool/load"
)

// loadCmd compares policies over seeded loads.
type loadCmd struct {
	Workload []string `help:"Workloads to run; all if none is given." placeholder:"NAME"`
	Policy   []string `help:"Policies to compare on virtual time; all if none is given." placeholder:"NAME"`
	Seed     uint64   `help:"Seed of the arrivals, the work and the choices." default:"1"`
	Daemons  bool     `help:"Run the workloads through daemons on loopback instead."`
	Sizes    string   `help:"Sizes of the work on virtual time: virtual, or real as with --daemons." enum:"virtual,real" default:"virtual"`
	Log      bool     `help:"With --daemons, write the daemons' log to standard error."`
	List     bool     `help:"List the workloads and policies and exit."`
}

// errLoad reports a breach of the checks; the table has the counts.
var errLoad = merry.Sentinel("requests were lost, doubled or crossed, or slots were overcommitted")

// Run implements the command.
func (c *loadCmd) Run(ctx context.Context) error {
	if c.List {
		c.list()
		return nil
	}
	workloads, err := pick(c.Workload, load.Workloads(), load.Find)
	if err != nil {
		return err
	}
	if c.Daemons {
		return c.runDaemons(ctx, workloads)
	}
	policies, err := pick(c.Policy, load.Policies(), load.FindPolicy)
	if err != nil {
		return err
	}
	scale := load.VirtualScale
	if c.Sizes == "real" {
		scale = load.RealScale
	}
	violations := 0
	load.PrintHeader(os.Stdout)
	for _, w := range workloads {
		if w.KillHost {
			continue
		}
		in := w.Input(scale, c.Seed)
		for _, p := range policies {
			result := load.Simulate(in, p, c.Seed)
			result.Print(os.Stdout)
			violations += result.Violations()
		}
	}
	return verdict(violations)
}

func (c *loadCmd) runDaemons(ctx context.Context, workloads []load.Workload) error {
	violations := 0
	load.PrintHeader(os.Stdout)
	for _, w := range workloads {
		cell := &load.Cell{In: w.Input(load.RealScale, c.Seed)}
		if c.Log {
			cell.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		}
		result, err := cell.Run(ctx)
		if err != nil {
			return err
		}
		result.Print(os.Stdout)
		violations += result.Violations()
	}
	return verdict(violations)
}

func verdict(violations int) error {
	if violations > 0 {
		return errLoad
	}
	return nil
}

func (c *loadCmd) list() {
	for _, w := range load.Workloads() {
		fmt.Printf("workload %-18s %s\n", w.Name, w.Help)
	}
	for _, p := range load.Policies() {
		fmt.Printf("policy   %-18s baseline: %v\n", p.Name, p.IsBaseline)
	}
}

// pick returns the named values, or all if no name is given.
func pick[T any](names []string, all []T, find func(string) (T, error)) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, name := range names {
		v, err := find(name)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}
