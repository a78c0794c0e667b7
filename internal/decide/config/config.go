// Package config defines the configuration of a cell: one TOML document that is
// checked as a whole and is in force on all hosts or on none. The package decides
// whether a document is valid, how two documents differ, and which of two versions
// a host keeps. Package internal/core/confs stores and distributes documents.
//
// # Usage
//
//	doc, err := config.Parse(text)        // the error names every problem by key
//	err = doc.CheckCell(cell)             // checks against the capacity of the cell
//	changes := config.Diff(current, doc)
//
// A host keeps the version in force in a State, which never returns to an earlier
// version:
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

// ErrDocument reports a document that is not valid. The message names each problem
// by key and reason; Problems returns them as a list.
var ErrDocument = merry.Sentinel("configuration is not valid")

// Document is the configuration of a cell.
type Document struct {
	// Version must be one more than the version that the change is based on.
	Version hoist.ConfigVersion `toml:"version"`
	// ChangeID identifies the change, so that its outcome can be looked up.
	ChangeID hoist.ChangeID `toml:"change-id"`

	Limits    Limits     `toml:"limits"`
	Classes   []Class    `toml:"classes"`
	Customers []Customer `toml:"customers"`
	Services  []Service  `toml:"services"`
	Teams     []Team     `toml:"teams"`
	Reports   []Report   `toml:"reports"`
	// Drains lists the workers and executors that are drained.
	Drains []Drain `toml:"drains"`
}

// Drain names a worker or executor that gets no new work.
type Drain struct {
	Kind hoist.HostKind `toml:"kind"`
	Name string         `toml:"name"`
}

// Limits bounds the requests that hosts queue and retry.
type Limits struct {
	// QueuePerCustomer is the maximum number of waiting requests of one customer
	// and class on one host.
	QueuePerCustomer int `toml:"queue-per-customer"`
	// QueueTotal is the maximum number of waiting requests of one service on one
	// host.
	QueueTotal int `toml:"queue-total"`
	// RetryPercent is the retry budget, in percent of the requests.
	RetryPercent int `toml:"retry-percent"`
}

// Class sets the service-level objective of a class of requests.
type Class struct {
	Name hoist.Class `toml:"name"`
	// Wait is the waiting time below which a request counts as good.
	Wait Duration `toml:"wait"`
	// GoodPercent is the target share of good requests.
	GoodPercent float64 `toml:"good-percent"`
}

// Customer sets the weight by which a customer shares capacity when demand exceeds
// it.
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
	// Customers lists the customers that may use the service. If it is empty, all
	// may.
	Customers []hoist.CustomerID `toml:"customers"`
}

// Need is an amount of resources as written in a document.
type Need struct {
	CPU    hoist.MilliCPU     `toml:"cpu-millis"`
	Memory hoist.MiB          `toml:"memory-mib"`
	Accel  hoist.Accelerators `toml:"accelerators"`
}

// Resources converts n to hoist.Resources.
func (n Need) Resources() hoist.Resources {
	return hoist.Resources(n)
}

// Team sets the quota and the highest priority of a team.
type Team struct {
	Name        hoist.TeamID   `toml:"name"`
	Quota       Need           `toml:"quota"`
	MaxPriority hoist.Priority `toml:"max-priority"`
	// MayBeUrgent allows urgent jobs, which may preempt tasks of lower priority.
	MayBeUrgent bool `toml:"may-be-urgent"`
}

// Report is the layout of one report. Columns are printed in the given order.
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

// Column is the layout of one column of a report.
type Column struct {
	Field   string `toml:"field"`
	Heading string `toml:"heading"`
	Width   int    `toml:"width"`
	// Decimals is the number of decimal places of numbers.
	Decimals int `toml:"decimals"`
}

// Duration is a time.Duration that is written as text such as "200ms".
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

// maxDocumentBytes is the maximum length of a document.
const maxDocumentBytes = 1 << 20

// Parse decodes a document, sets defaults for absent values, and checks everything
// that can be checked without knowing the cell. The error is an ErrDocument that
// names every problem.
func Parse(text string) (Document, error) {
	if len(text) > maxDocumentBytes {
		return Document{}, problemsError([]Problem{{"document", "is larger than 1 MiB"}})
	}
	var doc Document
	meta, err := toml.Decode(text, &doc)
	if err != nil {
		return Document{}, problemsError([]Problem{{"document", err.Error()}})
	}
	doc.setDefaults()
	problems := doc.check()
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{key.String(), "does not exist"})
	}
	if len(problems) > 0 {
		return Document{}, problemsError(problems)
	}
	return doc, nil
}

// Encode returns a document as TOML.
func Encode(doc Document) string {
	var b strings.Builder
	// Encoding a Document cannot fail: its fields all have TOML forms, and writes
	// to a strings.Builder return no error.
	_ = toml.NewEncoder(&b).Encode(doc)
	return b.String()
}

// Default returns the configuration of a cell in which no change was accepted yet.
func Default() Document {
	var doc Document
	doc.setDefaults()
	return doc
}

// setDefaults sets the defaults of absent values.
func (d *Document) setDefaults() {
	setIfZero(&d.Limits.QueuePerCustomer, 5000)
	setIfZero(&d.Limits.QueueTotal, 20_000)
	setIfZero(&d.Limits.RetryPercent, 10)
	if d.Classes == nil {
		d.Classes = []Class{
			{Name: hoist.Quick, Wait: Duration(100 * time.Millisecond), GoodPercent: 99.9},
			{Name: hoist.Patient, Wait: Duration(time.Minute), GoodPercent: 99},
			{Name: hoist.Watch, Wait: Duration(time.Minute), GoodPercent: 99},
		}
	}
	for i := range d.Reports {
		d.Reports[i].setDefaults()
	}
	for _, name := range reportNames {
		if _, ok := d.Report(name); !ok {
			d.Reports = append(d.Reports, defaultReport(name))
		}
	}
}

func setIfZero(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Report returns the layout of the report with the given name.
func (d Document) Report(name ReportName) (Report, bool) {
	for _, r := range d.Reports {
		if r.Name == name {
			return r, true
		}
	}
	return Report{}, false
}

// Objective returns the service-level objective of a class of requests. An unknown
// class has a zero objective.
func (d Document) Objective(class hoist.Class) Class {
	for _, c := range d.Classes {
		if c.Name == class {
			return c
		}
	}
	return Class{Name: class}
}

// Team returns the settings of the team with the given name.
func (d Document) Team(name hoist.TeamID) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
