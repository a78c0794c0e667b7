// Package quar keeps quarantined plans: accepted plans that no owner of the cell
// handles, because their rows cannot be decoded, break a limit, or made an owner
// panic. A quarantined plan stays in the store until an operator releases or drops
// it, or its client cancels it.
//
// # Usage
//
//	list, err := quar.List(ctx, store)
//	err = quar.Release(ctx, store, list[0].Ref) // the owner tries the plan again
//	err = quar.Drop(ctx, store, list[0].Ref, now) // the plan ends as cancelled
//
// The row of a quarantine is in the table of plans, beside the plan, so that the
// owner learns of a change like that of a plan. Earlier versions skip it as a plan
// that cannot be decoded.
package quar

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/keys"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// MaxFailures is the number of panics from which a plan is held.
const MaxFailures = 2

// Ref identifies an accepted plan: the part that holds it, and its id.
type Ref struct {
	Part hoist.PartName
	Job  hoist.JobID
}

// Entry is the quarantine of a plan.
type Entry struct {
	Ref    Ref
	Queue  hoist.QueueName
	Reason string
	// Failures counts the panics while the plan was handled.
	Failures int
	// IsHeld tells that the plan is not handled. Without it, the entry only counts
	// failures.
	IsHeld bool
	// LosesEnds tells that ends of its tasks were acknowledged without being recorded. The plan
	// cannot be released then, as these tasks would run again.
	LosesEnds bool
	At        time.Time
}

// maxReason bounds the recorded reason, in bytes.
const maxReason = 500

// Write returns the write of the row of an entry.
func (e Entry) Write() hoist.Write {
	reason := e.Reason[:min(len(e.Reason), maxReason)]
	return hoist.Write{
		RowRef: keys.Quarantine(e.Ref.Part, e.Ref.Job),
		Value: codec.EncodeStoreRow(rows.Quarantine{
			Queue: string(e.Queue), Reason: reason, Failures: e.Failures, Held: e.IsHeld, AtMs: int(e.At.UnixMilli()),
			EndsLost: e.LosesEnds,
		}),
	}
}

// Decode returns the entry of a row in the table of plans. It reports false if the row
// is not that of a quarantine. A quarantine that cannot be decoded holds its plan.
func Decode(row hoist.StoredRow) (Entry, bool) {
	id, ok := keys.QuarantineOf(row.Key)
	if !ok {
		return Entry{}, false
	}
	e := Entry{Ref: Ref{row.Part, id}, IsHeld: true, Reason: "the row of the quarantine cannot be decoded"}
	r, err := codec.DecodeStoreRow[rows.Quarantine](row.Value)
	if err != nil {
		return e, true
	}
	return Entry{
		Ref: e.Ref, Queue: hoist.QueueName(r.Queue), Reason: r.Reason, Failures: r.Failures, IsHeld: r.Held,
		LosesEnds: r.EndsLost, At: time.UnixMilli(int64(r.AtMs)),
	}, true
}

// List returns the entries of all parts of the store.
func List(ctx context.Context, store hoist.Store) ([]Entry, error) {
	var out []Entry
	for _, part := range keys.Parts() {
		found, _, err := store.Scan(ctx, keys.Plans, part)
		if err != nil {
			return nil, merry.Prependf(err, "reading the plans of part %s", part)
		}
		for _, row := range found {
			if e, ok := Decode(row); ok {
				out = append(out, e)
			}
		}
	}
	return out, nil
}

// Find returns the entry of a plan in any part. It returns hoist.ErrNotFound if the
// plan is not quarantined.
func Find(ctx context.Context, store hoist.Store, id hoist.JobID) (Entry, error) {
	for _, part := range keys.PartsOf(id) {
		row, err := store.Get(ctx, keys.Quarantine(part, id))
		if err != nil {
			return Entry{}, merry.Prependf(err, "reading the quarantine of plan %s", id)
		}
		if row.Version > 0 {
			e, _ := Decode(row)
			return e, nil
		}
	}
	return Entry{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("quarantine of plan %s", id))
}

// Release removes the quarantine of a plan. The owner of the cell then tries the plan
// again. It returns hoist.ErrInvalid for a plan whose tasks would run again, which can only
// be dropped.
func Release(ctx context.Context, store hoist.Store, ref Ref) error {
	row, err := store.Get(ctx, keys.Quarantine(ref.Part, ref.Job))
	if err != nil {
		return err
	}
	if e, ok := Decode(row); ok && row.Version > 0 && e.LosesEnds {
		return merry.Wrap(hoist.ErrInvalid, merry.AppendMessagef("ends of plan %s were not recorded: its tasks would run again", ref.Job))
	}
	_, err = store.Commit(ctx, hoist.Transaction{
		Preconditions: []hoist.Precondition{{RowRef: row.RowRef, Version: row.Version}}, Remove: []hoist.RowRef{row.RowRef},
	})
	return err
}

// Drop ends a quarantined plan as cancelled and removes it. It returns
// hoist.ErrNotFound if the plan is not quarantined, and hoist.ErrConflict if it was
// released meanwhile.
func Drop(ctx context.Context, store hoist.Store, ref Ref, now time.Time) error {
	quarantine, err := store.Get(ctx, keys.Quarantine(ref.Part, ref.Job))
	if err != nil {
		return err
	}
	if quarantine.Version == 0 {
		return merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("quarantine of plan %s", ref.Job))
	}
	state, err := store.Get(ctx, keys.State(ref.Part, ref.Job))
	if err != nil {
		return err
	}
	entry, _ := Decode(quarantine)
	ended := hoist.PlanState{Queue: entry.Queue, Phase: hoist.PlanCancelled, Ended: now}
	if old, err := codec.DecodePlanState(state.Value); err == nil {
		ended.Queue, ended.Team = old.Queue, old.Team
	}
	_, err = store.Commit(ctx, hoist.Transaction{
		Preconditions: []hoist.Precondition{
			{RowRef: quarantine.RowRef, Version: quarantine.Version}, {RowRef: state.RowRef, Version: state.Version},
		},
		Writes: []hoist.Write{{RowRef: state.RowRef, Value: codec.EncodePlanState(ended)}},
		Remove: []hoist.RowRef{quarantine.RowRef, keys.Plan(ref.Part, ref.Job), keys.Cancel(ref.Part, ref.Job)},
	})
	return err
}
