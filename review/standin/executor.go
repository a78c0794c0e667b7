package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the executors, as in the settings of a process.
const (
	holdMax       = 10 * time.Second
	stopTime      = 50 * time.Millisecond
	saveEvery     = time.Second
	gangWait      = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
	maxConns      = 64
)

// limitedListener accepts at most maxConns connections at a time; others wait.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func limitConns(l net.Listener) net.Listener {
	return &limitedListener{l, make(chan struct{}, maxConns)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// limitedConn is a connection that holds one of the slots of its listener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// order is the body of every call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	Saved    string `json:"saved"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// run is an attempt at a task that runs on an executor.
type run struct {
	o order
	// isStopping is set once a stop was received.
	isStopping bool
	gang       *gang
	// workedFrom is when the task began to work; progress is what it had then.
	workedFrom time.Time
	progress   time.Duration
	timer      *time.Timer
}

// end is an end that was not acknowledged yet.
type end struct {
	no    uint64
	task  string
	run   uint64
	how   string
	saved string
}

// executor is one executor of the platform.
type executor struct {
	id   string
	rack string
	cell *cell
	// public is the address in the registry, which may be that of a proxy.
	public string

	mu      sync.Mutex
	addr    string
	server  *http.Server
	born    time.Time
	isUp    bool
	state   string
	seq     int
	fence   uint64
	lease   time.Time
	running map[string]*run
	// last holds, by task, the highest run that ended or was stopped here.
	last    map[string]uint64
	ends    []end
	lastEnd uint64
	changed chan struct{}
	// isCutFromStore is set while the executor cannot reach the store.
	isCutFromStore bool
}

func newExecutor(c *cell, id, rack string) (*executor, error) {
	e := &executor{id: id, rack: rack, cell: c, state: "ready"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.addr = l.Addr().String()
	e.public = e.addr
	e.begin(l)
	return e, nil
}

// begin starts a new life of the executor. e.mu must not be held.
func (e *executor) begin(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.isUp, e.fence, e.lease, e.lastEnd, e.ends = time.Now(), true, 0, time.Time{}, 0, nil
	e.seq = 0
	e.running, e.last, e.changed = make(map[string]*run), make(map[string]uint64), make(chan struct{})
	e.server = &http.Server{Handler: e.handler()}
	server := e.server
	go func() { _ = server.Serve(limitConns(l)) }()
}

// crash ends the life of the executor: its connections break, and nothing of it is left.
func (e *executor) crash() {
	e.mu.Lock()
	e.isUp = false
	server := e.server
	for task, r := range e.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.cell.book.ended(e, task, r.o.Run, "crashed")
		if r.gang != nil {
			go r.gang.memberEnded(task, "crashed")
		}
	}
	e.running = make(map[string]*run)
	e.mu.Unlock()
	_ = server.Close()
	e.cell.log.printf("%s: crashes", e.id)
}

// restart starts the executor again at its address, under its id.
func (e *executor) restart() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.begin(l)
	e.cell.log.printf("%s: starts again", e.id)
	e.register()
	return nil
}

// register writes the entry of the executor, unless it cannot reach the store.
func (e *executor) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isUp || e.isCutFromStore {
		return
	}
	e.seq++
	entry := map[string]any{
		"service": serviceName, "address": e.public, "zone": "z-1", "version": "v1", "slots": 8, "state": e.state, "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": 32000, "mem-mb": 131072, "gpu": 0}, "labels": []string{"a", e.rack},
		"clock-ms": e.clock(time.Now()), "seq": e.seq, "born": e.born.UnixMilli(),
	}
	if e.state == "draining" {
		entry["remaining-ms"] = 2000
	}
	e.cell.store.put("servers", e.id, entry)
}

// drain announces that the executor drains. It goes on serving.
func (e *executor) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	e.cell.log.printf("%s: drains", e.id)
}

// cutFromStore sets whether the executor cannot reach the store.
func (e *executor) cutFromStore(isCut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isCutFromStore = isCut
}

// clock is what the executor's clock shows, in milliseconds.
func (e *executor) clock(now time.Time) int64 {
	return now.Sub(e.born).Milliseconds()
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.handle(e.start))
	mux.HandleFunc("POST /api/run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /api/hold", e.handle(e.hold))
	return mux
}

func (e *executor) handle(do func(context.Context, order) (int, map[string]any)) http.HandlerFunc {
	born := e.born
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if r.Header.Get("Expected-Instance") != e.id {
			reply(w, http.StatusMisdirectedRequest, nil)
			return
		}
		status, body := do(r.Context(), o)
		body["clock-ms"], body["born"] = time.Since(born).Milliseconds(), born.UnixMilli()
		reply(w, status, body)
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit checks the fence and extends the lease. e.mu must be held.
func (e *executor) admit(o order) bool {
	if o.Fence < e.fence || !e.isUp {
		return false
	}
	e.fence = o.Fence
	now := time.Now()
	until := e.born.Add(time.Duration(o.Deadline) * time.Millisecond)
	if longest := now.Add(holdMax); until.After(longest) {
		e.cell.log.printf("%s: a deadline %v from now is shortened to %v", e.id, until.Sub(now).Round(time.Millisecond), holdMax)
		until = longest
	}
	if o.Deadline > 0 && until.After(e.lease) && until.After(now) {
		e.lease = until
		time.AfterFunc(time.Until(until), e.lapse)
	}
	return true
}

// lapse ends everything that runs if the lease has expired.
func (e *executor) lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.lease) || !e.isUp {
		return
	}
	e.cell.book.lapsed(e)
	for task := range e.running {
		e.endRun(task, "lapsed")
	}
}

func (e *executor) start(_ context.Context, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(o) {
		return refuse("fence")
	}
	if r, ok := e.running[o.Task]; ok && r.o.Run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= e.last[o.Task] {
		return refuse("old")
	}
	if !time.Now().Before(e.lease) {
		return refuse("late")
	}
	job, step, ok := e.cell.book.step(o.Task)
	if !ok {
		e.cell.log.printf("%s: start of %s, which nobody sent", e.id, o.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	r := &run{o: o, progress: progressOf(o.Saved)}
	e.running[o.Task] = r
	e.cell.book.started(e, o)
	if step.Gang {
		r.gang = e.cell.gangs.join(e, o, job, step)
	} else {
		e.work(r, job)
	}
	return http.StatusOK, map[string]any{}
}

// work begins the work of a run. e.mu must be held.
func (e *executor) work(r *run, job *job) {
	r.workedFrom = time.Now()
	took, how := job.outcome(r.o)
	if took > 0 {
		task, no := r.o.Task, r.o.Run
		r.timer = time.AfterFunc(max(time.Millisecond, took-r.progress), func() { e.endIf(task, no, how) })
	}
}

// endIf ends a run if it still runs and is not being stopped.
func (e *executor) endIf(task string, no uint64, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.running[task]; ok && r.o.Run == no && e.isUp {
		e.endRun(task, how)
	}
}

// endRun ends a run. e.mu must be held.
func (e *executor) endRun(task, how string) {
	r := e.running[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.running, task)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, task, r.o.Run, how, e.saved(r)})
	e.last[task] = max(e.last[task], r.o.Run)
	e.cell.book.endedAs(e, e.lastEnd, task, r.o.Run, how)
	if r.gang != nil {
		go r.gang.memberEnded(task, how)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stop(_ context.Context, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(o) {
		return refuse("fence")
	}
	e.last[o.Task] = max(e.last[o.Task], o.Run)
	if r, ok := e.running[o.Task]; ok && r.o.Run == o.Run && !r.isStopping {
		r.isStopping = true
		time.AfterFunc(stopTime, func() { e.endIf(o.Task, o.Run, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(ctx context.Context, o order) (int, map[string]any) {
	e.mu.Lock()
	if !e.admit(o) {
		e.mu.Unlock()
		return refuse("fence")
	}
	e.cell.book.noted(e, o.LastSeen)
	for len(e.ends) > 0 && e.ends[0].no <= o.LastSeen {
		e.ends = e.ends[1:]
	}
	if wait := min(2000, o.Wait); wait > 0 && len(e.ends) == 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.o.Task, r.o.Run, e.saved(r), 100, 0})
	}
	for _, d := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ends = append(ends, []any{d.no, d.task, d.run, d.how, d.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended-runs": ends}
}

// saved returns the progress that a run has saved, or "" if there is none.
func (e *executor) saved(r *run) string {
	_, step, ok := e.cell.book.step(r.o.Task)
	if !ok || !step.SavesProgress {
		return ""
	}
	worked := r.progress
	if from := r.workedFrom; !from.IsZero() {
		worked += time.Since(from)
	}
	units := worked / saveEvery
	if units == 0 {
		return r.o.Saved
	}
	return fmt.Sprintf("%08x%s", int(units), r.o.Task[:8])
}

// progressOf returns the progress that a saved value stands for.
func progressOf(saved string) time.Duration {
	if len(saved) < 8 {
		return 0
	}
	units, err := strconv.ParseInt(saved[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(units) * saveEvery
}

// stepName returns the step of a task, ID.K.STEP.
func stepName(task string) string {
	return task[:strings.LastIndex(task, ".")]
}

// gangs holds the gangs by step and run.
type gangs struct {
	mu    sync.Mutex
	byRun map[string]*gang
}

// gang holds the tasks of one run of a gang.
type gang struct {
	job  *job
	size int

	mu       sync.Mutex
	members  map[string]*executor
	run      uint64
	isWhole  bool
	hasEnded bool
}

// join adds a task to its gang. The mutex of the executor is held.
func (g *gangs) join(e *executor, o order, j *job, s step) *gang {
	g.mu.Lock()
	key := fmt.Sprintf("%s@%d", stepName(o.Task), o.Run)
	found, ok := g.byRun[key]
	if !ok {
		found = &gang{job: j, size: s.Count, run: o.Run, members: make(map[string]*executor)}
		g.byRun[key] = found
	}
	g.mu.Unlock()
	found.mu.Lock()
	defer found.mu.Unlock()
	found.members[o.Task] = e
	switch {
	case found.hasEnded:
		go e.endIf(o.Task, o.Run, "broken")
	case len(found.members) == found.size:
		found.isWhole = true
		go found.begin(o)
	default:
		time.AfterFunc(gangWait, func() { found.timeOut() })
	}
	return found
}

// begin lets all members work, and ends them together as done.
func (g *gang) begin(o order) {
	g.mu.Lock()
	members := g.list()
	g.mu.Unlock()
	for task, e := range members {
		e.mu.Lock()
		if r, ok := e.running[task]; ok && r.o.Run == g.run {
			r.workedFrom = time.Now()
		}
		e.mu.Unlock()
	}
	took, how := g.job.outcome(o)
	time.AfterFunc(max(time.Millisecond, took-progressOf(o.Saved)), func() { g.endAll(how) })
}

// list returns the members. g.mu must be held.
func (g *gang) list() map[string]*executor {
	out := make(map[string]*executor, len(g.members))
	for task, e := range g.members {
		out[task] = e
	}
	return out
}

func (g *gang) timeOut() {
	g.mu.Lock()
	isWhole := g.isWhole
	g.mu.Unlock()
	if !isWhole {
		g.endAll("alone")
	}
}

// memberEnded ends the other members as broken, unless all end as done.
func (g *gang) memberEnded(task, how string) {
	g.mu.Lock()
	delete(g.members, task)
	g.mu.Unlock()
	if how != "done" {
		g.endAll("broken")
	}
}

func (g *gang) endAll(how string) {
	g.mu.Lock()
	if g.hasEnded {
		g.mu.Unlock()
		return
	}
	g.hasEnded = true
	members := g.list()
	g.mu.Unlock()
	for task, e := range members {
		e.endIf(task, g.run, how)
	}
}
