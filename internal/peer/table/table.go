// Package table implements the HTTP client of the platform's transactional table
// service.
//
// # Usage
//
//	t := &table.Client{REST: &rest.Client{BaseURL: url, HTTP: httpClient}}
//	err := t.Commit(ctx, hoist.Txn{ID: id, Checks: checks, Puts: puts})
//
// CommitResolved commits a transaction. If the answer is lost, it reads the rows
// back to resolve the outcome:
//
//	err := table.CommitResolved(ctx, t, txn)
package table

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// resolveTimeout bounds the read that resolves the outcome after a lost answer. It
// equals the membership's time-out of one call, of which two must fit in a renewal
// interval.
const resolveTimeout = 500 * time.Millisecond

// Client implements hoist.Table. Its methods may be called concurrently.
type Client struct {
	REST *rest.Client
}

// Read implements hoist.Table.
func (c *Client) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	in := wire.RowKeys{Keys: codec.Strings(keys)}
	return c.rows(ctx, "/v1/table/read", in)
}

// Scan implements hoist.Table.
func (c *Client) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	in := wire.RowKeys{Keys: []string{string(prefix)}}
	return c.rows(ctx, "/v1/table/scan", in)
}

func (c *Client) rows(ctx context.Context, path string, in wire.RowKeys) ([]hoist.Row, error) {
	out, err := rest.Call[wire.Rows](ctx, c.REST, http.MethodPost, path, in)
	if err != nil {
		// Reads have no effect, so no outcome is unknown.
		return nil, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "table: reading %v", in.Keys)
	}
	return codec.Map(out.Rows, codec.ToRow), nil
}

// Commit implements hoist.Table.
func (c *Client) Commit(ctx context.Context, txn hoist.Txn) error {
	_, err := rest.Call[rest.Empty](ctx, c.REST, http.MethodPost, "/v1/table/commit", codec.Txn(txn))
	return merry.Prependf(err, "table: transaction %s", txn.ID)
}

// CommitResolved commits txn. If the answer is lost, it reads the rows back. If txn
// wrote one of them, it took effect. If another transaction made the next write to
// a row that txn checks and writes, txn had no effect and the error is
// hoist.ErrConflict. If the rows cannot be read or do not show the outcome, the
// error is hoist.ErrOutcomeUnknown.
func CommitResolved(ctx context.Context, t hoist.Table, txn hoist.Txn) error {
	err := t.Commit(ctx, txn)
	if !errors.Is(err, hoist.ErrOutcomeUnknown) {
		return err
	}
	keys := make([]hoist.RowKey, 0, len(txn.Puts))
	for _, p := range txn.Puts {
		keys = append(keys, p.Key)
	}
	// The answer is often lost because ctx has ended, so the read has a time-out
	// of its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	rows, readErr := t.Read(ctx, keys...)
	if readErr != nil {
		return err
	}
	return resolveOutcome(txn, rows, err)
}

// resolveOutcome returns the result of a transaction according to the rows that it
// writes, or unknown if they do not show it.
func resolveOutcome(txn hoist.Txn, rows []hoist.Row, unknown error) error {
	read := make(map[hoist.RowKey]hoist.Row, len(rows))
	for _, row := range rows {
		if row.Txn == txn.ID {
			return nil
		}
		read[row.Key] = row
	}
	for _, check := range txn.Checks {
		// A later version does not show which transaction made the write that
		// followed the checked version.
		if row, ok := read[check.Key]; ok && row.Version == check.Version+1 {
			return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("table: transaction %s on row %q", txn.ID, check.Key))
		}
	}
	return unknown
}
