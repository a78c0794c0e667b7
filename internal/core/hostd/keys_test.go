package hostd

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/queues"
	"fuchsiahoist.example/hoist/internal/fake/memory"
)

// jumpingClock is a clock whose time of day is set to another time.
type jumpingClock struct {
	mu  sync.Mutex
	off time.Duration
}

func (c *jumpingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.off)
}

func (c *jumpingClock) jump(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off += d
}

// teamSource is a source of a configuration with one team. It does not answer while
// isSilent is set.
type teamSource struct {
	mu       sync.Mutex
	isSilent bool
}

func (s *teamSource) setSilent(isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSilent = isSilent
}

func (s *teamSource) Config(ctx context.Context, _ hoist.RowVersion, _ time.Duration) (hoist.QueueConfig, hoist.RowVersion, error) {
	s.mu.Lock()
	isSilent := s.isSilent
	s.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return hoist.QueueConfig{}, 0, hoist.ErrUnavailable
	}
	return hoist.QueueConfig{
		Version: 1, NeedsKeys: true, Teams: []hoist.TeamConfig{{Team: "a", Keys: []hoist.KeyHash{access.Hash("key")}}},
	}, 1, nil
}

// TestReadyNeedsNewConfiguration guards against a host that the balancer sends callers to
// although it refuses their keys, and against an age of the configuration that depends on
// the time of day.
func TestReadyNeedsNewConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, day := &teamSource{}, &jumpingClock{}
		h := &Host{
			Store: &memory.Store{}, Source: source, Clock: day, LeaseClock: clock.System{},
			KeyRules: func() queues.KeyRules { return queues.KeyRules{IsStrict: true, RevokeTime: 5 * time.Second} },
		}
		h.init()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { h.follower.Run(ctx) })
		// The store itself answers all the time.
		running.Go(func() {
			for clock.Sleep(ctx, 100*time.Millisecond) {
				h.monitored.recordOutcome(nil)
			}
		})
		wantServed := func(want bool) {
			t.Helper()
			_, err := h.Plans().Authorize(hoist.QueueEntry{}, access.Hash("key"))
			is.Equal(err == nil, want)
			is.Equal(errors.Is(err, hoist.ErrUnavailable), !want)
			is.Equal(h.IsReady(), want)
		}
		time.Sleep(time.Second)
		wantServed(true)
		for _, jump := range []time.Duration{time.Hour, -2 * time.Hour} {
			day.jump(jump)
			time.Sleep(200 * time.Millisecond)
			wantServed(true)
		}
		source.setSilent(true)
		time.Sleep(2500 * time.Millisecond)
		day.jump(-time.Hour)
		time.Sleep(2500 * time.Millisecond)
		wantServed(false)
		source.setSilent(false)
		time.Sleep(2 * time.Second)
		wantServed(true)
		cancel()
		running.Wait()
	})
}
