package entry_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/relay"
	"fuchsiahoist.example/hoist/internal/peer/entry"
)

// fakePeer answers heartbeats and requests at once, except requests with the key
// "held": these wait until release is closed or their context ends.
type fakePeer struct {
	hoist.Peer
	arrived chan struct{}
	release chan struct{}
}

func (p *fakePeer) Heartbeat(_ context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	return h, nil
}

func (p *fakePeer) Submit(ctx context.Context, r hoist.Request) (hoist.Answer, error) {
	if r.Key == "held" {
		p.arrived <- struct{}{}
		select {
		case <-p.release:
		case <-ctx.Done():
		}
	}
	return hoist.Answer{Key: r.Key, Outcome: hoist.Done, Body: r.Body}, nil
}

// startServer starts a server with a relay in front of it. It returns a client
// that calls through the relay, the relay, and a function that stops the server.
func startServer(t *testing.T, p *fakePeer) (*entry.Client, *relay.Relay, context.CancelFunc) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&entry.Server{Listener: l, Peer: p}).Run(ctx) }()
	r := &relay.Relay{Target: l.Addr().String()}
	addr, err := r.Start()
	is.New(t).NoErr(err)
	c := &entry.Client{Addr: addr}
	t.Cleanup(func() { c.Close(); cancel(); r.Close(); is.New(t).NoErr(<-ended) })
	return c, r, cancel
}

// assertSubmit checks that a request is answered with its own body.
func assertSubmit(t *testing.T, c *entry.Client, body []byte) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := c.Submit(ctx, hoist.Request{Key: "k", Customer: "c", Service: "s", Body: body})
	is.NoErr(err)
	is.Equal(string(a.Body), string(body))
}

// TestHalfOpenConnectionToHost guards against calls that wait forever on a half-open
// connection to another host: they must fail, and a new connection must replace it.
func TestHalfOpenConnectionToHost(t *testing.T) {
	for name, fault := range map[string]relay.Fault{"discarding": relay.Discard, "stalled": relay.Stall} {
		t.Run(name, func(t *testing.T) {
			p := &fakePeer{arrived: make(chan struct{}, 1), release: make(chan struct{})}
			c, r, _ := startServer(t, p)
			assertSubmit(t, c, []byte("before"))
			failed := make(chan error, 1)
			go func() {
				_, err := c.Submit(context.Background(), hoist.Request{Key: "held", Customer: "c", Service: "s"})
				failed <- err
			}()
			<-p.arrived
			r.MakeHalfOpen(fault)
			// The body is larger than the buffers of a stalled connection, so the
			// write blocks.
			go func() {
				_, _ = c.Submit(context.Background(), hoist.Request{Key: "k", Customer: "c", Service: "s", Body: make([]byte, 16<<20)})
			}()
			for tries := 0; ; tries++ {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				_, err := c.Heartbeat(ctx, hoist.Heartbeat{Host: "h"})
				cancel()
				if err == nil {
					break
				}
				if tries > 10 {
					t.Fatal("no heartbeat after 10 tries")
				}
			}
			if err := <-failed; !errors.Is(err, hoist.ErrOutcomeUnknown) {
				t.Errorf("the request on the half-open connection returned the error %v, expected ErrOutcomeUnknown", err)
			}
			assertSubmit(t, c, []byte("after"))
		})
	}
}

// TestStopSendsReplies guards against replies that are truncated when the server
// stops.
func TestStopSendsReplies(t *testing.T) {
	p := &fakePeer{arrived: make(chan struct{}, 1), release: make(chan struct{})}
	c, _, stop := startServer(t, p)
	answered := make(chan error, 1)
	go func() {
		_, err := c.Submit(context.Background(), hoist.Request{Key: "held", Customer: "c", Service: "s", Body: make([]byte, 1<<20)})
		answered <- err
	}()
	<-p.arrived
	stop()
	is.New(t).NoErr(<-answered)
}
