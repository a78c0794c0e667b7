package sched

import (
	"slices"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// maxListedFailures is how many failures of one job are listed with their attempts before
	// those of a task are only counted, except for the last one.
	maxListedFailures = 500
	// maxFailedWorkers bounds the workers that are remembered for a task that failed on them.
	maxFailedWorkers = 8
)

// addFailed adds a failed attempt to the task's list, which is sorted.
func (t *Task) addFailed(attempt hoist.AttemptNo) {
	if i, isListed := slices.BinarySearch(t.Failed, attempt); !isListed {
		t.Failed = slices.Insert(t.Failed, i, attempt)
	}
}

// isFailureKnown reports whether the failure of an attempt counts already. Attempts before the
// listed ones count as known once some are only counted.
func (t *Task) isFailureKnown(attempt hoist.AttemptNo) bool {
	return slices.Contains(t.Failed, attempt) || t.earlierFailures > 0 && len(t.Failed) > 0 && attempt < t.Failed[0]
}

// foldFailures bounds the listed failures of a job: it leaves only the last one of a task that
// has failed. A gang has few failures, as each one ends all of its tasks.
func (t *Task) foldFailures() {
	if t.StepTasks.Step.IsGang || t.StepTasks.Job.numListedFailures() <= maxListedFailures {
		return
	}
	n := len(t.Failed) - 1
	t.earlierFailures += n
	t.Failed = slices.Clone(t.Failed[n:])
}

// numListedFailures returns how many failures of unfinished tasks are listed.
func (j *Job) numListedFailures() int {
	n := 0
	for _, s := range j.steps {
		if s.IsDone() {
			continue
		}
		for _, t := range s.Tasks {
			if t.Phase != Done {
				n += len(t.Failed)
			}
		}
	}
	return n
}

// addFailedWorker remembers a worker that the task failed on, and forgets the first of many.
func (t *Task) addFailedWorker(id hoist.WorkerID) {
	if slices.Contains(t.failedWorkers, id) {
		return
	}
	if len(t.failedWorkers) == maxFailedWorkers {
		t.failedWorkers = slices.Delete(t.failedWorkers, 0, 1)
	}
	t.failedWorkers = append(t.failedWorkers, id)
}
