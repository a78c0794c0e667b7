package helper_test

import (
	"context"
	"net"
	"testing"
	"time"

	"fuchsiahoist.example/hoist/internal/peer/helper"
)

// FuzzServer guards against bytes of another host that end the process, and against a
// server that does not serve others afterwards.
func FuzzServer(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"advise","params":{"job":"p","workers":[1]}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"pulse"}`))
	f.Add([]byte("R\xa1ecalls\x81\xa1bid\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"))
	f.Add([]byte("R\xa1ecalls\x81\xa3bid\x01fworkerawdpoll\xa0"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go func() { _ = (&helper.Server{Listener: l, Adviser: fakeAdviser{}, Dial: dialFake}).Run(ctx) }()
	r := &helper.Relay{Addr: l.Addr().String()}
	f.Cleanup(r.Close)
	f.Fuzz(func(t *testing.T, message []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(message)
		// Without lingering, the port is free for the next message.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		if err := r.Ping(ctx); err != nil {
			t.Fatal(err)
		}
	})
}
