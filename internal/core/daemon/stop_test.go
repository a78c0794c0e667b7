package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/daemon"
	"fuchsiahoist.example/hoist/internal/core/params"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/peer/caller"
)

// cell is a small cell in this process.
type cell struct {
	platform *plat.Platform
	execs    []*execd.Executor
	execURLs []string
	urls     []string
	stops    []context.CancelFunc
	ended    []chan error
	log      lockedBuffer
}

// lockedBuffer collects the log of several daemons.
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

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newCell(t testing.TB, hosts int, drain time.Duration, service func(hoist.RequestKey) time.Duration, slots ...int) *cell {
	c := &cell{platform: &plat.Platform{}}
	is := is.New(t)
	for i := range 2 {
		e := &execd.Executor{ID: hoist.ExecutorID(fmt.Sprintf("e%d", i)), Slots: append(slots, 8)[0], ServiceTime: service}
		addr, err := e.Start()
		is.NoErr(err)
		t.Cleanup(e.Close)
		c.execs, c.execURLs = append(c.execs, e), append(c.execURLs, addr)
		c.platform.Add(hoist.Listed{Kind: hoist.ListedExecutor, ID: string(e.ID), Addr: addr, Service: "s"})
	}
	for i := range hosts {
		p := params.Default()
		p.Host = hoist.HostID(fmt.Sprintf("h%d", i))
		p.EntryAddr, p.CallerAddr = "127.0.0.1:0", "127.0.0.1:0"
		p.Settle, p.DrainTime, p.NoticeTime = params.Duration(time.Second), params.Duration(drain), params.Duration(2*time.Second)
		d := &daemon.Daemon{Params: p, Table: c.platform, HostList: c.platform, Log: slog.New(slog.NewJSONHandler(&c.log, nil))}
		is.NoErr(d.Listen())
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		t.Cleanup(func() { stop(); d.Kill() })
		c.urls, c.stops, c.ended = append(c.urls, "http://"+d.CallerAddr()), append(c.stops, stop), append(c.ended, ended)
	}
	return c
}

// submit sends one request and returns its status; 0 means that no answer came.
func (c *cell) submit(url string, key string) (int, string) {
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/requests/s", strings.NewReader(key))
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderCustomer, "c")
	req.Header.Set(caller.HeaderClass, "quick")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, fmt.Sprint(string(body), err)
}

func (c *cell) isHealthy(i int) bool {
	resp, err := http.Get(c.urls[i] + "/v1/health")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits for a condition with a generous bound.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for range 600 {
		if cond() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: not after 30 s", what)
}

func (c *cell) waitReady(t testing.TB) {
	for i := range c.urls {
		n := 0
		waitFor(t, "ready", func() bool {
			n++
			status, _ := c.submit(c.urls[i], fmt.Sprintf("ready-%d-%d", i, n))
			return status == http.StatusOK && c.isHealthy(i)
		})
	}
}

// TestStopUnderLoad guards against requests that are refused, cut off or doubled
// because a host of three stops.
func TestStopUnderLoad(t *testing.T) {
	c := newCell(t, 3, 10*time.Second, func(key hoist.RequestKey) time.Duration {
		return time.Duration(hoist.DigestOf([]byte(key))%50) * time.Millisecond
	})
	c.waitReady(t)
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				// A balancer that checks before each request.
				h := (w + i) % 3
				if !c.isHealthy(h) {
					h = (h + 1) % 3
				}
				key := fmt.Sprintf("w%d-%d", w, i)
				status, body := c.submit(c.urls[h], key)
				runs := c.execs[0].Runs()[hoist.RequestKey(key)] + c.execs[1].Runs()[hoist.RequestKey(key)]
				if status != http.StatusOK || runs != 1 {
					t.Errorf("%s at host %d: status %d (%s) after %d runs", key, h, status, body, runs)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.stops[1]()
	select {
	case err := <-c.ended[1]:
		is.New(t).NoErr(err)
	case <-time.After(30 * time.Second):
		t.Error("the host did not stop")
	}
	close(stopped)
	wg.Wait()
}

// TestStuckRequest guards against a stop that waits for good for a request, and
// against one that nobody hears of.
func TestStuckRequest(t *testing.T) {
	c := newCell(t, 1, time.Second, func(key hoist.RequestKey) time.Duration {
		if key == "stuck" {
			return time.Hour
		}
		return 0
	})
	c.waitReady(t)
	answered := make(chan int, 1)
	go func() {
		status, _ := c.submit(c.urls[0], "stuck")
		answered <- status
	}()
	waitFor(t, "start", func() bool { return c.execs[0].Runs()["stuck"]+c.execs[1].Runs()["stuck"] > 0 })
	c.stops[0]()
	select {
	case err := <-c.ended[0]:
		is.New(t).NoErr(err)
	case <-time.After(30 * time.Second):
		t.Fatal(errors.New("the host did not stop"))
	}
	if text := c.log.String(); !strings.Contains(text, `"event":204`) || !strings.Contains(text, `"stuck"`) {
		t.Error("event 204 does not name the request")
	}
	is.New(t).Equal(<-answered, http.StatusGatewayTimeout) // told that the outcome is unknown
}
