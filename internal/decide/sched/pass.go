package sched

import (
	"cmp"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// stopRetry is when an unanswered stop is sent again.
	stopRetry = 400 * time.Millisecond
	// failurePause is how long a task waits after a failure.
	failurePause = 50 * time.Millisecond
	// otherWorker is how long a task that failed on a worker waits for another
	// one.
	otherWorker = time.Second
	// askAhead is how long before the likely end of a step the adviser is asked
	// about the next one, besides the time of the answer.
	askAhead = 100 * time.Millisecond
	// surveyShare is the share of the workers that a new owner sees before it
	// places anything, and surveyTime the longest wait for them.
	surveyShare = 0.9
	surveyTime  = 400 * time.Millisecond
)

// Stop is an attempt to end on a worker.
type Stop struct {
	Worker hoist.WorkerID
	Run    hoist.TaskRun
}

// Decisions is what a pass found to be due. The starts that it chose are in the
// states of the jobs, to be recorded before they are sent.
type Decisions struct {
	AdviceRequests []AdviceRequest
	Stops          []Stop
}

// Reserve takes time for a question from a host that can put it. It reports
// false if none is free.
type Reserve func(need time.Duration, now time.Time) (hoist.HostID, bool)

// Pass chooses workers for the tasks that wait. The questions to advisers that
// no host is free for are left to a later pass.
func (b *Scheduler) Pass(now time.Time, reserve Reserve) Decisions {
	var d Decisions
	d.Stops = b.stops(now)
	if !b.isSurveyed(now) {
		return d
	}
	b.survey(now)
	reserve = b.once(reserve)
	for _, j := range b.due(now) {
		for _, s := range j.ready() {
			b.placeSet(s, now)
			if s.waiting > 0 && j.Plan.Queue.Advice.IsUsed() {
				if ask, ok := b.ask(s, false, reserve, now); ok {
					d.AdviceRequests = append(d.AdviceRequests, ask)
				}
			}
		}
		d.AdviceRequests = append(d.AdviceRequests, b.asksAhead(j, reserve, now)...)
	}
	return d
}

// isSurveyed reports whether a new owner has seen most workers, or has waited
// long enough for the others. Before, tasks would be placed on the few workers
// that answered first, and advisers asked about no others.
func (b *Scheduler) isSurveyed(now time.Time) bool {
	if b.isOpen {
		return true
	}
	listed, seen := 0, 0
	for _, w := range b.workers {
		if w.isListed {
			listed++
		}
		if w.isListed && w.isSeen {
			seen++
		}
	}
	isMost := listed > 0 && float64(seen) >= surveyShare*float64(listed)
	b.isOpen = isMost || (!b.listedAt.IsZero() && now.Sub(b.listedAt) >= surveyTime)
	return b.isOpen
}

// survey lists the workers that may take tasks in this pass, and the most that
// any of them has free of each resource.
func (b *Scheduler) survey(now time.Time) {
	b.open, b.mostFree = b.open[:0], hoist.Resources{}
	for _, w := range b.workers {
		if !w.isUsable(now) {
			continue
		}
		b.open = append(b.open, w)
		free := w.free()
		b.mostFree.CPU = max(b.mostFree.CPU, free.CPU)
		b.mostFree.Memory = max(b.mostFree.Memory, free.Memory)
		b.mostFree.Accel = max(b.mostFree.Accel, free.Accel)
	}
}

// once returns a Reserve that does not try a question again in the same pass
// that takes as long as one that no host was free for.
func (b *Scheduler) once(reserve Reserve) Reserve {
	b.refused = maxDuration
	return func(need time.Duration, now time.Time) (hoist.HostID, bool) {
		if need >= b.refused {
			return "", false
		}
		host, ok := reserve(need, now)
		if !ok {
			b.refused = need
		}
		return host, ok
	}
}

// maxDuration is longer than any question takes.
const maxDuration = time.Duration(1<<63 - 1)

// due returns the jobs that may have tasks to place, in the order in which they
// are served: by priority; then those that can meet their objective before
// those that are late; then by the time of the objective.
func (b *Scheduler) due(now time.Time) []*Job {
	var out []*Job
	for _, j := range b.jobs {
		if !j.Phase.IsFinal() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(x, y *Job) int {
		return cmp.Or(
			-cmp.Compare(x.Plan.Queue.Priority, y.Plan.Queue.Priority),
			cmp.Compare(x.lateness(now), y.lateness(now)),
			x.due.Compare(y.due),
			cmp.Compare(x.Plan.ID, y.Plan.ID),
		)
	})
	return out
}

// lateness is 0 before the objective of the job, 1 while it is late, and 2 when
// being served is of no more use.
func (j *Job) lateness(now time.Time) int {
	switch {
	case now.Before(j.due):
		return 0
	case now.Before(j.gaveUp):
		return 1
	default:
		return 2
	}
}

// ready returns the sets with waiting tasks whose earlier steps are done.
func (j *Job) ready() []*StepTasks {
	var out []*StepTasks
	for _, s := range j.sets {
		if s.waiting > 0 && j.mayBegin(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y *StepTasks) int {
		return cmp.Or(cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.No, y.No))
	})
	return out
}

// mayBegin reports whether all earlier steps of a set are done.
func (j *Job) mayBegin(s *StepTasks) bool {
	for _, before := range s.Step.After {
		if !j.sets[setKey{s.Occurrence, before}].IsDone() {
			return false
		}
	}
	return true
}

// placeSet chooses workers for the waiting tasks of a set.
func (b *Scheduler) placeSet(s *StepTasks, now time.Time) {
	workers := b.candidates(s, now)
	if len(workers) == 0 {
		return
	}
	if s.Step.IsGang {
		b.placeGang(s, workers, now)
		return
	}
	at := 0
	for _, t := range s.Tasks {
		if t.Phase != Waiting || now.Before(t.notBefore) {
			continue
		}
		for at < len(workers) && !b.fits(s, workers[at]) {
			at++
		}
		if at == len(workers) {
			return
		}
		w := workers[at]
		if slices.Contains(t.failedOn, w.entry.Worker) {
			other := b.another(t, workers[at+1:])
			if other == nil && now.Sub(t.since) < otherWorker {
				continue
			}
			if other != nil {
				w = other
			}
		}
		b.choose(t, w, b.newAttempt(s.Job), now)
	}
}

// another returns the first worker with room that a task did not fail on, or nil.
func (b *Scheduler) another(t *Task, workers []*Worker) *Worker {
	for _, w := range workers {
		if b.fits(t.Set, w) && !slices.Contains(t.failedOn, w.entry.Worker) {
			return w
		}
	}
	return nil
}

// choose places a task; its start is sent once it is recorded.
func (b *Scheduler) choose(t *Task, w *Worker, attempt hoist.AttemptNo, now time.Time) {
	b.place(t, w, attempt, Recording, now)
	t.ticket = t.Set.advice.tickets[w.entry.Worker]
	j := t.Set.Job
	j.touchNow()
	t.change = j.change
}

// candidates returns the workers that may run tasks of a set and have room for
// one, best first.
func (b *Scheduler) candidates(s *StepTasks, now time.Time) []*Worker {
	type ranked struct {
		w    *Worker
		rank float64
	}
	if !demand(s.Step).Fits(b.mostFree) {
		return nil
	}
	var list []ranked
	for _, w := range b.open {
		if s.mayRun(w, now) && b.fits(s, w) && b.isCandidate(s, w) {
			list = append(list, ranked{w, b.rank(s, w)})
		}
	}
	slices.SortFunc(list, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.w.entry.Worker, y.w.entry.Worker))
	})
	out := make([]*Worker, len(list))
	for i, r := range list {
		out[i] = r.w
	}
	return out
}

// fits reports whether the worker has room for one more task of a set.
func (b *Scheduler) fits(s *StepTasks, w *Worker) bool {
	if !demand(s.Step).Fits(w.free()) {
		return false
	}
	return s.Step.MaxPerWorker == 0 || s.on(w) < s.Step.MaxPerWorker
}

// on counts the tasks of a set on a worker.
func (s *StepTasks) on(w *Worker) int {
	n := 0
	for t := range w.tasks {
		if t.Set == s {
			n++
		}
	}
	return n
}

// placeGang chooses workers for all tasks of a gang, or for none.
func (b *Scheduler) placeGang(s *StepTasks, workers []*Worker, now time.Time) {
	if s.waiting != len(s.Tasks) || now.Before(s.Tasks[0].notBefore) {
		return
	}
	attempt := b.newAttempt(s.Job)
	if s.Step.IsSameRack {
		for _, rack := range racks(workers) {
			if b.placeAll(s, rack, attempt, now) {
				return
			}
		}
	}
	b.placeAll(s, workers, attempt, now)
}

// racks groups workers by rack, the group of the best worker first.
func racks(workers []*Worker) [][]*Worker {
	var order []hoist.RackID
	groups := make(map[hoist.RackID][]*Worker)
	for _, w := range workers {
		if _, ok := groups[w.entry.Rack]; !ok {
			order = append(order, w.entry.Rack)
		}
		groups[w.entry.Rack] = append(groups[w.entry.Rack], w)
	}
	out := make([][]*Worker, 0, len(order))
	for _, rack := range order {
		out = append(out, groups[rack])
	}
	return out
}

// placeAll places all tasks of a gang on the given workers, or none of them.
func (b *Scheduler) placeAll(s *StepTasks, workers []*Worker, attempt hoist.AttemptNo, now time.Time) bool {
	at := 0
	for i, t := range s.Tasks {
		for at < len(workers) && !b.fits(s, workers[at]) {
			at++
		}
		if at == len(workers) {
			for _, placed := range s.Tasks[:i] {
				b.release(placed, now)
			}
			return false
		}
		b.choose(t, workers[at], attempt, now)
		t.Saved = s.saved
	}
	return true
}

// asksAhead asks the adviser about sets whose earlier steps end soon.
func (b *Scheduler) asksAhead(j *Job, reserve Reserve, now time.Time) []AdviceRequest {
	terms := j.Plan.Queue.Advice
	if !terms.IsUsed() || len(j.Plan.Steps) == 1 {
		return nil
	}
	var out []AdviceRequest
	for _, s := range j.sets {
		if s.waiting == 0 || len(s.advice.isGood) > 0 || j.mayBegin(s) {
			continue
		}
		const likelyAsked = 20
		lead := terms.Base + likelyAsked*terms.PerWorker + askAhead
		if b.remaining(j, s, now) > lead {
			continue
		}
		if ask, ok := b.ask(s, true, reserve, now); ok {
			out = append(out, ask)
		}
	}
	return out
}

// remaining estimates the time until the earlier steps of a set are done.
func (b *Scheduler) remaining(j *Job, s *StepTasks, now time.Time) time.Duration {
	var longest time.Duration
	for _, no := range s.Step.After {
		before := j.sets[setKey{s.Occurrence, no}]
		if before.IsDone() {
			continue
		}
		if before.waiting > 0 || !j.mayBegin(before) {
			return time.Hour
		}
		for _, t := range before.Tasks {
			if t.IsPlaced() && t.Worker != nil {
				longest = max(longest, b.expected(before, t.Worker)-now.Sub(t.since))
			}
		}
	}
	return longest
}

// stops returns the stops to send now.
func (b *Scheduler) stops(now time.Time) []Stop {
	var out []Stop
	for id, w := range b.workers {
		for t := range w.tasks {
			if t.Phase != Stopping || t.stop.isBusy || now.Sub(t.stop.sent) < stopRetry {
				continue
			}
			t.stop.sent = now
			t.stop.isBusy = true
			out = append(out, Stop{id, t.Run()})
		}
		// The next view tells whether the strays are gone.
		for run, sent := range w.strays {
			if now.Sub(sent) >= stopRetry {
				w.strays[run] = now
				out = append(out, Stop{id, run})
			}
		}
	}
	slices.SortFunc(out, func(x, y Stop) int {
		return cmp.Or(cmp.Compare(x.Worker, y.Worker), compareRuns(x.Run, y.Run))
	})
	return out
}

// compareRuns orders attempts by task.
func compareRuns(x, y hoist.TaskRun) int {
	a, b := x.Task, y.Task
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(x.Attempt, y.Attempt),
	)
}

// Start is a recorded start to send.
type Start struct {
	Worker  hoist.WorkerID
	Run     hoist.TaskRun
	Payload string
	Saved   hoist.Checkpoint
	Ticket  hoist.Ticket
}

// Recorded notes that the state of a job up to a change is in the store, in a
// row of the given version. It returns the starts that may be sent now.
func (b *Scheduler) Recorded(id hoist.JobID, change uint64, version hoist.RowVersion, now time.Time) []Start {
	j, ok := b.jobs[id]
	if !ok {
		return nil
	}
	j.Version = version
	j.recorded = max(j.recorded, change)
	if j.recorded == j.change {
		delete(b.changed, id)
	}
	var out []Start
	for _, s := range j.ordered() {
		for _, t := range s.Tasks {
			if t.Phase != Recording || t.change > j.recorded {
				continue
			}
			if start, ok := b.send(t, now); ok {
				out = append(out, start)
			}
		}
	}
	return out
}

// send turns a recorded task into a start, unless the worker must not get it
// any more.
func (b *Scheduler) send(t *Task, now time.Time) (Start, bool) {
	w := t.Worker
	isExpired := t.ticket.value != "" && !now.Before(t.ticket.until)
	if w.entry.IsLeaving || !w.isListed || !w.isSeen || isExpired {
		set := t.Set
		b.release(t, now)
		b.settleGang(set, now)
		return Start{}, false
	}
	t.Phase = Sending
	t.since = now
	return Start{
		Worker: w.entry.Worker, Run: t.Run(), Payload: t.Set.Job.Plan.Payload, Saved: t.Saved, Ticket: t.ticket.value,
	}, true
}
