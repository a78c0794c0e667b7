package claim_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/shelf"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// hosts run keepers on one store and note who acts.
type hosts struct {
	t     *testing.T
	store *shelf.Store

	mu     sync.Mutex
	acting map[hoist.HostID]*claim.Ownership
	lapses map[hoist.HostID]time.Duration
	// keepers are those that can be watched; peers tells how they answer.
	keepers map[hoist.HostID]*claim.Manager
	peers   map[hoist.HostID]error
	delays  map[hoist.HostID]time.Duration
}

func newHosts(t *testing.T) *hosts {
	return &hosts{
		t: t, store: &shelf.Store{}, acting: make(map[hoist.HostID]*claim.Ownership), lapses: make(map[hoist.HostID]time.Duration),
		keepers: make(map[hoist.HostID]*claim.Manager), peers: make(map[hoist.HostID]error),
		delays: make(map[hoist.HostID]time.Duration),
	}
}

// run starts a keeper and returns what ends it gracefully.
func (h *hosts) run(id hoist.HostID, epoch hoist.Epoch, weight claim.Weight, store hoist.Store) func() {
	return h.start(h.keeper(id, epoch, weight, store))
}

func (h *hosts) keeper(id hoist.HostID, epoch hoist.Epoch, weight claim.Weight, store hoist.Store) *claim.Manager {
	return &claim.Manager{
		Host: id, Epoch: epoch, Weight: weight, Store: store, Clock: clock.System{},
		Waiting: func() map[hoist.QueueName]int { return nil },
	}
}

func (h *hosts) start(k *claim.Manager) func() {
	ctx, cancel := context.WithCancel(context.Background())
	id := k.Host
	k.Own = func(ctx context.Context, o *claim.Ownership) {
		h.note(id, o)
		<-ctx.Done()
		h.note(id, nil)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Run returns no error.
		_ = k.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (h *hosts) note(id hoist.HostID, o *claim.Ownership) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o == nil {
		delete(h.acting, id)
		return
	}
	h.acting[id] = o
	h.lapses[id] = time.Until(o.EarlierLeasesExpire)
}

// wantOwner fails unless exactly the named host acts.
func (h *hosts) wantOwner(id hoist.HostID) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.acting[id]; !ok || len(h.acting) != 1 {
		h.t.Fatalf("hosts that act: %v, expected %s", h.acting, id)
	}
}

// acts returns the ownership of a host, if it acts.
func (h *hosts) acts(id hoist.HostID) (*claim.Ownership, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.acting[id]
	return o, ok
}

// deputies returns the hosts that the owner has named.
func (h *hosts) deputies(t *testing.T) []hoist.HostID {
	t.Helper()
	row, err := h.store.Get(context.Background(), keys.Renewal)
	is.New(t).NoErr(err)
	beat, err := codec.DecodeRow[rows.Beat](row.Value)
	is.New(t).NoErr(err)
	return codec.IDs[hoist.HostID](beat.Deputies)
}

// count returns how many hosts act.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acting)
}

// lapse returns how long after its claim a host waits for earlier leases.
func (h *hosts) lapse(id hoist.HostID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lapses[id]
}

// TestOwner guards against a cell without an owner, or with one that others took
// over from.
func TestOwner(t *testing.T) {
	t.Run("one of several", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			stops := []func(){h.run("a", 1, 400, h.store), h.run("b", 1, 400, h.store), h.run("c", 1, 400, h.store)}
			time.Sleep(5 * time.Second)
			is.New(t).Equal(h.count(), 1)
			for _, stop := range stops {
				stop()
			}
		})
	})
	t.Run("gives up when it stops", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			stopA := h.run("a", 1, 400, h.store)
			time.Sleep(time.Second)
			stopB := h.run("b", 1, 400, h.store)
			time.Sleep(3 * time.Second)
			h.wantOwner("a")
			stopA()
			time.Sleep(500 * time.Millisecond)
			h.wantOwner("b")
			is.New(t).True(h.lapse("b") < 7*time.Second) // leases of 6 s, a slow clock and a margin
			stopB()
		})
	})
	t.Run("silent owner is replaced", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			cut := &shelf.Link{Store: h.store}
			stopA := h.run("a", 1, 400, cut)
			time.Sleep(time.Second)
			stopB := h.run("b", 1, 400, h.store)
			time.Sleep(2 * time.Second)
			cut.SetError(hoist.ErrUnavailable)
			// The last renewal is up to 0.4 s old, and 2.2 s of it are silence.
			time.Sleep(1500 * time.Millisecond)
			_, isEarly := h.acts("b")
			is.New(t).True(!isEarly)
			time.Sleep(1500 * time.Millisecond)
			_, isB := h.acts("b")
			is.New(t).True(isB)
			is.New(t).True(h.lapse("b") > 6*time.Second) // the silent owner may grant for 9 s
			cut.SetError(nil)
			time.Sleep(2 * time.Second)
			h.wantOwner("b") // the earlier owner has noticed
			stopA()
			stopB()
		})
	})
	t.Run("outage of the store is not silence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			a, b := &shelf.Link{Store: h.store}, &shelf.Link{Store: h.store}
			stopA := h.run("a", 1, 400, a)
			time.Sleep(time.Second)
			stopB := h.run("b", 1, 400, b)
			time.Sleep(2 * time.Second)
			a.SetError(hoist.ErrUnavailable)
			b.SetError(hoist.ErrUnavailable)
			time.Sleep(8 * time.Second)
			a.SetError(nil)
			b.SetError(nil)
			time.Sleep(3 * time.Second)
			h.wantOwner("a")
			stopA()
			stopB()
		})
	})
	t.Run("claim without an answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			link := &shelf.Link{Store: h.store}
			link.LoseAnswers(1)
			stop := h.run("a", 1, 400, link)
			time.Sleep(3 * time.Second)
			h.wantOwner("a")
			stop()
		})
	})
	t.Run("new process of the owner's host", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			cut := &shelf.Link{Store: h.store}
			stopOld := h.run("a", 1, 400, cut)
			time.Sleep(time.Second)
			cut.SetError(hoist.ErrUnavailable)
			stopOld() // its release is lost, as if it had been killed
			stopNew := h.run("a", 2, 400, h.store)
			time.Sleep(500 * time.Millisecond)
			h.wantOwner("a")
			o, _ := h.acts("a")
			is.New(t).Equal(o.Term, hoist.Term(2))
			stopNew()
		})
	})
	t.Run("large host replaces a small owner", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts(t)
			stopA := h.run("small", 1, 100, h.store)
			time.Sleep(4 * time.Second)
			h.wantOwner("small")
			stopB := h.run("large", 1, 800, h.store)
			time.Sleep(6 * time.Second)
			h.wantOwner("large")
			stopA()
			stopB()
		})
	})
}
