// Package work is a stand-in for a worker of the platform: it serves the worker
// contract over HTTP on loopback, runs tasks as timers under leases, and
// records whether it was ever given more than it holds.
//
// # Usage
//
//	w := &work.Worker{ID: "w1", DataCentre: "dc1", Rack: "r1", Capacity: capacity}
//	url, err := w.Start()
//	defer w.Close()
//
// Without Start, Direct returns a hoist.Worker that calls it in this process,
// with the faults that SetFault sets.
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

// task is one task that the worker runs.
type task struct {
	status hoist.TaskStatus
	end    *time.Timer
	lapse  *time.Timer
}

// Worker is the stand-in. Set exported fields before Start.
type Worker struct {
	ID         hoist.WorkerID
	DataCentre hoist.DataCentreID
	Rack       hoist.RackID
	Capacity   hoist.Resources
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// Slow multiplies the run time of every task; 0 means 1.
	Slow int
	// TakesWhileLeaving makes the worker accept tasks while it is leaving, so
	// that a test sees what is sent to it.
	TakesWhileLeaving bool
	// History records the starts and ends of tasks; it may be shared.
	History *History

	once     sync.Once
	mu       sync.Mutex
	fault    Fault
	term     hoist.Term
	leaving  bool
	running  map[hoist.TaskID]*task
	ended    []hoist.TaskStatus
	used     hoist.Resources
	starts   map[hoist.TaskID]int
	refused  map[hoist.TaskAttempt]struct{}
	overfull bool
	succeed  map[hoist.JobID]int
	server   *http.Server
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
		w.refused = make(map[hoist.TaskAttempt]struct{})
		w.succeed = make(map[hoist.JobID]int)
	})
}

// Close stops serving and ends all tasks.
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

// SetLeaving makes the worker refuse new tasks and say so.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.History.Record(Change{Worker: w.ID, Kind: Leaves, On: leaving})
}

// IsOvercommitted reports whether the worker was ever given more than it holds.
func (w *Worker) IsOvercommitted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overfull
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
	return maps.Clone(w.succeed)
}

// Running returns the tasks that run now.
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
	if _, ok := w.refused[hoist.TaskAttempt{Task: g.Task, Attempt: g.Attempt}]; ok {
		return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("attempt %d of task %s was stopped", g.Attempt, g.Task))
	}
	if w.leaving && !w.TakesWhileLeaving {
		return merry.Wrap(hoist.ErrLeaving, merry.PrependMessagef("worker %s", w.ID))
	}
	if !g.Need.Fits(w.Capacity.Sub(w.used)) {
		// A real worker would run the task and slow all others down.
		w.overfull = true
	}
	w.used = w.used.Add(g.Need)
	w.starts[g.Task]++
	w.running[g.Task] = w.newTask(g)
	w.History.Record(Change{Worker: w.ID, Kind: Starts, Task: g.Task, Job: g.Job, Attempt: g.Attempt})
	if w.FailAll {
		w.finish(g.Task, hoist.TaskFailed, "worker fails every task")
	}
	return nil
}

// hasEnded reports whether the attempt ended here and was not acknowledged.
func (w *Worker) hasEnded(g hoist.Grant) bool {
	return slices.ContainsFunc(w.ended, func(s hoist.TaskStatus) bool {
		return s.Task == g.Task && s.Attempt == g.Attempt
	})
}

func (w *Worker) newTask(g hoist.Grant) *task {
	t := &task{status: hoist.TaskStatus{
		Task: g.Task, Job: g.Job, Team: g.Team, Attempt: g.Attempt,
		State: hoist.TaskRunning, Need: g.Need, Usage: g.Need, Priority: g.Priority,
		Started: time.Now(),
	}}
	if g.RunTime > 0 {
		t.end = time.AfterFunc(g.RunTime*time.Duration(max(1, w.Slow)), func() { w.timeUp(t, hoist.TaskSucceeded, "") })
	}
	t.lapse = time.AfterFunc(g.Lease, func() { w.timeUp(t, hoist.TaskStopped, "lease lapsed") })
	return t
}

func (w *Worker) timeUp(t *task, state hoist.TaskState, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[t.status.Task] == t {
		w.finish(t.status.Task, state, reason)
	}
}

func (w *Worker) finish(id hoist.TaskID, state hoist.TaskState, reason string) {
	t := w.running[id]
	if t.end != nil {
		t.end.Stop()
	}
	t.lapse.Stop()
	delete(w.running, id)
	w.used = w.used.Sub(t.status.Need)
	t.status.State = state
	t.status.Reason = reason
	w.ended = append(w.ended, t.status)
	w.History.Record(Change{Worker: w.ID, Kind: Ends, Task: id, Job: t.status.Job, Attempt: t.status.Attempt, State: state})
	if state == hoist.TaskSucceeded {
		w.succeed[t.status.Job]++
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
		t.lapse.Reset(lease)
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
	w.refused[a] = struct{}{}
	return nil
}

// SetFailAll makes every further task fail as soon as it starts, or not.
func (w *Worker) SetFailAll(failAll bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.FailAll = failAll
}

// SetSlow multiplies the run time of every further task.
func (w *Worker) SetSlow(factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Slow = factor
}
