package codec

import (
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

// LeaseRow is the value of the row with the lease account, with the times of the store's clock.
type LeaseRow struct {
	// Term is that of the owner that has written the row.
	Term hoist.Term
	// IsPartial tells that workers without an entry may hold leases as well.
	IsPartial bool
	Workers   []LeaseEntry
}

// LeaseEntry is the entry of a worker; see hoist.WorkerLease.
type LeaseEntry struct {
	Worker                           hoist.WorkerID
	Incarnation                      hoist.Incarnation
	IsOpen                           bool
	ConfirmedUntil, UnconfirmedUntil hoist.StoreTime
}

// EncodeLeaseRow encodes the lease account. An account that does not fit into a row is encoded
// as a partial one without entries, from which the next owner learns nothing.
func EncodeLeaseRow(r LeaseRow) []byte {
	value := EncodeStoreRow(leaseAccount(r))
	if len(value) <= MaxStateBytes {
		return value
	}
	return EncodeStoreRow(leaseAccount(LeaseRow{Term: r.Term, IsPartial: true}))
}

func leaseAccount(r LeaseRow) rows.LeaseAccount {
	out := rows.LeaseAccount{
		Term: int(r.Term), Partial: r.IsPartial,
		Workers: []string{}, Incarnations: []int{}, Open: []int{}, ConfirmedUntilMs: []int{}, UnconfirmedUntilMs: []int{},
	}
	for _, e := range r.Workers {
		open := 0
		if e.IsOpen {
			open = 1
		}
		out.Workers = append(out.Workers, string(e.Worker))
		out.Incarnations = append(out.Incarnations, int(e.Incarnation))
		out.Open = append(out.Open, open)
		out.ConfirmedUntilMs = append(out.ConfirmedUntilMs, ceilMillis(e.ConfirmedUntil))
		out.UnconfirmedUntilMs = append(out.UnconfirmedUntilMs, ceilMillis(e.UnconfirmedUntil))
	}
	return out
}

// ceilMillis returns the first whole millisecond that is not before t.
func ceilMillis(t hoist.StoreTime) int {
	return int((time.Duration(t) + time.Millisecond - 1) / time.Millisecond)
}

// maxEndedLeases bounds the workers in an answer to a health check. An account of more does not
// fit into a row, and says nothing that could be lowered.
const maxEndedLeases = 2000

// maxConfirmedRuns bounds the confirmed attempts in an answer. Confirmations are recorded within
// 0.25 s, so that there are few. An attempt that is left out counts as in doubt.
const maxConfirmedRuns = 200

// FromEndedLeases converts the leases of a term that has ended. It returns nil for nil and for
// more than maxEndedLeases workers.
func FromEndedLeases(e *hoist.EndedLeases) *rows.EndedLeases {
	if e == nil || len(e.Workers) > maxEndedLeases {
		return nil
	}
	out := &rows.EndedLeases{Term: int(e.Term), Workers: []string{}, Incarnations: []int{}, ConfirmedLeftUs: []int{}}
	for _, w := range e.Workers {
		out.Workers = append(out.Workers, string(w.Worker))
		out.Incarnations = append(out.Incarnations, int(w.Incarnation))
		out.ConfirmedLeftUs = append(out.ConfirmedLeftUs, ceilMicros(w.ConfirmedLeft))
		for _, run := range w.Confirmed {
			if len(out.Confirmed) < maxConfirmedRuns {
				out.Confirmed = append(out.Confirmed, rows.ConfirmedRun{Worker: string(w.Worker), Run: RelayRun(run)})
			}
		}
	}
	return out
}

// ceilMicros returns the number of microseconds in d, where a part counts as a whole one.
func ceilMicros(d time.Duration) int {
	return int((d + time.Microsecond - 1) / time.Microsecond)
}

// ToEndedLeases is the inverse of FromEndedLeases. It returns hoist.ErrInvalid if the lists have
// different lengths, or times are negative.
func ToEndedLeases(e *rows.EndedLeases) (*hoist.EndedLeases, error) {
	if e == nil {
		return nil, nil
	}
	n := len(e.Workers)
	if len(e.Incarnations) != n || len(e.ConfirmedLeftUs) != n {
		return nil, merry.Wrap(hoist.ErrInvalid, merry.AppendMessagef(
			"lists of ended leases have %d, %d and %d elements", n, len(e.Incarnations), len(e.ConfirmedLeftUs)))
	}
	confirmed := make(map[string][]hoist.TaskRun)
	for _, c := range e.Confirmed {
		confirmed[c.Worker] = append(confirmed[c.Worker], ToTaskRun(c.Run))
	}
	out := &hoist.EndedLeases{Term: hoist.Term(e.Term)}
	for i, id := range e.Workers {
		left := e.ConfirmedLeftUs[i]
		if left < 0 {
			return nil, merry.Wrap(hoist.ErrInvalid, merry.AppendMessagef("an ended lease has %d µs left", left))
		}
		out.Workers = append(out.Workers, hoist.EndedLease{
			Worker: hoist.WorkerID(id), Incarnation: hoist.Incarnation(e.Incarnations[i]), ConfirmedLeft: durationFromMicros(left),
			Confirmed: confirmed[id],
		})
	}
	return out, nil
}

// DecodeLeaseRow decodes the lease account. It returns hoist.ErrInvalid if value is not a
// valid encoding.
func DecodeLeaseRow(value []byte) (LeaseRow, error) {
	r, err := DecodeStoreRow[rows.LeaseAccount](value)
	if err != nil {
		return LeaseRow{}, err
	}
	n := len(r.Workers)
	for _, list := range [][]int{r.Incarnations, r.Open, r.ConfirmedUntilMs, r.UnconfirmedUntilMs} {
		if len(list) != n {
			return LeaseRow{}, merry.Wrap(hoist.ErrInvalid, merry.AppendMessagef("lists of a lease account have %d and %d elements", n, len(list)))
		}
	}
	out := LeaseRow{Term: hoist.Term(r.Term), IsPartial: r.Partial}
	for i, id := range r.Workers {
		out.Workers = append(out.Workers, LeaseEntry{
			Worker: hoist.WorkerID(id), Incarnation: hoist.Incarnation(r.Incarnations[i]), IsOpen: r.Open[i] != 0,
			ConfirmedUntil:   hoist.StoreTime(durationFromMillis(r.ConfirmedUntilMs[i])),
			UnconfirmedUntil: hoist.StoreTime(durationFromMillis(r.UnconfirmedUntilMs[i])),
		})
	}
	return out, nil
}
