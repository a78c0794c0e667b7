package jobs_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
)

// TestCheckSpec guards against accepting jobs that no host can store. The console
// builds specs without the checks of the wire format, so CheckSpec must catch
// them for every front end.
func TestCheckSpec(t *testing.T) {
	valid := hoist.JobSpec{ID: "j", Team: "t", Kind: hoist.BatchJob, Tasks: 1, Need: hoist.Resources{CPU: 1}}
	cases := []struct {
		name string
		edit func(*hoist.JobSpec)
		want string
	}{
		{"valid spec", func(*hoist.JobSpec) {}, ""},
		{"no id", func(s *hoist.JobSpec) { s.ID = "" }, "has no id"},
		{"no team", func(s *hoist.JobSpec) { s.Team = "" }, "has no team"},
		{"long id", func(s *hoist.JobSpec) { s.ID = hoist.JobID(strings.Repeat("x", 101)) }, "more than 100 bytes"},
		{"unknown kind", func(s *hoist.JobSpec) { s.Kind = "cron" }, `unknown kind "cron"`},
		{"no tasks", func(s *hoist.JobSpec) { s.Tasks = 0 }, "has 0 tasks"},
		{"too many tasks", func(s *hoist.JobSpec) { s.Tasks = 2_000_000_000 }, "expected 1 to 100000"},
		{"negative run time", func(s *hoist.JobSpec) { s.RunTime = -time.Second }, "run time of -1s"},
		{"no resources", func(s *hoist.JobSpec) { s.Need = hoist.Resources{} }, "needs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			spec := valid
			c.edit(&spec)
			err := jobs.CheckSpec(spec)
			is.Equal(errors.Is(err, hoist.ErrInvalid), c.want != "")
			if c.want != "" && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
		})
	}
}
