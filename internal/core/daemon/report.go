package daemon

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/metric"
	"fuchsiahoist.example/hoist/internal/core/report"
	"fuchsiahoist.example/hoist/internal/core/route"
)

// reportTimeout bounds the collection of reports from other hosts.
const reportTimeout = 2 * time.Second

// observedRouter records the answers of the router.
type observedRouter struct {
	*route.Router
	daemon *Daemon
}

// Submit implements hoist.RequestService.
func (o observedRouter) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	if err := mayUse(o.daemon.document(), r); err != nil {
		return hoist.Answer{}, err
	}
	a, err := o.Router.Submit(ctx, r)
	if err == nil {
		o.daemon.observe(r.Class, a)
	}
	return a, err
}

// observe records an answer for the reports and metrics.
func (d *Daemon) observe(class hoist.Class, a hoist.Answer) {
	objective := d.document().Objective(class)
	d.recorder.Observe(class, a, time.Duration(objective.Wait))
	d.metrics.Answered(class, a)
}

func (d *Daemon) buildReports() {
	d.recorder = report.NewRecorder(d.Clock)
	d.metrics = metric.New(metric.Gauges{
		Shards:        d.members.OwnedShards,
		ConfigVersion: func() hoist.ConfigVersion { return d.spread.Current().Version },
		TableAge:      d.members.TableAge,
		IsReady:       d.isReady,
	})
}

// Report implements hoist.Peer.
func (d *Daemon) Report(context.Context) (hoist.HostReport, error) {
	cost := d.cost.Sample(d.Clock.Now(), d.members.Messages())
	cost.Shards = d.members.OwnedShards()
	return hoist.HostReport{
		Host:    d.Params.Host,
		Classes: d.recorder.Classes(),
		Workers: d.tasks.Workers(),
		Cost:    cost,
	}, nil
}

// Reports collects the reports of all hosts that answer in time.
func (d *Daemon) Reports(ctx context.Context) []hoist.HostReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	own, _ := d.Report(ctx)
	peers := d.members.Peers()
	replies := make(chan hoist.HostReport, len(peers))
	missing := make(chan struct{}, len(peers))
	for _, peer := range peers {
		go func() {
			r, err := peer.Report(ctx)
			if err != nil {
				missing <- struct{}{}
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
		case <-missing:
		}
	}
	return out
}
