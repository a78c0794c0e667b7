package helper

import (
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// batchInterval is the shortest time between two messages of an outbox. What is
	// added in between is sent together: a relay passes on thousands of calls a second,
	// and a message for each would cost more than the calls themselves.
	batchInterval = 20 * time.Millisecond
	// maxQueued bounds the items that wait to be sent, for a peer that does not read.
	maxQueued = 20_000
)

// outbox sends items to a peer, several in one message. Its methods may be called
// concurrently.
type outbox[T any] struct {
	// send sends one message. It may block while the peer does not read.
	send func(items []T)

	mu    sync.Mutex
	items []T
	// isScheduled is set while a goroutine sends, or a timer will start one.
	isScheduled bool
	lastSent    time.Time
}

// add adds an item. It returns hoist.ErrUnavailable if too many wait to be sent.
func (o *outbox[T]) add(item T) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.items) >= maxQueued {
		return hoist.ErrUnavailable
	}
	o.items = append(o.items, item)
	if !o.isScheduled {
		o.isScheduled = true
		time.AfterFunc(max(0, batchInterval-time.Since(o.lastSent)), o.flush)
	}
	return nil
}

// flush sends the items that wait, until none is left.
func (o *outbox[T]) flush() {
	o.mu.Lock()
	items := o.items
	o.items = nil
	o.lastSent = time.Now()
	o.mu.Unlock()
	o.send(items)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isScheduled = len(o.items) > 0
	if o.isScheduled {
		time.AfterFunc(batchInterval, o.flush)
	}
}
