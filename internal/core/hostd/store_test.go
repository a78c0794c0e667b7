package hostd

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/memory"
)

// TestFailFastStore guards against clients that wait for a store that is known to be
// unavailable, and against a store that is never called again.
func TestFailFastStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		ref := hoist.RowRef{Table: "t", Key: "k"}
		link := &memory.Link{Store: &memory.Store{}}
		monitored := &monitoredStore{Store: link, clock: clock.System{}}
		failFast := failFastStore{monitored}
		_, err := failFast.Get(ctx, ref)
		is.NoErr(err)
		link.SetError(hoist.ErrOutcomeUnknown)
		_, err = failFast.Get(ctx, ref)
		is.True(errors.Is(err, hoist.ErrOutcomeUnknown)) // the store is called, as it may have recovered
		time.Sleep(failFastAfter + time.Millisecond)
		_, err = failFast.Get(ctx, ref)
		is.True(errors.Is(err, hoist.ErrUnavailable)) // refused without a call to the store
		_, err = failFast.Commit(ctx, hoist.Transaction{})
		is.True(errors.Is(err, hoist.ErrUnavailable))
		link.SetError(nil)
		_, err = monitored.Get(ctx, ref) // as one of the host's loops does
		is.NoErr(err)
		_, err = failFast.Get(ctx, ref)
		is.NoErr(err)
	})
}

// TestCancelledCallIsNoOutage guards against a store that counts as unavailable
// because a caller did not wait for its answer.
func TestCancelledCallIsNoOutage(t *testing.T) {
	link := &memory.Link{Store: &memory.Store{}}
	monitored := &monitoredStore{Store: link, clock: clock.System{}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	link.SetError(hoist.ErrOutcomeUnknown)
	_, _ = monitored.Commit(ctx, hoist.Transaction{})
	_, _ = monitored.Get(ctx, hoist.RowRef{})
	_, isUnavailable := monitored.outage()
	is.New(t).True(!isUnavailable)
}

// TestUnansweredCallsEndAfterOutage guards against a host that waits for the answers to
// calls made during an outage of the store after the store has recovered.
func TestUnansweredCallsEndAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &memory.Link{Store: &memory.Store{}}
		monitored := &monitoredStore{Store: link, clock: clock.System{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, err := monitored.Get(ctx, keys.Renewal)
		is.NoErr(err)
		go monitored.probe(ctx)
		hung := keys.Fence("00")
		link.SetPartError(hung.Part, hoist.ErrOutcomeUnknown)
		link.SetPartError(keys.Renewal.Part, hoist.ErrOutcomeUnknown)
		short, end := context.WithTimeout(ctx, 300*time.Millisecond)
		defer end()
		_, err = monitored.Get(short, hung)
		is.True(err != nil) // the store counts as unavailable
		const outageTime = 4 * time.Second
		time.AfterFunc(outageTime, func() { link.SetPartError(keys.Renewal.Part, nil) })
		began := time.Now()
		long, end := context.WithTimeout(ctx, time.Minute)
		defer end()
		_, err = monitored.Commit(long, hoist.Transaction{Writes: []hoist.Write{{RowRef: hung}}})
		is.True(errors.Is(err, hoist.ErrOutcomeUnknown))
		// The bound allows for a probe that was lost just before the recovery, and the delay of
		// the next one.
		is.True(time.Since(began) <= outageTime+probeEvery+probeTimeout)
	})
}
