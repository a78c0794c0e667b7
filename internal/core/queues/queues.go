// Package queues follows the operators' configuration of the queues and finds the
// queue for a submission.
//
// # Usage
//
//	f := &queues.Follower{Source: source, Log: logger}
//	go f.Run(ctx)
//	queue, err := f.Find(hostName, path)
//
// A configuration takes effect as a whole, and an older one never replaces a newer
// one.
package queues

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// changesWait is how long the source waits for a change before it answers.
	changesWait = 1200 * time.Millisecond
	// callTimeout bounds the time for an answer, in addition to changesWait.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
)

// Follower keeps the newest configuration. Set the exported fields before Run.
type Follower struct {
	Source hoist.QueueSource
	Log    *slog.Logger
	// OnRead is called with the outcome of each read; it may be nil.
	OnRead func(error)

	mu     sync.RWMutex
	config hoist.QueueConfig
	// byHost holds the queues of each host name, the longest prefix first.
	byHost map[string][]hoist.QueueEntry
	byName map[hoist.QueueName]hoist.Queue
}

// Run follows the configuration until ctx ends. Of consecutive failures it logs the
// first only.
func (f *Follower) Run(ctx context.Context) {
	var after hoist.RowVersion
	hasFailed := false
	for ctx.Err() == nil {
		wait := changesWait
		if after == 0 {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		config, next, err := f.Source.Config(callCtx, after, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if f.OnRead != nil {
			f.OnRead(err)
		}
		if err != nil {
			if errors.Is(err, hoist.ErrHistoryLost) {
				after = 0
			}
			if !hasFailed {
				events.ConfigReadFailed.Log(ctx, f.Log, "version", f.Version(), "error", err)
			}
			hasFailed = true
			clock.Sleep(ctx, retryDelay)
			continue
		}
		hasFailed = false
		after = next
		f.apply(ctx, config)
	}
}

// apply puts a configuration into force if it is newer than the current one.
func (f *Follower) apply(ctx context.Context, c hoist.QueueConfig) {
	byHost := make(map[string][]hoist.QueueEntry)
	byName := make(map[hoist.QueueName]hoist.Queue)
	for _, q := range c.Queues {
		byHost[q.HostName] = append(byHost[q.HostName], q)
		byName[q.Name] = q.Queue
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b hoist.QueueEntry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version <= f.config.Version {
		return
	}
	events.ConfigInForce.Log(ctx, f.Log, "version", c.Version, "before", f.config.Version, "queues", len(c.Queues))
	f.config, f.byHost, f.byName = c, byHost, byName
}

// Version returns the version in force, or 0 before there is one.
func (f *Follower) Version() hoist.ConfigVersion {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.config.Version
}

// Find returns the queue with the longest prefix that path begins with. It
// returns hoist.ErrNotFound if there is none, and hoist.ErrUnavailable before
// there is a configuration.
func (f *Follower) Find(hostName, path string) (hoist.QueueEntry, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.config.Version == 0 {
		return hoist.QueueEntry{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("no configuration has been read yet"))
	}
	for _, q := range f.byHost[hostName] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, nil
		}
	}
	return hoist.QueueEntry{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("queue for host %q and path %q", hostName, path))
}

// HasService reports whether the configuration names a service, or whether it names
// none at all.
func (f *Follower) HasService(name hoist.ServiceName) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.config.Services) == 0 || slices.Contains(f.config.Services, name)
}

// Teams returns the configured teams, and false before there is a configuration. The
// caller must not modify them.
func (f *Follower) Teams() ([]hoist.TeamConfig, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.config.Teams, f.config.Version > 0
}

// RequestLimits returns the configured limits of requests.
func (f *Follower) RequestLimits() hoist.RequestLimits {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.config.Limits
}

// Queue returns the current parameters of a queue, and whether the queue exists.
func (f *Follower) Queue(name hoist.QueueName) (hoist.Queue, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	q, ok := f.byName[name]
	return q, ok
}
