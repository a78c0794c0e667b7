// Package deploy decides which jobs must be submitted and cancelled to run the
// services of a configuration. Each service runs as a job whose id contains a
// digest of the service's configuration. A changed service becomes a new job, and
// the old job is cancelled once all replicas of the new one run, so the service
// is not interrupted.
//
// # Usage
//
//	plan := deploy.MakePlan(document.Services, jobsOfTheTeam)
//	for _, spec := range plan.Submit { ... }
//	for _, ref := range plan.Cancel { ... }
//
// After a plan is carried out, MakePlan returns an empty plan until the state of a job
// or the configuration changes.
package deploy

import (
	"fmt"
	"strings"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// reservedPrefix is the prefix of the ids of jobs that run configured services.
const reservedPrefix = "config:"

// Plan lists the jobs to submit and to cancel next.
type Plan struct {
	Submit []hoist.JobSpec
	Cancel []hoist.JobRef
}

// IsReserved reports whether a job id is reserved for configured services. Jobs
// with such an id must not be submitted otherwise.
func IsReserved(id hoist.JobID) bool {
	return strings.HasPrefix(string(id), reservedPrefix)
}

// Spec returns the job of a service. endedJobs is the number of jobs with the same
// configuration that were cancelled or have ended. It makes the id unique: a
// service that returns to an earlier configuration needs a new job, as a cancelled
// one never runs again.
func Spec(s config.Service, endedJobs int) hoist.JobSpec {
	return hoist.JobSpec{
		ID:    hoist.JobID(fmt.Sprintf("%s%d", idPrefix(s), endedJobs)),
		Team:  s.Team,
		Kind:  hoist.ServiceJob,
		Tasks: s.Replicas,
		Need:  s.Need.Resources(),
		Group: string(s.Name),
	}
}

// idPrefix returns the common prefix of the ids of all jobs with this configuration
// of a service.
func idPrefix(s config.Service) string {
	description := fmt.Sprintf("%s/%s/%d/%v", s.Name, s.Team, s.Replicas, s.Need)
	return fmt.Sprintf("%s%s:%x.", reservedPrefix, s.Name, hoist.DigestOf([]byte(description)))
}

// MakePlan returns the plan for the services of one team, given the team's jobs.
func MakePlan(services []config.Service, jobs []hoist.JobState) Plan {
	var plan Plan
	active := make(map[hoist.JobID]hoist.JobState)
	endedJobs := make(map[string]int)
	for _, j := range jobs {
		if !IsReserved(j.Spec.ID) {
			continue
		}
		if j.Phase == hoist.JobCancelled || j.Phase == hoist.JobCancelling || j.Phase == hoist.JobDone {
			endedJobs[string(j.Spec.ID[:strings.LastIndex(string(j.Spec.ID), ".")+1])]++
			continue
		}
		active[j.Spec.ID] = j
	}
	// incomplete holds the services whose wanted job does not run all its
	// replicas yet.
	incomplete := make(map[string]bool)
	for _, s := range services {
		if s.Replicas == 0 {
			continue
		}
		spec := Spec(s, endedJobs[idPrefix(s)])
		j, ok := active[spec.ID]
		if !ok {
			plan.Submit = append(plan.Submit, spec)
		}
		if j.Running < s.Replicas {
			incomplete[serviceOf(spec.ID)] = true
		}
		delete(active, spec.ID)
	}
	for id, j := range active {
		if !incomplete[serviceOf(id)] {
			plan.Cancel = append(plan.Cancel, hoist.JobRef{Team: j.Spec.Team, Job: id})
		}
	}
	return plan
}

// serviceOf returns the name of the service from a reserved job id.
func serviceOf(id hoist.JobID) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(id), reservedPrefix), ":")
	return name
}
