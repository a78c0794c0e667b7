package plat

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/table/read", rest.Handle(p.serveRead))
	mux.Handle("POST /v1/table/scan", rest.Handle(p.serveScan))
	mux.Handle("POST /v1/table/commit", rest.Handle(p.serveCommit))
	mux.Handle("GET /v1/hosts", rest.Handle(p.serveList))
	mux.HandleFunc("PUT /v1/objects/{name}", p.servePut)
	mux.HandleFunc("GET /v1/objects/{name}", p.serveGet)
	return mux
}

func (p *Platform) serveRead(ctx context.Context, in wire.RowKeys) (wire.Rows, error) {
	rows, err := p.Read(ctx, codec.IDs[hoist.RowKey](in.Keys)...)
	return wire.Rows{Rows: codec.Map(rows, codec.Row)}, err
}

func (p *Platform) serveScan(ctx context.Context, in wire.RowKeys) (wire.Rows, error) {
	if len(in.Keys) != 1 {
		return wire.Rows{}, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("scan needs one prefix, got %d", len(in.Keys)))
	}
	rows, err := p.Scan(ctx, hoist.RowKey(in.Keys[0]))
	return wire.Rows{Rows: codec.Map(rows, codec.Row)}, err
}

func (p *Platform) serveCommit(ctx context.Context, in wire.Txn) (rest.Empty, error) {
	err := p.Commit(ctx, codec.ToTxn(in))
	if errors.Is(err, hoist.ErrOutcomeUnknown) {
		// Closes the connection without an answer, as if the answer was lost.
		panic(http.ErrAbortHandler)
	}
	return rest.Empty{}, err
}

func (p *Platform) serveList(ctx context.Context, _ rest.Empty) (wire.HostList, error) {
	entries, err := p.List(ctx)
	return wire.HostList{Hosts: codec.Map(entries, codec.Listed)}, err
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rest.MaxBodyBytes))
	if err == nil {
		err = p.Put(r.Context(), r.PathValue("name"), body)
	}
	if err != nil {
		rest.WriteError(w, err)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	body, err := p.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	// Write fails only if the connection is closed, so no error can be sent.
	_, _ = w.Write(body)
}
