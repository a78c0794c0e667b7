package sched

import (
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// classWeight and workerWeight are the weights of one run in the learned
	// speeds of a class of hardware and of a worker.
	classWeight  = 0.03
	workerWeight = 0.15
	adviceWeight = 0.1
	// maxRatio bounds what one run can tell, as a few run many times longer.
	maxRatio = 8.0
	// firstGoodShare is the share of good workers assumed before any answer.
	firstGoodShare = 0.4
)

// speeds is what was learned about run times: how long tasks take against their
// estimate, by class of hardware and by queue.
type speeds struct {
	class map[hoist.Label]float64
	queue map[hoist.QueueName]float64
	good  map[hoist.QueueName]float64
}

func newSpeeds() speeds {
	return speeds{
		class: make(map[hoist.Label]float64),
		queue: make(map[hoist.QueueName]float64),
		good:  make(map[hoist.QueueName]float64),
	}
}

// of returns a learned value, or the first one.
func of[K comparable](m map[K]float64, key K, first float64) float64 {
	if v, ok := m[key]; ok {
		return v
	}
	return first
}

// move brings a learned value closer to what was seen.
func move(old, seen, weight float64) float64 {
	return old + weight*(seen-old)
}

// noteRun learns from a successful run.
func (b *Book) noteRun(t *Task, took time.Duration) {
	s, w := t.Set, t.Worker
	if s.Step.Estimate <= 0 || s.Step.IsLasting || w == nil {
		return
	}
	seen := min(maxRatio, float64(took)/float64(s.Step.Estimate))
	if b.isFar(s, w) {
		seen /= b.FarFactor
	}
	queue, class := s.Job.Plan.Queue.Name, w.entry.Class
	ofQueue := of(b.speeds.queue, queue, 1)
	ofClass := of(b.speeds.class, class, 1)
	b.speeds.queue[queue] = move(ofQueue, min(maxRatio, seen/(ofClass*w.health.ratio)), classWeight)
	b.speeds.class[class] = move(ofClass, min(maxRatio, seen/(ofQueue*w.health.ratio)), classWeight)
	w.health.ratio = max(0.5, move(w.health.ratio, min(maxRatio, seen/(ofQueue*ofClass)), workerWeight))
}

// expected is how long a task of the set is likely to take on the worker.
func (b *Book) expected(s *Set, w *Worker) time.Duration {
	return time.Duration(float64(s.Step.Estimate) * of(b.speeds.queue, s.Job.Plan.Queue.Name, 1) * b.slowness(s, w))
}

// slowness is how much slower than the mean the worker runs the set.
func (b *Book) slowness(s *Set, w *Worker) float64 {
	x := of(b.speeds.class, w.entry.Class, 1) * w.health.ratio
	if b.isFar(s, w) {
		x *= b.FarFactor
	}
	return x
}

// isFar reports whether the worker is away from the data of the set.
func (b *Book) isFar(s *Set, w *Worker) bool {
	return s.Step.Near != "" && s.Step.Near != w.entry.Rack
}

// rank orders the workers for a set: the lowest is the best.
func (b *Book) rank(s *Set, w *Worker) float64 {
	const fullness = 0.1
	free := 1.0
	if w.entry.Capacity.CPU > 0 {
		free = float64(w.free().CPU) / float64(w.entry.Capacity.CPU)
	}
	return b.slowness(s, w) + fullness*free + float64(w.health.failures)
}

func (v *speeds) noteAdvice(queue hoist.QueueName, good, asked int) {
	if asked > 0 {
		v.good[queue] = move(v.goodShare(queue), float64(good)/float64(asked), adviceWeight)
	}
}

// goodShare is the share of workers that the adviser of a queue allows.
func (v *speeds) goodShare(queue hoist.QueueName) float64 {
	return max(0.05, of(v.good, queue, firstGoodShare))
}
