package plans

import (
	"sync"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// lossWindow is the time within which calls to minLossyWorkers workers must
	// remain unanswered for the cell to count as lossy.
	lossWindow      = 2 * time.Second
	minLossyWorkers = 3
	// lossyTime is how long the cell counts as lossy after the last such loss.
	lossyTime = 4 * time.Second
)

// losses records calls to workers that got no answer. While calls to several workers
// are lost, the driver polls with shorter time-outs: it learns of no end on a worker
// until the poll whose answer was lost has timed out. The zero value is ready to
// use, and its methods may be called concurrently.
type losses struct {
	mu    sync.Mutex
	last  map[hoist.WorkerID]time.Time
	until time.Time
}

// record records a call without an answer.
func (l *losses) record(worker hoist.WorkerID, now time.Time) {
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
	if len(l.last) >= minLossyWorkers {
		l.until = now.Add(lossyTime)
	}
}

// isLossy reports whether calls to several workers have recently got no answer.
func (l *losses) isLossy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}
