// Package admit decides which of the clients of a host are refused when all of them
// together need more connections or memory than the host has for them.
//
// # Usage
//
//	c := admit.New[*Conn](admit.LimitsFor(memory, descriptors))
//	victim, verdict := c.Open(conn, now)      // a new connection
//	victims, ok := c.Hold(conn, n, now)       // n more bytes of memory for its request
//	c.SetPhase(conn, admit.Working, now)
//	c.Close(conn)
//
// The caller closes the connections that are returned as victims. They count until Close
// is called for them. The methods must not be called concurrently.
package admit

import "time"

// Bytes is an amount of memory.
type Bytes int64

// Limits are what the clients of a host may use together.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// Memory is the memory for headers and bodies of requests in progress.
	Memory Bytes
	// MinIdle is how long a connection must be idle before it may be closed for a new one.
	MinIdle time.Duration
}

const (
	// reservedFiles is the number of descriptors that the platform sets aside for files.
	reservedFiles = 200
	// clientShare is the part of the other descriptors that clients get. The owner of the
	// cell needs about 3.3 for each of its workers, besides those for the store, the
	// relays and its peers.
	clientShare = 3
	// memoryShare is the part of the memory of the machine for requests, and again for
	// connections. Both together leave more than half of the soft memory limit of the
	// process for the work of the host itself.
	memoryShare = 8
	// connMemory is what an open connection takes: goroutines and buffers of net/http, and
	// the request being handled.
	connMemory = 20 << 10
	// minConns and minMemory keep a host usable whose settings leave next to nothing.
	minConns  = 32
	minMemory = 2 << 20
	// defaultConns and defaultMemory apply without limits in the settings.
	defaultConns  = 4096
	defaultMemory = 64 << 20
)

const (
	// peerShare is the part of the connections of clients that the port between hosts gets
	// in addition, and as much memory. Of the hosts of a cell, the owner and up to four standbys connect.
	peerShare    = 4
	maxPeerConns = 256
	// minPeerMemory lets a message with a few hundred starts of the largest payload through.
	minPeerMemory = 8 << 20
	// minPeerIdle is longer than a call through a relay takes. Calls are in progress on a
	// connection between hosts while no message arrives.
	minPeerIdle = 6 * time.Second
	// checkConns and checkMemory are for ports with a single regular client: the check of
	// the balancer, and the collection of metrics.
	checkConns  = 16
	checkMemory = 1 << 20
)

// ForPeers returns the limits of the port between hosts.
func (l Limits) ForPeers() Limits {
	return Limits{
		Conns: min(maxPeerConns, max(minConns, l.Conns/peerShare)), Memory: max(minPeerMemory, l.Memory), MinIdle: minPeerIdle,
	}
}

// ForChecks returns the limits of a port with a single regular client.
func ForChecks() Limits {
	return Limits{Conns: checkConns, Memory: checkMemory}
}

// LimitsFor returns the limits for a machine with the given memory and number of
// descriptors. 0 means that one is not limited.
func LimitsFor(memory Bytes, descriptors int) Limits {
	l := Limits{Conns: defaultConns, Memory: defaultMemory}
	if memory > 0 {
		l.Memory = max(minMemory, memory/memoryShare)
		l.Conns = min(l.Conns, int(l.Memory/connMemory))
	}
	if descriptors > 0 {
		l.Conns = min(l.Conns, (descriptors-reservedFiles)/clientShare)
	}
	l.Conns = max(minConns, l.Conns)
	return l
}

// Phase is what a connection is used for.
type Phase int

// The phases of a connection.
const (
	// Header: a header is expected or arrives.
	Header Phase = iota
	// Idle: kept open between two requests.
	Idle
	// Reading: a body arrives.
	Reading
	// Working: the request is handled. Such a connection is never closed, as the request
	// may have an effect.
	Working
	// Answering: the response is sent.
	Answering
)

// stuckAfter is how long a request may take to arrive, or its response to be read, before
// its connection may be closed for a new one.
const stuckAfter = 500 * time.Millisecond

// conn is the state of a connection.
type conn struct {
	phase Phase
	// since is when the phase began, and began when the request did.
	since, began time.Time
	held         Bytes
	isLeaving    bool
}

// Clients is the state of all connections of the clients. K identifies a connection.
type Clients[K comparable] struct {
	limits Limits
	conns  map[K]*conn
	held   Bytes
	// leaving and leavingHeld count the victims that are not closed yet.
	leaving     int
	leavingHeld Bytes
}

// New returns the state without a connection.
func New[K comparable](l Limits) *Clients[K] {
	return &Clients[K]{limits: l, conns: make(map[K]*conn)}
}

// Usage returns the number of open connections and the memory held for their requests.
func (c *Clients[K]) Usage() (conns int, held Bytes) {
	return len(c.conns), c.held
}

// Verdict is the decision about a new connection.
type Verdict int

// The verdicts.
const (
	// Admitted: the connection is open.
	Admitted Verdict = iota
	// Wait: no connection may be closed now, or those to be closed are not closed yet.
	Wait
	// Evict: as Wait, and the victim is to be closed.
	Evict
)

// Open decides about a new connection. Unless it is admitted, the caller asks again when
// a connection was closed, or after a moment.
func (c *Clients[K]) Open(k K, now time.Time) (victim K, v Verdict) {
	if len(c.conns) < c.limits.Conns {
		c.conns[k] = &conn{phase: Header, since: now, began: now}
		return victim, Admitted
	}
	if c.leaving > 0 {
		return victim, Wait
	}
	victim, ok := c.longest(now)
	if !ok {
		return victim, Wait
	}
	c.leave(victim)
	return victim, Evict
}

// longest returns the connection that was idle for the longest time, or else the one
// whose client keeps it waiting for the longest time.
func (c *Clients[K]) longest(now time.Time) (K, bool) {
	var victim K
	var best time.Duration
	bestIsIdle, found := false, false
	for k, o := range c.conns {
		age, isIdle := now.Sub(o.since), o.phase == Idle
		switch {
		case o.isLeaving || o.phase == Working || !isIdle && age < stuckAfter || isIdle && age < c.limits.MinIdle:
			continue
		case !found || isIdle && !bestIsIdle || isIdle == bestIsIdle && age > best:
			victim, best, bestIsIdle, found = k, age, isIdle, true
		}
	}
	return victim, found
}

// Hold reserves memory for the request of a connection. If the memory of all requests is
// exhausted, those that have held most for the longest time are the victims. It returns
// false if the request itself is refused.
func (c *Clients[K]) Hold(k K, n Bytes, now time.Time) (victims []K, ok bool) {
	o := c.conns[k]
	if o == nil || o.isLeaving {
		return nil, false
	}
	// The memory of victims is free only when they have ended.
	if c.held+n > c.limits.Memory+c.limits.Memory/2 {
		return nil, false
	}
	for c.held-c.leavingHeld+n > c.limits.Memory {
		victim, found := c.costliest(k, n, now)
		if !found || victim == k {
			return victims, false
		}
		c.leave(victim)
		victims = append(victims, victim)
	}
	o.held += n
	c.held += n
	return victims, true
}

// Shrink releases what the request of a connection holds beyond n bytes. It returns how
// many bytes it holds less than that, which the caller may reserve by Hold.
func (c *Clients[K]) Shrink(k K, n Bytes) (missing Bytes) {
	o := c.conns[k]
	if o == nil || o.isLeaving {
		return 0
	}
	if o.held < n {
		return n - o.held
	}
	c.held -= o.held - n
	o.held = n
	return 0
}

// costliest returns the request that arrives, or whose response is stuck, and that has the
// largest product of its memory and its age. Request k counts with n more bytes.
func (c *Clients[K]) costliest(k K, n Bytes, now time.Time) (K, bool) {
	var victim K
	best := -1.0
	for key, o := range c.conns {
		held := o.held
		if key == k {
			held += n
		}
		// A response that was just begun is not cut off: the request may have had an effect.
		if o.isLeaving || held == 0 || o.phase == Working || o.phase == Answering && now.Sub(o.since) < stuckAfter {
			continue
		}
		if cost := float64(held) * now.Sub(o.began).Seconds(); cost > best {
			victim, best = key, cost
		}
	}
	return victim, best >= 0
}

// SetPhase records that a connection is in a phase from now on. It returns false if the
// connection is a victim, whose request must not be handled.
func (c *Clients[K]) SetPhase(k K, p Phase, now time.Time) bool {
	o := c.conns[k]
	if o == nil || o.isLeaving {
		return false
	}
	if o.phase == Idle {
		o.began = now
	}
	o.phase, o.since = p, now
	if p == Idle {
		c.held -= o.held
		o.held = 0
	}
	return true
}

// PhaseOf returns the phase of a connection, and false if it is not open.
func (c *Clients[K]) PhaseOf(k K) (Phase, bool) {
	o := c.conns[k]
	if o == nil {
		return 0, false
	}
	return o.phase, true
}

// Refuse makes a connection a victim: its request is not handled any more.
func (c *Clients[K]) Refuse(k K) {
	if o := c.conns[k]; o != nil && !o.isLeaving {
		c.leave(k)
	}
}

// leave makes a connection a victim.
func (c *Clients[K]) leave(k K) {
	o := c.conns[k]
	o.isLeaving = true
	c.leaving++
	c.leavingHeld += o.held
}

// Close records that a connection was closed.
func (c *Clients[K]) Close(k K) {
	o := c.conns[k]
	if o == nil {
		return
	}
	delete(c.conns, k)
	c.held -= o.held
	if o.isLeaving {
		c.leaving--
		c.leavingHeld -= o.held
	}
}
