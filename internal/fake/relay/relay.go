// Package relay is a stand-in for the network between two processes. It forwards
// TCP connections on loopback and can make all open connections half-open: they
// stay so until they are closed, while new connections work.
//
// # Usage
//
//	r := &relay.Relay{Target: "127.0.0.1:7000"}
//	addr, err := r.Start()
//	defer r.Close()
//	r.MakeHalfOpen(relay.Discard)
package relay

import (
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// Fault is how a half-open connection treats the bytes that either end sends.
type Fault int

const (
	// Discard reads all bytes and forwards none.
	Discard Fault = iota + 1
	// Stall reads no more bytes, so that writes block once the buffers are full.
	Stall
)

// Relay forwards connections to a target. Set the exported fields before Start.
type Relay struct {
	// Target is the TCP address to which connections are forwarded.
	Target string

	mu       sync.Mutex
	listener net.Listener
	pairs    []*connPair
	running  sync.WaitGroup
}

// connPair is one forwarded connection.
type connPair struct {
	client, target net.Conn

	mu    sync.Mutex
	fault Fault
	ended chan struct{}
}

// Start listens on a free loopback port and returns its address.
func (r *Relay) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Prependf(err, "relay to %s", r.Target)
	}
	r.listener = l
	r.running.Go(r.accept)
	return l.Addr().String(), nil
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	pairs := r.pairs
	r.pairs = nil
	r.mu.Unlock()
	for _, p := range pairs {
		p.close()
	}
	r.running.Wait()
}

// MakeHalfOpen permanently makes all connections that were accepted so far half-open:
// neither end sees them close. It returns how many there are.
func (r *Relay) MakeHalfOpen(f Fault) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.fault = f
		p.mu.Unlock()
	}
	return len(r.pairs)
}

// Accepted returns how many connections were forwarded since Start, 0 after Close.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &connPair{client: client, target: target, ended: make(chan struct{})}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.running.Go(func() { p.forward(client, target) })
		r.running.Go(func() { p.forward(target, client) })
	}
}

func (p *connPair) close() {
	close(p.ended)
	_ = p.client.Close()
	_ = p.target.Close()
}

func (p *connPair) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// forward copies bytes until one end closes, and then closes both ends. Of a
// half-open connection it closes neither.
func (p *connPair) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch p.currentFault() {
		case Stall:
			<-p.ended
			return
		case Discard:
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
