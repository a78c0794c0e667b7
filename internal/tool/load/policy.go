package load

import (
	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
	"fuchsiahoist.example/hoist/internal/decide/slots"
)

// Policy is a queueing and slot policy that can be simulated.
type Policy struct {
	Name string
	// IsBaseline is set for policies that exist for comparison only.
	IsBaseline bool
	newQueue   func() *queue.Queue[*request]
	newPool    func() *slots.Pool
}

// limits are the queue limits of every policy.
var limits = queue.Limits{PerCustomer: 5000}

// Policies returns the policy of the daemons and the baselines.
func Policies() []Policy {
	fair := func() *queue.Queue[*request] { return queue.New[*request](limits) }
	fifo := func() *queue.Queue[*request] { return queue.NewFIFO[*request](limits) }
	return []Policy{
		{"fair", false, fair, func() *slots.Pool { return slots.New(slots.FastestFree{}) }},
		{"round-robin-fifo", true, fifo, func() *slots.Pool { return slots.NewBaseline(&slots.RoundRobin{}) }},
		{"least-fifo", true, fifo, func() *slots.Pool { return slots.NewBaseline(slots.LeastOutstanding{}) }},
	}
}

// FindPolicy returns the policy with the given name, or hoist.ErrNotFound.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("policy %q", name))
}
