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
// Runs and MaxInFlight tell what happened. Without Start, an Executor can be
// used directly as a hoist.Executor.
package execd

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// keepAnswers is how long the contract has an executor keep its answers.
const keepAnswers = 60 * time.Second

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
	started  int
	late     int
	running  map[attemptID]struct{}
	finished map[attemptID]finished
	// ends lists the finished attempts, oldest first.
	ends    []attemptID
	refused map[attemptID]struct{}
	runs    map[hoist.RequestKey]int
	max     int
	server  *http.Server
}

// finished is an attempt that has ended.
type finished struct {
	body []byte
	at   time.Time
}

var _ hoist.Executor = (*Executor)(nil)

// Start serves the executor on a free loopback port and returns its URL.
func (e *Executor) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Prependf(err, "executor %s", e.ID)
	}
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

// Restart makes the executor a new process: what it ran has stopped, and it
// knows nothing of it and has no term.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	e.term = 0
	e.running, e.finished, e.refused, e.ends = nil, nil, nil, nil
}

// Late returns how many attempts were sent here while the executor was leaving.
func (e *Executor) Late() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late
}

// Process returns the number of the process, which Restart raises.
func (e *Executor) Process() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Term returns the term that was set last.
func (e *Executor) Term() hoist.Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// init makes the maps; the mutex is held.
func (e *Executor) init() {
	if e.running != nil {
		return
	}
	e.running = make(map[attemptID]struct{})
	e.finished = make(map[attemptID]finished)
	e.refused = make(map[attemptID]struct{})
	if e.runs == nil {
		e.runs = make(map[hoist.RequestKey]int)
	}
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

// Adopt implements hoist.Executor.
func (e *Executor) Adopt(_ context.Context, term hoist.Term) (hoist.ExecutorReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
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

// Run implements hoist.Executor. The attempt goes on when ctx ends, as a real
// executor's would.
func (e *Executor) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	id := attemptID{a.Request.Key, a.No}
	process, err := e.begin(term, id)
	if err != nil {
		return hoist.Answer{}, err
	}
	var served time.Duration
	if e.ServiceTime != nil {
		served = e.ServiceTime(id.key)
	}
	body := append([]byte("checked "+string(id.key)+": "), a.Request.Body...)
	if served > 0 {
		ended := make(chan struct{})
		time.AfterFunc(served, func() { e.end(process, id, body); close(ended) })
		select {
		case <-ended:
		case <-ctx.Done():
			return hoist.Answer{}, hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
		}
	} else {
		e.end(process, id, body)
	}
	return hoist.Answer{Key: id.key, Attempt: id.no, Outcome: hoist.Done, Executor: e.ID, Body: body}, nil
}

// begin starts an attempt and returns the number of the process that runs it.
func (e *Executor) begin(term hoist.Term, id attemptID) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	if err := e.checkTerm(term); err != nil {
		return 0, err
	}
	if _, ok := e.refused[id]; ok {
		return 0, merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of %q was settled as not run", id.no, id.key))
	}
	if e.leaving {
		e.late++
		return 0, merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("executor %s", e.ID))
	}
	if len(e.running) >= e.Slots {
		return 0, merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("executor %s runs %d", e.ID, len(e.running)))
	}
	e.running[id] = struct{}{}
	e.runs[id.key]++
	e.max = max(e.max, len(e.running))
	return e.started, nil
}

func (e *Executor) end(process int, id attemptID, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if process != e.started {
		return
	}
	now := time.Now()
	delete(e.running, id)
	e.finished[id] = finished{body, now}
	e.ends = append(e.ends, id)
	for len(e.ends) > 0 && now.Sub(e.finished[e.ends[0]].at) >= keepAnswers {
		delete(e.finished, e.ends[0])
		e.ends = e.ends[1:]
	}
}

// ResolveOutcome implements hoist.Executor.
func (e *Executor) ResolveOutcome(_ context.Context, term hoist.Term, key hoist.RequestKey, no hoist.AttemptNo) (hoist.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	if err := e.checkTerm(term); err != nil {
		return hoist.Answer{}, err
	}
	id := attemptID{key, no}
	answer := hoist.Answer{Key: key, Attempt: no, Outcome: hoist.NotRun}
	if f, ok := e.finished[id]; ok && time.Since(f.at) < keepAnswers {
		answer.Outcome = hoist.Done
		answer.Executor = e.ID
		answer.Body = f.body
		return answer, nil
	}
	if _, ok := e.running[id]; ok {
		answer.Outcome = hoist.Unknown
		return answer, nil
	}
	e.refused[id] = struct{}{}
	return answer, nil
}

// Report implements hoist.Executor.
func (e *Executor) Report(context.Context) (hoist.ExecutorReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(), nil
}
