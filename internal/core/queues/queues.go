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
	// readInterval is the time from the answer to a read to the next one while calls need
	// keys. With a store that takes 200 ms, the configuration is at most 0.9 s old, and 3.2 s
	// if two answers in a row are lost.
	readInterval = 500 * time.Millisecond
	// maxReadTimeout bounds the time for the answer to a read after one that got none, as the
	// store may be slow. It also bounds the time until the first read after an outage.
	maxReadTimeout = 2 * callTimeout
	// slowFactor is how many times as long as the last read the next one may take.
	slowFactor = 3
)

// Follower keeps the newest configuration. Set the exported fields before Run.
type Follower struct {
	Source hoist.QueueSource
	Log    *slog.Logger
	// OnRead is called with the outcome of each read; it may be nil.
	OnRead func(error)
	// Clock measures the age of the configuration. Its time includes the time in which the
	// machine was suspended; see clock.Lease. nil leaves the system clock.
	Clock hoist.Clock
	// Rules returns the rules about keys; nil leaves them to the configuration.
	Rules func() KeyRules

	mu     sync.RWMutex
	config hoist.QueueConfig
	// byKey finds the team of a key. It is replaced together with config.
	byKey teamIndex
	// confirmedAt is when the last read that was answered with config was sent.
	confirmedAt time.Time
	// byHost holds the queues of each host name, the longest prefix first.
	byHost map[string][]hoist.QueueEntry
	byName map[hoist.QueueName]hoist.Queue
}

// Run follows the configuration until ctx ends. Of consecutive failures it logs the
// first only. While calls need keys, it reads the whole configuration at short intervals
// instead of waiting for changes: only an answer that tells which configuration is in
// force makes sure that none of its keys was removed, and the feed of changes may lag.
func (f *Follower) Run(ctx context.Context) {
	var after hoist.RowVersion
	hasFailed, isTooOld := false, false
	timeout := callTimeout
	for ctx.Err() == nil {
		isTooOld = f.logAge(ctx, isTooOld)
		needsKeys := f.needsKeys(f.rules())
		if needsKeys {
			after = 0
		} else {
			timeout = callTimeout
		}
		wait := changesWait
		if after == 0 {
			wait = 0
		}
		sentAt := f.now()
		callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
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
			hasFailed, timeout = true, maxReadTimeout
			clock.Sleep(ctx, retryDelay)
			continue
		}
		hasFailed = false
		f.apply(ctx, config)
		if after == 0 {
			f.confirm(config.Version, sentAt)
		}
		after = next
		if needsKeys {
			timeout = min(maxReadTimeout, max(callTimeout, slowFactor*f.now().Sub(sentAt)))
			clock.Sleep(ctx, readInterval)
		}
	}
}

// apply puts a configuration into force if it is newer than the current one.
func (f *Follower) apply(ctx context.Context, c hoist.QueueConfig) {
	if c.Version <= f.Version() {
		return
	}
	byKey := newTeamIndex(c.Teams)
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
	events.ConfigInForce.Log(ctx, f.Log, "version", c.Version, "before", f.config.Version, "queues", len(c.Queues))
	f.logInvalid(ctx, c)
	f.config, f.byHost, f.byName, f.byKey = c, byHost, byName, byKey
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
