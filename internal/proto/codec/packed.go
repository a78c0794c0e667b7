package codec

import (
	"cmp"
	"slices"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// PackedStateSize returns the size of the value of a plan's state with its steps in the short
// form, in bytes.
func PackedStateSize(s hoist.PlanState) int {
	return len(EncodeStoreRow(packedState(s)))
}

// refusedByEarlier is in the list of steps of a state whose steps are in the short form. Its
// numbers are out of range, so that the owner of an earlier version, which does not know the
// short form, quarantines the plan. It would take an empty list for a plan that is done.
var refusedByEarlier = rows.StepState{
	Occurrence: -1, Step: -1, Done: []int{}, Placed: []rows.Placed{}, Failed: []rows.Failed{}, Saved: []rows.Saved{},
}

func packedState(s hoist.PlanState) rows.PlanState {
	r := planStateHead(s)
	packed := packSteps(s.Steps)
	r.Steps, r.Packed = []rows.StepState{refusedByEarlier}, &packed
	return r
}

// isPackable reports whether the steps are those of whole occurrences, in order, as the
// scheduler records them.
func isPackable(steps []hoist.StepState) bool {
	n := stepsPerOccurrence(steps)
	if n == 0 || len(steps)%n != 0 {
		return false
	}
	for i, s := range steps {
		if int(s.Step) != i%n || s.Occurrence != steps[i-i%n].Occurrence {
			return false
		}
	}
	return true
}

// stepsPerOccurrence returns the number of steps of the first occurrence.
func stepsPerOccurrence(steps []hoist.StepState) int {
	n := 0
	for n < len(steps) && steps[n].Occurrence == steps[0].Occurrence {
		n++
	}
	return n
}

// packedRun is an attempt in the short form: the number of its task, and for a placed one the
// index of its worker.
type packedRun struct {
	task    int
	attempt hoist.AttemptNo
	worker  int
}

// byAttempt orders attempts so that their numbers, which mostly follow each other, have small
// differences.
func byAttempt(x, y packedRun) int {
	return cmp.Or(cmp.Compare(x.attempt, y.attempt), cmp.Compare(x.task, y.task))
}

// table numbers strings, each of which is stored once.
type table struct {
	names   []string
	indexes map[string]int
}

func (t *table) index(name string) int {
	i, ok := t.indexes[name]
	if !ok {
		if t.indexes == nil {
			t.indexes = make(map[string]int)
		}
		i = len(t.names)
		t.indexes[name] = i
		t.names = append(t.names, name)
	}
	return i
}

// packSteps returns the short form of steps that are packable.
func packSteps(steps []hoist.StepState) rows.PackedSteps {
	n := stepsPerOccurrence(steps)
	out := rows.PackedSteps{
		Occurrences: []int{}, Steps: n, Widths: []int{}, Done: []int{}, Placed: []int{}, Failed: []int{}, Earlier: []int{}, Saved: []int{},
	}
	var workers, checkpoints table
	var done []int
	var placed, failed []packedRun
	first, lastOccurrence, lastEarlier, lastSaved := 0, 0, 0, 0
	for i, s := range steps {
		if i%n == 0 {
			out.Occurrences = append(out.Occurrences, int(s.Occurrence)-lastOccurrence)
			lastOccurrence = int(s.Occurrence)
		}
		for _, task := range s.Done {
			done = append(done, first+task)
		}
		for _, p := range s.Placed {
			placed = append(placed, packedRun{first + p.Index, p.Attempt, workers.index(string(p.Worker))})
		}
		for _, f := range s.Failed {
			failed = append(failed, packedRun{task: first + f.Index, attempt: f.Attempt})
		}
		for _, e := range s.Earlier {
			out.Earlier = append(out.Earlier, first+e.Index-lastEarlier, e.Count)
			lastEarlier = first + e.Index
		}
		for _, c := range s.Saved {
			out.Saved = append(out.Saved, first+c.Index-lastSaved, checkpoints.index(string(c.Saved)))
			lastSaved = first + c.Index
		}
		out.Widths = append(out.Widths, width(s))
		first += width(s)
	}
	out.Done = packRanges(done)
	out.Placed = packRuns(placed, true)
	out.Failed = packRuns(failed, false)
	out.Workers, out.Checkpoints = Strings(workers.names), Strings(checkpoints.names)
	return out
}

// width returns how many tasks of a step need a number: up to the last one that has a state.
func width(s hoist.StepState) int {
	n := 0
	for _, i := range s.Done {
		n = max(n, i+1)
	}
	for _, p := range s.Placed {
		n = max(n, p.Index+1)
	}
	for _, f := range s.Failed {
		n = max(n, f.Index+1)
	}
	for _, e := range s.Earlier {
		n = max(n, e.Index+1)
	}
	for _, c := range s.Saved {
		n = max(n, c.Index+1)
	}
	return n
}

// packRanges returns pairs of the number of tasks that are not in the list and the number of
// those after them that are.
func packRanges(tasks []int) []int {
	slices.Sort(tasks)
	out, next := []int{}, 0
	for i := 0; i < len(tasks); {
		end := i + 1
		for end < len(tasks) && tasks[end] == tasks[end-1]+1 {
			end++
		}
		out = append(out, tasks[i]-next, end-i)
		next = tasks[end-1] + 1
		i = end
	}
	return out
}

func packRuns(runs []packedRun, hasWorker bool) []int {
	slices.SortFunc(runs, byAttempt)
	out := []int{}
	var last packedRun
	for _, r := range runs {
		out = append(out, int(r.attempt)-int(last.attempt), r.task-last.task)
		if hasWorker {
			out = append(out, r.worker)
		}
		last = r
	}
	return out
}

// maxPackedTasks bounds the tasks of a state in the short form, as a few numbers in a row
// could stand for any number of tasks.
const maxPackedTasks = 1 << 17

// unpackSteps returns the steps of a short form. It returns hoist.ErrInvalid if the numbers in
// it do not fit together.
func unpackSteps(r rows.PackedSteps) ([]hoist.StepState, error) {
	u, err := newUnpacker(r)
	if err != nil {
		return nil, err
	}
	for i, next := 0, 0; i+1 < len(r.Done); i += 2 {
		gap, length := r.Done[i], r.Done[i+1]
		if gap < 0 || length < 0 || gap > maxPackedTasks || length > maxPackedTasks {
			return nil, u.invalid("done")
		}
		for task := next + gap; task < next+gap+length; task++ {
			u.at(task, func(s *hoist.StepState, index int) { s.Done = append(s.Done, index) })
		}
		next += gap + length
	}
	u.runs(r.Placed, 3, func(s *hoist.StepState, index int, attempt hoist.AttemptNo, entry []int) {
		s.Placed = append(s.Placed, hoist.PlacedRun{Index: index, Attempt: attempt, Worker: hoist.WorkerID(u.name(r.Workers, entry[2]))})
	})
	u.runs(r.Failed, 2, func(s *hoist.StepState, index int, attempt hoist.AttemptNo, _ []int) {
		s.Failed = append(s.Failed, hoist.FailedRun{Index: index, Attempt: attempt})
	})
	u.pairs(r.Earlier, func(s *hoist.StepState, index, count int) {
		s.Earlier = append(s.Earlier, hoist.EarlierFailures{Index: index, Count: count})
	})
	u.pairs(r.Saved, func(s *hoist.StepState, index, checkpoint int) {
		s.Saved = append(s.Saved, hoist.SavedProgress{Index: index, Saved: hoist.Checkpoint(u.name(r.Checkpoints, checkpoint))})
	})
	for i := range u.steps {
		s := &u.steps[i]
		slices.SortFunc(s.Placed, func(x, y hoist.PlacedRun) int { return cmp.Compare(x.Index, y.Index) })
		slices.SortStableFunc(s.Failed, func(x, y hoist.FailedRun) int { return cmp.Compare(x.Index, y.Index) })
	}
	return u.steps, u.err
}

// unpacker distributes the numbers of a short form over the steps. err is the first error.
type unpacker struct {
	steps []hoist.StepState
	// owners holds the step of each task, and firsts the number of the first task of each step.
	owners, firsts []int
	err            error
}

func newUnpacker(r rows.PackedSteps) (*unpacker, error) {
	u := &unpacker{}
	if r.Steps <= 0 || len(r.Widths) != r.Steps*len(r.Occurrences) || len(r.Done)%2 != 0 {
		return nil, u.invalid("widths")
	}
	occurrence := 0
	for i, w := range r.Widths {
		if w < 0 || w > maxPackedTasks-len(u.owners) {
			return nil, u.invalid("widths")
		}
		if i%r.Steps == 0 {
			occurrence += r.Occurrences[i/r.Steps]
		}
		u.steps = append(u.steps, hoist.StepState{
			Occurrence: hoist.Occurrence(occurrence), Step: hoist.StepNo(i % r.Steps),
			Done: []int{}, Placed: []hoist.PlacedRun{}, Failed: []hoist.FailedRun{}, Saved: []hoist.SavedProgress{},
		})
		u.firsts = append(u.firsts, len(u.owners))
		for range w {
			u.owners = append(u.owners, i)
		}
	}
	return u, nil
}

// invalid returns the error of a list whose numbers are out of range.
func (u *unpacker) invalid(list string) error {
	if u.err == nil {
		u.err = invalidf("the short form of the steps has a number out of range in %s", list)
	}
	return u.err
}

// at calls f with the step of a task and its index there.
func (u *unpacker) at(task int, f func(s *hoist.StepState, index int)) {
	if task < 0 || task >= len(u.owners) {
		_ = u.invalid("the list of tasks")
		return
	}
	step := u.owners[task]
	f(&u.steps[step], task-u.firsts[step])
}

// runs reads a list of attempts, whose entries have size numbers.
func (u *unpacker) runs(list []int, size int, f func(s *hoist.StepState, index int, attempt hoist.AttemptNo, entry []int)) {
	if len(list)%size != 0 {
		_ = u.invalid("the list of attempts")
		return
	}
	attempt, task := 0, 0
	for entry := range slices.Chunk(list, size) {
		attempt += entry[0]
		task += entry[1]
		u.at(task, func(s *hoist.StepState, index int) { f(s, index, hoist.AttemptNo(attempt), entry) })
	}
}

// pairs reads a list of pairs of the difference of a task and a number.
func (u *unpacker) pairs(list []int, f func(s *hoist.StepState, index, number int)) {
	if len(list)%2 != 0 {
		_ = u.invalid("the list of pairs")
		return
	}
	task := 0
	for entry := range slices.Chunk(list, 2) {
		task += entry[0]
		u.at(task, func(s *hoist.StepState, index int) { f(s, index, entry[1]) })
	}
}

// name returns an entry of a table.
func (u *unpacker) name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		_ = u.invalid("a table")
		return ""
	}
	return names[i]
}
