package intake_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/core/intake"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// teamService is a service whose callers have keys: the name of the team and a number.
type teamService struct {
	*testService
	refused []intake.Cause
}

func newTeamService(t *testing.T) *teamService {
	s := &teamService{testService: newTestService(t)}
	teams := map[hoist.KeyHash]hoist.TeamID{hash("a-1"): "a", hash("a-2"): "a", hash("b-1"): "b"}
	s.Identify = func(queue hoist.QueueEntry, key hoist.KeyHash) (hoist.PlanCaller, error) {
		team, ok := teams[key]
		switch {
		case key == hash("old"):
			return hoist.PlanCaller{}, hoist.ErrUnavailable
		case queue.IsPublic:
			return hoist.PlanCaller{Team: team}, nil
		case !ok:
			return hoist.PlanCaller{}, hoist.ErrDenied
		default:
			return hoist.PlanCaller{Team: team, IsLimited: true}, nil
		}
	}
	s.Refused = func(c intake.Cause) { s.refused = append(s.refused, c) }
	return s
}

func hash(key string) hoist.KeyHash {
	return access.Hash(access.Token(key))
}

// as returns the calls of the holder of a key.
func (s *teamService) as(key string) hoist.PlanCalls {
	s.t.Helper()
	calls, err := s.Authorize(hoist.QueueEntry{Queue: plan.Queue}, hash(key))
	is.New(s.t).NoErr(err)
	return calls
}

// wantReach fails the test unless the holder of a key gets the wanted error for each call
// about the plan; nil stands for success.
func (s *teamService) wantReach(calls hoist.PlanCalls, want error) {
	s.t.Helper()
	is := is.New(s.t)
	ctx := context.Background()
	_, err := calls.Phase(ctx, "checks", plan.ID)
	is.True(errors.Is(err, want))
	is.True(errors.Is(calls.Submit(ctx, plan), want))
	is.True(errors.Is(calls.Cancel(ctx, "checks", plan.ID), want))
	row, err := s.link.Get(ctx, keys.Cancel(home, plan.ID))
	is.NoErr(err)
	is.Equal(row.Version > 0, want == nil)
}

// TestTeamIsRecorded guards against plans that are charged to no team or to one that the
// client chooses, and against rows that differ without keys.
func TestTeamIsRecorded(t *testing.T) {
	ctx := context.Background()
	wantTeam := func(t *testing.T, s *testService, want hoist.TeamID) {
		t.Helper()
		is := is.New(t)
		row, err := s.link.Get(ctx, keys.Plan(home, plan.ID))
		is.NoErr(err)
		p, err := codec.DecodePlan(plan.ID, row.Value)
		is.NoErr(err)
		is.Equal(p.Team, want)
		row, err = s.link.Get(ctx, keys.State(home, plan.ID))
		is.NoErr(err)
		state, err := codec.DecodePlanState(row.Value)
		is.NoErr(err)
		is.Equal(state.Team, want)
	}
	t.Run("with a key", func(t *testing.T) {
		s := newTeamService(t)
		other := plan
		other.Team = "b"
		is.New(t).NoErr(s.as("a-1").Submit(ctx, other))
		wantTeam(t, s.testService, "a")
	})
	t.Run("without keys", func(t *testing.T) {
		s := newTestService(t)
		calls, err := s.Authorize(hoist.QueueEntry{Queue: plan.Queue}, hash("a-1"))
		is.New(t).NoErr(err)
		is.New(t).NoErr(calls.Submit(ctx, plan))
		wantTeam(t, s, "")
	})
}

// TestOtherTeams guards against a plan that another team sees, cancels or takes over by a
// submission under its id, and against one that its own team cannot reach.
func TestOtherTeams(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name, submitter, caller string
		want                    error
	}{
		{"same key", "a-1", "a-1", nil},
		{"another key of the same team", "a-1", "a-2", nil},
		{"another team", "a-1", "b-1", hoist.ErrOtherTeam},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTeamService(t)
			is.New(t).NoErr(s.as(tc.submitter).Submit(ctx, plan))
			s.wantReach(s.as(tc.caller), tc.want)
		})
	}
	t.Run("plan of an earlier version", func(t *testing.T) {
		s := newTeamService(t)
		is.New(t).NoErr(s.submit()) // records no team
		s.wantReach(s.as("b-1"), nil)
	})
	t.Run("public queue", func(t *testing.T) {
		s := newTeamService(t)
		is.New(t).NoErr(s.as("a-1").Submit(ctx, plan))
		for _, key := range []string{"b-1", "unknown"} {
			calls, err := s.Authorize(hoist.QueueEntry{Queue: plan.Queue, IsPublic: true}, hash(key))
			is.New(t).NoErr(err)
			s.wantReach(calls, nil)
		}
	})
	t.Run("plan that cannot be read", func(t *testing.T) {
		is := is.New(t)
		s := newTeamService(t)
		is.NoErr(s.as("a-1").Submit(ctx, plan))
		_, err := s.link.Commit(ctx, hoist.Transaction{Writes: []hoist.Write{{RowRef: keys.State(home, plan.ID), Value: []byte("?")}}})
		is.NoErr(err)
		is.True(errors.Is(s.as("b-1").Submit(ctx, plan), hoist.ErrOutcomeUnknown)) // neither accepted nor certainly refused
	})
	t.Run("state was removed after the end", func(t *testing.T) {
		is := is.New(t)
		s := newTeamService(t)
		is.NoErr(s.as("a-1").Submit(ctx, plan))
		s.Store = stateRemover{s.link}
		is.NoErr(s.as("a-1").Submit(ctx, plan))
	})
}

// stateRemover is a store in which no state can be read any more.
type stateRemover struct{ hoist.Store }

func (s stateRemover) Get(_ context.Context, ref hoist.RowRef) (hoist.StoredRow, error) {
	return hoist.StoredRow{RowRef: ref}, nil
}

// TestRefusalsAreCounted guards against refused calls that operators cannot see, or that
// are counted under another cause.
func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	s := newTeamService(t)
	for _, key := range []hoist.KeyHash{{}, hash("unknown"), hash("old")} {
		calls, err := s.Authorize(hoist.QueueEntry{Queue: plan.Queue}, key)
		is.True(err != nil)
		is.Equal(calls, nil)
	}
	is.NoErr(s.as("a-1").Submit(context.Background(), plan))
	_, err := s.as("b-1").Phase(context.Background(), "checks", plan.ID)
	is.True(errors.Is(err, hoist.ErrOtherTeam))
	is.Equal(s.refused, []intake.Cause{intake.CauseNoKey, intake.CauseUnknownKey, intake.CauseOldConfig, intake.CauseOtherTeam})
}
