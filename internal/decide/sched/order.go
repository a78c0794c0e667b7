package sched

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// workerOrder holds the usable workers of one service in the order in which steps
// prefer them. It serves all steps of a pass, and in a large cell those of several
// passes, so that choosing workers for a step costs no more than looking at those that
// it takes. The ranks change little meanwhile; capacity, and whether a worker is still
// usable, are checked for each step.
type workerOrder struct {
	// near is the order for steps without a preferred rack, and byRack that of the
	// workers of each rack.
	near   []rankedWorker
	byRack map[hoist.RackID][]rankedWorker
	// remote is the order of workers that are not on the preferred rack of a step. It
	// is made when it is first needed.
	remote []rankedWorker
	// madeAt is when the order was made, from that many usable workers. Those that are
	// backed off are among them, but are left out while a step must not use them.
	madeAt    time.Time
	numUsable int
	// full lists needs that fit on no worker in this pass, as far as this was found
	// out. Capacity only shrinks within a pass.
	full   []hoist.Resources
	passNo uint64
}

type rankedWorker struct {
	*Worker
	rank float64
}

func compareRanked(x, y rankedWorker) int {
	if x.rank != y.rank {
		return cmp.Compare(x.rank, y.rank)
	}
	return cmp.Compare(x.entry.Worker, y.entry.Worker)
}

const (
	// maxFullNeeds bounds the needs that a pass remembers as fitting on no worker.
	maxFullNeeds = 4
	// orderAgePerWorker, times the number of workers, is how long an order is used.
	// Making one takes less than a hundredth of that.
	orderAgePerWorker = 20 * time.Microsecond
	// maxUsableChange is the share of the usable workers that may come or go before a
	// new order is made.
	maxUsableChange = 0.01
)

// order returns the order of the workers of a service for this pass.
func (sc *Scheduler) order(service hoist.ServiceName) *workerOrder {
	o, ok := sc.orders[service]
	if !ok || !sc.isCurrent(o) {
		o = sc.newOrder(service)
		sc.orders[service] = o
	}
	if o.passNo != sc.passNo {
		o.passNo, o.full = sc.passNo, o.full[:0]
	}
	return o
}

// isCurrent reports whether an order may be used in this pass.
func (sc *Scheduler) isCurrent(o *workerOrder) bool {
	if o.passNo == sc.passNo {
		return true
	}
	change := float64(len(sc.usable) + len(sc.backedOff) - o.numUsable)
	maxAge := time.Duration(len(sc.usable)) * orderAgePerWorker
	return sc.passAt.Sub(o.madeAt) < maxAge && math.Abs(change) <= maxUsableChange*float64(o.numUsable)
}

func (sc *Scheduler) newOrder(service hoist.ServiceName) *workerOrder {
	o := &workerOrder{byRack: make(map[hoist.RackID][]rankedWorker), madeAt: sc.passAt, numUsable: len(sc.usable) + len(sc.backedOff)}
	for _, workers := range [...][]*Worker{sc.usable, sc.backedOff} {
		for _, w := range workers {
			if w.entry.Service == service {
				o.near = append(o.near, rankedWorker{w, sc.rank(w, false)})
			}
		}
	}
	slices.SortFunc(o.near, compareRanked)
	for _, w := range o.near {
		o.byRack[w.entry.Rack] = append(o.byRack[w.entry.Rack], w)
	}
	return o
}

// remoteOrder returns the order of workers that are not on the preferred rack.
func (sc *Scheduler) remoteOrder(o *workerOrder) []rankedWorker {
	if o.remote == nil {
		o.remote = make([]rankedWorker, len(o.near))
		for i, w := range o.near {
			o.remote[i] = rankedWorker{w.Worker, sc.rank(w.Worker, true)}
		}
		slices.SortFunc(o.remote, compareRanked)
	}
	return o.remote
}

// hasNoRoom reports whether a need is known to fit on no worker.
func (o *workerOrder) hasNoRoom(need hoist.Resources) bool {
	return slices.ContainsFunc(o.full, func(refused hoist.Resources) bool { return refused.Fits(need) })
}

// recordNoRoom records that a need fits on no worker.
func (o *workerOrder) recordNoRoom(need hoist.Resources) {
	if len(o.full) < maxFullNeeds {
		o.full = append(o.full, need)
	}
}

// ranked returns the usable workers with the service and the label that a step
// requires, best first.
func (sc *Scheduler) ranked(s *StepTasks) iter.Seq[*Worker] {
	o := sc.order(s.Job.Plan.Queue.Service)
	near, remote := o.near, []rankedWorker(nil)
	if rack := s.Step.PreferredRack; rack != "" {
		near = o.byRack[rack]
		if !sc.considersNearOnly(s) {
			remote = sc.remoteOrder(o)
		}
	}
	return func(yield func(*Worker) bool) {
		for w := range merge(near, remote, s.Step.PreferredRack) {
			if !sc.isUsableNow(w) || !sc.isCandidate(s, w) {
				continue
			}
			if !yield(w) {
				return
			}
		}
	}
}

// merge returns the workers of two lists by rank, without those of remote that are on
// the given rack.
func merge(near, remote []rankedWorker, rack hoist.RackID) iter.Seq[*Worker] {
	return func(yield func(*Worker) bool) {
		for len(near) > 0 || len(remote) > 0 {
			var next rankedWorker
			if len(remote) == 0 || (len(near) > 0 && compareRanked(near[0], remote[0]) <= 0) {
				next, near = near[0], near[1:]
			} else {
				next, remote = remote[0], remote[1:]
				if next.entry.Rack == rack {
					continue
				}
			}
			if !yield(next.Worker) {
				return
			}
		}
	}
}

// sortRanked sorts workers by their rank for a step.
func (sc *Scheduler) sortRanked(s *StepTasks, workers []*Worker) {
	ranks := make([]rankedWorker, len(workers))
	for i, w := range workers {
		ranks[i] = rankedWorker{w, sc.rank(w, sc.isRemote(s, w))}
	}
	slices.SortFunc(ranks, compareRanked)
	for i, r := range ranks {
		workers[i] = r.Worker
	}
}
