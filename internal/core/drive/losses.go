package drive

import (
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// lossWindow is the time within which the calls on lossyWorkers workers must
	// stay without an answer for the cell to count as lossy, and lossHold how long
	// it then does.
	lossWindow   = 2 * time.Second
	lossyWorkers = 3
	lossHold     = 4 * time.Second
)

// losses notes calls on workers that got no answer. While many do, it is worth
// looking more often: the owner hears of no end on a worker until it has given
// up a look whose answer does not come. The zero value is ready, and its methods
// may be called concurrently.
type losses struct {
	mu    sync.Mutex
	last  map[hoist.WorkerID]time.Time
	until time.Time
}

// note notes a call without an answer.
func (l *losses) note(worker hoist.WorkerID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = make(map[hoist.WorkerID]time.Time)
	}
	l.last[worker] = now
	for id, at := range l.last {
		if now.Sub(at) > lossWindow {
			delete(l.last, id)
		}
	}
	if len(l.last) >= lossyWorkers {
		l.until = now.Add(lossHold)
	}
}

// isMany reports whether many calls have got no answer lately.
func (l *losses) isMany(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}
