// Package rate decides which jobs of a team are within the team's rate, from the times at
// which they were accepted.
//
// # Usage
//
//	var b rate.Bucket
//	b.SetRate(weight)           // jobs per second, from the configuration
//	e := b.Add(acceptedAt, job) // for each job, in any order
//	b.Settle(now)               // before the entries are read
//	if e.IsBeyond {
//		d := e.Excess(now) // the job with the smallest one is served next
//	}
//
// # Rule
//
// The bucket is a token bucket in the form of the generic cell rate algorithm: a job
// within the rate takes a token, and a job beyond it takes none. So a burst delays the
// jobs of its own team that are beyond the rate, and no later ones. A job beyond the rate
// is placed in a second bucket, which tells when the rate would have covered it.
//
// The verdicts depend on the set of jobs only, not on the order in which they were added:
// jobs are judged in the order of their acceptance times. These come from the clocks of
// several hosts. If they differ by less than the burst, a team that keeps to its rate
// stays within it.
//
// A Bucket is not safe for concurrent use and reads no clock.
package rate

import (
	"cmp"
	"math"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// Burst is how many seconds' worth of jobs a team may send at once. It covers clocks
	// of hosts that differ by some seconds and the jobs that pile up while the store does
	// not answer for a few seconds. A longer one would let a burst displace the work of
	// other teams for as long.
	Burst = 5 * time.Second
	// retention is how long entries are kept so that a job that becomes known late is judged
	// in its place. Hosts repeat a submission for less than this.
	retention = time.Minute
)

// Entry is the place of one job in the bucket of its team. Its results are valid after
// Settle.
type Entry struct {
	at  time.Time
	job hoist.JobID
	// after is the state of the bucket after the job.
	after state
	// IsBeyond tells that the job is beyond the rate.
	IsBeyond bool
	// CoveredAt is when the rate would have covered all jobs of the team beyond it up to
	// this one.
	CoveredAt time.Time
}

// state is the state of a bucket after some jobs.
type state struct {
	// within is the theoretical arrival time of the next job: the end of the time that the
	// jobs within the rate take, one after the other. beyond is the same of the jobs
	// beyond the rate.
	within, beyond time.Time
}

// Bucket judges the jobs of one team. The zero value has no rate: all jobs are within it.
type Bucket struct {
	// interval is the time in which a token is added, or 0 without a rate.
	interval time.Duration
	// entries are sorted. The first settled ones are valid.
	entries []*Entry
	settled int
	// added holds the entries since the last Settle.
	added []*Entry
	// forgotten is the state after the entries that are no longer kept, the last of which
	// was accepted at forgottenAt.
	forgotten   state
	forgottenAt time.Time
}

// SetRate sets the rate in jobs per second. One that is not positive and finite means that
// there is none. The jobs of the last minute are judged again.
func (b *Bucket) SetRate(perSecond float64) {
	var interval time.Duration
	if perSecond > 0 && !math.IsInf(perSecond, 1) {
		interval = hoist.DurationOf(1/perSecond, time.Second)
	}
	if interval != b.interval {
		b.interval, b.settled = interval, 0
	}
}

// Add adds a job that was accepted at a time.
func (b *Bucket) Add(at time.Time, job hoist.JobID) *Entry {
	e := &Entry{at: at, job: job}
	b.added = append(b.added, e)
	return e
}

// IsSettled reports whether Settle has nothing to do.
func (b *Bucket) IsSettled() bool {
	return len(b.added) == 0 && b.settled == len(b.entries)
}

// Settle judges the jobs that were added, and again those that were accepted after them.
func (b *Bucket) Settle(now time.Time) {
	slices.SortFunc(b.added, compareTimes)
	// last is the last entry whose result may change whatever the state before it.
	last := -1
	if b.settled < len(b.entries) {
		last = len(b.entries) + len(b.added)
	}
	for _, e := range b.added {
		i, _ := slices.BinarySearchFunc(b.entries, e, compareTimes)
		b.entries = slices.Insert(b.entries, i, e)
		b.settled, last = min(b.settled, i), max(last, i)
	}
	clear(b.added)
	b.added = b.added[:0]
	before := b.forgotten
	if b.settled > 0 {
		before = b.entries[b.settled-1].after
	}
	for i := b.settled; i < len(b.entries); i++ {
		e := b.entries[i]
		earlier := e.after
		b.judge(e, before)
		before = e.after
		if i > last && before == earlier {
			// The later entries keep their results, as the state before them is the same.
			// There may be many, accepted by a host whose clock is far ahead.
			break
		}
	}
	b.settled = len(b.entries)
	b.forget(now)
}

// judge sets the results of an entry from the state of the bucket before it.
func (b *Bucket) judge(e *Entry, before state) {
	at := e.at
	if at.Before(b.forgottenAt) {
		at = b.forgottenAt
	}
	// A time in the past is the same as none, so states become equal again after a pause.
	e.after = state{within: before.within, beyond: latest(before.beyond, at)}
	e.IsBeyond, e.CoveredAt = false, time.Time{}
	next := latest(before.within, at)
	if next.Sub(at) <= Burst {
		e.after.within = next.Add(b.interval)
		return
	}
	e.IsBeyond = true
	e.after.beyond = e.after.beyond.Add(b.interval)
	e.CoveredAt = e.after.beyond
}

// forget removes old entries, whose jobs keep their results.
func (b *Bucket) forget(now time.Time) {
	n := 0
	for n < len(b.entries) && now.Sub(b.entries[n].at) > retention {
		n++
	}
	if n == 0 {
		return
	}
	last := b.entries[n-1]
	b.forgotten, b.forgottenAt = last.after, latest(b.forgottenAt, last.at)
	b.entries = slices.Delete(b.entries, 0, n)
	b.settled -= n
}

// Excess returns how far a job beyond the rate is beyond it at a time: how long it takes
// from then until the rate has covered it. It is negative once it has.
func (e *Entry) Excess(now time.Time) time.Duration {
	return e.CoveredAt.Sub(now)
}

func compareTimes(x, y *Entry) int {
	return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.job, y.job))
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Clone returns a copy with entries of its own. b must be settled.
func (b *Bucket) Clone() Bucket {
	c := *b
	c.entries, c.added = make([]*Entry, len(b.entries)), nil
	for i, e := range b.entries {
		copied := *e
		c.entries[i] = &copied
	}
	return c
}

// Len returns the number of jobs that are kept.
func (b *Bucket) Len() int {
	return len(b.entries)
}
