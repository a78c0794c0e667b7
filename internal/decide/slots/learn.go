package slots

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// initialServiceTime is the assumed service time of a class without samples.
	initialServiceTime = 5 * time.Millisecond
	// averagedSamples is the number of samples over which the exponential averages
	// run.
	averagedSamples = 8
	// maxSampleRatio bounds a sample to a multiple of its average. A straggler moves
	// an average by a quarter at most, and work that has become ten times slower
	// is still detected within ten samples.
	maxSampleRatio = 3
	// warmUpSamples is the number of first samples that are averaged without a
	// bound, as the assumed service time may be far off.
	warmUpSamples = 4
	// slowFactor is how many times slower than the median an executor must be to
	// be only probed.
	slowFactor = 4
	// probeInterval is how long an executor is without an attempt before it is
	// probed, and the shortest time between attempts at a slow one. Two probes end
	// the slow state of an executor that has recovered.
	probeInterval = 500 * time.Millisecond
)

// meanTime is a learned mean service time.
type meanTime struct {
	value time.Duration
	n     int
}

func (m *meanTime) learn(took time.Duration) {
	m.n++
	if m.n > warmUpSamples {
		took = min(took, maxSampleRatio*m.value)
	}
	m.value += (took - m.value) / time.Duration(min(m.n, averagedSamples))
}

// serviceTime returns the learned mean service time of a class.
func (g *group) serviceTime(class hoist.Class) time.Duration {
	if m, ok := g.means[class]; ok {
		return m.value
	}
	return initialServiceTime
}

// slowdown is the ratio of the service time of an executor to the mean of its
// service, learned from the attempts of all classes. With one factor for all
// classes, the frequent quick attempts show a slow executor within a second;
// patient attempts alone would take a minute.
type slowdown float64

func newSlowdown() slowdown {
	return 1
}

func (s slowdown) scale(d time.Duration) time.Duration {
	return time.Duration(float64(s) * float64(d))
}

// learn records how long an attempt took.
func (a *account) learn(class hoist.Class, took time.Duration) {
	g := a.group
	m, ok := g.means[class]
	if !ok {
		m = &meanTime{}
		g.means[class] = m
	}
	if m.n > warmUpSamples {
		ratio := min(slowdown(took)/slowdown(m.value), maxSampleRatio*a.slowdown)
		weight := slowdown(averagedSamples)
		if a.isSlow() {
			weight = 2
		}
		a.slowdown += (ratio - a.slowdown) / weight
	}
	m.learn(took)
	g.cachedMedian.samples++
}

// cachedMedian is the median slowdown of the executors that take new work. It is
// computed anew after as many samples as there are executors.
type cachedMedian struct {
	value   slowdown
	samples int
}

func (m *cachedMedian) invalidate() {
	m.value = 0
}

// isSlow reports whether an executor is far slower than the median.
func (a *account) isSlow() bool {
	return a.slowdown > slowFactor*a.group.medianSlowdown()
}

func (g *group) medianSlowdown() slowdown {
	m := &g.cachedMedian
	if m.value > 0 && m.samples < len(g.accounts) {
		return m.value
	}
	var slowdowns []slowdown
	for _, a := range g.accounts {
		if !a.leaving {
			slowdowns = append(slowdowns, a.slowdown)
		}
	}
	m.samples, m.value = 0, newSlowdown()
	if len(slowdowns) > 0 {
		slices.Sort(slowdowns)
		m.value = slowdowns[(len(slowdowns)-1)/2]
	}
	return m.value
}
