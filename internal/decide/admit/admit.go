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
	// clientShare divides the other descriptors: clients get a third of them. The owner of
	// the cell needs about 3.3 for each of its workers, besides those for the store, the
	// relays and its peers.
	clientShare = 3
	// memoryShare divides the memory of the machine: requests get an eighth of it, and
	// connections another. Both together leave more than half of the soft memory limit of
	// the process for the work of the host itself.
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
	// peerShare divides the connections of clients: the port between hosts gets a quarter as
	// many in addition, up to maxPeerConns, and as much memory as clients. Of the hosts of a
	// cell, the owner and up to four standbys connect.
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
	isVictim     bool
}

// Clients is the state of all connections of the clients. K identifies a connection.
type Clients[K comparable] struct {
	limits Limits
	conns  map[K]*conn
	held   Bytes
	// victims is the number of victims that are not closed yet, and victimsHeld the memory
	// that they hold.
	victims     int
	victimsHeld Bytes
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
	if c.victims > 0 {
		return victim, Wait
	}
	victim, ok := c.chooseVictim(now)
	if !ok {
		return victim, Wait
	}
	c.markVictim(victim)
	return victim, Evict
}

// chooseVictim returns the connection that was idle for the longest time, or else the one
// whose header, body or response takes the longest. It reports false if none may be closed.
func (c *Clients[K]) chooseVictim(now time.Time) (K, bool) {
	var victim K
	var best time.Duration
	bestIsIdle, found := false, false
	for k, o := range c.conns {
		age, isIdle := now.Sub(o.since), o.phase == Idle
		switch {
		case o.isVictim || o.phase == Working || !isIdle && age < stuckAfter || isIdle && age < c.limits.MinIdle:
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
	if o == nil || o.isVictim {
		return nil, false
	}
	// The memory of victims is free only when they have ended.
	if c.held+n > c.limits.Memory+c.limits.Memory/2 {
		return nil, false
	}
	for c.held-c.victimsHeld+n > c.limits.Memory {
		victim, found := c.costliest(k, n, now)
		if !found || victim == k {
			return victims, false
		}
		c.markVictim(victim)
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
	if o == nil || o.isVictim {
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
		// Nor does such a request take memory from others that hold less.
		isProtected := o.phase == Working || o.phase == Answering && now.Sub(o.since) < stuckAfter && key != k
		if o.isVictim || held == 0 || isProtected {
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
	if o == nil || o.isVictim {
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
	if o := c.conns[k]; o != nil && !o.isVictim {
		c.markVictim(k)
	}
}

// markVictim makes a connection a victim, which the caller closes.
func (c *Clients[K]) markVictim(k K) {
	o := c.conns[k]
	o.isVictim = true
	c.victims++
	c.victimsHeld += o.held
}

// Close records that a connection was closed.
func (c *Clients[K]) Close(k K) {
	o := c.conns[k]
	if o == nil {
		return
	}
	delete(c.conns, k)
	c.held -= o.held
	if o.isVictim {
		c.victims--
		c.victimsHeld -= o.held
	}
}
