// Package execd is a stand-in for an executor. It serves the executor API over
// HTTP on loopback, answers each request after its service time, and records
// which attempts it ran so that tests can check the invariants.
//
// # Usage
//
//	e := &execd.Executor{ID: "e1", Slots: 8, ServiceTime: func(hoist.RequestKey) time.Duration {
//		return 2 * time.Millisecond
//	}}
//	url, err := e.Start()
//	defer e.Close()
//
// Runs and MaxInFlight return what the executor has run. Without Start, an
// Executor can be used directly as a hoist.Executor.
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

// answerRetention is how long an executor must keep its answers.
const answerRetention = 60 * time.Second

// attemptID identifies one attempt at one request.
type attemptID struct {
	key hoist.RequestKey
	no  hoist.AttemptNo
}

// Executor is the stand-in. Set the exported fields before Start.
type Executor struct {
	ID    hoist.ExecutorID
	Slots int
	// ServiceTime returns how long a request runs. If it is nil, every request
	// ends at once.
	ServiceTime func(hoist.RequestKey) time.Duration

	mu      sync.Mutex
	term    hoist.Term
	leaving bool
	// processNo counts the restarts and identifies the current process.
	processNo           int
	refusedWhileLeaving int
	running             map[attemptID]struct{}
	finished            map[attemptID]finished
	// endOrder lists the keys of finished, oldest first.
	endOrder []attemptID
	// resolvedNotRun holds the attempts that ResolveOutcome reported as not run;
	// begin refuses them.
	resolvedNotRun map[attemptID]struct{}
	runs           map[hoist.RequestKey]int
	// max is the largest number of attempts that ran at one time.
	max    int
	server *http.Server
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

// Close stops serving and closes all connections.
func (e *Executor) Close() {
	if e.server != nil {
		_ = e.server.Close()
	}
}

// Restart simulates a new process of the executor: all running attempts stop, and
// the term and the record of earlier attempts are lost. Runs and MaxInFlight still
// include them.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processNo++
	e.term = 0
	e.running, e.finished, e.resolvedNotRun, e.endOrder = nil, nil, nil, nil
}

// RefusedWhileLeaving returns how many attempts were refused because the executor was leaving.
func (e *Executor) RefusedWhileLeaving() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusedWhileLeaving
}

// Process returns the number of the current process. Restart increments it.
func (e *Executor) Process() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processNo
}

// Term returns the term of the last Adopt, 0 if there was none since Restart.
func (e *Executor) Term() hoist.Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// init makes the maps. The caller must hold the mutex.
func (e *Executor) init() {
	if e.running != nil {
		return
	}
	e.running = make(map[attemptID]struct{})
	e.finished = make(map[attemptID]finished)
	e.resolvedNotRun = make(map[attemptID]struct{})
	if e.runs == nil {
		e.runs = make(map[hoist.RequestKey]int)
	}
}

// SetLeaving sets whether the executor reports that it is leaving and refuses new
// attempts.
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

// Run implements hoist.Executor. As in a real executor, the attempt continues when
// ctx ends.
func (e *Executor) Run(ctx context.Context, term hoist.Term, a hoist.Attempt) (hoist.Answer, error) {
	id := attemptID{a.Request.Key, a.No}
	process, err := e.begin(term, id)
	if err != nil {
		return hoist.Answer{}, err
	}
	var serviceTime time.Duration
	if e.ServiceTime != nil {
		serviceTime = e.ServiceTime(id.key)
	}
	body := append([]byte("checked "+string(id.key)+": "), a.Request.Body...)
	if serviceTime > 0 {
		ended := make(chan struct{})
		time.AfterFunc(serviceTime, func() { e.end(process, id, body); close(ended) })
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

// begin starts an attempt and returns the number of the process that runs it. It
// fails if the term is stale, the attempt was resolved as not run, the executor is
// leaving or no slot is free.
func (e *Executor) begin(term hoist.Term, id attemptID) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	if err := e.checkTerm(term); err != nil {
		return 0, err
	}
	if _, ok := e.resolvedNotRun[id]; ok {
		return 0, merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of %q was resolved as not run", id.no, id.key))
	}
	if e.leaving {
		e.refusedWhileLeaving++
		return 0, merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("executor %s", e.ID))
	}
	if len(e.running) >= e.Slots {
		return 0, merry.Wrap(hoist.ErrNoSlot, merry.PrependMessagef("executor %s already runs %d attempts", e.ID, len(e.running)))
	}
	e.running[id] = struct{}{}
	e.runs[id.key]++
	e.max = max(e.max, len(e.running))
	return e.processNo, nil
}

// end records the end of an attempt, unless the executor has restarted since, and
// discards answers that are older than answerRetention.
func (e *Executor) end(process int, id attemptID, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if process != e.processNo {
		return
	}
	now := time.Now()
	delete(e.running, id)
	e.finished[id] = finished{body, now}
	e.endOrder = append(e.endOrder, id)
	for len(e.endOrder) > 0 && now.Sub(e.finished[e.endOrder[0]].at) >= answerRetention {
		delete(e.finished, e.endOrder[0])
		e.endOrder = e.endOrder[1:]
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
	if f, ok := e.finished[id]; ok && time.Since(f.at) < answerRetention {
		answer.Outcome = hoist.Done
		answer.Executor = e.ID
		answer.Body = f.body
		return answer, nil
	}
	if _, ok := e.running[id]; ok {
		answer.Outcome = hoist.Unknown
		return answer, nil
	}
	e.resolvedNotRun[id] = struct{}{}
	return answer, nil
}

// Report implements hoist.Executor.
func (e *Executor) Report(context.Context) (hoist.ExecutorReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(), nil
}
