package helper_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/helper"
)

var (
	relayedRun = hoist.TaskRun{
		Task: hoist.TaskRef{StepRef: hoist.StepRef{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1}, Index: 17}, Attempt: 1<<40 + 3,
	}
	relayedReport = hoist.RunnerReport{
		Clock: hoist.WorkerClock(482113 * time.Millisecond), Incarnation: 1784500000000,
		Running: []hoist.RunStatus{{Run: relayedRun, Saved: "c", SpeedLimit: 41, Measurement: 87.5}},
		Ends:    []hoist.RunEnd{{No: 58, Run: relayedRun, Kind: hoist.EndDone, Saved: "s"}},
	}
)

// fakeRunner is a worker behind a relay. Its id tells what its methods do: those of
// "hangs" do not answer, those of "panics" panic, and those of another id return the
// error of that name, if there is one.
type fakeRunner struct {
	id hoist.WorkerID

	mu     sync.Mutex
	starts []hoist.StartRequest
	polls  []hoist.PollRequest
}

// fakeWorkers are the workers that dialFake has returned, by id.
var fakeWorkers sync.Map

func dialFake(e hoist.WorkerEntry) hoist.Runner {
	w, _ := fakeWorkers.LoadOrStore(e.Worker, &fakeRunner{id: e.Worker})
	return w.(*fakeRunner)
}

var runnerErrors = []error{
	hoist.ErrUnavailable, hoist.ErrOutcomeUnknown, hoist.ErrStaleTerm, hoist.ErrNotListening, hoist.ErrReplaced,
	hoist.ErrLeaseExpired, hoist.ErrTicket, hoist.ErrNoCapacity, hoist.ErrConflict, hoist.ErrInvalid,
}

func (w *fakeRunner) outcome(ctx context.Context) error {
	switch w.id {
	case "hangs":
		<-ctx.Done()
		return hoist.ErrOutcomeUnknown
	case "panics":
		panic("odd worker")
	}
	for _, err := range runnerErrors {
		if err.Error() == string(w.id) {
			return err
		}
	}
	return nil
}

func (w *fakeRunner) Start(ctx context.Context, r hoist.StartRequest) (hoist.WorkerClock, error) {
	w.mu.Lock()
	w.starts = append(w.starts, r)
	w.mu.Unlock()
	return relayedReport.Clock, w.outcome(ctx)
}

func (w *fakeRunner) Stop(ctx context.Context, _ hoist.TaskRun, _ hoist.FencingToken) error {
	return w.outcome(ctx)
}

func (w *fakeRunner) Poll(ctx context.Context, r hoist.PollRequest) (hoist.RunnerReport, error) {
	w.mu.Lock()
	w.polls = append(w.polls, r)
	w.mu.Unlock()
	return relayedReport, w.outcome(ctx)
}

func (w *fakeRunner) Throttle(ctx context.Context, _ hoist.TaskRun, _ hoist.FencingToken, _ hoist.Percent) error {
	return w.outcome(ctx)
}

func (*fakeRunner) Close() {}

// relayedWorker returns a client of a worker through a relay at addr.
func relayedWorker(t *testing.T, addr string, id hoist.WorkerID) hoist.Runner {
	r := &helper.Relay{Addr: addr}
	t.Cleanup(r.Close)
	return r.Runner(hoist.WorkerEntry{Worker: id, Addr: "10.0.0.1:80"})
}

// withTimeout returns a context that ends after d.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestRelayedCallsAreUnchanged guards against calls through a relay whose values,
// answers or errors change on the way: a refused start must not count as one with an
// unknown outcome, nor the reverse.
func TestRelayedCallsAreUnchanged(t *testing.T) {
	addr, _ := startServer(t, "127.0.0.1:0")
	t.Run("start", func(t *testing.T) {
		is := is.New(t)
		request := hoist.StartRequest{Run: relayedRun, Token: 7, Payload: "p\x00\u2028", Lease: hoist.WorkerClock(486 * time.Second), Saved: "s", Ticket: "t"}
		at, err := relayedWorker(t, addr, "starts").Start(withTimeout(t, time.Second), request)
		is.NoErr(err)
		is.Equal(at, relayedReport.Clock)
		is.Equal(dialFake(hoist.WorkerEntry{Worker: "starts"}).(*fakeRunner).starts, []hoist.StartRequest{request})
	})
	t.Run("poll", func(t *testing.T) {
		is := is.New(t)
		request := hoist.PollRequest{Token: 7, Acked: 57, Incarnation: 99, EnablesAcks: true, Lease: hoist.WorkerClock(time.Minute), Wait: time.Second}
		report, err := relayedWorker(t, addr, "polls").Poll(withTimeout(t, time.Second), request)
		is.NoErr(err)
		is.Equal(report, relayedReport)
		is.Equal(dialFake(hoist.WorkerEntry{Worker: "polls"}).(*fakeRunner).polls, []hoist.PollRequest{request})
	})
	for _, want := range runnerErrors {
		t.Run(want.Error(), func(t *testing.T) {
			w := relayedWorker(t, addr, hoist.WorkerID(want.Error()))
			_, err := w.Start(withTimeout(t, time.Second), hoist.StartRequest{})
			is.New(t).True(errors.Is(err, want))
			is.New(t).True(errors.Is(w.Stop(withTimeout(t, time.Second), relayedRun, 1), want))
		})
	}
	t.Run("panic in the relay", func(t *testing.T) {
		_, err := relayedWorker(t, addr, "panics").Start(withTimeout(t, time.Second), hoist.StartRequest{})
		is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
	})
	t.Run("many calls at the same time", func(t *testing.T) {
		r := &helper.Relay{Addr: addr}
		defer r.Close()
		var wg sync.WaitGroup
		for i := range 500 {
			w := r.Runner(hoist.WorkerEntry{Worker: hoist.WorkerID(fmt.Sprint("w", i%50)), Addr: "10.0.0.1:80"})
			wg.Go(func() {
				if _, err := w.Poll(withTimeout(t, 5*time.Second), hoist.PollRequest{}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	})
}

// TestRelayFailures guards against a relay that is lost and blocks its owner, or whose
// calls count as not passed on although they may be.
func TestRelayFailures(t *testing.T) {
	t.Run("no process listens", func(t *testing.T) {
		w := relayedWorker(t, "127.0.0.1:1", "w")
		_, err := w.Start(withTimeout(t, time.Second), hoist.StartRequest{})
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
		is.New(t).True(!errors.Is(err, hoist.ErrNotListening)) // it is the relay that does not listen
		is.New(t).True(errors.Is((&helper.Relay{Addr: "127.0.0.1:1"}).Ping(withTimeout(t, time.Second)), hoist.ErrUnavailable))
	})
	t.Run("worker does not answer", func(t *testing.T) {
		addr, _ := startServer(t, "127.0.0.1:0")
		_, err := relayedWorker(t, addr, "hangs").Start(withTimeout(t, 50*time.Millisecond), hoist.StartRequest{})
		is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
	})
	t.Run("relay stops during a call", func(t *testing.T) {
		addr, stop := startServer(t, "127.0.0.1:0")
		time.AfterFunc(50*time.Millisecond, stop)
		_, err := relayedWorker(t, addr, "hangs").Start(withTimeout(t, 5*time.Second), hoist.StartRequest{})
		is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
	})
	t.Run("relay does not read", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer l.Close()
		_, err = relayedWorker(t, l.Addr().String(), "w").Start(withTimeout(t, 50*time.Millisecond), hoist.StartRequest{})
		is.New(t).True(errors.Is(err, hoist.ErrOutcomeUnknown))
	})
	t.Run("peer sends bytes that are no message", func(t *testing.T) {
		is := is.New(t)
		addr, _ := startServer(t, "127.0.0.1:0")
		for _, text := range []string{"\xff\xfe", "[[[[", "R\xff\xff", "R\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "R\xa1ecalls\x81\xa1bid\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"} {
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			_, err = conn.Write([]byte(text + "\n"))
			is.NoErr(err)
			is.NoErr(conn.Close())
		}
		_, err := relayedWorker(t, addr, "w").Start(withTimeout(t, time.Second), hoist.StartRequest{})
		is.NoErr(err) // the relay still works
	})
}
