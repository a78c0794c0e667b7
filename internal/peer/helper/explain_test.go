package helper_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/helper"
)

var knownExplanation = hoist.PlanExplanation{
	Term: 3, Ahead: 1, Waiting: 4,
	Team: hoist.TeamStanding{
		Team: "t", Used: hoist.Resources{CPU: 1, Memory: 2, Accel: 3}, Quota: hoist.Resources{CPU: 4, Memory: 5, Accel: 6},
		Share: 0.25, FairShare: 0.5, IsBeyondRate: true,
	},
	Steps: []hoist.StepExplanation{{
		Step: 1, Count: 2, IsReady: true, Placed: 1, WaitsFor: "r1", StartsIn: 20 * time.Millisecond, IsStartKnown: true, Workers: 7,
		Refusals: []hoist.Refusal{{Cause: "leaving", Workers: 5}},
		Candidates: []hoist.ExplainedWorker{{
			Worker: "w", Rack: "r1", Score: 1.5, IsRemote: true, Places: 3, Placed: 1, RunTime: time.Second, Cause: "leaving",
		}},
	}},
}

// fakeExplainer is a fake hoist.Explainer. It waits until release is closed, if that is
// not nil.
type fakeExplainer struct {
	release chan struct{}
	asked   chan hoist.Plan
}

func (f fakeExplainer) Explain(_ context.Context, p hoist.Plan, _ int) (hoist.PlanExplanation, error) {
	f.asked <- p
	if f.release != nil {
		<-f.release
	}
	return knownExplanation, nil
}

// newExplainClient returns a client of a server with the given explainer.
func newExplainClient(t *testing.T, e hoist.Explainer) *helper.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	// Run returns no error after its context has ended.
	go func() { _ = (&helper.Server{Listener: l, Adviser: fakeAdviser{}, Explainer: e}).Run(ctx) }()
	c := &helper.Client{Addr: l.Addr().String()}
	t.Cleanup(c.Close)
	return c
}

// TestExplain guards against explanations that are changed in transit, and against
// requests that take more of the owner than allowed.
func TestExplain(t *testing.T) {
	ctx := context.Background()
	plan := hoist.Plan{Payload: "secret", Queue: hoist.Queue{Name: "q"}, Steps: []hoist.Step{{Count: 2, PreferredRack: "r1", MaxUnavailable: -1}}}
	t.Run("explanation is returned unchanged, and the payload stays here", func(t *testing.T) {
		is := is.New(t)
		e := fakeExplainer{asked: make(chan hoist.Plan, 1)}
		got, err := newExplainClient(t, e).Explain(ctx, plan, 5)
		is.NoErr(err)
		is.Equal(got, knownExplanation)
		asked := <-e.asked
		is.Equal(asked.Steps[0].PreferredRack, hoist.RackID("r1"))
		is.Equal(asked.Payload, "")
	})
	t.Run("one at a time", func(t *testing.T) {
		is := is.New(t)
		e := fakeExplainer{release: make(chan struct{}), asked: make(chan hoist.Plan, 2)}
		c := newExplainClient(t, e)
		first := make(chan error, 1)
		go func() {
			_, err := c.Explain(ctx, plan, 5)
			first <- err
		}()
		<-e.asked
		_, err := c.Explain(ctx, plan, 5)
		is.True(errors.Is(err, hoist.ErrUnavailable))
		close(e.release)
		is.NoErr(<-first)
	})
	t.Run("plan is too large", func(t *testing.T) {
		is := is.New(t)
		large := plan
		large.Steps = []hoist.Step{{Requires: hoist.Label(strings.Repeat("x", 70_000))}}
		_, err := newExplainClient(t, fakeExplainer{asked: make(chan hoist.Plan, 1)}).Explain(ctx, large, 5)
		is.True(errors.Is(err, hoist.ErrUnavailable))
	})
	t.Run("host explains nothing", func(t *testing.T) {
		_, err := newExplainClient(t, nil).Explain(ctx, plan, 5)
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
	})
}
