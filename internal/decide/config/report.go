package config

import "slices"

// reportNames lists the reports in the order in which they are documented.
var reportNames = []ReportName{ReportBurn, ReportWaiting, ReportPacking, ReportControl}

// reportFields lists the fields that the columns of each report can show, with
// their default layout and in its order.
var reportFields = map[ReportName][]Column{
	ReportBurn: {
		{Field: "class", Heading: "Class", Width: 10},
		{Field: "objective", Heading: "Objective %", Width: 12, Decimals: 2},
		{Field: "requests", Heading: "Requests", Width: 10},
		{Field: "good", Heading: "Good %", Width: 9, Decimals: 3},
		{Field: "budget-left", Heading: "Budget left %", Width: 14, Decimals: 1},
		{Field: "burn-5m", Heading: "Burn 5 min", Width: 11, Decimals: 2},
		{Field: "burn-1h", Heading: "Burn 1 h", Width: 9, Decimals: 2},
		{Field: "burn-6h", Heading: "Burn 6 h", Width: 9, Decimals: 2},
	},
	ReportWaiting: {
		{Field: "class", Heading: "Class", Width: 10},
		{Field: "requests", Heading: "Requests", Width: 10},
		{Field: "p50", Heading: "p50 ms", Width: 9, Decimals: 1},
		{Field: "p99", Heading: "p99 ms", Width: 9, Decimals: 1},
		{Field: "max", Heading: "Max ms", Width: 9, Decimals: 1},
	},
	ReportPacking: {
		{Field: "data-centre", Heading: "Data centre", Width: 14},
		{Field: "workers", Heading: "Workers", Width: 8},
		{Field: "cpu", Heading: "CPU %", Width: 7, Decimals: 1},
		{Field: "memory", Heading: "Memory %", Width: 9, Decimals: 1},
		{Field: "accelerators", Heading: "Accel %", Width: 8, Decimals: 1},
	},
	ReportControl: {
		{Field: "host", Heading: "Host", Width: 14},
		{Field: "shards", Heading: "Shards", Width: 7},
		{Field: "cpu", Heading: "CPU %", Width: 7, Decimals: 2},
		{Field: "memory", Heading: "Memory MiB", Width: 11, Decimals: 1},
		{Field: "messages", Heading: "Messages/s", Width: 11, Decimals: 1},
	},
}

// defaultTitles holds the default titles of the reports.
var defaultTitles = map[ReportName]string{
	ReportBurn:    "Service-level burn",
	ReportWaiting: "Waiting time",
	ReportPacking: "Packing",
	ReportControl: "Cost of control",
}

func defaultReport(name ReportName) Report {
	return Report{Name: name, Title: defaultTitles[name], Columns: slices.Clone(reportFields[name])}
}

// setDefaults sets the default columns of a report that has none, and the default
// heading and width of columns without them.
func (r *Report) setDefaults() {
	if r.Columns == nil {
		r.Columns = slices.Clone(reportFields[r.Name])
	}
	for i, c := range r.Columns {
		field, ok := findField(r.Name, c.Field)
		if !ok {
			continue
		}
		if c.Heading == "" {
			r.Columns[i].Heading = field.Heading
		}
		if c.Width == 0 {
			r.Columns[i].Width = field.Width
		}
	}
}

func findField(report ReportName, name string) (Column, bool) {
	for _, c := range reportFields[report] {
		if c.Field == name {
			return c, true
		}
	}
	return Column{}, false
}
