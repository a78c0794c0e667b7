package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// UnrecordedState is a job state that must be written to the store.
type UnrecordedState struct {
	Job     hoist.JobID
	Part    hoist.PartName
	Version hoist.RowVersion
	Change  uint64
	State   hoist.PlanState
	// HasEnded tells that the job is in a final phase and none of its attempts
	// may still run.
	HasEnded bool
	// OmittedCheckpoints is how many checkpoints are not in the state, as it would not fit.
	OmittedCheckpoints int
}

// Unrecorded returns the states to write, of at most limit jobs in the given
// part: those whose turn it is, in the order of their ids. It returns none if no start
// and no end of a step waits for any of them, unless isAll is set.
func (sc *Scheduler) Unrecorded(part hoist.PartName, isAll bool, limit int, now time.Time) []UnrecordedState {
	var changed []*Job
	isDue := isAll
	for _, j := range sc.changed[part] {
		if !now.Before(j.recordNotBefore) {
			changed = append(changed, j)
			isDue = isDue || j.urgentChange > j.recordedChange
		}
	}
	if !isDue {
		return nil
	}
	if len(changed) > limit {
		slices.SortFunc(changed, func(x, y *Job) int { return cmp.Compare(x.turn, y.turn) })
		changed = changed[:limit]
	}
	slices.SortFunc(changed, func(x, y *Job) int { return cmp.Compare(x.Plan.ID, y.Plan.ID) })
	out := make([]UnrecordedState, 0, len(changed))
	for _, j := range changed {
		sc.Handling = j.Plan.ID
		state, omitted := sc.fittingState(j)
		out = append(out, UnrecordedState{j.Plan.ID, j.Plan.Part, j.Version, j.change, state, j.HasEnded(), omitted})
	}
	return out
}

// HasUrgent reports whether a start or the end of a step waits until a state of a part
// is recorded.
func (sc *Scheduler) HasUrgent(part hoist.PartName) bool {
	for _, j := range sc.changed[part] {
		if j.urgentChange > j.recordedChange {
			return true
		}
	}
	return false
}

// DeferRecording makes Unrecorded leave out a job until the given time, so that a
// state which the store refuses does not keep others from being recorded.
func (sc *Scheduler) DeferRecording(id hoist.JobID, until time.Time) {
	if j, ok := sc.jobs[id]; ok {
		j.recordNotBefore = until
	}
}

// IsEndRecorded reports whether a job has ended, nothing of it runs, and this is
// recorded.
func (sc *Scheduler) IsEndRecorded(id hoist.JobID) bool {
	j, ok := sc.jobs[id]
	return ok && j.HasEnded() && j.recordedChange == j.change
}

func (j *Job) state() hoist.PlanState {
	s := hoist.PlanState{Queue: j.Plan.Queue.Name, Team: j.Plan.Team, Phase: j.Phase, Next: j.nextOccurrence, Ended: j.Ended}
	for _, step := range j.sortedSteps() {
		s.Steps = append(s.Steps, step.state())
	}
	return s
}

// sortedSteps returns the steps sorted by occurrence and number.
func (j *Job) sortedSteps() []*StepTasks {
	return slices.SortedFunc(maps.Values(j.steps), func(x, y *StepTasks) int {
		return cmp.Or(cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.No, y.No))
	})
}

func (s *StepTasks) state() hoist.StepState {
	out := hoist.StepState{Occurrence: s.Occurrence, Step: s.No}
	for _, t := range s.Tasks {
		if t.Phase == Done {
			out.Done = append(out.Done, t.Index)
			continue
		}
		if t.IsPlaced() {
			out.Placed = append(out.Placed, hoist.PlacedRun{
				Index: t.Index, Attempt: t.Attempt, Worker: t.Worker.entry.Worker, IsConfirmed: t.isConfirmed,
			})
		}
		for _, a := range t.Failed {
			out.Failed = append(out.Failed, hoist.FailedRun{Index: t.Index, Attempt: a})
		}
		if t.earlierFailures > 0 {
			out.Earlier = append(out.Earlier, hoist.EarlierFailures{Index: t.Index, Count: t.earlierFailures})
		}
		if t.Saved != "" && s.Step.SavesProgress {
			out.Saved = append(out.Saved, hoist.SavedProgress{Index: t.Index, Saved: t.Saved})
		}
	}
	return out
}

// Restore adds a job from its recorded state, in a row of the given version.
// Its placed attempts may still run; the reports of their workers tell.
func (sc *Scheduler) Restore(p hoist.Plan, s hoist.PlanState, version hoist.RowVersion, now time.Time) {
	if _, ok := sc.jobs[p.ID]; ok {
		return
	}
	sc.Handling = p.ID
	j := sc.newJob(p, version)
	j.Phase, j.Ended, j.nextOccurrence = s.Phase, s.Ended, s.Next
	sc.jobs[p.ID] = j
	for _, step := range s.Steps {
		if int(step.Step) < len(p.Steps) {
			tasks := sc.addStepTasks(j, step.Occurrence, step.Step)
			sc.restoreStepTasks(tasks, step, now)
			tasks.recoverWaits(now)
		}
	}
	for k, n := range j.unfinishedSteps {
		if n == 0 {
			delete(j.unfinishedSteps, k)
		}
	}
	j.change, j.recordedChange = 1, 1
	delete(j.changed, p.ID)
	j.updateDue()
	sc.beginOccurrences(j, now)
	j.endRestoredNearWaits()
	if len(j.unfinishedSteps) == 0 && j.nextOccurrence == j.numOccurrences() && !j.Phase.IsFinal() {
		sc.finish(j, hoist.PlanDone, now)
	}
	if j.Phase.IsFinal() {
		// The earlier owner was lost before it could remove the plan. A superseded attempt that
		// still runs is not in the state, so that nothing else would cause it to be recorded.
		j.markUrgent()
	}
}

func (sc *Scheduler) restoreStepTasks(step *StepTasks, s hoist.StepState, now time.Time) {
	isIndex := func(i int) bool { return i >= 0 && i < len(step.Tasks) }
	for _, i := range s.Done {
		if isIndex(i) && step.Tasks[i].Phase != Done {
			step.Tasks[i].Phase = Done
			step.waiting--
			step.unfinished--
		}
	}
	if step.unfinished == 0 && len(step.Tasks) > 0 {
		step.Job.unfinishedSteps[step.Occurrence]--
	}
	if !step.Step.IsLongRunning {
		step.restoreFailures(s, isIndex)
	} else if step.Job.Phase == hoist.PlanRunning {
		// The state does not tell which of the waiting tasks have run.
		for _, t := range step.Tasks {
			t.hasRun = true
		}
	}
	for _, c := range s.Saved {
		if isIndex(c.Index) {
			step.Tasks[c.Index].Saved = c.Saved
			step.saved = c.Saved
		}
	}
	for _, p := range s.Placed {
		if isIndex(p.Index) && step.Tasks[p.Index].Phase == Waiting {
			t := step.Tasks[p.Index]
			sc.place(t, sc.ensureWorker(p.Worker), p.Attempt, Recovered, now)
			t.isConfirmed = p.IsConfirmed || sc.earlierConfirmed[t.Run()] == p.Worker
			if step.Job.Phase.IsFinal() {
				sc.endAttempt(step.Tasks[p.Index], now)
			}
		}
	}
}

// restoreFailures restores the failures of tasks. It is not called for long-running tasks, whose
// failures are in states of earlier versions only.
func (s *StepTasks) restoreFailures(state hoist.StepState, isIndex func(int) bool) {
	for _, f := range state.Failed {
		if isIndex(f.Index) {
			s.Tasks[f.Index].addFailed(f.Attempt)
		}
	}
	for _, e := range state.Earlier {
		if isIndex(e.Index) {
			s.Tasks[e.Index].earlierFailures = e.Count
		}
	}
}

// SetVersion sets the version of the row that holds the state of a job.
func (sc *Scheduler) SetVersion(id hoist.JobID, version hoist.RowVersion) {
	if j, ok := sc.jobs[id]; ok {
		j.Version = version
	}
}
