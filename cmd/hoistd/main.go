// Command hoistd is the daemon of fuchsiahoist. Every entry host runs one.
//
// It runs until it receives SIGTERM or SIGINT. It then leaves the cell, and requests in
// flight are still answered. Exit codes: 0 after a clean stop, 1 if it failed, 2 for
// invalid arguments or settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"fuchsiahoist.example/hoist/internal/core/certs"
	"fuchsiahoist.example/hoist/internal/core/daemon"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/peer/hosts"
	"fuchsiahoist.example/hoist/internal/peer/object"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Settings string `help:"Settings file (TOML)." required:"" type:"path" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the daemon with the given arguments and returns the exit code.
func run(args []string) int {
	var c cli
	parser := kong.Must(&c, kong.Name("hoistd"), kong.Description("Daemon of the fuchsiahoist cluster scheduler."))
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistd:", err)
		return exitUsage
	}
	p, err := params.Load(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoistd:", err)
		return exitUsage
	}
	if c.Check {
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(p); err != nil {
		fmt.Fprintln(os.Stderr, "hoistd:", err)
		if errors.Is(err, certs.ErrFiles) {
			return exitUsage
		}
		return exitFailed
	}
	return 0
}

// serve runs the daemon until it has stopped after a signal.
func serve(p params.Params) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	client := &rest.Client{BaseURL: p.PlatformURL, HTTP: &http.Client{}}
	d := &daemon.Daemon{
		Params:   p,
		Table:    &table.Client{REST: client},
		HostList: &hosts.Client{REST: client},
		Store:    &object.Client{REST: client},
		Log:      slog.New(slog.NewJSONHandler(os.Stderr, nil)),
	}
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Run(ctx)
}
