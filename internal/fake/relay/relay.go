// Package relay is a stand-in for the network between two processes: it
// forwards TCP connections on loopback, and makes those that are open half-open
// for good on command, while new ones work.
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

// Fault is how a half-open connection behaves towards its senders.
type Fault int

const (
	// Discard takes all bytes and delivers none.
	Discard Fault = iota + 1
	// Stall takes no more bytes, so that writes block when the buffers are full.
	Stall
)

// Relay forwards connections to a target. Set the exported fields before Start.
type Relay struct {
	// Target is the address that connections are forwarded to.
	Target string

	mu       sync.Mutex
	listener net.Listener
	pairs    []*pair
	running  sync.WaitGroup
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn

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

// MakeHalfOpen makes the connections that are open now half-open for good. Neither
// end sees them close. It returns how many there were.
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

// Accepted returns how many connections were forwarded so far and not closed by
// Close.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far, ended: make(chan struct{})}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.running.Go(func() { p.copy(near, far) })
		r.running.Go(func() { p.copy(far, near) })
	}
}

func (p *pair) close() {
	close(p.ended)
	_ = p.near.Close()
	_ = p.far.Close()
}

func (p *pair) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// copy forwards bytes until an end closes. The end of a half-open connection is
// not passed on.
func (p *pair) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch p.current() {
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
