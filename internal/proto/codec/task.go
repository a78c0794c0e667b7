package codec

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// JobSpec converts s for the wire.
func JobSpec(s hoist.JobSpec) wire.JobSpec {
	return wire.JobSpec{
		Id:         string(s.ID),
		Team:       string(s.Team),
		Kind:       string(s.Kind),
		Tasks:      s.Tasks,
		Need:       Resources(s.Need),
		Priority:   nilIfZero(int(s.Priority)),
		Urgent:     nilIfZero(s.Urgent),
		Deadline:   nilIfZero(s.Deadline),
		RunTimeUs:  nilIfZero(micros(s.RunTime)),
		Group:      nilIfZero(s.Group),
		DataCentre: nilIfZero(string(s.DataCentre)),
	}
}

// ToJobSpec converts s from the wire.
func ToJobSpec(s wire.JobSpec) hoist.JobSpec {
	return hoist.JobSpec{
		ID:         hoist.JobID(s.Id),
		Team:       hoist.TeamID(s.Team),
		Kind:       hoist.JobKind(s.Kind),
		Tasks:      s.Tasks,
		Need:       ToResources(s.Need),
		Priority:   hoist.Priority(valueOrZero(s.Priority)),
		Urgent:     valueOrZero(s.Urgent),
		Deadline:   valueOrZero(s.Deadline),
		RunTime:    durationFromMicros(valueOrZero(s.RunTimeUs)),
		Group:      valueOrZero(s.Group),
		DataCentre: hoist.DataCentreID(valueOrZero(s.DataCentre)),
	}
}

// Grant converts g for the wire.
func Grant(g hoist.Grant) wire.Grant {
	return wire.Grant{
		Task:      string(g.Task),
		Job:       string(g.Job),
		Team:      string(g.Team),
		Attempt:   int(g.Attempt),
		Need:      Resources(g.Need),
		Priority:  int(g.Priority),
		RunTimeUs: micros(g.RunTime),
		Term:      int(g.Term),
		LeaseUs:   micros(g.Lease),
	}
}

// ToGrant converts g from the wire.
func ToGrant(g wire.Grant) hoist.Grant {
	return hoist.Grant{
		Task:     hoist.TaskID(g.Task),
		Job:      hoist.JobID(g.Job),
		Team:     hoist.TeamID(g.Team),
		Attempt:  hoist.AttemptNo(g.Attempt),
		Need:     ToResources(g.Need),
		Priority: hoist.Priority(g.Priority),
		RunTime:  durationFromMicros(g.RunTimeUs),
		Term:     hoist.Term(g.Term),
		Lease:    durationFromMicros(g.LeaseUs),
	}
}

// Placement converts p for the wire.
func Placement(p hoist.Placement) wire.Placement {
	return wire.Placement{
		Worker:    string(p.Worker),
		Grant:     Grant(p.Grant),
		TeamShard: int(p.TeamShard),
		TeamTerm:  int(p.TeamTerm),
		Hold:      nilIfZero(p.ReserveFreed),
		Preempt:   nilIfZero(p.Preempt),
		Trial:     nilIfZero(p.IsTentative),
	}
}

// ToPlacement converts p from the wire.
func ToPlacement(p wire.Placement) hoist.Placement {
	return hoist.Placement{
		Worker:       hoist.WorkerID(p.Worker),
		Grant:        ToGrant(p.Grant),
		TeamShard:    hoist.ShardID(p.TeamShard),
		TeamTerm:     hoist.Term(p.TeamTerm),
		ReserveFreed: valueOrZero(p.Hold),
		Preempt:      valueOrZero(p.Preempt),
		IsTentative:  valueOrZero(p.Trial),
	}
}

// TaskStatus converts s for the wire.
func TaskStatus(s hoist.TaskStatus) wire.TaskStatus {
	return wire.TaskStatus{
		Task:     string(s.Task),
		Job:      string(s.Job),
		Team:     string(s.Team),
		Attempt:  int(s.Attempt),
		State:    string(s.State),
		Need:     Resources(s.Need),
		Usage:    Resources(s.Usage),
		Priority: int(s.Priority),
		Started:  s.Started,
		Reason:   nilIfZero(s.Reason),
	}
}

// ToTaskStatus converts s from the wire.
func ToTaskStatus(s wire.TaskStatus) hoist.TaskStatus {
	return hoist.TaskStatus{
		Task:     hoist.TaskID(s.Task),
		Job:      hoist.JobID(s.Job),
		Team:     hoist.TeamID(s.Team),
		Attempt:  hoist.AttemptNo(s.Attempt),
		State:    hoist.TaskState(s.State),
		Need:     ToResources(s.Need),
		Usage:    ToResources(s.Usage),
		Priority: hoist.Priority(s.Priority),
		Started:  s.Started,
		Reason:   valueOrZero(s.Reason),
	}
}

// WorkerTask converts t for the wire.
func WorkerTask(t hoist.WorkerTask) wire.WorkerTask {
	return wire.WorkerTask{Worker: string(t.Worker), Status: TaskStatus(t.Status)}
}

// ToWorkerTask converts t from the wire.
func ToWorkerTask(t wire.WorkerTask) hoist.WorkerTask {
	return hoist.WorkerTask{Worker: hoist.WorkerID(t.Worker), Status: ToTaskStatus(t.Status)}
}

// WorkerReport converts r for the wire.
func WorkerReport(r hoist.WorkerReport) wire.WorkerReport {
	return wire.WorkerReport{
		Worker:     string(r.Worker),
		DataCentre: string(r.DataCentre),
		Rack:       string(r.Rack),
		Capacity:   Resources(r.Capacity),
		Leaving:    r.Leaving,
		Running:    Map(r.Running, TaskStatus),
		Ended:      Map(r.Ended, TaskStatus),
	}
}

// ToWorkerReport converts r from the wire.
func ToWorkerReport(r wire.WorkerReport) hoist.WorkerReport {
	return hoist.WorkerReport{
		Worker:     hoist.WorkerID(r.Worker),
		DataCentre: hoist.DataCentreID(r.DataCentre),
		Rack:       hoist.RackID(r.Rack),
		Capacity:   ToResources(r.Capacity),
		Leaving:    r.Leaving,
		Running:    Map(r.Running, ToTaskStatus),
		Ended:      Map(r.Ended, ToTaskStatus),
	}
}

// SurveyReply converts r for the wire.
func SurveyReply(r hoist.SurveyReply) wire.SurveyReply {
	return wire.SurveyReply{
		Workers:   Strings(r.Workers),
		Unadopted: Strings(r.Unadopted),
		Tasks:     Map(r.Tasks, WorkerTask),
	}
}

// ToSurveyReply converts r from the wire.
func ToSurveyReply(r wire.SurveyReply) hoist.SurveyReply {
	return hoist.SurveyReply{
		Workers:   IDs[hoist.WorkerID](r.Workers),
		Unadopted: IDs[hoist.WorkerID](r.Unadopted),
		Tasks:     Map(r.Tasks, ToWorkerTask),
	}
}

// Results converts the results of a call for several items, one error for each
// item, for the wire.
func Results(errs []error) wire.Results {
	return wire.Results{Results: Map(errs, func(err error) wire.Result {
		if err == nil {
			return wire.Result{}
		}
		return wire.Result{Code: nilIfZero(string(ErrorCode(err))), Message: nilIfZero(err.Error())}
	})}
}

// ToResults converts r from the wire. It returns n errors, one for each item of
// the call; items without a result in r get hoist.ErrOutcomeUnknown.
func ToResults(r wire.Results, n int) []error {
	out := make([]error, n)
	for i := range out {
		switch {
		case i >= len(r.Results):
			out[i] = hoist.ErrOutcomeUnknown
		case valueOrZero(r.Results[i].Code) != "":
			out[i] = Error(Code(*r.Results[i].Code), valueOrZero(r.Results[i].Message))
		}
	}
	return out
}

// JobState converts s for the wire.
func JobState(s hoist.JobState) wire.JobState {
	return wire.JobState{
		Spec:     JobSpec(s.Spec),
		Accepted: s.Accepted,
		Phase:    string(s.Phase),
		Waiting:  s.Waiting,
		Running:  s.Running,
		Done:     s.Done,
		Late:     nilIfZero(s.IsLate),
		Reason:   nilIfZero(s.Reason),
	}
}

// ToJobState converts s from the wire.
func ToJobState(s wire.JobState) hoist.JobState {
	return hoist.JobState{
		Spec:     ToJobSpec(s.Spec),
		Accepted: s.Accepted,
		Phase:    hoist.JobPhase(s.Phase),
		Waiting:  s.Waiting,
		Running:  s.Running,
		Done:     s.Done,
		IsLate:   valueOrZero(s.Late),
		Reason:   valueOrZero(s.Reason),
	}
}

// JobRef converts r for the wire.
func JobRef(r hoist.JobRef) wire.JobRef {
	return wire.JobRef{Team: string(r.Team), Job: nilIfZero(string(r.Job))}
}

// ToJobRef converts r from the wire.
func ToJobRef(r wire.JobRef) hoist.JobRef {
	return hoist.JobRef{Team: hoist.TeamID(r.Team), Job: hoist.JobID(valueOrZero(r.Job))}
}

// TaskAttempt converts a for the wire.
func TaskAttempt(a hoist.TaskAttempt) wire.TaskAttempt {
	return wire.TaskAttempt{Task: string(a.Task), Attempt: int(a.Attempt)}
}

// ToTaskAttempt converts a from the wire.
func ToTaskAttempt(a wire.TaskAttempt) hoist.TaskAttempt {
	return hoist.TaskAttempt{Task: hoist.TaskID(a.Task), Attempt: hoist.AttemptNo(a.Attempt)}
}
