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

var step = hoist.StepRef{Job: "p", Occurrence: 2, Step: 1}

// adviser allows the first worker of a known step.
type adviser struct{}

func (adviser) Advise(ctx context.Context, s hoist.StepRef, workers []hoist.WorkerID) (hoist.Advice, error) {
	if s != step {
		return hoist.Advice{}, hoist.ErrOverLimit
	}
	if len(workers) == 0 {
		<-ctx.Done()
		return hoist.Advice{}, ctx.Err()
	}
	return hoist.Advice{Good: map[hoist.WorkerID]hoist.Ticket{workers[0]: "t"}, Valid: 2 * time.Second}, nil
}

// serve serves helpers at an address until the test ends or stop is called.
func serve(t *testing.T, addr string) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Run returns no error after its context has ended.
		_ = (&helper.Server{Listener: l, Adviser: adviser{}}).Run(ctx)
	}()
	stop := func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// TestAdvise guards against questions and answers that are changed on the way,
// and against hosts that hold up the one that asks.
func TestAdvise(t *testing.T) {
	ctx := context.Background()
	t.Run("answer", func(t *testing.T) {
		is := is.New(t)
		addr, _ := serve(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		got, err := c.Advise(ctx, step, []hoist.WorkerID{"w1", "w2"})
		is.NoErr(err)
		is.Equal(got, hoist.Advice{Good: map[hoist.WorkerID]hoist.Ticket{"w1": "t"}, Valid: 2 * time.Second})
	})
	t.Run("refusal", func(t *testing.T) {
		addr, _ := serve(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		_, err := c.Advise(ctx, hoist.StepRef{}, nil)
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
	})
	t.Run("no answer in time", func(t *testing.T) {
		addr, _ := serve(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := c.Advise(ctx, step, nil)
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
	})
	t.Run("host that starts again", func(t *testing.T) {
		is := is.New(t)
		addr, stop := serve(t, "127.0.0.1:0")
		c := &helper.Client{Addr: addr}
		defer c.Close()
		_, err := c.Advise(ctx, step, []hoist.WorkerID{"w1"})
		is.NoErr(err)
		stop()
		_, err = c.Advise(ctx, step, []hoist.WorkerID{"w1"})
		is.True(errors.Is(err, hoist.ErrUnavailable))
		serve(t, addr)
		_, err = c.Advise(ctx, step, []hoist.WorkerID{"w1"})
		is.NoErr(err)
	})
}
