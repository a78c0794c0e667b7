// Command hoist is the operators' client of fuchsiahoist.
//
// Exit codes: 0 success, 1 the command failed or a check did not hold, 2 bad
// arguments, settings or input.
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

	"fuchsiahoist.example/hoist/internal/tool/demo"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Demo  demoCmd  `cmd:"" help:"Run a small cell in this process, with failures, and check the outcome."`
	Bench benchCmd `cmd:"" help:"Measure decisions on seeded input."`
}

// demoCmd runs the demonstration.
type demoCmd struct {
	Input string `help:"JSON Lines file of requests and jobs." type:"path" placeholder:"FILE"`
	Seed  uint64 `help:"Seed of the service times." default:"1"`
	Log   bool   `help:"Write the daemons' log to standard error."`
}

// errCheck reports a check that did not hold; the report names it.
var errCheck = merry.Sentinel("the check did not hold")

// Run implements the command.
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
	result, err := run.Do(ctx)
	if err == nil && len(result.Violations) > 0 {
		err = errCheck
	}
	return err
}

func readInput(path string) ([]demo.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, hoist.Turn(demo.ErrInput, err)
	}
	defer file.Close()
	return demo.ReadInput(file, path)
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := kong.Must(&cli{}, kong.Name("hoist"), kong.Description("Client of the fuchsiahoist cluster scheduler."),
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
	if errors.Is(err, demo.ErrInput) {
		return exitUsage
	}
	return exitFailed
}
