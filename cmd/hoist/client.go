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

// callTimeout bounds one call to a host.
const callTimeout = 15 * time.Second

// clientFlags are the flags of all commands that call a host.
type clientFlags struct {
	Server string `help:"URL of a host's operator address." default:"http://127.0.0.1:8081" env:"HOIST_SERVER" placeholder:"URL"`
	Token  string `help:"Token of an operator or viewer." env:"HOIST_TOKEN" placeholder:"TOKEN"`
	Output string `help:"Output format: table for people, json for programs." enum:"table,json" default:"table"`
}

// call makes one call to the operator API of a host and prints the reply, as JSON or
// as the table that the function table returns, depending on the flag for the output.
func call[Out, In any](ctx context.Context, c *clientFlags, method, path string, in In, table func(Out) [][]string) error {
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

// get is call for calls that read and have no parameters.
func get[Out any](ctx context.Context, c *clientFlags, path string, table func(Out) [][]string) error {
	return call(ctx, c, http.MethodGet, path, rest.Empty{}, table)
}

// post is call for all other calls.
func post[Out, In any](ctx context.Context, c *clientFlags, path string, in In, table func(Out) [][]string) error {
	return call(ctx, c, http.MethodPost, path, in, table)
}

// confirmation returns a table function that prints one line for a reply without
// content.
func confirmation(format string, args ...any) func(rest.Empty) [][]string {
	return func(rest.Empty) [][]string { return [][]string{{fmt.Sprintf(format, args...)}} }
}

// printTable prints rows to standard output with aligned columns.
func printTable(rows [][]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
