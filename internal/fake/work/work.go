// Package work is a stand-in for a worker of the platform. It serves the worker
// API over HTTP on loopback, simulates tasks under leases with timers, and records
// whether it was ever overcommitted.
//
// # Usage
//
//	w := &work.Worker{ID: "w1", DataCentre: "dc1", Rack: "r1", Capacity: capacity}
//	url, err := w.Start()
//	defer w.Close()
//
// Without Start, Direct returns a hoist.Worker that calls the worker within this
// process, with the faults that SetFault sets.
package work

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// task is one running task.
type task struct {
	status      hoist.TaskStatus
	completion  *time.Timer
	leaseExpiry *time.Timer
}

// Worker is the stand-in. Set the exported fields before Start.
type Worker struct {
	ID         hoist.WorkerID
	DataCentre hoist.DataCentreID
	Rack       hoist.RackID
	Capacity   hoist.Resources
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// SlowFactor multiplies the run time of every task; 0 means 1.
	SlowFactor int
	// LeaseExcess is by how much each lease lasts longer, as on a slow clock.
	LeaseExcess time.Duration
	// AcceptsWhileLeaving makes the worker accept tasks while it is leaving, so
	// that a test can record the tasks that are sent to it.
	AcceptsWhileLeaving bool
	// History records the starts and ends of tasks; workers may share one.
	History *History

	once          sync.Once
	mu            sync.Mutex
	fault         Fault
	term          hoist.Term
	leaving       bool
	running       map[hoist.TaskID]*task
	ended         []hoist.TaskStatus
	used          hoist.Resources
	starts        map[hoist.TaskID]int
	stopped       map[hoist.TaskAttempt]struct{}
	overcommitted bool
	succeeded     map[hoist.JobID]int
	server        *http.Server
}

// Start serves the worker on a free loopback port and returns its URL.
func (w *Worker) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Prependf(err, "worker %s", w.ID)
	}
	w.init()
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: 5 * time.Second}
	// Serve returns http.ErrServerClosed after Close.
	go func() { _ = w.server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (w *Worker) init() {
	w.once.Do(func() {
		w.running = make(map[hoist.TaskID]*task)
		w.starts = make(map[hoist.TaskID]int)
		w.stopped = make(map[hoist.TaskAttempt]struct{})
		w.succeeded = make(map[hoist.JobID]int)
	})
}

// Close stops serving and stops all running tasks.
func (w *Worker) Close() {
	if w.server != nil {
		_ = w.server.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.running {
		w.finish(id, hoist.TaskStopped, "worker closed")
	}
}

// Restart simulates a new process of the worker: all running tasks stop, and the term,
// the unacknowledged ends and the stopped attempts are lost. Calls that are still on
// their way reach the new process. The history and the counts include earlier processes.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.running {
		w.finish(id, hoist.TaskStopped, "worker restarted")
	}
	w.term = 0
	w.ended = nil
	clear(w.stopped)
}

// Term returns the highest term that was set since the last Restart, 0 if none was.
func (w *Worker) Term() hoist.Term {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.term
}

// SetLeaving sets whether the worker reports that it is leaving and refuses new
// tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.History.Record(Change{Worker: w.ID, Kind: Leaves, IsLeaving: leaving})
}

// IsOvercommitted reports whether the needs of the running tasks ever exceeded the
// capacity.
func (w *Worker) IsOvercommitted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommitted
}

// Starts returns how often each task was started here.
func (w *Worker) Starts() map[hoist.TaskID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.starts)
}

// Succeeded returns how many tasks of each job succeeded here.
func (w *Worker) Succeeded() map[hoist.JobID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.succeeded)
}

// Running returns the running tasks.
func (w *Worker) Running() []hoist.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report().Running
}

func (w *Worker) adopt(term hoist.Term) (hoist.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(term); err != nil {
		return hoist.WorkerReport{}, err
	}
	w.term = term
	return w.report(), nil
}

func (w *Worker) checkTerm(term hoist.Term) error {
	if term < w.term {
		return merry.Wrap(hoist.ErrStaleTerm, merry.PrependMessagef("worker %s is at term %d, message has term %d", w.ID, w.term, term))
	}
	return nil
}

func (w *Worker) report() hoist.WorkerReport {
	r := hoist.WorkerReport{
		Worker:     w.ID,
		DataCentre: w.DataCentre,
		Rack:       w.Rack,
		Capacity:   w.Capacity,
		Leaving:    w.leaving,
		Ended:      slices.Clone(w.ended),
	}
	for _, t := range w.running {
		r.Running = append(r.Running, t.status)
	}
	return r
}

func (w *Worker) start(g hoist.Grant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(g.Term); err != nil {
		return err
	}
	if t, ok := w.running[g.Task]; ok && t.status.Attempt == g.Attempt {
		return nil
	}
	if w.hasEnded(g) {
		return nil
	}
	if _, ok := w.stopped[hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}]; ok {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of task %s was stopped", g.Attempt, g.Task))
	}
	if w.leaving && !w.AcceptsWhileLeaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", w.ID))
	}
	if !g.Need.Fits(w.Capacity.Sub(w.used)) {
		// A real worker would run the task and slow down all others.
		w.overcommitted = true
	}
	w.used = w.used.Add(g.Need)
	w.starts[g.Task]++
	w.running[g.Task] = w.newTask(g)
	w.History.Record(Change{Worker: w.ID, Kind: Starts, Task: g.Task, Job: g.Job, Attempt: g.Attempt})
	if w.FailAll {
		w.finish(g.Task, hoist.TaskFailed, "every task fails by fault injection")
	}
	return nil
}

// hasEnded reports whether the attempt ended here and was not acknowledged.
func (w *Worker) hasEnded(g hoist.Grant) bool {
	return slices.ContainsFunc(w.ended, func(s hoist.TaskStatus) bool {
		return s.Task == g.Task && s.Attempt == g.Attempt
	})
}

// newTask returns a running task whose timers end it after its run time, if it has
// one, and when its lease expires.
func (w *Worker) newTask(g hoist.Grant) *task {
	t := &task{status: hoist.TaskStatus{
		Task: g.Task, Job: g.Job, Team: g.Team, Attempt: g.Attempt,
		State: hoist.TaskRunning, Need: g.Need, Usage: g.Need, Priority: g.Priority,
		Started: time.Now(),
	}}
	if g.RunTime > 0 {
		t.completion = time.AfterFunc(g.RunTime*time.Duration(max(1, w.SlowFactor)), func() { w.finishByTimer(t, hoist.TaskSucceeded, "") })
	}
	t.leaseExpiry = time.AfterFunc(g.Lease+w.LeaseExcess, func() { w.finishByTimer(t, hoist.TaskStopped, "lease expired") })
	return t
}

// finishByTimer ends t unless it has ended already.
func (w *Worker) finishByTimer(t *task, state hoist.TaskState, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[t.status.Task] == t {
		w.finish(t.status.Task, state, reason)
	}
}

// finish ends a running task and keeps its status until it is acknowledged. The
// caller must hold the mutex.
func (w *Worker) finish(id hoist.TaskID, state hoist.TaskState, reason string) {
	t := w.running[id]
	if t.completion != nil {
		t.completion.Stop()
	}
	t.leaseExpiry.Stop()
	delete(w.running, id)
	w.used = w.used.Sub(t.status.Need)
	t.status.State = state
	t.status.Reason = reason
	w.ended = append(w.ended, t.status)
	w.History.Record(Change{Worker: w.ID, Kind: Ends, Task: id, Job: t.status.Job, Attempt: t.status.Attempt, State: state})
	if state == hoist.TaskSucceeded {
		w.succeeded[t.status.Job]++
	}
}

func (w *Worker) renew(term hoist.Term, lease time.Duration, acked []hoist.TaskAttempt) (hoist.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(term); err != nil {
		return hoist.WorkerReport{}, err
	}
	w.ended = slices.DeleteFunc(w.ended, func(s hoist.TaskStatus) bool {
		return slices.Contains(acked, hoist.TaskAttempt{Task: s.Task, Attempt: s.Attempt})
	})
	for _, t := range w.running {
		t.leaseExpiry.Reset(lease + w.LeaseExcess)
	}
	return w.report(), nil
}

func (w *Worker) stop(term hoist.Term, a hoist.TaskAttempt, mode hoist.StopMode) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(term); err != nil {
		return err
	}
	if t, ok := w.running[a.Task]; ok && t.status.Attempt == a.Attempt {
		w.finish(a.Task, hoist.TaskStopped, string(mode))
	}
	w.stopped[a] = struct{}{}
	return nil
}

// SetFailAll sets whether every later task fails as soon as it starts.
func (w *Worker) SetFailAll(failAll bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.FailAll = failAll
}

// SetSlowFactor sets the factor that multiplies the run time of every later task.
func (w *Worker) SetSlowFactor(factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.SlowFactor = factor
}
