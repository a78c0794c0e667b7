package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/tool/load"
)

// loadCmd runs seeded workloads and compares policies on them.
type loadCmd struct {
	Workload []string `help:"Workloads to run; all if none is given." placeholder:"NAME"`
	Policy   []string `help:"Policies to compare on virtual time; all if none is given." placeholder:"NAME"`
	Seed     uint64   `help:"Seed of the arrivals, the work and the choices." default:"1"`
	Daemons  bool     `help:"Run the workloads through daemons on loopback instead."`
	Sizes    string   `help:"Sizes of the work on virtual time: virtual, or real as with --daemons." enum:"virtual,real" default:"virtual"`
	Log      bool     `help:"With --daemons, write the daemons' log to standard error."`
	List     bool     `help:"List the workloads and policies and exit."`
}

// errLoadCheck reports violations of the invariants; the printed table has their counts.
var errLoadCheck = merry.Sentinel("requests were lost, duplicated or mismatched, or slots were overcommitted")

// Run executes hoist load.
func (c *loadCmd) Run(ctx context.Context) error {
	if c.List {
		c.list()
		return nil
	}
	workloads, err := selectByName(c.Workload, load.Workloads(), load.Find)
	if err != nil {
		return err
	}
	if c.Daemons {
		return c.runDaemons(ctx, workloads)
	}
	policies, err := selectByName(c.Policy, load.Policies(), load.FindPolicy)
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
	return violationError(violations)
}

// runDaemons runs the workloads through daemons on loopback.
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
	return violationError(violations)
}

// violationError returns errLoadCheck if there are violations.
func violationError(violations int) error {
	if violations > 0 {
		return errLoadCheck
	}
	return nil
}

// list prints the workloads and policies.
func (c *loadCmd) list() {
	for _, w := range load.Workloads() {
		fmt.Printf("workload %-18s %s\n", w.Name, w.Help)
	}
	for _, p := range load.Policies() {
		fmt.Printf("policy   %-18s baseline: %v\n", p.Name, p.IsBaseline)
	}
}

// selectByName returns the values that find returns for the names, or all if there are
// no names.
func selectByName[T any](names []string, all []T, find func(string) (T, error)) ([]T, error) {
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
