// Package deploy decides which jobs the services of a configuration need. Each
// service is a job whose id holds a digest of what the configuration says about
// it: a changed service becomes a new job, and the old one is cancelled when
// all replicas of the new one run, so that callers do not notice.
//
// # Usage
//
//	plan := deploy.Make(document.Services, jobsOfTheTeam)
//	for _, spec := range plan.Submit { ... }
//	for _, ref := range plan.Cancel { ... }
//
// Making a plan again from the state that it led to gives an empty plan.
package deploy

import (
	"fmt"
	"strings"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// prefix begins the ids of jobs that belong to the configuration.
const prefix = "config:"

// Plan is what to do next.
type Plan struct {
	Submit []hoist.JobSpec
	Cancel []hoist.JobRef
}

// IsReserved reports whether a job id belongs to the configuration, so that
// nobody else may submit it.
func IsReserved(id hoist.JobID) bool {
	return strings.HasPrefix(string(id), prefix)
}

// Spec returns the job of a service. A service that returns to what it was
// before becomes a new job, as a cancelled one never runs again; earlier is how
// many jobs it has had in this form.
func Spec(s config.Service, earlier int) hoist.JobSpec {
	return hoist.JobSpec{
		ID:    hoist.JobID(fmt.Sprintf("%s%d", formOf(s), earlier)),
		Team:  s.Team,
		Kind:  hoist.ServiceJob,
		Tasks: s.Replicas,
		Need:  s.Need.Resources(),
		Group: string(s.Name),
	}
}

// formOf returns what the ids of all jobs of this form of a service begin with.
func formOf(s config.Service) string {
	text := fmt.Sprintf("%s/%s/%d/%v", s.Name, s.Team, s.Replicas, s.Need)
	return fmt.Sprintf("%s%s:%x.", prefix, s.Name, hoist.DigestOf([]byte(text)))
}

// Make returns what to do for the services of one team, given the team's jobs.
func Make(services []config.Service, jobs []hoist.JobState) Plan {
	var plan Plan
	open := make(map[hoist.JobID]hoist.JobState)
	earlier := make(map[string]int)
	for _, j := range jobs {
		if !IsReserved(j.Spec.ID) {
			continue
		}
		if j.Phase == hoist.JobCancelled || j.Phase == hoist.JobCancelling || j.Phase == hoist.JobDone {
			earlier[string(j.Spec.ID[:strings.LastIndex(string(j.Spec.ID), ".")+1])]++
			continue
		}
		open[j.Spec.ID] = j
	}
	// starting holds the services whose wanted job does not run in full yet.
	starting := make(map[string]bool)
	for _, s := range services {
		if s.Replicas == 0 {
			continue
		}
		spec := Spec(s, earlier[formOf(s)])
		j, ok := open[spec.ID]
		if !ok {
			plan.Submit = append(plan.Submit, spec)
		}
		if j.Running < s.Replicas {
			starting[serviceOf(spec.ID)] = true
		}
		delete(open, spec.ID)
	}
	for id, j := range open {
		if !starting[serviceOf(id)] {
			plan.Cancel = append(plan.Cancel, hoist.JobRef{Team: j.Spec.Team, Job: id})
		}
	}
	return plan
}

// serviceOf returns the name of the service in a reserved job id.
func serviceOf(id hoist.JobID) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(id), prefix), ":")
	return name
}
