// Package route routes requests to the slots of executors and returns the
// answers. A request is forwarded to the coordinator of its key, which is the
// host that owns the shard of the key. It waits there for a free slot and is
// dispatched through the host that owns the executor.
//
// # Usage
//
//	r := &route.Router{Ownership: members, HostList: list, DialExecutor: dial, Clock: clock, Log: logger}
//	go r.Run(ctx)
//	answer, err := r.Submit(ctx, request)
//
// Coordinate and Dispatch serve the corresponding calls from other hosts.
//
// # Concurrency
//
// Each request has one goroutine from its arrival at the coordinator to its
// answer, and each owned executor has one that adopts it and polls its reports.
// One mutex guards the state of the decisions (deduplication, queues, slots). It
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
	// maxForwardTries limits how often a request is forwarded while its shard
	// moves. 40 tries take 2 s: a host that missed the claim of the new owner
	// reads it from the table within 1.3 s.
	maxForwardTries = 40
	// forwardRetryDelay is the delay before a request is forwarded again.
	forwardRetryDelay = 50 * time.Millisecond
	// defaultRetryAfter is the retry hint in answers to requests that were not run.
	defaultRetryAfter = time.Second
	// queuePerCustomer limits the waiting requests of a customer and class until
	// SetLimits is called.
	queuePerCustomer = 5000
)

// Router routes the requests of one host. Set the exported fields before Run.
type Router struct {
	Ownership hoist.Ownership
	HostList  hoist.HostList
	// DialExecutor returns a client for a listed executor.
	DialExecutor func(hoist.HostEntry) hoist.Executor
	Clock        hoist.Clock
	Log          *slog.Logger
	// Table and Store hold requests whose callers poll for the answer; without
	// them such requests are refused.
	Table hoist.Table
	Store hoist.ObjectStore
	// Policy chooses executors; nil selects slots.FastestFree.
	Policy hoist.ExecutorPolicy

	once sync.Once
	mu   sync.Mutex
	rng  *rand.Rand
	// keys and terms hold, for each active shard of this host, the table of its
	// request keys and the term in which that table was created.
	keys        map[hoist.ShardID]*dedup.Table
	terms       map[hoist.ShardID]hoist.Term
	calls       map[hoist.RequestKey]*call
	queues      map[hoist.ServiceName]*queue.Queue[*call]
	pool        *slots.Pool
	executors   map[hoist.ExecutorID]*executorHandle
	remoteSlots map[hoist.HostID]map[hoist.ServiceName]hoist.ServiceSlots
	sent        sentAttempts
	writes      chan *pendingWrite
	// writesStopped is closed when rows are no longer written.
	writesStopped chan struct{}
	// numAccepted counts the unfinished calls whose callers poll for the answer.
	numAccepted int
	// instance identifies this process in the rows of requests that it started.
	instance string
	retries  retry.Budget
	limits   Limits
	inFlight int
	// idle is closed when no request is in flight any more. It is nil unless
	// Drain is waiting.
	idle chan struct{}
}

var _ hoist.ShardHolder = (*Router)(nil)

// init initialises the unexported fields once, so that shards can be acquired
// before Run is called.
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
		r.executors = make(map[hoist.ExecutorID]*executorHandle)
		r.terms = make(map[hoist.ShardID]hoist.Term)
		r.sent = make(sentAttempts)
		r.writes = make(chan *pendingWrite)
		r.writesStopped = make(chan struct{})
		r.instance = fmt.Sprintf("%s/%d", r.Ownership.Self(), r.Clock.Now().UnixNano())
		r.remoteSlots = make(map[hoist.HostID]map[hoist.ServiceName]hoist.ServiceSlots)
	})
}

// Submit forwards a request to its coordinator and waits for the answer. The
// outcome is Done, NotRun or Unknown; for a request with NoWait it is Accepted
// instead of Done. The only error is hoist.ErrInvalid, for a key that belongs to
// another request.
//
// If the connection to the coordinator breaks, the request is sent again under
// the same key, because the coordinator knows whether it received the request.
// From then on only the coordinator's record of the key can tell the outcome, so
// any other failure is reported as outcome unknown.
func (r *Router) Submit(ctx context.Context, req hoist.Request) (hoist.Answer, error) {
	r.init()
	r.addInFlight()
	defer r.removeInFlight()
	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
	reason := "no host owns the shard of the request key"
	for try := 0; try < maxForwardTries || !req.FirstTry; try++ {
		answer, err := r.forward(ctx, shard, req)
		switch {
		case err == nil:
			return answer, nil
		case errors.Is(err, hoist.ErrInvalid):
			return hoist.Answer{}, err
		case errors.Is(err, hoist.ErrOutcomeUnknown):
			req.FirstTry = false
		case errors.Is(err, hoist.ErrOverLimit), !errors.Is(err, hoist.ErrNotOwner) && req.FirstTry:
			return notAcceptedAnswer(req, err.Error()), nil
		}
		reason = err.Error()
		if !sleep(ctx, forwardRetryDelay) || !r.Clock.Now().Before(req.Deadline) {
			break
		}
		if req.FirstTry {
			// The request has certainly not run, so it may be issued anew.
			req.IssuedAt = r.Clock.Now()
		}
	}
	return notAcceptedAnswer(req, reason), nil
}

func (r *Router) forward(ctx context.Context, shard hoist.ShardID, req hoist.Request) (hoist.Answer, error) {
	host, ok := r.Ownership.OwnerOf(shard)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("shard %d has no owner", shard))
	}
	if host == r.Ownership.Self() {
		return r.Coordinate(ctx, req)
	}
	peer, ok := r.Ownership.Peer(host)
	if !ok {
		return hoist.Answer{}, merry.Wrap(hoist.ErrNotOwner, merry.PrependMessagef("no connection to host %s", host))
	}
	return peer.Submit(ctx, req)
}

// notAcceptedAnswer returns the answer to a request that no coordinator has
// accepted. A first try certainly did not run. For a later try the outcome is
// unknown, because an earlier one may have run.
func notAcceptedAnswer(req hoist.Request, reason string) hoist.Answer {
	if req.FirstTry {
		return failureAnswer(req.Key, hoist.NotRun, reason)
	}
	return failureAnswer(req.Key, hoist.Unknown, reason)
}

// failureAnswer returns an answer with the outcome NotRun or Unknown. One that
// was not run has a retry hint.
func failureAnswer(key hoist.RequestKey, outcome hoist.Outcome, reason string) hoist.Answer {
	answer := hoist.Answer{Key: key, Outcome: outcome, Reason: reason}
	if outcome == hoist.NotRun {
		answer.RetryAfter = defaultRetryAfter
	}
	return answer
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// HandleHeartbeat records the free slots that another host reports and assigns
// them to waiting requests.
func (r *Router) HandleHeartbeat(h hoist.Heartbeat) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Leaving {
		delete(r.remoteSlots, h.Host)
		return
	}
	byService := make(map[hoist.ServiceName]hoist.ServiceSlots, len(h.Slots))
	for _, s := range h.Slots {
		byService[s.Service] = s
	}
	r.remoteSlots[h.Host] = byService
	r.assignAll()
}

// Slots returns the free slots of the executors that this host owns.
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

// Release implements hoist.ShardHolder. Requests that still wait for a slot are
// withdrawn: their keys are handed over as not run, and the hosts that received
// them forward them to the new owner.
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
				record = dedup.WithdrawnRecord(record, r.Clock.Now())
			}
			out = append(out, record)
		}
	}
	return out
}
