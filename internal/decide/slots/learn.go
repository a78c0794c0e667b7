package slots

import (
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// initialService is the assumed service time of a class without history.
	initialService = 5 * time.Millisecond
	// averaged is over how many attempts the exponential averages run.
	averaged = 8
	// outlier bounds a sample to a multiple of its average. A straggler moves
	// an average by a quarter at most, and ten times slower work still shows
	// within ten samples.
	outlier = 3
	// warmUp is how many first samples are averaged as they are: the assumed
	// service time may be far off.
	warmUp = 4
	// slowFactor is how many times slower than the typical executor one is
	// that is only probed.
	slowFactor = 4
	// probeEvery is how long an executor is without an attempt before it is
	// probed, and the least time between attempts at a slow one. Two probes end
	// the slow state of one that has recovered.
	probeEvery = 500 * time.Millisecond
)

// mean is a learned mean service time.
type mean struct {
	value time.Duration
	n     int
}

func (m *mean) learn(took time.Duration) {
	m.n++
	if m.n > warmUp {
		took = min(took, outlier*m.value)
	}
	m.value += (took - m.value) / time.Duration(min(m.n, averaged))
}

// mean returns the learned mean service time of a class.
func (g *group) mean(class hoist.Class) time.Duration {
	if m, ok := g.means[class]; ok {
		return m.value
	}
	return initialService
}

// speed is how many times longer an executor runs than the mean of its service,
// learned over the attempts of all classes. One factor for all of them lets
// quick work, of which there is much, tell within a second what patient work
// would tell in a minute.
type speed float64

func newSpeed() speed {
	return 1
}

func (s speed) scale(d time.Duration) time.Duration {
	return time.Duration(float64(s) * float64(d))
}

// learn records how long an attempt took.
func (a *account) learn(class hoist.Class, took time.Duration) {
	g := a.group
	m, ok := g.means[class]
	if !ok {
		m = &mean{}
		g.means[class] = m
	}
	if m.n > warmUp {
		ratio := min(speed(took)/speed(m.value), outlier*a.speed)
		weight := speed(averaged)
		if a.isSlow() {
			weight = 2
		}
		a.speed += (ratio - a.speed) / weight
	}
	m.learn(took)
	g.typical.age++
}

// typical is the median speed of the executors that take new work. It is worked
// out again after as many samples as there are executors.
type typical struct {
	value speed
	age   int
}

func (t *typical) expire() {
	t.value = 0
}

// isSlow reports whether an executor is far slower than the typical one.
func (a *account) isSlow() bool {
	return a.speed > slowFactor*a.group.typicalSpeed()
}

func (g *group) typicalSpeed() speed {
	t := &g.typical
	if t.value > 0 && t.age < len(g.accounts) {
		return t.value
	}
	var speeds []speed
	for _, a := range g.accounts {
		if !a.leaving {
			speeds = append(speeds, a.speed)
		}
	}
	t.age, t.value = 0, newSpeed()
	if len(speeds) > 0 {
		slices.Sort(speeds)
		t.value = speeds[(len(speeds)-1)/2]
	}
	return t.value
}
