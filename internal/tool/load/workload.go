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

// largestCustomer is the customer with the largest share of the load.
const largestCustomer hoist.CustomerID = "largest"

// classes lists the classes in the order in which slots are offered and rows
// are printed.
var classes = []hoist.Class{hoist.Quick, hoist.Patient}

// Scale sets the size of the work, which determines how many requests per second
// make up a load.
type Scale struct {
	// Quick and Patient are the minimum service times of each class at an executor
	// of speed 1. Service times are between once and twice the minimum, except for
	// stragglers.
	Quick, Patient time.Duration
	// QuickTimeout and PatientTimeout bound the waiting time.
	QuickTimeout, PatientTimeout time.Duration
	// LengthDivisor divides the length of the workload.
	LengthDivisor int
}

// VirtualScale is the scale of runs on virtual time.
var VirtualScale = Scale{
	Quick: 5 * time.Millisecond, Patient: 200 * time.Millisecond,
	QuickTimeout: 500 * time.Millisecond, PatientTimeout: 2 * time.Minute, LengthDivisor: 1,
}

// RealScale is the scale of runs through daemons on loopback: a few hundred requests
// per second, so that the run measures the scheduler and not the load of the machine.
var RealScale = Scale{
	Quick: 50 * time.Millisecond, Patient: 400 * time.Millisecond,
	QuickTimeout: 2 * time.Second, PatientTimeout: time.Minute, LengthDivisor: 2,
}

// Arrival is one request of an input; At is its offset from the start of the load.
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
	// The executor is SlowBy times slower from SlowFrom until SlowUntil.
	SlowFrom, SlowUntil time.Duration
	SlowBy              float64
}

// ServiceTime returns how long the executor takes for the work of a request that
// starts at the given time.
func (e ExecutorSpec) ServiceTime(work, at time.Duration) time.Duration {
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
	// KillHost is set if a host is to be killed halfway; only runs through daemons
	// can do that.
	KillHost bool
}

// Workload describes a load.
type Workload struct {
	Name, Help string
	Length     time.Duration
	// Load returns the offered load as a fraction of the capacity of the executors,
	// at a time after the start of a workload of full length.
	Load func(at time.Duration) float64
	// QuickShare is the share of quick requests in the work.
	QuickShare float64
	// LargestShare is the share of the requests that the largest customer submits.
	LargestShare float64
	// StragglerFactor is how many times longer a straggler among the patient requests
	// runs; one in a hundred is a straggler.
	StragglerFactor float64
	// SlowExecutor makes an executor ten times slower in the middle third.
	SlowExecutor  bool
	ShowCustomers bool
	KillHost      bool
}

// Sizes of the load cell.
const (
	numExecutors = 10
	numCustomers = 12
	// stragglerShare is the share of requests that are stragglers.
	stragglerShare = 0.01
	// quickStragglerFactor is how many times longer quick stragglers run.
	quickStragglerFactor = 20
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// swing rises to five times the base load within two seconds, stays there, and
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
	equalShare := 1.0 / numCustomers
	return []Workload{
		{
			Name: "load80", Help: "80% load", Length: 30 * time.Second, Load: constant(0.8),
			QuickShare: 0.4, LargestShare: equalShare, StragglerFactor: 20,
		},
		{
			Name: "swing", Help: "five times the load within 2 s and back", Length: 20 * time.Second, Load: swing,
			QuickShare: 0.9, LargestShare: 0.6, StragglerFactor: 20,
		},
		{
			Name: "overload", Help: "1.3 times the capacity of the executors, for a minute", Length: time.Minute, Load: constant(1.3),
			QuickShare: 0.85, LargestShare: equalShare, StragglerFactor: 20,
		},
		{
			Name: "slowexec", Help: "one executor of ten is ten times slower in the middle third", Length: 30 * time.Second, Load: constant(0.7),
			QuickShare: 0.6, LargestShare: equalShare, StragglerFactor: 20, SlowExecutor: true,
		},
		{
			Name: "unfair", Help: "the largest customer submits most of an overload", Length: 20 * time.Second, Load: constant(1.2),
			QuickShare: 0.8, LargestShare: 0.8, StragglerFactor: 20, ShowCustomers: true,
		},
		{
			Name: "mixed", Help: "mostly patient work with long stragglers, and quick work", Length: 30 * time.Second, Load: constant(0.9),
			QuickShare: 0.2, LargestShare: equalShare, StragglerFactor: 40,
		},
		{
			Name: "killhost", Help: "a host is killed halfway (daemons only)", Length: 20 * time.Second, Load: constant(0.6),
			QuickShare: 0.6, LargestShare: equalShare, StragglerFactor: 20, KillHost: true,
		},
	}
}

// Find returns the workload with the given name, or hoist.ErrNotFound.
func Find(name string) (Workload, error) {
	for _, w := range Workloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("workload %q", name))
}

// Input generates the arrivals of the workload. The same scale and seed give the
// same input.
func (w Workload) Input(s Scale, seed uint64) Input {
	in := Input{
		Name: w.Name, Executors: w.executors(s), Length: w.Length / time.Duration(s.LengthDivisor),
		ShowCustomers: w.ShowCustomers, KillHost: w.KillHost,
	}
	capacity := 0.0
	for _, e := range in.Executors {
		capacity += slotsPerExecutor * e.Speed
	}
	shares := map[hoist.Class]float64{hoist.Quick: w.QuickShare, hoist.Patient: 1 - w.QuickShare}
	streams := make([][]Arrival, 0, len(classes))
	for i, class := range classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		streams = append(streams, w.stream(s, class, capacity*shares[class], in.Length, rng))
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
		length := w.Length / time.Duration(s.LengthDivisor)
		out[0].SlowFrom, out[0].SlowUntil = length/3, 2*length/3
	}
	return out
}

// stream returns the arrivals of one class, as a Poisson process whose rate follows
// the load.
func (w Workload) stream(s Scale, class hoist.Class, capacity float64, length time.Duration, rng *rand.Rand) []Arrival {
	minWork, timeout, stragglerFactor := s.Quick, s.QuickTimeout, float64(quickStragglerFactor)
	if class == hoist.Patient {
		minWork, timeout, stragglerFactor = s.Patient, s.PatientTimeout, w.StragglerFactor
	}
	meanSeconds := 1.5 * minWork.Seconds() * (1 + stragglerShare*(stragglerFactor-1))
	var out []Arrival
	for at := time.Duration(0); ; {
		rate := capacity * w.Load(at*time.Duration(s.LengthDivisor)) / meanSeconds
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		work := minWork + time.Duration(rng.Int64N(int64(minWork)))
		if rng.Float64() < stragglerShare {
			work = time.Duration(float64(work) * stragglerFactor)
		}
		out = append(out, Arrival{
			At: at, Key: hoist.RequestKey(fmt.Sprintf("%s-%06d", class, len(out))), Customer: w.customer(rng),
			Class: class, Work: work, Timeout: timeout,
		})
	}
}

func (w Workload) customer(rng *rand.Rand) hoist.CustomerID {
	if rng.Float64() < w.LargestShare {
		return largestCustomer
	}
	return hoist.CustomerID(fmt.Sprintf("small-%02d", 1+rng.IntN(numCustomers-1)))
}

// merge merges two streams in order of time.
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
