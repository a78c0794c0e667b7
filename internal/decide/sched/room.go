package sched

import (
	"cmp"
	"slices"
	"strings"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// MaxCheckpoint is the longest checkpoint that is kept, in bytes. A task with a longer one
	// starts from the last one that was kept.
	MaxCheckpoint = 1024
	// minPlaceable is how many tasks of a job may be placed although its checkpoints would
	// then not all fit: the most tasks of a gang.
	minPlaceable = 300
)

// stateSizes are the sizes of what a placement adds to a recorded state, taken from encodings.
type stateSizes struct {
	// placed is that of an attempt without the name of its worker, name what a name takes
	// besides its length, and failed that of a failure.
	placed, name, failed int
}

// measureSizes encodes states that differ in one attempt, at a task and with a number far from
// those of the attempt before.
func measureSizes(size func(hoist.PlanState) int) stateSizes {
	const (
		first     hoist.AttemptNo = 1 << 40
		far       hoist.AttemptNo = 999_999
		farTask                   = 3999
		nameBytes                 = 10
	)
	state := func(s hoist.StepState) int { return size(hoist.PlanState{Steps: []hoist.StepState{s}}) }
	one := hoist.PlacedRun{Attempt: first, Worker: "w"}
	same := hoist.PlacedRun{Index: farTask, Attempt: first + far, Worker: "w"}
	named := same
	named.Worker = hoist.WorkerID(strings.Repeat("n", nameBytes))
	failed := []hoist.FailedRun{{Index: farTask, Attempt: first}, {Index: 0, Attempt: first + far}}
	base := state(hoist.StepState{Placed: []hoist.PlacedRun{one}})
	withSame := state(hoist.StepState{Placed: []hoist.PlacedRun{one, same}})
	withNamed := state(hoist.StepState{Placed: []hoist.PlacedRun{one, named}})
	// The index of a worker has up to four digits, those in the encodings have one.
	const moreDigits = 3
	return stateSizes{
		placed: withSame - base + moreDigits, name: withNamed - withSame - nameBytes,
		failed: state(hoist.StepState{Failed: failed}) - state(hoist.StepState{Failed: failed[:1]}),
	}
}

// maxPlacements returns how many more tasks of the job may be placed so that its state fits
// into a row, also if each of them fails. The size of the state is taken from its encoding.
func (sc *Scheduler) maxPlacements(j *Job) int {
	tasks := j.numOpenTasks()
	if sc.StateSize == nil {
		return tasks
	}
	if sc.sizes == (stateSizes{}) {
		sc.sizes = measureSizes(sc.StateSize)
	}
	if tasks*sc.mostPerTask(j) <= sc.MaxState {
		return tasks
	}
	sc.measure(j)
	n := sc.placeable(j, j.size)
	if n < minPlaceable {
		// The longest checkpoints are left out of a state that does not fit.
		n = max(n, min(minPlaceable, sc.placeable(j, j.essentialSize)))
	}
	n -= j.placed - j.sizedPlaced
	if n <= 0 && j.placed == 0 {
		// One attempt at a time fits into what is left of a row beyond MaxState.
		return 1
	}
	return max(0, n)
}

// mostPerTask returns the most that one task of a job takes of its state.
func (sc *Scheduler) mostPerTask(j *Job) int {
	sz := sc.sizes
	most := sz.placed + sz.name + sc.longestName + max(1, j.Plan.Queue.MaxAttempts)*sz.failed
	if j.savesProgress() {
		most += sz.name + MaxCheckpoint
	}
	return most
}

// savesProgress reports whether tasks of the job may have checkpoints.
func (j *Job) savesProgress() bool {
	return slices.ContainsFunc(j.Plan.Steps, func(s hoist.Step) bool { return s.SavesProgress })
}

// placeable returns how many more tasks than when the job was measured fit into a state of a
// size. The workers count with their longest name for each task, or once each, whichever allows
// more.
func (sc *Scheduler) placeable(j *Job, size int) int {
	sz := sc.sizes
	room := sc.MaxState - size - j.sizedPlaced*sz.failed
	byNames := room / (sz.placed + sz.failed + sz.name + sc.longestName)
	allNames := sc.nameBytes + len(sc.workers)*sz.name
	return max(byNames, (room-allNames)/(sz.placed+sz.failed))
}

// measure computes the size of the job's state, unless it has not changed since, or only by
// placements in the same pass.
func (sc *Scheduler) measure(j *Job) {
	if j.isSized && (j.sizedChange == j.change || j.sizedPass == sc.passNo) {
		return
	}
	s, _ := sc.fittingState(j)
	j.size = sc.StateSize(s)
	j.essentialSize = sc.StateSize(withoutCheckpoints(s))
	j.isSized, j.sizedChange, j.sizedPass, j.sizedPlaced = true, j.change, sc.passNo, j.placed
}

// fewCheckpointBytes is a total of checkpoints for which every state has room.
const fewCheckpointBytes = 8 << 10

// fittingState returns the state of a job with as many checkpoints as fit, the shorter ones
// first, and how many it leaves out. A task without one starts from the beginning if this owner
// is lost.
func (sc *Scheduler) fittingState(j *Job) (hoist.PlanState, int) {
	s := j.state()
	var saved []hoist.Checkpoint
	total := 0
	for _, step := range s.Steps {
		for _, c := range step.Saved {
			saved = append(saved, c.Saved)
			total += len(c.Saved)
		}
	}
	if sc.StateSize == nil || total <= fewCheckpointBytes {
		return s, 0
	}
	without := withoutCheckpoints(s)
	// The number of a task and the index of its checkpoint take up to 12 bytes, and a
	// checkpoint 3 besides its length.
	const perTask, perCheckpoint = 12, 3
	room := sc.MaxState - sc.StateSize(without) - len(saved)*perTask
	slices.SortFunc(saved, func(x, y hoist.Checkpoint) int { return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y)) })
	isKept := make(map[hoist.Checkpoint]bool)
	for _, c := range slices.Compact(saved) {
		if room -= len(c) + perCheckpoint; room < 0 {
			break
		}
		isKept[c] = true
	}
	kept, n := without, 0
	kept.Steps = slices.Clone(without.Steps)
	for i, step := range s.Steps {
		for _, c := range step.Saved {
			if isKept[c.Saved] {
				kept.Steps[i].Saved = append(kept.Steps[i].Saved, c)
				n++
			}
		}
	}
	if sc.StateSize(kept) > sc.MaxState {
		// Checkpoints of characters that are escaped take more than their length.
		return without, len(saved)
	}
	return kept, len(saved) - n
}

// withoutCheckpoints returns a state without its checkpoints.
func withoutCheckpoints(s hoist.PlanState) hoist.PlanState {
	s.Steps = slices.Clone(s.Steps)
	for i := range s.Steps {
		s.Steps[i].Saved = nil
	}
	return s
}

// measureNames computes the lengths of the names of all workers.
func (sc *Scheduler) measureNames() {
	sc.longestName, sc.nameBytes = 0, 0
	for id := range sc.workers {
		sc.longestName = max(sc.longestName, len(id))
		sc.nameBytes += len(id)
	}
}

// keepCheckpoint records a checkpoint that a worker reports.
func (t *Task) keepCheckpoint(c hoist.Checkpoint) {
	if c == "" || len(c) > MaxCheckpoint {
		return
	}
	t.Saved = c
	t.StepTasks.saved = c
}
