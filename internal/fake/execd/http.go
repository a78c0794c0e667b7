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
	mux.Handle("POST /v1/settle", rest.Handle(e.serveSettle))
	mux.HandleFunc("POST /v1/run", e.serveRun)
	return mux
}

func (e *Executor) serveAdopt(_ context.Context, in wire.TermChange) (wire.ExecutorReport, error) {
	report, err := e.adopt(hoist.Term(in.Term))
	return codec.ExecutorReport(report), err
}

func (e *Executor) serveReport(context.Context, rest.Empty) (wire.ExecutorReport, error) {
	return codec.ExecutorReport(e.current()), nil
}

func (e *Executor) serveSettle(_ context.Context, in wire.Settle) (wire.Answer, error) {
	id := attemptID{hoist.RequestKey(in.Key), hoist.AttemptNo(in.Attempt)}
	answer, err := e.settle(hoist.Term(in.Term), id)
	return codec.Answer(answer), err
}

func (e *Executor) serveRun(w http.ResponseWriter, r *http.Request) {
	term, err1 := strconv.ParseUint(r.Header.Get(exec.HeaderTerm), 10, 64)
	no, err2 := strconv.ParseUint(r.Header.Get(exec.HeaderAttempt), 10, 32)
	body, err3 := io.ReadAll(http.MaxBytesReader(w, r.Body, rest.MaxBody))
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			rest.WriteError(w, hoist.Turn(hoist.ErrInvalid, err))
			return
		}
	}
	id := attemptID{hoist.RequestKey(r.Header.Get(exec.HeaderKey)), hoist.AttemptNo(no)}
	answer, err := e.run(hoist.Term(term), id, body)
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	w.Header().Set(exec.HeaderKey, string(id.key))
	w.Header().Set(exec.HeaderAttempt, strconv.FormatUint(no, 10))
	w.Header().Set(exec.HeaderDigest, codec.Digest(hoist.DigestOf(answer)))
	// The executor goes on without the caller if the connection is gone.
	_, _ = w.Write(answer)
}
