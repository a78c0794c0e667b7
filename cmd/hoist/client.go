package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// callTimeout bounds one call of the client.
const callTimeout = 15 * time.Second

// clientFlags are the flags of all commands that talk to a host.
type clientFlags struct {
	Server string `help:"URL of a host's operator address." default:"http://127.0.0.1:8081" env:"HOIST_SERVER" placeholder:"URL"`
	Token  string `help:"Token of an operator or viewer." env:"HOIST_TOKEN" placeholder:"TOKEN"`
	Output string `help:"Output format: table for people, json for programs." enum:"table,json" default:"table"`
}

// ask makes one call and prints its reply: as JSON, or by table.
func ask[Out, In any](ctx context.Context, c *clientFlags, method, path string, in In, table func(Out) [][]string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := &rest.Client{BaseURL: strings.TrimSuffix(c.Server, "/"), Token: c.Token}
	out, err := rest.Call[Out](ctx, client, method, "/api/v1"+path, in)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(out)
	}
	return printTable(table(out))
}

// get is ask for calls that read without parameters.
func get[Out any](ctx context.Context, c *clientFlags, path string, table func(Out) [][]string) error {
	return ask(ctx, c, http.MethodGet, path, rest.Empty{}, table)
}

// post is ask for all other calls.
func post[Out, In any](ctx context.Context, c *clientFlags, path string, in In, table func(Out) [][]string) error {
	return ask(ctx, c, http.MethodPost, path, in, table)
}

// done makes the table of a reply without content.
func done(format string, args ...any) func(rest.Empty) [][]string {
	return func(rest.Empty) [][]string { return [][]string{{fmt.Sprintf(format, args...)}} }
}

func printTable(rows [][]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
