package codec

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// FromPlanExplanation converts an explanation to its encoding.
func FromPlanExplanation(e hoist.PlanExplanation) rows.Explanation {
	t := e.Team
	return rows.Explanation{
		Term: int(e.Term), Ahead: e.Ahead, Waiting: e.Waiting, Steps: Map(e.Steps, stepExplanation),
		Team: rows.TeamStanding{
			Team: string(t.Team), Share: t.Share, FairShare: t.FairShare, BeyondRate: t.IsBeyondRate,
			UsedCpuMillis: int(t.Used.CPU), UsedMemoryMib: int(t.Used.Memory), UsedAccelerators: int(t.Used.Accel),
			QuotaCpuMillis: int(t.Quota.CPU), QuotaMemoryMib: int(t.Quota.Memory), QuotaAccelerators: int(t.Quota.Accel),
		},
	}
}

func stepExplanation(s hoist.StepExplanation) rows.StepExplanation {
	return rows.StepExplanation{
		Step: int(s.Step), Count: s.Count, Ready: s.IsReady, Placed: s.Placed, WaitsFor: string(s.WaitsFor),
		StartKnown: s.IsStartKnown, StartsInMs: millis(s.StartsIn), Workers: s.Workers,
		Refusals: Map(s.Refusals, func(r hoist.Refusal) rows.Refusal {
			return rows.Refusal{Cause: string(r.Cause), Workers: r.Workers}
		}),
		Candidates: Map(s.Candidates, func(c hoist.ExplainedWorker) rows.Candidate {
			return rows.Candidate{
				Worker: string(c.Worker), Rack: string(c.Rack), Score: c.Score, Remote: c.IsRemote,
				Places: c.Places, Placed: c.Placed, RunMs: millis(c.RunTime), Cause: string(c.Cause),
			}
		}),
	}
}

// ToPlanExplanation converts the encoding of an explanation.
func ToPlanExplanation(e rows.Explanation) hoist.PlanExplanation {
	t := e.Team
	return hoist.PlanExplanation{
		Term: hoist.Term(e.Term), Ahead: e.Ahead, Waiting: e.Waiting, Steps: Map(e.Steps, toStepExplanation),
		Team: hoist.TeamStanding{
			Team: hoist.TeamID(t.Team), Share: t.Share, FairShare: t.FairShare, IsBeyondRate: t.BeyondRate,
			Used:  hoist.Resources{CPU: hoist.MilliCPU(t.UsedCpuMillis), Memory: hoist.MiB(t.UsedMemoryMib), Accel: hoist.Accelerators(t.UsedAccelerators)},
			Quota: hoist.Resources{CPU: hoist.MilliCPU(t.QuotaCpuMillis), Memory: hoist.MiB(t.QuotaMemoryMib), Accel: hoist.Accelerators(t.QuotaAccelerators)},
		},
	}
}

func toStepExplanation(s rows.StepExplanation) hoist.StepExplanation {
	return hoist.StepExplanation{
		Step: hoist.StepNo(s.Step), Count: s.Count, IsReady: s.Ready, Placed: s.Placed, WaitsFor: hoist.RackID(s.WaitsFor),
		IsStartKnown: s.StartKnown, StartsIn: durationFromMillis(s.StartsInMs), Workers: s.Workers,
		Refusals: Map(s.Refusals, func(r rows.Refusal) hoist.Refusal {
			return hoist.Refusal{Cause: hoist.RefusalCause(r.Cause), Workers: r.Workers}
		}),
		Candidates: Map(s.Candidates, func(c rows.Candidate) hoist.ExplainedWorker {
			return hoist.ExplainedWorker{
				Worker: hoist.WorkerID(c.Worker), Rack: hoist.RackID(c.Rack), Score: c.Score, IsRemote: c.Remote,
				Places: c.Places, Placed: c.Placed, RunTime: durationFromMillis(c.RunMs), Cause: hoist.RefusalCause(c.Cause),
			}
		}),
	}
}
