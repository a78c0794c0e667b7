// Package logs writes log lines without ever blocking their author. Lines are
// collected in a bounded buffer that one goroutine writes out; those that find
// it full are dropped and counted.
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
	// maxBuffered bounds the lines that wait for being written, in bytes.
	maxBuffered = 512 << 10
	// writeGap is the time between two writes; lines in between go together.
	writeGap = 50 * time.Millisecond
	// closeTimeout bounds the last write to a reader that does not read.
	closeTimeout = 200 * time.Millisecond
)

// Writer is a buffered writer of whole lines. Its methods may be called
// concurrently.
type Writer struct {
	out  io.Writer
	mu   sync.Mutex
	buf  []byte
	lost int
	all  uint64
	wake chan struct{}
	quit chan struct{}
	done chan struct{}
}

// New returns a writer that passes lines on to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBuffered {
		w.lost++
		w.all++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all
}

// Close writes what is buffered. A reader that does not read is not waited for.
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
		case <-time.After(writeGap):
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, lost := w.buf, w.lost
	w.buf, w.lost = nil, 0
	w.mu.Unlock()
	if lost > 0 {
		e := events.LinesDropped
		lines = fmt.Appendf(lines, "{\"level\":%q,\"msg\":%q,\"event\":%d,\"lines\":%d}\n", e.Level, e.Message, e.Number, lost)
	}
	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = w.out.Write(lines)
	}
}
