// Package daemon implements one entry host: it connects membership, requests and
// tasks with the peers that they talk to.
//
// # Usage
//
//	d := &daemon.Daemon{Params: p, Table: t, HostList: l, Log: logger}
//	err := d.Listen()
//	err = d.Run(ctx) // until ctx ends and all requests in flight are answered
package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/certs"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/confs"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/core/member"
	"fuchsiahoist.example/hoist/internal/core/metric"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/core/report"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/core/tasks"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/peer/admin"
	"fuchsiahoist.example/hoist/internal/peer/caller"
	"fuchsiahoist.example/hoist/internal/peer/entry"
	"fuchsiahoist.example/hoist/internal/peer/exec"
	"fuchsiahoist.example/hoist/internal/peer/worker"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// Daemon is one entry host. Set the exported fields before Listen.
type Daemon struct {
	Params   params.Params
	Table    hoist.Table
	HostList hoist.HostList
	// Store keeps large answers; without it, requests to poll for are refused.
	Store hoist.ObjectStore
	Log   *slog.Logger
	// Clock defaults to the system clock.
	Clock hoist.Clock

	members  *member.Manager
	router   *route.Router
	tasks    *tasks.Manager
	confs    *confs.Manager
	recorder *report.Recorder
	metrics  *metric.DaemonMetrics
	cost     metric.Cost
	// entry, admin and caller are the listeners for other hosts, operators and
	// callers. admin is nil if the settings have no address for it.
	entry  net.Listener
	admin  net.Listener
	certs  *certs.Files
	caller net.Listener
	// leaseClock is nil unless the clock is that of the system.
	leaseClock   hoist.Clock
	workerHTTP   *http.Client
	callerServer *caller.Server
	stop         context.CancelFunc
	started      chan struct{}
}

// Listen opens the host's listeners. Port 0 selects any free port; CallerAddr and
// AdminAddr return the addresses in use.
func (d *Daemon) Listen() error {
	if d.Clock == nil {
		d.Clock, d.leaseClock = clock.System{}, clock.NewLease()
	}
	d.started = make(chan struct{})
	if err := d.loadCerts(); err != nil {
		return err
	}
	var err error
	if d.entry, err = d.listen("entry-addr", d.Params.EntryAddr, true); err != nil {
		return err
	}
	if d.caller, err = d.listen("caller-addr", d.Params.CallerAddr, false); err != nil {
		return err
	}
	if d.Params.AdminAddr == "" {
		return nil
	}
	d.admin, err = d.listen("admin-addr", d.Params.AdminAddr, false)
	return err
}

func (d *Daemon) loadCerts() error {
	if d.Params.PlainText {
		return nil
	}
	t := d.Params.TLS
	d.certs = &certs.Files{Cert: t.Cert, Key: t.Key, CA: t.CA, Clock: d.Clock}
	return d.certs.Load()
}

// listen opens a listener; key is the name of its setting, for errors. With
// requireClientCert, the other side must present a certificate.
func (d *Daemon) listen(key, addr string, requireClientCert bool) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, merry.Prependf(err, "%s %s", key, addr)
	}
	if d.certs != nil {
		l = tls.NewListener(l, d.certs.ServerConfig(requireClientCert))
	}
	return l, nil
}

// dialHost returns a client for another host.
func (d *Daemon) dialHost(addr string) hoist.Peer {
	c := &entry.Client{Addr: addr}
	if d.certs != nil {
		c.TLS = d.certs.ClientConfig
	}
	return c
}

// CallerAddr returns the address that callers connect to.
func (d *Daemon) CallerAddr() string {
	return d.caller.Addr().String()
}

// AdminAddr returns the address that operators connect to; it is empty if the
// settings have none.
func (d *Daemon) AdminAddr() string {
	if d.admin == nil {
		return ""
	}
	return d.admin.Addr().String()
}

// Run serves until ctx ends. It then fails the load balancer's health check, hands
// over its shards, continues to accept requests for the notice time, and returns when
// no request is in flight or the drain time has passed.
func (d *Daemon) Run(ctx context.Context) error {
	d.buildComponents()
	events.Started.Log(ctx, d.Log, "host", d.Params.Host, "entry", d.entry.Addr(), "caller", d.caller.Addr())
	// The components below outlive ctx, because they serve the requests in flight.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	joined, leave := context.WithCancel(ctx)
	defer leave()
	d.stop = func() { leave(); stop() }
	close(d.started)
	defer context.AfterFunc(ctx, func() { d.callerServer.Leave() })()
	var g errgroup.Group
	callers := startComponent(&g, serving, d.callerServer.Run)
	hosts := startComponent(&g, serving, (&entry.Server{Listener: d.entry, Peer: d}).Run)
	g.Go(func() error { d.router.Run(serving); return nil })
	g.Go(func() error { d.tasks.Run(serving); return nil })
	g.Go(func() error { d.confs.Run(serving); return nil })
	g.Go(func() error { d.deployLoop(serving); return nil })
	if d.admin != nil {
		g.Go(func() error { return d.adminServer().Run(serving) })
	}
	g.Go(func() error {
		defer d.members.Close()
		defer stop()
		err := d.members.Run(joined)
		d.drain(serving)
		// Answers to callers may arrive over connections to other hosts, so the
		// server for hosts ends last.
		callers.end()
		hosts.end()
		return err
	})
	err := g.Wait()
	d.workerHTTP.CloseIdleConnections()
	events.Stopped.Log(ctx, d.Log, "host", d.Params.Host)
	return err
}

// Kill ends the daemon as if its process had died: it does not announce that it leaves,
// hands over no shards and breaks all connections. It is for tests and the
// demonstration.
func (d *Daemon) Kill() {
	<-d.started
	d.members.Kill()
	d.callerServer.Close()
	d.stop()
}

// component is a part of the daemon that runs until end is called.
type component struct {
	stop  context.CancelFunc
	ended chan struct{}
}

// startComponent runs a component in g until ctx ends or end is called.
func startComponent(g *errgroup.Group, ctx context.Context, run func(context.Context) error) component {
	ctx, stop := context.WithCancel(ctx)
	s := component{stop, make(chan struct{})}
	g.Go(func() error {
		defer close(s.ended)
		return run(ctx)
	})
	return s
}

// end stops the component and waits until it has returned.
func (s component) end() {
	s.stop()
	<-s.ended
}

// drain waits for the notice time, in which the load balancer detects that the host is
// leaving. It then refuses new requests and waits for those in flight.
func (d *Daemon) drain(ctx context.Context) {
	events.Stopping.Log(ctx, d.Log, "host", d.Params.Host)
	select {
	case <-time.After(time.Duration(d.Params.NoticeTime)):
	case <-ctx.Done():
	}
	d.callerServer.RefuseRequests()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.Params.DrainTime))
	defer cancel()
	if undrained, isIdle := d.router.Drain(ctx); !isIdle {
		d.router.LogUndrained(ctx, undrained)
	}
}

// buildComponents creates the components of the host. The listeners must be open.
func (d *Daemon) buildComponents() {
	d.workerHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	d.members = &member.Manager{
		Member: hoist.Member{
			Host:       d.Params.Host,
			Addr:       d.entry.Addr().String(),
			DataCentre: d.Params.DataCentre,
			Weight:     d.Params.Cores,
		},
		Table:      d.Table,
		Dial:       d.dialHost,
		Clock:      d.Clock,
		LeaseClock: d.leaseClock,
		Log:        d.Log,
		Heartbeats: d,
		JoinDelay:  time.Duration(d.Params.JoinDelay),
	}
	list := drainedList{d.HostList, d.document}
	d.router = &route.Router{
		Ownership: d.members, HostList: list, Clock: d.Clock, Log: d.Log, Table: d.Table, Store: d.Store,
		DialExecutor: func(l hoist.HostEntry) hoist.Executor {
			return exec.New(l.Addr, hoist.ExecutorID(l.ID))
		},
	}
	d.tasks = &tasks.Manager{
		Ownership: d.members, HostList: list, Table: d.Table, Clock: d.Clock, Log: d.Log,
		DialWorker: func(l hoist.HostEntry) hoist.Worker {
			return &worker.Client{REST: &rest.Client{BaseURL: l.Addr, HTTP: d.workerHTTP}, ID: hoist.WorkerID(l.ID)}
		},
	}
	d.callerServer = &caller.Server{Listener: d.caller, Requests: observedRouter{d.router, d}, Jobs: checkedTasks{d.tasks, d.document}, IsReady: d.isReady, Access: d.Params.Access()}
	d.confs = &confs.Manager{
		Ownership: d.members, Table: d.Table, Clock: d.Clock, Log: d.Log, Cell: d.tasks.Cell,
		OnChange: d.applyConfig,
	}
	d.buildMetrics()
	d.members.Holders = []hoist.ShardHolder{d.router, d.tasks}
}

// adminServer returns the server for operators.
func (d *Daemon) adminServer() *admin.Server {
	return &admin.Server{
		Listener: d.admin, Service: operator{d}, Access: d.Params.Access(), Metrics: d.metrics.Handler(), Clock: d.Clock,
	}
}

// document returns the configuration in force, or the defaults if none has been
// accepted yet.
func (d *Daemon) document() config.Document {
	if current := d.confs.Current(); current.Version > 0 {
		return current.Document
	}
	return config.Default()
}

// isReady reports whether callers should be sent to this host: it holds its lease and
// knows the configuration.
func (d *Daemon) isReady() bool {
	return d.members.IsReady() && d.confs.IsKnown()
}

// FillHeartbeat implements hoist.HeartbeatHandler.
func (d *Daemon) FillHeartbeat(h *hoist.Heartbeat) {
	h.Config = d.confs.Current().Version
	h.Workers = d.tasks.Workers()
	h.Gang = d.tasks.OldestGang()
	h.Slots = d.router.Slots()
}

// HandleHeartbeat implements hoist.HeartbeatHandler.
func (d *Daemon) HandleHeartbeat(h hoist.Heartbeat) {
	d.router.HandleHeartbeat(h)
	d.tasks.HandleHeartbeat(h)
	d.confs.HandleHeartbeat(h)
}
