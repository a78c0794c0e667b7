package metric

import (
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// maxTeams bounds the teams with metrics of their own. The others are summed up as one
	// team, so that a configuration with many teams does not exhaust the memory of a host.
	maxTeams = 100
	// otherTeams is the label of the teams beyond maxTeams.
	otherTeams = "(others)"
)

// teamMetrics holds the metrics by team.
type teamMetrics struct {
	jobs, resources, shares *prometheus.GaugeVec

	mu sync.Mutex
	// named holds the teams that have metrics of their own, from when they are first known
	// until the end of the ownership.
	named map[hoist.TeamID]bool
}

func newTeamMetrics(registry *prometheus.Registry) *teamMetrics {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, append([]string{"team"}, labels...))
	}
	m := &teamMetrics{
		named:     make(map[hoist.TeamID]bool),
		jobs:      gauge("hoist_team_jobs", "Waiting jobs of a team, by state.", "state"),
		resources: gauge("hoist_team_resources", "What a team has running, and its quota, by resource.", "kind", "resource"),
		shares:    gauge("hoist_team_share", "Share of the cell that a team holds, and its fair share.", "kind"),
	}
	registry.MustRegister(m.jobs, m.resources, m.shares)
	return m
}

// SetTeams implements hoist.PlanMetrics.
func (p *PlanMetrics) SetTeams(teams []hoist.TeamUsage) {
	m := p.teams
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs.Reset()
	m.resources.Reset()
	m.shares.Reset()
	if teams == nil {
		clear(m.named)
		return
	}
	for _, t := range teams {
		if !m.named[t.Team] && len(m.named) < maxTeams {
			m.named[t.Team] = true
		}
		label := otherTeams
		if m.named[t.Team] {
			// Label values must be valid UTF-8.
			label = strings.ToValidUTF8(string(t.Team), "?")
		}
		m.add(label, t)
	}
}

// add adds a team to the metrics with a label.
func (m *teamMetrics) add(label string, t hoist.TeamUsage) {
	m.jobs.WithLabelValues(label, "waiting").Add(float64(t.Waiting))
	m.jobs.WithLabelValues(label, "at-quota").Add(float64(t.AtQuota))
	m.jobs.WithLabelValues(label, "beyond-rate").Add(float64(t.BeyondRate))
	m.jobs.WithLabelValues(label, "too-large").Add(float64(t.TooLarge))
	m.addResources(label, "used", t.Used)
	m.addResources(label, "quota", t.Quota)
	m.shares.WithLabelValues(label, "held").Add(t.Share)
	m.shares.WithLabelValues(label, "fair").Add(t.FairShare)
}

func (m *teamMetrics) addResources(label, kind string, r hoist.Resources) {
	m.resources.WithLabelValues(label, kind, "cpu").Add(float64(r.CPU) / 1000)
	m.resources.WithLabelValues(label, kind, "memory").Add(float64(r.Memory))
	m.resources.WithLabelValues(label, kind, "accelerators").Add(float64(r.Accel))
}
