package plans

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/claim"
	"fuchsiahoist.example/hoist/internal/core/clock"
)

// newTeamDriver returns a driver with one worker that has reported, and its log.
func newTeamDriver(teams func() ([]hoist.TeamConfig, bool)) (*Driver, *bytes.Buffer) {
	var log bytes.Buffer
	now := time.Now()
	d := &Driver{
		Claim: claim.NewOwnership(1, 1, now, now.Add(time.Hour), func() {}), Clock: clock.System{}, Teams: teams,
		Log: slog.New(slog.NewTextHandler(&log, nil)), Advisers: &AdviserPool{},
	}
	d.prepare()
	d.isReady = true
	d.scheduler.SetWorkers([]hoist.WorkerEntry{{Worker: "w", Service: "s", Addr: "x", Capacity: hoist.Resources{CPU: 8000}}}, now)
	d.scheduler.RecordReport("w", hoist.RunnerReport{Incarnation: 1}, d.scheduler.NewPoll("w", now), now)
	if _, err := d.recordAccount(context.Background()); err != nil {
		panic(err)
	}
	plan := hoist.Plan{
		ID: "p", Team: "a", Queue: hoist.Queue{Service: "s"}, Accepted: now,
		Steps: []hoist.Step{{Count: 5, Need: hoist.Resources{CPU: 1000}, MaxUnavailable: -1}},
	}
	d.scheduler.Add(plan, 1, now)
	return d, &log
}

// TestTeamsFollowConfiguration guards against an owner that starts jobs of teams before it
// has read their quotas, or that keeps to quotas that have changed.
func TestTeamsFollowConfiguration(t *testing.T) {
	is := is.New(t)
	var configured []hoist.TeamConfig
	d, log := newTeamDriver(func() ([]hoist.TeamConfig, bool) { return configured, configured != nil })
	wantTasks := func(n int) {
		t.Helper()
		d.pass(context.Background())
		is.Equal(d.scheduler.TeamUsage("a").Tasks, n)
	}
	wantTasks(0)
	is.True(strings.Contains(log.String(), "event=645"))
	for _, n := range []int{2, 3, 3} {
		configured = []hoist.TeamConfig{{Team: "a", Weight: 1, Quota: hoist.Resources{CPU: hoist.MilliCPU(n) * 1000}}}
		wantTasks(n)
	}
	d.Teams = nil
	wantTasks(3) // the last known quota stays
}

// TestTeamLogIsBounded guards against a log line for each pass in which a team reaches its
// quota, and against lines about any number of teams.
func TestTeamLogIsBounded(t *testing.T) {
	is := is.New(t)
	d, log := newTeamDriver(nil)
	now := time.Now()
	for i := range 100 {
		var teams []hoist.TeamUsage
		for n := range 500 {
			teams = append(teams, hoist.TeamUsage{Team: hoist.TeamID(fmt.Sprint("t", n)), Waiting: 1, AtQuota: i % 2, BeyondRate: 1 - i%2})
		}
		d.logTeams(context.Background(), teams, now.Add(time.Duration(i)*teamReportInterval))
	}
	lines := strings.Count(log.String(), "\n")
	is.True(lines >= maxLoggedTeams)
	is.True(lines <= maxLoggedTeams*2*10) // 100 s, two states, one line in 10 s
	d.logTeams(context.Background(), nil, now.Add(time.Hour))
	d.logTeams(context.Background(), nil, now.Add(2*time.Hour))
	is.Equal(len(d.teamLog.states), 0)
	is.True(strings.Contains(log.String(), "event=641"))
}
