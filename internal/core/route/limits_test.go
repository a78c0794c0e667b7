package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/queue"
)

type limitsOwnership struct{ hoist.Ownership }

func (limitsOwnership) Self() hoist.HostID { return "h1" }

type limitsClock struct{}

func (limitsClock) Now() time.Time { return time.Unix(1_000_000, 0) }

// TestSetLimits guards against an accepted configuration that does not apply to the
// requests that arrive after it.
func TestSetLimits(t *testing.T) {
	is := is.New(t)
	r := &Router{Clock: limitsClock{}, Ownership: limitsOwnership{}}
	r.init()
	callOf := func(customer hoist.CustomerID) *call {
		return &call{request: hoist.Request{Service: "s", Class: hoist.Patient, Customer: customer}}
	}
	push := func(c *call) error {
		_, err := r.queueOf(c).Push(c.request, r.costOf(c), c, r.Clock.Now())
		return err
	}
	is.NoErr(push(callOf("small")))
	is.NoErr(push(callOf("small")))
	r.SetLimits(Limits{Queue: queue.Limits{PerCustomer: 2}, Weights: map[hoist.CustomerID]int{"large": 4}})
	is.True(push(callOf("small")) != nil) // the limit applies to the existing queue
	is.Equal(r.costOf(callOf("small")), 4*r.costOf(callOf("large")))
	now := r.Clock.Now()
	r.retries.CountRequest(now)
	is.True(!r.retries.Take(now)) // the limits allow no retries
}
