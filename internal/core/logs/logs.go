// Package logs provides a log writer that never blocks its callers. Lines are
// collected in a bounded buffer that one goroutine writes out; lines for which the
// buffer has no room are dropped and counted.
//
// # Usage
//
//	w := logs.New(os.Stdout)
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// maxBufferedBytes bounds the total size of the lines that wait to be written.
	maxBufferedBytes = 512 << 10
	// writeInterval is the minimum time between two writes; lines that arrive in
	// between are written together.
	writeInterval = 50 * time.Millisecond
	// closeTimeout bounds the wait in Close for the last write, which blocks if the
	// output is not read.
	closeTimeout = 200 * time.Millisecond
)

// Writer is a buffered writer of whole lines. Its methods may be called
// concurrently.
type Writer struct {
	out        io.Writer
	mu         sync.Mutex
	buf        []byte
	unreported int
	dropped    uint64
	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
}

// New returns a writer that writes its lines to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the buffer, or drops it if the buffer is full. It never
// blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBufferedBytes {
		w.unreported++
		w.dropped++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since New.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the buffered lines and stops the writer. If the output blocks, Close
// returns after closeTimeout.
func (w *Writer) Close() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.quit:
			w.flush()
			return
		case <-w.wake:
		}
		w.flush()
		select {
		case <-w.quit:
		case <-time.After(writeInterval):
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, unreported := w.buf, w.unreported
	w.buf, w.unreported = nil, 0
	w.mu.Unlock()
	if unreported > 0 {
		e := events.LinesDropped
		lines = fmt.Appendf(lines, "{\"level\":%q,\"msg\":%q,\"event\":%d,\"lines\":%d}\n", e.Level, e.Message, e.Number, unreported)
	}
	if len(lines) > 0 {
		// An error is ignored, as there is no other place to report it.
		_, _ = w.out.Write(lines)
	}
}
