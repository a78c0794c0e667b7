package gate_test

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/decide/admit"
	"fuchsiahoist.example/hoist/internal/fake/pipes"
)

// accept accepts a connection of a new client.
func accept(t *testing.T, p *pipes.Listener, l net.Listener) (client net.Conn, conn *gate.Conn) {
	t.Helper()
	go func() { client = p.Dial() }()
	c, err := l.Accept()
	is.New(t).NoErr(err)
	synctest.Wait()
	return client, gate.Of(c)
}

// isClosed reports whether the other end of a client's connection is closed.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now())
	_, err := client.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestAcceptGoesOn guards against a host that serves nobody any more, or uses its
// processor up, after an error of Accept.
func TestAcceptGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var errs []error
		for range 20 {
			errs = append(errs, syscall.EMFILE)
		}
		p := pipes.New(append(errs, syscall.ECONNABORTED)...)
		l := (&gate.Gate{Limits: admit.Limits{Conns: 2, Memory: 100}}).Listen(p)
		began := time.Now()
		accept(t, p, l)
		is.Equal(p.Calls(), 22)
		is.True(time.Since(began) > 10*time.Second) // it waits longer after each error
		is.NoErr(l.Close())
		_, err := l.Accept()
		is.True(errors.Is(err, net.ErrClosed))
	})
}

// TestConnectionsAreBounded guards against more connections than allowed, against an idle
// one that outlives one in use, and against a listener that cannot be closed while a
// connection waits.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var causes []gate.Cause
		g := &gate.Gate{Limits: admit.Limits{Conns: 2, Memory: 100}, Count: func(_ string, c gate.Cause) { causes = append(causes, c) }}
		p := pipes.New()
		l := g.Listen(p)
		busyClient, busy := accept(t, p, l)
		idleClient, idle := accept(t, p, l)
		is.NoErr(busy.SetPhase(admit.Working))
		is.NoErr(idle.SetPhase(admit.Idle))
		go func() {
			// As a server does: it closes a connection whose read fails.
			_, _ = idle.Read(make([]byte, 1))
			_ = idle.Close()
		}()
		_, third := accept(t, p, l)
		is.True(isClosed(idleClient))
		is.True(!isClosed(busyClient))
		is.Equal(causes, []gate.Cause{gate.CauseConns})
		conns, _ := g.Usage()
		is.Equal(conns, 2)

		is.NoErr(third.SetPhase(admit.Working))
		go func() { _ = p.Dial() }()
		waiting := make(chan error)
		go func() {
			_, err := l.Accept()
			waiting <- err
		}()
		time.Sleep(time.Minute)
		is.True(!isClosed(busyClient)) // requests in progress are not cut off
		is.NoErr(l.Close())
		is.True(errors.Is(<-waiting, net.ErrClosed))
	})
}

// TestHeadersNeedMemory guards against headers that take more memory than allowed, and
// against memory that is not released.
func TestHeadersNeedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &gate.Gate{Limits: admit.Limits{Conns: 9, Memory: 100}, Factor: 10}
		p := pipes.New()
		l := g.Listen(p)
		read := func(c *gate.Conn, client net.Conn, n int) error {
			go func() { _, _ = client.Write(make([]byte, n)) }()
			_, err := c.Read(make([]byte, n))
			return err
		}
		client, c := accept(t, p, l)
		is.NoErr(read(c, client, 8))
		_, held := g.Usage()
		is.Equal(held, admit.Bytes(80))
		is.NoErr(c.SetPhase(admit.Idle))
		_, held = g.Usage()
		is.Equal(held, admit.Bytes(0))
		is.NoErr(read(c, client, 8)) // the next request of the connection
		time.Sleep(time.Second)
		otherClient, other := accept(t, p, l)
		is.NoErr(read(other, otherClient, 6)) // the older one is closed for it
		is.True(errors.Is(c.SetPhase(admit.Working), gate.ErrRefused))
		is.True(errors.Is(read(other, otherClient, 30), gate.ErrRefused)) // it is larger than all memory
		is.NoErr(c.Close())
		is.NoErr(other.Close())
		conns, held := g.Usage()
		is.Equal(conns, 0)
		is.Equal(held, admit.Bytes(0))
	})
}

// logLines collects the lines of a log. A timer of the gate writes some of them.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer for a handler, which writes a line at a time.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

func (l *logLines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// refusals is a port whose refused clients are counted and logged.
type refusals struct {
	*testing.T
	pipes    *pipes.Listener
	listener net.Listener
	log      logLines
	counted  int
}

// newRefusals returns a port that allows 100 bytes of memory.
func newRefusals(t *testing.T) *refusals {
	r := &refusals{T: t, pipes: pipes.New()}
	g := &gate.Gate{
		Limits: admit.Limits{Conns: 9, Memory: 100}, Log: slog.New(slog.NewTextHandler(&r.log, nil)),
		Count: func(string, gate.Cause) { r.counted++ },
	}
	r.listener = g.Listen(r.pipes)
	return r
}

// hold requests memory for a new client and returns the answer.
func (r *refusals) hold(n admit.Bytes) error {
	r.Helper()
	_, c := accept(r.T, r.pipes, r.listener)
	err := c.Hold(n)
	is.New(r.T).NoErr(c.Close())
	return err
}

// serve serves a client that needs little memory.
func (r *refusals) serve() {
	r.Helper()
	is.New(r.T).NoErr(r.hold(1))
}

// refuse refuses a client that needs more than all memory.
func (r *refusals) refuse() {
	r.Helper()
	is.New(r.T).True(errors.Is(r.hold(101), gate.ErrRefused))
}

// memoryRefusals matches a log line and its number of clients refused for memory.
var memoryRefusals = regexp.MustCompile(` level=WARN .* event=420 .* memory=(\d+)`)

// wantLogged checks the number of refused clients in each log line.
func (r *refusals) wantLogged(want ...int) {
	r.Helper()
	synctest.Wait()
	var got []int
	for _, line := range r.log.all() {
		m := memoryRefusals.FindStringSubmatch(line)
		is.New(r.T).True(m != nil)
		n, err := strconv.Atoi(m[1])
		is.New(r.T).NoErr(err)
		got = append(got, n)
	}
	is.New(r.T).Equal(got, want)
}

// wantCounted checks the number of refused clients in the metric.
func (r *refusals) wantCounted(want int) {
	r.Helper()
	is.New(r.T).Equal(r.counted, want)
}

// TestRefusalsAreRecorded guards against log lines without a refused client, and against
// refusals that are missing from the log.
func TestRefusalsAreRecorded(t *testing.T) {
	for name, test := range map[string]func(r *refusals){
		"nobody is refused": func(r *refusals) {
			for range 3 {
				r.serve()
				time.Sleep(11 * time.Second)
			}
			r.wantLogged()
			r.wantCounted(0)
		},
		"a refused client is logged at once": func(r *refusals) {
			r.serve()
			r.refuse()
			r.wantLogged(1)
			r.wantCounted(1)
		},
		"served clients add no line": func(r *refusals) {
			r.refuse()
			time.Sleep(11 * time.Second)
			r.serve()
			r.wantLogged(1)
			r.wantCounted(1)
		},
		"refusals soon after a line are in the next one": func(r *refusals) {
			r.refuse()
			time.Sleep(time.Second)
			r.refuse()
			r.refuse()
			r.wantLogged(1)
			time.Sleep(10 * time.Second)
			r.refuse()
			r.wantLogged(1, 2)
			time.Sleep(9 * time.Second)
			r.wantLogged(1, 2, 1)
			r.wantCounted(4)
		},
		"refusals that no other follows are logged 10 s after a line": func(r *refusals) {
			r.refuse()
			time.Sleep(time.Second)
			r.refuse()
			r.refuse()
			time.Sleep(9*time.Second - time.Nanosecond)
			r.wantLogged(1)
			time.Sleep(time.Nanosecond)
			r.wantLogged(1, 2)
			time.Sleep(time.Minute)
			r.wantLogged(1, 2)
			r.refuse()
			r.wantLogged(1, 2, 1)
			r.wantCounted(4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newRefusals(t)) })
		})
	}
}
