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

// around fails unless got is within the width of a bucket of want.
func around(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if r := float64(got) / float64(want); r < 0.8 || r > 1.25 {
		t.Errorf("%s is %v, expected about %v", what, got, want)
	}
}

// known returns a book with runs of about a minute; every tenth takes outlier.
func known(runs int, outlier time.Duration) *learn.Estimator {
	b, rng := learn.NewEstimator(), rand.New(rand.NewPCG(1, 1))
	for i := range runs {
		ran := 55*time.Second + time.Duration(rng.IntN(10))*time.Second
		if i%10 == 9 {
			ran = outlier
		}
		b.Ended(key, ran, hoist.Resources{CPU: 500, Memory: 100 * hoist.MiB(ran/time.Minute+1)})
	}
	return b
}

// TestRobust guards against estimates that outliers move.
func TestRobust(t *testing.T) {
	for _, outlier := range []time.Duration{time.Minute, 10 * time.Minute, 1000 * time.Hour, time.Millisecond} {
		t.Run(outlier.String(), func(t *testing.T) {
			is := is.New(t)
			b := known(300, outlier)
			around(t, "the run time", b.RunTime(key, time.Hour), time.Minute)
			around(t, "what remains at the start", b.Remaining(key, time.Hour, 0), time.Minute)
			is.True(!b.IsStraggler(key, 2*time.Minute)) // ordinary spread
			is.True(b.IsStraggler(key, 4*time.Minute))  // far beyond its group
			is.True(b.Size(key, hoist.Resources{CPU: 9000, Accel: 2}).CPU < 700)
			is.Equal(b.Size(key, hoist.Resources{Accel: 2}).Accel, hoist.Accelerators(2))
		})
	}
}

// TestDeclared guards against estimates from too few runs, or from none.
func TestDeclared(t *testing.T) {
	need := hoist.Resources{CPU: 9000, Memory: 4}
	for _, b := range []*learn.Estimator{learn.NewEstimator(), known(2, time.Minute)} {
		is := is.New(t)
		is.Equal(b.RunTime(key, time.Hour), time.Hour)
		is.Equal(b.Remaining(key, time.Hour, 20*time.Minute), 40*time.Minute)
		is.Equal(b.Remaining(key, time.Hour, 2*time.Hour), 2*time.Hour)
		is.Equal(b.Size(key, need), need)
		is.True(!b.IsStraggler(key, 1000*time.Hour))
	}
}

// TestRemaining guards against time left that becomes negative or forgets that
// a task which outlived the usual runs is one of the long ones.
func TestRemaining(t *testing.T) {
	b := known(300, 20*time.Minute)
	around(t, "after 30 s", b.Remaining(key, 0, 30*time.Second), 30*time.Second)
	around(t, "past the usual runs", b.Remaining(key, 0, 2*time.Minute), 18*time.Minute)
	around(t, "past all runs", b.Remaining(key, 0, time.Hour), time.Hour)
}

// TestChange guards against groups that are never learned anew.
func TestChange(t *testing.T) {
	b := known(1000, time.Minute)
	for range 200 {
		b.Ended(key, 10*time.Minute, hoist.Resources{})
	}
	around(t, "the run time", b.RunTime(key, 0), 10*time.Minute)
}

// TestBound guards against memory that grows with the number of groups.
func TestBound(t *testing.T) {
	is := is.New(t)
	b := learn.NewEstimatorOf(10)
	for i := range 100 {
		for range 3 {
			b.Ended(key, time.Minute, hoist.Resources{})
		}
		b.Ended(learn.KeyOf(hoist.JobSpec{ID: hoist.JobID(fmt.Sprint(i))}), time.Second, hoist.Resources{})
	}
	is.Equal(b.Len(), 10)
	around(t, "the group in use", b.RunTime(key, 0), time.Minute)
}
