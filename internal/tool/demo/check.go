package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
)

// settleTime bounds the wait for jobs to reach their end.
const settleTime = 40 * time.Second

// check compares what the callers heard with what the executors and workers
// did, and returns every breach of an invariant.
func (r *Run) check(ctx context.Context, answers []Answered) []string {
	var out []string
	out = append(out, r.checkRequests(answers)...)
	out = append(out, r.checkSlots()...)
	out = append(out, r.checkJobs(ctx, answers)...)
	out = append(out, r.checkWorkers()...)
	return out
}

func (r *Run) checkRequests(answers []Answered) []string {
	runs := make(map[hoist.RequestKey]int)
	for _, e := range r.executors {
		for key, n := range e.Runs() {
			runs[key] += n
		}
	}
	var out []string
	for _, a := range answers {
		if a.Line.Type != LineRequest {
			continue
		}
		if text := checkRequest(a, runs[a.Line.Key]); text != "" {
			out = append(out, fmt.Sprintf("request %s: %s", a.Line.Key, text))
		}
	}
	return out
}

func checkRequest(a Answered, runs int) string {
	want := "checked " + string(a.Line.Key) + ": " + a.Line.Body
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case a.Outcome == hoist.Done && runs != 1:
		return "is answered but did not run"
	case a.Outcome == hoist.Done && a.Body != want:
		return fmt.Sprintf("has the answer %q", a.Body)
	case a.Outcome == hoist.NotRun && runs != 0:
		return "was reported as not run, but ran"
	case a.Outcome == hoist.NotRun:
		return "was never run: " + strings.TrimSpace(a.Reason)
	case a.Outcome == hoist.Unknown && a.Reason == noAnswer:
		return "was lost: no answer"
	}
	return ""
}

func (r *Run) checkSlots() []string {
	var out []string
	for _, e := range r.executors {
		if n := e.MaxInFlight(); n > slots {
			out = append(out, fmt.Sprintf("%s ran %d at once", e.ID, n))
		}
	}
	return out
}

// checkJobs waits until every batch and gang has ended and every service runs
// all its replicas.
func (r *Run) checkJobs(ctx context.Context, answers []Answered) []string {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		open := r.openJobs(answers)
		if len(open) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return open
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (r *Run) openJobs(answers []Answered) []string {
	succeeded, running := r.taskStates()
	var out []string
	for _, a := range answers {
		l := a.Line
		if l.Type != LineJob {
			continue
		}
		if a.Outcome != hoist.Done {
			out = append(out, fmt.Sprintf("job %s was not accepted: %s", l.Job, a.Reason))
			continue
		}
		got := succeeded[l.Job]
		if l.Kind == hoist.ServiceJob {
			got = running[l.Job]
		}
		if got != l.Tasks {
			out = append(out, fmt.Sprintf("job %s has %d of %d tasks", l.Job, got, l.Tasks))
		}
	}
	return out
}

// taskStates counts, from the workers, the tasks of each job that succeeded and
// that run.
func (r *Run) taskStates() (succeeded, running map[hoist.JobID]int) {
	succeeded = make(map[hoist.JobID]int)
	running = make(map[hoist.JobID]int)
	for _, w := range r.workers {
		for job, n := range w.Succeeded() {
			succeeded[job] += n
		}
		for _, t := range w.Running() {
			running[t.Job]++
		}
	}
	return succeeded, running
}

func (r *Run) checkWorkers() []string {
	var out []string
	places := make(map[hoist.TaskID]int)
	for _, w := range r.workers {
		if w.IsOvercommitted() {
			out = append(out, fmt.Sprintf("%s was overcommitted", w.ID))
		}
		for _, t := range w.Running() {
			places[t.Task]++
		}
	}
	for task, n := range places {
		if n > 1 {
			out = append(out, fmt.Sprintf("task %s runs in %d places", task, n))
		}
	}
	return out
}

func (r *Run) report(answers []Answered, violations []string) {
	counts := make(map[hoist.Class]map[hoist.Outcome]int)
	waits := make(map[hoist.Class]*hdrhistogram.Histogram)
	for _, a := range answers {
		if a.Line.Type != LineRequest {
			continue
		}
		class := a.Line.Class
		if counts[class] == nil {
			counts[class] = make(map[hoist.Outcome]int)
			waits[class] = hdrhistogram.New(1, 60_000_000, 3)
		}
		counts[class][a.Outcome]++
		if a.Outcome == hoist.Done {
			// Values are within the range of the histogram by construction.
			_ = waits[class].RecordValue(max(1, a.Waited.Microseconds()))
		}
	}
	fmt.Fprintf(r.Out, "%-8s %6s %8s %8s %10s %10s %10s\n", "class", "done", "not-run", "unknown", "p50-ms", "p99-ms", "max-ms")
	for _, class := range []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch} {
		c, ok := counts[class]
		if !ok {
			continue
		}
		h := waits[class]
		fmt.Fprintf(r.Out, "%-8s %6d %8d %8d %10.1f %10.1f %10.1f\n", class, c[hoist.Done], c[hoist.NotRun], c[hoist.Unknown],
			ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()))
	}
	succeeded, running := r.taskStates()
	for _, a := range answers {
		if a.Line.Type == LineJob {
			fmt.Fprintf(r.Out, "job %-18s %-8s %d tasks, %d succeeded, %d running\n",
				a.Line.Job, a.Line.Kind, a.Line.Tasks, succeeded[a.Line.Job], running[a.Line.Job])
		}
	}
	for _, v := range violations {
		fmt.Fprintf(r.Out, "VIOLATION: %s\n", v)
	}
	if len(violations) == 0 {
		fmt.Fprintln(r.Out, "check passed: nothing lost, doubled, crossed or overcommitted")
	}
}

func ms(us int64) float64 {
	return float64(us) / 1000
}
