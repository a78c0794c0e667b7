package daemon

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/metric"
	"fuchsiahoist.example/hoist/internal/core/report"
	"fuchsiahoist.example/hoist/internal/core/route"
)

// reportTimeout limits the collection of reports from other hosts.
const reportTimeout = 2 * time.Second

// observedRouter is the router for callers. It checks which customers may use a service
// and records the answers.
type observedRouter struct {
	*route.Router
	daemon *Daemon
}

// Submit implements hoist.RequestService.
func (o observedRouter) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	if err := checkCustomer(o.daemon.document(), r); err != nil {
		return hoist.Answer{}, err
	}
	a, err := o.Router.Submit(ctx, r)
	if err == nil {
		o.daemon.recordAnswer(r.Class, a)
	}
	return a, err
}

// recordAnswer records an answer for the reports and metrics.
func (d *Daemon) recordAnswer(class hoist.Class, a hoist.Answer) {
	objective := d.document().Objective(class)
	d.recorder.Observe(class, a, time.Duration(objective.Wait))
	d.metrics.RecordAnswer(class, a)
}

// buildMetrics creates the recorder of the reports and the metrics.
func (d *Daemon) buildMetrics() {
	d.recorder = report.NewRecorder(d.Clock)
	d.metrics = metric.New(metric.Gauges{
		Shards:        d.members.OwnedShards,
		ConfigVersion: func() hoist.ConfigVersion { return d.confs.Current().Version },
		TableAge:      d.members.TableAge,
		IsReady:       d.isReady,
	})
}

// Report implements hoist.Peer.
func (d *Daemon) Report(context.Context) (hoist.HostReport, error) {
	cost := d.cost.Sample(d.Clock.Now(), d.members.HeartbeatCount())
	cost.Shards = d.members.OwnedShards()
	return hoist.HostReport{
		Host:    d.Params.Host,
		Classes: d.recorder.Classes(),
		Workers: d.tasks.Workers(),
		Cost:    cost,
	}, nil
}

// Reports returns the reports of this host and of all other hosts that answer within
// reportTimeout.
func (d *Daemon) Reports(ctx context.Context) []hoist.HostReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	own, _ := d.Report(ctx)
	peers := d.members.Peers()
	replies := make(chan hoist.HostReport, len(peers))
	failed := make(chan struct{}, len(peers))
	for _, peer := range peers {
		go func() {
			r, err := peer.Report(ctx)
			if err != nil {
				failed <- struct{}{}
				return
			}
			replies <- r
		}()
	}
	out := []hoist.HostReport{own}
	for range peers {
		select {
		case r := <-replies:
			out = append(out, r)
		case <-failed:
		}
	}
	return out
}
