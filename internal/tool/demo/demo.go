// Package demo implements the demonstration. It starts several daemons and
// stand-ins for the platform, the workers and the executors in one process on
// loopback, and submits an input of requests and jobs. Meanwhile it kills one
// daemon and drains one worker and one executor. At the end it checks that no
// request was lost, run twice or answered with the wrong body, and that no worker
// or executor was overcommitted.
//
// # Usage
//
//	input, err := demo.ReadInput(file, "input.jsonl")
//	result, err := (&demo.Run{Out: os.Stdout, Input: input}).Do(ctx)
//	if len(result.Violations) > 0 {
//		// the run violated an invariant
//	}
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/daemon"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/work"
	"fuchsiahoist.example/hoist/internal/peer/hosts"
	"fuchsiahoist.example/hoist/internal/peer/object"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// The sizes of the demonstration cell.
const (
	numHosts         = 3
	numExecutors     = 6
	numWorkers       = 6
	slotsPerExecutor = 8
)

// readyTimeout bounds the time until every host answers requests.
const readyTimeout = 30 * time.Second

// Run is one demonstration. Set the exported fields before Do.
type Run struct {
	// Out receives the report.
	Out io.Writer
	// Input is the requests and jobs to submit.
	Input []Line
	// Log receives the events of the daemons; if it is nil, they are dropped.
	Log *slog.Logger
	// Seed determines the service times.
	Seed uint64
	// Hosts, Workers and Executors are the sizes of the cell. Workers and
	// Executors have defaults for 0. Do ignores Hosts; for Serve, 0 means no
	// host.
	Hosts     int
	Workers   int
	Executors int

	platform    *plat.Platform
	executors   []*execd.Executor
	workers     []*work.Worker
	daemons     []*daemon.Daemon
	callerURLs  []string
	consoleURLs []string
	// platformURL is the address of the stand-in for the platform.
	platformURL string
	client      *http.Client
	running     sync.WaitGroup
	stop        context.CancelFunc
}

// Result is the outcome of a run.
type Result struct {
	Answers    []Answer
	Violations []string
}

// Serve starts the cell without input or failures, prints its addresses and runs it
// until ctx ends.
func (r *Run) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	r.stop = stop
	defer r.shutdown()
	if err := r.start(serving); err != nil {
		return err
	}
	fmt.Fprintf(r.Out, "platform  %s\n", r.platformURL)
	for i, addr := range r.callerURLs {
		fmt.Fprintf(r.Out, "host-%d    callers %s, console %s\n", i+1, addr, r.consoleURLs[i])
	}
	<-ctx.Done()
	return nil
}

// Do starts the cell, submits the input while it injects the failures, prints a
// report and returns the outcome. It returns an error only if the cell did not
// start.
func (r *Run) Do(ctx context.Context) (Result, error) {
	ctx, r.stop = context.WithCancel(ctx)
	defer r.shutdown()
	r.Hosts = numHosts
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	if err := r.waitReady(ctx); err != nil {
		return Result{}, err
	}
	fmt.Fprintf(r.Out, "cell: %d hosts, %d executors of %d slots, %d workers\n", r.Hosts, r.Executors, slotsPerExecutor, r.Workers)
	failures := r.injectFailures(ctx)
	answers := r.submitAll(ctx)
	<-failures
	violations := r.check(ctx, answers)
	r.report(answers, violations)
	return Result{answers, violations}, nil
}

func (r *Run) shutdown() {
	r.stop()
	r.running.Wait()
	for _, e := range r.executors {
		e.Close()
	}
	for _, w := range r.workers {
		w.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	if r.client != nil {
		r.client.CloseIdleConnections()
	}
}

func (r *Run) start(ctx context.Context) error {
	r.Workers = cmp.Or(r.Workers, numWorkers)
	r.Executors = cmp.Or(r.Executors, numExecutors)
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	r.platform = &plat.Platform{}
	var err error
	r.platformURL, err = r.platform.Start()
	if err != nil {
		return err
	}
	if err := r.startExecutors(); err != nil {
		return err
	}
	if err := r.startWorkers(); err != nil {
		return err
	}
	for i := range r.Hosts {
		if err := r.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// dataCentre returns the data centre of the i-th member of the cell. There are
// three.
func dataCentre(i int) hoist.DataCentreID {
	return hoist.DataCentreID(fmt.Sprintf("dc%d", i%3+1))
}

func (r *Run) startExecutors() error {
	for i := range r.Executors {
		base := time.Duration(1+i%3*2) * time.Millisecond
		e := &execd.Executor{
			ID:    hoist.ExecutorID(fmt.Sprintf("executor-%d", i+1)),
			Slots: slotsPerExecutor,
			ServiceTime: func(key hoist.RequestKey) time.Duration {
				return serviceTime(r.Seed, key, base)
			},
		}
		addr, err := e.Start()
		if err != nil {
			return err
		}
		r.executors = append(r.executors, e)
		r.platform.Add(hoist.HostEntry{
			Kind: hoist.HostKindExecutor, ID: string(e.ID), Addr: addr, DataCentre: dataCentre(i), Service: "matching",
		})
	}
	return nil
}

// serviceTime returns the service time of a request, which depends only on seed,
// key and base. It is between base and twice base, and 40 times that for one
// request in 50, a straggler.
func serviceTime(seed uint64, key hoist.RequestKey, base time.Duration) time.Duration {
	rng := rand.New(rand.NewPCG(seed, uint64(hoist.DigestOf([]byte(key)))))
	d := base + time.Duration(rng.Int64N(int64(base)))
	if rng.IntN(50) == 0 {
		d *= 40
	}
	return d
}

func (r *Run) startWorkers() error {
	for i := range r.Workers {
		w := &work.Worker{
			ID:         hoist.WorkerID(fmt.Sprintf("worker-%d", i+1)),
			DataCentre: dataCentre(i),
			Rack:       hoist.RackID(fmt.Sprintf("rack-%d", i%3+1)),
			Capacity:   hoist.Resources{CPU: 16_000, Memory: 32 << 10},
		}
		addr, err := w.Start()
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		r.platform.Add(hoist.HostEntry{
			Kind: hoist.HostKindWorker, ID: string(w.ID), Addr: addr, DataCentre: w.DataCentre, Rack: w.Rack,
		})
	}
	return nil
}

func (r *Run) startDaemon(ctx context.Context, i int) error {
	p := params.Default()
	p.Host = hoist.HostID(fmt.Sprintf("host-%d", i+1))
	p.DataCentre = dataCentre(i)
	p.Cores = 4 + 4*(i%2)
	p.EntryAddr = "127.0.0.1:0"
	p.CallerAddr = "127.0.0.1:0"
	p.AdminAddr = "127.0.0.1:0"
	p.OpenAccess = true
	p.PlainText = true
	client := &rest.Client{BaseURL: r.platformURL, HTTP: r.client}
	d := &daemon.Daemon{
		Params:   p,
		Table:    &table.Client{REST: client},
		Store:    &object.Client{REST: client},
		HostList: &hosts.Client{REST: client},
		Log:      r.Log,
	}
	if err := d.Listen(); err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	r.callerURLs = append(r.callerURLs, "http://"+d.CallerAddr())
	r.consoleURLs = append(r.consoleURLs, "http://"+d.AdminAddr())
	r.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			fmt.Fprintf(r.Out, "%s: %v\n", p.Host, err)
		}
	})
	return nil
}

// waitReady waits until each host has answered a request, sending one to each host
// every 200 ms.
func (r *Run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := 0; ; i++ {
		answered := 0
		for h := range r.callerURLs {
			line := Line{
				Type: LineRequest, Key: hoist.RequestKey(fmt.Sprintf("ready-%d-%d", i, h)), Customer: "demo",
				Service: "matching", Class: hoist.Quick, Idempotent: true, TimeoutMS: 1000,
			}
			if r.submitNew(ctx, line, h).Outcome == hoist.Done {
				answered++
			}
		}
		if answered == len(r.callerURLs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("the cell was not ready within %s", readyTimeout)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// injectFailures drains a worker and an executor and kills a host while the input is
// submitted. It closes the channel when it is done or ctx has ended.
func (r *Run) injectFailures(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	steps := []struct {
		after time.Duration
		text  string
		do    func()
	}{
		{1500 * time.Millisecond, "drain worker-2", func() { r.workers[1].SetLeaving(true) }},
		{500 * time.Millisecond, "drain executor-5", func() { r.executors[4].SetLeaving(true) }},
		{500 * time.Millisecond, "kill host-2", r.daemons[1].Kill},
	}
	go func() {
		defer close(done)
		for _, s := range steps {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.after):
			}
			fmt.Fprintf(r.Out, "failure: %s\n", s.text)
			s.do()
		}
	}()
	return done
}
