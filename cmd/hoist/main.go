// Command hoist is the operators' client of fuchsiahoist.
//
// Exit codes: 0 success, 1 the command failed or found a violation of an invariant,
// 2 invalid arguments, settings or input.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"

	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/tool/demo"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Config   configCmd   `cmd:"" help:"Look at and change the configuration."`
	Job      jobCmd      `cmd:"" help:"Submit, look at and cancel jobs."`
	Worker   workerCmd   `cmd:"" help:"Look at and drain workers."`
	Executor executorCmd `cmd:"" help:"Look at and drain executors."`
	Host     hostCmd     `cmd:"" help:"Look at the entry hosts."`
	Report   reportCmd   `cmd:"" help:"Print a report."`
	Demo     demoCmd     `cmd:"" help:"Run a small cell in this process, with failures, and check the outcome."`
	Bench    benchCmd    `cmd:"" help:"Measure decisions on seeded input."`
	Load     loadCmd     `cmd:"" help:"Compare policies over seeded loads."`
}

// newCLI returns the commands. It sets the fields that distinguish commands of the same
// type.
func newCLI() *cli {
	return &cli{
		Worker: workerCmd{
			Drain:   drainCmd{kind: hoist.HostKindWorker, isDrain: true},
			Undrain: drainCmd{kind: hoist.HostKindWorker},
		},
		Executor: executorCmd{
			Drain:   drainCmd{kind: hoist.HostKindExecutor, isDrain: true},
			Undrain: drainCmd{kind: hoist.HostKindExecutor},
		},
	}
}

// demoCmd runs the demonstration.
type demoCmd struct {
	Input string `help:"JSON Lines file of requests and jobs." type:"path" placeholder:"FILE"`
	Seed  uint64 `help:"Seed of the service times." default:"1"`
	Log   bool   `help:"Write the daemons' log to standard error."`
	Serve bool   `help:"Start the cell, print its addresses and serve until interrupted."`
	Hosts int    `help:"With --serve: number of daemons; 0 starts the stand-ins only." default:"3"`

	Workers   int `help:"With --serve: number of workers." default:"6"`
	Executors int `help:"With --serve: number of executors." default:"6"`
}

// errDemoCheck reports violations of invariants; the printed report names them.
var errDemoCheck = merry.Sentinel("the run violated invariants")

// Run executes hoist demo.
func (c *demoCmd) Run(ctx context.Context) error {
	input := demo.DefaultInput()
	if c.Input != "" {
		var err error
		if input, err = readInput(c.Input); err != nil {
			return err
		}
	}
	run := &demo.Run{Out: os.Stdout, Input: input, Seed: c.Seed}
	if c.Log {
		run.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	if c.Serve {
		run.Hosts, run.Workers, run.Executors = c.Hosts, c.Workers, c.Executors
		return run.Serve(ctx)
	}
	result, err := run.Do(ctx)
	if err == nil && len(result.Violations) > 0 {
		err = errDemoCheck
	}
	return err
}

// readInput reads an input file. It returns demo.ErrInput if the file cannot be read.
func readInput(path string) ([]demo.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, hoist.ConvertError(demo.ErrInput, err)
	}
	defer file.Close()
	return demo.ReadInput(file, path)
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command in args and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := kong.Must(newCLI(), kong.Name("hoist"), kong.Description("Client of the fuchsiahoist cluster scheduler."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoist:", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hoist:", err)
		return exitCode(err)
	}
	return 0
}

func exitCode(err error) int {
	for _, kind := range []error{demo.ErrInput, config.ErrDocument, hoist.ErrInvalid} {
		if errors.Is(err, kind) {
			return exitUsage
		}
	}
	return exitFailed
}
