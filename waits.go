package hoist

import "time"

// WaitReason is what a long-running task without a run waits for.
type WaitReason string

// TaskWaits sums up the long-running tasks without a run that wait for the same thing, for
// metrics.
type TaskWaits struct {
	Reason WaitReason
	Tasks  int
	// Longest is the longest time that one of them has been without a run.
	Longest time.Duration
}
