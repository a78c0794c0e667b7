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
	// maxGangReserveTime is how long a gang may reserve capacity without getting
	// all it needs, before the next gang may. It bounds the cost of a gang that
	// waits for capacity that services never free.
	maxGangReserveTime = 2 * time.Minute
	// gangRechooseDelay is how long a gang waits for capacity on the chosen
	// workers before it chooses others.
	gangRechooseDelay = 15 * time.Second
)

// gangPlacement is the state of placing a gang, which may take several passes.
type gangPlacement struct {
	isInFlight bool
	// places are the placements that the gang has reserved or waits for.
	places map[hoist.TaskID]gangPlace
	// reservingSince is when the gang began to reserve capacity, chosenAt when
	// its workers were last chosen.
	reservingSince, chosenAt time.Time
	// backoffUntil is when the gang may reserve capacity again.
	backoffUntil time.Time
}

// gangPlace is a placement that a gang has reserved or waits for.
type gangPlace struct {
	hoist.Placement
	isReserved bool
}

// gangPlacementOf returns the state of placing a gang and creates it if there is
// none. The mutex is held.
func (m *Manager) gangPlacementOf(id hoist.JobID) *gangPlacement {
	gang, ok := m.gangs[id]
	if !ok {
		gang = &gangPlacement{}
		m.gangs[id] = gang
	}
	return gang
}

// mayReserve reports whether a gang is eligible for reserving capacity: it can
// run at all and is not backing off after an earlier reservation. The mutex is
// held.
func (m *Manager) mayReserve(j *jobs.Job) bool {
	if _, ok := m.readyShard(j.Spec.Team); !ok || j.Version == 0 || isImpossible(j.Reason) || strings.HasPrefix(j.Reason, quotaReasonPrefix) {
		return false
	}
	gang, ok := m.gangs[j.Spec.ID]
	return !ok || !m.Clock.Now().Before(gang.backoffUntil)
}

// reservingGang returns the gang of this host that may reserve capacity, or "" if
// there is none. In the whole cell only the gang that has waited longest may. The
// mutex is held.
func (m *Manager) reservingGang() hoist.JobID {
	oldest := m.jobTracker.OldestGang(m.mayReserve)
	if oldest.Job == "" {
		return ""
	}
	for host, h := range m.heartbeats {
		if _, ok := m.Ownership.Peer(host); ok && h.gang.Job != "" && jobs.IsBefore(h.gang, oldest) {
			return ""
		}
	}
	return oldest.Job
}

// placeGang chooses workers for all tasks of a gang and begins to reserve
// capacity on them. A gang that may reserve also waits for capacity that is in
// use now. It returns why the gang waits.
func (m *Manager) placeGang(ctx context.Context, pool *jobs.WorkerPool, pj pendingJob) string {
	ps := make([]hoist.Placement, 0, len(pj.tasks))
	var chosen []jobs.Choice
	var unplaced []*jobs.Task
	missing := 0
	for _, t := range pj.tasks {
		place, hasPlace := pj.places[t.ID]
		if hasPlace && place.isReserved && pj.mayReserve {
			ps = append(ps, place.Placement)
			continue
		}
		choice, ok := pool.Choose(pj.job.Spec, pj.query)
		if !ok {
			missing++
			if hasPlace && pj.mayReserve {
				ps = append(ps, place.Placement)
			} else {
				unplaced = append(unplaced, t)
			}
			continue
		}
		chosen = append(chosen, choice)
		ps = append(ps, m.newPlacement(t, choice, pj.term))
	}
	reason := ""
	if missing > 0 {
		reason = fmt.Sprintf("%d of %d tasks have no place now; all must start together", missing, len(pj.tasks))
	}
	if missing > 0 && !pj.mayReserve {
		for _, c := range chosen {
			pool.Release(c, pj.job.Spec)
		}
		return reason
	}
	if pj.mayReserve {
		for i, id := range pool.ChooseReservations(pj.query, len(unplaced)) {
			ps = append(ps, m.newPlacement(unplaced[i], jobs.Choice{Worker: id}, pj.term))
		}
	}
	m.mu.Lock()
	m.gangPlacementOf(pj.job.Spec.ID).isInFlight = true
	m.mu.Unlock()
	m.calls.running.Go(func() { m.reserveGang(ctx, pj, ps) })
	return reason
}

func (m *Manager) newPlacement(t *jobs.Task, c jobs.Choice, term hoist.Term) hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placementOf(t, c, t.Job.NewAttempt(), term)
}

// reserveGang reserves capacity for the tasks of a gang and starts the gang when
// all of it is reserved.
func (m *Manager) reserveGang(ctx context.Context, pj pendingJob, ps []hoist.Placement) {
	for i := range ps {
		ps[i].ReserveFreed = pj.mayReserve
		ps[i].IsTentative = true
	}
	results := m.callAll(ctx, ps, callReserve)
	reserved := 0
	for _, p := range ps {
		if results[p.Grant.Task] == nil {
			reserved++
		}
	}
	if reserved == len(pj.tasks) {
		m.startGang(ctx, ps)
		return
	}
	if !pj.mayReserve {
		m.unreserve(ctx, ps)
		m.endGangPlacement(pj.job.Spec.ID)
		return
	}
	m.unreserve(ctx, m.keepGangPlaces(ctx, pj, ps, results))
}

// startGang starts all tasks of a gang whose capacity is reserved.
func (m *Manager) startGang(ctx context.Context, ps []hoist.Placement) {
	if !m.recordGangStart(ps) {
		m.unreserve(ctx, ps)
		m.endGangPlacement(ps[0].Grant.Job)
		return
	}
	results := m.callAll(ctx, ps, callStart)
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = results[p.Grant.Task]
	}
	m.applyResults(ctx, ps, errs, callStart)
	m.endGangPlacement(ps[0].Grant.Job)
}

// recordGangStart records that the starts of a gang are being sent. It returns
// false if the gang must not start any more.
func (m *Manager) recordGangStart(ps []hoist.Placement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	tasks := make([]*jobs.Task, len(ps))
	charges := make([]quota.Charge, len(ps))
	for i, p := range ps {
		t, ok := m.jobTracker.Task(p.Grant.Task)
		s, isReady := m.readyShard(p.Grant.Team)
		if !ok || !isReady || s.term != p.TeamTerm || !m.jobTracker.MayBegin(t) {
			return false
		}
		tasks[i] = t
		charges[i] = chargeOf(p)
	}
	if err := m.quotaTracker.Admit(charges...); err != nil {
		tasks[0].Job.Reason = quotaReasonPrefix + err.Error()
		return false
	}
	tasks[0].Job.IsGangConfirmed = false
	for i, p := range ps {
		m.recordStart(tasks[i], p, m.Clock.Now())
	}
	return true
}

// confirmGangs confirms to the owners of the workers that all tasks of a gang
// run. It is repeated until they have answered.
func (m *Manager) confirmGangs(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobTracker.UnconfirmedGangs() {
		s, ok := m.readyShard(j.Spec.Team)
		if gang := m.gangPlacementOf(j.Spec.ID); !ok || gang.isInFlight {
			continue
		}
		m.gangPlacementOf(j.Spec.ID).isInFlight = true
		var ps []hoist.Placement
		for _, t := range j.Tasks {
			if t.Phase == jobs.Running {
				ps = append(ps, placementOf(t, jobs.Choice{Worker: t.Worker}, t.Attempt, s.term))
			}
		}
		m.calls.running.Go(func() { m.confirmGang(ctx, j, ps) })
	}
}

// confirmGang confirms one gang. Reserving capacity for an attempt that runs
// ends its tentative state at the worker's owner.
func (m *Manager) confirmGang(ctx context.Context, j *jobs.Job, ps []hoist.Placement) {
	allConfirmed := true
	for _, err := range m.callAll(ctx, ps, callReserve) {
		allConfirmed = allConfirmed && err == nil
	}
	m.mu.Lock()
	j.IsGangConfirmed = allConfirmed
	m.mu.Unlock()
	m.endGangPlacement(j.Spec.ID)
}

func (m *Manager) endGangPlacement(id hoist.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.gangs, id)
	m.requestPass()
}

// keepGangPlaces stores the placements that a gang has reserved or waits for
// until the next pass, and returns those to release. After maxGangReserveTime, or
// if the job is cancelled, it returns all of them and lets the gang back off.
func (m *Manager) keepGangPlaces(ctx context.Context, pj pendingJob, ps []hoist.Placement, results map[hoist.TaskID]error) []hoist.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	gang := m.gangPlacementOf(pj.job.Spec.ID)
	gang.isInFlight = false
	if gang.reservingSince.IsZero() {
		gang.reservingSince, gang.chosenAt = now, now
		events.GangReserving.Log(ctx, m.Log, "job", pj.job.Spec.ID, "tasks", len(pj.tasks))
	}
	gang.places = make(map[hoist.TaskID]gangPlace)
	if now.Sub(gang.reservingSince) > maxGangReserveTime || pj.job.IsCancelled {
		gang.reservingSince = time.Time{}
		gang.backoffUntil = now.Add(maxGangReserveTime)
		return ps
	}
	isRechoiceDue := now.Sub(gang.chosenAt) > gangRechooseDelay
	if isRechoiceDue {
		gang.chosenAt = now
	}
	var release []hoist.Placement
	for _, p := range ps {
		err := results[p.Grant.Task]
		if err == nil || (errors.Is(err, hoist.ErrNoCapacity) && !isRechoiceDue) {
			gang.places[p.Grant.Task] = gangPlace{p, err == nil}
		} else if isOutcomeUnknown(err) {
			release = append(release, p)
		}
	}
	return release
}
