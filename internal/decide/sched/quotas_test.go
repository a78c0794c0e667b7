package sched_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// quotas holds the quotas of the teams in a fixture since the beginning.
type quotas struct {
	byTeam map[hoist.TeamID][]quotaSince
}

// quotaSince is a quota that is in force since a time.
type quotaSince struct {
	cpu   hoist.MilliCPU
	since time.Time
}

// configs returns the configuration in force. Each call returns another slice.
func (q quotas) configs() []hoist.TeamConfig {
	var out []hoist.TeamConfig
	for id, list := range q.byTeam {
		out = append(out, hoist.TeamConfig{Team: id, Weight: 1, Quota: hoist.Resources{CPU: list[len(list)-1].cpu}})
	}
	slices.SortFunc(out, func(x, y hoist.TeamConfig) int { return strings.Compare(string(x.Team), string(y.Team)) })
	return out
}

// highest returns the highest quota of a team that was in force at a time or since.
func (q quotas) highest(team hoist.TeamID, since time.Time) hoist.MilliCPU {
	var most hoist.MilliCPU
	for _, s := range slices.Backward(q.byTeam[team]) {
		most = max(most, s.cpu)
		if !s.since.After(since) {
			break
		}
	}
	return most
}

// setQuota changes the quota of a team for all owners.
func (fx *fixture) setQuota(team hoist.TeamID, cpu hoist.MilliCPU) {
	if fx.quotas.byTeam == nil {
		fx.quotas.byTeam = make(map[hoist.TeamID][]quotaSince)
	}
	fx.quotas.byTeam[team] = append(fx.quotas.byTeam[team], quotaSince{cpu, fx.now})
	for _, o := range fx.owners {
		o.scheduler.SetTeams(fx.quotas.configs())
	}
}

// checkQuota fails the test if a start brings the tasks that run for a team above the
// highest quota that was in force since it was sent. One task may exceed it while the others
// use less than half of the quota.
func (fx *fixture) checkQuota(p hoist.Plan, req *fakeRequest) {
	if p.Team == "" {
		return
	}
	need, n := p.Steps[req.run.Task.Step].Need.CPU, 1
	used := need
	for _, f := range fx.workers {
		for ref := range maps.Keys(f.running) {
			if other := fx.store[ref.Job].plan; other.Team == p.Team {
				used += other.Steps[ref.Step].Need.CPU
				n++
			}
		}
	}
	if limit := fx.quotas.highest(p.Team, req.sentAt); n > 1 && used > limit && 2*(used-need) >= limit {
		fx.t.Fatalf("task %v brings the %d tasks of team %s to %d mCPU, the quota is %d", req.run.Task, n, p.Team, used, limit)
	}
}
