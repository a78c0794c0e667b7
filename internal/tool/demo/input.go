package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/jobs"
)

// ErrInput reports an input that cannot be read or has an invalid line. The message
// names the file and the line.
var ErrInput = merry.Sentinel("invalid input")

// LineType is the type of an input line.
type LineType string

// The types of input lines: each submits a request or a job.
const (
	LineRequest LineType = "request"
	LineJob     LineType = "job"
)

// Line is one line of the input. A request has the fields from Key to Body, a job has
// those from Job to DeadlineMS. Fields of the other type must be absent.
type Line struct {
	Type LineType `json:"type"`
	// AtMS is the time at which the line is submitted, in milliseconds after the
	// start.
	AtMS int `json:"at-ms,omitempty"`

	Key        hoist.RequestKey  `json:"key,omitempty"`
	Customer   hoist.CustomerID  `json:"customer,omitempty"`
	Service    hoist.ServiceName `json:"service,omitempty"`
	Class      hoist.Class       `json:"class,omitempty"`
	Idempotent bool              `json:"idempotent,omitempty"`
	TimeoutMS  int               `json:"timeout-ms,omitempty"`
	Body       string            `json:"body,omitempty"`

	Job        hoist.JobID    `json:"job,omitempty"`
	Team       hoist.TeamID   `json:"team,omitempty"`
	Kind       hoist.JobKind  `json:"kind,omitempty"`
	Tasks      int            `json:"tasks,omitempty"`
	CPUMillis  hoist.MilliCPU `json:"cpu-millis,omitempty"`
	MemoryMiB  hoist.MiB      `json:"memory-mib,omitempty"`
	RunMS      int            `json:"run-ms,omitempty"`
	DeadlineMS int            `json:"deadline-ms,omitempty"`
}

// spec returns the job of a line that is submitted at now.
func (l Line) spec(now time.Time) hoist.JobSpec {
	s := hoist.JobSpec{
		ID: l.Job, Team: l.Team, Kind: l.Kind, Tasks: l.Tasks,
		Need:    hoist.Resources{CPU: l.CPUMillis, Memory: l.MemoryMiB},
		RunTime: time.Duration(l.RunMS) * time.Millisecond,
	}
	if l.DeadlineMS > 0 {
		s.Deadline = now.Add(time.Duration(l.DeadlineMS) * time.Millisecond)
	}
	return s
}

// ReadInput reads a JSON Lines input; name is the file name in error messages. It
// checks all lines before it returns any, so that nothing is submitted from an input
// with an invalid line. Its errors wrap ErrInput.
func ReadInput(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	firstUses := make(map[string]int)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for n := 1; scanner.Scan(); n++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		line, err := parseLine(scanner.Bytes())
		if err != nil {
			return nil, merry.Wrap(ErrInput, merry.AppendMessagef("%s:%d: %v", name, n, err))
		}
		id := string(line.Type) + " " + string(line.Key) + string(line.Job)
		if first, ok := firstUses[id]; ok {
			return nil, merry.Wrap(ErrInput, merry.AppendMessagef("%s:%d: %s is already used in line %d", name, n, id, first))
		}
		firstUses[id] = n
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, merry.Wrap(ErrInput, merry.AppendMessagef("%s: %v", name, err))
	}
	return lines, nil
}

func parseLine(text []byte) (Line, error) {
	var line Line
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&line); err != nil {
		return line, err
	}
	if d.More() {
		return line, merry.New("more than one value on the line")
	}
	switch line.Type {
	case LineRequest:
		return line, line.checkRequest()
	case LineJob:
		return line, jobs.CheckSpec(line.spec(time.Time{}))
	default:
		return line, merry.Errorf("type is %q, expected request or job", line.Type)
	}
}

func (l Line) checkRequest() error {
	switch {
	case l.Key == "":
		return merry.New("key is missing")
	case l.Customer == "":
		return merry.New("customer is missing")
	case l.Service == "":
		return merry.New("service is missing")
	case !l.Class.IsValid():
		return merry.Errorf("class is %q, expected quick, patient or watch", l.Class)
	case l.TimeoutMS < 0:
		return merry.Errorf("timeout-ms is %d, must not be negative", l.TimeoutMS)
	}
	return nil
}

// DefaultInput returns the input that is used when no file is given: 1200 quick and
// patient requests of three customers over four seconds, a service, a batch with a
// deadline, and a gang.
func DefaultInput() []Line {
	var lines []Line
	customers := []hoist.CustomerID{"sauce-packers", "ackee-co-op", "jam-kitchen"}
	for i := range 1200 {
		line := Line{
			Type: LineRequest, AtMS: i * 4000 / 1200, Key: hoist.RequestKey(fmt.Sprintf("check-%04d", i)),
			Customer: customers[i%3], Service: "matching", Class: hoist.Quick, TimeoutMS: 10_000,
			Idempotent: i%2 == 0, Body: fmt.Sprintf("jar %d", i),
		}
		if i%10 == 9 {
			line.Key = hoist.RequestKey(fmt.Sprintf("audit-%04d", i))
			line.Class = hoist.Patient
			line.TimeoutMS = 20_000
		}
		lines = append(lines, line)
	}
	return append(lines,
		Line{Type: LineJob, Job: "match-service", Team: "packing", Kind: hoist.ServiceJob, Tasks: 6, CPUMillis: 2000, MemoryMiB: 2048},
		Line{Type: LineJob, AtMS: 200, Job: "thread-audit", Team: "buyers", Kind: hoist.BatchJob, Tasks: 24, CPUMillis: 1000, MemoryMiB: 512, RunMS: 400, DeadlineMS: 30_000},
		Line{Type: LineJob, AtMS: 400, Job: "catalogue-rebuild", Team: "archive", Kind: hoist.GangJob, Tasks: 8, CPUMillis: 4000, MemoryMiB: 4096, RunMS: 1000},
	)
}
