package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
)

// jobEndTimeout bounds the wait until all jobs have ended and services are complete.
const jobEndTimeout = 40 * time.Second

// check compares the answers that the callers received with the runs that the
// executors and workers recorded, and returns a text for each violation of an
// invariant.
func (r *Run) check(ctx context.Context, answers []Answer) []string {
	var out []string
	out = append(out, r.checkRequests(answers)...)
	out = append(out, r.checkSlots()...)
	out = append(out, r.checkJobs(ctx, answers)...)
	out = append(out, r.checkWorkers()...)
	return out
}

// checkRequests returns a text for each request with a violation.
func (r *Run) checkRequests(answers []Answer) []string {
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
		if violation := checkRequest(a, runs[a.Line.Key]); violation != "" {
			out = append(out, fmt.Sprintf("request %s: %s", a.Line.Key, violation))
		}
	}
	return out
}

// checkRequest returns the violation of one request that executors started runs
// times, or an empty text.
func checkRequest(a Answer, runs int) string {
	want := "checked " + string(a.Line.Key) + ": " + a.Line.Body
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case a.Outcome == hoist.Done && runs != 1:
		return "was answered but did not run"
	case a.Outcome == hoist.Done && a.Body != want:
		return fmt.Sprintf("got the wrong answer %q", a.Body)
	case a.Outcome == hoist.NotRun && runs != 0:
		return "was reported as not run, but ran"
	case a.Outcome == hoist.NotRun:
		return "was not run in any try: " + strings.TrimSpace(a.Reason)
	case a.Outcome == hoist.Unknown && a.Reason == reasonNoAnswer:
		return "got no answer in any try"
	}
	return ""
}

// checkSlots returns a text for each executor that ran more attempts at once than
// it has slots.
func (r *Run) checkSlots() []string {
	var out []string
	for _, e := range r.executors {
		if n := e.MaxInFlight(); n > slotsPerExecutor {
			out = append(out, fmt.Sprintf("%s ran %d requests at once", e.ID, n))
		}
	}
	return out
}

// checkJobs waits until all tasks of every batch and gang have succeeded and every
// service runs all its tasks. After jobEndTimeout it returns a text for each job that
// is still unfinished.
func (r *Run) checkJobs(ctx context.Context, answers []Answer) []string {
	ctx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	for {
		unfinished := r.unfinishedJobs(answers)
		if len(unfinished) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return unfinished
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// unfinishedJobs returns a text for each job that was not accepted, or that does not
// have all its tasks succeeded or, if it is a service, running.
func (r *Run) unfinishedJobs(answers []Answer) []string {
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
			out = append(out, fmt.Sprintf("job %s has %d of %d tasks succeeded or running", l.Job, got, l.Tasks))
		}
	}
	return out
}

// taskStates returns how many tasks of each job succeeded and how many run, as the
// workers recorded them.
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

// checkWorkers returns a text for each worker that was overcommitted and for each task
// that runs on more than one worker.
func (r *Run) checkWorkers() []string {
	var out []string
	copies := make(map[hoist.TaskID]int)
	for _, w := range r.workers {
		if w.IsOvercommitted() {
			out = append(out, fmt.Sprintf("%s was overcommitted", w.ID))
		}
		for _, t := range w.Running() {
			copies[t.Task]++
		}
	}
	for task, n := range copies {
		if n > 1 {
			out = append(out, fmt.Sprintf("task %s runs on %d workers at once", task, n))
		}
	}
	return out
}

// report prints the outcomes and waits of the requests by class, the state of each
// job, and the violations.
func (r *Run) report(answers []Answer, violations []string) {
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
			// Waits are within the range of the histogram, so RecordValue does not fail.
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
			toMillis(h.ValueAtQuantile(50)), toMillis(h.ValueAtQuantile(99)), toMillis(h.Max()))
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
		fmt.Fprintln(r.Out, "check passed: nothing lost, duplicated, mismatched or overcommitted")
	}
}

// toMillis converts microseconds to milliseconds.
func toMillis(us int64) float64 {
	return float64(us) / 1000
}
