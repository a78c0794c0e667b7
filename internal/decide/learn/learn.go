// Package learn learns how long the tasks of a group of jobs run and how much
// they use, because what submitters declare is often far off.
//
// # Usage
//
//	b := learn.NewEstimator()
//	key := learn.KeyOf(spec)
//	b.Ended(key, ran, usage)              // a task of the group succeeded
//	rest := b.Remaining(key, spec.RunTime, ran)
//	size := b.Size(key, spec.Need)        // ranks workers; Need decides what fits
//	if b.IsStraggler(key, ran) { ... }
//
// Record only runs that succeeded: a run that failed or was stopped tells
// nothing about how long a whole one takes. Estimates are quantiles, so that a
// few runs of ten or a thousand times the usual length do not move them. The
// book holds a bounded number of groups and forgets the one that was used the
// longest ago. The type is not safe for concurrent use and reads no clock.
package learn

import (
	"container/list"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// MaxGroups bounds the memory: a group takes about 1.7 KB, all of them 7
	// MB of the 128 MB that a host may use for control.
	MaxGroups = 4096
	// minRuns is how many runs outweigh the declaration. With three, one
	// outlier does not set the median.
	minRuns = 3
	// minStragglerRuns is how many runs it takes to call a task a straggler.
	// With eight, one outlier among them does not reach the upper quartile.
	minStragglerRuns = 8
	// stragglerFactor is how many times the upper quartile a straggler runs.
	// Ordinary spread stays below it, outliers run ten times and more.
	stragglerFactor = 3
	// minStragglerTime keeps tasks of a few seconds from being called
	// stragglers for the pauses of a busy worker.
	minStragglerTime = 10 * time.Second

	median        = 0.5
	upperQuartile = 0.75
	// sizeQuantile ranks workers by what a large task of the group uses.
	sizeQuantile = 0.9
)

// Key names a group of tasks that behave alike.
type Key struct {
	Team  hoist.TeamID
	Group string
}

// KeyOf returns the group of a job. Groups of different teams are apart. A job
// without a group is a group of its own.
func KeyOf(s hoist.JobSpec) Key {
	if s.Group == "" {
		return Key{s.Team, "job/" + string(s.ID)}
	}
	return Key{s.Team, "group/" + s.Group}
}

// group is what is known about one group.
type group struct {
	key     Key
	runTime sketch
	cpu     sketch
	memory  sketch
}

// Estimator holds what was learned.
type Estimator struct {
	max    int
	groups map[Key]*list.Element
	// order has the group used last at its front.
	order *list.List
}

// NewEstimator returns a book of up to MaxGroups groups.
func NewEstimator() *Estimator {
	return NewEstimatorOf(MaxGroups)
}

// NewEstimatorOf returns a book of up to size groups.
func NewEstimatorOf(size int) *Estimator {
	return &Estimator{max: max(size, 1), groups: make(map[Key]*list.Element), order: list.New()}
}

// Len returns the number of groups.
func (b *Estimator) Len() int {
	return len(b.groups)
}

// Ended records a task that succeeded: how long it ran, and the most it used.
// Parts of usage that are not positive are unknown and not recorded.
func (b *Estimator) Ended(key Key, ran time.Duration, usage hoist.Resources) {
	g := b.touch(key)
	if ran > 0 {
		g.runTime.add(float64(ran) / float64(time.Millisecond))
	}
	b.used(g, usage)
}

// Used records the usage of a task that still runs, for services, which do not
// end.
func (b *Estimator) Used(key Key, usage hoist.Resources) {
	b.used(b.touch(key), usage)
}

func (b *Estimator) used(g *group, usage hoist.Resources) {
	if usage.CPU > 0 {
		g.cpu.add(float64(usage.CPU))
	}
	if usage.Memory > 0 {
		g.memory.add(float64(usage.Memory))
	}
}

// touch returns a group, which is now the one used last.
func (b *Estimator) touch(key Key) *group {
	if e, ok := b.groups[key]; ok {
		b.order.MoveToFront(e)
		return e.Value.(*group)
	}
	if len(b.groups) >= b.max {
		oldest := b.order.Back()
		delete(b.groups, oldest.Value.(*group).key)
		b.order.Remove(oldest)
	}
	g := &group{key: key}
	b.groups[key] = b.order.PushFront(g)
	return g
}

// find returns a group without making it the one used last, so that questions
// about jobs that never ran cost no memory.
func (b *Estimator) find(key Key) (*group, bool) {
	e, ok := b.groups[key]
	if !ok {
		return nil, false
	}
	return e.Value.(*group), true
}

// RunTime returns how long a task of the group usually runs: the median of the
// runs, or declared while there are fewer than three.
func (b *Estimator) RunTime(key Key, declared time.Duration) time.Duration {
	g, ok := b.find(key)
	if !ok || g.runTime.total < minRuns {
		return declared
	}
	v, _ := g.runTime.quantile(median, 0)
	return milliseconds(v)
}

// Remaining returns how much longer a task will run that has run for ran. It is
// meant for slack: a quarter of the tasks take longer. Past all known runs it
// returns ran: what has run this long is expected to run as long again.
func (b *Estimator) Remaining(key Key, declared, ran time.Duration) time.Duration {
	g, ok := b.find(key)
	if !ok || g.runTime.total < minRuns {
		if declared <= ran {
			return ran
		}
		return declared - ran
	}
	v, ok := g.runTime.quantile(upperQuartile, float64(ran)/float64(time.Millisecond))
	if !ok {
		return ran
	}
	return max(milliseconds(v)-ran, 0)
}

// IsStraggler reports whether a task has run far longer than others of its
// group.
func (b *Estimator) IsStraggler(key Key, ran time.Duration) bool {
	g, ok := b.find(key)
	if !ok || g.runTime.total < minStragglerRuns {
		return false
	}
	usual, _ := g.runTime.quantile(upperQuartile, 0)
	return ran > max(stragglerFactor*milliseconds(usual), minStragglerTime)
}

// Size returns what a task of the group is expected to use. It is declared as
// far as nothing was learned. Accelerators are always as declared, as a task
// has a whole one or none.
func (b *Estimator) Size(key Key, declared hoist.Resources) hoist.Resources {
	g, ok := b.find(key)
	if !ok {
		return declared
	}
	size := declared
	if v, ok := learned(&g.cpu); ok {
		size.CPU = hoist.MilliCPU(v)
	}
	if v, ok := learned(&g.memory); ok {
		size.Memory = hoist.MiB(v)
	}
	return size
}

func learned(s *sketch) (float64, bool) {
	if s.total < minRuns {
		return 0, false
	}
	return s.quantile(sizeQuantile, 0)
}

func milliseconds(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
