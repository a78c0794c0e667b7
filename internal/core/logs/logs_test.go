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

// stuck is a reader that does not read until it is released.
type stuck struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// TestWriter guards against authors of log lines that are held up, and against
// lines that vanish uncounted.
func TestWriter(t *testing.T) {
	t.Run("all lines of a fast reader", func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
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
	t.Run("a reader that does not read", func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
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
