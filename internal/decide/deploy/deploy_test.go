package deploy_test

import (
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/decide/deploy"
)

func service(replicas int) config.Service {
	return config.Service{Name: "matching", Team: "packing", Replicas: replicas, Need: config.Need{CPU: 1000, Memory: 100}}
}

func state(s config.Service, phase hoist.JobPhase, running int) hoist.JobState {
	return hoist.JobState{Spec: deploy.Spec(s, 0), Phase: phase, Running: running}
}

// TestMakePlan guards against cancelling the job of a changed service before all
// replicas of its successor run, and against submitting or cancelling jobs
// repeatedly.
func TestMakePlan(t *testing.T) {
	two, three := service(2), service(3)
	other := hoist.JobState{Spec: hoist.JobSpec{ID: "audit", Team: "packing"}, Phase: hoist.JobRunning}
	cases := []struct {
		name           string
		services       []config.Service
		jobs           []hoist.JobState
		submit, cancel int
	}{
		{"new service", []config.Service{two}, []hoist.JobState{other}, 1, 0},
		{"unchanged service", []config.Service{two}, []hoist.JobState{state(two, hoist.JobRunning, 2)}, 0, 0},
		{"changed service", []config.Service{three}, []hoist.JobState{state(two, hoist.JobRunning, 2)}, 1, 0},
		{"successor starts", []config.Service{three}, []hoist.JobState{state(two, hoist.JobRunning, 2), state(three, hoist.JobWaiting, 1)}, 0, 0},
		{"successor runs", []config.Service{three}, []hoist.JobState{state(two, hoist.JobRunning, 2), state(three, hoist.JobRunning, 3)}, 0, 1},
		{"removed service", nil, []hoist.JobState{state(two, hoist.JobRunning, 2), other}, 0, 1},
		{"no replicas", []config.Service{service(0)}, []hoist.JobState{state(two, hoist.JobRunning, 2)}, 0, 1},
		{"job was cancelled earlier", []config.Service{two}, []hoist.JobState{state(two, hoist.JobCancelled, 0)}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := deploy.MakePlan(c.services, c.jobs)
			is.Equal(len(plan.Submit), c.submit)
			is.Equal(len(plan.Cancel), c.cancel)
		})
	}
}
