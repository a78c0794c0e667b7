// Package local runs a small cell in the current process, for tests. Its daemons
// listen on loopback and use stand-ins for the platform and for two executors of
// the service "s".
//
// # Usage
//
//	c, err := local.Start(local.Options{Hosts: 3, DrainTime: time.Second})
//	defer c.Close()
//	status, body := c.Submit(c.URLs[0], "key-1")
package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/daemon"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/peer/caller"
)

// Options configure a cell.
type Options struct {
	// Hosts is the number of daemons.
	Hosts int
	// Slots is the number of slots of each executor; 0 means 8.
	Slots int
	// DrainTime is the drain time in the settings of the daemons.
	DrainTime time.Duration
	// ServiceTime returns how long the executors run a request; nil means no
	// time.
	ServiceTime func(hoist.RequestKey) time.Duration
}

// Cell is a running cell.
type Cell struct {
	Platform *plat.Platform
	Execs    []*execd.Executor
	// ExecURLs and URLs are the addresses of the executors and of the hosts.
	ExecURLs, URLs []string

	daemons []*daemon.Daemon
	stops   []context.CancelFunc
	ended   []chan error
	log     lockedBuffer
}

// lockedBuffer collects the log output of all daemons, which write concurrently.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Start starts a cell. The caller must close it even if Start fails.
func Start(o Options) (*Cell, error) {
	c := &Cell{Platform: &plat.Platform{}}
	if o.Slots == 0 {
		o.Slots = 8
	}
	for i := range 2 {
		e := &execd.Executor{ID: hoist.ExecutorID(fmt.Sprintf("e%d", i)), Slots: o.Slots, ServiceTime: o.ServiceTime}
		url, err := e.Start()
		if err != nil {
			return c, err
		}
		c.Execs, c.ExecURLs = append(c.Execs, e), append(c.ExecURLs, url)
		c.Platform.Add(hoist.HostEntry{Kind: hoist.HostKindExecutor, ID: string(e.ID), Addr: url, Service: "s"})
	}
	for i := range o.Hosts {
		if err := c.startHost(i, o); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *Cell) startHost(i int, o Options) error {
	p := params.Default()
	p.OpenAccess = true
	p.PlainText = true
	p.Host = hoist.HostID(fmt.Sprintf("h%d", i))
	p.EntryAddr, p.CallerAddr = "127.0.0.1:0", "127.0.0.1:0"
	p.JoinDelay, p.DrainTime = params.Duration(time.Second), params.Duration(o.DrainTime)
	d := &daemon.Daemon{
		Params: p, Table: c.Platform, HostList: c.Platform, Store: c.Platform, Log: slog.New(slog.NewJSONHandler(&c.log, nil)),
	}
	if err := d.Listen(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	c.daemons, c.stops, c.ended = append(c.daemons, d), append(c.stops, stop), append(c.ended, ended)
	c.URLs = append(c.URLs, "http://"+d.CallerAddr())
	return nil
}

// Close kills all daemons and closes all executors without draining them.
func (c *Cell) Close() {
	for i, d := range c.daemons {
		c.stops[i]()
		d.Kill()
	}
	for _, e := range c.Execs {
		e.Close()
	}
}

// Stop starts the orderly stop of a host. The channel of Ended receives the result.
func (c *Cell) Stop(host int) {
	c.stops[host]()
}

// Ended returns the channel that receives the result of a host's Run method.
func (c *Cell) Ended(host int) <-chan error {
	return c.ended[host]
}

// Log returns the log output of the daemons so far.
func (c *Cell) Log() string {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.buf.String()
}

// Runs returns how often the request with this key was started at all executors.
func (c *Cell) Runs(key hoist.RequestKey) int {
	n := 0
	for _, e := range c.Execs {
		n += e.Runs()[key]
	}
	return n
}

// Submit sends one quick request and returns the status and body of the response.
// If no response arrived, the status is 0 and the body is the text of the error.
func (c *Cell) Submit(url, key string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/requests/s", strings.NewReader(key))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderCustomer, "c")
	req.Header.Set(caller.HeaderClass, string(hoist.Quick))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// IsHealthy sends a health check to a host, as a load balancer does.
func (c *Cell) IsHealthy(host int) bool {
	resp, err := http.Get(c.URLs[host] + "/v1/health")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
