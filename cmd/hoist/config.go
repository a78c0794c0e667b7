package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// configCmd groups the commands on the configuration.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check a document without a host."`
	Show    configShowCmd    `cmd:"" help:"Print the document in force."`
	Diff    configDiffCmd    `cmd:"" help:"Check a document against the cell and print what it would change."`
	Apply   configApplyCmd   `cmd:"" help:"Make a document the accepted configuration."`
	Status  configStatusCmd  `cmd:"" help:"Print the version on each host."`
	History configHistoryCmd `cmd:"" help:"Print the accepted changes."`
}

type configCheckCmd struct {
	File string `arg:"" help:"Document in TOML."`
}

// Run executes hoist config check. It prints each problem of the document on a line of
// its own.
func (c *configCheckCmd) Run() error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	_, err = config.Parse(text)
	for _, p := range config.Problems(err) {
		fmt.Fprintf(os.Stderr, "%s: %s\n", c.File, p)
	}
	if err == nil {
		fmt.Println("the document is valid")
	}
	return err
}

// readDocument returns the content of a file. It returns config.ErrDocument if the file
// cannot be read, so that the exit code is that of bad input.
func readDocument(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", hoist.ConvertError(config.ErrDocument, err)
	}
	return string(text), nil
}

type configShowCmd struct{ clientFlags }

// Run executes hoist config show.
func (c *configShowCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/config", func(d wire.ConfigDocument) [][]string {
		return [][]string{{d.Document}}
	})
}

type configDiffCmd struct {
	clientFlags
	File string `arg:"" help:"Document in TOML."`
}

// Run executes hoist config diff.
func (c *configDiffCmd) Run(ctx context.Context) error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	in := wire.ConfigDocument{Document: text}
	return post(ctx, &c.clientFlags, "/config/diff", in, func(d wire.ConfigDiff) [][]string {
		var rows [][]string
		for _, line := range d.Lines {
			rows = append(rows, []string{line})
		}
		return rows
	})
}

type configApplyCmd struct {
	clientFlags
	File string `arg:"" help:"Document in TOML."`
}

// Run executes hoist config apply.
func (c *configApplyCmd) Run(ctx context.Context) error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	in := wire.ConfigDocument{Document: text}
	return post(ctx, &c.clientFlags, "/config", in, func(ch wire.ConfigChange) [][]string {
		return [][]string{{fmt.Sprintf("version %d (%s) is accepted", ch.Version, ch.ChangeId)}}
	})
}

type configStatusCmd struct{ clientFlags }

// Run executes hoist config status.
func (c *configStatusCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/hosts", func(h wire.HostStatuses) [][]string {
		rows := [][]string{{"HOST", "VERSION", "HEARD"}}
		for _, host := range h.Hosts {
			rows = append(rows, []string{host.Member.Host, strconv.Itoa(host.Config), lastHeartbeatText(host)})
		}
		return rows
	})
}

type configHistoryCmd struct{ clientFlags }

// Run executes hoist config history.
func (c *configHistoryCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/config/history", func(h wire.ConfigHistory) [][]string {
		rows := [][]string{{"VERSION", "CHANGE"}}
		for _, change := range h.Changes {
			rows = append(rows, []string{strconv.Itoa(change.Version), change.ChangeId})
		}
		return rows
	})
}
