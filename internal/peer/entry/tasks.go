package entry

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// CancelJob implements hoist.Peer.
func (c *Client) CancelJob(ctx context.Context, ref hoist.JobRef) error {
	_, err := call[wire.Empty](ctx, c, methodCancelJob, codec.JobRef(ref))
	return err
}

// ShowJobs implements hoist.Peer.
func (c *Client) ShowJobs(ctx context.Context, team hoist.TeamID) ([]hoist.JobState, error) {
	out, err := call[wire.JobStates](ctx, c, methodShowJobs, codec.JobRef(hoist.JobRef{Team: team}))
	return codec.Map(out.Jobs, codec.ToJobState), err
}

// Reserve implements hoist.Peer.
func (c *Client) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return c.callResults(ctx, methodReserve, wire.Placements{Placements: codec.Map(ps, codec.Placement)}, len(ps))
}

// Start implements hoist.Peer.
func (c *Client) Start(ctx context.Context, ps []hoist.Placement) []error {
	return c.callResults(ctx, methodStart, wire.Placements{Placements: codec.Map(ps, codec.Placement)}, len(ps))
}

// Stop implements hoist.Peer.
func (c *Client) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	text := string(mode)
	in := wire.Placements{Placements: codec.Map(ps, codec.Placement), Mode: &text}
	return c.callResults(ctx, methodStop, in, len(ps))
}

// Unreserve implements hoist.Peer.
func (c *Client) Unreserve(ctx context.Context, ps []hoist.Placement) error {
	_, err := call[wire.Empty](ctx, c, methodUnreserve, wire.Placements{Placements: codec.Map(ps, codec.Placement)})
	return err
}

// TaskEnded implements hoist.Peer.
func (c *Client) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	return c.callResults(ctx, methodTaskEnded, wire.WorkerTasks{Tasks: codec.Map(ends, codec.WorkerTask)}, len(ends))
}

// callResults makes a call for n items and returns one result for each. If the
// whole call fails, its error is the result of every item.
func (c *Client) callResults(ctx context.Context, m method, in any, n int) []error {
	out, err := call[wire.Results](ctx, c, m, in)
	if err == nil {
		return codec.ToResults(out, n)
	}
	errs := make([]error, n)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// Survey implements hoist.Peer.
func (c *Client) Survey(ctx context.Context, shards []hoist.ShardTerm) (hoist.SurveyReply, error) {
	out, err := call[wire.SurveyReply](ctx, c, methodSurvey, wire.Survey{Shards: codec.Map(shards, codec.ShardTerm)})
	return codec.ToSurveyReply(out), err
}

// taskHandlers returns the handlers of the calls on jobs and tasks.
func (s *Server) taskHandlers() handlerMap {
	p := s.Peer
	return handlerMap{
		methodSubmitJob: emptyHandler(codec.ToJobSpec, p.SubmitJob),
		methodCancelJob: emptyHandler(codec.ToJobRef, p.CancelJob),
		methodShowJobs: jsonHandler(func(ctx context.Context, in wire.JobRef) (wire.JobStates, error) {
			out, err := p.ShowJobs(ctx, hoist.TeamID(in.Team))
			return wire.JobStates{Jobs: codec.Map(out, codec.JobState)}, err
		}),
		methodReserve: resultsHandler(func(ctx context.Context, in wire.Placements) []error {
			return p.Reserve(ctx, codec.Map(in.Placements, codec.ToPlacement))
		}),
		methodStart: resultsHandler(func(ctx context.Context, in wire.Placements) []error {
			return p.Start(ctx, codec.Map(in.Placements, codec.ToPlacement))
		}),
		methodStop: resultsHandler(func(ctx context.Context, in wire.Placements) []error {
			mode := hoist.StopNow
			if in.Mode != nil {
				mode = hoist.StopMode(*in.Mode)
			}
			return p.Stop(ctx, codec.Map(in.Placements, codec.ToPlacement), mode)
		}),
		methodUnreserve: emptyHandler(toPlacements, p.Unreserve),
		methodTaskEnded: resultsHandler(func(ctx context.Context, in wire.WorkerTasks) []error {
			return p.TaskEnded(ctx, codec.Map(in.Tasks, codec.ToWorkerTask))
		}),
		methodSurvey: jsonHandler(func(ctx context.Context, in wire.Survey) (wire.SurveyReply, error) {
			out, err := p.Survey(ctx, codec.Map(in.Shards, codec.ToShardTerm))
			return codec.SurveyReply(out), err
		}),
	}
}

func toPlacements(in wire.Placements) []hoist.Placement {
	return codec.Map(in.Placements, codec.ToPlacement)
}

// resultsHandler returns a handler of a call for several items. fn returns one
// result for each of them.
func resultsHandler[In any](fn func(context.Context, In) []error) handler {
	return jsonHandler(func(ctx context.Context, in In) (wire.Results, error) {
		return codec.Results(fn(ctx, in)), nil
	})
}
