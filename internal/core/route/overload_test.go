package route_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/fake/simnet"
)

// overloadCounts counts the answers under overload.
type overloadCounts struct {
	mu         sync.Mutex
	outcomes   map[hoist.Outcome]int
	maxWaiting int
	// refusedAtOnce counts the refusals within 100 ms.
	refusedAtOnce int
}

func (o *overloadCounts) add(t *testing.T, c *simnet.Cell, req hoist.Request, a hoist.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[a.Outcome]++
	if a.Outcome != hoist.NotRun {
		return
	}
	if waited := time.Since(req.IssuedAt); waited < 100*time.Millisecond {
		o.refusedAtOnce++
	} else if time.Now().Before(req.Deadline) {
		t.Errorf("%s: refused after %s, neither at once nor at its deadline: %s", req.Key, waited, a.Reason)
	}
	if a.RetryAfter <= 0 {
		t.Errorf("%s: refused without a retry hint: %s", req.Key, a.Reason)
	}
	if n := c.Runs(req.Key); n != 0 {
		t.Errorf("%s: refused after %d runs", req.Key, n)
	}
}

// TestOverload guards against queues that grow with the load, and against refusals
// that are late, untrue or without a retry hint, at ten and fifty times the capacity
// of 120 requests per second.
func TestOverload(t *testing.T) {
	for _, tc := range []struct {
		class   hoist.Class
		timeout time.Duration
		// perTick requests arrive every 10 ms, count in total.
		perTick, count int
		// waitingLimit is how many requests may wait on all hosts: fewer quick requests
		// than arrive within their time-out, and as many patient requests as the
		// queues of all hosts hold for one customer.
		waitingLimit, minDone, minRefusedAtOnce int
	}{
		{hoist.Quick, time.Second, 12, 6000, 1200, 300, 2000},
		{hoist.Patient, 10 * time.Second, 60, 24000, 3 * route.QueuePerCustomer, 1000, 5000},
	} {
		t.Run(string(tc.class), func(t *testing.T) {
			o := &overloadCounts{outcomes: make(map[hoist.Outcome]int)}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				c := simnet.New(ctx, 0, 0, func(hoist.RequestKey) time.Duration { return 100 * time.Millisecond })
				time.Sleep(2 * time.Second)
				var wg sync.WaitGroup
				for i := range tc.count {
					if i%tc.perTick == 0 {
						time.Sleep(10 * time.Millisecond)
						waiting := 0
						for _, h := range c.Hosts {
							waiting += h.Router.Waiting()
						}
						o.maxWaiting = max(o.maxWaiting, waiting)
					}
					req := hoist.Request{
						Key: hoist.RequestKey(fmt.Sprintf("k%d", i)), Customer: "c", Service: "s", Class: tc.class, FirstTry: true,
						IssuedAt: time.Now(), Deadline: time.Now().Add(tc.timeout),
					}
					wg.Go(func() {
						a, _ := c.Hosts[i%3].Router.Submit(ctx, req)
						o.add(t, c, req, a)
					})
				}
				wg.Wait()
				cancel()
				time.Sleep(20 * time.Second)
			})
			t.Logf("outcomes %v, %d refused at once, at most %d waiting", o.outcomes, o.refusedAtOnce, o.maxWaiting)
			if o.maxWaiting > tc.waitingLimit {
				t.Errorf("%d requests waited, limit %d", o.maxWaiting, tc.waitingLimit)
			}
			if o.outcomes[hoist.Done] < tc.minDone || o.outcomes[hoist.Unknown] != 0 || o.outcomes[hoist.NotRun] == 0 {
				t.Errorf("unexpected outcomes %v", o.outcomes)
			}
			if o.refusedAtOnce < tc.minRefusedAtOnce {
				t.Errorf("%d refusals came at once, expected at least %d", o.refusedAtOnce, tc.minRefusedAtOnce)
			}
		})
	}
}
