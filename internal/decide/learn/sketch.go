package learn

import "math"

const (
	// bucketsPerDoubling makes each bucket 19% wide. Declared values are off by
	// factors, so that finer buckets would change no decision.
	bucketsPerDoubling = 4
	// numBuckets spans a range of 2^32: 1 ms to 49 days, 1 MiB to 4 PiB.
	numBuckets = 32 * bucketsPerDoubling
	// maxWeight is the total weight at which all weights are halved. After a
	// group changes its behaviour, the estimates follow after about as many
	// runs.
	maxWeight = 128
)

// sketch is a histogram with buckets of equal ratio in which older values
// weigh less. A value of any size moves each quantile by one rank only, which
// makes quantiles robust to outliers.
type sketch struct {
	weights [numBuckets]float32
	total   float32
}

func bucketOf(v float64) int {
	if v < 1 {
		return 0
	}
	return min(int(math.Log2(v)*bucketsPerDoubling), numBuckets-1)
}

// valueOf returns the geometric mean of the bounds of a bucket.
func valueOf(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling)
}

func (s *sketch) add(v float64) {
	if s.total >= maxWeight {
		s.halve()
	}
	s.weights[bucketOf(v)]++
	s.total++
}

func (s *sketch) halve() {
	for i := range s.weights {
		s.weights[i] /= 2
	}
	s.total /= 2
}

// quantile returns the q-quantile of the values above the bucket of floor. It
// reports false if there are none.
func (s *sketch) quantile(q, floor float64) (float64, bool) {
	first := 0
	if floor > 0 {
		first = bucketOf(floor) + 1
	}
	var above float32
	for _, w := range s.weights[first:] {
		above += w
	}
	// Repeated halving leaves tiny weights of values recorded long ago.
	const minWeight = 0.01
	if above < minWeight {
		return 0, false
	}
	remaining := float32(q) * above
	last := first
	for i := first; i < numBuckets; i++ {
		if s.weights[i] == 0 {
			continue
		}
		last = i
		if remaining -= s.weights[i]; remaining <= 0 {
			break
		}
	}
	return valueOf(last), true
}
