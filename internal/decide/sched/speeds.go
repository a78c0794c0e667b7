package sched

import (
	"math"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// classWeight is the minimum weight of one run in the learned run time ratio
	// of a hardware class.
	classWeight = 0.03
	// queueWeight is the minimum weight of one run in the ratio of a queue.
	queueWeight = 0.03
	// workerWeight is the weight of one run in the ratio of a worker.
	workerWeight = 0.15
	// adviceWeight is the minimum weight of one answer in the share of good
	// workers of a queue.
	adviceWeight = 0.1
	// maxRunTimeRatio bounds the effect of a single run, as a few runs take many
	// times longer than declared.
	maxRunTimeRatio = 8.0
	// minRunTimeRatio bounds the effect of a very short run, as no run takes no
	// time at all.
	minRunTimeRatio = 0.1
	// minWorkerRatio bounds how fast a single worker can be estimated to be.
	minWorkerRatio = 0.5
	// initialGoodShare is the share of good workers assumed before any answer.
	initialGoodShare = 0.4
	// initialScatter is the scatter of run times assumed before any run, and maxScatter the
	// largest one assumed.
	initialScatter = 0.25
	maxScatter     = 0.5
	// minGoodShare is the smallest share of good workers assumed.
	minGoodShare = 0.05
)

// average is a running mean in which later values weigh more.
type average struct {
	value float64
	count int
}

// add returns the average with a value added. The first values all weigh the
// same, and later ones at least weight.
func (a average) add(value, weight float64) average {
	a.count++
	a.value += max(weight, 1/float64(a.count)) * (value - a.value)
	return a
}

// orDefault returns the average, or initial if there is no value yet.
func (a average) orDefault(initial float64) float64 {
	if a.count == 0 {
		return initial
	}
	return a.value
}

// speeds holds the learned ratios of actual to declared run times, by hardware
// class and by queue, and the share of good workers by queue.
type speeds struct {
	class map[hoist.Label]average
	queue map[hoist.QueueName]average
	good  map[hoist.QueueName]average
	// deviation is the mean deviation of run times from the expected ones, as a share of
	// the expected ones.
	deviation map[hoist.QueueName]average
}

func newSpeeds() speeds {
	return speeds{
		class: make(map[hoist.Label]average),
		queue: make(map[hoist.QueueName]average),
		good:  make(map[hoist.QueueName]average),

		deviation: make(map[hoist.QueueName]average),
	}
}

// recordRunTime learns from a successful run. Runs that an earlier owner
// started are ignored, as their start time is not known.
func (sc *Scheduler) recordRunTime(t *Task, now time.Time) {
	s, w := t.StepTasks, t.Worker
	if s.Step.Estimate <= 0 || s.Step.IsLongRunning || w == nil || t.isRecovered {
		return
	}
	runTime := max(0, now.Sub(t.phaseSince))
	ratio := max(minRunTimeRatio, min(maxRunTimeRatio, float64(runTime)/float64(s.Step.Estimate)))
	if sc.isRemote(s, w) {
		ratio /= sc.RemoteFactor
	}
	queue, class := s.Job.Plan.Queue.Name, w.entry.Class
	queueRatio, classRatio := sc.speeds.queue[queue].orDefault(1), sc.speeds.class[class].orDefault(1)
	deviation := math.Abs(ratio/(queueRatio*classRatio*w.health.runTimeRatio) - 1)
	sc.speeds.deviation[queue] = sc.speeds.deviation[queue].add(min(maxScatter, deviation), queueWeight)
	sc.speeds.queue[queue] = sc.speeds.queue[queue].add(min(maxRunTimeRatio, ratio/classRatio), queueWeight)
	sc.speeds.class[class] = sc.speeds.class[class].add(min(maxRunTimeRatio, ratio/queueRatio), classWeight)
	w.health.runTimeRatio += workerWeight * (min(maxRunTimeRatio, ratio/(queueRatio*classRatio)) - w.health.runTimeRatio)
	w.health.runTimeRatio = max(minWorkerRatio, w.health.runTimeRatio)
}

// expectedRunTime estimates the run time of a task of the step on the worker.
func (sc *Scheduler) expectedRunTime(s *StepTasks, w *Worker) time.Duration {
	return sc.runTime(s, sc.slowness(w, sc.isRemote(s, w)))
}

// runTime estimates the run time of a task of the step where it takes slowness times as
// long as the mean.
func (sc *Scheduler) runTime(s *StepTasks, slowness float64) time.Duration {
	return time.Duration(float64(s.Step.Estimate) * sc.speeds.queue[s.Job.Plan.Queue.Name].orDefault(1) * slowness)
}

// slowness returns how many times longer than the mean the worker takes for
// tasks, which may be remote from their data.
func (sc *Scheduler) slowness(w *Worker, isRemote bool) float64 {
	factor := sc.speeds.class[w.entry.Class].orDefault(1) * w.health.runTimeRatio
	if isRemote {
		factor *= sc.RemoteFactor
	}
	return factor
}

// isRemote reports whether the worker is outside the preferred rack of the
// step, which is near its data.
func (sc *Scheduler) isRemote(s *StepTasks, w *Worker) bool {
	return s.Step.PreferredRack != "" && s.Step.PreferredRack != w.entry.Rack
}

// rank orders the workers for tasks that would be remote from their data there or
// not; the lowest rank is the best. Fast workers come first, then those with little
// free CPU; recent failures count against a worker.
func (sc *Scheduler) rank(w *Worker, isRemote bool) float64 {
	const freeWeight = 0.1
	free := 1.0
	if w.entry.Capacity.CPU > 0 {
		free = float64(w.free().CPU) / float64(w.entry.Capacity.CPU)
	}
	return sc.slowness(w, isRemote) + freeWeight*free + float64(w.health.failures)
}

// scatterOf returns half of the range in which the run times of a queue lie, as a share
// of the expected one. Times spread evenly over a range deviate by a quarter of it.
func (sp *speeds) scatterOf(queue hoist.QueueName) float64 {
	return min(maxScatter, 2*sp.deviation[queue].orDefault(initialScatter/2))
}

func (sp *speeds) recordGoodShare(queue hoist.QueueName, good, asked int) {
	if asked > 0 {
		sp.good[queue] = sp.good[queue].add(float64(good)/float64(asked), adviceWeight)
	}
}

// goodShare returns the expected share of workers that the adviser of a queue
// allows.
func (sp *speeds) goodShare(queue hoist.QueueName) float64 {
	return max(minGoodShare, sp.good[queue].orDefault(initialGoodShare))
}
