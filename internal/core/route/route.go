// Package route carries requests from the host that receives them to the slot
// of an executor and the answer back. A request goes to the coordinator of its
// key, waits there for a slot, and is sent by the owner of the executor.
//
// # Usage
//
//	r := &route.Router{Own: members, HostList: list, DialExecutor: dial, Clock: clock, Log: logger}
//	go r.Run(ctx)
//	answer := r.Submit(ctx, request)
//
// Coordinate and Dispatch serve the same calls of other hosts.
//
// # Concurrency
//
// Each request has one goroutine that takes it from its arrival at the
// coordinator to its answer, and each owned executor has one that adopts and
// watches it. The decisions (dedup, queue, slots) are behind one mutex, which
// is never held during a call to another process.
package route

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/retry"
	"fuchsiahoist.example/hoist/internal/decide/slots"
)

const (
	// forwardTries bounds how often a request follows a moving shard: for 2 s, as
	// a host that missed the word of the new owner reads the table within 1.3 s.
	forwardTries = 40
	// forwardPause is the wait before a request follows a moving shard.
	forwardPause = 50 * time.Millisecond
	// retryHint is the pause asked of callers whose request was not run.
	retryHint = time.Second
	// queuePerCustomer bounds the waiting requests of a customer and class.
	queuePerCustomer = 5000
)

// Router routes the requests of one host. Set the exported fields before Run.
type Router struct {
	Own      hoist.Ownership
	HostList hoist.HostList
	// DialExecutor returns a client for a listed executor.
	DialExecutor func(hoist.HostEntry) hoist.Executor
	Clock        hoist.Clock
	Log          *slog.Logger
	// Table and Store keep requests that callers poll for; without them such
	// requests are refused.
	Table hoist.Table
	Store hoist.ObjectStore
	// Policy chooses executors; nil means slots.FastestFree.
	Policy hoist.ExecutorPolicy

	once sync.Once
	mu   sync.Mutex
	rng  *rand.Rand
	// keys and terms hold, for each shard that this host acts for, its table
	// of keys and the term in which the table was opened.
	keys      map[hoist.ShardID]*dedup.Table
	terms     map[hoist.ShardID]hoist.Term
	calls     map[hoist.RequestKey]*call
	queues    map[hoist.ServiceName]*queue.Queue[*call]
	pool      *slots.Pool
	executors map[hoist.ExecutorID]*handle
	remote    map[hoist.HostID]map[hoist.ServiceName]hoist.ServiceSlots
	sent      sentAttempts
	records   chan *recording
	// stopped is closed when records are no longer written.
	stopped chan struct{}
	// accepted counts the calls that callers poll for.
	accepted int
	// instance names this process in the rows of requests that it started.
	instance string
	retries  retry.Budget
	limits   Limits
	inFlight int
	// idle is closed when nothing is in flight any more; nil unless Drain
	// waits.
	idle chan struct{}
}

var _ hoist.ShardHolder = (*Router)(nil)

// init makes the zero value usable before Run, for shards that arrive early.
func (r *Router) init() {
	r.once.Do(func() {
		if r.Policy == nil {
			r.Policy = slots.FastestFree{}
		}
		r.rng = rand.New(rand.NewPCG(uint64(r.Clock.Now().UnixNano()), 0))
		r.keys = make(map[hoist.ShardID]*dedup.Table)
		r.calls = make(map[hoist.RequestKey]*call)
		r.queues = make(map[hoist.ServiceName]*queue.Queue[*call])
		r.limits.Queue = queue.Limits{PerCustomer: queuePerCustomer}
		r.pool = slots.New(r.Policy)
		r.executors = make(map[hoist.ExecutorID]*handle)
		r.terms = make(map[hoist.ShardID]hoist.Term)
		r.sent = make(sentAttempts)
		r.records = make(chan *recording)
		r.stopped = make(chan struct{})
		r.instance = fmt.Sprintf("%s/%d", r.Own.Self(), r.Clock.Now().UnixNano())
		r.remote = make(map[hoist.HostID]map[hoist.ServiceName]hoist.ServiceSlots)
	})
}

// Submit takes a request from a caller to its coordinator and waits for the
// answer, which has one of the three outcomes. Its only error is
// hoist.ErrInvalid, for a key that belongs to another request.
//
// When the connection to the coordinator breaks, the request is sent again
// under the same key: the coordinator knows whether it has it. From then on
// only the coordinator's own record of the key can settle it, so a refusal is
// reported as outcome unknown.
func (r *Router) Submit(ctx context.Context, req hoist.Request) (hoist.Answer, error) {
	r.init()
	r.enter()
	defer r.leave()
	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
	reason := "no host owns the shard of the request key"
	for try := 0; try < forwardTries || !req.FirstTry; try++ {
		answer, err := r.forward(ctx, shard, req)
		switch {
		case err == nil:
			return answer, nil
		case errors.Is(err, hoist.ErrInvalid):
			return hoist.Answer{}, err
		case errors.Is(err, hoist.ErrOutcomeUnknown):
			req.FirstTry = false
		case errors.Is(err, hoist.ErrOverLimit), !errors.Is(err, hoist.ErrNotOwner) && req.FirstTry:
			return refusal(req, err.Error()), nil
		}
		reason = err.Error()
		if !pause(ctx, forwardPause) || !r.Clock.Now().Before(req.Deadline) {
			break
		}
		if req.FirstTry {
			// It has certainly not run yet, so this is its first issue.
			req.IssuedAt = r.Clock.Now()
		}
	}
	return refusal(req, reason), nil
}

func (r *Router) forward(ctx context.Context, shard hoist.ShardID, req hoist.Request) (hoist.Answer, error) {
	host, ok := r.Own.OwnerOf(shard)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d has no owner", shard))
	}
	if host == r.Own.Self() {
		return r.Coordinate(ctx, req)
	}
	peer, ok := r.Own.Peer(host)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("no connection to host %s", host))
	}
	return peer.Submit(ctx, req)
}

// refusal answers a request for which no coordinator spoke: it certainly did
// not run if this was its first try, while an earlier one may have run.
func refusal(req hoist.Request, reason string) hoist.Answer {
	if req.FirstTry {
		return refuse(req.Key, hoist.NotRun, reason)
	}
	return refuse(req.Key, hoist.Unknown, reason)
}

func refuse(key hoist.RequestKey, outcome hoist.Outcome, reason string) hoist.Answer {
	answer := hoist.Answer{Key: key, Outcome: outcome, Reason: reason}
	if outcome == hoist.NotRun {
		answer.RetryAfter = retryHint
	}
	return answer
}

// pause waits for d and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// HandleHeartbeat records the free slots that another host reports.
func (r *Router) HandleHeartbeat(h hoist.Heartbeat) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Leaving {
		delete(r.remote, h.Host)
		return
	}
	byService := make(map[hoist.ServiceName]hoist.ServiceSlots, len(h.Slots))
	for _, s := range h.Slots {
		byService[s.Service] = s
	}
	r.remote[h.Host] = byService
	r.assignAll()
}

// Slots returns the free slots that this host reports.
func (r *Router) Slots() []hoist.ServiceSlots {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool.Summary()
}

// Acquire implements hoist.ShardHolder.
func (r *Router) Acquire(shards []hoist.ShardTerm, keys []hoist.KeyRecord, horizon time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range shards {
		r.keys[s.Shard] = dedup.New(horizon)
		r.terms[s.Shard] = s.Term
	}
	for _, k := range keys {
		shard := hoist.ShardOf(hoist.KindRequest, string(k.Key))
		if t, ok := r.keys[shard]; ok {
			t.Restore(k)
		}
	}
}

// Release implements hoist.ShardHolder. Requests that still wait for a slot go
// back to the host that received them, which follows the shard; their keys are
// handed over as not run.
func (r *Router) Release(shards []hoist.ShardID) []hoist.KeyRecord {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []hoist.KeyRecord
	for _, shard := range shards {
		t, ok := r.keys[shard]
		if !ok {
			continue
		}
		delete(r.keys, shard)
		delete(r.terms, shard)
		for _, record := range t.Records() {
			if c, ok := r.calls[record.Key]; ok && record.Answer == nil && c.withdraw(r) {
				record = dedup.Withdrawn(record, r.Clock.Now())
			}
			out = append(out, record)
		}
	}
	return out
}
