package admin

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// routeCalls adds the routes of the API.
func (s *Server) routeCalls(api iris.Party) {
	view, operate := s.requireToken(access.View), s.requireToken(access.Operate)
	add := func(method, path string, access iris.Handler, h http.Handler) {
		api.Handle(method, path, access, iris.FromStd(h))
	}
	add("GET", "/hosts", view, rest.Handle(s.callHosts))
	add("POST", "/hosts/fence", operate, rest.Handle(s.callFence))
	add("GET", "/config", view, rest.Handle(s.callConfig))
	add("POST", "/config", operate, rest.Handle(s.callApply))
	add("POST", "/config/diff", view, rest.Handle(s.callDiff))
	add("GET", "/config/history", view, rest.Handle(s.callHistory))
	add("POST", "/jobs/list", view, rest.Handle(s.callJobs))
	add("POST", "/jobs", operate, rest.Handle(s.callSubmit))
	add("POST", "/jobs/cancel", operate, rest.Handle(s.callCancel))
	add("GET", "/workers", view, rest.Handle(s.callWorkers))
	add("GET", "/executors", view, rest.Handle(s.callExecutors))
	add("POST", "/drain", operate, rest.Handle(s.callDrain))
	add("POST", "/report", view, rest.Handle(s.callReport))
}

func (s *Server) callHosts(context.Context, rest.Empty) (wire.HostStatuses, error) {
	return wire.HostStatuses{Hosts: codec.Map(s.Service.Hosts(), codec.HostStatus)}, nil
}

func (s *Server) callFence(ctx context.Context, in wire.HostRef) (rest.Empty, error) {
	return rest.Empty{}, s.Service.FenceHost(ctx, hoist.HostID(in.Host))
}

func (s *Server) callConfig(context.Context, rest.Empty) (wire.ConfigDocument, error) {
	version, text := s.Service.ConfigText()
	return wire.ConfigDocument{Version: int(version), Document: text}, nil
}

func (s *Server) callApply(ctx context.Context, in wire.ConfigDocument) (wire.ConfigChange, error) {
	change, err := s.Service.ApplyConfig(ctx, in.Document)
	return codec.ConfigChange(change), err
}

func (s *Server) callDiff(_ context.Context, in wire.ConfigDocument) (wire.ConfigDiff, error) {
	lines, err := s.Service.DiffConfig(in.Document)
	return wire.ConfigDiff{Lines: codec.Strings(lines)}, err
}

func (s *Server) callHistory(ctx context.Context, _ rest.Empty) (wire.ConfigHistory, error) {
	changes, err := s.Service.ConfigHistory(ctx)
	return wire.ConfigHistory{Changes: codec.Map(changes, codec.ConfigChange)}, err
}

func (s *Server) callJobs(ctx context.Context, in wire.JobRef) (wire.JobStates, error) {
	states, err := s.Service.Jobs(ctx, hoist.TeamID(in.Team))
	return wire.JobStates{Jobs: codec.Map(states, codec.JobState)}, err
}

func (s *Server) callSubmit(ctx context.Context, in wire.JobSpec) (rest.Empty, error) {
	return rest.Empty{}, s.Service.SubmitJob(ctx, codec.ToJobSpec(in))
}

func (s *Server) callCancel(ctx context.Context, in wire.JobRef) (rest.Empty, error) {
	return rest.Empty{}, s.Service.CancelJob(ctx, codec.ToJobRef(in))
}

func (s *Server) callWorkers(ctx context.Context, _ rest.Empty) (wire.Candidates, error) {
	return wire.Candidates{Workers: codec.Map(s.Service.Workers(ctx), codec.Candidate)}, nil
}

func (s *Server) callExecutors(ctx context.Context, _ rest.Empty) (wire.HostList, error) {
	listed, err := s.Service.Executors(ctx)
	return wire.HostList{Hosts: codec.Map(listed, codec.Listed)}, err
}

func (s *Server) callDrain(ctx context.Context, in wire.Drain) (rest.Empty, error) {
	return rest.Empty{}, s.Service.SetDrain(ctx, codec.ToDrain(in))
}

func (s *Server) callReport(ctx context.Context, in wire.ReportRequest) (wire.ReportText, error) {
	text, err := s.Service.WriteReport(ctx, in.Name, in.Html)
	return wire.ReportText{Text: text}, err
}
