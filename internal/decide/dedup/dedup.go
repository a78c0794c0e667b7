// Package dedup decides whether a request may run, given what is known about
// its key. It is what makes a request run at most once: a second arrival of a
// key joins the running attempt or receives the stored answer, and a request
// that an earlier owner may have run is never run again.
//
// # Usage
//
// A coordinator keeps one Table for each shard that it owns:
//
//	t := dedup.New(horizon)
//	switch v := t.Begin(req, now); v.Decision {
//	case dedup.Run: // run it, then
//		t.Finish(req.Key, answer, now)
//	case dedup.Join: // wait for the running attempt
//	case dedup.Replay: // v.Answer is the stored answer
//	case dedup.Refuse: // v.Answer tells why
//	}
//
// The type is not safe for concurrent use and reads no clock.
package dedup

import (
	"container/list"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// ClockSkew bounds the difference between the clocks of callers and hosts.
	ClockSkew = 500 * time.Millisecond
	// KeepAnswers is how long an answer is kept for retries of the caller.
	KeepAnswers = 10 * time.Minute
	// MaxKeys bounds the keys of one shard.
	MaxKeys = 20_000
)

// Decision tells what to do with a request.
type Decision int

// The decisions on a request.
const (
	// Run means that the key is new; the caller must call Finish or Forget.
	Run Decision = iota
	// Join means that an attempt of the key is running on this host.
	Join
	// Replay means that the answer is known.
	Replay
	// Refuse means that the request must not run.
	Refuse
)

// Verdict is the decision on a request, with the answer for Replay and Refuse.
type Verdict struct {
	Decision Decision
	Answer   hoist.Answer
}

// Table holds the keys of one shard.
type Table struct {
	horizon time.Time
	entries map[hoist.RequestKey]*entry
	// answered holds the entries with an answer, oldest answer first.
	answered *list.List
}

// entry is what is known about one key.
type entry struct {
	key      hoist.RequestKey
	issuedAt time.Time
	answer   *hoist.Answer
	at       time.Time
	// isElsewhere marks a request that an earlier owner was still running
	// when it handed the shard over.
	isElsewhere bool
}

// New returns a table that refuses unknown keys issued before horizon.
func New(horizon time.Time) *Table {
	return &Table{
		horizon:  horizon,
		entries:  make(map[hoist.RequestKey]*entry),
		answered: list.New(),
	}
}

// Len returns the number of keys.
func (t *Table) Len() int {
	return len(t.entries)
}

// Horizon returns the issue time before which unknown keys are refused.
func (t *Table) Horizon() time.Time {
	return t.horizon
}

// Begin decides on a request that arrived at the time now.
func (t *Table) Begin(r hoist.Request, now time.Time) Verdict {
	t.evict(now)
	if e, ok := t.entries[r.Key]; ok {
		return e.verdict()
	}
	if r.IssuedAt.After(now.Add(ClockSkew)) {
		return refuse(r.Key, hoist.NotRun, "issued-at is in the future")
	}
	if r.IssuedAt.Before(t.horizon) {
		return refuseOld(r)
	}
	if len(t.entries) >= MaxKeys && !t.evictOldest() {
		return refuse(r.Key, hoist.NotRun, "too many requests in flight in this shard")
	}
	t.entries[r.Key] = &entry{key: r.Key, issuedAt: r.IssuedAt}
	return Verdict{Decision: Run}
}

// refuseOld refuses a request that an earlier owner may have run. A first try
// reached no earlier owner, or the host that forwards it would not have sent it
// here; the caller may issue it anew.
func refuseOld(r hoist.Request) Verdict {
	if r.FirstTry {
		return refuse(r.Key, hoist.NotRun, "the owner of the key changed; issue the request anew")
	}
	return refuse(r.Key, hoist.Unknown, "an earlier owner of the key may have run the request")
}

func (e *entry) verdict() Verdict {
	switch {
	case e.answer != nil:
		return Verdict{Decision: Replay, Answer: *e.answer}
	case e.isElsewhere:
		return refuse(e.key, hoist.Unknown, "the request was running at an earlier owner of the key")
	default:
		return Verdict{Decision: Join}
	}
}

func refuse(key hoist.RequestKey, outcome hoist.Outcome, reason string) Verdict {
	return Verdict{Decision: Refuse, Answer: hoist.Answer{Key: key, Outcome: outcome, Reason: reason}}
}

// Finish stores the answer of a running request.
func (t *Table) Finish(key hoist.RequestKey, answer hoist.Answer, now time.Time) {
	e, ok := t.entries[key]
	if !ok || e.answer != nil {
		return
	}
	e.answer = &answer
	e.at = now
	t.answered.PushBack(e)
}

// Forget drops a running request that certainly did not run, so that a retry
// may run it.
func (t *Table) Forget(key hoist.RequestKey) {
	if e, ok := t.entries[key]; ok && e.answer == nil {
		delete(t.entries, key)
	}
}

// evict drops answers that were kept long enough.
func (t *Table) evict(now time.Time) {
	for front := t.answered.Front(); front != nil; front = t.answered.Front() {
		if now.Sub(front.Value.(*entry).at) < KeepAnswers {
			return
		}
		t.evictOldest()
	}
}

// evictOldest drops the oldest answer and moves the horizon past its issue
// time, so that a late retry of it is refused rather than run again.
func (t *Table) evictOldest() bool {
	front := t.answered.Front()
	if front == nil {
		return false
	}
	e := t.answered.Remove(front).(*entry)
	delete(t.entries, e.key)
	if past := e.issuedAt.Add(1); past.After(t.horizon) {
		t.horizon = past
	}
	return true
}

// Records returns all keys, for a handover.
func (t *Table) Records() []hoist.KeyRecord {
	out := make([]hoist.KeyRecord, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, hoist.KeyRecord{Key: e.key, IssuedAt: e.issuedAt, Answer: e.answer, AnsweredAt: e.at})
	}
	return out
}

// Restore adds a key that a handover brought.
func (t *Table) Restore(r hoist.KeyRecord) {
	e := &entry{key: r.Key, issuedAt: r.IssuedAt, answer: r.Answer, at: r.AnsweredAt, isElsewhere: r.Answer == nil}
	t.entries[r.Key] = e
	if e.answer != nil {
		t.answered.PushBack(e)
	}
}
