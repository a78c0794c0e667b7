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
	"fuchsiahoist.example/hoist/internal/fake/shelf"
)

// TestPromptStore guards against clients that wait for a store that is known to
// be away, and against a store that is never asked again.
func TestPromptStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		ref := hoist.RowRef{Table: "t", Key: "k"}
		link := &shelf.Link{Store: &shelf.Store{}}
		watched := &watchedStore{Store: link, clock: clock.System{}}
		prompt := promptStore{watched}
		_, err := prompt.Get(ctx, ref)
		is.NoErr(err)
		link.SetError(hoist.ErrOutcomeUnknown)
		_, err = prompt.Get(ctx, ref)
		is.True(errors.Is(err, hoist.ErrOutcomeUnknown)) // asked, as it may be back
		time.Sleep(awayAfter + time.Millisecond)
		_, err = prompt.Get(ctx, ref)
		is.True(errors.Is(err, hoist.ErrUnavailable)) // refused without a call
		_, err = prompt.Commit(ctx, hoist.Transaction{})
		is.True(errors.Is(err, hoist.ErrUnavailable))
		link.SetError(nil)
		_, err = watched.Get(ctx, ref) // one of the host's loops
		is.NoErr(err)
		_, err = prompt.Get(ctx, ref)
		is.NoErr(err)
	})
}

// TestGivenUp guards against a store that counts as lost because a caller did not
// wait for its answer.
func TestGivenUp(t *testing.T) {
	link := &shelf.Link{Store: &shelf.Store{}}
	watched := &watchedStore{Store: link, clock: clock.System{}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	link.SetError(hoist.ErrOutcomeUnknown)
	_, _ = watched.Commit(ctx, hoist.Transaction{})
	_, _ = watched.Get(ctx, hoist.RowRef{})
	_, isLost := watched.lost()
	is.New(t).True(!isLost)
}

// TestHungCalls guards against a host that goes on waiting for the answers to calls
// that were lost while the store was away, when it has come back.
func TestHungCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &shelf.Link{Store: &shelf.Store{}}
		watched := &watchedStore{Store: link, clock: clock.System{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, err := watched.Get(ctx, keys.Renewal)
		is.NoErr(err)
		go watched.probe(ctx)
		hung := keys.Fence("00")
		link.SetPartError(hung.Part, hoist.ErrOutcomeUnknown)
		link.SetPartError(keys.Renewal.Part, hoist.ErrOutcomeUnknown)
		short, end := context.WithTimeout(ctx, 300*time.Millisecond)
		defer end()
		_, err = watched.Get(short, hung)
		is.True(err != nil) // the store counts as lost
		const away = 4 * time.Second
		time.AfterFunc(away, func() { link.SetPartError(keys.Renewal.Part, nil) })
		began := time.Now()
		long, end := context.WithTimeout(ctx, time.Minute)
		defer end()
		_, err = watched.Commit(long, hoist.Transaction{Writes: []hoist.Write{{RowRef: hung}}})
		is.True(errors.Is(err, hoist.ErrOutcomeUnknown))
		// A probe that was lost just before the return, and the wait for the next one.
		is.True(time.Since(began) <= away+probeEvery+probeTimeout)
	})
}
