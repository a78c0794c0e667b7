// Package learn estimates how long the tasks of a group of jobs run and which
// resources they use, because the values that submitters declare are often far
// off.
//
// # Usage
//
//	est := learn.NewEstimator()
//	key := learn.KeyOf(spec)
//	est.RecordRun(key, ran, usage) // a task of the group succeeded
//	remaining := est.Remaining(key, spec.RunTime, ran)
//	size := est.Size(key, spec.Need) // ranks workers; Need decides what fits
//	if est.IsStraggler(key, ran) { ... }
//
// Record only runs that succeeded: a run that failed or was stopped tells
// nothing about how long a complete one takes. Estimates are quantiles, so that
// a few runs of ten or a thousand times the usual length do not move them. An
// Estimator holds a bounded number of groups and evicts the least recently used
// one. It is not safe for concurrent use and reads no clock.
package learn

import (
	"container/list"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// MaxGroups bounds the memory use: a group takes about 1.7 KB, so all of
	// them take 7 MB of the 128 MB that a host may use for control.
	MaxGroups = 4096
	// minRuns is the number of runs from which the estimate replaces the
	// declared value. With three runs, one outlier does not set the median.
	minRuns = 3
	// minStragglerRuns is the number of runs from which a task can be called a
	// straggler. With eight runs, one outlier among them does not reach the
	// upper quartile.
	minStragglerRuns = 8
	// stragglerFactor is the multiple of the upper quartile beyond which a task
	// is a straggler. Ordinary variation stays below it; outliers run ten times
	// as long and more.
	stragglerFactor = 3
	// minStragglerTime keeps tasks of a few seconds from being called stragglers
	// because of the pauses of a busy worker.
	minStragglerTime = 10 * time.Second

	median        = 0.5
	upperQuartile = 0.75
	// sizeQuantile is the quantile of the usage that Size returns, so that
	// workers are ranked by what a large task of the group uses.
	sizeQuantile = 0.9
)

// Key identifies a group of tasks that behave alike.
type Key struct {
	Team  hoist.TeamID
	Group string
}

// KeyOf returns the group of a job. Groups of different teams are separate. A
// job without a group forms a group of its own.
func KeyOf(s hoist.JobSpec) Key {
	if s.Group == "" {
		return Key{s.Team, "job/" + string(s.ID)}
	}
	return Key{s.Team, "group/" + s.Group}
}

// group holds the recorded run times and usage of one group.
type group struct {
	key     Key
	runTime sketch
	cpu     sketch
	memory  sketch
}

// Estimator holds the recorded run times and usage of a bounded number of
// groups.
type Estimator struct {
	max    int
	groups map[Key]*list.Element
	// recency lists the groups; the most recently used one is at the front.
	recency *list.List
}

// NewEstimator returns an empty Estimator for up to MaxGroups groups.
func NewEstimator() *Estimator {
	return NewEstimatorOf(MaxGroups)
}

// NewEstimatorOf returns an empty Estimator for up to size groups, and for one
// if size is less.
func NewEstimatorOf(size int) *Estimator {
	return &Estimator{max: max(size, 1), groups: make(map[Key]*list.Element), recency: list.New()}
}

// Len returns the number of groups that have records.
func (est *Estimator) Len() int {
	return len(est.groups)
}

// RecordRun records the run time and the peak usage of a task that succeeded.
// Parts of usage that are not positive are unknown and not recorded.
func (est *Estimator) RecordRun(key Key, ran time.Duration, usage hoist.Resources) {
	g := est.use(key)
	if ran > 0 {
		g.runTime.add(float64(ran) / float64(time.Millisecond))
	}
	est.addUsage(g, usage)
}

// RecordUsage records the usage of a task that still runs. It is for services, whose
// tasks do not end.
func (est *Estimator) RecordUsage(key Key, usage hoist.Resources) {
	est.addUsage(est.use(key), usage)
}

func (est *Estimator) addUsage(g *group, usage hoist.Resources) {
	if usage.CPU > 0 {
		g.cpu.add(float64(usage.CPU))
	}
	if usage.Memory > 0 {
		g.memory.add(float64(usage.Memory))
	}
}

// use returns a group and makes it the most recently used one. If there is no
// such group, use adds it, and evicts the least recently used one if the
// estimator is full.
func (est *Estimator) use(key Key) *group {
	if e, ok := est.groups[key]; ok {
		est.recency.MoveToFront(e)
		return e.Value.(*group)
	}
	if len(est.groups) >= est.max {
		leastRecent := est.recency.Back()
		delete(est.groups, leastRecent.Value.(*group).key)
		est.recency.Remove(leastRecent)
	}
	g := &group{key: key}
	est.groups[key] = est.recency.PushFront(g)
	return g
}

// find returns a group without making it the most recently used one, and adds
// none, so that queries about jobs that never ran cost no memory.
func (est *Estimator) find(key Key) (*group, bool) {
	e, ok := est.groups[key]
	if !ok {
		return nil, false
	}
	return e.Value.(*group), true
}

// RunTime returns the usual run time of a task of the group: the median of the
// runs, or declared while there are fewer than three.
func (est *Estimator) RunTime(key Key, declared time.Duration) time.Duration {
	g, ok := est.find(key)
	if !ok || g.runTime.total < minRuns {
		return declared
	}
	v, _ := g.runTime.quantile(median, 0)
	return milliseconds(v)
}

// Remaining estimates how much longer a task runs that has run for ran. It is
// meant for computing slack: a quarter of the tasks take longer. If ran
// exceeds all known runs, Remaining returns ran: a task that has run this long
// is expected to run as long again.
func (est *Estimator) Remaining(key Key, declared, ran time.Duration) time.Duration {
	g, ok := est.find(key)
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
func (est *Estimator) IsStraggler(key Key, ran time.Duration) bool {
	g, ok := est.find(key)
	if !ok || g.runTime.total < minStragglerRuns {
		return false
	}
	usual, _ := g.runTime.quantile(upperQuartile, 0)
	return ran > max(stragglerFactor*milliseconds(usual), minStragglerTime)
}

// Size returns the expected usage of a task of the group. Resources without
// enough records are returned as declared. Accelerators are always as
// declared, as a task has a whole one or none.
func (est *Estimator) Size(key Key, declared hoist.Resources) hoist.Resources {
	g, ok := est.find(key)
	if !ok {
		return declared
	}
	size := declared
	if v, ok := learnedSize(&g.cpu); ok {
		size.CPU = hoist.MilliCPU(v)
	}
	if v, ok := learnedSize(&g.memory); ok {
		size.Memory = hoist.MiB(v)
	}
	return size
}

func learnedSize(s *sketch) (float64, bool) {
	if s.total < minRuns {
		return 0, false
	}
	return s.quantile(sizeQuantile, 0)
}

func milliseconds(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
