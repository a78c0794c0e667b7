package intake

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// Cause tells why a call was refused because of its key.
type Cause string

// The causes.
const (
	// CauseNoKey and CauseUnknownKey are answered as denied.
	CauseNoKey      Cause = "no-key"
	CauseUnknownKey Cause = "unknown-key"
	// CauseOldConfig means that the configuration is too old to tell whether the key is
	// valid.
	CauseOldConfig Cause = "old-configuration"
	// CauseOtherTeam means that the plan belongs to another team.
	CauseOtherTeam Cause = "other-team"
)

// authorized are the calls of one caller.
type authorized struct {
	*Service
	caller hoist.PlanCaller
}

var _ hoist.PlanCalls = authorized{}

// Authorize implements hoist.PlanService.
func (s *Service) Authorize(queue hoist.QueueEntry, key hoist.KeyHash) (hoist.PlanCalls, error) {
	if s.Identify == nil {
		return s, nil
	}
	caller, err := s.Identify(queue, key)
	switch {
	case err == nil:
		return authorized{s, caller}, nil
	case !errors.Is(err, hoist.ErrDenied):
		s.countRefusal(CauseOldConfig)
	case key == hoist.KeyHash{}:
		s.countRefusal(CauseNoKey)
	default:
		s.countRefusal(CauseUnknownKey)
	}
	return nil, err
}

func (s *Service) countRefusal(cause Cause) {
	if s.Refused != nil {
		s.Refused(cause)
	}
}

// Submit implements hoist.PlanCalls.
func (a authorized) Submit(ctx context.Context, p hoist.Plan) error {
	p.Team = a.caller.Team
	return a.submit(ctx, a.caller, p)
}

// Phase implements hoist.PlanCalls.
func (a authorized) Phase(ctx context.Context, queue hoist.QueueName, id hoist.JobID) (hoist.PlanPhase, error) {
	return a.phase(ctx, a.caller, queue, id)
}

// Cancel implements hoist.PlanCalls.
func (a authorized) Cancel(ctx context.Context, queue hoist.QueueName, id hoist.JobID) error {
	return a.cancel(ctx, a.caller, queue, id)
}

// checkTeam returns hoist.ErrOtherTeam if a caller may not reach a plan of a team.
func (s *Service) checkTeam(caller hoist.PlanCaller, id hoist.JobID, team hoist.TeamID) error {
	if caller.MayReach(team) {
		return nil
	}
	s.countRefusal(CauseOtherTeam)
	return merry.Wrap(hoist.ErrOtherTeam, merry.PrependMessagef("plan %s", id))
}

// checkExisting checks the plan with which the submission of a caller conflicts in a part.
// It returns hoist.ErrConflict if the plan is one that the caller may reach, so that both
// are the same one, and hoist.ErrOutcomeUnknown if the plan cannot be read.
func (s *Service) checkExisting(ctx context.Context, caller hoist.PlanCaller, part hoist.PartName, id hoist.JobID) error {
	if !caller.IsLimited {
		return hoist.ErrConflict
	}
	row, err := s.get(ctx, keys.State(part, id))
	if err != nil {
		return hoist.ConvertErrorf(hoist.ErrOutcomeUnknown, err, "plan %s exists and its team is not known", id)
	}
	if row.Version == 0 {
		// The plan has ended, and its state was removed meanwhile.
		return hoist.ErrConflict
	}
	state, err := codec.DecodePlanState(row.Value)
	if err != nil {
		return hoist.ConvertErrorf(hoist.ErrOutcomeUnknown, err, "decode the state of plan %s", id)
	}
	if err := s.checkTeam(caller, id, state.Team); err != nil {
		return err
	}
	return hoist.ErrConflict
}
