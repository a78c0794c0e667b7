package metric

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
)

// TestTeamMetricsAreBounded guards against metrics whose number grows with the number of
// teams, against teams that are missing from the sums, and against values that remain after
// the end of an ownership.
func TestTeamMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPlans(func() uint64 { return 0 })
	text := func() string {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	for round := range 3 {
		var teams []hoist.TeamUsage
		for i := range 1000 {
			teams = append(teams, hoist.TeamUsage{Team: hoist.TeamID(fmt.Sprintf("t%d-%d", round, i)), Waiting: 2})
		}
		p.SetTeams(append(teams, hoist.TeamUsage{Team: "bad\xff", Waiting: 2}))
		is.True(strings.Count(text(), `state="waiting"`) <= 101)
		sum := 1802 // the first 100 teams are named
		if round > 0 {
			sum = 2002
		}
		is.True(strings.Contains(text(), fmt.Sprintf(`hoist_team_jobs{state="waiting",team="(others)"} %d`, sum)))
	}
	p.SetTeams(nil)
	is.True(!strings.Contains(text(), "hoist_team_jobs{"))
}
