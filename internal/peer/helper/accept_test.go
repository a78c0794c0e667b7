package helper_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/helper"
)

// exhaustedListener refuses the first connections for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	refusals atomic.Int32
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.refusals.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerSurvivesAcceptErrors guards against a host that serves no other host any more,
// neither health checks nor relays, after it once lacked descriptors.
func TestServerSurvivesAcceptErrors(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &exhaustedListener{Listener: inner}
	l.refusals.Store(2)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- (&helper.Server{Listener: l, Adviser: fakeAdviser{}, Dial: dialFake}).Run(ctx) }()
	c := &helper.Client{Addr: inner.Addr().String()}
	defer c.Close()
	callCtx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	_, err = c.Advise(callCtx, knownStep, []hoist.WorkerID{"w"})
	is.NoErr(err)
	cancel()
	is.NoErr(<-ended)
}
