package report

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/burn"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// Value is one value of a report: text, or a number if Text is empty.
type Value struct {
	Text   string
	Number float64
}

// Row maps each field of a report to its value.
type Row map[string]Value

// Table is the content of a report, without layout.
type Table []Row

func text[T ~string](s T) Value {
	return Value{Text: string(s)}
}

func number[T ~int | ~int64 | ~uint64 | ~float64](n T) Value {
	return Value{Number: float64(n)}
}

// Make returns the content of the named report.
func Make(name config.ReportName, shares []hoist.HostReport, doc config.Document) Table {
	switch name {
	case config.ReportBurn:
		return Burn(shares, doc)
	case config.ReportWaiting:
		return Waiting(shares)
	case config.ReportPacking:
		return Packing(shares)
	default:
		return ControlCost(shares)
	}
}

// Burn returns the error-budget burn of the cell, with a row for each class.
func Burn(shares []hoist.HostReport, doc config.Document) Table {
	var out Table
	for _, class := range []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch} {
		w := sumWindows(shares, class)
		objective := doc.Objective(class).GoodPercent
		longest := w[len(w)-1]
		out = append(out, Row{
			"class":       text(class),
			"objective":   number(objective),
			"requests":    number(longest.Total),
			"good":        number(longest.GoodPercent()),
			"budget-left": number(longest.BudgetLeft(objective)),
			"burn-5m":     number(w[0].Burn(objective)),
			"burn-1h":     number(w[1].Burn(objective)),
			"burn-6h":     number(w[2].Burn(objective)),
		})
	}
	return out
}

func sumWindows(shares []hoist.HostReport, class hoist.Class) []burn.Window {
	sum := make([]burn.Window, len(windows))
	for _, s := range shares {
		for _, c := range s.Classes {
			if c.Class != class || len(c.Windows) != len(sum) {
				continue
			}
			for i, w := range c.Windows {
				sum[i] = sum[i].Plus(burn.Window(w))
			}
		}
	}
	return sum
}

// Waiting returns the waiting times of the cell, with a row for each class. It
// skips histograms that cannot be decoded.
func Waiting(shares []hoist.HostReport) Table {
	const usPerMS = 1000.0
	var out Table
	for _, class := range []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch} {
		sum := newHistogram()
		for _, s := range shares {
			for _, c := range s.Classes {
				if h, err := hdrhistogram.Decode(c.Waits); c.Class == class && err == nil {
					sum.Merge(h)
				}
			}
		}
		out = append(out, Row{
			"class":    text(class),
			"requests": number(sum.TotalCount()),
			"p50":      number(float64(sum.ValueAtQuantile(50)) / usPerMS),
			"p99":      number(float64(sum.ValueAtQuantile(99)) / usPerMS),
			"max":      number(float64(sum.Max()) / usPerMS),
		})
	}
	return out
}

// Packing returns the allocated percentages of the resources of the ready workers,
// with a row for each data centre and one for all.
func Packing(shares []hoist.HostReport) Table {
	type sum struct {
		workers        int
		capacity, free hoist.Resources
	}
	sums := make(map[hoist.DataCentreID]*sum)
	all := &sum{}
	for _, s := range shares {
		for _, w := range s.Workers {
			if w.State != hoist.WorkerReady {
				// Free capacity there cannot be used, so it says nothing about packing.
				continue
			}
			dc, ok := sums[w.DataCentre]
			if !ok {
				dc = &sum{}
				sums[w.DataCentre] = dc
			}
			for _, x := range []*sum{dc, all} {
				x.workers++
				x.capacity = x.capacity.Add(w.Capacity)
				x.free = x.free.Add(w.Free)
			}
		}
	}
	row := func(name hoist.DataCentreID, s *sum) Row {
		return Row{
			"data-centre":  text(name),
			"workers":      number(s.workers),
			"cpu":          number(usedPercent(s.capacity.CPU, s.free.CPU)),
			"memory":       number(usedPercent(s.capacity.Memory, s.free.Memory)),
			"accelerators": number(usedPercent(s.capacity.Accel, s.free.Accel)),
		}
	}
	var out Table
	for name, s := range sums {
		out = append(out, row(name, s))
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a["data-centre"].Text, b["data-centre"].Text) })
	return append(out, row("all", all))
}

func usedPercent[T ~int64](capacity, free T) float64 {
	if capacity == 0 {
		return 0
	}
	return 100 * float64(capacity-free) / float64(capacity)
}

// ControlCost returns the cost of control, with a row for each host.
func ControlCost(shares []hoist.HostReport) Table {
	var out Table
	for _, s := range shares {
		out = append(out, Row{
			"host":     text(s.Host),
			"shards":   number(s.Cost.Shards),
			"cpu":      number(s.Cost.CPU),
			"memory":   number(s.Cost.Memory),
			"messages": number(s.Cost.Messages),
		})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a["host"].Text, b["host"].Text) })
	return out
}
