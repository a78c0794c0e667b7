package work

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("PUT /v1/term", rest.Handle(w.serveAdopt))
	mux.Handle("POST /v1/tasks", rest.Handle(w.serveStart))
	mux.Handle("POST /v1/renew", rest.Handle(w.serveRenew))
	mux.Handle("POST /v1/stop", rest.Handle(w.serveStop))
	return mux
}

func (w *Worker) serveAdopt(_ context.Context, in wire.TermChange) (wire.WorkerReport, error) {
	report, err := w.adopt(hoist.Term(in.Term))
	return codec.WorkerReport(report), err
}

func (w *Worker) serveStart(_ context.Context, in wire.Grant) (rest.Empty, error) {
	return rest.Empty{}, w.start(codec.ToGrant(in))
}

func (w *Worker) serveRenew(_ context.Context, in wire.Renewal) (wire.Renewed, error) {
	lease := time.Duration(in.LeaseUs) * time.Microsecond
	report, err := w.renew(hoist.Term(in.Term), lease, codec.Map(in.Acked, codec.ToTaskAttempt))
	if err != nil {
		return wire.Renewed{}, err
	}
	slices.SortFunc(report.Running, func(a, b hoist.TaskStatus) int { return cmp.Compare(a.Task, b.Task) })
	out := codec.WorkerReport(report)
	digest := codec.Digest(hoist.DigestOf(codec.EncodeTableRow(out)))
	if in.Known != nil && *in.Known == digest {
		return wire.Renewed{Digest: digest}, nil
	}
	return wire.Renewed{Digest: digest, Report: &out}, nil
}

func (w *Worker) serveStop(_ context.Context, in wire.Stop) (rest.Empty, error) {
	return rest.Empty{}, w.stop(hoist.Term(in.Term), codec.ToTaskAttempt(in.Attempt), hoist.StopMode(in.Mode))
}
