package report_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/report"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// share returns the share of a host that answered n requests, one in ten of them
// after a wait longer than the objective.
func share(host hoist.HostID, n int) hoist.HostReport {
	r := report.NewRecorder(&clock{time.Unix(1_000_000, 0)})
	for i := range n {
		a := hoist.Answer{Outcome: hoist.Done, Waited: 2 * time.Millisecond}
		if i%10 == 9 {
			a.Waited = 300 * time.Millisecond
		}
		r.Observe(hoist.Quick, a, 100*time.Millisecond)
	}
	return hoist.HostReport{Host: host, Classes: r.Classes(), Cost: hoist.HostCost{Shards: 85, CPU: 0.5}}
}

// TestReportSumsAndLayout guards against wrong sums of the shares, and against
// output that does not follow the layout.
func TestReportSumsAndLayout(t *testing.T) {
	shares := []hoist.HostReport{share("h1", 30), share("h2", 10)}
	shares[0].Workers = []hoist.Candidate{{
		Worker: "w1", DataCentre: "dc1",
		Capacity: hoist.Resources{CPU: 4000, Memory: 100}, Free: hoist.Resources{CPU: 1000, Memory: 100},
	}}
	doc := config.Default()
	cases := []struct {
		name   config.ReportName
		layout func(config.Report) config.Report
		want   string
	}{
		{config.ReportBurn, nil, "quick             99.90         40    90.000"},
		{config.ReportWaiting, nil, "quick              40       2.0     301.1     301.1"},
		{config.ReportPacking, nil, "dc1                   1    75.0       0.0      0.0"},
		{config.ReportControl, nil, "h1                  85    0.50"},
		{config.ReportControl, func(r config.Report) config.Report {
			r.Title, r.Footer = "COST", "-- end --"
			r.Columns = []config.Column{{Field: "cpu", Heading: "LOAD", Width: 6, Decimals: 1}, {Field: "host", Heading: "NAME", Width: 4}}
			return r
		}, "COST\n  LOAD NAME\n   0.5 h1\n   0.5 h2\n-- end --\n"},
	}
	for _, c := range cases {
		t.Run(string(c.name), func(t *testing.T) {
			layout, _ := doc.Report(c.name)
			if c.layout != nil {
				layout = c.layout(layout)
			}
			var b strings.Builder
			is := is.New(t)
			is.NoErr(report.WriteText(&b, layout, report.Make(c.name, shares, doc)))
			if !strings.Contains(b.String(), c.want) {
				t.Errorf("report does not contain %q:\n%s", c.want, b.String())
			}
		})
	}
}

// TestHTMLIsEscaped guards against names and titles whose markup reaches the browser
// unescaped.
func TestHTMLIsEscaped(t *testing.T) {
	is := is.New(t)
	layout, _ := config.Default().Report(config.ReportControl)
	layout.Title = "<script>"
	var b strings.Builder
	is.NoErr(report.WriteHTML(&b, layout, report.ControlCost([]hoist.HostReport{share("<b>", 1)})))
	is.True(!strings.Contains(b.String(), "<script>") && !strings.Contains(b.String(), "<b>"))
}
