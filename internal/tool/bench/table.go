package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// Named is a policy with its name in the table.
type Named struct {
	Name   string
	Policy hoist.PlacementPolicy
}

// Policies are the policies that are compared, the default one first.
func Policies() []Named {
	return []Named{
		{"aligned", place.Default},
		{"best-fit", place.BestFit{}},
		{"first-fit", place.FirstFit{}},
		{"random-fit", place.RandomFit{}},
	}
}

// Summary joins the results of several seeds.
type Summary struct {
	// Packed is the mean packed share, Least the smallest.
	Packed, Least float64
	CPU, Memory   float64
	Tasks         int
	Times         *hdrhistogram.Histogram
}

// Summarise fills a cell with each of the seeds from 1 to seeds.
func Summarise(policy hoist.PlacementPolicy, mix Mix, workers, seeds int) Summary {
	s := Summary{Least: 1, Times: newTimes()}
	for seed := range seeds {
		r := Fill(policy, Input{Mix: mix, Workers: workers, Seed: uint64(seed + 1)})
		s.Packed += r.Packed() / float64(seeds)
		s.CPU += r.CPU / float64(seeds)
		s.Memory += r.Memory / float64(seeds)
		s.Least = min(s.Least, r.Packed())
		s.Tasks += r.Tasks
		s.Times.Merge(r.Times)
	}
	return s
}

// Quantile returns a percentile of the decision time.
func (s Summary) Quantile(percent float64) time.Duration {
	return time.Duration(s.Times.ValueAtQuantile(percent))
}

// Placement compares all policies on cells of the given sizes and writes a
// table for people.
func Placement(w io.Writer, sizes []int, seeds int) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "mix\tworkers\tpolicy\tpacked\tleast\tcpu\tmemory\ttasks\tdecision p50\tdecision p99\t")
	for _, mix := range Mixes {
		for _, workers := range sizes {
			for _, p := range Policies() {
				s := Summarise(p.Policy, mix, workers, seeds)
				fmt.Fprintf(out, "%s\t%d\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%d\t%v\t%v\t\n", mix.Name, workers, p.Name,
					100*s.Packed, 100*s.Least, 100*s.CPU, 100*s.Memory, s.Tasks, s.Quantile(50), s.Quantile(99))
			}
		}
	}
	return out.Flush()
}
