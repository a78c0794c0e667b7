package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// classWeight, queueWeight and workerWeight are the least weights of one run
	// in the learned speeds of a class of hardware, a queue and a worker.
	classWeight  = 0.03
	queueWeight  = 0.03
	workerWeight = 0.15
	adviceWeight = 0.1
	// maxRatio and minRatio bound what one run can tell: a few run many times
	// longer, and none takes no time.
	maxRatio = 8.0
	minRatio = 0.1
	// leastOfWorker bounds how fast a single worker can seem.
	leastOfWorker = 0.5
	// firstGoodShare and leastGoodShare are the share of good workers assumed
	// before any answer, and the least one.
	firstGoodShare = 0.4
	leastGoodShare = 0.05
)

// average is a mean in which later values weigh more.
type average struct {
	value float64
	count int
}

// add takes a value into the average. The first values all weigh the same, and
// later ones at least as much as weight.
func (a average) add(value, weight float64) average {
	a.count++
	a.value += max(weight, 1/float64(a.count)) * (value - a.value)
	return a
}

// or returns the average, or what is assumed before there is a value.
func (a average) or(first float64) float64 {
	if a.count == 0 {
		return first
	}
	return a.value
}

// speeds is what was learned about run times: how long tasks take against their
// estimate, by class of hardware and by queue.
type speeds struct {
	class map[hoist.Label]average
	queue map[hoist.QueueName]average
	good  map[hoist.QueueName]average
}

func newSpeeds() speeds {
	return speeds{
		class: make(map[hoist.Label]average),
		queue: make(map[hoist.QueueName]average),
		good:  make(map[hoist.QueueName]average),
	}
}

// noteRun learns from a successful run. It is not known when one began that an
// earlier owner started.
func (b *Scheduler) noteRun(t *Task, now time.Time) {
	s, w := t.Set, t.Worker
	if s.Step.Estimate <= 0 || s.Step.IsLongRunning || w == nil || t.isInherited {
		return
	}
	took := max(0, now.Sub(t.since))
	seen := max(minRatio, min(maxRatio, float64(took)/float64(s.Step.Estimate)))
	if b.isFar(s, w) {
		seen /= b.RemoteFactor
	}
	queue, class := s.Job.Plan.Queue.Name, w.entry.Class
	ofQueue, ofClass := b.speeds.queue[queue].or(1), b.speeds.class[class].or(1)
	b.speeds.queue[queue] = b.speeds.queue[queue].add(min(maxRatio, seen/ofClass), queueWeight)
	b.speeds.class[class] = b.speeds.class[class].add(min(maxRatio, seen/ofQueue), classWeight)
	w.health.ratio += workerWeight * (min(maxRatio, seen/(ofQueue*ofClass)) - w.health.ratio)
	w.health.ratio = max(leastOfWorker, w.health.ratio)
}

// expected is how long a task of the set is likely to take on the worker.
func (b *Scheduler) expected(s *StepTasks, w *Worker) time.Duration {
	return time.Duration(float64(s.Step.Estimate) * b.speeds.queue[s.Job.Plan.Queue.Name].or(1) * b.slowness(s, w))
}

// slowness is how much slower than the mean the worker runs the set.
func (b *Scheduler) slowness(s *StepTasks, w *Worker) float64 {
	x := b.speeds.class[w.entry.Class].or(1) * w.health.ratio
	if b.isFar(s, w) {
		x *= b.RemoteFactor
	}
	return x
}

// isFar reports whether the worker is away from the data of the set.
func (b *Scheduler) isFar(s *StepTasks, w *Worker) bool {
	return s.Step.PreferredRack != "" && s.Step.PreferredRack != w.entry.Rack
}

// rank orders the workers for a set: the lowest is the best.
func (b *Scheduler) rank(s *StepTasks, w *Worker) float64 {
	const fullness = 0.1
	free := 1.0
	if w.entry.Capacity.CPU > 0 {
		free = float64(w.free().CPU) / float64(w.entry.Capacity.CPU)
	}
	return b.slowness(s, w) + fullness*free + float64(w.health.failures)
}

func (v *speeds) noteAdvice(queue hoist.QueueName, good, asked int) {
	if asked > 0 {
		v.good[queue] = v.good[queue].add(float64(good)/float64(asked), adviceWeight)
	}
}

// goodShare is the share of workers that the adviser of a queue allows.
func (v *speeds) goodShare(queue hoist.QueueName) float64 {
	return max(leastGoodShare, v.good[queue].or(firstGoodShare))
}
