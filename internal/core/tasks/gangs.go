package tasks

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

const (
	// turnTime is how long a gang may hold capacity without getting all it
	// needs, before the next gang has its turn. It bounds what a gang costs
	// that waits for capacity that services never free.
	turnTime = 2 * time.Minute
	// chooseAgain is how long a gang waits for held workers before it chooses
	// others.
	chooseAgain = 15 * time.Second
)

// gangTry is the placing of an all-at-once job over several passes.
type gangTry struct {
	isBusy bool
	// kept are the places that the job holds or waits for.
	kept map[hoist.TaskID]keptPlace
	// since is when the turn began, chosen when workers were last chosen.
	since, chosen time.Time
	// resting is when the job may hold capacity again.
	resting time.Time
}

// keptPlace is a place that a gang holds, or one that it waits for.
type keptPlace struct {
	hoist.Placement
	isReserved bool
}

// tryOf returns the state of placing a gang. The mutex is held.
func (m *Manager) tryOf(id hoist.JobID) *gangTry {
	try, ok := m.gangs[id]
	if !ok {
		try = &gangTry{}
		m.gangs[id] = try
	}
	return try
}

// mayHold reports whether a gang takes part in the turns: it can run at all and
// is not resting after a turn. The mutex is held.
func (m *Manager) mayHold(j *jobs.Job) bool {
	if _, ok := m.shardOf(j.Spec.Team); !ok || j.Version == 0 || isStuck(j.Reason) || strings.HasPrefix(j.Reason, quotaPrefix) {
		return false
	}
	try, ok := m.gangs[j.Spec.ID]
	return !ok || !m.Clock.Now().Before(try.resting)
}

// currentTurn returns the gang of this host that may hold capacity: the one
// that has waited longest in the cell. The mutex is held.
func (m *Manager) currentTurn() hoist.JobID {
	own := m.book.OldestGang(m.mayHold)
	if own.Job == "" {
		return ""
	}
	for host, h := range m.heard {
		if _, ok := m.Own.Peer(host); ok && h.gang.Job != "" && jobs.IsBefore(h.gang, own) {
			return ""
		}
	}
	return own.Job
}

// placeGang chooses places for all tasks of a gang and starts to claim them. A
// gang that has its turn also waits for places that are taken now. It returns
// why the gang waits.
func (m *Manager) placeGang(ctx context.Context, fleet *jobs.WorkerPool, w wanted) string {
	ps := make([]hoist.Placement, 0, len(w.tasks))
	var chosen []jobs.Choice
	var open []*jobs.Task
	missing := 0
	for _, t := range w.tasks {
		kept, isKept := w.kept[t.ID]
		if isKept && kept.isReserved && w.isTurn {
			ps = append(ps, kept.Placement)
			continue
		}
		choice, ok := fleet.Choose(w.job.Spec, w.ask)
		if !ok {
			missing++
			if isKept && w.isTurn {
				ps = append(ps, kept.Placement)
			} else {
				open = append(open, t)
			}
			continue
		}
		chosen = append(chosen, choice)
		ps = append(ps, m.newPlacement(t, choice, w.term))
	}
	reason := ""
	if missing > 0 {
		reason = fmt.Sprintf("%d of %d tasks have no place now; all must start together", missing, len(w.tasks))
	}
	if missing > 0 && !w.isTurn {
		for _, c := range chosen {
			fleet.Give(c, w.job.Spec)
		}
		return reason
	}
	if w.isTurn {
		for i, id := range fleet.ChooseHolds(w.ask, len(open)) {
			ps = append(ps, m.newPlacement(open[i], jobs.Choice{Worker: id}, w.term))
		}
	}
	m.mu.Lock()
	m.tryOf(w.job.Spec.ID).isBusy = true
	m.mu.Unlock()
	m.calls.running.Go(func() { m.claimGang(ctx, w, ps) })
	return reason
}

func (m *Manager) newPlacement(t *jobs.Task, c jobs.Choice, term hoist.Term) hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placementOf(t, c, t.Job.NewAttempt(), term)
}

// claimGang reserves the places of a gang and starts it when all are reserved.
func (m *Manager) claimGang(ctx context.Context, w wanted, ps []hoist.Placement) {
	for i := range ps {
		ps[i].Hold = w.isTurn
		ps[i].Trial = true
	}
	results := m.callAll(ctx, ps, callReserve)
	reserved := 0
	for _, p := range ps {
		if results[p.Grant.Task] == nil {
			reserved++
		}
	}
	if reserved == len(w.tasks) {
		m.startGang(ctx, ps)
		return
	}
	if !w.isTurn {
		m.unreserve(ctx, ps)
		m.endTry(w.job.Spec.ID)
		return
	}
	m.unreserve(ctx, m.keep(ctx, w, ps, results))
}

// startGang starts all tasks of a gang whose places are reserved.
func (m *Manager) startGang(ctx context.Context, ps []hoist.Placement) {
	if !m.beginGang(ps) {
		m.unreserve(ctx, ps)
		m.endTry(ps[0].Grant.Job)
		return
	}
	results := m.callAll(ctx, ps, callStart)
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = results[p.Grant.Task]
	}
	m.apply(ctx, ps, errs, callStart)
	m.endTry(ps[0].Grant.Job)
}

// beginGang records the starts of a gang. It reports false if the gang may not
// start any more.
func (m *Manager) beginGang(ps []hoist.Placement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	tasks := make([]*jobs.Task, len(ps))
	charges := make([]quota.Charge, len(ps))
	for i, p := range ps {
		t, ok := m.book.Task(p.Grant.Task)
		s, isKept := m.shardOf(p.Grant.Team)
		if !ok || !isKept || s.term != p.TeamTerm || !m.book.MayBegin(t) {
			return false
		}
		tasks[i] = t
		charges[i] = chargeOf(p)
	}
	if err := m.quotas.Admit(charges...); err != nil {
		tasks[0].Job.Reason = quotaPrefix + err.Error()
		return false
	}
	tasks[0].Job.IsWhole = false
	for i, p := range ps {
		m.beginOne(tasks[i], p, m.Clock.Now())
	}
	return true
}

// confirmGangs tells the owners of the workers that all tasks of a gang run, as
// often as it takes.
func (m *Manager) confirmGangs(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.book.Unconfirmed() {
		s, ok := m.shardOf(j.Spec.Team)
		if try := m.tryOf(j.Spec.ID); !ok || try.isBusy {
			continue
		}
		m.tryOf(j.Spec.ID).isBusy = true
		var ps []hoist.Placement
		for _, t := range j.Tasks {
			if t.Phase == jobs.Running {
				ps = append(ps, placementOf(t, jobs.Choice{Worker: t.Worker}, t.Attempt, s.term))
			}
		}
		m.calls.running.Go(func() { m.confirmGang(ctx, j, ps) })
	}
}

// confirmGang tells the owners of the workers that all tasks of one gang run.
func (m *Manager) confirmGang(ctx context.Context, j *jobs.Job, ps []hoist.Placement) {
	isWhole := true
	for _, err := range m.callAll(ctx, ps, callReserve) {
		isWhole = isWhole && err == nil
	}
	m.mu.Lock()
	j.IsWhole = isWhole
	m.mu.Unlock()
	m.endTry(j.Spec.ID)
}

func (m *Manager) endTry(id hoist.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.gangs, id)
	m.wake()
}

// keep remembers the places that a gang holds or waits for until the next pass,
// and returns those to give back. A turn that lasts too long ends.
func (m *Manager) keep(ctx context.Context, w wanted, ps []hoist.Placement, results map[hoist.TaskID]error) []hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	try := m.tryOf(w.job.Spec.ID)
	try.isBusy = false
	if try.since.IsZero() {
		try.since, try.chosen = now, now
		events.GangReserves.Log(ctx, m.Log, "job", w.job.Spec.ID, "tasks", len(w.tasks))
	}
	try.kept = make(map[hoist.TaskID]keptPlace)
	if now.Sub(try.since) > turnTime || w.job.IsCancelled {
		try.since = time.Time{}
		try.resting = now.Add(turnTime)
		return ps
	}
	isOld := now.Sub(try.chosen) > chooseAgain
	if isOld {
		try.chosen = now
	}
	var back []hoist.Placement
	for _, p := range ps {
		err := results[p.Grant.Task]
		if err == nil || (errors.Is(err, hoist.ErrNoCapacity) && !isOld) {
			try.kept[p.Grant.Task] = keptPlace{p, err == nil}
		} else if isUnknown(err) {
			back = append(back, p)
		}
	}
	return back
}
