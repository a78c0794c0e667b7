package plans

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/fake/memory"
)

// leavingCell is an owner with fake workers that keep their leases. Its registry lists
// the workers that are set in entries.
type leavingCell struct {
	t     *testing.T
	store *memory.Store
	began time.Time

	mu      sync.Mutex
	entries map[hoist.WorkerID]hoist.WorkerEntry
	workers map[hoist.WorkerID]*leasedWorker
	// refused is the plan whose state the store refuses to write.
	refused hoist.JobID
}

// leasedWorker is a worker whose tasks run until they are stopped or its lease expires.
type leasedWorker struct {
	cell *leavingCell
	id   hoist.WorkerID
	// refusesNew is set while the worker refuses new connections, and refusesAll while
	// it has also closed those that were open.
	refusesNew, refusesAll bool
	// isCutOff is set while no call is answered. Starts are held and arrive later.
	isCutOff   bool
	heldStarts []hoist.StartRequest
	running    map[hoist.TaskRun]bool
	// stopped holds the attempts that were stopped, which the worker refuses.
	stopped    map[hoist.TaskRun]bool
	ends       []hoist.RunEnd
	leaseUntil time.Time
	starts     int
	// acked is the last end that was acknowledged.
	acked hoist.EndNo
	// losesPolls is set while polls get no answer, and isCutOffByStart if the worker is to
	// be cut off when it has carried out a start. holdsPolls is set while polls get no answer
	// and are held to arrive later.
	losesPolls, isCutOffByStart, holdsPolls bool
	heldPolls                               []hoist.PollRequest
	// losesStarts is set while starts get no answer, and hangsPolls while polls get none until
	// their time is over; those are held.
	losesStarts, hangsPolls bool
	// restarts counts the restarts, and resets those that broke the connections. began is
	// when the worker started last, at which its clock shows 0.
	restarts, resets int
	// token is the highest token of the requests that this incarnation has carried out.
	token hoist.FencingToken
	// firstIncarnation is added to the number of restarts in the incarnation, and reports
	// counts the answered polls.
	firstIncarnation, reports int
	began                     time.Time
}

// cellStore is the store of a cell, which may refuse the state of a plan.
type cellStore struct {
	*memory.Store
	cell *leavingCell
}

// Commit implements hoist.Store.
func (s cellStore) Commit(ctx context.Context, t hoist.Transaction) (hoist.RowVersion, error) {
	s.cell.mu.Lock()
	refusing := refusingStore{s.Store, s.cell.refused}
	s.cell.mu.Unlock()
	return refusing.Commit(ctx, t)
}

// storeOptions are faults and settings of the store of a cell.
type storeOptions struct {
	// hangs holds the parts whose transactions get no answer. Those that are sent take effect if
	// isLate is set.
	hangs  map[hoist.PartName]bool
	isLate bool
	// combines allows transactions over several parts.
	combines bool
}

// runLeavingCell runs an owner and calls during after a second.
func runLeavingCell(t *testing.T, during func(c *leavingCell)) {
	runLeavingCellWith(t, storeOptions{}, during)
}

// runLeavingCellWith is runLeavingCell with options of the store.
func runLeavingCellWith(t *testing.T, options storeOptions, during func(c *leavingCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := &leavingCell{
			t: t, store: &memory.Store{}, began: time.Now(),
			entries: make(map[hoist.WorkerID]hoist.WorkerEntry), workers: make(map[hoist.WorkerID]*leasedWorker),
		}
		ctx, cancel := context.WithCancel(context.Background())
		ownership := claim.NewOwnership(1, writeFences(t, c.store), time.Now(), time.Now().Add(time.Hour), cancel)
		d := &Driver{
			Claim: ownership, Store: hangingStore{cellStore{c.store, c}, options}, CanCombine: options.combines, Registry: c, Advisers: &AdviserPool{}, Clock: clock.System{}, StateRetention: time.Minute,
			Dial:  func(e hoist.WorkerEntry) hoist.Runner { return c.worker(e.Worker) },
			Queue: func(hoist.QueueName) (hoist.Queue, bool) { return hoist.Queue{}, false },
		}
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(time.Second)
		during(c)
	})
}

func (c *leavingCell) worker(id hoist.WorkerID) *leasedWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		w = &leasedWorker{cell: c, id: id, running: make(map[hoist.TaskRun]bool), stopped: make(map[hoist.TaskRun]bool), began: c.began}
		c.workers[id] = w
	}
	return w
}

// list adds or changes the registry entry of a worker.
func (c *leavingCell) list(id hoist.WorkerID, isLeaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id] = hoist.WorkerEntry{
		Worker: id, Service: "lids", Addr: "10.0.0.1:80", IsLeaving: isLeaving, Capacity: hoist.Resources{CPU: 1000, Memory: 1000},
	}
}

// unlist removes the registry entry of a worker.
func (c *leavingCell) unlist(id hoist.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, id)
}

// Workers implements hoist.Registry.
func (c *leavingCell) Workers(ctx context.Context, _ hoist.RowVersion, _ time.Duration) (hoist.WorkerChanges, error) {
	clock.Sleep(ctx, 50*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := hoist.WorkerChanges{IsAll: true, Next: 1}
	for _, e := range c.entries {
		out.Changed = append(out.Changed, e)
	}
	return out, nil
}

// accept records a plan of one task, which has started a second later.
func (c *leavingCell) accept(id hoist.JobID) {
	c.t.Helper()
	c.submit(id)
	time.Sleep(time.Second)
}

// submit records a plan of one task.
func (c *leavingCell) submit(id hoist.JobID) {
	c.t.Helper()
	step := hoist.Step{Count: 1, Need: hoist.Resources{CPU: 100, Memory: 1}, MaxUnavailable: -1}
	p := hoist.Plan{ID: id, Queue: hoist.Queue{Name: "q", Service: "lids"}, Steps: []hoist.Step{step}, Accepted: time.Now()}
	accept(c.t, c.store, keys.PartsOf(id)[0], p)
}

// cancel records the cancellation of a plan.
func (c *leavingCell) cancel(id hoist.JobID) {
	c.t.Helper()
	commit(c.t, c.store, hoist.Transaction{Writes: []hoist.Write{
		{RowRef: keys.Cancel(keys.PartsOf(id)[0], id), Value: []byte("{}")},
	}})
}

// set changes the cell.
func (c *leavingCell) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// set changes a worker.
func (w *leasedWorker) set(change func()) {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	change()
}

// restart starts the worker again under the same id: it knows nothing of before, and its
// clock begins anew. resetsConns tells that the polls in progress fail at once.
func (w *leasedWorker) restart(resetsConns bool) {
	w.restarts++
	if resetsConns {
		w.resets++
	}
	w.running, w.stopped = make(map[hoist.TaskRun]bool), make(map[hoist.TaskRun]bool)
	w.ends, w.leaseUntil, w.began, w.token = nil, time.Time{}, time.Now(), 0
}

// numStarts returns how many starts the worker has carried out.
func (w *leasedWorker) numStarts() int {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	return w.starts
}

// Start implements hoist.Runner.
func (w *leasedWorker) Start(ctx context.Context, r hoist.StartRequest) (hoist.WorkerClock, error) {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	if w.refusesAll {
		return hoist.UnknownClock, hoist.ErrNotListening
	}
	if w.isCutOff {
		w.heldStarts = append(w.heldStarts, r)
		return hoist.UnknownClock, hoist.ErrOutcomeUnknown
	}
	if w.losesStarts {
		return hoist.UnknownClock, hoist.ErrOutcomeUnknown
	}
	if r.Token < w.token {
		return w.clock(), hoist.ErrStaleTerm
	}
	w.token = r.Token
	if r.Lease <= w.clock() {
		return w.clock(), hoist.ErrLeaseExpired
	}
	w.carryOut(r)
	if w.isCutOffByStart {
		w.isCutOff = true
		return hoist.UnknownClock, hoist.ErrOutcomeUnknown
	}
	return w.clock(), ctx.Err()
}

// deliverStarts carries out the starts that were held, unless the worker refuses them.
func (w *leasedWorker) deliverStarts() {
	for _, r := range w.heldStarts {
		if r.Token >= w.token && !w.stopped[r.Run] && time.Now().Before(w.leaseUntil) {
			w.carryOut(r)
		}
	}
}

// deliverPolls carries out the polls that were held, unless the worker refuses them.
func (w *leasedWorker) deliverPolls() {
	for _, r := range w.heldPolls {
		if r.Token >= w.token {
			w.extendLease(r.Lease)
		}
	}
	w.heldPolls = nil
}

// carryOut starts a task. It fails the test if the task runs on another worker.
func (w *leasedWorker) carryOut(r hoist.StartRequest) {
	c := w.cell
	for _, other := range c.workers {
		for run := range other.running {
			if run.Task == r.Run.Task && other != w && time.Now().Before(other.leaseUntil) {
				c.t.Errorf("task %v starts on %s while it runs on %s", run.Task, w.id, other.id)
			}
		}
	}
	w.running[r.Run] = true
	w.starts++
	w.extendLease(r.Lease)
}

// Stop implements hoist.Runner.
func (w *leasedWorker) Stop(ctx context.Context, run hoist.TaskRun, _ hoist.FencingToken) error {
	clock.Sleep(ctx, time.Millisecond)
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	if w.refusesAll {
		return hoist.ErrNotListening
	}
	if w.isCutOff {
		return hoist.ErrOutcomeUnknown
	}
	w.stopped[run] = true
	if w.running[run] {
		delete(w.running, run)
		w.ends = append(w.ends, hoist.RunEnd{No: hoist.EndNo(len(w.ends) + 1), Run: run, Kind: hoist.EndStopped})
	}
	return nil
}

// Poll implements hoist.Runner. Only polls that can acknowledge ends use a connection
// that stays open.
func (w *leasedWorker) Poll(ctx context.Context, r hoist.PollRequest) (hoist.RunnerReport, error) {
	hangs := false
	w.set(func() {
		if hangs = w.hangsPolls; hangs {
			w.heldPolls = append(w.heldPolls, r)
		}
	})
	if hangs {
		w.waitForEnd(ctx, time.Hour)
		return hoist.RunnerReport{}, hoist.ErrOutcomeUnknown
	}
	isConnBroken := w.waitForEnd(ctx, r.Wait)
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	if isConnBroken {
		return hoist.RunnerReport{}, hoist.ErrOutcomeUnknown
	}
	if w.refusesAll || (w.refusesNew && !r.EnablesAcks) {
		return hoist.RunnerReport{}, hoist.ErrNotListening
	}
	if w.holdsPolls {
		w.heldPolls = append(w.heldPolls, r)
	}
	if w.isCutOff || w.losesPolls || w.holdsPolls {
		return hoist.RunnerReport{}, hoist.ErrOutcomeUnknown
	}
	if r.Token < w.token {
		return hoist.RunnerReport{}, hoist.ErrStaleTerm
	}
	w.token = r.Token
	w.extendLease(r.Lease)
	w.acked = max(w.acked, r.Acked)
	w.reports++
	report := hoist.RunnerReport{Clock: w.clock(), Incarnation: hoist.Incarnation(1 + w.firstIncarnation + w.restarts)}
	for _, e := range w.ends {
		if e.No > r.Acked {
			report.Ends = append(report.Ends, e)
		}
	}
	for run := range w.running {
		report.Running = append(report.Running, hoist.RunStatus{Run: run})
	}
	return report, ctx.Err()
}

// waitForEnd waits as long as a poll asks for, or until its connection breaks. It reports
// whether the worker has restarted meanwhile, so that the poll gets no answer.
func (w *leasedWorker) waitForEnd(ctx context.Context, wait time.Duration) bool {
	const step = 10 * time.Millisecond
	counts := func() (restarts, resets int) {
		w.set(func() { restarts, resets = w.restarts, w.resets })
		return restarts, resets
	}
	restartsBefore, resetsBefore := counts()
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; {
		clock.Sleep(ctx, min(step, time.Until(end)))
		if _, resets := counts(); resets != resetsBefore {
			return true
		}
	}
	restarts, _ := counts()
	return restarts != restartsBefore
}

// Throttle implements hoist.Runner.
func (*leasedWorker) Throttle(context.Context, hoist.TaskRun, hoist.FencingToken, hoist.Percent) error {
	return nil
}

// Close implements hoist.Runner.
func (*leasedWorker) Close() {}

func (w *leasedWorker) clock() hoist.WorkerClock {
	return hoist.WorkerClock(time.Since(w.began))
}

func (w *leasedWorker) extendLease(lease hoist.WorkerClock) {
	until := w.began.Add(min(time.Duration(lease), time.Since(w.began)+hoist.MaxLease))
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// TestLeavingWorkerKeepsItsTasks guards against tasks that are started elsewhere while
// they still run on a worker that drains: its registry entry may be gone and its address
// may refuse connections, because it is cut off or accepts no new ones, before its
// process has ended.
func TestLeavingWorkerKeepsItsTasks(t *testing.T) {
	const taskID, cancelledID = hoist.JobID("00000000000000a1"), hoist.JobID("00000000000000a2")
	// runOnLeaving starts two tasks on a worker, which then drains and loses its registry
	// entry, while another worker has room.
	runOnLeaving := func(c *leavingCell) (leaving, other *leasedWorker) {
		c.list("leaving", false)
		time.Sleep(time.Second)
		c.accept(taskID)
		c.accept(cancelledID)
		leaving, other = c.worker("leaving"), c.worker("other")
		is.New(c.t).Equal(leaving.numStarts(), 2)
		c.list("leaving", true)
		c.list("other", false)
		time.Sleep(time.Second)
		c.unlist("leaving")
		time.Sleep(time.Second)
		return leaving, other
	}
	t.Run("address refuses connections", func(t *testing.T) {
		runLeavingCell(t, func(c *leavingCell) {
			leaving, other := runOnLeaving(c)
			leaving.set(func() { leaving.refusesAll = true })
			time.Sleep(4 * time.Second)
			is.New(c.t).Equal(other.numStarts(), 0)
			time.Sleep(4 * time.Second)
			is.New(c.t).Equal(other.numStarts(), 2) // the lease has expired
		})
	})
	t.Run("address refuses new connections only", func(t *testing.T) {
		runLeavingCell(t, func(c *leavingCell) {
			leaving, other := runOnLeaving(c)
			leaving.set(func() { leaving.refusesNew = true })
			c.cancel(cancelledID) // after the stop, the worker is polled over a new connection
			time.Sleep(10 * time.Second)
			is.New(c.t).Equal(other.numStarts(), 0) // the polls over the open connection renew the lease
		})
	})
}

// TestStartOnRestartedWorker guards against a task that is started elsewhere while it runs on
// a worker that had restarted just before its start, and that is cut off after it: its lease
// was granted on the clock of the earlier incarnation.
func TestStartOnRestartedWorker(t *testing.T) {
	runLeavingCell(t, func(c *leavingCell) {
		is := is.New(c.t)
		c.list("restarted", false)
		time.Sleep(time.Minute)
		restarted, other := c.worker("restarted"), c.worker("other")
		restarted.set(func() { restarted.restart(false) })
		time.Sleep(10 * time.Millisecond)
		c.submit("00000000000000a1")
		time.Sleep(500 * time.Millisecond)
		is.Equal(restarted.numStarts(), 1) // before the poll that waits is answered
		restarted.set(func() { restarted.refusesAll = true })
		c.list("other", false)
		time.Sleep(8 * time.Second)
		is.Equal(other.numStarts(), 0)
		time.Sleep(5 * time.Second)
		is.Equal(other.numStarts(), 1) // the lease has expired
	})
}
