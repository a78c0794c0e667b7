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
	"fuchsiahoist.example/hoist/internal/decide/rate"
)

// Phase is the scheduling state of a task.
type Phase uint8

// The phases of a task.
const (
	// Waiting tasks run on no worker and may be placed.
	Waiting Phase = iota
	// Recording tasks have a worker, but their start is not recorded yet.
	Recording
	// Starting tasks have a recorded start whose outcome is not known yet.
	Starting
	// Recovered tasks were started by an earlier owner according to the recorded
	// state. No report has confirmed them yet.
	Recovered
	Running
	// Stopping tasks must be stopped; they may or may not run.
	Stopping
	Done
)

// attemptBits is the number of low bits of an attempt number that count
// attempts within one term. The term is in the bits above, so that attempts of
// a later owner always have higher numbers.
const attemptBits = 20

// Task is one task of a plan.
type Task struct {
	StepTasks *StepTasks
	Index     int
	Phase     Phase
	Attempt   hoist.AttemptNo
	Worker    *Worker
	Saved     hoist.Checkpoint
	// Failed lists the attempts that ended with a failure, in order; it is empty for
	// long-running tasks. earlierFailures counts further ones before those.
	Failed          []hoist.AttemptNo
	earlierFailures int

	// phaseSince is when the task entered its phase.
	phaseSince time.Time
	// notBefore is the earliest time of the next start after a failure.
	notBefore time.Time
	// change is the change of the job's state that contains the start.
	change      uint64
	ticket      ticket
	stop        stopState
	measurement float64
	// isStartInDoubt is set from the start of an attempt until the worker has confirmed
	// it: the start may arrive late.
	isStartInDoubt bool
	// isArriving is set from the placement of an attempt until its start has certainly
	// arrived, also if an earlier owner sent it. Use setArriving.
	isArriving bool
	// isRecovered is set for an attempt that an earlier owner started, and isConfirmed once
	// the worker has confirmed the attempt in an incarnation that the lease account lists.
	isRecovered, isConfirmed bool
	// isDespiteBackoff is set for an attempt that was placed on a worker while that was backed
	// off.
	isDespiteBackoff bool
	// failedWorkers are the workers that the task failed on.
	failedWorkers []hoist.WorkerID
	// isSuperseded is set for an attempt that must be stopped because an earlier
	// one turned out to have succeeded. This Task value then represents only the
	// attempt; the task itself is done.
	isSuperseded bool
	// ranAt is when the task was last known to run, this owner recovered it, or
	// LongRunningWaits first found that it may start.
	ranAt time.Time
}

// stopState is the progress of stopping an attempt.
type stopState struct {
	sentAt     time.Time
	isInFlight bool
	// isStale is set if the worker has restarted since the stop in flight was sent: its
	// answer may be of the earlier incarnation.
	isStale    bool
	answeredAt time.Time
}

// afterRestart returns the progress once the worker has restarted: it remembers no stop.
func (s stopState) afterRestart() stopState {
	return stopState{isInFlight: s.isInFlight, isStale: s.isInFlight}
}

// Ref identifies the task.
func (t *Task) Ref() hoist.TaskRef {
	return hoist.TaskRef{StepRef: t.StepTasks.Ref(), Index: t.Index}
}

// Run identifies the current attempt at the task.
func (t *Task) Run() hoist.TaskRun {
	return hoist.TaskRun{Task: t.Ref(), Attempt: t.Attempt}
}

// IsPlaced reports whether the task holds capacity on a worker.
func (t *Task) IsPlaced() bool {
	return t.Phase != Waiting && t.Phase != Done
}

// StepTasks holds the tasks of one step in one occurrence of a plan.
type StepTasks struct {
	Job        *Job
	Occurrence hoist.Occurrence
	No         hoist.StepNo
	Step       *hoist.Step
	Tasks      []*Task
	// unfinished counts the tasks that are not done, and waiting those that wait.
	unfinished int
	waiting    int
	// saved is the newest checkpoint of a gang.
	saved  hoist.Checkpoint
	advice adviceState
	near   nearWait
}

// Ref identifies the occurrence of the step.
func (s *StepTasks) Ref() hoist.StepRef {
	return hoist.StepRef{Job: s.Job.Plan.ID, Occurrence: s.Occurrence, Step: s.No}
}

// IsDone reports whether all tasks have succeeded.
func (s *StepTasks) IsDone() bool {
	return s.unfinished == 0
}

// failedAttempts counts the failed attempts at a task. For a gang it counts
// the attempts in which any of its tasks failed.
func (s *StepTasks) failedAttempts(t *Task) int {
	if !s.Step.IsGang {
		return len(t.Failed) + t.earlierFailures
	}
	attempts := make(map[hoist.AttemptNo]bool)
	for _, member := range s.Tasks {
		for _, a := range member.Failed {
			attempts[a] = true
		}
	}
	return len(attempts)
}

// Job is an accepted plan with its state.
type Job struct {
	Plan  hoist.Plan
	Phase hoist.PlanPhase
	// Version is the version of the row that holds the job's state.
	Version hoist.RowVersion
	// Ended is when the job reached its final phase.
	Ended time.Time

	// team is the team that the job is charged to, and rate the place of the job in the
	// rate of the team. Both are nil if there is none.
	team *team
	rate *rate.Entry
	// leastNeed is the least that any task of a job with a team needs of each resource.
	leastNeed hoist.Resources
	steps     map[stepKey]*StepTasks
	// nextOccurrence is the first occurrence that has not begun. unfinishedSteps
	// holds, for each occurrence that has begun and not ended, how many of its
	// steps are not done.
	nextOccurrence  hoist.Occurrence
	unfinishedSteps map[hoist.Occurrence]int
	// placed counts the attempts that hold capacity on a worker.
	placed      int
	lastAttempt hoist.AttemptNo
	// objective is how long after it was accepted, or after an occurrence was due,
	// the job should be done. due is when that is for the oldest occurrence that is
	// not done. After deprioritiseAt, finishing the job is of no more use, and it is
	// scheduled after all others of its priority.
	objective      time.Duration
	due            time.Time
	deprioritiseAt time.Time
	// hasLongRunning is set if any step is long-running.
	hasLongRunning bool
	// awaitsLongRunning holds the result of hasWaitingLongRunning while jobs are put in order.
	awaitsLongRunning bool
	// rests holds the result of restTimes once it is needed.
	rests []time.Duration
	// change counts the changes of the state. Changes up to recordedChange are
	// in the store.
	change, recordedChange uint64
	// urgentChange is the last change that must be recorded at once because a
	// start or the end of a step waits for it. Other ends need no hurry: workers
	// list them until they are acknowledged.
	urgentChange uint64
	// recordNotBefore is the earliest time to record the state again, after the store
	// has refused it.
	recordNotBefore time.Time
	// size is that of the encoded state, and essentialSize without checkpoints, at sizedChange
	// in the pass sizedPass, when sizedPlaced attempts were placed. They are valid if isSized
	// is set.
	size, essentialSize, sizedPlaced int
	sizedChange, sizedPass           uint64
	isSized                          bool
	// isWithdrawn is set once the job is quarantined: nothing of it is recorded any more.
	isWithdrawn bool
	// changed is the scheduler's map of jobs with unrecorded state in the same part. turn orders
	// them, and lastTurn is the scheduler's last one.
	changed  map[hoist.JobID]*Job
	turn     uint64
	lastTurn *uint64
}

type stepKey struct {
	occurrence hoist.Occurrence
	step       hoist.StepNo
}

// markChanged marks the state of the job as different from what is recorded.
func (j *Job) markChanged() {
	if j.isWithdrawn {
		return
	}
	j.change++
	if _, ok := j.changed[j.Plan.ID]; !ok {
		j.takeTurn()
	}
}

// takeTurn puts the job behind the others of its part whose state must be recorded.
func (j *Job) takeTurn() {
	*j.lastTurn++
	j.turn = *j.lastTurn
	j.changed[j.Plan.ID] = j
}

// markUrgent marks a change that must be recorded at once.
func (j *Job) markUrgent() {
	j.markChanged()
	j.urgentChange = j.change
}

// HasEnded reports whether the job is in a final phase and none of its
// attempts may still run.
func (j *Job) HasEnded() bool {
	return j.Phase.IsFinal() && j.placed == 0
}

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
	backedOff       []*Worker
	usesBackedOff   bool
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
		orphaned:   make(map[hoist.WorkerID]*Worker),
		doubted:    make(map[hoist.WorkerID]*Worker),
		withdrawn:  make(map[hoist.JobID]*Job),
		orders:     make(map[hoist.ServiceName]*workerOrder),
		localities: newLocalities(),
		speeds:     newSpeeds(),
		teams:      teams{byID: make(map[hoist.TeamID]*team), unsettled: make(map[*team]bool)},
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
