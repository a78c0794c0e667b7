// Package load is a seeded load generator. It generates the arrival times of a
// workload in advance and runs the decisions on queues and slots with them, so that
// policies are compared on the same input. Waiting times count from the intended
// arrival, so that a slow system cannot hide its own delay (coordinated omission).
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
// Every result counts requests that were lost (no outcome), duplicated (ran more
// than once) or mismatched (got the answer of another request), executors that were
// overcommitted (ran more requests than they have slots), and unfair refusals: those
// of customers below their share while another customer exceeded its share.
package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
)

// maxWait is the longest waiting time that the histograms hold; longer ones are
// recorded as maxWait.
const maxWait = time.Hour

// notMeasured is the value of a count that a run cannot measure.
const notMeasured = -1

// Stats holds the counts and waiting times of one group of requests.
type Stats struct {
	Submitted int
	Answered  int
	Refused   int
	waits     *hdrhistogram.Histogram
}

func newStats() *Stats {
	return &Stats{waits: hdrhistogram.New(1, maxWait.Microseconds(), 3)}
}

func (s *Stats) recordAnswer(wait time.Duration) {
	s.Answered++
	// RecordValue cannot fail: the histogram holds whole microseconds from 1 to
	// maxWait.
	_ = s.waits.RecordValue(min(max(1, wait.Microseconds()), maxWait.Microseconds()))
}

// Wait returns the waiting time at a percentile of the answered requests.
func (s *Stats) Wait(percentile float64) time.Duration {
	return time.Duration(s.waits.ValueAtQuantile(percentile)) * time.Microsecond
}

// group identifies the requests that are counted together.
type group struct {
	class    hoist.Class
	customer hoist.CustomerID
}

// Result holds the counts and waiting times of one run.
type Result struct {
	Workload string
	Policy   string
	// Lost, Duplicated, Mismatched, Overcommitted and Unfair count the violations
	// that the package comment describes. Unfair and Late are -1 in runs through
	// daemons, whose queues cannot be observed.
	Lost, Duplicated, Mismatched, Overcommitted, Unfair int
	// Late counts the refusals of requests that waited until their deadline.
	Late int
	// Unknown counts requests whose outcome the caller was told is unknown.
	Unknown int
	// Executors holds the number of requests that each executor ran, in order of id.
	Executors []int
	// Reserves counts the changes of the number of slots reserved for quick work.
	Reserves      int
	showCustomers bool
	byClass       map[hoist.Class]*Stats
	byCustomer    map[group]*Stats
}

func newResult(in Input, policy string) *Result {
	r := &Result{
		Workload: in.Name, Policy: policy, Executors: make([]int, len(in.Executors)), showCustomers: in.ShowCustomers,
		byClass: make(map[hoist.Class]*Stats), byCustomer: make(map[group]*Stats),
	}
	for _, a := range in.Arrivals {
		for _, s := range r.statsOf(a) {
			s.Submitted++
		}
	}
	return r
}

// statsOf returns the statistics of the groups that an arrival belongs to.
func (r *Result) statsOf(a Arrival) []*Stats {
	class, ok := r.byClass[a.Class]
	if !ok {
		class = newStats()
		r.byClass[a.Class] = class
	}
	g := group{a.Class, a.Customer}
	customer, ok := r.byCustomer[g]
	if !ok {
		customer = newStats()
		r.byCustomer[g] = customer
	}
	return []*Stats{class, customer}
}

func (r *Result) answer(a Arrival, wait time.Duration) {
	for _, s := range r.statsOf(a) {
		s.recordAnswer(wait)
	}
}

func (r *Result) refuse(a Arrival) {
	for _, s := range r.statsOf(a) {
		s.Refused++
	}
}

// Class returns the statistics of a class, or nil if the input had no request of it.
func (r *Result) Class(class hoist.Class) *Stats {
	return r.byClass[class]
}

// Violations returns the number of violations that no policy may cause: requests
// that were lost, duplicated or mismatched, and overcommitted executors.
func (r *Result) Violations() int {
	return r.Lost + r.Duplicated + r.Mismatched + r.Overcommitted
}

// Fairness returns Jain's index over the answered shares of the customers' requests
// of a class: 1 if all customers have the same share answered, 1/n if only one of n
// has any request answered.
func (r *Result) Fairness(class hoist.Class) float64 {
	var sum, squares float64
	n := 0
	for _, g := range r.customers() {
		if g.class != class {
			continue
		}
		s := r.byCustomer[g]
		share := float64(s.Answered) / float64(s.Submitted)
		sum += share
		squares += share * share
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

// customers returns the groups ordered by class and customer.
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

// Print writes the rows of the result and a line with the counts of its checks.
func (r *Result) Print(out io.Writer) {
	for _, class := range classes {
		if s := r.byClass[class]; s != nil {
			r.printRow(out, class, "all", s)
			fmt.Fprintf(out, " %9.3f\n", r.Fairness(class))
		}
	}
	if r.showCustomers {
		for _, g := range r.customers() {
			r.printRow(out, g.class, string(g.customer), r.byCustomer[g])
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintf(out, "  lost %d, duplicated %d, mismatched %d, overcommitted %d, unfair refusals %d, refused late %d, unknown %d, reserve changes %d, runs by executor %v\n",
		r.Lost, r.Duplicated, r.Mismatched, r.Overcommitted, r.Unfair, r.Late, r.Unknown, r.Reserves, r.Executors)
}

func (r *Result) printRow(out io.Writer, class hoist.Class, customer string, s *Stats) {
	fmt.Fprintf(out, "%-10s %-18s %-8s %-10s %8d %8d %9.2f %9.2f %9.2f",
		r.Workload, r.Policy, class, customer, s.Answered, s.Refused, ms(s.Wait(50)), ms(s.Wait(99)), ms(s.Wait(99.9)))
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
