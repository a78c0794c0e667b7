package route_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/fake/plat"
	"fuchsiahoist.example/hoist/internal/fake/simnet"
)

// fault is a fault that is injected into a cell at a given time. On is the index of the
// host and the executor that it affects.
type fault struct {
	At   time.Duration
	Kind string
	On   int
}

// callerSpec describes the behaviour of one caller.
type callerSpec struct {
	At         time.Duration
	Host       int
	Idempotent bool
	// CallTimeout is how long the caller waits before it tries another host.
	CallTimeout time.Duration
	Timeout     time.Duration
	Reissues    bool
	// Polls makes the caller poll for its answer. Cancels makes it cancel first.
	Polls, Cancels bool
}

// scenario describes one run of a cell.
type scenario struct {
	Seed    uint64
	Slow    int
	Faults  []fault
	Callers []callerSpec
}

func drawScenario(t *rapid.T) scenario {
	ms := func(lo, hi int) *rapid.Generator[time.Duration] {
		return rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(lo, hi).Draw(t, "ms")) * time.Millisecond
		})
	}
	kinds := []string{"kill", "lapse", "handover", "handover", "restart", "leave", "table down", "table loses"}
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{ms(0, 4000).Draw(t, "at"), rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 2).Draw(t, "on")}
	})
	callers := rapid.Custom(func(t *rapid.T) callerSpec {
		return callerSpec{
			At: ms(0, 5000).Draw(t, "at"), Host: rapid.IntRange(0, 2).Draw(t, "host"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			CallTimeout: ms(100, 6000).Draw(t, "patience"), Timeout: ms(1, 8000).Draw(t, "timeout"), Reissues: rapid.Bool().Draw(t, "reissues"),
			Polls: rapid.Bool().Draw(t, "polls"), Cancels: rapid.IntRange(0, 3).Draw(t, "cancels") == 0,
		}
	})
	return scenario{
		Seed: rapid.Uint64().Draw(t, "seed"), Slow: rapid.SampledFrom([]int{0, 4, 20}).Draw(t, "slow"),
		Faults: rapid.SliceOfN(faults, 0, 3).Draw(t, "faults"), Callers: rapid.SliceOfN(callers, 1, 30).Draw(t, "jobs"),
	}
}

// results collects what a run showed.
type results struct {
	mu         sync.Mutex
	violations []string
	// notRun holds the keys whose callers were last told NotRun and gave up.
	notRun map[hoist.RequestKey]bool
	done   map[hoist.RequestKey]bool
}

func (o *results) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// run runs a scenario in a synctest bubble and collects its results in o.
func (s scenario) run(c *simnet.Cell, o *results) {
	var wg sync.WaitGroup
	time.Sleep(2 * time.Second)
	for i, spec := range s.Callers {
		wg.Go(func() { time.Sleep(spec.At); runCaller(c, o, hoist.RequestKey(fmt.Sprintf("k%d", i)), spec) })
	}
	for _, f := range s.Faults {
		wg.Go(func() { time.Sleep(f.At); inject(c, f) })
	}
	wg.Wait()
	time.Sleep(30 * time.Second)
	assertInvariants(c, o, len(s.Callers))
	assertSlotsFree(c, o)
}

func inject(c *simnet.Cell, f fault) {
	h, e := c.Hosts[f.On], c.Execs[f.On]
	switch f.Kind {
	case "kill":
		// Only host 0 is killed, because a cell without hosts answers nothing.
		if f.On == 0 {
			c.Kill(h)
		}
	case "lapse":
		if f.On == 1 {
			c.ExpireLease(h, 2*time.Second)
		}
	case "handover":
		c.HandOver(h, c.Hosts[(f.On+1)%3])
	case "restart":
		e.Restart()
	case "table down":
		c.Table.SetTableFault(plat.Fault{Down: true})
		time.Sleep(3 * time.Second)
		c.Table.SetTableFault(plat.Fault{})
	case "table loses":
		c.Table.SetTableFault(plat.Fault{LoseAnswers: 5})
	case "leave":
		e.SetLeaving(true)
		time.Sleep(5 * time.Second)
		e.SetLeaving(false)
	}
}

// runCaller acts as a caller that follows the rules of docs/callers.md.
func runCaller(c *simnet.Cell, o *results, key hoist.RequestKey, spec callerSpec) {
	req := hoist.Request{
		Key: key, Customer: "c", Service: "s", Class: hoist.Quick, Idempotent: spec.Idempotent,
		FirstTry: true, IssuedAt: time.Now(), Body: []byte(key), NoWait: spec.Polls,
	}
	for try := range 8 {
		req.Deadline = time.Now().Add(spec.Timeout)
		ctx, cancel := context.WithTimeout(context.Background(), spec.CallTimeout)
		h := c.Hosts[(spec.Host+try)%3]
		answer := hoist.Answer{Outcome: hoist.NotRun, Reason: "no connection"}
		if h.IsUp() {
			answer, _ = h.Router.Submit(ctx, req)
		} else if !req.FirstTry {
			answer.Outcome = hoist.Unknown
		}
		cancel()
		switch answer.Outcome {
		case hoist.Accepted:
			poll(c, o, req, spec)
			return
		case hoist.Done:
			assertAnswer(c, o, answer, req)
			return
		case hoist.NotRun:
			if n := c.Runs(key); n != 0 {
				o.addViolation("%s: reported as not run (%s) after %d runs", key, answer.Reason, n)
			}
			if !spec.Reissues {
				o.mu.Lock()
				o.notRun[key] = true
				o.mu.Unlock()
				return
			}
			req.IssuedAt = time.Now()
		default:
			req.FirstTry = false
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// poll polls any host that is up until an accepted request has ended.
func poll(c *simnet.Cell, o *results, req hoist.Request, spec callerSpec) {
	ctx := context.Background()
	for try := range 200 {
		h := c.Hosts[(spec.Host+try)%3]
		if !h.IsUp() {
			continue
		}
		if _, err := h.Router.Poll(ctx, "other", req.Key); !errors.Is(err, hoist.ErrNotFound) && !errors.Is(err, hoist.ErrUnavailable) {
			o.addViolation("%s: another customer can poll it: %v", req.Key, err)
		}
		if err := h.Router.Cancel(ctx, "other", req.Key); err == nil {
			o.addViolation("%s: another customer can cancel it", req.Key)
		}
		if spec.Cancels && h.Router.Cancel(ctx, "c", req.Key) == nil {
			o.mu.Lock()
			o.notRun[req.Key] = true
			o.mu.Unlock()
		}
		answer, err := h.Router.Poll(ctx, "c", req.Key)
		switch {
		case errors.Is(err, hoist.ErrUnavailable):
		case err != nil:
			o.addViolation("%s: poll: %v", req.Key, err)
		case answer.Outcome == hoist.Done:
			assertAnswer(c, o, answer, req)
			return
		case answer.Outcome == hoist.NotRun:
			o.mu.Lock()
			o.notRun[req.Key] = true
			o.mu.Unlock()
			return
		case answer.Outcome == hoist.Unknown:
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	o.addViolation("%s: accepted but never ended", req.Key)
}

// assertAnswer checks that a caller got the complete answer to its own request, which
// ran once.
func assertAnswer(c *simnet.Cell, o *results, a hoist.Answer, r hoist.Request) {
	if want := "checked " + string(r.Key) + ": " + string(r.Body); a.Key != r.Key || string(a.Body) != want {
		o.addViolation("%s: answer %q for %q", r.Key, a.Body, a.Key)
	}
	if n := c.Runs(r.Key); n != 1 {
		o.addViolation("%s: done after %d runs", r.Key, n)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.done[r.Key] = true
}

// assertInvariants checks the invariants that hold when nothing is in flight.
func assertInvariants(c *simnet.Cell, o *results, callers int) {
	for i := range callers {
		key := hoist.RequestKey(fmt.Sprintf("k%d", i))
		n := c.Runs(key)
		if n > 1 {
			o.addViolation("%s: ran %d times", key, n)
		}
		if o.notRun[key] && n != 0 {
			o.addViolation("%s: ran although it was reported as not run", key)
		}
	}
	for _, e := range c.Execs {
		if e.MaxInFlight() > e.Slots {
			o.addViolation("%s: ran %d attempts at once in %d slots", e.ID, e.MaxInFlight(), e.Slots)
		}
	}
}

// assertSlotsFree checks that every slot is free when nothing is in flight.
func assertSlotsFree(c *simnet.Cell, o *results) {
	free, want := 0, 0
	for _, e := range c.Execs {
		want += e.Slots
	}
	for _, h := range c.Hosts {
		if h.IsUp() {
			for _, s := range h.Router.Slots() {
				free += s.Quick
			}
		}
	}
	if free != want {
		o.addViolation("%d of %d slots are free", free, want)
	}
}

// runScenario runs a scenario in its own synctest bubble.
func runScenario(t *testing.T, s scenario) *results {
	o := &results{notRun: make(map[hoist.RequestKey]bool), done: make(map[hoist.RequestKey]bool)}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := simnet.New(ctx, s.Seed, s.Slow, func(key hoist.RequestKey) time.Duration {
			return time.Duration(1+hoist.DigestOf([]byte(key))%1500) * time.Millisecond
		})
		s.run(c, o)
		cancel()
		time.Sleep(20 * time.Second)
	})
	return o
}

// TestInvariantsUnderFaults guards against a request that runs twice, an untrue NotRun,
// an answer to another request, and a slot that is lost or used twice, under random
// faults.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		for _, v := range runScenario(t, s).violations {
			rt.Errorf("%s", v)
		}
	})
}

// TestNoRefusalWithoutCause guards against refused requests without faults, while an
// executor leaves, and while shards are handed over.
func TestNoRefusalWithoutCause(t *testing.T) {
	callers := make([]callerSpec, 30)
	for i := range callers {
		callers[i] = callerSpec{At: time.Duration(i*40) * time.Millisecond, Host: i % 3, CallTimeout: 20 * time.Second, Timeout: 20 * time.Second}
	}
	for name, faults := range map[string][]fault{
		"no fault":               nil,
		"executor leaves":        {{At: 300 * time.Millisecond, Kind: "leave", On: 1}},
		"shards are handed over": {{At: 300 * time.Millisecond, Kind: "handover", On: 1}, {At: 700 * time.Millisecond, Kind: "handover", On: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			o := runScenario(t, scenario{Faults: faults, Callers: callers})
			for _, v := range o.violations {
				t.Error(v)
			}
			if len(o.done) != len(callers) {
				t.Errorf("%d of %d requests done", len(o.done), len(callers))
			}
		})
	}
}

// TestKeysAndDeadlines guards against a caller that receives the answer to another
// request or waits beyond its own deadline, and against a late request that runs.
func TestKeysAndDeadlines(t *testing.T) {
	deadlineIn := func(d time.Duration) func(*hoist.Request) {
		return func(r *hoist.Request) { r.Deadline = time.Now().Add(d) }
	}
	cases := map[string]struct {
		change  func(*hoist.Request)
		outcome hoist.Outcome
		err     error
		within  time.Duration
		runs    int
	}{
		"same request joins the running one": {deadlineIn(time.Minute), hoist.Done, nil, 6 * time.Second, 1},
		"other body":                         {func(r *hoist.Request) { r.Body = []byte("x") }, "", hoist.ErrInvalid, time.Second, 1},
		"other customer":                     {func(r *hoist.Request) { r.Customer = "x" }, "", hoist.ErrInvalid, time.Second, 1},
		"shorter deadline":                   {deadlineIn(500 * time.Millisecond), hoist.Unknown, nil, 3 * time.Second, 1},
		"past deadline":                      {func(r *hoist.Request) { r.Key = "late"; deadlineIn(-time.Second)(r) }, hoist.NotRun, nil, time.Second, 0},
		"service without executors":          {func(r *hoist.Request) { r.Key, r.Service = "none", "none"; deadlineIn(time.Second)(r) }, hoist.NotRun, nil, 2 * time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				c := simnet.New(ctx, 0, 0, func(hoist.RequestKey) time.Duration { return 2500 * time.Millisecond })
				time.Sleep(2 * time.Second)
				req := hoist.Request{
					Key: "k", Customer: "c", Service: "s", Class: hoist.Quick, IssuedAt: time.Now(),
					Deadline: time.Now().Add(time.Minute), Body: []byte("k"),
				}
				go func(r hoist.Request) { _, _ = c.Hosts[0].Router.Submit(ctx, r) }(req)
				time.Sleep(100 * time.Millisecond)
				tc.change(&req)
				sentAt := time.Now()
				answer, err := c.Hosts[1].Router.Submit(ctx, req)
				if answer.Outcome != tc.outcome || !errors.Is(err, tc.err) {
					t.Errorf("unexpected outcome %q, error %v", answer.Outcome, err)
				}
				if took := time.Since(sentAt); took > tc.within {
					t.Errorf("answered after %s, later than allowed", took)
				}
				if n := c.Runs(req.Key); n != tc.runs {
					t.Errorf("the request ran %d times, not as often as expected", n)
				}
				cancel()
				time.Sleep(70 * time.Second)
			})
		})
	}
}

// TestLargeAnswerIsNotLost guards against the loss of an answer that is too large
// for its row.
func TestLargeAnswerIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := simnet.New(ctx, 0, 0, nil)
		time.Sleep(2 * time.Second)
		req := hoist.Request{
			Key: "k/1", Customer: "c", Service: "s", Class: hoist.Patient, NoWait: true, FirstTry: true,
			IssuedAt: time.Now(), Deadline: time.Now().Add(time.Minute), Body: make([]byte, 2*route.MaxRowBody),
		}
		o := &results{done: make(map[hoist.RequestKey]bool)}
		for _, want := range []hoist.Outcome{hoist.Accepted, hoist.Accepted} {
			if a, err := c.Hosts[0].Router.Submit(ctx, req); err != nil || a.Outcome != want {
				t.Errorf("outcome %v, error %v, expected an accepted request", a.Outcome, err)
			}
		}
		poll(c, o, req, callerSpec{})
		for _, v := range o.violations {
			t.Error(v)
		}
		other := req
		other.Body = nil
		if _, err := c.Hosts[1].Router.Submit(ctx, other); !errors.Is(err, hoist.ErrInvalid) {
			t.Errorf("another request under the same key returned the error %v, expected ErrInvalid", err)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestLeavingExecutorGetsNoAttempts guards against attempts at an executor 2 s after
// the host list or the executor itself reported that it is leaving, and against the
// loss of what it runs.
func TestLeavingExecutorGetsNoAttempts(t *testing.T) {
	for name, leave := range map[string]func(*simnet.Cell){
		"listed as leaving":          func(c *simnet.Cell) { c.ListLeaving(c.Execs[0].ID) },
		"reports that it is leaving": func(c *simnet.Cell) { c.Execs[0].SetLeaving(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				c := simnet.New(ctx, 0, 0, func(hoist.RequestKey) time.Duration { return 400 * time.Millisecond })
				o := &results{done: make(map[hoist.RequestKey]bool), notRun: make(map[hoist.RequestKey]bool)}
				time.Sleep(2 * time.Second)
				var wg sync.WaitGroup
				before := 0
				for i := range 100 {
					switch i {
					case 20:
						leave(c)
					case 60: // 2 s later
						before = len(c.Execs[0].Runs()) + c.Execs[0].RefusedWhileLeaving()
					}
					wg.Go(func() {
						runCaller(c, o, hoist.RequestKey(fmt.Sprintf("k%d", i)), callerSpec{Host: i % 3, CallTimeout: time.Minute, Timeout: time.Minute})
					})
					time.Sleep(50 * time.Millisecond)
				}
				wg.Wait()
				if now := len(c.Execs[0].Runs()) + c.Execs[0].RefusedWhileLeaving(); now != before || before == 0 || len(o.done) != 100 {
					t.Errorf("the leaving executor got %d attempts in time and %d too late, %d of 100 requests done; expected some, none and all", before, now-before, len(o.done))
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
