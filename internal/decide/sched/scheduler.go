// Package sched decides on which worker each task of a plan starts. It holds the
// plans of a cell, the workers with the capacity in use, and the state of each
// attempt.
//
// # Usage
//
//	s := sched.NewScheduler(term, earlierLeasesExpire)
//	s.SetAccount(account, now) // workers then get leases once an account of s.Account is recorded
//	s.SetWorkers(entries, now)
//	s.SetTeams(configured) // before the first pass, and when the configuration changed
//	s.Add(plan, version, now)
//	d := s.Pass(now, reserve) // the chosen starts must not be sent yet
//	// write the states of s.Unrecorded(part, isAll, limit, now), then
//	starts := s.MarkRecorded(job, change, version, now) // starts to send
//	s.RecordStart(worker, run, err, now)
//	s.RecordReport(worker, report, poll, now)
//	s.Tick(now)
//	waits := s.LongRunningWaits(threshold, now) // at most once a second
//
// # Guarantees
//
// At most one attempt at a task runs at any time. A start is recorded before it
// is sent, so that a later owner of the cell knows every worker on which an
// attempt may run. An attempt whose start has an unknown outcome keeps its task
// and its capacity until one of these events: the attempt was stopped and a
// later report of the worker does not list it, the worker has started a new
// incarnation, or the lease has expired even on a clock that runs slow. The same
// holds for an attempt that the worker has confirmed, unless the worker lists its
// end; that the worker refuses connections, leaves or is no longer listed proves
// nothing. After an expired lease, a start without an answer may still arrive: the
// worker gets no new lease until it has answered a stop of that attempt. An end is
// acknowledged to the worker only after it was recorded.
//
// # Teams
//
// No start brings what may run for a team above its quota, except for one task of a team that
// has nothing running or uses less than half of it. Jobs beyond the rate of their team come
// after all others, and within a priority the teams share the capacity by weight.
// docs/design/quotas.md has the rules.
//
// Scheduler is not safe for concurrent use and reads no clock.
package sched

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Scheduler holds the plans and workers of one cell and decides where tasks
// start.
type Scheduler struct {
	// Handling is the job that the scheduler handles at the moment, or the last one.
	// After a panic it tells which job caused it. Callers may clear it.
	Handling hoist.JobID

	term hoist.Term
	jobs map[hoist.JobID]*Job
	// changed holds the jobs with unrecorded state, by part. lastTurn is the last turn of a job
	// to be recorded.
	changed  map[hoist.PartName]map[hoist.JobID]*Job
	lastTurn uint64
	workers  map[hoist.WorkerID]*Worker
	// Open bounds the tasks that the scheduler holds.
	Open OpenLimits
	open openTasks
	// superseded holds the attempts to stop at tasks that are done.
	superseded map[hoist.TaskRun]*Task
	speeds     speeds
	teams      teams
	fair       fairness
	// firstSession is the first session of workers that are added. isOutOfTokens is set once
	// the term has no token for another session of a worker.
	firstSession  session
	isOutOfTokens bool
	// earlierLeasesExpire is when all leases granted by earlier owners have
	// expired. Recovered attempts on workers that stay unreachable are
	// considered ended from then on.
	earlierLeasesExpire time.Time
	// account is the state of the lease account; it is nil if none is recorded.
	account *account
	// earlierConfirmed holds attempts that the previous owner has told to be confirmed, with their
	// workers.
	earlierConfirmed map[hoist.TaskRun]hoist.WorkerID
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxReportedEnds is the most ends that a worker lists in one report.
	MaxReportedEnds int
	// StateSize returns the size of the encoding of a state with all steps in the short form,
	// and MaxState the most that may be recorded, in bytes. Without StateSize, every state
	// fits.
	StateSize func(hoist.PlanState) int
	MaxState  int
	// sizes holds the result of measureSizes once it is needed.
	sizes stateSizes
	// longestName and nameBytes are the longest and the total length of the ids of the workers.
	longestName, nameBytes int
	// withdrawn holds the jobs that are quarantined while attempts of them may still run.
	withdrawn map[hoist.JobID]*Job
	// RemoteFactor is how many times longer a task runs when it is remote from its
	// data.
	RemoteFactor float64
	// MaxNearWait is the longest time that a step waits for a near placement while there
	// is room elsewhere. 0 makes all steps take the best free placement at once.
	MaxNearWait time.Duration
	// registryReadAt is when the registry of workers was first read.
	// isPlacementEnabled is set once most of its workers have reported, or the
	// wait for them is over.
	registryReadAt     time.Time
	isPlacementEnabled bool
	// reserved holds the tasks with a reservation, which counts as used on its worker.
	reserved map[*Task]bool
	// stopping holds the tasks whose phase is Stopping, and orphaned the workers with
	// orphans.
	stopping map[*Task]bool
	orphaned map[hoist.WorkerID]*Worker
	// doubted holds the workers with doubts, which were last checked for old ones at
	// doubtsCheckedAt.
	doubted         map[hoist.WorkerID]*Worker
	doubtsCheckedAt time.Time
	// presumedEnds holds the presumed ends that TakePresumedEnds has not returned yet.
	presumedEnds []PresumedEnd
	// restarts holds the restarts that TakeRestarts has not returned yet.
	restarts  []Restart
	lateSigns lateSigns
	// leasesCheckedAt is when the leases of all workers were last checked.
	leasesCheckedAt time.Time
	// orders sorts the workers of each service.
	orders     map[hoist.ServiceName]*workerOrder
	localities localities
	// usable, maxFree and shortestRefused are valid during one pass, which passNo
	// numbers and which runs at passAt. usable lists the workers that may take tasks,
	// maxFree is the most of each resource that any of them has free, and
	// shortestRefused is the shortest request for advice that no host was free to send.
	passNo uint64
	passAt time.Time
	usable []*Worker
	// backedOff lists the workers that may not take tasks in this pass because they are backed
	// off, except those of a step for which usesBackedOff is set.
	backedOff     []*Worker
	usesBackedOff bool
	// placesReruns is set while only long-running tasks that have to run again are placed.
	placesReruns    bool
	maxFree         hoist.Resources
	shortestRefused time.Duration
}

// NewScheduler returns an empty scheduler for the owner of the cell in the
// given term. At earlierLeasesExpire, all leases that earlier owners granted
// have expired.
func NewScheduler(term hoist.Term, earlierLeasesExpire time.Time) *Scheduler {
	return &Scheduler{
		term: term, earlierLeasesExpire: earlierLeasesExpire, RemoteFactor: 2, MaxNearWait: DefaultMaxNearWait, MaxLease: hoist.MaxLease, MaxReportedEnds: hoist.MaxReportedEnds,
		Open: DefaultOpenLimits, open: openTasks{beginnable: maxBegunPerTick},
		jobs:    make(map[hoist.JobID]*Job),
		changed: make(map[hoist.PartName]map[hoist.JobID]*Job),
		workers: make(map[hoist.WorkerID]*Worker),

		superseded: make(map[hoist.TaskRun]*Task),
		stopping:   make(map[*Task]bool),
		reserved:   make(map[*Task]bool),

		earlierConfirmed: make(map[hoist.TaskRun]hoist.WorkerID),
		orphaned:         make(map[hoist.WorkerID]*Worker),
		doubted:          make(map[hoist.WorkerID]*Worker),
		withdrawn:        make(map[hoist.JobID]*Job),
		orders:           make(map[hoist.ServiceName]*workerOrder),
		localities:       newLocalities(),
		speeds:           newSpeeds(),
		teams:            teams{byID: make(map[hoist.TeamID]*team), unsettled: make(map[*team]bool)},
	}
}

// Job returns a job that has not been removed by Remove.
func (sc *Scheduler) Job(id hoist.JobID) (*Job, bool) {
	j, ok := sc.jobs[id]
	return j, ok
}

// NumJobs returns the number of jobs.
func (sc *Scheduler) NumJobs() int {
	return len(sc.jobs)
}

// Waiting returns the number of accepted jobs of each queue that have not
// begun.
func (sc *Scheduler) Waiting() map[hoist.QueueName]int {
	counts := make(map[hoist.QueueName]int)
	for _, j := range sc.jobs {
		if j.Phase == hoist.PlanQueued {
			counts[j.Plan.Queue.Name]++
		}
	}
	return counts
}

// Add adds an accepted plan that has not begun, whose state is in a row of the
// given version. If the plan is known already, Add changes nothing and returns
// its job.
func (sc *Scheduler) Add(p hoist.Plan, version hoist.RowVersion, now time.Time) *Job {
	if j, ok := sc.jobs[p.ID]; ok {
		return j
	}
	sc.Handling = p.ID
	j := sc.newJob(p, version)
	sc.jobs[p.ID] = j
	sc.beginOccurrences(j, now)
	return j
}

// newJob returns a job that has not begun and that the scheduler does not hold yet.
func (sc *Scheduler) newJob(p hoist.Plan, version hoist.RowVersion) *Job {
	j := &Job{
		Plan: p, Phase: hoist.PlanQueued, Version: version,
		steps:           make(map[stepKey]*StepTasks),
		unfinishedSteps: make(map[hoist.Occurrence]int), changed: sc.changed[p.Part], lastTurn: &sc.lastTurn,
		hasLongRunning: slices.ContainsFunc(p.Steps, func(s hoist.Step) bool { return s.IsLongRunning }),
	}
	if j.changed == nil {
		j.changed = make(map[hoist.JobID]*Job)
		sc.changed[p.Part] = j.changed
	}
	sc.addToTeam(j)
	chain := longestChainTime(p.Steps)
	j.objective = hoist.AddDuration(p.Queue.Latency, hoist.DurationOf(p.Queue.Stretch, chain))
	j.updateDue()
	return j
}

// longestChainTime returns the longest total of the declared run times along a
// chain of dependent steps.
func longestChainTime(steps []hoist.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, earlier := range s.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Cancel cancels a job: none of its tasks starts any more, and those that run
// are stopped. It reports whether the job was known and not yet in a final
// phase.
func (sc *Scheduler) Cancel(id hoist.JobID, now time.Time) bool {
	j, ok := sc.jobs[id]
	if !ok || j.Phase.IsFinal() {
		return false
	}
	sc.finish(j, hoist.PlanCancelled, now)
	return true
}

// finish puts a job into a final phase and ends all its attempts.
func (sc *Scheduler) finish(j *Job, phase hoist.PlanPhase, now time.Time) {
	j.Phase = phase
	j.Ended = now
	j.markUrgent()
	for _, s := range j.steps {
		for _, t := range s.Tasks {
			sc.endAttempt(t, now)
		}
	}
}

// endAttempt ends the current attempt at a task. A start that was not sent is
// withdrawn; an attempt that may run is marked to be stopped.
func (sc *Scheduler) endAttempt(t *Task, now time.Time) {
	switch t.Phase {
	case Recording:
		sc.requeue(t, now)
	case Running, Recovered, Starting:
		t.Phase = Stopping
		t.stop = stopState{}
		sc.stopping[t] = true
	default:
	}
}

// task finds a task by its reference.
func (sc *Scheduler) task(ref hoist.TaskRef) (*Task, bool) {
	j, ok := sc.jobs[ref.Job]
	if !ok {
		return nil, false
	}
	s, ok := j.steps[stepKey{ref.Occurrence, ref.Step}]
	if !ok || ref.Index < 0 || ref.Index >= len(s.Tasks) {
		return nil, false
	}
	return s.Tasks[ref.Index], true
}

// place assigns a waiting task to a worker and reserves the capacity that an
// attempt at it needs.
func (sc *Scheduler) place(t *Task, w *Worker, attempt hoist.AttemptNo, phase Phase, now time.Time) {
	t.Phase, t.Worker, t.Attempt, t.phaseSince = phase, w, attempt, now
	t.isRecovered = phase == Recovered
	t.hasRun = true
	t.isConfirmed, t.isStartInDoubt, t.isDespiteBackoff = false, false, false
	t.stop = stopState{}
	t.StepTasks.waiting--
	t.StepTasks.Job.placed++
	w.tasks[t] = true
	w.used = w.used.Add(demand(t.StepTasks.Step))
	t.StepTasks.charge()
	t.setArriving(true)
}

// requeue makes a placed task wait again. The caller ensures that the attempt
// does not run. A superseded attempt is removed instead, as its task is done.
func (sc *Scheduler) requeue(t *Task, now time.Time) {
	sc.freeCapacity(t)
	if t.isSuperseded {
		delete(sc.superseded, t.Run())
		t.StepTasks.Job.markChanged()
		return
	}
	t.Phase = Waiting
	t.phaseSince = now
	t.StepTasks.waiting++
	t.StepTasks.Job.markChanged()
}

// freeCapacity releases the capacity that a placed task holds on its worker.
func (sc *Scheduler) freeCapacity(t *Task) {
	delete(sc.stopping, t)
	if t.Worker != nil {
		delete(t.Worker.tasks, t)
		t.Worker.used = t.Worker.used.Sub(demand(t.StepTasks.Step))
	}
	t.Worker = nil
	t.StepTasks.Job.placed--
	t.StepTasks.refund()
	t.setArriving(false)
}

// demand returns what a task counts against the capacity of a worker. A
// best-effort task counts no CPU, as it uses only what others leave.
func demand(s *hoist.Step) hoist.Resources {
	need := s.Need
	if s.IsBestEffort {
		need.CPU = 0
	}
	return need
}

// newAttempt returns the number of the next attempt of a job.
func (sc *Scheduler) newAttempt(j *Job) hoist.AttemptNo {
	j.lastAttempt++
	return hoist.AttemptNo(sc.term-1)<<attemptBits + j.lastAttempt
}

// supersede detaches a task from its current attempt. The attempt may still
// run and holds its capacity until it has certainly ended.
func (sc *Scheduler) supersede(t *Task) {
	old := &Task{
		StepTasks: t.StepTasks, Index: t.Index, Phase: Stopping, Attempt: t.Attempt, Worker: t.Worker, phaseSince: t.phaseSince, isSuperseded: true,
		isStartInDoubt: t.isStartInDoubt, isArriving: t.isArriving, isRecovered: t.isRecovered, isConfirmed: t.isConfirmed,
	}
	t.isArriving = false
	delete(t.Worker.tasks, t)
	delete(sc.stopping, t)
	t.Worker.tasks[old] = true
	t.Worker = nil
	sc.superseded[old.Run()] = old
	sc.stopping[old] = true
}

// complete records that a task succeeded in the given attempt, which need not
// be the current one. Another attempt that may run is stopped.
func (sc *Scheduler) complete(t *Task, attempt hoist.AttemptNo, now time.Time) {
	if t.Phase == Done {
		return
	}
	switch {
	case !t.IsPlaced():
		t.StepTasks.waiting--
	case t.Attempt == attempt || t.Phase == Recording:
		sc.freeCapacity(t)
	default:
		sc.supersede(t)
	}
	t.Phase = Done
	s, j := t.StepTasks, t.StepTasks.Job
	s.unfinished--
	j.markChanged()
	if s.unfinished > 0 {
		return
	}
	j.markUrgent()
	j.unfinishedSteps[s.Occurrence]--
	if j.unfinishedSteps[s.Occurrence] == 0 {
		sc.endOccurrence(j, s.Occurrence, now)
	}
}

// Remove removes a job whose final state is recorded and of which nothing
// runs.
func (sc *Scheduler) Remove(id hoist.JobID) {
	if j, ok := sc.jobs[id]; ok {
		sc.open.tasks -= j.numOpenTasks()
		delete(j.changed, id)
	}
	delete(sc.jobs, id)
}
