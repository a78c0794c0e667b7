package intake

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// tombstone returns the transaction that keeps a plan from being accepted in a part, where it
// is not recorded. The transaction of a submission that is still on its way expects that the
// plan has no state. The cancellation makes the owner of the cell remove both rows later.
func (s *Service) tombstone(part hoist.PartName, team hoist.TeamID, queue hoist.QueueName, id hoist.JobID) hoist.Transaction {
	state := hoist.PlanState{Queue: queue, Team: team, Phase: hoist.PlanCancelled, Ended: s.Clock.Now(), IsTombstone: true}
	return hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: keys.State(part, id)}},
		Writes: []hoist.Write{
			{RowRef: keys.State(part, id), Value: codec.EncodePlanState(state)},
			{RowRef: keys.Cancel(part, id), Value: []byte(keys.TombstoneCancel)},
		},
	}
}

// writeTombstones writes the tombstone of a plan that no part has to all of its parts. It
// returns nil once none of them can accept the plan any more, and hoist.ErrConflict if one of
// them has accepted it meanwhile.
func (s *Service) writeTombstones(ctx context.Context, team hoist.TeamID, queue hoist.QueueName, id hoist.JobID) error {
	for _, part := range keys.PartsOf(id) {
		_, _, err := s.commit(ctx, part, s.tombstone(part, team, queue, id))
		if err == nil {
			continue
		}
		if !errors.Is(err, hoist.ErrConflict) {
			return err
		}
		isTombstone, err := s.hasTombstone(ctx, part, id)
		if err != nil {
			return err
		}
		if !isTombstone {
			return merry.Wrap(hoist.ErrConflict, merry.AppendMessagef("plan %s was accepted meanwhile", id))
		}
	}
	return nil
}

// hasTombstone reports whether a part has the tombstone of a plan.
func (s *Service) hasTombstone(ctx context.Context, part hoist.PartName, id hoist.JobID) (bool, error) {
	row, err := s.get(ctx, keys.State(part, id))
	if err != nil || row.Version == 0 {
		return false, err
	}
	state, err := codec.DecodePlanState(row.Value)
	return err == nil && state.IsTombstone, nil
}

// tryAccept tries to accept a plan in a part once. A conflict with a tombstone has no effect,
// unlike one with the plan itself, which an earlier try has recorded.
func (s *Service) tryAccept(ctx context.Context, part hoist.PartName, p hoist.Plan, limit time.Duration) commitResult {
	r := s.try(ctx, part, acceptTransaction(part, p), limit)
	if !errors.Is(r.err, hoist.ErrConflict) {
		return r
	}
	isTombstone, err := s.hasTombstone(ctx, part, p.ID)
	switch {
	case err != nil:
		r.err = hoist.ConvertError(hoist.ErrOutcomeUnknown, err)
	case isTombstone:
		r.err = merry.Wrap(hoist.ErrUnavailable, merry.AppendMessagef("plan %s was cancelled before it was accepted", p.ID))
	}
	return r
}
