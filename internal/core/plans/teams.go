package plans

import (
	"context"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// teamReportInterval is the time between two reports about the teams, for metrics.
	teamReportInterval = time.Second
	// teamLogInterval is the shortest time between two log lines of one kind about a team,
	// as a team near its quota reaches it many times a second.
	teamLogInterval = 10 * time.Second
	// maxLoggedTeams bounds the teams that log lines are about.
	maxLoggedTeams = 100
)

// teamLog is what was last reported about the teams.
type teamLog struct {
	reportedAt time.Time
	// isUnknown is set while jobs wait for the first configuration.
	isUnknown bool
	states    map[hoist.TeamID]*teamStates
}

// teamStates are the states of a team that the log tells of.
type teamStates struct {
	atQuota, beyondRate, tooLarge loggedState
}

// loggedState is a state whose beginning and end are logged.
type loggedState struct {
	isOn     bool
	loggedAt time.Time
}

// changed reports whether a change of the state has to be logged, and records it.
func (s *loggedState) changed(isOn bool, now time.Time) bool {
	if s.isOn == isOn || now.Sub(s.loggedAt) < teamLogInterval {
		return false
	}
	s.isOn, s.loggedAt = isOn, now
	return true
}

// isOver reports whether the state has ended so long ago that it may be forgotten.
func (s *loggedState) isOver(now time.Time) bool {
	return !s.isOn && now.Sub(s.loggedAt) >= teamLogInterval
}

// setTeams passes the configuration of the teams to the scheduler. d.mu must be held.
func (d *Driver) setTeams() {
	if d.Teams == nil {
		d.scheduler.SetTeams(nil)
		return
	}
	if teams, ok := d.Teams(); ok {
		d.scheduler.SetTeams(teams)
	}
}

// reportTeams updates the metrics of the teams and logs what changed for them, once a
// second. d.mu must be held.
func (d *Driver) reportTeams(ctx context.Context, now time.Time) {
	l := &d.teamLog
	if now.Sub(l.reportedAt) < teamReportInterval {
		return
	}
	l.reportedAt = now
	if isUnknown := d.isReady && d.scheduler.AreTeamsUnknown(); isUnknown != l.isUnknown {
		l.isUnknown = isUnknown
		event := events.TeamsKnown
		if isUnknown {
			event = events.TeamsUnknown
		}
		event.Log(ctx, d.Log, "term", d.Claim.Term)
	}
	teams := d.scheduler.Teams()
	if d.Metrics != nil {
		d.Metrics.SetTeams(teams)
	}
	d.logTeams(ctx, teams, now)
}

// logTeams logs which teams have jobs that wait for their quota, or beyond their rate.
func (d *Driver) logTeams(ctx context.Context, teams []hoist.TeamUsage, now time.Time) {
	l := &d.teamLog
	listed := make(map[hoist.TeamID]bool, len(teams))
	for _, u := range teams {
		listed[u.Team] = true
		if l.states[u.Team] == nil && len(l.states) < maxLoggedTeams && (u.AtQuota > 0 || u.BeyondRate > 0 || u.TooLarge > 0) {
			if l.states == nil {
				l.states = make(map[hoist.TeamID]*teamStates)
			}
			l.states[u.Team] = &teamStates{}
		}
		d.logTeam(ctx, u, now)
	}
	for id, s := range l.states {
		if !listed[id] {
			d.logTeam(ctx, hoist.TeamUsage{Team: id}, now)
		}
		if s.atQuota.isOver(now) && s.beyondRate.isOver(now) && s.tooLarge.isOver(now) {
			delete(l.states, id)
		}
	}
}

// logTeam logs the changes of one team.
func (d *Driver) logTeam(ctx context.Context, u hoist.TeamUsage, now time.Time) {
	s, ok := d.teamLog.states[u.Team]
	if !ok {
		return
	}
	log := func(e events.Event, attrs ...any) {
		e.Log(ctx, d.Log, append([]any{"team", u.Team, "waiting", u.Waiting}, attrs...)...)
	}
	if s.atQuota.changed(u.AtQuota > 0, now) {
		if s.atQuota.isOn {
			log(events.TeamAtQuota, "at-quota", u.AtQuota, "used", u.Used, "quota", u.Quota)
		} else {
			log(events.TeamBelowQuota, "used", u.Used, "quota", u.Quota)
		}
	}
	if s.beyondRate.changed(u.BeyondRate > 0, now) {
		if s.beyondRate.isOn {
			log(events.TeamBeyondRate, "beyond-rate", u.BeyondRate)
		} else {
			log(events.TeamWithinRate)
		}
	}
	if s.tooLarge.changed(u.TooLarge > 0, now) && s.tooLarge.isOn {
		log(events.TeamJobsTooLarge, "too-large", u.TooLarge, "quota", u.Quota)
	}
}
