package learn

import "math"

const (
	// bucketsPerDoubling gives buckets 19% wide. Declared values are off by
	// factors, so that finer ones would decide nothing.
	bucketsPerDoubling = 4
	// numBuckets spans 2^32: 1 ms to 49 days, 1 MiB to 4 PiB.
	numBuckets = 32 * bucketsPerDoubling
	// maxWeight is the total weight at which all weights are halved. A group
	// whose behaviour changes is known anew after about as many runs.
	maxWeight = 128
)

// sketch counts values in buckets of equal ratio; older values count less. A
// value of any size moves each quantile by one rank only, which makes quantiles
// robust to outliers.
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

// valueOf returns the geometric middle of a bucket.
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

// quantile returns the value below which the share q of the weight above the
// bucket of floor lies. It reports false if there is no weight above it.
func (s *sketch) quantile(q, floor float64) (float64, bool) {
	first := 0
	if floor > 0 {
		first = bucketOf(floor) + 1
	}
	var above float32
	for _, w := range s.weights[first:] {
		above += w
	}
	// Halving leaves tiny remainders of values seen long ago.
	const leastWeight = 0.01
	if above < leastWeight {
		return 0, false
	}
	rest := float32(q) * above
	last := first
	for i := first; i < numBuckets; i++ {
		if s.weights[i] == 0 {
			continue
		}
		last = i
		if rest -= s.weights[i]; rest <= 0 {
			break
		}
	}
	return valueOf(last), true
}
