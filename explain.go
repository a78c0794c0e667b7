package hoist

import (
	"context"
	"time"
)

// Explainer tells where a plan would be placed now, without accepting it.
type Explainer interface {
	// Explain returns where a plan would be placed, with at most maxCandidates workers
	// for each step. It returns ErrUnavailable if the host does not act for the cell,
	// ErrOverLimit if it was asked a moment ago, and ErrInvalid if the plan breaks a limit.
	Explain(ctx context.Context, p Plan, maxCandidates int) (PlanExplanation, error)
}

// RefusalCause is the reason why a worker takes no task of a step. Its text follows a
// number of workers in messages to operators.
type RefusalCause string

// PlanExplanation tells where a plan would be placed now and why.
type PlanExplanation struct {
	// Term is that of the owner of the cell.
	Term Term
	// Waiting is the number of plans with tasks that wait, and Ahead those of them that
	// come before this plan.
	Ahead, Waiting int
	// Team is the standing of the team of the plan. Its name is empty if the plan has no
	// team, or nothing is known of it.
	Team  TeamStanding
	Steps []StepExplanation
}

// TeamStanding is what a team uses and may use.
type TeamStanding struct {
	Team        TeamID
	Used, Quota Resources
	// Share is the part of the capacity that the team uses, and FairShare the part that
	// it is entitled to.
	Share, FairShare float64
	// IsBeyondRate tells that the plan exceeds the rate of plans that the team is entitled
	// to.
	IsBeyondRate bool
}

// StepExplanation tells where the tasks of a step would be placed.
type StepExplanation struct {
	Step  StepNo
	Count int
	// IsReady tells that the step waits for no earlier one.
	IsReady bool
	// Placed is the number of tasks for which there is room now. For a step that waits for
	// earlier ones it is as if they were done.
	Placed int
	// WaitsFor is the rack that the step waits for although there is room elsewhere.
	WaitsFor RackID
	// StartsIn is when the first task is expected to start, or the whole gang. It is valid
	// only if IsStartKnown is set.
	StartsIn     time.Duration
	IsStartKnown bool
	// Workers is the number of workers that the owner knows, Refusals counts those that take
	// no task, and Candidates lists the best workers, those without a cause first.
	Workers    int
	Refusals   []Refusal
	Candidates []ExplainedWorker
}

// Refusal counts the workers that take no task of a step for one cause.
type Refusal struct {
	Cause   RefusalCause
	Workers int
}

// ExplainedWorker is a worker in the explanation of a step.
type ExplainedWorker struct {
	Worker WorkerID
	Rack   RackID
	// Score orders the workers; the lowest is the best.
	Score float64
	// IsRemote tells that the worker is not on the preferred rack.
	IsRemote bool
	// Places is the number of tasks for which the worker has room, and Placed that of the
	// tasks placed on it.
	Places, Placed int
	RunTime        time.Duration
	// Cause is why the worker takes no task; it is empty if it may.
	Cause RefusalCause
}
