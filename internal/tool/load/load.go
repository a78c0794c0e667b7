// Package load is the seeded load generator. It fixes the arrival times of a
// workload beforehand and drives the decisions on queues and slots with them,
// so that policies are compared over the same input. Waiting is counted from
// the intended arrival, so that a slow system cannot hide its own delay
// (coordinated omission).
//
// # Usage
//
//	w, err := load.Find("swing")
//	input := w.Input(load.VirtualScale, seed)
//	for _, p := range load.Policies() {
//		result := load.Simulate(input, p, seed)
//		result.Print(os.Stdout)
//	}
//
// Simulate runs on virtual time with one goroutine; the same input, policy and
// seed give the same result. Cell runs the same input through daemons on
// loopback.
//
// # Checks
//
// Every result counts requests that were lost (no outcome), doubled (ran more
// than once) or crossed (got the answer of another), executors that ran more
// than their slots, and refusals of customers below their share while another
// exceeded its share.
package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
)

// maxWait is the largest waiting time that the histograms hold.
const maxWait = time.Hour

// notCounted stands for a count that a run cannot take.
const notCounted = -1

// Stats are the counts and waiting times of one group of requests.
type Stats struct {
	Asked    int
	Answered int
	Refused  int
	waits    *hdrhistogram.Histogram
}

func newFigures() *Stats {
	return &Stats{waits: hdrhistogram.New(1, maxWait.Microseconds(), 3)}
}

func (f *Stats) answered(wait time.Duration) {
	f.Answered++
	// The histogram holds whole microseconds from 1 to maxWait.
	_ = f.waits.RecordValue(min(max(1, wait.Microseconds()), maxWait.Microseconds()))
}

// Wait returns the waiting time at a percentile of the answered requests.
func (f *Stats) Wait(percentile float64) time.Duration {
	return time.Duration(f.waits.ValueAtQuantile(percentile)) * time.Microsecond
}

// group names the requests that are counted together.
type group struct {
	class    hoist.Class
	customer hoist.CustomerID
}

// Result is what came of one run.
type Result struct {
	Workload string
	Policy   string
	// Lost, Duplicated, Mismatched, Overcommitted and Unfair count the breaches that the
	// package comment describes. Unfair is -1 in runs through daemons, whose
	// queues are not in view.
	Lost, Duplicated, Mismatched, Overcommitted, Unfair int
	// Late counts refusals at the deadline, after the whole wait.
	Late int
	// Unknown counts requests whose outcome the caller was told is unknown.
	Unknown int
	// Executors holds the requests that each executor ran, in order of id.
	Executors []int
	// Reserves counts the changes of the reserve for quick work.
	Reserves     int
	showCustomer bool
	byClass      map[hoist.Class]*Stats
	byCustomer   map[group]*Stats
}

func newResult(in Input, policy string) *Result {
	r := &Result{
		Workload: in.Name, Policy: policy, Executors: make([]int, len(in.Executors)), showCustomer: in.ShowCustomers,
		byClass: make(map[hoist.Class]*Stats), byCustomer: make(map[group]*Stats),
	}
	for _, a := range in.Arrivals {
		for _, f := range r.figures(a) {
			f.Asked++
		}
	}
	return r
}

// figures returns the groups that an arrival belongs to.
func (r *Result) figures(a Arrival) []*Stats {
	class, ok := r.byClass[a.Class]
	if !ok {
		class = newFigures()
		r.byClass[a.Class] = class
	}
	g := group{a.Class, a.Customer}
	customer, ok := r.byCustomer[g]
	if !ok {
		customer = newFigures()
		r.byCustomer[g] = customer
	}
	return []*Stats{class, customer}
}

func (r *Result) answer(a Arrival, wait time.Duration) {
	for _, f := range r.figures(a) {
		f.answered(wait)
	}
}

func (r *Result) refuse(a Arrival) {
	for _, f := range r.figures(a) {
		f.Refused++
	}
}

// Class returns the figures of a class; it is nil if the input had none.
func (r *Result) Class(class hoist.Class) *Stats {
	return r.byClass[class]
}

// Violations returns how many breaches a run of any policy must not have.
func (r *Result) Violations() int {
	return r.Lost + r.Duplicated + r.Mismatched + r.Overcommitted
}

// Fairness returns Jain's index over the answered parts of the customers'
// requests of a class: 1 if all have the same part answered, 1/n if only one
// of n is answered at all.
func (r *Result) Fairness(class hoist.Class) float64 {
	var sum, squares float64
	n := 0
	for _, g := range r.customers() {
		if g.class != class {
			continue
		}
		f := r.byCustomer[g]
		part := float64(f.Answered) / float64(f.Asked)
		sum += part
		squares += part * part
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

// customers returns the groups by class and customer in a fixed order.
func (r *Result) customers() []group {
	out := make([]group, 0, len(r.byCustomer))
	for g := range r.byCustomer {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b group) int {
		if a.class != b.class {
			return slices.Index(classes, a.class) - slices.Index(classes, b.class)
		}
		if a.customer < b.customer {
			return -1
		}
		return 1
	})
	return out
}

// PrintHeader writes the heading of the table.
func PrintHeader(out io.Writer) {
	fmt.Fprintf(out, "%-10s %-18s %-8s %-10s %8s %8s %9s %9s %9s %9s\n",
		"workload", "policy", "class", "customer", "answered", "refused", "p50-ms", "p99-ms", "p99.9-ms", "fairness")
}

// Print writes the rows of the result and the counts of its checks.
func (r *Result) Print(out io.Writer) {
	for _, class := range classes {
		if f := r.byClass[class]; f != nil {
			r.row(out, class, "all", f)
			fmt.Fprintf(out, " %9.3f\n", r.Fairness(class))
		}
	}
	if r.showCustomer {
		for _, g := range r.customers() {
			r.row(out, g.class, string(g.customer), r.byCustomer[g])
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintf(out, "  lost %d, doubled %d, crossed %d, over slots %d, unfair refusals %d, refused late %d, unknown %d, reserve changes %d, runs by executor %v\n",
		r.Lost, r.Duplicated, r.Mismatched, r.Overcommitted, r.Unfair, r.Late, r.Unknown, r.Reserves, r.Executors)
}

func (r *Result) row(out io.Writer, class hoist.Class, customer string, f *Stats) {
	fmt.Fprintf(out, "%-10s %-18s %-8s %-10s %8d %8d %9.2f %9.2f %9.2f",
		r.Workload, r.Policy, class, customer, f.Answered, f.Refused, ms(f.Wait(50)), ms(f.Wait(99)), ms(f.Wait(99.9)))
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
