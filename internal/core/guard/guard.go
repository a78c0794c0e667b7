// Package guard keeps a panic in one piece of work from ending the process.
//
// # Usage
//
//	g := &guard.Guard{Log: logger, Count: metrics.RecordPanic}
//	if err := g.Do(ctx, "poll", poll); err != nil {
//		// the work ended with a panic, which has been logged and counted
//	}
//	g.Loop(ctx, "registry", follow) // runs again after a panic, until ctx ends
//
// Guard protects the process, not the data: if the work may have left shared
// state half changed, the caller must discard that state.
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
)

// ErrPanic reports work that ended with a panic.
var ErrPanic = merry.Sentinel("panic")

// Work names a kind of work in logs and metrics.
type Work string

// restartDelay is the delay before Loop runs work again after a panic.
const restartDelay = 500 * time.Millisecond

// Guard runs work and recovers from its panics. The zero value neither logs nor
// counts them. Its methods may be called concurrently.
type Guard struct {
	Log *slog.Logger
	// Count is called for each panic; it may be nil.
	Count func(work Work)
}

// Do runs f. If f panics, Do logs and counts the panic and returns ErrPanic.
func (g *Guard) Do(ctx context.Context, work Work, f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = g.recovered(ctx, work, r)
		}
	}()
	f()
	return nil
}

// Loop runs f, and again if it panics, until f returns or ctx ends.
func (g *Guard) Loop(ctx context.Context, work Work, f func()) {
	for g.Do(ctx, work, f) != nil {
		if !clock.Sleep(ctx, restartDelay) {
			return
		}
	}
}

func (g *Guard) recovered(ctx context.Context, work Work, r any) error {
	if g == nil {
		return merry.Wrap(ErrPanic, merry.AppendMessagef("%s: %v", work, r))
	}
	events.Panicked.Log(ctx, g.Log, "work", work, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
	if g.Count != nil {
		g.Count(work)
	}
	return merry.Wrap(ErrPanic, merry.AppendMessagef("%s: %v", work, r))
}
