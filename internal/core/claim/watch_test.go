package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/shelf"
)

// watched is the connection to a host, over which pulses fail as the test says.
type watched struct {
	hosts *hosts
	id    hoist.HostID
}

// CheckHealth implements hoist.HealthChecker.
func (w watched) CheckHealth(ctx context.Context, from hoist.HostID) (hoist.HostHealth, error) {
	w.hosts.mu.Lock()
	err, k, delay := w.hosts.peers[w.id], w.hosts.keepers[w.id], w.hosts.delays[w.id]
	w.hosts.mu.Unlock()
	time.Sleep(delay)
	switch {
	case errors.Is(err, hoist.ErrUnavailable):
		<-ctx.Done()
		return hoist.HostHealth{}, err
	case err != nil:
		return hoist.HostHealth{}, err
	}
	return k.Health(from), nil
}

// Close implements hoist.Closer.
func (watched) Close() {}

// link is the way of a host to the store, and tells since when it is cut.
type link struct {
	*shelf.Link
	mu   sync.Mutex
	lost time.Time
}

func (l *link) cut() {
	l.set(hoist.ErrUnavailable, time.Now())
}

func (l *link) heal() {
	l.set(nil, time.Time{})
}

func (l *link) set(err error, lost time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetError(err)
	l.lost = lost
}

// age is what claim.Manager.StoreAge asks for.
func (l *link) age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.IsZero() {
		return 0, false
	}
	return time.Since(l.lost), true
}

// watchedCell runs an owner and two deputies that watch it.
type watchedCell struct {
	*hosts
	is    *is.I
	links map[hoist.HostID]*link
}

// runWatched runs fn in a bubble with a cell that the host a owns.
func runWatched(t *testing.T, fn func(c *watchedCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := &watchedCell{hosts: newHosts(t), is: is.New(t), links: make(map[hoist.HostID]*link)}
		for _, id := range []hoist.HostID{"a", "b", "c"} {
			l := &link{Link: &shelf.Link{Store: c.store}}
			c.links[id] = l
			k := c.keeper(id, 1, 400, l)
			k.Addr = string(id)
			k.Dial = func(addr string) hoist.HealthChecker { return watched{c.hosts, hoist.HostID(addr)} }
			k.StoreAge = l.age
			for _, other := range []hoist.HostID{"a", "b", "c"} {
				if other != id {
					k.SetHost(other, 400)
				}
			}
			c.mu.Lock()
			c.keepers[id] = k
			c.mu.Unlock()
			defer c.start(k)()
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		c.wantOwner("a")
		fn(c)
	})
}

// fail lets the pulses of a host fail; nil lets them through again.
func (c *watchedCell) fail(id hoist.HostID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[id] = err
}

// slowDown makes the answers of a host to pulses take some time.
func (c *watchedCell) slowDown(id hoist.HostID, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays[id] = delay
}

// slowPause is how long an owner is left in place although it is slow.
const slowPause = 10 * time.Second

// wantTakeover fails unless a host other than a acts within limit.
func (c *watchedCell) wantTakeover(limit time.Duration) {
	c.t.Helper()
	time.Sleep(limit)
	_, isB := c.acts("b")
	_, isC := c.acts("c")
	if isB == isC {
		c.t.Fatalf("after %s: b acts %t, c acts %t", limit, isB, isC)
	}
}

// TestWatch guards against a cell that stands still for the whole silence at the
// store although the owner is known to be gone, and against one that is taken
// from an owner that lives.
func TestWatch(t *testing.T) {
	t.Run("process of the owner has ended", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			c.links["a"].cut()
			c.fail("a", hoist.ErrNotListening)
			c.wantTakeover(500 * time.Millisecond)
			o, ok := c.acts("b")
			if !ok {
				o, _ = c.acts("c")
			}
			// It granted no lease after its end: leases of 6 s, a slow clock and a margin.
			c.is.True(time.Until(o.EarlierLeasesExpire) < 7*time.Second)
		})
	})
	t.Run("owner is turned away by the store", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			c.links["a"].cut()
			c.wantTakeover(time.Second)
			// It may go on granting for 9 s after its last renewal.
			for _, id := range []hoist.HostID{"b", "c"} {
				if o, ok := c.acts(id); ok {
					c.is.True(time.Until(o.EarlierLeasesExpire) > 7*time.Second)
				}
			}
		})
	})
	t.Run("owner is frozen", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			c.links["a"].cut()
			c.fail("a", hoist.ErrUnavailable)
			c.wantTakeover(1500 * time.Millisecond) // 0.9 s of silence, and a pulse without an answer
		})
	})
	t.Run("owner cannot be reached and renews", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			c.fail("a", hoist.ErrUnavailable)
			time.Sleep(20 * time.Second)
			c.wantOwner("a")
		})
	})
	t.Run("owner lacks processor", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			time.Sleep(slowPause)
			c.slowDown("a", 120*time.Millisecond)
			c.wantTakeover(3 * time.Second)
		})
	})
	t.Run("owner lacks processor as the one before", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			c.slowDown("a", 120*time.Millisecond)
			time.Sleep(1500 * time.Millisecond) // enough pulses, less than slowPause since the claim
			c.wantOwner("a")
		})
	})
	t.Run("store is away for all", func(t *testing.T) {
		runWatched(t, func(c *watchedCell) {
			for _, l := range c.links {
				l.cut()
			}
			time.Sleep(8 * time.Second)
			for _, id := range []hoist.HostID{"c", "b", "a"} {
				c.links[id].heal()
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			c.wantOwner("a")
		})
	})
}

// TestDeputies guards against deputies that do not watch, and against small hosts
// that are preferred to large ones.
func TestDeputies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t)
		k := h.keeper("owner", 1, 800, h.store)
		k.StoreAge = func() (time.Duration, bool) { return 0, false }
		for i := range 6 {
			k.SetHost(hoist.HostID(fmt.Sprintf("large-%d", i)), 800)
			k.SetHost(hoist.HostID(fmt.Sprintf("small-%d", i)), 100)
		}
		defer h.start(k)()
		time.Sleep(2 * time.Second)
		first := h.deputies(t)
		is.Equal(len(first), 4)
		for _, id := range first {
			is.Equal(string(id)[:5], "large")
		}
		// All but the first ask for pulses.
		for range 10 {
			for _, id := range first[1:] {
				k.Health(id)
			}
			time.Sleep(time.Second)
		}
		next := h.deputies(t)
		is.Equal(len(next), 4)
		is.Equal(next[:3], first[1:])
	})
}
