package load_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/tool/load"
)

// short returns the input of a workload of one second whose load exceeds the capacity
// of the executors.
func short() load.Input {
	w := load.Workload{
		Name: "short", Length: time.Second, Load: func(time.Duration) float64 { return 1.2 },
		QuickShare: 0.8, LargestShare: 0.6, StragglerFactor: 20, SlowExecutor: true,
	}
	return w.Input(load.VirtualScale, 1)
}

func text(in load.Input, p load.Policy) string {
	var out bytes.Buffer
	load.Simulate(in, p, 1).Print(&out)
	return out.String()
}

// TestSimulate guards against requests that a policy loses, runs twice or mismatches,
// and against decisions that differ for the same input and seed.
func TestSimulate(t *testing.T) {
	in := short()
	for _, p := range load.Policies() {
		t.Run(p.Name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(load.Simulate(in, p, 1).Violations(), 0) // nothing lost, duplicated, mismatched or overcommitted
			is.Equal(text(in, p), text(short(), p))           // the same input gives the same decisions
		})
	}
}

// TestInputMatchesWorkload guards against arrivals that are out of order, and
// against an offered load that is far from the load of the workload.
func TestInputMatchesWorkload(t *testing.T) {
	is := is.New(t)
	in := short()
	work, capacity := 0.0, 0.0
	for i, a := range in.Arrivals {
		is.True(i == 0 || in.Arrivals[i-1].At <= a.At) // arrivals are ordered by time
		work += a.Work.Seconds()
	}
	for _, e := range in.Executors {
		capacity += 8 * e.Speed * in.Length.Seconds()
	}
	is.True(work/capacity > 1 && work/capacity < 1.4) // the offered load is near 1.2
}
