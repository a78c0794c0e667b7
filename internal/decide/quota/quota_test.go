package quota_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

func charge(task hoist.TaskID, attempt hoist.AttemptNo, cpu hoist.MilliCPU) quota.Charge {
	return quota.Charge{Team: "a", Task: task, Attempt: attempt, Need: hoist.Resources{CPU: cpu, Memory: 10}}
}

func limits(cpu hoist.MilliCPU) map[hoist.TeamID]hoist.Resources {
	return map[hoist.TeamID]hoist.Resources{"a": {CPU: cpu, Memory: 1000}}
}

// TestAdmit guards against admissions beyond the quota, attempts that are charged
// twice, and errors that do not name the resource that is short.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name    string
		charges []quota.Charge
		kind    error
		message string
	}{
		{"within the quota", []quota.Charge{charge("new", 1, 600)}, nil, ""},
		{"the same attempt again", []quota.Charge{charge("old", 1, 400)}, nil, ""},
		{"another attempt", []quota.Charge{charge("old", 2, 400)}, hoist.ErrConflict, "attempt 1 of task old"},
		{"beyond the quota", []quota.Charge{charge("new", 1, 601)}, hoist.ErrOverLimit, "lacks 0.001 cores"},
		{"accelerators without quota", []quota.Charge{{Team: "a", Task: "x", Need: hoist.Resources{Accel: 2}}}, hoist.ErrOverLimit, "lacks 2 accelerators"},
		{"negative need", []quota.Charge{charge("new", 1, -1)}, hoist.ErrInvalid, "task new"},
		{"gang beyond the quota", []quota.Charge{charge("old", 1, 400), charge("g1", 1, 400), charge("g2", 1, 400)}, hoist.ErrOverLimit, "task g2"},
		{"team without quota", []quota.Charge{{Team: "b", Task: "x", Need: quota.Unlimited}}, nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := quota.NewTracker()
			tr.SetLimits(limits(1000), quota.Unlimited)
			is.NoErr(tr.Admit(charge("old", 1, 400)))
			before := tr.Usage("a")
			err := tr.Admit(c.charges...)
			is.True(errors.Is(err, c.kind)) // the error is of the expected kind
			if err != nil {
				is.True(strings.Contains(err.Error(), c.message)) // the error names the reason
				is.Equal(tr.Usage("a"), before)                   // a refused admission charges nothing
			}
		})
	}
}

// TestLoweredQuota guards against admitting more of a resource after the quota
// was lowered below the usage, and against refusing other resources of the team.
func TestLoweredQuota(t *testing.T) {
	is := is.New(t)
	tr := quota.NewTracker()
	is.NoErr(tr.Admit(charge("t1", 1, 400), charge("t2", 1, 400)))
	tr.SetLimits(limits(500), quota.Unlimited)
	is.True(tr.Usage("a").IsOverQuota())
	is.True(errors.Is(tr.Admit(charge("t3", 1, 1)), hoist.ErrOverLimit))
	is.NoErr(tr.Admit(quota.Charge{Team: "a", Task: "t4", Need: hoist.Resources{Memory: 1}}))
	tr.Release("t1", 2) // a delayed release of another attempt
	is.True(tr.Usage("a").IsOverQuota())
	tr.Release("t1", 1)
	tr.Release("t1", 1)
	is.NoErr(tr.Admit(charge("t3", 1, 100)))
}

// TestQuotaIsNeverExceeded guards against an order of operations that admits beyond
// the quota, or after which the usage differs from the sum of the charges.
func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, limit, model := quota.NewTracker(), hoist.MilliCPU(1000), make(map[hoist.TaskID]quota.Charge)
		tr.SetLimits(limits(limit), quota.Unlimited)
		task := rapid.SampledFrom([]hoist.TaskID{"t1", "t2", "t3", "t4", "t5"})
		attempt := rapid.Custom(func(t *rapid.T) hoist.AttemptNo { return hoist.AttemptNo(rapid.IntRange(1, 2).Draw(t, "attempt")) })
		cpu := rapid.Custom(func(t *rapid.T) hoist.MilliCPU { return hoist.MilliCPU(rapid.IntRange(-100, 700).Draw(t, "cpu")) })
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				cs := []quota.Charge{charge(task.Draw(t, "task"), attempt.Draw(t, "attempt"), cpu.Draw(t, "cpu")), charge(task.Draw(t, "task"), 1, cpu.Draw(t, "cpu"))}
				before := tr.Usage("a").Used.CPU
				if tr.Admit(cs...) != nil {
					return
				}
				for _, c := range cs {
					model[c.Task] = c
				}
				if after := tr.Usage("a").Used.CPU; after > before && after > limit {
					t.Fatalf("admitted tasks up to %v millicores, the quota is %v", after, limit)
				}
			},
			"release": func(t *rapid.T) {
				id, no := task.Draw(t, "task"), attempt.Draw(t, "attempt")
				tr.Release(id, no)
				if model[id].Attempt == no {
					delete(model, id)
				}
			},
			"set limit": func(t *rapid.T) {
				limit = hoist.MilliCPU(rapid.IntRange(0, 2000).Draw(t, "limit"))
				tr.SetLimits(limits(limit), quota.Unlimited)
			},
			"rebuild": func(t *rapid.T) {
				var running []hoist.TaskStatus
				for _, c := range model {
					running = append(running, hoist.TaskStatus{Task: c.Task, Team: c.Team, Attempt: c.Attempt, Need: c.Need})
				}
				tr = quota.NewTracker()
				tr.SetLimits(limits(limit), quota.Unlimited)
				tr.Rebuild("a", running)
				tr.Rebuild("a", running)
			},
			"": func(t *rapid.T) {
				var want hoist.Resources
				for _, c := range model {
					want = want.Add(c.Need)
				}
				if got := tr.Usage("a"); got.Used != want || got.Tasks != len(model) {
					t.Fatalf("used %v by %d tasks, expected %v by %d", got.Used, got.Tasks, want, len(model))
				}
			},
		})
	})
}
