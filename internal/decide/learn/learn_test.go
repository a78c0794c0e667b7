package learn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/learn"
)

var key = learn.KeyOf(hoist.JobSpec{ID: "j", Team: "t", Group: "audit"})

// assertAround fails the test unless got is within the width of a bucket of
// want.
func assertAround(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if r := float64(got) / float64(want); r < 0.8 || r > 1.25 {
		t.Errorf("%s is %v, expected about %v", what, got, want)
	}
}

// newTrainedEstimator returns an Estimator with runs of about a minute, of
// which every tenth takes outlier.
func newTrainedEstimator(runs int, outlier time.Duration) *learn.Estimator {
	est, rng := learn.NewEstimator(), rand.New(rand.NewPCG(1, 1))
	for i := range runs {
		ran := 55*time.Second + time.Duration(rng.IntN(10))*time.Second
		if i%10 == 9 {
			ran = outlier
		}
		est.RecordRun(key, ran, hoist.Resources{CPU: 500, Memory: 100 * hoist.MiB(ran/time.Minute+1)})
	}
	return est
}

// TestOutliersDoNotMoveEstimates guards against estimates that are moved by
// outliers in a tenth of the runs.
func TestOutliersDoNotMoveEstimates(t *testing.T) {
	for _, outlier := range []time.Duration{time.Minute, 10 * time.Minute, 1000 * time.Hour, time.Millisecond} {
		t.Run(outlier.String(), func(t *testing.T) {
			is := is.New(t)
			est := newTrainedEstimator(300, outlier)
			assertAround(t, "the run time", est.RunTime(key, time.Hour), time.Minute)
			assertAround(t, "the remaining time at the start", est.Remaining(key, time.Hour, 0), time.Minute)
			is.True(!est.IsStraggler(key, 2*time.Minute)) // twice the usual run time is ordinary variation
			is.True(est.IsStraggler(key, 4*time.Minute))  // far beyond the runs of its group
			is.True(est.Size(key, hoist.Resources{CPU: 9000, Accel: 2}).CPU < 700)
			is.Equal(est.Size(key, hoist.Resources{Accel: 2}).Accel, hoist.Accelerators(2))
		})
	}
}

// TestDeclaredValuesWithoutEnoughRuns guards against estimates from too few
// runs, or from none.
func TestDeclaredValuesWithoutEnoughRuns(t *testing.T) {
	need := hoist.Resources{CPU: 9000, Memory: 4}
	for _, est := range []*learn.Estimator{learn.NewEstimator(), newTrainedEstimator(2, time.Minute)} {
		is := is.New(t)
		is.Equal(est.RunTime(key, time.Hour), time.Hour)
		is.Equal(est.Remaining(key, time.Hour, 20*time.Minute), 40*time.Minute)
		is.Equal(est.Remaining(key, time.Hour, 2*time.Hour), 2*time.Hour)
		is.Equal(est.Size(key, need), need)
		is.True(!est.IsStraggler(key, 1000*time.Hour))
	}
}

// TestRemainingTime guards against a remaining time that is negative, or that
// ignores that a task which has outlived the usual runs is one of the long
// ones.
func TestRemainingTime(t *testing.T) {
	est := newTrainedEstimator(300, 20*time.Minute)
	assertAround(t, "the remaining time after 30 s", est.Remaining(key, 0, 30*time.Second), 30*time.Second)
	assertAround(t, "the remaining time past the usual runs", est.Remaining(key, 0, 2*time.Minute), 18*time.Minute)
	assertAround(t, "the remaining time past all runs", est.Remaining(key, 0, time.Hour), time.Hour)
}

// TestEstimatesFollowChange guards against estimates that do not follow when
// the run times of a group change.
func TestEstimatesFollowChange(t *testing.T) {
	est := newTrainedEstimator(1000, time.Minute)
	for range 200 {
		est.RecordRun(key, 10*time.Minute, hoist.Resources{})
	}
	assertAround(t, "the run time", est.RunTime(key, 0), 10*time.Minute)
}

// TestGroupLimit guards against memory use that grows with the number of
// groups, and against evicting a group in use.
func TestGroupLimit(t *testing.T) {
	is := is.New(t)
	est := learn.NewEstimatorOf(10)
	for i := range 100 {
		for range 3 {
			est.RecordRun(key, time.Minute, hoist.Resources{})
		}
		est.RecordRun(learn.KeyOf(hoist.JobSpec{ID: hoist.JobID(fmt.Sprint(i))}), time.Second, hoist.Resources{})
	}
	is.Equal(est.Len(), 10)
	assertAround(t, "the run time of the group in use", est.RunTime(key, 0), time.Minute)
}
