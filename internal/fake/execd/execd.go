// Package execd is a stand-in for an executor: it serves the executor contract
// over HTTP on loopback, answers each request after a service time, and records
// what it ran so that tests can check the invariants.
//
// # Usage
//
//	e := &execd.Executor{ID: "e1", Slots: 8, ServiceTime: func(hoist.RequestKey) time.Duration {
//		return 2 * time.Millisecond
//	}}
//	url, err := e.Start()
//	defer e.Close()
//
// Runs and MaxInFlight tell what happened.
package execd

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// attemptID identifies one attempt at one request.
type attemptID struct {
	key hoist.RequestKey
	no  hoist.AttemptNo
}

// Executor is the stand-in. Set exported fields before Start.
type Executor struct {
	ID    hoist.ExecutorID
	Slots int
	// ServiceTime returns how long a request runs; nil means no time.
	ServiceTime func(hoist.RequestKey) time.Duration

	mu       sync.Mutex
	term     hoist.Term
	leaving  bool
	running  map[attemptID]struct{}
	finished map[attemptID][]byte
	refused  map[attemptID]struct{}
	runs     map[hoist.RequestKey]int
	max      int
	server   *http.Server
}

// Start serves the executor on a free loopback port and returns its URL.
func (e *Executor) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Prependf(err, "executor %s", e.ID)
	}
	e.init()
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	// Serve returns http.ErrServerClosed after Close.
	go func() { _ = e.server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// Close stops serving and breaks all connections.
func (e *Executor) Close() {
	if e.server != nil {
		_ = e.server.Close()
	}
}

func (e *Executor) init() {
	e.running = make(map[attemptID]struct{})
	e.finished = make(map[attemptID][]byte)
	e.refused = make(map[attemptID]struct{})
	e.runs = make(map[hoist.RequestKey]int)
}

// SetLeaving makes the executor refuse new attempts and say so.
func (e *Executor) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Runs returns how often each request was started here.
func (e *Executor) Runs() map[hoist.RequestKey]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// MaxInFlight returns the largest number of attempts that ran at one time.
func (e *Executor) MaxInFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.max
}

func (e *Executor) adopt(term hoist.Term) (hoist.ExecutorReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.term {
		return hoist.ExecutorReport{}, e.checkTerm(term)
	}
	e.term = term
	return e.report(), nil
}

func (e *Executor) checkTerm(term hoist.Term) error {
	if term != e.term {
		return merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("executor %s is at term %d, message has term %d", e.ID, e.term, term))
	}
	return nil
}

func (e *Executor) report() hoist.ExecutorReport {
	r := hoist.ExecutorReport{Executor: e.ID, Term: e.term, Slots: e.Slots, Leaving: e.leaving}
	for id := range e.running {
		r.Running = append(r.Running, hoist.RunningAttempt{Key: id.key, Attempt: id.no})
	}
	return r
}

// run runs one attempt to its end. It goes on when the caller's connection
// breaks, as a real executor would.
func (e *Executor) run(term hoist.Term, id attemptID, body []byte) ([]byte, error) {
	if err := e.begin(term, id); err != nil {
		return nil, err
	}
	if e.ServiceTime != nil {
		time.Sleep(e.ServiceTime(id.key))
	}
	answer := append([]byte("checked "+string(id.key)+": "), body...)
	e.end(id, answer)
	return answer, nil
}

func (e *Executor) begin(term hoist.Term, id attemptID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkTerm(term); err != nil {
		return err
	}
	if _, ok := e.refused[id]; ok {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of %q was settled as not run", id.no, id.key))
	}
	if e.leaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("executor %s", e.ID))
	}
	if len(e.running) >= e.Slots {
		return merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("executor %s runs %d", e.ID, len(e.running)))
	}
	e.running[id] = struct{}{}
	e.runs[id.key]++
	e.max = max(e.max, len(e.running))
	return nil
}

func (e *Executor) end(id attemptID, answer []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.finished[id] = answer
}

func (e *Executor) settle(term hoist.Term, id attemptID) (hoist.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkTerm(term); err != nil {
		return hoist.Answer{}, err
	}
	answer := hoist.Answer{Key: id.key, Attempt: id.no, Outcome: hoist.NotRun}
	if body, ok := e.finished[id]; ok {
		answer.Outcome = hoist.Done
		answer.Body = body
		return answer, nil
	}
	if _, ok := e.running[id]; ok {
		answer.Outcome = hoist.Unknown
		return answer, nil
	}
	e.refused[id] = struct{}{}
	return answer, nil
}

func (e *Executor) current() hoist.ExecutorReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report()
}
