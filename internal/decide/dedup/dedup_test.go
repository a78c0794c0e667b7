package dedup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/dedup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// try returns a try of key "k" that was issued after start.
func try(issued time.Duration, change ...func(*hoist.Request)) hoist.Request {
	r := hoist.Request{
		Key: "k", Customer: "c", Service: "s", Class: hoist.Quick,
		IssuedAt: start.Add(issued), Deadline: start.Add(time.Hour), Body: []byte("b"),
	}
	for _, f := range change {
		f(&r)
	}
	return r
}

func firstTry(r *hoist.Request) { r.FirstTry = true }

// assertBegin checks the decision on a request and, if it is refused, the outcome.
func assertBegin(t *testing.T, d *dedup.Table, r hoist.Request, want dedup.Decision, outcome hoist.Outcome) {
	t.Helper()
	is := is.New(t)
	v := d.Begin(r, start.Add(time.Second))
	is.Equal(v.Decision, want)
	is.Equal(v.Answer.Outcome, outcome)
}

// TestBeginDecisions guards against a request that runs twice, against the answer of
// another request, and against "not run" for a request that may have run.
func TestBeginDecisions(t *testing.T) {
	done := hoist.Answer{Key: "k", Outcome: hoist.Done, Body: []byte("answer")}
	at := start.Add(time.Second)
	run := func(d *dedup.Table) { d.Begin(try(0), at) }
	finish := func(d *dedup.Table) { run(d); d.Finish("k", done, at) }
	refuse := func(d *dedup.Table) { run(d); d.NotRun("k", "queue is full", at) }
	cases := map[string]struct {
		before  func(*dedup.Table)
		request hoist.Request
		want    dedup.Decision
		outcome hoist.Outcome
	}{
		"new key":                       {nil, try(0), dedup.Run, ""},
		"running":                       {run, try(0), dedup.Join, ""},
		"answered":                      {finish, try(0), dedup.Replay, hoist.Done},
		"answered, issued anew":         {finish, try(time.Second), dedup.Replay, hoist.Done},
		"other body under the key":      {run, try(0, func(r *hoist.Request) { r.Body = []byte("x") }), dedup.Mismatch, ""},
		"other customer under the key":  {finish, try(0, func(r *hoist.Request) { r.Customer = "x" }), dedup.Mismatch, ""},
		"before the horizon":            {nil, try(-time.Second), dedup.Refuse, hoist.Unknown},
		"first try, before the horizon": {nil, try(-time.Second, firstTry), dedup.Reissue, ""},
		"refused, same issue time":      {refuse, try(0), dedup.Replay, hoist.NotRun},
		"refused, issued anew":          {refuse, try(time.Millisecond), dedup.Run, ""},
		"from the future":               {nil, try(2 * time.Second), dedup.Refuse, hoist.Unknown},
		"from the future, first try":    {nil, try(2*time.Second, firstTry), dedup.Refuse, hoist.NotRun},
		"from the future, but known":    {finish, try(2 * time.Second), dedup.Replay, hoist.Done},
		"deadline has passed":           {nil, try(0, func(r *hoist.Request) { r.Deadline = start }), dedup.Refuse, hoist.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := dedup.New(start)
			if c.before != nil {
				c.before(d)
			}
			assertBegin(t, d, c.request, c.want, c.outcome)
		})
	}
}

// TestHandoverKeepsKeys guards against keys that are lost in a handover: a running
// request must not run again, a waiting one may.
func TestHandoverKeepsKeys(t *testing.T) {
	old := dedup.New(start)
	assertBegin(t, old, try(0), dedup.Run, "")
	next := dedup.New(start.Add(time.Minute))
	for _, r := range old.Records() {
		next.Restore(r)
	}
	assertBegin(t, next, try(0), dedup.Refuse, hoist.Unknown)
	next = dedup.New(start.Add(time.Minute))
	for _, r := range old.Records() {
		next.Restore(dedup.WithdrawnRecord(r, start))
	}
	assertBegin(t, next, try(0), dedup.Run, "")
	assertBegin(t, next, try(0), dedup.Join, "")
}

// TestTableSizeLimits guards against unbounded growth, and against a request that
// runs again because its answer was dropped.
func TestTableSizeLimits(t *testing.T) {
	is := is.New(t)
	d := dedup.New(start)
	withKey := func(key hoist.RequestKey) func(*hoist.Request) { return func(r *hoist.Request) { r.Key = key } }
	for _, key := range []hoist.RequestKey{"a", "b", "c"} {
		d.Begin(try(0, withKey(key)), start)
		d.Finish(key, hoist.Answer{Key: key, Outcome: hoist.Done, Body: make([]byte, dedup.MaxAnswerBytes/2)}, start)
	}
	assertBegin(t, d, try(0, withKey("a")), dedup.Replay, hoist.Unknown)
	assertBegin(t, d, try(0, withKey("c")), dedup.Replay, hoist.Done)
	for i := range dedup.MaxKeys + 10 {
		d.Begin(try(0, withKey(hoist.RequestKey(time.Duration(i).String()))), start)
	}
	is.Equal(d.Len(), dedup.MaxKeys)
	assertBegin(t, d, try(0, withKey("a")), dedup.Refuse, hoist.Unknown)
	is.Equal(dedup.New(start).Begin(try(0), start.Add(dedup.AnswerRetention)).Decision, dedup.Run)
}
