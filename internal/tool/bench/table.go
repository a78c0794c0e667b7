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

// NamedPolicy is a policy with its name in the table.
type NamedPolicy struct {
	Name   string
	Policy hoist.PlacementPolicy
}

// Policies returns the policies that are compared, the default one first.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"aligned", place.Default},
		{"best-fit", place.BestFit{}},
		{"first-fit", place.FirstFit{}},
		{"random-fit", place.RandomFit{}},
	}
}

// Summary combines the results of several seeds.
type Summary struct {
	// Packed is the mean packed share over the seeds, MinPacked the smallest.
	Packed, MinPacked float64
	CPU, Memory       float64
	Tasks             int
	DecisionTimes     *hdrhistogram.Histogram
}

// Summarise fills a cell once with each seed from 1 to seeds and returns the mean
// shares.
func Summarise(policy hoist.PlacementPolicy, mix Mix, workers, seeds int) Summary {
	s := Summary{MinPacked: 1, DecisionTimes: newHistogram()}
	for seed := range seeds {
		r := Fill(policy, Input{Mix: mix, Workers: workers, Seed: uint64(seed + 1)})
		s.Packed += r.Packed() / float64(seeds)
		s.CPU += r.CPU / float64(seeds)
		s.Memory += r.Memory / float64(seeds)
		s.MinPacked = min(s.MinPacked, r.Packed())
		s.Tasks += r.Tasks
		s.DecisionTimes.Merge(r.DecisionTimes)
	}
	return s
}

// Quantile returns a percentile of the decision time.
func (s Summary) Quantile(percent float64) time.Duration {
	return time.Duration(s.DecisionTimes.ValueAtQuantile(percent))
}

// Placement compares all policies on cells of the given sizes and writes the results
// as an aligned text table.
func Placement(w io.Writer, sizes []int, seeds int) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "mix\tworkers\tpolicy\tpacked\tleast\tcpu\tmemory\ttasks\tdecision p50\tdecision p99\t")
	for _, mix := range Mixes {
		for _, workers := range sizes {
			for _, p := range Policies() {
				s := Summarise(p.Policy, mix, workers, seeds)
				fmt.Fprintf(out, "%s\t%d\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%d\t%v\t%v\t\n", mix.Name, workers, p.Name,
					100*s.Packed, 100*s.MinPacked, 100*s.CPU, 100*s.Memory, s.Tasks, s.Quantile(50), s.Quantile(99))
			}
		}
	}
	return out.Flush()
}
