package daemon

import (
	"context"

	hoist "fuchsiahoist.example/hoist"
)

// Daemon implements the calls of other hosts.
var _ hoist.Peer = (*Daemon)(nil)

// Heartbeat implements hoist.Peer.
func (d *Daemon) Heartbeat(_ context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	return d.members.Heartbeat(h), nil
}

// Promise implements hoist.Peer.
func (d *Daemon) Promise(_ context.Context, l hoist.LeaseRef) (bool, error) {
	return d.members.Promise(l), nil
}

// Release implements hoist.Peer.
func (d *Daemon) Release(_ context.Context, l hoist.LeaseRef) (bool, error) {
	return d.members.Release(l), nil
}

// Claim implements hoist.Peer.
func (d *Daemon) Claim(ctx context.Context, c hoist.Claim) error {
	d.members.Claim(ctx, c)
	return nil
}

// Handover implements hoist.Peer.
func (d *Daemon) Handover(ctx context.Context, h hoist.Handover) error {
	return d.members.Handover(ctx, h)
}

// Submit implements hoist.Peer.
func (d *Daemon) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	return d.router.Coordinate(ctx, r)
}

// Dispatch implements hoist.Peer.
func (d *Daemon) Dispatch(ctx context.Context, a hoist.Attempt) (hoist.Answer, error) {
	return d.router.Dispatch(ctx, a)
}

// SubmitJob implements hoist.Peer.
func (d *Daemon) SubmitJob(ctx context.Context, s hoist.JobSpec) error {
	return d.tasks.Accept(ctx, s)
}

// CancelJob implements hoist.Peer.
func (d *Daemon) CancelJob(ctx context.Context, ref hoist.JobRef) error {
	return d.tasks.CancelLocal(ctx, ref)
}

// ShowJobs implements hoist.Peer.
func (d *Daemon) ShowJobs(_ context.Context, team hoist.TeamID) ([]hoist.JobState, error) {
	return d.tasks.ShowLocal(team)
}

// Reserve implements hoist.Peer.
func (d *Daemon) Reserve(ctx context.Context, ps []hoist.Placement) []error {
	return d.tasks.Reserve(ctx, ps)
}

// Start implements hoist.Peer.
func (d *Daemon) Start(ctx context.Context, ps []hoist.Placement) []error {
	return d.tasks.Start(ctx, ps)
}

// Stop implements hoist.Peer.
func (d *Daemon) Stop(ctx context.Context, ps []hoist.Placement, mode hoist.StopMode) []error {
	return d.tasks.Stop(ctx, ps, mode)
}

// Unreserve implements hoist.Peer.
func (d *Daemon) Unreserve(ctx context.Context, ps []hoist.Placement) error {
	return d.tasks.Unreserve(ctx, ps)
}

// TaskEnded implements hoist.Peer.
func (d *Daemon) TaskEnded(ctx context.Context, ends []hoist.WorkerTask) []error {
	return d.tasks.TaskEnded(ctx, ends)
}

// Survey implements hoist.Peer.
func (d *Daemon) Survey(_ context.Context, shards []hoist.ShardTerm) (hoist.SurveyReply, error) {
	return d.tasks.Survey(shards)
}

// Config implements hoist.Peer.
func (d *Daemon) Config(_ context.Context, version hoist.ConfigVersion) ([]byte, error) {
	return d.confs.Config(version)
}
