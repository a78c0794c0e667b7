package daemon_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/local"
)

// start starts a cell and waits until each host is healthy and answers.
func start(t testing.TB, o local.Options) *local.Cell {
	c, err := local.Start(o)
	t.Cleanup(c.Close)
	is.New(t).NoErr(err)
	for i, url := range c.URLs {
		n := 0
		waitFor(t, "ready", func() bool {
			n++
			status, _ := c.Submit(url, fmt.Sprintf("ready-%d-%d", i, n))
			return status == http.StatusOK && c.IsHealthy(i)
		})
	}
	return c
}

// waitFor fails the test if the condition does not hold within 30 s.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for range 600 {
		if cond() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: condition does not hold after 30 s", what)
}

// TestStopUnderLoad guards against requests that are refused, cut off or duplicated when
// one host of three stops.
func TestStopUnderLoad(t *testing.T) {
	c := start(t, local.Options{Hosts: 3, DrainTime: 10 * time.Second, ServiceTime: func(key hoist.RequestKey) time.Duration {
		return time.Duration(hoist.DigestOf([]byte(key))%50) * time.Millisecond
	}})
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
				// Acts as a load balancer that checks the host's health before each request.
				h := (w + i) % 3
				if !c.IsHealthy(h) {
					h = (h + 1) % 3
				}
				key := fmt.Sprintf("w%d-%d", w, i)
				status, body := c.Submit(c.URLs[h], key)
				runs := c.Runs(hoist.RequestKey(key))
				if status != http.StatusOK || runs != 1 {
					t.Errorf("%s at host %d: status %d (%s) after %d runs", key, h, status, body, runs)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.Stop(1)
	select {
	case err := <-c.Ended(1):
		is.New(t).NoErr(err)
	case <-time.After(30 * time.Second):
		t.Error("the host did not stop")
	}
	close(stopped)
	wg.Wait()
}

// TestStopLeavesUndrainedRequests guards against a stop that waits for a request
// without limit, and against one that does not log the requests it leaves.
func TestStopLeavesUndrainedRequests(t *testing.T) {
	c := start(t, local.Options{Hosts: 1, DrainTime: time.Second, ServiceTime: func(key hoist.RequestKey) time.Duration {
		if key == "stuck" {
			return time.Hour
		}
		return 0
	}})
	answered := make(chan int, 1)
	go func() {
		status, _ := c.Submit(c.URLs[0], "stuck")
		answered <- status
	}()
	waitFor(t, "start", func() bool { return c.Runs("stuck") > 0 })
	c.Stop(0)
	select {
	case err := <-c.Ended(0):
		is.New(t).NoErr(err)
	case <-time.After(30 * time.Second):
		t.Fatal(errors.New("the host did not stop"))
	}
	if text := c.Log(); !strings.Contains(text, `"event":204`) || !strings.Contains(text, `"stuck"`) {
		t.Error("event 204 does not name the request")
	}
	is.New(t).Equal(<-answered, http.StatusGatewayTimeout) // the caller is told that the outcome is unknown
}
