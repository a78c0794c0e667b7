package helper_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/decide/admit"
	"fuchsiahoist.example/hoist/internal/peer/helper"
)

// TestSilentConnectionsCutOffNoCalls guards against silent connections to the port between
// hosts that make a host close the connection of the owner while calls on it are in
// progress.
func TestSilentConnectionsCutOffNoCalls(t *testing.T) {
	is := is.New(t)
	const conns = 4
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limits := admit.LimitsFor(0, 0).ForPeers()
	limits.Conns = conns
	g := &gate.Gate{Limits: limits, Factor: gate.MessageFactor}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		ended <- (&helper.Server{Listener: g.Listen(l), Adviser: fakeAdviser{}, Dial: dialFake}).Run(ctx)
	}()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	const callTime = 3 * time.Second
	began, called := time.Now(), make(chan time.Duration)
	worker := relayedWorker(t, l.Addr().String(), "hangs")
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		_, _ = worker.Start(callCtx, hoist.StartRequest{})
		called <- time.Since(began)
	}()
	for range 3 * conns {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		time.Sleep(50 * time.Millisecond)
	}
	is.True(<-called >= callTime*9/10) // the call was not cut off
}
