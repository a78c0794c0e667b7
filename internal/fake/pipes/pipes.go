// Package pipes provides a listener that opens no sockets, so that servers can run in a
// testing/synctest bubble.
//
// # Usage
//
//	l := pipes.New()
//	go server.Serve(l)
//	conn := l.Dial()
package pipes

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are made by Dial.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	errs  []error
	calls int
}

// New returns a listener. Its first calls of Accept return errs.
func New(errs ...error) *Listener {
	return &Listener{errs: errs, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial waits until a connection is accepted and returns the client's end of it.
func (l *Listener) Dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
	case <-l.closed:
		_ = server.Close()
	}
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.nextError(); err != nil {
		return nil, err
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *Listener) nextError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if len(l.errs) == 0 {
		return nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return err
}

// Calls returns the number of calls of Accept.
func (l *Listener) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{} }
