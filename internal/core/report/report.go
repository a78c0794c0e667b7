// Package report produces the reports for operators: error-budget burn, waiting
// time, packing and cost of control. Each host records its own share; the report of
// the cell sums the shares of all hosts. The layout of each report is part of the
// configuration.
//
// # Usage
//
//	r := report.NewRecorder(clock)
//	r.Observe(hoist.Quick, answer, objectiveWait)
//	...
//	own := hoist.HostReport{Host: host, Classes: r.Classes()}
//	table := report.Burn(append(others, own), document)
//	report.WriteText(w, layout, table)
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/burn"
)

const (
	// maxWait is the longest waiting time that a histogram holds, in microseconds;
	// longer ones are recorded as maxWait.
	maxWait = int64(12 * time.Hour / time.Microsecond)
	// waitPeriod is the length of the periods in which waiting times are collected;
	// a report covers the current and the previous period.
	waitPeriod = time.Hour
)

// windows are the time windows of the burn report.
var windows = []time.Duration{5 * time.Minute, time.Hour, burn.MaxWindow}

// Recorder records the requests of one host. Its methods may be called
// concurrently.
type Recorder struct {
	clock   hoist.Clock
	mu      sync.Mutex
	classes map[hoist.Class]*classRecord
}

// classRecord is the record of one class.
type classRecord struct {
	counter       burn.Counter
	currentWaits  *hdrhistogram.Histogram
	previousWaits *hdrhistogram.Histogram
	periodStart   time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock hoist.Clock) *Recorder {
	return &Recorder{clock: clock, classes: make(map[hoist.Class]*classRecord)}
}

// Observe records an answer. It counts as good if the request was done and waited
// no longer than the objective; a request that was not run or whose outcome is
// unknown counts as bad.
func (r *Recorder) Observe(class hoist.Class, a hoist.Answer, objective time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	c := r.class(class, now)
	c.counter.Add(a.Outcome == hoist.Done && a.Waited <= objective, now)
	if a.Outcome == hoist.Done {
		// RecordValue cannot fail: the value is within the range of the histogram.
		_ = c.currentWaits.RecordValue(min(max(a.Waited.Microseconds(), 1), maxWait))
	}
}

func (r *Recorder) class(class hoist.Class, now time.Time) *classRecord {
	c, ok := r.classes[class]
	if !ok {
		c = &classRecord{currentWaits: newHistogram(), previousWaits: newHistogram(), periodStart: now}
		r.classes[class] = c
	}
	if now.Sub(c.periodStart) >= waitPeriod {
		c.currentWaits, c.previousWaits = c.previousWaits, c.currentWaits
		c.currentWaits.Reset()
		c.periodStart = now
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	const digits = 2
	return hdrhistogram.New(1, maxWait, digits)
}

// Classes returns the host's share of the burn and waiting reports.
func (r *Recorder) Classes() []hoist.ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []hoist.ClassReport
	for _, class := range []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch} {
		c := r.class(class, now)
		share := hoist.ClassReport{Class: class}
		for _, d := range windows {
			share.Windows = append(share.Windows, hoist.Window(c.counter.Window(d, now)))
		}
		share.Waits = encodeWaits(c)
		out = append(out, share)
	}
	return out
}

func encodeWaits(c *classRecord) []byte {
	sum := newHistogram()
	sum.Merge(c.currentWaits)
	sum.Merge(c.previousWaits)
	encoded, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		// A histogram in memory always encodes.
		panic(err)
	}
	return encoded
}
