package helper_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/helper"
)

var knownStep = hoist.StepRef{Job: "p", Occurrence: 2, Step: 1}

// fakeAdviser is a fake hoist.Adviser. For knownStep it allows the first worker;
// without workers it does not answer. For other steps it returns an error.
type fakeAdviser struct{}

func (fakeAdviser) Advise(ctx context.Context, s hoist.StepRef, workers []hoist.WorkerID) (hoist.Advice, error) {
	if s != knownStep {
		return hoist.Advice{}, hoist.ErrOverLimit
	}
	if len(workers) == 0 {
		<-ctx.Done()
		return hoist.Advice{}, ctx.Err()
	}
	return hoist.Advice{Tickets: map[hoist.WorkerID]hoist.Ticket{workers[0]: "t"}, ValidFor: 2 * time.Second}, nil
}

// startServer starts a server at addr. It returns the address and a function that
// stops the server, which otherwise runs until the test ends.
func startServer(t *testing.T, addr string) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Run returns no error after its context has ended.
		_ = (&helper.Server{Listener: l, Adviser: fakeAdviser{}, Dial: dialFake}).Run(ctx)
	}()
	stop := func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// TestAdvise guards against requests and advice that are changed in transit, and
// against a host that refuses, stops or does not answer and so blocks the caller.
func TestAdvise(t *testing.T) {
	ctx := context.Background()
	t.Run("advice is returned unchanged", func(t *testing.T) {
		is := is.New(t)
		addr, _ := startServer(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		got, err := c.Advise(ctx, knownStep, []hoist.WorkerID{"w1", "w2"})
		is.NoErr(err)
		is.Equal(got, hoist.Advice{Tickets: map[hoist.WorkerID]hoist.Ticket{"w1": "t"}, ValidFor: 2 * time.Second})
	})
	t.Run("host refuses the request", func(t *testing.T) {
		addr, _ := startServer(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		_, err := c.Advise(ctx, hoist.StepRef{}, nil)
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
	})
	t.Run("no answer in time", func(t *testing.T) {
		addr, _ := startServer(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := c.Advise(ctx, knownStep, nil)
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
	})
	t.Run("host restarts", func(t *testing.T) {
		is := is.New(t)
		addr, stop := startServer(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		_, err := c.Advise(ctx, knownStep, []hoist.WorkerID{"w1"})
		is.NoErr(err)
		stop()
		_, err = c.Advise(ctx, knownStep, []hoist.WorkerID{"w1"})
		is.True(errors.Is(err, hoist.ErrUnavailable))
		startServer(t, addr)
		_, err = c.Advise(ctx, knownStep, []hoist.WorkerID{"w1"})
		is.NoErr(err)
	})
}
