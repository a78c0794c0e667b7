package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// service is the service that all requests of a load are for.
const service hoist.ServiceName = "matching"

// slotsPerExecutor is the number of slots of every executor.
const slotsPerExecutor = 8

// largest is the customer that has the largest part of the load.
const largest hoist.CustomerID = "largest"

// classes lists the classes in the order in which slots are offered and rows
// are printed.
var classes = []hoist.Class{hoist.Quick, hoist.Patient}

// Scale sets the size of the work, and with it how many requests a second make
// up a load.
type Scale struct {
	// Quick and Patient are the least work of a request of each class at an
	// executor of speed 1. Requests have once to twice that.
	Quick, Patient time.Duration
	// QuickTimeout and PatientTimeout bound the waiting.
	QuickTimeout, PatientTimeout time.Duration
	// Shorten divides the length of the workload.
	Shorten int
}

// VirtualScale is for runs on virtual time.
var VirtualScale = Scale{
	Quick: 5 * time.Millisecond, Patient: 200 * time.Millisecond,
	QuickTimeout: 500 * time.Millisecond, PatientTimeout: 2 * time.Minute, Shorten: 1,
}

// RealScale is for runs through daemons on loopback: a few hundred requests a
// second, so that a busy machine measures the scheduler and not itself.
var RealScale = Scale{
	Quick: 50 * time.Millisecond, Patient: 400 * time.Millisecond,
	QuickTimeout: 2 * time.Second, PatientTimeout: time.Minute, Shorten: 2,
}

// Arrival is one request of an input.
type Arrival struct {
	At       time.Duration
	Key      hoist.RequestKey
	Customer hoist.CustomerID
	Class    hoist.Class
	// Work is the service time at an executor of speed 1.
	Work    time.Duration
	Timeout time.Duration
}

// ExecutorSpec describes a stand-in executor.
type ExecutorSpec struct {
	ID    hoist.ExecutorID
	Speed float64
	// From SlowFrom to SlowUntil the executor is SlowBy times slower.
	SlowFrom, SlowUntil time.Duration
	SlowBy              float64
}

// Takes returns how long work runs when it starts at the given time.
func (e ExecutorSpec) Takes(work, at time.Duration) time.Duration {
	speed := e.Speed
	if at >= e.SlowFrom && at < e.SlowUntil {
		speed /= e.SlowBy
	}
	return time.Duration(float64(work) / speed)
}

// Input is a workload with fixed arrivals, in order of time.
type Input struct {
	Name          string
	Arrivals      []Arrival
	Executors     []ExecutorSpec
	Length        time.Duration
	ShowCustomers bool
	// KillHost tells to kill a host in the middle; only daemons can do it.
	KillHost bool
}

// Workload describes a load.
type Workload struct {
	Name, Help string
	Length     time.Duration
	// Load returns the offered work as a part of what the executors can do, at
	// a part of the length from 0 to 1.
	Load func(at time.Duration) float64
	// QuickPart is the part of the work that quick requests are.
	QuickPart float64
	// LargestPart is the part of the requests that one customer makes.
	LargestPart float64
	// Stragglers is how many times longer one in a hundred patient requests runs.
	Stragglers float64
	// SlowExecutor makes an executor ten times slower in the middle third.
	SlowExecutor  bool
	ShowCustomers bool
	KillHost      bool
}

// Sizes of the load cell.
const (
	numExecutors = 10
	numCustomers = 12
	// stragglerPart is the part of requests that run many times longer.
	stragglerPart = 0.01
	// quickStragglers is how many times longer quick stragglers run.
	quickStragglers = 20
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// swing rises to five times the base within two seconds, stays there, and
// falls back within two seconds.
func swing(at time.Duration) float64 {
	const base, peak = 0.3, 1.5
	s := at.Seconds()
	up := min(max((s-5)/2, 0), 1)
	down := min(max((s-10)/2, 0), 1)
	return base + (peak-base)*(up-down)
}

// Workloads returns all workloads.
func Workloads() []Workload {
	even := 1.0 / numCustomers
	return []Workload{
		{
			Name: "load80", Help: "80% load", Length: 30 * time.Second, Load: constant(0.8),
			QuickPart: 0.4, LargestPart: even, Stragglers: 20,
		},
		{
			Name: "swing", Help: "five times the load within 2 s and back", Length: 20 * time.Second, Load: swing,
			QuickPart: 0.9, LargestPart: 0.6, Stragglers: 20,
		},
		{
			Name: "overload", Help: "1.3 times what the executors can do, for a minute", Length: time.Minute, Load: constant(1.3),
			QuickPart: 0.85, LargestPart: even, Stragglers: 20,
		},
		{
			Name: "slowexec", Help: "one executor of ten is ten times slower in the middle third", Length: 30 * time.Second, Load: constant(0.7),
			QuickPart: 0.6, LargestPart: even, Stragglers: 20, SlowExecutor: true,
		},
		{
			Name: "unfair", Help: "the largest customer has most of an overload", Length: 20 * time.Second, Load: constant(1.2),
			QuickPart: 0.8, LargestPart: 0.8, Stragglers: 20, ShowCustomers: true,
		},
		{
			Name: "mixed", Help: "mostly patient work with long stragglers, and quick work", Length: 30 * time.Second, Load: constant(0.9),
			QuickPart: 0.2, LargestPart: even, Stragglers: 40,
		},
		{
			Name: "killhost", Help: "a host is killed at the peak (daemons only)", Length: 20 * time.Second, Load: constant(0.6),
			QuickPart: 0.6, LargestPart: even, Stragglers: 20, KillHost: true,
		},
	}
}

// Find returns the workload of a name.
func Find(name string) (Workload, error) {
	for _, w := range Workloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("workload %q", name))
}

// Input fixes the arrivals of the workload. The same scale and seed give the
// same input.
func (w Workload) Input(s Scale, seed uint64) Input {
	in := Input{
		Name: w.Name, Executors: w.executors(s), Length: w.Length / time.Duration(s.Shorten),
		ShowCustomers: w.ShowCustomers, KillHost: w.KillHost,
	}
	capacity := 0.0
	for _, e := range in.Executors {
		capacity += slotsPerExecutor * e.Speed
	}
	parts := map[hoist.Class]float64{hoist.Quick: w.QuickPart, hoist.Patient: 1 - w.QuickPart}
	streams := make([][]Arrival, 0, len(classes))
	for i, class := range classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		streams = append(streams, w.stream(s, class, capacity*parts[class], in.Length, rng))
	}
	in.Arrivals = merge(streams[0], streams[1])
	return in
}

func (w Workload) executors(s Scale) []ExecutorSpec {
	speeds := []float64{1, 0.6, 0.4}
	out := make([]ExecutorSpec, numExecutors)
	for i := range out {
		out[i] = ExecutorSpec{ID: hoist.ExecutorID(fmt.Sprintf("executor-%02d", i)), Speed: speeds[i%len(speeds)], SlowBy: 10}
	}
	if w.SlowExecutor {
		length := w.Length / time.Duration(s.Shorten)
		out[0].SlowFrom, out[0].SlowUntil = length/3, 2*length/3
	}
	return out
}

// stream returns the Poisson arrivals of one class.
func (w Workload) stream(s Scale, class hoist.Class, capacity float64, length time.Duration, rng *rand.Rand) []Arrival {
	least, timeout, straggle := s.Quick, s.QuickTimeout, float64(quickStragglers)
	if class == hoist.Patient {
		least, timeout, straggle = s.Patient, s.PatientTimeout, w.Stragglers
	}
	mean := 1.5 * least.Seconds() * (1 + stragglerPart*(straggle-1))
	var out []Arrival
	for at := time.Duration(0); ; {
		rate := capacity * w.Load(at*time.Duration(s.Shorten)) / mean
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		work := least + time.Duration(rng.Int64N(int64(least)))
		if rng.Float64() < stragglerPart {
			work = time.Duration(float64(work) * straggle)
		}
		out = append(out, Arrival{
			At: at, Key: hoist.RequestKey(fmt.Sprintf("%s-%06d", class, len(out))), Customer: w.customer(rng),
			Class: class, Work: work, Timeout: timeout,
		})
	}
}

func (w Workload) customer(rng *rand.Rand) hoist.CustomerID {
	if rng.Float64() < w.LargestPart {
		return largest
	}
	return hoist.CustomerID(fmt.Sprintf("small-%02d", 1+rng.IntN(numCustomers-1)))
}

// merge joins two streams in order of time.
func merge(a, b []Arrival) []Arrival {
	out := make([]Arrival, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		if nextAt(a) <= nextAt(b) {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return out
}

func nextAt(a []Arrival) time.Duration {
	if len(a) == 0 {
		return math.MaxInt64
	}
	return a[0].At
}
