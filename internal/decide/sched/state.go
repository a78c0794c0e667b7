package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Unrecorded is a state of a job to be written.
type Unrecorded struct {
	Job     hoist.JobID
	Part    hoist.PartName
	Version hoist.RowVersion
	Change  uint64
	State   hoist.PlanState
	// IsClosed tells that nothing of the job runs any more.
	IsClosed bool
}

// Unrecorded returns the states to write, of at most limit jobs that the store has
// in a part. If nothing waits for any of them it returns none, unless isAll is
// set.
func (b *Scheduler) Unrecorded(part hoist.PartName, isAll bool, limit int) []Unrecorded {
	var changed []*Job
	isDue := isAll
	for _, j := range b.changed {
		if j.Plan.Part == part {
			changed = append(changed, j)
			isDue = isDue || j.urgent > j.recorded
		}
	}
	if !isDue {
		return nil
	}
	slices.SortFunc(changed, func(x, y *Job) int { return cmp.Compare(x.Plan.ID, y.Plan.ID) })
	changed = changed[:min(len(changed), limit)]
	out := make([]Unrecorded, 0, len(changed))
	for _, j := range changed {
		out = append(out, Unrecorded{j.Plan.ID, j.Plan.Part, j.Version, j.change, j.state(), j.IsClosed()})
	}
	return out
}

// IsClosed reports whether a job is closed and recorded as such.
func (b *Scheduler) IsClosed(id hoist.JobID) bool {
	j, ok := b.jobs[id]
	return ok && j.IsClosed() && j.recorded == j.change
}

func (j *Job) state() hoist.PlanState {
	s := hoist.PlanState{Queue: j.Plan.Queue.Name, Phase: j.Phase, Next: j.next, Ended: j.Ended}
	for _, set := range j.ordered() {
		s.Steps = append(s.Steps, set.state())
	}
	return s
}

// ordered returns the sets by occurrence and step.
func (j *Job) ordered() []*StepTasks {
	return slices.SortedFunc(maps.Values(j.sets), func(x, y *StepTasks) int {
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
			out.Placed = append(out.Placed, hoist.PlacedRun{Index: t.Index, Attempt: t.Attempt, Worker: t.Worker.entry.Worker})
		}
		for _, a := range t.Failed {
			out.Failed = append(out.Failed, hoist.FailedRun{Index: t.Index, Attempt: a})
		}
		if t.Saved != "" && s.Step.SavesProgress {
			out.Saved = append(out.Saved, hoist.SavedProgress{Index: t.Index, Saved: t.Saved})
		}
	}
	return out
}

// Restore takes over a job from its recorded state, in a row of the given
// version. Attempts that may run are looked for on their workers.
func (b *Scheduler) Restore(p hoist.Plan, s hoist.PlanState, version hoist.RowVersion, now time.Time) {
	if _, ok := b.jobs[p.ID]; ok {
		return
	}
	j := b.Add(p, version, p.Accepted.Add(-time.Hour))
	j.Phase, j.Ended, j.next = s.Phase, s.Ended, s.Next
	clear(j.sets)
	clear(j.open)
	for _, set := range s.Steps {
		if int(set.Step) < len(p.Steps) {
			b.restoreSet(j.addSet(set.Occurrence, set.Step), set, now)
		}
	}
	for k, n := range j.open {
		if n == 0 {
			delete(j.open, k)
		}
	}
	j.change, j.recorded = 1, 1
	delete(b.changed, p.ID)
	b.beginOccurrences(j, now)
	if len(j.open) == 0 && j.next == j.occurrences() && !j.Phase.IsFinal() {
		b.finish(j, hoist.PlanDone, now)
	}
}

func (b *Scheduler) restoreSet(set *StepTasks, s hoist.StepState, now time.Time) {
	isTask := func(i int) bool { return i >= 0 && i < len(set.Tasks) }
	for _, i := range s.Done {
		if isTask(i) {
			set.Tasks[i].Phase = Done
			set.waiting--
			set.left--
		}
	}
	if set.left == 0 && len(set.Tasks) > 0 {
		set.Job.open[set.Occurrence]--
	}
	for _, f := range s.Failed {
		if isTask(f.Index) {
			set.Tasks[f.Index].Failed = append(set.Tasks[f.Index].Failed, f.Attempt)
		}
	}
	for _, c := range s.Saved {
		if isTask(c.Index) {
			set.Tasks[c.Index].Saved = c.Saved
			set.saved = c.Saved
		}
	}
	for _, p := range s.Placed {
		if isTask(p.Index) && set.Tasks[p.Index].Phase == Waiting {
			b.place(set.Tasks[p.Index], b.worker(p.Worker), p.Attempt, Inherited, now)
			if set.Job.Phase.IsFinal() {
				b.drop(set.Tasks[p.Index], now)
			}
		}
	}
}

// SetVersion notes the version of the row that holds the state of a job.
func (b *Scheduler) SetVersion(id hoist.JobID, version hoist.RowVersion) {
	if j, ok := b.jobs[id]; ok {
		j.Version = version
	}
}
