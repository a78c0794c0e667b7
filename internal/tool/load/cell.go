package load

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/daemon"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/peer/hosts"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

const (
	// numHosts is the number of daemons of the load cell.
	numHosts = 3
	// readyTimeout bounds the start of the cell.
	readyTimeout = 30 * time.Second
	// probeServiceTime is the service time of the requests that probe whether the
	// cell is ready.
	probeServiceTime = time.Millisecond
)

// Cell runs an input through daemons on loopback. Set the exported fields
// before Run.
type Cell struct {
	In Input
	// Log receives the events of the daemons; nil drops them.
	Log *slog.Logger

	platform  *plat.Platform
	executors []*execd.Executor
	daemons   []*daemon.Daemon
	addrs     []string
	client    *http.Client
	running   sync.WaitGroup
	work      map[hoist.RequestKey]time.Duration
	// loadStart is the time from which the arrivals count, or nil before the load
	// starts.
	loadStart atomic.Pointer[time.Time]
	mu        sync.Mutex
	// started holds the time at which an executor last started each request.
	started map[hoist.RequestKey]time.Time
}

// Run starts the cell, submits the input and checks the outcomes. It returns an
// error only if the cell could not be started.
func (c *Cell) Run(ctx context.Context) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer c.shutdown(stop)
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	replies := c.submitAll(ctx)
	return c.checkReplies(replies), nil
}

func (c *Cell) shutdown(stop context.CancelFunc) {
	stop()
	c.running.Wait()
	for _, e := range c.executors {
		e.Close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	c.client.CloseIdleConnections()
}

func (c *Cell) start(ctx context.Context) error {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	c.started = make(map[hoist.RequestKey]time.Time)
	c.work = make(map[hoist.RequestKey]time.Duration, len(c.In.Arrivals))
	for _, a := range c.In.Arrivals {
		c.work[a.Key] = a.Work
	}
	c.platform = &plat.Platform{}
	url, err := c.platform.Start()
	if err != nil {
		return err
	}
	for i, spec := range c.In.Executors {
		if err := c.startExecutor(i, spec); err != nil {
			return err
		}
	}
	for i := range numHosts {
		if err := c.startDaemon(ctx, i, url); err != nil {
			return err
		}
	}
	return nil
}

func dataCentre(i int) hoist.DataCentreID {
	return hoist.DataCentreID(fmt.Sprintf("dc%d", i%3+1))
}

func (c *Cell) startExecutor(i int, spec ExecutorSpec) error {
	e := &execd.Executor{
		ID: spec.ID, Slots: slotsPerExecutor,
		ServiceTime: func(key hoist.RequestKey) time.Duration { return c.startRequest(spec, key) },
	}
	addr, err := e.Start()
	if err != nil {
		return err
	}
	c.executors = append(c.executors, e)
	c.platform.Add(hoist.HostEntry{
		Kind: hoist.HostKindExecutor, ID: string(e.ID), Addr: addr, DataCentre: dataCentre(i), Service: service,
	})
	return nil
}

// startRequest records that a request starts now and returns its service time.
func (c *Cell) startRequest(spec ExecutorSpec, key hoist.RequestKey) time.Duration {
	now := time.Now()
	c.mu.Lock()
	c.started[key] = now
	c.mu.Unlock()
	loadStart := c.loadStart.Load()
	if loadStart == nil {
		return probeServiceTime
	}
	return spec.ServiceTime(c.work[key], now.Sub(*loadStart))
}

func (c *Cell) startDaemon(ctx context.Context, i int, platformURL string) error {
	p := params.Default()
	p.OpenAccess = true
	p.PlainText = true
	p.Host = hoist.HostID(fmt.Sprintf("host-%d", i+1))
	p.DataCentre = dataCentre(i)
	p.Cores = 4
	p.EntryAddr = "127.0.0.1:0"
	p.CallerAddr = "127.0.0.1:0"
	client := &rest.Client{BaseURL: platformURL, HTTP: c.client}
	log := c.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	d := &daemon.Daemon{
		Params: p, Table: &table.Client{REST: client}, HostList: &hosts.Client{REST: client}, Log: log,
	}
	if err := d.Listen(); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	c.addrs = append(c.addrs, "http://"+d.CallerAddr())
	c.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			log.Error("daemon ended with an error", "host", p.Host, "error", err)
		}
	})
	return nil
}

// waitReady waits until the hosts answer requests of many shards.
func (c *Cell) waitReady(ctx context.Context) error {
	const probes = 24
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for round := 0; ; round++ {
		done := 0
		for i := range probes {
			a := Arrival{
				Key: hoist.RequestKey(fmt.Sprintf("ready-%d-%d", round, i)), Customer: "ready", Class: hoist.Quick, Timeout: time.Second,
			}
			if c.submit(ctx, a, i, time.Now(), true).outcome == hoist.Done {
				done++
			}
		}
		if done == probes {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("the load cell was not ready within %s", readyTimeout)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// checkReplies compares what the callers received with what the executors ran.
func (c *Cell) checkReplies(replies []reply) *Result {
	r := newResult(c.In, "daemons")
	r.Unfair, r.Late = notMeasured, notMeasured
	runs := make(map[hoist.RequestKey]int)
	for i, e := range c.executors {
		for key, n := range e.Runs() {
			runs[key] += n
			if _, ok := c.work[key]; ok {
				r.Executors[i] += n
			}
		}
		if e.MaxInFlight() > slotsPerExecutor {
			r.Overcommitted++
		}
	}
	for i, a := range replies {
		c.checkReply(r, c.In.Arrivals[i], a, runs[c.In.Arrivals[i].Key])
	}
	return r
}

func (c *Cell) checkReply(r *Result, arrival Arrival, a reply, runs int) {
	if runs > 1 || (runs > 0 && a.outcome == hoist.NotRun) {
		r.Duplicated++
	}
	switch {
	case a.isUnanswered:
		r.Lost++
	case a.outcome == hoist.Unknown:
		r.Unknown++
	case a.outcome == hoist.NotRun:
		r.refuse(arrival)
	case runs == 0 || a.body != "checked "+string(arrival.Key)+": "+body(arrival):
		r.Mismatched++
	default:
		r.answer(arrival, c.started[arrival.Key].Sub(c.loadStart.Load().Add(arrival.At)))
	}
}
