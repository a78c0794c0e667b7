// Package config holds the configuration of a cell: one TOML document that is
// checked as a whole and is in force everywhere or not at all. It decides
// whether a document is valid, what differs between two, and which of two
// versions a host keeps; storing and spreading documents is the work of
// internal/core/spread.
//
// # Usage
//
//	doc, err := config.Parse(text)        // every problem at once, by key
//	err = doc.CheckCell(cell)             // against what the cell holds
//	changes := config.Diff(current, doc)
//
// A host keeps its version in a State, which never goes back:
//
//	if state.Offer(record) {
//		// record.Document is in force on this host
//	}
package config

import (
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ErrDocument reports a document that breaks the rules. The message names each
// key and the reason; Problems returns them one by one.
var ErrDocument = merry.Sentinel("configuration is not valid")

// Document is the configuration of a cell.
type Document struct {
	// Version is one more than the version that the change is based on.
	Version hoist.ConfigVersion `toml:"version"`
	// ChangeID identifies the change, so that its outcome can be read back.
	ChangeID hoist.ChangeID `toml:"change-id"`

	Limits    Limits     `toml:"limits"`
	Classes   []Class    `toml:"classes"`
	Customers []Customer `toml:"customers"`
	Services  []Service  `toml:"services"`
	Teams     []Team     `toml:"teams"`
	Reports   []Report   `toml:"reports"`
	// Drains lists the workers and executors that take no new work.
	Drains []Drain `toml:"drains"`
}

// Drain names a worker or executor that takes no new work.
type Drain struct {
	Kind hoist.HostKind `toml:"kind"`
	Name string         `toml:"name"`
}

// Limits bounds what the hosts accept.
type Limits struct {
	// QueuePerCustomer bounds the waiting requests of a customer and class on
	// one host.
	QueuePerCustomer int `toml:"queue-per-customer"`
	// QueueTotal bounds the waiting requests of a service on one host.
	QueueTotal int `toml:"queue-total"`
	// RetryPercent is the budget of repeated attempts, in percent of requests.
	RetryPercent int `toml:"retry-percent"`
}

// Class sets the service-level objective of a class of requests.
type Class struct {
	Name hoist.Class `toml:"name"`
	// Wait is the waiting time that a good request stays below.
	Wait Duration `toml:"wait"`
	// GoodPercent is the share of good requests that is aimed at.
	GoodPercent float64 `toml:"good-percent"`
}

// Customer sets the share of a customer when demand passes what there is.
type Customer struct {
	Name   hoist.CustomerID `toml:"name"`
	Weight int              `toml:"weight"`
}

// Service describes a service whose executors are tasks of the cell.
type Service struct {
	Name     hoist.ServiceName `toml:"name"`
	Team     hoist.TeamID      `toml:"team"`
	Replicas int               `toml:"replicas"`
	Need     Need              `toml:"need"`
	// Customers lists who may use the service; empty means all.
	Customers []hoist.CustomerID `toml:"customers"`
}

// Need is an amount of resources in a document.
type Need struct {
	CPU    hoist.MilliCPU     `toml:"cpu-millis"`
	Memory hoist.MiB          `toml:"memory-mib"`
	Accel  hoist.Accelerators `toml:"accelerators"`
}

// Resources returns n as resources.
func (n Need) Resources() hoist.Resources {
	return hoist.Resources(n)
}

// Team sets the quota and the highest priority of a team.
type Team struct {
	Name        hoist.TeamID   `toml:"name"`
	Quota       Need           `toml:"quota"`
	MaxPriority hoist.Priority `toml:"max-priority"`
	// MayBeUrgent allows jobs that stop tasks of lower priority.
	MayBeUrgent bool `toml:"may-be-urgent"`
}

// Report lays out one report. Columns are printed in their order.
type Report struct {
	Name    ReportName `toml:"name"`
	Title   string     `toml:"title"`
	Footer  string     `toml:"footer"`
	Columns []Column   `toml:"columns"`
}

// ReportName names a report.
type ReportName string

// The reports.
const (
	ReportBurn    ReportName = "burn"
	ReportWaiting ReportName = "waiting"
	ReportPacking ReportName = "packing"
	ReportControl ReportName = "control"
)

// Column lays out one column of a report.
type Column struct {
	Field   string `toml:"field"`
	Heading string `toml:"heading"`
	Width   int    `toml:"width"`
	// Decimals applies to numbers.
	Decimals int `toml:"decimals"`
}

// Duration is a time.Duration that is written like "200ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// maxText is the largest document in bytes.
const maxText = 1 << 20

// Parse reads a document and checks everything that can be checked without
// the cell. Missing parts get their defaults. The error is ErrDocument and
// names every problem.
func Parse(text string) (Document, error) {
	if len(text) > maxText {
		return Document{}, problemsError([]Problem{{"document", "is larger than 1 MiB"}})
	}
	var doc Document
	meta, err := toml.Decode(text, &doc)
	if err != nil {
		return Document{}, problemsError([]Problem{{"document", err.Error()}})
	}
	doc.fill()
	problems := doc.check()
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{key.String(), "does not exist"})
	}
	if len(problems) > 0 {
		return Document{}, problemsError(problems)
	}
	return doc, nil
}

// Encode writes a document as TOML.
func Encode(doc Document) string {
	var b strings.Builder
	// Encoding into a builder of plain values does not fail.
	_ = toml.NewEncoder(&b).Encode(doc)
	return b.String()
}

// Default returns the configuration of a cell without accepted changes.
func Default() Document {
	var doc Document
	doc.fill()
	return doc
}

// fill sets the defaults of what is absent.
func (d *Document) fill() {
	setDefault(&d.Limits.QueuePerCustomer, 5000)
	setDefault(&d.Limits.QueueTotal, 20_000)
	setDefault(&d.Limits.RetryPercent, 10)
	if d.Classes == nil {
		d.Classes = []Class{
			{Name: hoist.Quick, Wait: Duration(100 * time.Millisecond), GoodPercent: 99.9},
			{Name: hoist.Patient, Wait: Duration(time.Minute), GoodPercent: 99},
			{Name: hoist.Watch, Wait: Duration(time.Minute), GoodPercent: 99},
		}
	}
	for i := range d.Reports {
		d.Reports[i].fill()
	}
	for _, name := range reportNames {
		if _, ok := d.Report(name); !ok {
			d.Reports = append(d.Reports, defaultReport(name))
		}
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Report returns the layout of a report.
func (d Document) Report(name ReportName) (Report, bool) {
	for _, r := range d.Reports {
		if r.Name == name {
			return r, true
		}
	}
	return Report{}, false
}

// Objective returns the objective of a class of requests.
func (d Document) Objective(class hoist.Class) Class {
	for _, c := range d.Classes {
		if c.Name == class {
			return c
		}
	}
	return Class{Name: class}
}

// Team returns the settings of a team.
func (d Document) Team(name hoist.TeamID) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
