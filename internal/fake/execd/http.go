package execd

import (
	"context"
	"io"
	"net/http"
	"strconv"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/exec"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

func (e *Executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("PUT /v1/term", rest.Handle(e.serveAdopt))
	mux.Handle("GET /v1/report", rest.Handle(e.serveReport))
	mux.Handle("POST /v1/settle", rest.Handle(e.serveResolveOutcome))
	mux.HandleFunc("POST /v1/run", e.serveRun)
	return mux
}

func (e *Executor) serveAdopt(ctx context.Context, in wire.TermChange) (wire.ExecutorReport, error) {
	report, err := e.Adopt(ctx, hoist.Term(in.Term))
	return codec.ExecutorReport(report), err
}

func (e *Executor) serveReport(ctx context.Context, _ rest.Empty) (wire.ExecutorReport, error) {
	report, err := e.Report(ctx)
	return codec.ExecutorReport(report), err
}

func (e *Executor) serveResolveOutcome(ctx context.Context, in wire.Settle) (wire.Answer, error) {
	answer, err := e.ResolveOutcome(ctx, hoist.Term(in.Term), hoist.RequestKey(in.Key), hoist.AttemptNo(in.Attempt))
	return codec.Answer(answer), err
}

func (e *Executor) serveRun(w http.ResponseWriter, r *http.Request) {
	term, err1 := strconv.ParseUint(r.Header.Get(exec.HeaderTerm), 10, 64)
	no, err2 := strconv.ParseUint(r.Header.Get(exec.HeaderAttempt), 10, 32)
	body, err3 := io.ReadAll(http.MaxBytesReader(w, r.Body, rest.MaxBodyBytes))
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			rest.WriteError(w, hoist.ConvertError(hoist.ErrInvalid, err))
			return
		}
	}
	a := hoist.Attempt{No: hoist.AttemptNo(no)}
	a.Request.Key = hoist.RequestKey(r.Header.Get(exec.HeaderKey))
	a.Request.Body = body
	// A real executor continues when the connection breaks.
	answer, err := e.Run(context.WithoutCancel(r.Context()), hoist.Term(term), a)
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	w.Header().Set(exec.HeaderKey, string(answer.Key))
	w.Header().Set(exec.HeaderAttempt, strconv.FormatUint(no, 10))
	w.Header().Set(exec.HeaderDigest, codec.Digest(hoist.DigestOf(answer.Body)))
	// Write fails only if the connection is closed; the executor continues.
	_, _ = w.Write(answer.Body)
}
