package route_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/route"
	"fuchsiahoist.example/hoist/internal/fake/execd"
	"fuchsiahoist.example/hoist/internal/fake/simnet"
)

// relayed is the link to an executor through a relay that passes the first attempt on
// only after lateBy, to the process that runs by then.
type relayed struct {
	*execd.Executor
	lateBy time.Duration
	isUsed bool
}

func (l *relayed) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	if l.isUsed {
		return l.Executor.Run(ctx, term, a)
	}
	l.isUsed = true
	// The caller has given up by then, so the answer is dropped.
	time.AfterFunc(l.lateBy, func() { _, _ = l.Executor.Run(context.Background(), term, a) })
	<-ctx.Done()
	return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
}

// oneExecutor lists one executor.
type oneExecutor struct{}

func (oneExecutor) List(context.Context) ([]hoist.HostEntry, error) {
	return []hoist.HostEntry{{Kind: hoist.HostKindExecutor, ID: "e", Service: "s"}}, nil
}

// TestLateAttemptAfterSettleAndRestart guards against a non-idempotent request that runs
// twice: its executor was told to refuse the first attempt, and has restarted before that
// arrives.
func TestLateAttemptAfterSettleAndRestart(t *testing.T) {
	const lateBy = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		e := &execd.Executor{ID: "e", Slots: 8}
		link := &relayed{Executor: e, lateBy: lateBy}
		r := &route.Router{
			Ownership: soleOwner{}, HostList: oneExecutor{}, Clock: simnet.Clock{},
			DialExecutor: func(hoist.HostEntry) hoist.Executor { return link },
		}
		var all []hoist.ShardTerm
		for s := range hoist.NumShards {
			all = append(all, hoist.ShardTerm{Shard: hoist.ShardID(s), Term: 1})
		}
		r.Acquire(all, nil, time.Time{})
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go r.Run(ctx)
		time.Sleep(2 * time.Second)
		now := time.Now()
		answer, err := r.Submit(ctx, hoist.Request{
			Key: "k", Customer: "c", Service: "s", Class: hoist.Quick, FirstTry: true, IssuedAt: now, Deadline: now.Add(3 * time.Second),
		})
		if err != nil {
			t.Fatal(err)
		}
		before := e.Runs()["k"]
		e.Restart()
		time.Sleep(2 * lateBy)
		if n := e.Runs()["k"]; n != before {
			t.Errorf("the request was answered as %s after %d runs, and has run %d times", answer.Outcome, before, n)
		}
	})
}
