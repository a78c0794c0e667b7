package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// hostCmd groups the commands on entry hosts.
type hostCmd struct {
	List  hostListCmd  `cmd:"" help:"List the entry hosts."`
	Fence hostFenceCmd `cmd:"" help:"Take over from a host that is certainly dead, without a vote. See docs/operations/membership.md."`
}

type hostListCmd struct{ clientFlags }

// Run executes hoist host list.
func (c *hostListCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/hosts", func(h wire.HostStatuses) [][]string {
		rows := [][]string{{"HOST", "DATA-CENTRE", "STATE", "CORES", "EPOCH", "CONFIG", "HEARD"}}
		for _, host := range h.Hosts {
			m := host.Member
			rows = append(rows, []string{
				m.Host, m.DataCentre, m.State, strconv.Itoa(m.Weight), strconv.Itoa(m.Epoch), strconv.Itoa(host.Config), lastHeartbeatText(host),
			})
		}
		return rows
	})
}

// lastHeartbeatText returns the time of the last heartbeat of a host as text.
func lastHeartbeatText(h wire.HostStatus) string {
	if h.Heard == nil {
		return "never"
	}
	return h.Heard.Format(time.DateTime)
}

type hostFenceCmd struct {
	clientFlags
	Host string `arg:"" help:"Host to take over from."`
}

// Run executes hoist host fence.
func (c *hostFenceCmd) Run(ctx context.Context) error {
	return post(ctx, &c.clientFlags, "/hosts/fence", wire.HostRef{Host: c.Host}, confirmation("host %s is fenced", c.Host))
}

// workerCmd groups the commands on workers.
type workerCmd struct {
	List    workerListCmd `cmd:"" help:"List the workers."`
	Drain   drainCmd      `cmd:"" help:"Give a worker no new work and move its services."`
	Undrain drainCmd      `cmd:"" help:"Give a worker work again."`
}

type workerListCmd struct{ clientFlags }

// Run executes hoist worker list.
func (c *workerListCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/workers", func(w wire.Candidates) [][]string {
		rows := [][]string{{"WORKER", "DATA-CENTRE", "RACK", "STATE", "CAPACITY", "FREE"}}
		for _, candidate := range codec.Map(w.Workers, codec.ToCandidate) {
			rows = append(rows, []string{
				string(candidate.Worker), string(candidate.DataCentre), string(candidate.Rack), workerStateText(candidate),
				candidate.Capacity.String(), candidate.Free.String(),
			})
		}
		return rows
	})
}

// workerStateText returns the state of a worker as text; the state of a ready worker is
// empty on the wire.
func workerStateText(c hoist.Candidate) string {
	if c.State == hoist.WorkerReady {
		return "ready"
	}
	return string(c.State)
}

// drainCmd drains a worker or executor, or ends its drain.
type drainCmd struct {
	clientFlags
	ID string `arg:"" help:"Id in the host list."`

	// newCLI sets kind and isDrain, which distinguish the commands of this type.
	kind    hoist.HostKind
	isDrain bool
}

// Run executes the drain and undrain commands of workers and executors.
func (c *drainCmd) Run(ctx context.Context) error {
	text := "gets work again"
	if c.isDrain {
		text = "gets no new work"
	}
	in := wire.Drain{Kind: string(c.kind), Id: c.ID, Drain: c.isDrain}
	return post(ctx, &c.clientFlags, "/drain", in, confirmation("%s %s %s", c.kind, c.ID, text))
}

// executorCmd groups the commands on executors.
type executorCmd struct {
	List    executorListCmd `cmd:"" help:"List the executors."`
	Drain   drainCmd        `cmd:"" help:"Give an executor no new requests."`
	Undrain drainCmd        `cmd:"" help:"Give an executor requests again."`
}

type executorListCmd struct{ clientFlags }

// Run executes hoist executor list.
func (c *executorListCmd) Run(ctx context.Context) error {
	return get(ctx, &c.clientFlags, "/executors", func(l wire.HostList) [][]string {
		rows := [][]string{{"EXECUTOR", "SERVICE", "DATA-CENTRE", "ADDRESS", "STATE"}}
		for _, e := range codec.Map(l.Hosts, codec.ToListed) {
			state := "ready"
			if e.Leaving {
				state = "leaving"
			}
			rows = append(rows, []string{e.ID, string(e.Service), string(e.DataCentre), e.Addr, state})
		}
		return rows
	})
}

// reportCmd prints a report with the configured layout.
type reportCmd struct {
	clientFlags
	Name string `arg:"" enum:"burn,waiting,packing,control" help:"Report: burn, waiting, packing or control."`
	HTML bool   `help:"Print the report as HTML."`
}

// Run executes hoist report.
func (c *reportCmd) Run(ctx context.Context) error {
	in := wire.ReportRequest{Name: c.Name, Html: c.HTML}
	return post(ctx, &c.clientFlags, "/report", in, func(r wire.ReportText) [][]string {
		return [][]string{{strings.TrimSuffix(r.Text, "\n")}}
	})
}

// jobCmd groups the commands on jobs.
type jobCmd struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job. Submitting the same id again is safe."`
	Show   jobShowCmd   `cmd:"" help:"Print the jobs of a team."`
	Why    jobWhyCmd    `cmd:"" help:"Print why a job waits."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel a job: nothing of it starts any more, what runs is stopped."`
}

type jobSubmitCmd struct {
	clientFlags
	ID           string        `arg:"" help:"Job id."`
	Team         string        `required:"" help:"Team that is charged."`
	Kind         string        `enum:"service,batch,gang" default:"batch" help:"service, batch or gang (all at once)."`
	Tasks        int           `default:"1" help:"Number of tasks."`
	CPUMillis    int64         `name:"cpu-millis" required:"" help:"Need of a task in 1/1000 core."`
	MemoryMiB    int64         `name:"memory-mib" required:"" help:"Need of a task in MiB."`
	Accelerators int64         `help:"Need of a task in accelerators."`
	Priority     int           `help:"Higher goes first."`
	Urgent       bool          `help:"May stop tasks of lower priority."`
	RunTime      time.Duration `help:"Expected run time of a task." placeholder:"90s"`
	Deadline     time.Time     `help:"When the job must have ended." placeholder:"2026-12-04T18:00:00Z"`
	Group        string        `help:"Jobs of one group have alike run times and sizes."`
	DataCentre   string        `help:"Place the tasks in this data centre only."`
}

// Run executes hoist job submit.
func (c *jobSubmitCmd) Run(ctx context.Context) error {
	spec := hoist.JobSpec{
		ID: hoist.JobID(c.ID), Team: hoist.TeamID(c.Team), Kind: hoist.JobKind(c.Kind), Tasks: c.Tasks,
		Need: hoist.Resources{
			CPU: hoist.MilliCPU(c.CPUMillis), Memory: hoist.MiB(c.MemoryMiB), Accel: hoist.Accelerators(c.Accelerators),
		},
		Priority: hoist.Priority(c.Priority), Urgent: c.Urgent, RunTime: c.RunTime, Deadline: c.Deadline,
		Group: c.Group, DataCentre: hoist.DataCentreID(c.DataCentre),
	}
	return post(ctx, &c.clientFlags, "/jobs", codec.JobSpec(spec), confirmation("job %s is accepted", c.ID))
}

type jobShowCmd struct {
	clientFlags
	Team string `arg:"" help:"Team."`
}

// Run executes hoist job show.
func (c *jobShowCmd) Run(ctx context.Context) error {
	return post(ctx, &c.clientFlags, "/jobs/list", wire.JobRef{Team: c.Team}, func(s wire.JobStates) [][]string {
		rows := [][]string{{"JOB", "KIND", "PHASE", "WAITING", "RUNNING", "DONE", "WHY"}}
		for _, j := range codec.Map(s.Jobs, codec.ToJobState) {
			rows = append(rows, []string{
				string(j.Spec.ID), string(j.Spec.Kind), string(j.Phase),
				strconv.Itoa(j.Waiting), strconv.Itoa(j.Running), strconv.Itoa(j.Done), j.Reason,
			})
		}
		return rows
	})
}

type jobWhyCmd struct {
	clientFlags
	Team string `arg:"" help:"Team."`
	Job  string `arg:"" help:"Job."`
}

// Run executes hoist job why.
func (c *jobWhyCmd) Run(ctx context.Context) error {
	return post(ctx, &c.clientFlags, "/jobs/list", wire.JobRef{Team: c.Team}, func(s wire.JobStates) [][]string {
		for _, j := range codec.Map(s.Jobs, codec.ToJobState) {
			if string(j.Spec.ID) == c.Job {
				return [][]string{{waitReasonText(j)}}
			}
		}
		return [][]string{{fmt.Sprintf("team %s has no job %s", c.Team, c.Job)}}
	})
}

// waitReasonText returns why a job waits, or its phase if it does not wait.
func waitReasonText(j hoist.JobState) string {
	if j.Reason == "" {
		return fmt.Sprintf("the job does not wait; its phase is %s", j.Phase)
	}
	return j.Reason
}

type jobCancelCmd struct {
	clientFlags
	Team string `arg:"" help:"Team."`
	Job  string `arg:"" help:"Job."`
}

// Run executes hoist job cancel.
func (c *jobCancelCmd) Run(ctx context.Context) error {
	in := codec.JobRef(hoist.JobRef{Team: hoist.TeamID(c.Team), Job: hoist.JobID(c.Job)})
	return post(ctx, &c.clientFlags, "/jobs/cancel", in, confirmation("job %s is cancelled", c.Job))
}
