// Package dedup decides whether a request may run, given what is known about
// its key. It ensures that a request runs at most once: a second arrival of a
// key joins the running attempt or receives the stored answer, and a request
// that an earlier owner may have run is not run again.
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
//	case dedup.Refuse: // v.Answer has the reason
//	case dedup.Reissue: // issue it anew
//	case dedup.Mismatch: // the request is invalid
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
	// AnswerRetention is how long an answer is kept for retries of the caller.
	AnswerRetention = 10 * time.Minute
	// MaxKeys bounds the number of keys of one shard.
	MaxKeys = 20_000
	// MaxAnswerBytes bounds the total size of the answer bodies kept for one
	// shard, so that a host with 32 shards keeps at most 64 MiB.
	MaxAnswerBytes = 2 << 20
)

// Decision is what to do with a request.
type Decision int

// The decisions on a request.
const (
	// Run means that the key is new; the caller must call Finish or NotRun.
	Run Decision = iota
	// Join means that an attempt of the key is running on this host.
	Join
	// Replay means that the answer is known.
	Replay
	// Refuse means that the request must not run.
	Refuse
	// Reissue means that the request has not run and must not run with its
	// time of issue. It may run if it is issued anew.
	Reissue
	// Mismatch means that the key belongs to another request.
	Mismatch
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
	// withBody holds the entries whose answer still has its body, oldest
	// first.
	withBody *list.List
	// bytes is the total size of the bodies in withBody.
	bytes int
}

// entry is what is known about one key.
type entry struct {
	key     hoist.RequestKey
	content hoist.Digest
	// issuedAt is the latest time of issue of the tries that arrived.
	issuedAt time.Time
	// isOnlyTry is set while the caller has made no other try of the request.
	isOnlyTry  bool
	answer     *hoist.Answer
	answeredAt time.Time
	// isRunningElsewhere marks a request that an earlier owner was still running
	// when it handed the shard over.
	isRunningElsewhere bool
	// answeredElement is the entry's element of answered, bodyElement that of
	// withBody. Each is nil while the entry is not in that list.
	answeredElement, bodyElement *list.Element
}

// New returns a table that refuses unknown keys issued before horizon.
func New(horizon time.Time) *Table {
	return &Table{
		horizon:  horizon,
		entries:  make(map[hoist.RequestKey]*entry),
		answered: list.New(),
		withBody: list.New(),
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

// Begin decides on a request that arrived at the time now. After Run the key is
// in use until Finish or NotRun.
func (t *Table) Begin(r hoist.Request, now time.Time) Verdict {
	t.evict(now)
	content := r.Content()
	e, isKnown := t.entries[r.Key]
	if isKnown && !e.isReissued(r) {
		return e.verdict(r, content)
	}
	if r.IssuedAt.After(now.Add(ClockSkew)) {
		return refuseUnrecorded(r, "issued-at is in the future")
	}
	if isKnown {
		t.remove(e)
	} else if r.IssuedAt.Before(t.horizon) {
		return refuseBeforeHorizon(r)
	}
	return t.admit(r, content, now)
}

// Adopt adds a request that is recorded elsewhere as not run, regardless of the
// horizon. It returns Run, or Refuse if the key is in use.
func (t *Table) Adopt(r hoist.Request) Decision {
	if e, ok := t.entries[r.Key]; ok {
		if e.answer == nil && !e.isRunningElsewhere || e.answer != nil && e.answer.Outcome != hoist.NotRun {
			return Refuse
		}
		if e.answer != nil {
			t.remove(e)
		}
	}
	t.entries[r.Key] = &entry{key: r.Key, content: r.Content(), issuedAt: r.IssuedAt}
	return Run
}

// isReissued reports whether r is a new issue of a request that was answered as
// not run.
func (e *entry) isReissued(r hoist.Request) bool {
	return e.answer != nil && e.answer.Outcome == hoist.NotRun && r.IssuedAt.After(e.issuedAt)
}

// admit adds an entry for a request that has not run.
func (t *Table) admit(r hoist.Request, content hoist.Digest, now time.Time) Verdict {
	if len(t.entries) >= MaxKeys && !t.evictOldest() {
		return refuseUnrecorded(r, "too many requests in flight in this shard")
	}
	t.entries[r.Key] = &entry{key: r.Key, content: content, issuedAt: r.IssuedAt, isOnlyTry: r.FirstTry}
	if !r.Deadline.After(now) {
		const reason = "the deadline has passed"
		t.NotRun(r.Key, reason, now)
		return refuse(r.Key, hoist.NotRun, reason)
	}
	return Verdict{Decision: Run}
}

// refuseBeforeHorizon refuses a request that an earlier owner may have run. A
// first try has reached no earlier owner, as otherwise the host that forwards it
// would not have sent it here; it may be issued anew.
func refuseBeforeHorizon(r hoist.Request) Verdict {
	if r.FirstTry {
		return Verdict{Decision: Reissue}
	}
	return refuse(r.Key, hoist.Unknown, "an earlier owner of the key may have run the request")
}

// refuseUnrecorded refuses a try without recording it. An earlier try of the
// request may still arrive and run, unless this is the first.
func refuseUnrecorded(r hoist.Request, reason string) Verdict {
	if r.FirstTry {
		return refuse(r.Key, hoist.NotRun, reason)
	}
	return refuse(r.Key, hoist.Unknown, reason)
}

func (e *entry) verdict(r hoist.Request, content hoist.Digest) Verdict {
	if e.content != content {
		return Verdict{Decision: Mismatch}
	}
	e.isOnlyTry = e.isOnlyTry && r.FirstTry
	if r.IssuedAt.After(e.issuedAt) {
		e.issuedAt = r.IssuedAt
	}
	switch {
	case e.answer != nil:
		return Verdict{Decision: Replay, Answer: *e.answer}
	case e.isRunningElsewhere:
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
	e.answeredAt = now
	t.addAnswered(e)
}

// addAnswered adds an entry to the answered ones and drops the oldest bodies
// beyond MaxAnswerBytes.
func (t *Table) addAnswered(e *entry) {
	e.answeredElement = t.answered.PushBack(e)
	if len(e.answer.Body) == 0 {
		return
	}
	e.bodyElement = t.withBody.PushBack(e)
	t.bytes += len(e.answer.Body)
	for t.bytes > MaxAnswerBytes {
		oldest := t.withBody.Front().Value.(*entry)
		t.dropBody(oldest)
		oldest.answer = &hoist.Answer{Key: oldest.key, Outcome: hoist.Unknown, Reason: "the request ran, but its answer is no longer kept"}
	}
}

// dropBody removes the entry from withBody and no longer counts its body.
func (t *Table) dropBody(e *entry) {
	if e.bodyElement == nil {
		return
	}
	t.withBody.Remove(e.bodyElement)
	e.bodyElement = nil
	t.bytes -= len(e.answer.Body)
}

// NotRun records that a request certainly did not run. Another try with the same
// time of issue may still be in flight; it is refused from now on, while the
// request may be issued anew. A request with only one try is dropped.
func (t *Table) NotRun(key hoist.RequestKey, reason string, now time.Time) {
	e, ok := t.entries[key]
	if !ok || e.answer != nil {
		return
	}
	if e.isOnlyTry {
		delete(t.entries, key)
		return
	}
	t.Finish(key, hoist.Answer{Key: key, Outcome: hoist.NotRun, Reason: reason}, now)
}

// remove drops an answered entry without moving the horizon.
func (t *Table) remove(e *entry) {
	t.answered.Remove(e.answeredElement)
	t.dropBody(e)
	delete(t.entries, e.key)
}

// evict drops the answers that are older than AnswerRetention.
func (t *Table) evict(now time.Time) {
	for front := t.answered.Front(); front != nil; front = t.answered.Front() {
		if now.Sub(front.Value.(*entry).answeredAt) < AnswerRetention {
			return
		}
		t.evictOldest()
	}
}

// evictOldest drops the oldest answer and moves the horizon past the issue time
// of its request, so that a late retry is refused rather than run again. It
// returns false if there is no answer.
func (t *Table) evictOldest() bool {
	front := t.answered.Front()
	if front == nil {
		return false
	}
	e := front.Value.(*entry)
	t.remove(e)
	if past := e.issuedAt.Add(1); past.After(t.horizon) {
		t.horizon = past
	}
	return true
}

// Records returns the records of all keys for a handover: first those with an
// answer, oldest first, then those without.
func (t *Table) Records() []hoist.KeyRecord {
	out := make([]hoist.KeyRecord, 0, len(t.entries))
	for el := t.answered.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(*entry).record())
	}
	for _, e := range t.entries {
		if e.answer == nil {
			out = append(out, e.record())
		}
	}
	return out
}

func (e *entry) record() hoist.KeyRecord {
	return hoist.KeyRecord{Key: e.key, Content: e.content, IssuedAt: e.issuedAt, Answer: e.answer, AnsweredAt: e.answeredAt}
}

// WithdrawnRecord returns the record to hand over for a request that certainly has
// not run and may still run with its time of issue at the next owner.
func WithdrawnRecord(r hoist.KeyRecord, now time.Time) hoist.KeyRecord {
	r.AnsweredAt = now
	r.IssuedAt = r.IssuedAt.Add(-1)
	r.Answer = &hoist.Answer{Key: r.Key, Outcome: hoist.NotRun, Reason: "the owner of the key changed"}
	return r
}

// Restore adds the record of a key that was handed over.
func (t *Table) Restore(r hoist.KeyRecord) {
	e := &entry{
		key: r.Key, content: r.Content, issuedAt: r.IssuedAt,
		answer: r.Answer, answeredAt: r.AnsweredAt, isRunningElsewhere: r.Answer == nil,
	}
	t.entries[r.Key] = e
	if e.answer != nil {
		t.addAnswered(e)
	}
}
