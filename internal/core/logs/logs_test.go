package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/logs"
)

// blockingWriter is an output that blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// TestWriterDoesNotBlock guards against callers that block on the log output, and
// against lines that are dropped without being counted.
func TestWriterDoesNotBlock(t *testing.T) {
	t.Run("writes every line to a fast output", func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		close(out.release)
		w := logs.New(out)
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			is.New(t).NoErr(err)
		}
		w.Close()
		is.New(t).Equal(strings.Count(out.String(), "line\n"), 100)
		is.New(t).Equal(w.Dropped(), uint64(0))
	})
	t.Run("drops and counts lines while the output blocks", func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		w := logs.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3000 {
			_, err := w.Write(line)
			is.New(t).NoErr(err)
		}
		is.New(t).True(w.Dropped() > 1000)
		close(out.release)
		for !strings.Contains(out.String(), "log lines dropped") {
			_, err := w.Write([]byte("more\n"))
			is.New(t).NoErr(err)
			time.Sleep(time.Millisecond)
		}
		w.Close()
	})
}
