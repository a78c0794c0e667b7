package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/rate"
)

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
