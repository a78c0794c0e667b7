package plans

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// minExplainInterval is the shortest time between two explanations.
	minExplainInterval = 500 * time.Millisecond
	// explainPauseFactor is how many times as long as an explanation the pause after it
	// is. Nothing else is decided meanwhile, so this bounds the share of time that
	// explanations take to a twentieth.
	explainPauseFactor = 20
)

var _ hoist.Explainer = (*Driver)(nil)

// Explain implements hoist.Explainer. A plan that breaks the limits of the owner is
// refused with hoist.ErrInvalid, like a submission.
func (d *Driver) Explain(ctx context.Context, p hoist.Plan, maxCandidates int) (out hoist.PlanExplanation, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	switch {
	case d.scheduler == nil || !d.isReady || d.isBroken:
		return out, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("the plans have not been recovered yet"))
	case now.Before(d.nextExplain):
		return out, merry.Wrap(hoist.ErrOverLimit, merry.PrependMessagef("no explanation for another %v", d.nextExplain.Sub(now)))
	}
	p.Accepted = now
	if err := d.Limits.Check(p); err != nil {
		return out, err
	}
	defer func() {
		end := d.Clock.Now()
		d.nextExplain = end.Add(max(minExplainInterval, explainPauseFactor*end.Sub(now)))
	}()
	// A panic leaves the scheduler as it was: the plan is placed in a copy.
	if panicked := d.Guard.Do(ctx, workExplain, func() { out = d.scheduler.Explain(p, maxCandidates, now) }); panicked != nil {
		return out, panicked
	}
	return out, nil
}
